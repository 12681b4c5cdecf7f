package gossipbench

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/lab/capacity"
)

// In virtual time the measurement does not depend on the machine. All sizes take some minutes, so they run only on request:
//
//	go test ./internal/lab/gossipbench -run TestSpread -v -spread.all -spread.to spread.svg
var (
	allSizes = flag.Bool("spread.all", false, "16, 64, 256 and 1,000 members, with 0, 10 and 30% of datagrams lost, 3 seeds")
	noSettle = flag.Bool("spread.rush", false, "from the moment on at which all of a mass start know each other")
	plotPath = flag.String("spread.to", "", "picture of the times")

	// The measurement behind docs/CAPACITY.md: at 16 to 256 members, and then at the size that these predict.
	capacityDir  = flag.String("spread.capacity", "", "directory of measures: gossip.json is written there")
	checkSize    = flag.Int("spread.check", 0, "play so many members, of which a measure in that directory holds a prediction")
	predictLarge = flag.Bool("spread.large", false, "predict 1,000 members from what gossip.json has, its check among it, in gossip-large.json")
	measureName  = flag.String("spread.measure", "gossip", "whose prediction is played")
	revision     = flag.String("spread.revision", "", "of the work tree, for the measure")
)

// TestCapacity measures what a member sends, and writes the measure, if -spread.capacity is set.
func TestCapacity(t *testing.T) {
	if *capacityDir == "" {
		t.Skip("runs only with -spread.capacity DIR")
	}
	play := func(n, seed int) capacity.Sample {
		r := runVirtual(t, Plan{Members: n, Delay: 5 * time.Millisecond, Settle: 20 * time.Second, Length: 30 * time.Second, Seed: uint64(seed)})
		t.Logf("%+v", r)
		if r.Unknown > 0 || r.Wrong > 0 || r.Dropped > 0 {
			t.Errorf("got %d unknown, %d wrong and %d dropped, want 0 of each: %+v", r.Unknown, r.Wrong, r.Dropped, r)
		}
		return capacity.Sample{Sizes: map[string]float64{"members": float64(n)},
			Got: map[string]float64{"bytes_mean": r.BytesMean, "bytes_most": r.BytesMost, "known95_ms": r.Known95Ms, "known_ms": r.KnownMs, "seed": float64(seed)}}
	}
	if *predictLarge {
		m, err := capacity.ReadMeasure(filepath.Join(*capacityDir, "gossip.json"))
		if err != nil {
			t.Fatal(err)
		}
		m.Name, m.Command, m.Samples = "gossip-large", m.Command+" -spread.large", append(m.Samples, m.Checks...)
		if err := m.Predict(map[string]float64{"members": 1000}, *revision); err != nil {
			t.Fatal(err)
		}
		if err := m.Write(*capacityDir); err != nil {
			t.Fatal(err)
		}
		return
	}
	if *checkSize > 0 {
		m, err := capacity.ReadMeasure(filepath.Join(*capacityDir, *measureName+".json"))
		if err != nil {
			t.Fatal(err)
		}
		if float64(*checkSize) != m.Prediction.Sizes["members"] {
			t.Fatalf("got %d members to check, want the predicted size %v", *checkSize, m.Prediction.Sizes)
		}
		m.Checks = []capacity.Sample{play(*checkSize, 1)}
		if err := m.Write(*capacityDir); err != nil {
			t.Fatal(err)
		}
		return
	}
	m := &capacity.Measure{Name: "gossip", Question: "What does a member send so that what some say is known to all?", Revision: *revision,
		Command: "go test ./internal/lab/spread -run TestCapacity -spread.capacity docs/capacity", Machine: "virtual time",
		How: "the real carrier and board over a network in memory, in virtual time: 5 ms a datagram, none lost, a tenth of the members asking two others each 100 ms, from 20 s after all know each other, over 30 s; " +
			"bytes of datagrams and streams that a member sends, without the kernel's headers",
		Series: []capacity.Series{{Name: "bytes_mean", Unit: "bytes/s", Form: "pushpull(members)"}, {Name: "bytes_most", Unit: "bytes/s", Form: "pushpull(members)"}}}
	for _, n := range []int{16, 64, 128, 256} {
		for seed := range 2 {
			m.Samples = append(m.Samples, play(n, seed+1))
		}
	}
	if err := m.Predict(map[string]float64{"members": 512}, *revision); err != nil {
		t.Fatal(err)
	}
	if err := m.Write(*capacityDir); err != nil {
		t.Fatal(err)
	}
}

// runVirtual runs a plan in virtual time.
func runVirtual(t *testing.T, p Plan) (r Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var err error
		if r, err = Run(t.Context(), p); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // until the library's last probes have timed out
	})
	return r
}

func TestSpread(t *testing.T) {
	sizes, losses, seeds := []int{16}, []float64{0, 0.3}, 1
	if *allSizes {
		sizes, losses, seeds = []int{16, 64, 256, 1000}, []float64{0, 0.1, 0.3}, 3
	}
	settle := 20 * time.Second
	if *noSettle {
		settle = 0
	}
	var results []Result
	for _, n := range sizes {
		for _, loss := range losses {
			for seed := range seeds {
				r := runVirtual(t, Plan{Members: n, Loss: loss, Delay: 5 * time.Millisecond, Settle: settle, Length: 9 * time.Second, Seed: uint64(seed + 1)})
				results = append(results, r)
				t.Logf("%+v", r)
				if r.Unknown > 0 || r.Wrong > 0 {
					t.Errorf("%d members, loss %v: got %d without the verdict and %d wrong verdicts, want 0 and 0", n, loss, r.Unknown, r.Wrong)
				}
				if r.BytesMost > 8<<10 && !*noSettle {
					t.Errorf("%d members: got up to %.0f bytes a second from a member, want at most %d", n, r.BytesMost, 8<<10)
				}
			}
		}
	}
	if *plotPath != "" {
		if err := Plot(*plotPath, results); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(os.Stderr, "drawn:", *plotPath)
	}
}
