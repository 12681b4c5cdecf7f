package sidecar

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against a sidecar that starts with what it can't use, and finds out under traffic.
func TestConfig(t *testing.T) {
	good := fmt.Sprintf(`{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
		"unknown":true,"limits":{"cores":0.5,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		list(41, true, entry("s", "127.0.0.2:9000", "Ready")), testSettings)
	c, err := parseConfig([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.Limits.Sockets != 1024 || *c.Known.Index != 41 ||
		c.Settings.ConnIdle != 15*time.Second || c.Settings.ConnectTimeout != 2*time.Second {
		t.Errorf("read as %+v", c)
	}
	for name, change := range map[string][2]string{
		"no JSON: line 1, column 2":       {`{"name"`, `{name`},
		"limits.sockets: line 2":          {`"sockets":1024`, `"sockets":"1024"`},
		"known: line 2":                   {`"index":41,`, `"index":"41",`},
		"settings: line 3 Limits.SendCap": {`"SendCap":5`, `"SendCap":"5"`},
		"listen":                          {"127.0.0.4:9000", "everywhere:9000"},
		"port":                            {"127.0.0.4:9000", "127.0.0.4:90000"},
		"discovery":                       {"127.2.0.1:8500", ""},
		"seed":                            {"8c1f30d27a5be964", "chance"},
		"no limits":                       {`"limits"`, `"limit"`},
		"cores":                           {`"cores":0.5`, `"cores":0`},
		"memory":                          {`"memory_mb":192`, `"memory_mb":-1`},
		"sockets":                         {`"sockets":1024`, `"sockets":3`},
		"known":                           {`"index":41,`, ``},
		"settings":                        {`"settings"`, `"setting"`},
		"no classes":                      {`"Classes"`, `"Class"`},
		"effect":                          {`"fragile"`, `"brittle"`},
	} {
		text := strings.Replace(good, change[0], change[1], 1)
		if text == good {
			t.Fatalf("%s: nothing changed", name)
		}
		if _, err := parseConfig([]byte(text)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", name, err)
		} else if _, where, told := strings.Cut(name, ": "); told {
			for _, words := range strings.Fields(where) {
				if !strings.Contains(err.Error(), words) {
					t.Errorf("%s: error %v", name, err)
				}
			}
		}
	}
}
