// Package gossipbench measures how fast the reports of some sidecars reach all others, and what that costs. It runs the real gossip and
// the real circuit breaker board over a network in memory, in real time or, within a synctest bubble, in virtual time.
package gossipbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mosslead/internal/circuitbreaker"
	"mosslead/internal/gossip"
	"mosslead/internal/gossip/message"
)

const (
	sites                = 4
	reportTTL            = 5 * time.Second
	reportInterval       = 2 * time.Second
	requestInterval      = 100 * time.Millisecond // one member in ten requests the pressure of two others, as hot sidecars do
	membersPerRequester  = 10
	joinTimeout          = time.Minute
	rosterInterval       = time.Second // interval at which boards get the present members
	reportedUpstream     = "s-1"       // several members of all sites report it
	singleReportUpstream = "s-2"       // only one member reports it
)

// Plan describes one measurement.
type Plan struct {
	Members int
	Loss    float64       // share of datagrams that are lost
	Delay   time.Duration // one way
	Settle  time.Duration // wait after all know each other, as messages about new members are still on their way
	Length  time.Duration // of the measurement, after Settle
	Seed    uint64
}

// reporters returns how many members report an upstream as failing: enough for a verdict. A larger fleet needs more
// reports for a verdict.
func reporters(members int) int { return max(6, members/50) }

// Result is the result of one measurement. Times count from the moment at which the last of the reporting members has sent its report.
type Result struct {
	Members   int     `json:"members"`
	Loss      float64 `json:"loss"`
	Seed      uint64  `json:"seed"`
	JoinS     float64 `json:"join_s"`     // time until all members knew each other
	Known95Ms float64 `json:"known95_ms"` // until 95 of 100 members had the verdict
	KnownMs   float64 `json:"known_ms"`   // until all members had it
	Unknown   int     `json:"unknown"`    // members that never had it
	Wrong     int     `json:"wrong"`      // verdicts on the upstream that only one member reported
	BytesMean float64 `json:"bytes_mean"` // bytes a second that a member sent, mean
	BytesMost float64 `json:"bytes_most"` // bytes a second of the member that sent most
	Missing   int     `json:"missing"`    // number of members that a member took for gone at the end, summed over all members
	Dropped   int64   `json:"dropped"`    // datagrams that overflowed a queue: the machine was too slow, don't trust the result
}

type member struct {
	*gossip.Gossiper
	self      message.Member
	transport *transport
	known     time.Time
	wrong     int
}

// Run carries out one measurement.
func Run(ctx context.Context, p Plan) (r Result, err error) {
	r = Result{Members: p.Members, Loss: p.Loss, Seed: p.Seed}
	rng := rand.New(rand.NewPCG(p.Seed, 7))
	f := &fabric{loss: p.Loss, delay: p.Delay, rng: rand.New(rand.NewPCG(p.Seed, 8)), transports: map[string]*transport{}}
	all := make([]*member, 0, p.Members)
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer func() {
		stop()
		running.Wait()
		var leaving sync.WaitGroup
		for _, m := range all {
			leaving.Go(func() { _ = m.Leave() }) // the others need no message any more
		}
		leaving.Wait()
	}()
	var seeds []string
	start := time.Now()
	for n := range p.Members {
		m := &member{self: message.Member{Name: fmt.Sprintf("n%04d", n), Site: fmt.Sprint("site-", n%sites), Schema: message.Schema,
			Incarnation: message.Incarnation{StartedMs: start.UnixMilli(), ID: rng.Uint64()}}, transport: f.newTransport(n)}
		if m.Gossiper, err = gossip.Join(gossip.Config{Member: m.self, Address: m.transport.String(), Seeds: seeds, Transport: m.transport}); err != nil {
			return r, err
		}
		if all = append(all, m); n < 3 {
			seeds = append(seeds, m.transport.String())
		}
	}
	missing := func() (n int) {
		for _, m := range all {
			n += p.Members - m.Present()
		}
		return n
	}
	for missing() > 0 {
		if err := wait(ctx, 50*time.Millisecond); err != nil {
			return r, err
		}
		if time.Since(start) > joinTimeout {
			return r, fmt.Errorf("%d members do not know each other after %v", p.Members, joinTimeout)
		}
	}
	r.JoinS = time.Since(start).Seconds()
	if err := wait(ctx, p.Settle); err != nil {
		return r, err
	}
	before := make([]int64, len(all))
	for i, m := range all {
		before[i] = m.transport.sent.Load()
		running.Go(func() { m.runBoard(ctx, start) })
		running.Go(func() { m.answerRequests(ctx) })
		if i%membersPerRequester == 0 {
			running.Go(func() { m.requestPressure(ctx, p.Members) })
		}
	}
	if err := wait(ctx, p.Length/3); err != nil {
		return r, err
	}
	for i, m := range all[:reporters(p.Members)] {
		upstream := reportedUpstream
		if i == 0 {
			upstream = singleReportUpstream
		}
		report := message.Report{Upstream: upstream, StartedMs: 1, State: message.Open, Evidence: message.ErrorAnswers, Count: 3}
		if err := m.Broadcast(message.Breaker, upstream, report, reportTTL, false); err != nil {
			return r, err
		}
		running.Go(func() { m.repeatReport(ctx, upstream, report) })
	}
	reported := time.Now()
	if err := wait(ctx, 2*p.Length/3); err != nil {
		return r, err
	}
	r.Missing = missing()
	stop()
	running.Wait()
	var times []float64
	for i, m := range all {
		sent := float64(m.transport.sent.Load()-before[i]) / p.Length.Seconds()
		r.BytesMean += sent / float64(len(all))
		r.BytesMost = max(r.BytesMost, sent)
		r.Wrong += m.wrong
		r.Dropped += m.transport.dropped.Load()
		if i > 0 && i < reporters(p.Members) {
			continue // reporters don't count
		}
		if m.known.IsZero() {
			r.Unknown++
			continue
		}
		times = append(times, max(0, float64(m.known.Sub(reported))/1e6))
	}
	if slices.Sort(times); len(times) > 0 {
		r.Known95Ms, r.KnownMs = times[(len(times)-1)*95/100], times[len(times)-1]
	}
	return r, nil
}

