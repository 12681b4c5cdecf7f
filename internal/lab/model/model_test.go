package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// coresOnlySpec returns the spec of a server that only its cores limit.
func coresOnlySpec(cores int) Spec {
	return Spec{Cores: cores, Speed: 1, SlotsPerCore: 1, QueuePerCore: 1e6}
}

// runJobs offers n jobs with exponential gaps and exponential work of 10 ms on the mean, and returns the mean time from
// arrival to end.
func runJobs(s *Server, n int, rho float64, seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 1))
	const work = 10 * time.Millisecond
	gap := float64(work) / (rho * float64(s.spec.Cores))
	arrived := make(map[string]time.Duration, 1024)
	var at, total time.Duration
	ended := 0
	count := func(done []Done) {
		for _, d := range done {
			total += d.At - arrived[d.ID]
			delete(arrived, d.ID)
			ended++
		}
	}
	for i := range n {
		at += time.Duration(rng.ExpFloat64() * gap)
		count(s.Advance(at))
		id := fmt.Sprint(i)
		arrived[id] = at
		s.Offer(at, Job{ID: id, Work: time.Duration(rng.ExpFloat64() * float64(work))})
	}
	for next := s.Next(); next != Never; next = s.Next() {
		count(s.Advance(next))
	}
	if ended != n {
		panic(fmt.Sprintf("%d of %d jobs ended", ended, n))
	}
	return total / time.Duration(n)
}

// erlangC returns the probability that an arrival finds all c servers busy (Erlang, 1917) at an offered load of a.
func erlangC(c int, a float64) float64 {
	sum, term := 0.0, 1.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	last := term / (1 - a/float64(c))
	return last / (sum + last)
}

// Guards against wrong waiting times: compares an M/M/4 queue with Erlang C, and checks Little's law.
func TestWaitingAgreesWithErlangC(t *testing.T) {
	for _, c := range []struct {
		rho float64
		n   int
	}{{0.5, 1_000_000}, {0.7, 800_000}, {0.9, 2_000_000}} {
		t.Run(fmt.Sprint(c.rho), func(t *testing.T) {
			t.Parallel()
			s := New(coresOnlySpec(4), 1, 0, 0)
			took := runJobs(s, c.n, c.rho, 7)
			const service = 0.010
			want := erlangC(4, 4*c.rho) * service / (4 * (1 - c.rho))
			got := took.Seconds() - service
			if math.Abs(got-want) > 0.03*want+0.00002 {
				t.Errorf("mean wait: got %.3f ms, want %.3f ms (Erlang C)", got*1e3, want*1e3)
			}
			if area, sojourns := s.Little(); math.Abs(area-sojourns) > 1e-6*area {
				t.Errorf("Little's law: got %v job-seconds held over time and %v spent by jobs, want both equal", area, sojourns)
			}
		})
	}
}

func runToEnd(s *Server) (last time.Duration, ended int) {
	for next := s.Next(); next != Never && next < time.Hour; next = s.Next() {
		for _, d := range s.Advance(next) {
			last = d.At
			ended++
		}
	}
	return last, ended
}

func TestSlotsShareTheCores(t *testing.T) {
	spec := coresOnlySpec(2)
	spec.SlotsPerCore = 4
	s := New(spec, 1, 0, 0)
	for i := range 4 {
		s.Offer(0, Job{ID: fmt.Sprint(i), Work: 100 * time.Millisecond})
	}
	if last, n := runToEnd(s); n != 4 || last.Round(time.Millisecond) != 200*time.Millisecond {
		t.Errorf("got %d jobs ended, the last at %v; want 4 at 200ms (100 ms each on two cores)", n, last)
	}
}

func TestTurnsAwayBeyondTheWaitingRoom(t *testing.T) {
	spec := coresOnlySpec(1)
	spec.QueuePerCore = 2
	s := New(spec, 1, 0, 0)
	got := map[Offer]int{}
	for i := range 5 {
		got[s.Offer(0, Job{ID: fmt.Sprint(i), Work: time.Second})]++
	}
	if got[Taken] != 3 || got[Full] != 2 {
		t.Errorf("got offers %v, want 3 taken (one slot, two waiting places) and 2 turned away", got)
	}
}

