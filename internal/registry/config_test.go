package registry

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRegionsInAConfiguration(t *testing.T) {
	const base = "name = \"a\"\ndir = \"d\"\n"
	const replica = "[[replica]]\nname = \"a\"\nraft = \"127.0.0.1:1\"\napi = \"127.0.0.1:2\"\n"
	follow := func(region, api string) string {
		return "[[follow]]\nregion = \"" + region + "\"\napi = [" + api + "]\n"
	}
	for _, test := range []struct{ name, top, tables, wantErr string }{
		{"one region", "", "", ""},
		{"two regions", "region = \"south\"\n", follow("north", `"127.0.0.1:3", "127.0.0.1:4"`), ""},
		{"a region that follows none", "region = \"south\"\n", "", ""},
		{"follows another region without a name of its own", "", follow("north", `"127.0.0.1:3"`), "region: absent"},
		{"follows itself", "region = \"south\"\n", follow("south", `"127.0.0.1:3"`), "this one"},
		{"a region listed twice", "region = \"south\"\n", follow("north", `"127.0.0.1:3"`) + follow("north", `"127.0.0.1:3"`), "twice"},
		{"a followed region without a name", "region = \"south\"\n", follow("", `"127.0.0.1:3"`), "absent"},
		{"no addresses", "region = \"south\"\n", follow("north", ``), "follow.api of north: absent"},
		{"an invalid address", "region = \"south\"\n", follow("north", `"north"`), `host:port, not "north"`},
		{"unknown key", "region = \"south\"\n", follow("north", `"127.0.0.1:3"`) + "name = \"n\"\n", "unknown key follow.name"},
		{"a long name", "region = \"" + strings.Repeat("r", 65) + "\"\n", "", "at most 64"},
		{"too many regions", "region = \"south\"\n", strings.Repeat(follow("north", `"127.0.0.1:3"`), MaxFollow+1), "at most 15 are allowed"},
	} {
		path := filepath.Join(t.TempDir(), "replica.toml")
		if err := os.WriteFile(path, []byte(base+test.top+replica+test.tables), 0o644); err != nil {
			t.Fatal(err)
		}
		_, err := LoadConfig(path)
		if (test.wantErr == "") != (err == nil) || err != nil && (!strings.Contains(err.Error(), test.wantErr) || !strings.Contains(err.Error(), path)) {
			t.Errorf("%s: got error %v, want one with %q and the path, or nil if that is empty", test.name, err, test.wantErr)
		}
	}
}
