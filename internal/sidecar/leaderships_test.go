package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/gossip/message"
	"mosslead/internal/lease/memory"
)

// Guards against leaderships at the wrong sidecar: those that concern a site go to a sidecar of that site, a sidecar that ends
// releases its leaderships at once, and it holds the leadership of an upstream's probes only while it campaigns for it.
func TestLeadershipsOfTwoSidecars(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := memory.New(nil)
		start := func(name, site string) *leaderships {
			l, err := newLeaderships("127.0.0.1:1", message.Member{Name: name, Site: site}, func() []string { return []string{"cebu", "davao"} })
			if err != nil {
				t.Fatal(err)
			}
			l.service = service
			l.runners.Go(func() { l.run(l.ctx) })
			return l
		}
		a, b := start("a", "cebu"), start("b", "davao")
		time.Sleep(30 * time.Second)
		for name, l := range map[string]*leaderships{"digest/cebu": a, "incident/cebu": a, "digest/davao": b, "incident/davao": b} {
			if epoch, ok := l.holds(name); !ok || epoch != service.Leadership(name).Epoch {
				t.Errorf("%s: got epoch %d, leading %v; want true under the epoch of the service: %+v", name, epoch, ok, service.Leadership(name))
			}
		}
		a.siteOf = func(string) string { return "cebu" }
		a.campaign(probeLeadership("s-1"), true)
		time.Sleep(10 * time.Second)
		if _, ok := a.holds(probeLeadership("s-1")); !ok {
			t.Errorf("probes of s-1 during the campaign: got leading %v, want true", ok)
		}
		a.campaign(probeLeadership("s-1"), false)
		time.Sleep(time.Second)
		if _, ok := a.holds(probeLeadership("s-1")); ok || service.Leadership(probeLeadership("s-1")).Holder != "" {
			t.Errorf("probes of s-1 after the campaign: got leading %v, holder at the service %q; want false, none", ok, service.Leadership(probeLeadership("s-1")).Holder)
		}
		a.releaseAll()
		time.Sleep(2 * time.Second)
		if _, ok := b.holds("incident/cebu"); !ok {
			t.Errorf("incident/cebu after the release by a: got leading %v at b, want true; the service has %+v", ok, service.Leadership("incident/cebu"))
		}
		if _, ok := (*leaderships)(nil).holds("digest/cebu"); ok {
			t.Errorf("digest/cebu without a list service: got leading %v, want false", ok)
		}
		a.close()
		b.close()
	})
}
