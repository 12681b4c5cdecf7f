package settings

import (
	"strings"
	"testing"
)

const validFile = `{
 "Balancers": 1, "TickMs": 5, "OverShareWorth": 0.5,
 "Classes": [
  {"Name": "search", "Semantics": "retryable", "AimMs": 500, "DeadlineMs": 1000,
   "Importance": 1, "LateShare": 0.5, "AimStretch": 1},
  {"Name": "record", "Semantics": "dedup", "KeyScope": "zone",
   "DedupWindowMs": 6000, "AimMs": 500, "DeadlineMs": 1000}],
 "Limits": {"ConnectTimeoutMs": 200, "MaxRetryAfterMs": 1500,
  "SendCap": 5},
 "Prices": {"CrossZone": 1},
 "Rules": {"ColdFrom": 0.3, "FallMs": 2000,
  "FallMultiple": 3, "WarmUpMs": 8800},
 "Tenants": [{"Name": "a", "Fraction": 0.5}]
}`

// Checks that for each setting that Check rejects, Locate returns its line and its key in the file, so that the operator need not
// search for it. Also guards against settings that balancer names and keyOfSetting lacks.
func TestWhatIsTurnedDownIsLocated(t *testing.T) {
	if _, err := Check(1, []byte(validFile)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		old, new string
		line     int
		key      string
	}{
		{`"TickMs": 5`, `"TickMs": -5`, 2, "TickMs"},
		{`"Balancers": 1`, `"Balancers": -1`, 2, "Balancers"},
		{`"Balancers": 1`, `"balancers": -1`, 2, "Balancers"},
		{`Worth": 0.5`, `Worth": 7`, 2, "OverShareWorth"},
		{`"TickMs": 5`, `"TickMs": "x"`, 2, "TickMs"},
		{`"MaxRetryAfterMs": 1500`, `"MaxRetryAfterMs": -1`, 8, "Limits.MaxRetryAfterMs"},
		{`"ConnectTimeoutMs": 200`, `"ConnectTimeoutMs": -1`, 8, "Limits.ConnectTimeoutMs"},
		{`"SendCap": 5`, `"SendCap": -1`, 9, "Limits.SendCap"},
		{`"SendCap": 5`, `"SendCap": "5"`, 9, "Limits.SendCap"},
		{`"CrossZone": 1`, `"CrossZone": -1`, 10, "Prices.CrossZone"},
		{`"ColdFrom": 0.3`, `"ColdFrom": 3`, 11, "Rules.ColdFrom"},
		{`"FallMs": 2000`, `"FallMs": -1`, 11, "Rules.FallMs"},
		{`"FallMultiple": 3`, `"FallMultiple": -3`, 12, "Rules.FallMultiple"},
		{`"WarmUpMs": 8800`, `"WarmUpMs": -1`, 12, "Rules.WarmUpMs"},
		{`"Fraction": 0.5`, `"Fraction": 1.5`, 13, "Tenants.Fraction"},
		{`"retryable"`, `"often"`, 4, "Classes.Semantics"},
		{`"AimMs": 500, "DeadlineMs": 1000,`, `"AimMs": -1, "DeadlineMs": 1000,`, 4, "Classes.AimMs"},
		{`"AimMs": 500, "DeadlineMs": 1000,`, `"AimMs": 500,`, 4, "Classes.DeadlineMs"}, // absent: the line of the object's name
		{`"Importance": 1`, `"Importance": -1`, 5, "Classes.Importance"},
		{`"LateShare": 0.5`, `"LateShare": 5`, 5, "Classes.LateShare"},
		{`"AimStretch": 1`, `"AimStretch": -1`, 5, "Classes.AimStretch"},
		{`"KeyScope": "zone"`, `"KeyScope": "house"`, 6, "Classes.KeyScope"},
		{`"DedupWindowMs": 6000`, `"DedupWindowMs": -6`, 7, "Classes.DedupWindowMs"},
		{`"Name": "record"`, `"Name": "search"`, 6, "Classes.Name"},
		{`"Name": "record"`, `"Name": ""`, 6, "Classes.Name"},
		{`"SendCap": 5}`, `"SendCap": 5]`, 9, ""}, // no key, as the text is not JSON
	} {
		text := strings.Replace(validFile, c.old, c.new, 1)
		if text == validFile {
			t.Fatalf("the test's settings do not contain %q", c.old)
		}
		_, err := Check(1, []byte(text))
		if err == nil {
			t.Errorf("Check of settings with %s: got no error, want one", c.new)
			continue
		}
		if place := Locate([]byte(text), err); place.Line != c.line || place.Key != c.key || place.Column < 1 {
			t.Errorf("%s: error %v is located at %+v, want line %d, key %q and a column of 1 or more", c.new, err, place, c.line, c.key)
		}
	}
	for _, text := range []string{`{}`, `null`, `[]`, ``, `{"Classes":[]}`, `{"Classes":[{}]}`} {
		_, err := Check(1, []byte(text))
		if err == nil {
			t.Errorf("Check of %q: got no error, want one", text)
			continue
		}
		Locate([]byte(text), err) // must not panic
	}
	if _, err := Check(Schema+1, []byte(validFile)); err == nil || Locate([]byte(validFile), err) != (Place{}) {
		t.Errorf("Check of a newer schema: got %v at %+v, want an error without a position", err, Locate([]byte(validFile), err))
	}
}
