package sidecar

import (
	"testing"

	"mosslead/balancer"
)

// Guards against a sidecar that depends on one replica of a list service: it continues at another replica from its version. A
// snapshot without ready endpoints does not replace its list, but the draining entries of that snapshot are applied.
func TestSeveralReplicasAreFollowed(t *testing.T) {
	script := func(_ int, send func(string), _ <-chan struct{}) {
		send(list(6, false, entry("a", "127.0.0.2:1", "Ready"), entry("b", "127.0.0.2:2", "Ready")))
		send(list(9, true, entry("b", "127.0.0.2:2", "Terminating")))
	}
	first, second := newDiscovery(t, script), newDiscovery(t, script)
	dir, updates := startWatcher(t, &fakeDiscovery{address: first.address + "," + second.address}, entry("a", "127.0.0.2:1", "Ready"))
	if m := nextUpdate(t, updates); m.Kind != balancer.Delta || len(m.Endpoints) != 2 {
		t.Errorf("got first update %+v, want a delta with 2 endpoints", m)
	}
	m := nextUpdate(t, updates)
	if m.Kind != balancer.Delta || len(m.Endpoints) != 1 || m.Endpoints[0].Upstream != "b" || m.Endpoints[0].State != balancer.Draining {
		t.Errorf("got update %+v for the suspect list, want a delta with b, draining", m)
	}
	if _, ok := dir.address("a"); !ok {
		t.Error("got no address for a, want that of the first list: the snapshot without ready endpoints was applied")
	}
	if _, ok := dir.address("b"); ok {
		t.Error("got an address for b, want none, since it drains")
	}
}

func TestDiscoveryAtSeveralAddresses(t *testing.T) {
	if c := testConfig(t, "127.0.0.1:1,127.0.0.2:1"); !isReplicated(c.Discovery) {
		t.Errorf("got isReplicated(%q) false, want true", c.Discovery)
	}
	if _, err := parseConfig([]byte(`{"name":"n1","listen":"127.0.0.1:9000","discovery":"127.0.0.1:1,here","seed":"8c"}`)); err == nil {
		t.Error("got no error for the invalid address \"here\", want one")
	}
}
