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
			t.Errorf("%q: %v, want %q", text, err, want)
		}
		var place *Error
		if err != nil && !errors.As(err, &place) {
			t.Errorf("%q: no place in %v", text, err)
		}
		var library *toml.DecodeError
		if place != nil && place.Err != nil && !errors.As(err, &library) {
			t.Errorf("%q: the library's own error is lost", text)
		}
	}
}
