package load

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gonum.org/v1/gonum/stat"

	"mosslead/internal/lab/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testSpec() Spec {
	return Spec{Length: 80 * time.Second, Rate: 500, StreamCV: 0.5, Keys: 100, KeyZipf: 0.8, TryShare: [2]float64{0.7, 1},
		Retries: 0.5, Backoff: 50 * time.Millisecond,
		Classes: []Class{
			{Name: "read", Share: 0.8, Work: 100 * time.Millisecond, CV: 2, Aim: time.Second, Deadline: 4 * time.Second, Worth: 2, Safe: true},
			{Name: "charge", Share: 0.2, Work: 50 * time.Millisecond, CV: 2.2, Pareto: true, Aim: time.Second, Deadline: 3 * time.Second, Worth: 3},
		},
		Tenants: []Tenant{{Name: "a", Share: 0.7}, {Name: "b", Share: 0.3, Usage: 2}}}
}

func TestPlanFollowsItsSpecAndSeed(t *testing.T) {
	spec := testSpec()
	spec.Steps = []Step{{At: 20 * time.Second, For: 20 * time.Second, Times: 2}}
	p := Draw(spec, 4, 1)
	if again := Draw(spec, 4, 1); again.Hash() != p.Hash() {
		t.Errorf("two draws from seed 1 have different hashes %s and %s, want equal ones", p.Hash(), again.Hash())
	}
	if other := Draw(spec, 4, 2); other.Hash() == p.Hash() {
		t.Errorf("seeds 1 and 2 have the same hash %s, want different ones", p.Hash())
	}
	var inside, outside, tenantB int
	work, classes := make([]float64, 2), make([]float64, 2)
	for _, a := range p.Arrivals {
		if a.At >= 20*time.Second && a.At < 40*time.Second {
			inside++
		} else {
			outside++
		}
		if a.Tenant == "b" {
			tenantB++
		}
		work[a.Class] += a.Work.Seconds()
		classes[a.Class]++
	}
	checkNear := func(what string, got, want, tolerance float64) {
		t.Helper()
		if math.Abs(got-want) > tolerance*want {
			t.Errorf("%s: got %.4f, want %.4f", what, got, want)
		}
	}
	checkNear("rate outside of the step", float64(outside)/60, 500, 0.08)
	checkNear("rate in the step", float64(inside)/20, 1000, 0.08)
	checkNear("share of the first class", classes[0]/(classes[0]+classes[1]), 0.8, 0.02)
	checkNear("mean work of the first class", work[0]/classes[0], 0.1, 0.05)
	checkNear("mean work of the second class", work[1]/classes[1], 0.05, 0.05)
	checkNear("share of tenant b", float64(tenantB)/float64(len(p.Arrivals)), 0.6/1.3, 0.03)
}

// Checks that a bursty rate changes over time: its counts per second deviate more than chance makes those of a
// constant rate deviate.
func TestBurstsSwing(t *testing.T) {
	deviation := func(spec Spec) float64 {
		counts := make([]float64, 80)
		for _, a := range Draw(spec, 1, 1).Arrivals {
			counts[int(a.At/time.Second)]++
		}
		return stat.StdDev(counts, nil)
	}
	constant := testSpec()
	bursty := constant
	bursty.Bursty, bursty.Swing = true, 0.4
	if e, b := deviation(constant), deviation(bursty); e > 30 || b < 3*e {
		t.Errorf("standard deviation of requests per second: got %.0f at a constant rate and %.0f at a bursty one, want at most 30 at the constant rate and at least 3 times as much at the bursty one", e, b)
	}
}

// slowServer starts a server that answers requests one at a time, each after the given time, and returns its address.
func slowServer(t *testing.T, after time.Duration, answer func(net.Conn, *http.Request)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open sync.WaitGroup
	var serial sync.Mutex
	open.Add(1)
	go func() {
		defer open.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer open.Done()
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					serial.Lock()
					time.Sleep(after)
					serial.Unlock()
					answer(c, req)
				}
			}()
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); open.Wait() })
	return ln.Addr().String()
}

func ok(c net.Conn, _ *http.Request) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
}

