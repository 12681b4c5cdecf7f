package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"mosslead/balancer"
)

// Settings is what the start-up parameters tell: the module's part, and what only a real sidecar needs.
type Settings struct {
	balancer.Settings
	ConnIdle time.Duration // upstreams close connections that are idle for this long
}

// DecodeSettings reads start-up parameters, the object that is Env on the wire.
func DecodeSettings(raw []byte) (Settings, error) {
	var e env
	if err := json.Unmarshal(raw, &e); err != nil {
		return Settings{}, fmt.Errorf("not start-up parameters: %w", err)
	}
	return Settings{Settings: e.settings(), ConnIdle: duration(e.Limits.ConnIdleMs)}, nil
}

// env is the part of the start-up parameters that is used.
type env struct {
	Balancers float64
	Classes   []class
	Discovery string
	Limits    struct {
		Cancelling, Probes, RetryAfter, SecondCopies bool // Probes: a known key that nothing here depends on
		ConnectTimeoutMs, MaxRetryAfterMs            float64
		ConnIdleMs                                   float64
		SendCap                                      float64
	}
	OverShareWorth float64
	Prices         struct{ CrossZone float64 }
	Rules          struct{ ColdFrom, WarmUpMs, FallMs, FallMultiple float64 }
	Tenants        []tenant
	TickMs         float64
	WorthBy        string
	Zone           string
}

type class struct {
	Name, Semantics, KeyScope                 string
	AimMs, AimStretch, DeadlineMs, Importance float64
	LateShare, DedupWindowMs                  float64
	Stream                                    bool
}

type tenant struct {
	Name     string
	Fraction float64
}

// Keys are those of the start-up parameters that are used, as an object that holds them all.
func Keys() []byte {
	var e env
	e.Classes, e.Tenants = append(e.Classes, class{}), append(e.Tenants, tenant{})
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // plain fields alone
	}
	return text
}

// unknownWord is an effect or group that the module will turn down, naming the field.
const unknownWord = -1

func (e *env) settings() balancer.Settings {
	s := balancer.Settings{
		FleetSize:         count(e.Balancers),
		Zone:              e.Zone,
		MustSubscribe:     e.Discovery == "ask",
		Tick:              duration(e.TickMs),
		MaxAttempts:       count(e.Limits.SendCap),
		Hedging:           e.Limits.SecondCopies,
		Cancellation:      e.Limits.Cancelling,
		RetryAfter:        e.Limits.RetryAfter,
		MaxRetryAfter:     duration(e.Limits.MaxRetryAfterMs),
		ConnectTimeout:    duration(e.Limits.ConnectTimeoutMs),
		CrossZoneCost:     e.Prices.CrossZone,
		OverQuotaFraction: e.OverShareWorth,
		WeightByWork:      e.WorthBy == "work",
		SlowStartCapacity: e.Rules.ColdFrom,
		SlowStartWindow:   duration(e.Rules.WarmUpMs),
		OverloadMultiple:  e.Rules.FallMultiple,
		OverloadDuration:  duration(e.Rules.FallMs),
	}
	for _, c := range e.Classes {
		s.Classes = append(s.Classes, balancer.Class{Name: c.Name, LatencyObjective: duration(c.AimMs), ObjectiveStretch: c.AimStretch,
			Deadline: duration(c.DeadlineMs), PriorityWeight: c.Importance, LateValueFraction: c.LateShare,
			Idempotency: effect(c.Semantics), KeyScope: group(c.KeyScope), DedupWindow: duration(c.DedupWindowMs), Stream: c.Stream})
	}
	for _, t := range e.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Fraction})
	}
	return s
}

// count takes a whole number that may be written with a fraction of 0. One too large for its type stands for many.
func count(x float64) int { return int(min(max(x, -1), math.MaxInt32)) }

func effect(word string) balancer.Idempotency {
	switch word {
	case "retryable":
		return balancer.Idempotent
	case "dedup":
		return balancer.IdempotentByKey
	case "fragile":
		return balancer.NotIdempotent
	}
	return unknownWord
}

func group(word string) balancer.KeyScope {
	switch word {
	case "", "all":
		return balancer.KeyScopeAll
	case "zone":
		return balancer.KeyScopeZone
	case "cell":
		return balancer.KeyScopeCell
	}
	return unknownWord
}
