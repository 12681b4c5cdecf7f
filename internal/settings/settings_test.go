package settings

import (
	"strings"
	"testing"
)

const validDocument = `{"Zone":"a","Discovery":"ask",
 "Classes":[{"Name":"search","Semantics":"retryable","AimMs":500,"DeadlineMs":1000},
  {"Name":"paid","Semantics":"fragile","AimMs":500,"DeadlineMs":1000,"AimStretch":2}],
 "Limits":{"SendCap":3},"Comment":"none reads it","Tenants":[]}`

// Guards against an error that does not say where the settings are wrong, and against accepting a document that would be
// invalid in a sidecar's file.
func TestCheckNamesTheKeyOrThePlace(t *testing.T) {
	s, err := Check(1, []byte(validDocument))
	if err != nil || len(s.Classes) != 2 || s.MaxAttempts != 3 {
		t.Fatalf("Check of the valid document: got %+v and error %v, want 2 classes, 3 attempts and no error", s, err)
	}
	for name, change := range map[string][3]string{
		"invalid JSON":  {`"Tenants":[]}`, `"Tenants":[}`, "line 4, column 62"},
		"cut short":     {`"Tenants":[]}`, `"Tenants":[]`, "line 4"},
		"wrong type":    {`"SendCap":3`, `"SendCap":"3"`, "line 4, column 24 Limits.SendCap"},
		"no attempts":   {`"SendCap":3`, `"SendCap":0`, "Limits.SendCap"},
		"bad grace":     {`"Tenants":[]`, `"Rules":{"DrainGraceMs":-1}`, "Rules.DrainGraceMs"},
		"a class twice": {`"paid"`, `"search"`, "Classes search"},
		"no deadline":   {`"DeadlineMs":1000}`, `"DeadlineMs":0}`, "Classes search Deadline"},
		"no classes":    {`"Classes"`, `"Class"`, "Classes"},
		"a list":        {validDocument, `[]`, "line 1"},
		"nothing":       {validDocument, `null`, "Classes"},
		"empty":         {validDocument, ``, "unexpected end"},
	} {
		text := strings.Replace(validDocument, change[0], change[1], 1)
		if text == validDocument {
			t.Fatalf("%s: the valid document does not contain %q", name, change[0])
		}
		_, err := Check(1, []byte(text))
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want an error of one line", name, err)
			continue
		}
		for _, word := range strings.Split(change[2], " ") {
			if !strings.Contains(err.Error(), word) {
				t.Errorf("%s: got error %q, want it to contain %q", name, err, word)
			}
		}
	}
	for _, schema := range []int{-1, 0, Schema + 1} {
		if _, err := Check(schema, []byte(validDocument)); err == nil || !strings.Contains(err.Error(), "schema") {
			t.Errorf("schema %d: got error %v, want one that names the schema", schema, err)
		}
	}
}

// Guards against settings that lose a limit unnoticed, and against the rejection of settings that omit keys that are not read.
func TestLacks(t *testing.T) {
	old, err := DocumentKeys([]byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string][3]string{
		"the same":                  {},
		"a limit":                   {`"SendCap":3`, ``, "settings.Limits.SendCap"},
		"a class's deadline":        {`"AimMs":500,"DeadlineMs":1000}`, `"AimMs":500}`, "settings.Classes.DeadlineMs"},
		"a stretch":                 {`,"AimStretch":2`, ``, ""},
		"a key that is not read":    {`"Comment":"none reads it",`, ``, ""},
		"the zone, which is exempt": {`"Zone":"a",`, ``, ""},
		"an empty list of classes":  {validDocument, `{"Classes":[],"Discovery":"ask","Limits":{"SendCap":3},"Tenants":[]}`, ""},
	} {
		keys, err := DocumentKeys([]byte(strings.Replace(validDocument, change[0], change[1], 1)))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if lacks := keys.Lacks(old, "settings.Zone"); lacks != change[2] {
			t.Errorf("%s: missing key: got %q, want %q", name, lacks, change[2])
		}
	}
}
