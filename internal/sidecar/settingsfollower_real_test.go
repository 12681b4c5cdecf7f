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

// Guards against a list service and sidecars that work only with fakes of each other: a real list service, a sidecar and a
// hollow sidecar.
func TestSettingsFromARealListService(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	registrytest.Start(t, registry.Dev(address))
	c := client.New([]string{address})
	t.Cleanup(c.Close)
	put := func(text string, basedOn int64) int64 {
		t.Helper()
		var version int64
		eventually(t, "settings accepted by the list service", func() bool { // the leader rejects settings until it knows that all replicas support them
			var err error
			version, err = c.Put(t.Context(), "orders", api.PutRequest{Schema: 1, Settings: json.RawMessage(text), IfRevision: &basedOn})
			if err != nil && !api.IsCode(err, api.CodeOlderReplica) {
				t.Fatal(err)
			}
			return err == nil
		})
		return version
	}
	// awaitRollout waits until ok returns true for the rollout of a version.
	awaitRollout := func(version int64, ok func(api.Rollout) bool) {
		t.Helper()
		eventually(t, "the rollout", func() bool {
			all, err := c.Rollouts(t.Context())
			return err == nil && len(all.Rollouts) == 1 && all.Rollouts[0].Revision == version && ok(all.Rollouts[0])
		})
	}
	inForce := func(r api.Rollout) bool { return r.InForce == 2 && r.Behind+r.Rejected+r.Silent == 0 }

	u := newUpstream(t, respondWith(ok200("done")))
	first := put(testSettings, 0)
	config := ordersConfig(t, address, entry("s", u.address, "Ready"))
	config.Name = "n2"
	r := start(t, config, "127.0.0.1:0")
	outcomes, _ := startHollowWithOutcomes(t, ordersConfig(t, address))
	expectOutcome(t, outcomes, first, "")
	awaitRollout(first, inForce)

	second := put(probeSettings, first)
	expectOutcome(t, outcomes, second, "")
	awaitRollout(second, inForce)
	if resp, _ := r.do(t, request(t, r.address, "probe", "")); resp.StatusCode == 404 {
		t.Error("got status 404 for a class of the settings, want another")
	}
	third := put(strings.Replace(probeSettings, `"SecondCopies":true,`, ``, 1), second) // valid, but without a key that the files have
	expectOutcome(t, outcomes, third, "lacks settings.Limits.SecondCopies")
	awaitRollout(third, func(r api.Rollout) bool {
		return r.Rejected == 2 && len(r.NotInForce) == 2 && r.NotInForce[0].Revision == second && strings.Contains(r.NotInForce[0].Reason, "SecondCopies")
	})
	if _, err := c.Put(t.Context(), "orders", api.PutRequest{Schema: 1, Settings: json.RawMessage(`{"Classes":[]}`), IfRevision: &third}); err == nil {
		t.Error("got no error from the list service for settings that no sidecar can use, want one")
	}
	last, err := c.Delete(t.Context(), "orders", third)
	if err != nil {
		t.Fatal(err)
	}
	expectOutcome(t, outcomes, last, "")
	awaitRollout(last, inForce)
	if resp, _ := r.do(t, request(t, r.address, "probe", "")); resp.StatusCode != 404 {
		t.Errorf("got status %s for a class of deleted settings, want 404", resp.Status)
	}
}
