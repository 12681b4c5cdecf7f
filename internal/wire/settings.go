package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"mosslead/balancer"
)

// Settings holds the start-up parameters: those of the balancer, and those that only a real sidecar needs.
type Settings struct {
	balancer.Settings
	ConnIdle   time.Duration // idle time after which upstreams close a connection
	DrainGrace time.Duration // time within which requests to an upstream that drains or is removed have to stop
}

// defaultDrainGrace applies to settings that state none.
const defaultDrainGrace = 3 * time.Second

// DecodeSettings decodes start-up parameters, the object Env on the wire.
func DecodeSettings(raw []byte) (Settings, error) {
	var f settingsFile
	if err := json.Unmarshal(raw, &f); err != nil {
		return Settings{}, fmt.Errorf("not start-up parameters: %w", err)
	}
	s := Settings{Settings: f.settings(), ConnIdle: duration(f.Limits.ConnIdleMs), DrainGrace: defaultDrainGrace}
	if f.Rules.DrainGraceMs != nil {
		s.DrainGrace = duration(*f.Rules.DrainGraceMs)
	}
	return s, nil
}

// settingsFile holds the start-up parameters that are used, encoded under the platform's names.
type settingsFile struct {
	FleetSize float64     `json:"Balancers"`
	Classes   []classFile `json:"Classes"`
	Discovery string      `json:"Discovery"`
	Limits    struct {
		Cancelling       bool    `json:"Cancelling"`
		Probes           bool    `json:"Probes"` // accepted, but has no effect
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
	Rules struct {
		ColdFrom     float64  `json:"ColdFrom"`
		WarmUpMs     float64  `json:"WarmUpMs"`
		FallMs       float64  `json:"FallMs"`
		FallMultiple float64  `json:"FallMultiple"`
		DrainGraceMs *float64 `json:"DrainGraceMs"` // 0 is not the same as absent
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
	var f settingsFile
	f.Classes, f.Tenants = append(f.Classes, classFile{}), append(f.Tenants, tenantFile{})
	text, err := json.Marshal(f)
	if err != nil {
		panic(err) // can't fail for plain fields
	}
	return text
}

// unknownName is the Idempotency or KeyScope of an unknown name. The balancer rejects it with an error that names the field.
const unknownName = -1

func (f *settingsFile) settings() balancer.Settings {
	s := balancer.Settings{
		FleetSize:         count(f.FleetSize),
		Zone:              f.Zone,
		MustSubscribe:     f.Discovery == "ask",
		Tick:              duration(f.TickMs),
		MaxAttempts:       count(f.Limits.SendCap),
		Hedging:           f.Limits.SecondCopies,
		Cancellation:      f.Limits.Cancelling,
		RetryAfter:        f.Limits.RetryAfter,
		MaxRetryAfter:     duration(f.Limits.MaxRetryAfterMs),
		ConnectTimeout:    duration(f.Limits.ConnectTimeoutMs),
		CrossZoneCost:     f.Costs.CrossZone,
		OverQuotaFraction: f.OverQuotaFraction,
		WeightByWork:      f.WeightBy == "work",
		SlowStartCapacity: f.Rules.ColdFrom,
		SlowStartWindow:   duration(f.Rules.WarmUpMs),
		OverloadMultiple:  f.Rules.FallMultiple,
		OverloadDuration:  duration(f.Rules.FallMs),
	}
	for _, c := range f.Classes {
		s.Classes = append(s.Classes, balancer.Class{Name: c.Name, LatencyObjective: duration(c.LatencyObjectiveMs), ObjectiveStretch: c.ObjectiveStretch,
			Deadline: duration(c.DeadlineMs), PriorityWeight: c.PriorityWeight, LateValueFraction: c.LateValueFraction,
			Idempotency: idempotency(c.Idempotency), KeyScope: keyScope(c.KeyScope), DedupWindow: duration(c.DedupWindowMs), Stream: c.Stream})
	}
	for _, t := range f.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return s
}

// count converts an integer that may be written with a fraction of 0. It saturates at -1 and at the largest int32.
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
