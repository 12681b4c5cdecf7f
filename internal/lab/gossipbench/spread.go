// Package gossipbench owns the measure of how fast what some sidecars say is known to all, and what that costs: the real carrier and
// the real board over a network in memory, in real time.
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
	requestInterval      = 100 * time.Millisecond // one member in ten asks two others for their pressure, as hot sidecars do
	membersPerRequester  = 10
	joinTimeout          = time.Minute
	rosterInterval       = time.Second // boards are told who is present so often
	reportedUpstream     = "s-1"       // what several members of all sites leave out
	singleReportUpstream = "s-2"       // what one alone blames
)

// Plan is one measure.
type Plan struct {
	Members int
	Loss    float64       // share of datagrams
	Delay   time.Duration // one way
	Settle  time.Duration // after all know each other: the word of who has come is still on its way
	Length  time.Duration // after that
	Seed    uint64
}

// reporters is how many members say what they leave out: enough for a verdict, which takes more of them in a larger fleet.
func reporters(members int) int { return max(6, members/50) }

// Result is what was seen. Times count from the moment at which the last of the members that leave it out has said so.
type Result struct {
	Members   int     `json:"members"`
	Loss      float64 `json:"loss"`
	Seed      uint64  `json:"seed"`
	JoinS     float64 `json:"join_s"`     // until all knew each other
	Known95Ms float64 `json:"known95_ms"` // until 95 of 100 had the verdict
	KnownMs   float64 `json:"known_ms"`   // until all had
	Unknown   int     `json:"unknown"`    // who never had
	Wrong     int     `json:"wrong"`      // verdicts on what one member alone blamed
	BytesMean float64 `json:"bytes_mean"` // a second, sent by a member
	BytesMost float64 `json:"bytes_most"` // by the member that sent most
	Missing   int     `json:"missing"`    // members that somebody took for gone at the end, over all
	Dropped   int64   `json:"dropped"`    // datagrams that no member took in time: the machine was too slow, do not trust it
}

type member struct {
	*gossip.Gossiper
	self      message.Member
	transport *transport
	known     time.Time
	wrong     int
}

// Run measures once.
func Run(ctx context.Context, p Plan) (r Result, err error) {
	r = Result{Members: p.Members, Loss: p.Loss, Seed: p.Seed}
	rng := rand.New(rand.NewPCG(p.Seed, 7))
	f := &fabric{loss: p.Loss, delay: p.Delay, rng: rand.New(rand.NewPCG(p.Seed, 8)), transports: map[string]*transport{}}
	all := make([]*member, 0, p.Members)
	ctx, stop := context.WithCancel(ctx)
	var parts sync.WaitGroup
	defer func() {
		stop()
		parts.Wait()
		var leaving sync.WaitGroup
		for _, m := range all {
			leaving.Go(func() { _ = m.Leave() }) // nothing is left to tell the others
		}
		leaving.Wait()
	}()
	var seeds []string
	begun := time.Now()
	for n := range p.Members {
		m := &member{self: message.Member{Name: fmt.Sprintf("n%04d", n), Site: fmt.Sprint("site-", n%sites), Schema: message.Schema,
			Incarnation: message.Incarnation{StartedMs: begun.UnixMilli(), ID: rng.Uint64()}}, transport: f.newTransport(n)}
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
		if time.Since(begun) > joinTimeout {
			return r, fmt.Errorf("%d members do not know each other after %v", p.Members, joinTimeout)
		}
	}
	r.JoinS = time.Since(begun).Seconds()
	if err := wait(ctx, p.Settle); err != nil {
		return r, err
	}
	before := make([]int64, len(all))
	for i, m := range all {
		before[i] = m.transport.sent.Load()
		parts.Go(func() { m.runBoard(ctx, begun) })
		parts.Go(func() { m.answerRequests(ctx) })
		if i%membersPerRequester == 0 {
			parts.Go(func() { m.requestPressure(ctx, p.Members) })
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
		parts.Go(func() { m.repeatReport(ctx, upstream, report) })
	}
	said := time.Now()
	if err := wait(ctx, 2*p.Length/3); err != nil {
		return r, err
	}
	r.Missing = missing()
	stop()
	parts.Wait()
	var times []float64
	for i, m := range all {
		sent := float64(m.transport.sent.Load()-before[i]) / p.Length.Seconds()
		r.BytesMean += sent / float64(len(all))
		r.BytesMost = max(r.BytesMost, sent)
		r.Wrong += m.wrong
		r.Dropped += m.transport.dropped.Load()
		if i > 0 && i < reporters(p.Members) {
			continue // they said it
		}
		if m.known.IsZero() {
			r.Unknown++
			continue
		}
		times = append(times, max(0, float64(m.known.Sub(said))/1e6))
	}
	if slices.Sort(times); len(times) > 0 {
		r.Known95Ms, r.KnownMs = times[(len(times)-1)*95/100], times[len(times)-1]
	}
	return r, nil
}

// runBoard is a member's board, until ctx ends.
func (m *member) runBoard(ctx context.Context, begun time.Time) {
	board := circuitbreaker.New(circuitbreaker.Config{Self: m.self.Name, Site: m.self.Site})
	heard := m.Inbox(message.Breaker)
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
	take(board.Handle(time.Since(begun), circuitbreaker.EndpointList{Upstreams: []circuitbreaker.Upstream{{Name: reportedUpstream, StartedMs: 1}, {Name: singleReportUpstream, StartedMs: 1},
		{Name: "s-3", StartedMs: 1}, {Name: "s-4", StartedMs: 1}}}))
	roster := time.NewTicker(rosterInterval)
	defer roster.Stop()
	take(board.Handle(time.Since(begun), circuitbreaker.Roster{Members: m.Members()}))
	for {
		select {
		case <-ctx.Done():
			return
		case <-roster.C:
			take(board.Handle(time.Since(begun), circuitbreaker.Roster{Members: m.Members()}))
		case <-heard.Ready():
			for r, ok := heard.Pop(); ok; r, ok = heard.Pop() {
				var report message.Report
				if message.Decode(r.Body, &report) == nil {
					take(board.Handle(time.Since(begun), circuitbreaker.PeerReport{From: message.Member{Name: r.Owner, Incarnation: r.Incarnation}, Report: report, TTL: r.TTL, Withdrawn: r.Withdrawn}))
				}
			}
		}
	}
}

// repeatReport says what was said repeatReport, as sidecars do, until ctx ends.
func (m *member) repeatReport(ctx context.Context, upstream string, report message.Report) {
	for wait(ctx, reportInterval) == nil {
		_ = m.Broadcast(message.Breaker, upstream, report, reportTTL, false) // it was within the bounds before
	}
}

// requestPressure asks others for their pressure, until ctx ends.
func (m *member) requestPressure(ctx context.Context, members int) {
	for wait(ctx, requestInterval) == nil {
		for range 2 {
			_ = m.SendTo(fmt.Sprintf("n%04d", rand.IntN(members)), message.PressureRequest, nil, reportTTL) // one that is lost is asked for again
		}
	}
}

// answerRequests answers who asks, until ctx ends.
func (m *member) answerRequests(ctx context.Context) {
	asked := m.Inbox(message.PressureRequest)
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked.Ready():
			for r, ok := asked.Pop(); ok; r, ok = asked.Pop() {
				_ = m.SendTo(r.Owner, message.LoadReport, message.Pressure{Total: 0.5, InFlight: 0.5}, reportTTL)
			}
		}
	}
}

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
