package loopback

import (
	"net"
	"testing"
)

// Guards against a port that two processes of a run are given.
func TestAddressesAreGivenOnce(t *testing.T) {
	all, err := Addresses(600)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, a := range all {
		if seen[a] {
			t.Fatalf("address %s was returned twice, want once", a)
		}
		seen[a] = true
	}
	for _, a := range []string{all[0], all[599]} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
	}
}

func TestAPartIsHeldUntilItIsReleased(t *testing.T) {
	a, err := Claim()
	if err != nil {
		t.Fatal(err)
	}
	b, err := Claim()
	if err != nil {
		t.Fatal(err)
	}
	defer b.Release()
	if a.N == b.N {
		t.Errorf("two claims both got part %d, want different parts", a.N)
	}
	a.Release()
	l, err := net.Listen("tcp", a.claim.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
}
