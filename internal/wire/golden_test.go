package wire

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"mosslead/balancer"
	"mosslead/internal/golden"
)

// Guards against renaming a key of the platform's settings, or reading it into another field.
func TestSettingsKeepTheirKeys(t *testing.T) {
	golden.Equal(t, "keys", string(Keys())+"\n")
	s, err := DecodeSettings([]byte(`{"Balancers":3,"Discovery":"ask","OverShareWorth":0.25,"TickMs":4,"WorthBy":"work","Zone":"z",
		"Classes":[{"Name":"a","Semantics":"dedup","KeyScope":"cell","AimMs":5,"AimStretch":0.5,"DeadlineMs":60,"Importance":7,
		"LateShare":0.75,"DedupWindowMs":8,"Stream":true},{"Name":"b","Semantics":"fragile","AimMs":9,"DeadlineMs":10},
		{"Name":"c","Semantics":"retryable","KeyScope":"zone"}],
		"Limits":{"Cancelling":true,"Probes":true,"RetryAfter":true,"SecondCopies":true,"ConnectTimeoutMs":11,"MaxRetryAfterMs":12,
		"ConnIdleMs":13,"SendCap":14},"Prices":{"CrossZone":0.125},"Rules":{"ColdFrom":0.375,"WarmUpMs":15,"FallMs":16,"FallMultiple":17,"DrainGraceMs":18},
		"Tenants":[{"Name":"t","Fraction":0.625}]}`))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "settings", golden.Values(s)+"\n")
}

// Guards against renaming a field of the simulator's events and actions.
func TestSimulatorMessagesKeepTheirFields(t *testing.T) {
	var text strings.Builder
	for _, line := range []string{
		`{"verb":"Inventory","Table":1,"MembersList":[{"RackZone":"z","Cell":2,"StageState":"leaving","Upstream":"u","Machine":"m","CameUpMs":3,"Weight":4}]}`,
		`{"verb":"Order","I":5,"Id":"r","Type":"c","Billing":"t","ExpiresMs":6,"PredictedMs":7,"Bits":1}`,
		`{"verb":"Returned","I":8,"Id":"r","Hop":9,"Result":521,"ElapsedMs":10,"Finished":true}`,
		`{"verb":"Heard","By":11,"Contents":"x","Scope":"FULL","Prng":12}`,
	} {
		var e event
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(&text, golden.Values(e))
	}
	for _, code := range []int{200, 429, 408, 521, 520, 444, 409, 500} {
		fmt.Fprint(&text, int(attemptResult(code)), " ")
	}
	for kind := balancer.StartAttempt; kind <= balancer.Log; kind++ {
		encoded, err := json.Marshal(encode(1, &balancer.Action{Kind: kind, ID: "r", Upstream: "u", Attempt: 2, Timeout: 3e6, RetryAfter: 4e6, At: 5e6, Text: "x"}))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "\n%s", encoded)
	}
	golden.Equal(t, "messages", text.String()+"\n")
}
