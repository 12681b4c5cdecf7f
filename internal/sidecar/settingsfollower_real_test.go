package sidecar

import (
	"encoding/json"
	"net"
	"strings"
	"testing"

	"mosslead/internal/registry"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
	"mosslead/internal/registry/registrytest"
)

// Guards against two sides that each work with what stands in for the other: a real list service, and a sidecar of each kind.
func TestSettingsFromARealListService(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := l.Addr().String()
	_ = l.Close()
	registrytest.Start(t, registry.Dev(at))
	c := client.New([]string{at})
	t.Cleanup(c.Close)
	put := func(text string, on int64) int64 {
		t.Helper()
		var version int64
		eventually(t, "settings taken", func() bool { // a leader has to hear first that all replicas know of settings
			var err error
			version, err = c.Put(t.Context(), "orders", api.PutRequest{Schema: 1, Settings: json.RawMessage(text), IfRevision: &on})
			if err != nil && !api.IsCode(err, api.CodeOlderReplica) {
				t.Fatal(err)
			}
			return err == nil
		})
		return version
	}
	// of is how far the document has come, once it is as far as wanted.
	of := func(version int64, ok func(api.Rollout) bool) {
		t.Helper()
		eventually(t, "the rollout", func() bool {
			all, err := c.Rollouts(t.Context())
			return err == nil && len(all.Rollouts) == 1 && all.Rollouts[0].Revision == version && ok(all.Rollouts[0])
		})
	}
	inForce := func(r api.Rollout) bool { return r.InForce == 2 && r.Behind+r.Rejected+r.Silent == 0 }

	u := newUpstream(t, respondWith(ok200("done")))
	first := put(testSettings, 0)
	own := ofService(t, at, entry("s", u.address, "Ready"))
	own.Name = "n2"
	r := start(t, own, "127.0.0.1:0")
	outcomes, _ := startHollowWith(t, ofService(t, at))
	hears(t, outcomes, first, "")
	of(first, inForce)

	second := put(probing, first)
	hears(t, outcomes, second, "")
	of(second, inForce)
	if resp, _ := r.do(t, request(t, r.address, "probe", "")); resp.StatusCode == 404 {
		t.Error("a class of the settings is unknown")
	}
	third := put(strings.Replace(probing, `"SecondCopies":true,`, ``, 1), second) // valid, and less than the files have
	hears(t, outcomes, third, "lacks settings.Limits.SecondCopies")
	of(third, func(r api.Rollout) bool {
		return r.Rejected == 2 && len(r.NotInForce) == 2 && r.NotInForce[0].Revision == second && strings.Contains(r.NotInForce[0].Reason, "SecondCopies")
	})
	if _, err := c.Put(t.Context(), "orders", api.PutRequest{Schema: 1, Settings: json.RawMessage(`{"Classes":[]}`), IfRevision: &third}); err == nil {
		t.Error("the list service took settings that no sidecar can use")
	}
	last, err := c.Delete(t.Context(), "orders", third)
	if err != nil {
		t.Fatal(err)
	}
	hears(t, outcomes, last, "")
	of(last, inForce)
	if resp, _ := r.do(t, request(t, r.address, "probe", "")); resp.StatusCode != 404 {
		t.Errorf("a class of deleted settings: %s", resp.Status)
	}
}
