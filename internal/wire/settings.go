package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"mosslead/balancer"
)

// Settings are the start-up parameters: those of the balancer, and those that only a real sidecar needs.
type Settings struct {
	balancer.Settings
	ConnIdle time.Duration // upstreams close connections that are idle for this long
}

// DecodeSettings decodes start-up parameters, the object Env on the wire.
func DecodeSettings(raw []byte) (Settings, error) {
	var e settingsFile
	if err := json.Unmarshal(raw, &e); err != nil {
		return Settings{}, fmt.Errorf("not start-up parameters: %w", err)
	}
	return Settings{Settings: e.settings(), ConnIdle: duration(e.Limits.ConnIdleMs)}, nil
}

// settingsFile holds the start-up parameters that are used, under the platform's names.
type settingsFile struct {
	FleetSize float64     `json:"Balancers"`
	Classes   []classFile `json:"Classes"`
	Discovery string      `json:"Discovery"`
	Limits    struct {
		Cancelling       bool    `json:"Cancelling"`
		Probes           bool    `json:"Probes"` // a known key without effect
		RetryAfter       bool    `json:"RetryAfter"`
		SecondCopies     bool    `json:"SecondCopies"`
		ConnectTimeoutMs float64 `json:"ConnectTimeoutMs"`
		MaxRetryAfterMs  float64 `json:"MaxRetryAfterMs"`
		ConnIdleMs       float64 `json:"ConnIdleMs"`
		SendCap          float64 `json:"SendCap"`
	} `json:"Limits"`
	OverQuotaFraction float64 `json:"OverShareWorth"`
	Costs             struct {
		CrossZone float64 `json:"CrossZone"`
	} `json:"Prices"`
	SlowStart struct {
		ColdFrom     float64 `json:"ColdFrom"`
		WarmUpMs     float64 `json:"WarmUpMs"`
		FallMs       float64 `json:"FallMs"`
		FallMultiple float64 `json:"FallMultiple"`
	} `json:"Rules"`
	Tenants  []tenantFile `json:"Tenants"`
	TickMs   float64      `json:"TickMs"`
	WeightBy string       `json:"WorthBy"`
	Zone     string       `json:"Zone"`
}

type classFile struct {
	Name               string  `json:"Name"`
	Idempotency        string  `json:"Semantics"`
	KeyScope           string  `json:"KeyScope"`
	LatencyObjectiveMs float64 `json:"AimMs"`
	ObjectiveStretch   float64 `json:"AimStretch"`
	DeadlineMs         float64 `json:"DeadlineMs"`
	PriorityWeight     float64 `json:"Importance"`
	LateValueFraction  float64 `json:"LateShare"`
	DedupWindowMs      float64 `json:"DedupWindowMs"`
	Stream             bool    `json:"Stream"`
}

type tenantFile struct {
	Name  string  `json:"Name"`
	Quota float64 `json:"Fraction"`
}

// Keys returns an object with all start-up parameters that are used.
func Keys() []byte {
	var e settingsFile
	e.Classes, e.Tenants = append(e.Classes, classFile{}), append(e.Tenants, tenantFile{})
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // can't fail for plain fields
	}
	return text
}

// unknownName is an effect or group that the balancer rejects by an error that names the field.
const unknownName = -1

func (e *settingsFile) settings() balancer.Settings {
	s := balancer.Settings{
		FleetSize:         count(e.FleetSize),
		Zone:              e.Zone,
		MustSubscribe:     e.Discovery == "ask",
		Tick:              duration(e.TickMs),
		MaxAttempts:       count(e.Limits.SendCap),
		Hedging:           e.Limits.SecondCopies,
		Cancellation:      e.Limits.Cancelling,
		RetryAfter:        e.Limits.RetryAfter,
		MaxRetryAfter:     duration(e.Limits.MaxRetryAfterMs),
		ConnectTimeout:    duration(e.Limits.ConnectTimeoutMs),
		CrossZoneCost:     e.Costs.CrossZone,
		OverQuotaFraction: e.OverQuotaFraction,
		WeightByWork:      e.WeightBy == "work",
		SlowStartCapacity: e.SlowStart.ColdFrom,
		SlowStartWindow:   duration(e.SlowStart.WarmUpMs),
		OverloadMultiple:  e.SlowStart.FallMultiple,
		OverloadDuration:  duration(e.SlowStart.FallMs),
	}
	for _, c := range e.Classes {
		s.Classes = append(s.Classes, balancer.Class{Name: c.Name, LatencyObjective: duration(c.LatencyObjectiveMs), ObjectiveStretch: c.ObjectiveStretch,
			Deadline: duration(c.DeadlineMs), PriorityWeight: c.PriorityWeight, LateValueFraction: c.LateValueFraction,
			Idempotency: idempotency(c.Idempotency), KeyScope: keyScope(c.KeyScope), DedupWindow: duration(c.DedupWindowMs), Stream: c.Stream})
	}
	for _, t := range e.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return s
}

// count decodes an integer that may be written with a fraction of 0. It saturates.
func count(x float64) int { return int(min(max(x, -1), math.MaxInt32)) }

func idempotency(name string) balancer.Idempotency {
	switch name {
	case "retryable":
		return balancer.Idempotent
	case "dedup":
		return balancer.IdempotentByKey
	case "fragile":
		return balancer.NotIdempotent
	}
	return unknownName
}

func keyScope(name string) balancer.KeyScope {
	switch name {
	case "", "all":
		return balancer.KeyScopeAll
	case "zone":
		return balancer.KeyScopeZone
	case "cell":
		return balancer.KeyScopeCell
	}
	return unknownName
}