func TestColdServerWarmsUpAndFalls(t *testing.T) {
	spec := coresOnlySpec(1)
	spec.ColdFrom, spec.ColdFor = 0.5, 10*time.Second
	s := New(spec, 1, 0, 0)
	s.Offer(0, Job{ID: "a", Work: time.Second})
	// The integral of 0.5 + 0.05 t reaches 1 at t = 10 (√1.4 - 1).
	if last, _ := runToEnd(s); math.Abs(last.Seconds()-10*(math.Sqrt(1.4)-1)) > 0.02 {
		t.Errorf("work of 1 s on a cold core: took %v, want 10 (√1.4 - 1) s, within 0.02 s", last)
	}
	spec.FallMultiple, spec.FallFor = 4, time.Second
	s = New(spec, 1, 0, 0)
	for i := range 3 {
		if got := s.Offer(0, Job{Work: 600 * time.Millisecond}); got != Taken {
			t.Fatalf("offer %d within the budget of 2 s of work: got %v, want Taken", i, got)
		}
	}
	if got := s.Offer(0, Job{Work: 600 * time.Millisecond}); got != Down || !s.Fallen() {
		t.Errorf("offered 2.4 s of work within 1 s to a cold core that falls above 2 s: got %v, fallen: %v, want Down and fallen", got, s.Fallen())
	}
}

func TestCrowdChokesAndRestCures(t *testing.T) {
	spec := coresOnlySpec(1)
	spec.Choke = Choke{At: 2, Over: time.Second, Slower: 3, Below: 0.4, Rest: 2 * time.Second, Most: time.Minute}
	s := New(spec, 1, 0, 0)
	for range 8 {
		s.Offer(0, Job{Work: 500 * time.Millisecond})
	}
	s.Advance(900 * time.Millisecond)
	if s.Choked() {
		t.Error("choked after 900 ms of a long queue, want choked after 1 s at the earliest")
	}
	s.Advance(1200 * time.Millisecond)
	if !s.Choked() {
		t.Fatal("not choked after 1.2 s of a long queue, want choked after 1 s")
	}
	last, _ := runToEnd(s)
	if last < 8*time.Second {
		t.Errorf("all jobs done at %v, want 8 s or later, because a choked server is three times slower", last)
	}
	if s.Advance(last + 4*time.Second); s.Choked() {
		t.Error("still choked 4 s after its last job, want recovered after 2 s")
	}
}

func TestKeysMetOfLateAreCheaper(t *testing.T) {
	spec := coresOnlySpec(1)
	spec.KeyGain, spec.KeyFor, spec.KeysPerCore = 0.5, time.Second, 2
	for _, c := range []struct {
		name  string
		keys  []string
		gap   time.Duration
		cheap int
	}{
		{"again", []string{"a", "a"}, 200 * time.Millisecond, 1},
		{"too late", []string{"a", "a"}, 2 * time.Second, 0},
		{"pushed out", []string{"a", "b", "c", "a"}, 200 * time.Millisecond, 0},
	} {
		s, at, took := New(spec, 1, 0, 0), time.Duration(0), time.Duration(0)
		for _, key := range c.keys {
			s.Advance(at)
			s.Offer(at, Job{Key: key, Work: 100 * time.Millisecond})
			for _, d := range s.Advance(at + 150*time.Millisecond) {
				took += d.At - at
			}
			at += c.gap
		}
		want := time.Duration(len(c.keys))*100*time.Millisecond - time.Duration(c.cheap)*50*time.Millisecond
		if took.Round(time.Millisecond) != want {
			t.Errorf("%s: got %v of work, want %v", c.name, took, want)
		}
	}
}

// Measures the model alone: the laboratory requires a million requests in under 10 s.
func BenchmarkMillionRequests(b *testing.B) {
	for range b.N {
		runJobs(New(coresOnlySpec(4), 1, 0, 0), 1_000_000, 0.8, 3)
	}
}
