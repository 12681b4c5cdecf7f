package settings

import (
	"strings"
	"testing"
)

const validDocument = `{"Zone":"a","Discovery":"ask",
 "Classes":[{"Name":"search","Semantics":"retryable","AimMs":500,"DeadlineMs":1000},
  {"Name":"paid","Semantics":"fragile","AimMs":500,"DeadlineMs":1000,"AimStretch":2}],
 "Limits":{"SendCap":3},"Comment":"none reads it","Tenants":[]}`

// Guards against an error that leaves whoever wrote the settings searching, and against a document that a sidecar's file could not hold.
func TestCheckNamesTheKeyOrThePlace(t *testing.T) {
	s, err := Check(1, []byte(validDocument))
	if err != nil || len(s.Classes) != 2 || s.MaxAttempts != 3 {
		t.Fatalf("read as %+v, %v", s, err)
	}
	for name, change := range map[string][3]string{
		"no JSON":       {`"Tenants":[]}`, `"Tenants":[}`, "line 4, column 62"},
		"cut short":     {`"Tenants":[]}`, `"Tenants":[]`, "line 4"},
		"another kind":  {`"SendCap":3`, `"SendCap":"3"`, "line 4, column 24 Limits.SendCap"},
		"no attempts":   {`"SendCap":3`, `"SendCap":0`, "Limits.SendCap"},
		"a class twice": {`"paid"`, `"search"`, "Classes search"},
		"no deadline":   {`"DeadlineMs":1000}`, `"DeadlineMs":0}`, "Classes search Deadline"},
		"no classes":    {`"Classes"`, `"Class"`, "Classes"},
		"a list":        {validDocument, `[]`, "line 1"},
		"nothing":       {validDocument, `null`, "Classes"},
		"empty":         {validDocument, ``, "unexpected end"},
	} {
		text := strings.Replace(validDocument, change[0], change[1], 1)
		if text == validDocument {
			t.Fatalf("%s: nothing changed", name)
		}
		_, err := Check(1, []byte(text))
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", name, err)
			continue
		}
		for _, word := range strings.Split(change[2], " ") {
			if !strings.Contains(err.Error(), word) {
				t.Errorf("%s: error %q lacks %q", name, err, word)
			}
		}
	}
	for _, schema := range []int{-1, 0, Schema + 1} {
		if _, err := Check(schema, []byte(validDocument)); err == nil || !strings.Contains(err.Error(), "schema") {
			t.Errorf("schema %d: %v", schema, err)
		}
	}
}

// Guards against settings that lose a limit unseen, and against such as can't drop what nobody reads.
func TestLacks(t *testing.T) {
	old, err := DocumentKeys([]byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string][3]string{
		"the same":                   {},
		"a limit":                    {`"SendCap":3`, ``, "settings.Limits.SendCap"},
		"a class's deadline":         {`"AimMs":500,"DeadlineMs":1000}`, `"AimMs":500}`, "settings.Classes.DeadlineMs"},
		"a stretch":                  {`,"AimStretch":2`, ``, ""},
		"what nobody reads":          {`"Comment":"none reads it",`, ``, ""},
		"the zone, which is freed":   {`"Zone":"a",`, ``, ""},
		"no classes, and a list yet": {validDocument, `{"Classes":[],"Discovery":"ask","Limits":{"SendCap":3},"Tenants":[]}`, ""},
	} {
		keys, err := DocumentKeys([]byte(strings.Replace(validDocument, change[0], change[1], 1)))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if lacks := keys.Lacks(old, "settings.Zone"); lacks != change[2] {
			t.Errorf("%s: lacks %q, not %q", name, lacks, change[2])
		}
	}
}