// Guards against coordinated omission: a server that serves one request in 20 ms is sent 20 within 1 ms, and the last
// must be recorded as taking 400 ms, counted from when it was to be sent.
func TestLatencyCountsFromTheIntendedTime(t *testing.T) {
	rec := record.New()
	c := NewClients(rec, []string{"s"}, []string{slowServer(t, 20*time.Millisecond, ok)}, 100)
	p := Plan{Spec: testSpec()}
	for i := range 20 {
		p.Arrivals = append(p.Arrivals, Arrival{At: time.Duration(i) * 50 * time.Microsecond, Patience: 3 * time.Second, ID: string(rune('a' + i))})
	}
	c.Run(context.Background(), p, rec.Now())
	longest := time.Duration(0)
	for _, q := range rec.Requests {
		if q.End != record.Served {
			t.Errorf("request %s: got end %v, want %v", q.ID, q.End, record.Served)
		}
		longest = max(longest, q.Took())
	}
	if len(rec.Requests) != 20 || longest < 390*time.Millisecond {
		t.Errorf("got %d requests, the longest of %v, want 20 and at least 390ms: 20 of 20 ms each, sent together, take 400 ms", len(rec.Requests), longest)
	}
}

func TestEndsAreToldApart(t *testing.T) {
	raw := func(text string, end bool) func(net.Conn, *http.Request) {
		return func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, text)
			if end {
				_ = c.Close()
			}
		}
	}
	for name, c := range map[string]struct {
		answer func(net.Conn, *http.Request)
		want   record.End
	}{
		"served":     {ok, record.Served},
		"refused":    {raw("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", false), record.Refused},
		"failed":     {raw("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", false), record.Failed},
		"broken":     {raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", true), record.Broken},
		"dropped":    {raw("", true), record.Dropped},
		"unanswered": {raw("", false), record.Unanswered},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rec := record.New()
			clients := NewClients(rec, []string{"s"}, []string{slowServer(t, 0, c.answer)}, 4)
			p := Plan{Spec: testSpec(), Arrivals: []Arrival{{ID: "x", Patience: 100 * time.Millisecond}}}
			clients.Run(context.Background(), p, rec.Now())
			if got := rec.Requests[0].End; got != c.want {
				t.Errorf("got end %v, want %v", got, c.want)
			}
		})
	}
}

func TestRetriesOnlyWhatMayBeRepeated(t *testing.T) {
	fail := func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
	}
	for class, want := range []int{2, 1} { // class 0, read, is safe to repeat; class 1, charge, is not
		rec := record.New()
		clients := NewClients(rec, []string{"s"}, []string{slowServer(t, 0, fail)}, 4)
		p := Plan{Spec: testSpec(), Arrivals: []Arrival{{ID: "x", RetryID: "y", Class: class, Patience: time.Second, Retry: true}}}
		clients.Run(context.Background(), p, rec.Now())
		if len(rec.Requests) != want {
			t.Errorf("failed request of class %d: got %d tries, want %d", class, len(rec.Requests), want)
		}
	}
}

func TestCancelEndsEverything(t *testing.T) {
	rec := record.New()
	silent := func(net.Conn, *http.Request) {}
	clients := NewClients(rec, []string{"s"}, []string{slowServer(t, 0, silent)}, 4)
	p := Plan{Spec: testSpec(), Arrivals: []Arrival{{ID: "x", Patience: time.Hour}, {ID: "y", At: time.Hour}}}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for rec.Lookup("x") == nil {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	clients.Run(ctx, p, rec.Now())
	if len(rec.Requests) != 1 || rec.Requests[0].End != record.Unsent {
		t.Errorf("got %d requests, the first with end %v, want 1 with %v", len(rec.Requests), rec.Requests[0].End, record.Unsent)
	}
}

// Checks that a step of some sidecars' clients does not change the rate of the others.
func TestAStepOfOneSite(t *testing.T) {
	spec := testSpec()
	spec.StreamCV, spec.Steps = 0, []Step{{At: 40 * time.Second, For: 40 * time.Second, Times: 3, Of: []int{1}}}
	before, during := make([]float64, 4), make([]float64, 4)
	for _, a := range Draw(spec, 4, 1).Arrivals {
		if a.At < 40*time.Second {
			before[a.Sidecar]++
		} else {
			during[a.Sidecar]++
		}
	}
	for i, want := range []float64{1, 3, 1, 1} {
		if got := during[i] / before[i]; math.Abs(got-want) > 0.1*want {
			t.Errorf("sidecar %d: got %.2f times as many requests in the step as before, want %v", i, got, want)
		}
	}
}
