package tomlconfig

import (
	"errors"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

func TestErrorsNameTheirPlace(t *testing.T) {
	for text, want := range map[string]string{
		"a = 1\n":                    "",
		"a = 1\n[b]\nc = 2\nd = 3\n": "line 4: unknown key b.d",
		"a = 1\n[b]\nc = \"x\"\n":    "line 3, column 5: b.c: ",
		"a = 1\nb\n":                 "line 2, column ",
	} {
		var x struct {
			A int `toml:"a"`
			B struct {
				C int `toml:"c"`
			} `toml:"b"`
		}
		err := TOML([]byte(text), &x)
		if (err == nil) != (want == "") || err != nil && !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: got error %v, want it to begin with %q", text, err, want)
		}
		var located *Error
		if err != nil && !errors.As(err, &located) {
			t.Errorf("%q: got %T %v, want an *Error", text, err, err)
		}
		var decodeErr *toml.DecodeError
		if located != nil && located.Err != nil && !errors.As(err, &decodeErr) {
			t.Errorf("%q: got %v, want it to wrap a toml.DecodeError", text, err)
		}
	}
}
