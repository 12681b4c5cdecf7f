// Package golden compares the encodings of this program with recorded ones: messages between processes of two versions, stored
// data, configuration keys. The test of a package fails if a field is renamed and its encoded name changes with it. The
// package is for tests only. `go test -update` records the encodings again; a commit that does so has to explain why the format changes.
package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Equal compares text with the file testdata/golden/NAME.txt.
func Equal(t *testing.T, name, text string) {
	t.Helper()
	goldie.New(t, goldie.WithFixtureDir("testdata/golden"), goldie.WithNameSuffix(".txt"), goldie.WithDiffEngine(goldie.Simple)).Assert(t, name, []byte(text))
}

// JSON compares the JSON encodings of values, one per line, with the file testdata/golden/NAME.txt. Each value is a pointer, and
// is first set by Fill.
func JSON(t *testing.T, name string, values ...any) {
	t.Helper()
	var text strings.Builder
	for i, v := range values {
		Fill(v)
		line, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%d %s\n", i+1, line)
	}
	Equal(t, name, text.String())
}

// Fill sets every exported field reachable from the pointer v to a value that depends on the field's position only: true for
// booleans, numbered values for other types.
func Fill(v any) {
	n := 0
	fill(reflect.ValueOf(v).Elem(), &n, 0)
}

const maxDepth = 8 // limits the recursion into types that contain themselves

func fill(v reflect.Value, n *int, depth int) {
	if depth > maxDepth || !v.CanSet() {
		return
	}
	*n++
	if v.Type() == reflect.TypeFor[json.RawMessage]() {
		v.SetBytes(fmt.Appendf(nil, `{"n":%d}`, *n))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprint("s", *n))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n) % 100)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n) % 100)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n, depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n, depth+1)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n, depth+1)
		fill(value, n, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n, depth+1)
		}
	}
}

// Values returns the values in v as text, in the order of the fields and without their names. Tests use it to compare decoded
// data with a recorded text.
func Values(v any) string {
	var text strings.Builder
	values(&text, reflect.ValueOf(v))
	return text.String()
}

func values(text *strings.Builder, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		text.WriteString("{ ")
		for i := range v.NumField() {
			values(text, v.Field(i))
		}
		text.WriteString("} ")
	case reflect.Slice, reflect.Array:
		text.WriteString("[ ")
		for i := range v.Len() {
			values(text, v.Index(i))
		}
		text.WriteString("] ")
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			text.WriteString("nil ")
			return
		}
		values(text, v.Elem())
	case reflect.String:
		fmt.Fprintf(text, "%q ", v.String())
	case reflect.Bool:
		fmt.Fprintf(text, "%t ", v.Bool())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		fmt.Fprintf(text, "%d ", v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		fmt.Fprintf(text, "%d ", v.Uint())
	case reflect.Float32, reflect.Float64:
		fmt.Fprintf(text, "%g ", v.Float())
	case reflect.Map:
		fmt.Fprintf(text, "%d keys ", v.Len())
	default:
		fmt.Fprintf(text, "%s ", v.Kind())
	}
}