// runBoard runs a member's board until ctx ends, and records its verdicts.
func (m *member) runBoard(ctx context.Context, start time.Time) {
	board := circuitbreaker.New(circuitbreaker.Config{Self: m.self.Name, Site: m.self.Site})
	inbox := m.Inbox(message.Breaker)
	take := func(verdicts []circuitbreaker.Verdict) {
		for _, v := range verdicts {
			switch {
			case v.Open && v.Upstream == reportedUpstream && m.known.IsZero():
				m.known = time.Now()
			case v.Open && v.Upstream == singleReportUpstream:
				m.wrong++
			}
		}
	}
	take(board.Handle(time.Since(start), circuitbreaker.EndpointList{Upstreams: []circuitbreaker.Upstream{{Name: reportedUpstream, StartedMs: 1}, {Name: singleReportUpstream, StartedMs: 1},
		{Name: "s-3", StartedMs: 1}, {Name: "s-4", StartedMs: 1}}}))
	roster := time.NewTicker(rosterInterval)
	defer roster.Stop()
	take(board.Handle(time.Since(start), circuitbreaker.Roster{Members: m.Members()}))
	for {
		select {
		case <-ctx.Done():
			return
		case <-roster.C:
			take(board.Handle(time.Since(start), circuitbreaker.Roster{Members: m.Members()}))
		case <-inbox.Ready():
			for r, ok := inbox.Pop(); ok; r, ok = inbox.Pop() {
				var report message.Report
				if message.Decode(r.Body, &report) == nil {
					take(board.Handle(time.Since(start), circuitbreaker.PeerReport{From: message.Member{Name: r.Owner, Incarnation: r.Incarnation}, Report: report, TTL: r.TTL, Withdrawn: r.Withdrawn}))
				}
			}
		}
	}
}

// repeatReport sends a report again and again until ctx ends, as sidecars do.
func (m *member) repeatReport(ctx context.Context, upstream string, report message.Report) {
	for wait(ctx, reportInterval) == nil {
		_ = m.Broadcast(message.Breaker, upstream, report, reportTTL, false) // its size was accepted the first time
	}
}

// requestPressure requests the pressure of other members until ctx ends.
func (m *member) requestPressure(ctx context.Context, members int) {
	for wait(ctx, requestInterval) == nil {
		for range 2 {
			_ = m.SendTo(fmt.Sprintf("n%04d", rand.IntN(members)), message.PressureRequest, nil, reportTTL) // a lost request is followed by others
		}
	}
}

// answerRequests answers requests for pressure until ctx ends.
func (m *member) answerRequests(ctx context.Context) {
	inbox := m.Inbox(message.PressureRequest)
	for {
		select {
		case <-ctx.Done():
			return
		case <-inbox.Ready():
			for r, ok := inbox.Pop(); ok; r, ok = inbox.Pop() {
				_ = m.SendTo(r.Owner, message.LoadReport, message.Pressure{Total: 0.5, InFlight: 0.5}, reportTTL)
			}
		}
	}
}

// wait waits for d, or fails when ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("measuring: %w", context.Cause(ctx))
	}
}
