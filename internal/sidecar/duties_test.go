package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/gossip/message"
	"mosslead/internal/lease/memory"
)

// The site's own sidecar gets the duties that are about its site; one that ends hands on at once; a suspect's trials are a duty
// only while somebody suspects it.
func TestDutiesOfTwoSidecars(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := memory.New(nil)
		begin := func(name, site string) *duties {
			d, err := newDuties("127.0.0.1:1", message.Member{Name: name, Site: site}, func() []string { return []string{"cebu", "davao"} })
			if err != nil {
				t.Fatal(err)
			}
			d.service = service
			d.runs.Go(func() { d.run(d.ctx) })
			return d
		}
		a, b := begin("a", "cebu"), begin("b", "davao")
		time.Sleep(30 * time.Second)
		for name, d := range map[string]*duties{"digest/cebu": a, "incident/cebu": a, "digest/davao": b, "incident/davao": b} {
			if epoch, ok := d.holds(name); !ok || epoch != service.Duty(name).Epoch {
				t.Errorf("%s: %d, %v; the service says %+v", name, epoch, ok, service.Duty(name))
			}
		}
		a.siteOf = func(string) string { return "cebu" }
		a.wish(trialsOf("s-1"), true)
		time.Sleep(10 * time.Second)
		if _, ok := a.holds(trialsOf("s-1")); !ok {
			t.Error("nobody holds the trials of one that is left out")
		}
		a.wish(trialsOf("s-1"), false)
		time.Sleep(time.Second)
		if _, ok := a.holds(trialsOf("s-1")); ok || service.Duty(trialsOf("s-1")).Holder != "" {
			t.Error("the trials of one that is used again are still held")
		}
		a.yield()
		time.Sleep(2 * time.Second)
		if _, ok := b.holds("incident/cebu"); !ok {
			t.Errorf("not handed on by one that ends: %+v", service.Duty("incident/cebu"))
		}
		if _, ok := (*duties)(nil).holds("digest/cebu"); ok {
			t.Error("a sidecar without a list service holds a duty")
		}
		a.close()
		b.close()
	})
}
