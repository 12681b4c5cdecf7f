package sidecar

import (
	"testing"

	"mosslead/balancer"
)

// Guards against a sidecar that hangs on one replica of a list service: it goes on at another from the version it has,
// doubts a list that empties at once, and is bound by what that list says drains.
func TestSeveralReplicasAreFollowed(t *testing.T) {
	ends := func(_ int, send func(string), _ <-chan struct{}) {
		send(list(6, false, entry("a", "127.0.0.2:1", "Ready"), entry("b", "127.0.0.2:2", "Ready")))
		send(list(9, true, entry("b", "127.0.0.2:2", "Terminating")))
	}
	one, other := newDiscovery(t, ends), newDiscovery(t, ends)
	dir, updates := startWatcher(t, &fakeDiscovery{address: one.address + "," + other.address}, entry("a", "127.0.0.2:1", "Ready"))
	if m := nextUpdate(t, updates); m.Kind != balancer.Delta || len(m.Endpoints) != 2 {
		t.Errorf("first told %+v", m)
	}
	m := nextUpdate(t, updates)
	if m.Kind != balancer.Delta || len(m.Endpoints) != 1 || m.Endpoints[0].Upstream != "b" || m.Endpoints[0].State != balancer.Draining {
		t.Errorf("of a list that is doubted, told %+v", m)
	}
	if _, ok := dir.address("a"); !ok {
		t.Error("a list without anybody ready was believed unread")
	}
	if _, ok := dir.address("b"); ok {
		t.Error("who drains is still used")
	}
}

func TestDiscoveryAtSeveralAddresses(t *testing.T) {
	if c := testConfig(t, "127.0.0.1:1,127.0.0.2:1"); !isReplicated(c.Discovery) {
		t.Error("not taken")
	}
	if _, err := parseConfig([]byte(`{"name":"n1","listen":"127.0.0.1:9000","discovery":"127.0.0.1:1,here","seed":"8c"}`)); err == nil {
		t.Error("an address that is none was taken")
	}
}
