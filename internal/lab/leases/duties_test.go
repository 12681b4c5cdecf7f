package leases_test

import (
	"os"
	"testing"
	"time"

	"mosslead/internal/cli"
	"mosslead/internal/lab/leases"
)

// TestMain makes this binary act as mosslead, since candidates and replicas are processes of their own.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && (os.Args[1] == "lab" || os.Args[1] == "registry") {
		os.Exit(cli.Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

func TestDutiesAreHandedOnAmongProcesses(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range leases.Kinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			x, err := leases.Run(t.Context(), leases.Spec{Program: self, Dir: t.TempDir(), Kind: kind, Seed: 1, HandOns: 2, Lease: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			if x.HandOns < 2 || x.Taken == 0 {
				t.Errorf("got %d hand-ons and %d accepted acts, want at least 2 and 1: %+v", x.HandOns, x.Taken, x)
			}
			for _, b := range x.Breaches {
				if b.Rule == "gap" { // depends on the machine's load too; mosslead lab duties checks it where nothing else runs
					continue
				}
				t.Errorf("got breach of rule %q at %v, want none: %s", b.Rule, b.At, b.Text)
			}
		})
	}
}
