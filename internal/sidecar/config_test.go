package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"mosslead/balancer"
)

// Guards against a sidecar that starts with an unusable configuration, and fails under traffic.
func TestConfig(t *testing.T) {
	good := fmt.Sprintf(`{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
		"unknown":true,"limits":{"cores":0.5,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		list(41, true, entry("s", "127.0.0.2:9000", "Ready")), testSettings)
	c, err := parseConfig([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.Limits.Sockets != 1024 || *c.Known.Revision != 41 ||
		c.Settings.ConnIdle != 15*time.Second || c.Settings.ConnectTimeout != 2*time.Second {
		t.Errorf("got %+v, want the values of the file", c)
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
			t.Fatalf("%s: the configuration does not contain %s", name, change[0])
		}
		if _, err := parseConfig([]byte(text)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want an error of one line", name, err)
		} else if _, where, found := strings.Cut(name, ": "); found {
			for _, word := range strings.Fields(where) {
				if !strings.Contains(err.Error(), word) {
					t.Errorf("%s: got error %v, want one that contains %q", name, err, word)
				}
			}
		}
	}
}

const otherSettings = `{"Balancers":30.0,"Zone":"","Discovery":"push","TickMs":5.0,"WorthBy":"request","Tiers":["t"],
 "FamilyInfo":{"WarmKeys":true},"Classes":[
  {"Name":"slow","Semantics":"retryable","KeyScope":"none","DedupWindowMs":-1,"AimMs":750.0,"AimStretch":0,"DeadlineMs":500.0,"Importance":2,"LateShare":0.25,"Stream":false},
  {"Name":"paid","Semantics":"dedup","KeyScope":"cell","DedupWindowMs":300.5,"AimMs":250.0,"AimStretch":2,"DeadlineMs":6000.0,"Importance":3,"LateShare":0,"Stream":false}],
 "Limits":{"Cancelling":false,"ConnIdleMs":1e300,"ConnectTimeoutMs":200.0,"MaxRetryAfterMs":0,"Probes":false,"RetryAfter":true,
  "SecondCopies":false,"SendCap":1.0},
 "OverShareWorth":0.4,"Prices":{"CrossZone":0.15,"Waste":0.2},"Rules":{"ColdFrom":0.3,"FallMs":1000.0,"FallMultiple":4.0,"WarmUpMs":8800.0},
 "Tenants":[{"Name":"only","Fraction":1.0,"QuotaRps":97.0}]}`

func otherConfig(settings string) (*Config, error) {
	return parseConfig(fmt.Appendf(nil, `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c",
		"limits":{"cores":0.05,"memory_mb":32.0,"sockets":256.0},"known":%s,"settings":%s}`, list(41, true), settings))
}

// Guards against rejecting otherSettings, the valid settings of another customer: integers with a fraction, no zones, an AimMs
// beyond the deadline, the lowest limits, and information on message families that nothing reads.
func TestConfigOfAnotherCustomer(t *testing.T) {
	c, err := otherConfig(otherSettings)
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Limits != (Limits{0.05, 32, 256}) || s.FleetSize != 30 || s.MaxAttempts != 1 || s.Cancellation || s.Hedging || s.MustSubscribe ||
		s.MaxRetryAfter != 0 || s.ConnIdle < 24*365*time.Hour || s.ConnectTimeout != 200*time.Millisecond || s.WeightByWork || s.Zone != "" {
		t.Errorf("got limits %+v and settings %+v, want the values of the file", c.Limits, s)
	}
	if k := s.Classes[1]; k.Idempotency != balancer.IdempotentByKey || k.KeyScope != balancer.KeyScopeCell || k.DedupWindow != 300500*time.Microsecond || k.Deadline != 6*time.Second {
		t.Errorf("class with keys: got %+v, want the values of the file", k)
	}
	for name, change := range map[string][2]string{
		"SendCap below 1":      {`"SendCap":1.0`, `"SendCap":0.5`},
		"negative fleet":       {`"Balancers":30.0`, `"Balancers":-1e300`},
		"keys without a scope": {`"KeyScope":"cell"`, `"KeyScope":"none"`},
		"keys without window":  {`"DedupWindowMs":300.5`, `"DedupWindowMs":-1`},
		"an infinite number":   {`"AimMs":250.0`, `"AimMs":1e999`},
		"a fraction above 1":   {`"Fraction":1.0`, `"Fraction":1.5`},
		"a duplicate name":     {`"Name":"paid"`, `"Name":"slow"`},
		"classes as an object": {`"Classes":[`, `"Classes":{"a":[`},
		"null classes":         {`"Classes":[`, `"Classes":null,"Others":[`},
	} {
		text := strings.Replace(otherSettings, change[0], change[1], 1)
		if text == otherSettings {
			t.Fatalf("%s: the settings do not contain %s", name, change[0])
		}
		if _, err := otherConfig(text); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want an error of one line", name, err)
		}
	}
}

// Guards against rejecting a reload for a missing key that is not required: the list of upstreams, keys that nothing reads or
// that are optional, and the keys of tenants if there are no tenants any more.
func TestReloadMayLackWhatNothingReads(t *testing.T) {
	old, err := otherConfig(otherSettings)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change [2]string
		lacks  string
	}{
		"no change":           {},
		"a key never read":    {[2]string{`"FamilyInfo":{"WarmKeys":true},`, ``}, ""},
		"a price never read":  {[2]string{`,"Waste":0.2`, ``}, ""},
		"an AimStretch":       {[2]string{`"AimStretch":2,`, ``}, ""},
		"no tenants":          {[2]string{`{"Name":"only","Fraction":1.0,"QuotaRps":97.0}`, ``}, ""},
		"a tenant's fraction": {[2]string{`"Fraction":1.0,`, ``}, "settings.Tenants.Fraction"},
		"the key Tenants":     {[2]string{`"Tenants"`, `"Tenant"`}, "settings.Tenants"},
		"a price":             {[2]string{`"CrossZone":0.15,`, ``}, "settings.Prices.CrossZone"},
		"a limit":             {[2]string{`"RetryAfter":true,`, ``}, "settings.Limits.RetryAfter"},
		"AimMs of one class":  {[2]string{`"AimMs":250.0,`, ``}, "settings.Classes.AimMs"},
	} {
		fresh, err := otherConfig(strings.Replace(otherSettings, c.change[0], c.change[1], 1))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		delete(fresh.keys, "known")
		switch err := fresh.checkReplaces(old); {
		case c.lacks == "" && err != nil:
			t.Errorf("without %s: got error %v, want none", name, err)
		case c.lacks != "" && (err == nil || err.Error() != "lacks "+c.lacks):
			t.Errorf("without %s: got error %v, want lacks %s", name, err, c.lacks)
		}
	}
	if noTenants, err := otherConfig(strings.Replace(otherSettings, `{"Name":"only","Fraction":1.0,"QuotaRps":97.0}`, ``, 1)); err != nil || old.checkReplaces(noTenants) != nil {
		t.Errorf("tenants that a reload adds: got errors %v and %v, want none", err, old.checkReplaces(noTenants))
	}
}

// Guards against a sidecar that accepts otherSettings and can't serve under them: one attempt, no cancellation, no zone, no
// tenant, the fewest descriptors and the smallest memory. A request that hangs is answered in time, and as its class's semantics
// demand.
func TestAnotherCustomerIsServed(t *testing.T) {
	limit := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(limit) })
	s := newUpstream(t, func(c net.Conn, r receivedRequest) bool {
		switch {
		case strings.HasSuffix(r.target, "hang"):
			return neverRespond(c, r)
		case strings.HasSuffix(r.target, "error"):
			return respondWith("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")(c, r)
		}
		return respondWith(ok200("done"))(c, r)
	})
	settings := strings.NewReplacer(`{"Name":"only","Fraction":1.0,"QuotaRps":97.0}`, ``, `"AimMs":250.0`, `"AimMs":5000.0`,
		`"AimMs":750.0`, `"AimMs":7500.0`, `"DeadlineMs":500.0`, `"DeadlineMs":5000.0`).Replace(otherSettings) // long enough for a slow machine
	c, err := parseConfig(fmt.Appendf(nil, `{"name":"n3","listen":"127.0.0.4:9000","discovery":%q,"seed":"8c",
		"limits":{"cores":0.05,"memory_mb":32.0,"sockets":256.0},"known":%s,"settings":%s}`,
		quietDiscovery(t).address, `{"index":1,"snapshot":true,"endpoints":[{"name":"s","address":"`+s.address+`","status":"Ready"}]}`, settings))
	if err != nil {
		t.Fatal(err)
	}
	r := start(t, c, "127.0.0.1:0")
	newRequest := func(method, class, path string) *http.Request {
		req := request(t, r.address, class, "")
		req.Method, req.URL.Path = method, "/"+class+"/"+path
		req.Header.Set("X-Timeout", "1000m")
		req.Header.Set("X-Tenant-Id", "nobody")
		req.Header.Set("Idempotency-Key", "k")
		return req
	}
	for class, method := range map[string]string{"slow": http.MethodGet, "paid": http.MethodPost} {
		for range 3 {
			if resp, body := r.do(t, newRequest(method, class, "x")); resp.StatusCode != 200 || body != "done" {
				t.Fatalf("class %s: got %s %q, want 200 \"done\"", class, resp.Status, body)
			}
		}
		for _, fault := range []string{"error", "hang"} {
			sentAt := time.Now()
			resp, _ := r.do(t, newRequest(method, class, fault))
			isRejected := resp.StatusCode == 429 || resp.StatusCode == 503
			if elapsed := time.Since(sentAt); elapsed > 4*time.Second || resp.StatusCode < 400 || isRejected != (class == "slow") {
				t.Errorf("class %s, upstream fault %s: got %s after %v, want an error within 4s, 429 or 503 only for class slow", class, fault, resp.Status, elapsed)
			}
		}
	}
	if n := len(s.requests()); n != 10 {
		t.Errorf("%d requests reached the upstream, want 10, one attempt each", n)
	}
}
