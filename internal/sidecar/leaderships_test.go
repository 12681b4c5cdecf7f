package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/gossip/message"
	"mosslead/internal/lease/memory"
)

// The site's own sidecar gets the leaderships that are about its site; one that ends hands on at once; a suspect's probes are a leadership
// only while somebody suspects it.
func TestLeadershipsOfTwoSidecars(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := memory.New(nil)
		begin := func(name, site string) *leaderships {
			d, err := newLeaderships("127.0.0.1:1", message.Member{Name: name, Site: site}, func() []string { return []string{"cebu", "davao"} })
			if err != nil {
				t.Fatal(err)
			}
			d.service = service
			d.runners.Go(func() { d.run(d.ctx) })
			return d
		}
		a, b := begin("a", "cebu"), begin("b", "davao")
		time.Sleep(30 * time.Second)
		for name, d := range map[string]*leaderships{"digest/cebu": a, "incident/cebu": a, "digest/davao": b, "incident/davao": b} {
			if epoch, ok := d.holds(name); !ok || epoch != service.Leadership(name).Epoch {
				t.Errorf("%s: %d, %v; the service says %+v", name, epoch, ok, service.Leadership(name))
			}
		}
		a.siteOf = func(string) string { return "cebu" }
		a.campaign(probeLeadership("s-1"), true)
		time.Sleep(10 * time.Second)
		if _, ok := a.holds(probeLeadership("s-1")); !ok {
			t.Error("nobody holds the trials of one that is left out")
		}
		a.campaign(probeLeadership("s-1"), false)
		time.Sleep(time.Second)
		if _, ok := a.holds(probeLeadership("s-1")); ok || service.Leadership(probeLeadership("s-1")).Holder != "" {
			t.Error("the trials of one that is used again are still held")
		}
		a.releaseAll()
		time.Sleep(2 * time.Second)
		if _, ok := b.holds("incident/cebu"); !ok {
			t.Errorf("not handed on by one that ends: %+v", service.Leadership("incident/cebu"))
		}
		if _, ok := (*leaderships)(nil).holds("digest/cebu"); ok {
			t.Error("a sidecar without a list service holds a duty")
		}
		a.close()
		b.close()
	})
}
