package balancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Idempotency specifies whether a request may run more than once.
type Idempotency int

// The kinds of idempotency. New fails for any other value.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // endpoints of one KeyScope drop repeats of a key within DedupWindow
	NotIdempotent                      // must not run twice
)

// KeyScope is the set of endpoints that share a store of idempotency keys.
type KeyScope int

// The scopes of idempotency keys.
const (
	KeyScopeAll KeyScope = iota
	KeyScopeZone
	KeyScopeCell
)

// Class describes one kind of request.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer within it has its full value; default: Deadline
	ObjectiveStretch  float64       // the objective grows by this multiple of the request's cost hint
	Deadline          time.Duration // how long a client waits, over all of its attempts
	PriorityWeight    float64       // value of an answer, relative to other classes; default: 1
	LateValueFraction float64       // fraction of the value that an answer after the objective still has, 0 to 1
	Idempotency       Idempotency
	KeyScope          KeyScope
	DedupWindow       time.Duration // with IdempotentByKey: how long repeats are dropped
	Stream            bool
}

// Tenant is one of the parties whose requests the fleet serves.
type Tenant struct {
	Name  string
	Quota float64 // fraction of the arriving requests that it is entitled to, 0 to 1
}

// Settings configures a Balancer. Where no default is stated, the zero value turns a feature off or means
// that it has no cost.
type Settings struct {
	FleetSize int    // sidecars that use the endpoints; default: 1
	Zone      string // zone of this sidecar
	Classes   []Class
	Tenants   []Tenant

	MustSubscribe bool          // the endpoint list must be requested with Subscribe
	Tick          time.Duration // shortest time between two calls of Handle; default: 1 ms

	MaxAttempts    int // attempts of one request; default: 1
	Hedging        bool
	Cancellation   bool // the sidecar supports CancelAttempt
	RetryAfter     bool // Reject may carry RetryAfter
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration

	CrossZoneCost     float64 // reduction of value for each request to another zone
	OverQuotaFraction float64 // fraction of its value that a request over its tenant's quota has, 0 to 1
	WeightByWork      bool    // PriorityWeight counts for each unit of work, not for each request

	SlowStartCapacity float64       // minimum fraction of its capacity that a starting endpoint has; default: 1
	SlowStartWindow   time.Duration // time after which a started endpoint has its full capacity
	OverloadMultiple  float64       // load that makes an endpoint fail, relative to present capacity; 0: none
	OverloadDuration  time.Duration // how long that load must last for the endpoint to fail

	ShareEvidence bool // report evidence with ReportEvidence, and apply PeerVerdict
}

// SettingError is the error that New returns for an invalid setting. New returns no other error.
type SettingError struct {
	Setting string // name of the field of Settings
	Element string // Name of the class or tenant, if the field is a list
	Field   string // name of the element's field; empty if the error is not about an element
	Reason  string
}

func (e *SettingError) Error() string {
	switch e.Field {
	case "":
		return fmt.Sprintf("setting %s: %s", e.Setting, e.Reason)
	case nameField:
		return fmt.Sprintf("setting %s: %s %q %s", e.Setting, e.Field, e.Element, e.Reason)
	}
	return fmt.Sprintf("setting %s: %s: %s %s", e.Setting, e.Element, e.Field, e.Reason)
}

const nameField = "Name"

// validate sets defaults, and returns a SettingError for the first invalid setting.
func (s *Settings) validate() error {
	if err := s.validateNumbers(); err != nil {
		return err
	}
	if len(s.Classes) == 0 {
		return &SettingError{Setting: "Classes", Reason: "none given"}
	}
	s.FleetSize, s.MaxAttempts = max(s.FleetSize, 1), max(s.MaxAttempts, 1)
	s.Tick = cmp.Or(s.Tick, time.Millisecond)
	s.SlowStartCapacity = cmp.Or(s.SlowStartCapacity, 1)
	s.Classes = slices.Clone(s.Classes)
	names := map[string]bool{}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.LatencyObjective = cmp.Or(c.LatencyObjective, c.Deadline)
		c.PriorityWeight = cmp.Or(c.PriorityWeight, 1)
		if c.Name == "" || names[c.Name] {
			return &SettingError{Setting: "Classes", Element: c.Name, Field: nameField, Reason: "empty or repeated"}
		}
		names[c.Name] = true
		if field := c.invalidField(); field != "" {
			return &SettingError{Setting: "Classes", Element: c.Name, Field: field, Reason: "is not usable"}
		}
		c.LatencyObjective = min(c.LatencyObjective, c.Deadline)
	}
	return nil
}

func (s *Settings) validateNumbers() error {
	for _, d := range []struct {
		setting string
		value   time.Duration
	}{
		{"Tick", s.Tick},
		{"MaxRetryAfter", s.MaxRetryAfter},
		{"ConnectTimeout", s.ConnectTimeout},
		{"SlowStartWindow", s.SlowStartWindow},
		{"OverloadDuration", s.OverloadDuration},
	} {
		if d.value < 0 {
			return &SettingError{Setting: d.setting, Reason: "negative"}
		}
	}
	for _, x := range []struct {
		setting string
		value   float64
	}{
		{"FleetSize", float64(s.FleetSize)},
		{"MaxAttempts", float64(s.MaxAttempts)},
		{"CrossZoneCost", s.CrossZoneCost},
		{"OverloadMultiple", s.OverloadMultiple},
	} {
		if x.value < 0 || math.IsNaN(x.value) || math.IsInf(x.value, 0) {
			return &SettingError{Setting: x.setting, Reason: fmt.Sprintf("%v is not usable", x.value)}
		}
	}
	for _, x := range []struct {
		setting string
		value   float64
	}{
		{"SlowStartCapacity", s.SlowStartCapacity},
		{"OverQuotaFraction", s.OverQuotaFraction},
	} {
		if !isFraction(x.value) {
			return &SettingError{Setting: x.setting, Reason: fmt.Sprintf("%v is not between 0 and 1", x.value)}
		}
	}
	for _, t := range s.Tenants {
		if !isFraction(t.Quota) {
			reason := fmt.Sprintf("%v is not between 0 and 1", t.Quota)
			return &SettingError{Setting: "Tenants", Element: t.Name, Field: "Quota", Reason: reason}
		}
	}
	return nil
}

// isFraction reports whether x is between 0 and 1. It returns false for NaN.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }

// invalidField returns the name of the first invalid field, or "" if there is none.
func (c *Class) invalidField() string {
	switch {
	case c.LatencyObjective <= 0:
		return "LatencyObjective"
	case c.Deadline <= 0:
		return "Deadline"
	case c.Idempotency < Idempotent || c.Idempotency > NotIdempotent:
		return "Idempotency"
	case c.Idempotency == IdempotentByKey && (c.KeyScope < KeyScopeAll || c.KeyScope > KeyScopeCell):
		return "KeyScope"
	case !(c.PriorityWeight >= 0) || math.IsInf(c.PriorityWeight, 0):
		return "PriorityWeight"
	case !isFraction(c.LateValueFraction):
		return "LateValueFraction"
	case !(c.ObjectiveStretch >= 0) || math.IsInf(c.ObjectiveStretch, 0):
		return "ObjectiveStretch"
	case c.Idempotency == IdempotentByKey && c.DedupWindow < 0:
		return "DedupWindow"
	}
	return ""
}
