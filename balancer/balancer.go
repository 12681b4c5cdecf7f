// Package balancer makes the decisions of a client-side load balancer that runs as a sidecar: which endpoint
// gets an attempt, which requests are admitted, when to retry, to hedge and to give up, and which endpoints
// are ejected. A sidecar calls New once and Handle for each event, and carries out the returned actions in
// order. The package does no I/O and reads no clock, so that both a simulator and a real sidecar can use it.
//
// requests.go receives a request, and admission.go decides whether it is admitted. picker.go chooses an
// endpoint among the candidates of subset.go and locality.go; retry.go checks whether an attempt is
// allowed. When an attempt ends, ewma.go and latency.go update their estimates, outlier.go evaluates the
// health of its endpoint, and requests.go answers the request or sends it again. slowstart.go limits the
// load on an endpoint that has just started. evidence.go, peerverdict.go and probe.go exchange
// evidence on endpoints with other sidecars.
//
// Three rules always apply: a request gets one final answer, in time (deadline.go); a request that must not
// run twice is not sent again once it may have run (canAttempt); no request is sent to an endpoint that is
// draining, removed or banned (canAttempt).
//
// Unless stated otherwise, a time is a time.Duration on the caller's monotonic clock, a latency is in
// seconds, and a normalized latency is one divided by the work expected of its request
// (latencyModel.expectedWork).
package balancer

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer makes one sidecar's decisions. It is not safe for concurrent use, and none of its methods blocks.
type Balancer struct {
	settings      Settings
	meanObjective float64 // mean latency objective of the classes, seconds
	rng           *rand.Rand
	now           time.Duration // latest time of an event
	actions       []Action      // result of the call of Handle in progress
	timers        timerQueue

	classes  map[string]*class
	requests map[string]*request

	endpoints       endpointTable
	discovery       discovery
	latency         latencyModel
	locality        locality
	admission       admission
	retryBudget     retryBudget
	hedges          hedgeStats
	probedEndpoints []*endpoint // endpoints that this sidecar probes for all sidecars, see probe.go

	localCandidates, remoteCandidates []*endpoint // buffers reused by candidates
}

// seedStream is the second half of the random generator's seed; the caller of New gives the first.
const seedStream = 0x9e3779b97f4a7c15

// New returns the Balancer of one sidecar. Equal settings, seeds and events give equal actions. The error
// names the invalid setting.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		rng:         rand.New(rand.NewPCG(seed, seedStream)),
		requests:    map[string]*request{},
		endpoints:   newEndpointTable(),
		locality:    newLocality(),
		admission:   newAdmission(),
		retryBudget: newRetryBudget(),
	}
	b.applySettings(s)
	b.latency = newLatencyModel(b.meanObjective)
	return b, nil
}

// applySettings applies validated settings. The mean latency of a class and the request rate of a tenant
// carry over to the new settings by name; requests in flight retain the class with which they arrived.
func (b *Balancer) applySettings(s Settings) {
	classes := map[string]*class{}
	b.meanObjective = 0
	for _, c := range s.Classes {
		classes[c.Name] = newClass(c, b.classes[c.Name])
		b.meanObjective += c.LatencyObjective.Seconds() / float64(len(s.Classes))
	}
	b.admission.setTenants(b.settings.Tenants, s.Tenants)
	b.settings, b.classes = s, classes
}

// updateSettings changes the settings of a running sidecar, except for Zone and MustSubscribe, which change
// only at the next start.
func (b *Balancer) updateSettings(s Settings) {
	if err := s.validate(); err != nil {
		b.log("settings rejected", slog.Any("err", err))
		return
	}
	s.MustSubscribe, s.Zone = b.settings.MustSubscribe, b.settings.Zone
	b.applySettings(s)
}

// Handle processes an event that happened at now, and appends the resulting actions to actions, in the
// order in which they must be carried out. If now is before the time of an earlier call, that time is used.
func (b *Balancer) Handle(now time.Duration, e Event, actions []Action) []Action {
	b.now, b.actions = max(now, b.now), actions
	switch e := e.(type) {
	case EndpointUpdate:
		b.onEndpointUpdate(e)
	case Ban:
		b.onBan(e)
	case SettingsUpdate:
		b.updateSettings(e.Settings)
	case PeerVerdict:
		b.onPeerVerdict(e)
	case Snapshot:
		b.onSnapshot(e)
	case Request:
		b.onRequest(e)
	case BodyComplete:
		b.onBodyComplete(e)
	case FirstByte:
		b.onFirstByte(e)
	case AttemptEnded:
		b.onAttemptEnded(e)
	case ClientDisconnected:
		b.onClientDisconnected(e)
	case TimerFired:
		b.onTimerFired()
	}
	b.armTimer()
	actions, b.actions = b.actions, nil
	return actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) log(text string, attrs ...slog.Attr) {
	b.emit(Action{Kind: Log, Text: text, Attrs: attrs})
}

// jitter returns a random duration between 3/4 and 5/4 of d, so that sidecars do not act at the same time.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*b.rng.Float64()))
}

// tenantIndex returns the index of a tenant in the settings, or -1 if it is not in them.
func (b *Balancer) tenantIndex(name string) int {
	return slices.IndexFunc(b.settings.Tenants, func(t Tenant) bool { return t.Name == name })
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
