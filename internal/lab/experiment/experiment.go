// Package experiment reads experiments: TOML files that describe parties, load, faults, variants and what must hold.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"mosslead/internal/lab/verdict"
	"mosslead/internal/tomlconfig"
)

// Duration is a time in TOML, like "250ms".
type Duration struct{ time.Duration }

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// MarshalText writes a duration in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Range is the lower and upper bound of a value that is drawn for each upstream. A single value applies to all.
type Range [2]float64

// Experiment is a question with everything needed to play it.
type Experiment struct {
	Name     string   `toml:"name"`
	Question string   `toml:"question"`
	Seeds    []uint64 `toml:"seeds"`   // absent: one seed, 1
	Repeats  int      `toml:"repeats"` // plays of each variant with each seed; absent: 1
	Length   Duration `toml:"length"`  // of the load

	Fleet     Fleet     `toml:"fleet"`
	Net       Net       `toml:"net"`
	Discovery Discovery `toml:"discovery"`
	Registry  Registry  `toml:"registry"`
	History   History   `toml:"history"`
	Rules     Rules     `toml:"rules"`
	Load      Load      `toml:"load"`
	Kinds     []Kind    `toml:"kind"`
	Classes   []Class   `toml:"class"`
	Tenants   []Tenant  `toml:"tenant"`
	Faults    []Fault   `toml:"fault"`
	Variants  []Variant `toml:"variant"`
	Expects   []Expect  `toml:"expect"`

	Text string `toml:"-"` // the whole file
}

// Fleet describes the parties.
type Fleet struct {
	Sidecars  int      `toml:"sidecars"`
	Upstreams int      `toml:"upstreams"`
	Zones     []string `toml:"zones"`
	CellSize  int      `toml:"cell_size"`
	Cores     float64  `toml:"cores"` // of one sidecar
	MemoryMB  float64  `toml:"memory_mb"`
	Sockets   int      `toml:"sockets"`
	Door      bool     `toml:"door"` // sidecars have an operators' port, which the fault "ban" needs
}

// Net is the network between the parties. Its times are one way.
type Net struct {
	Same   Duration `toml:"same"`  // inside a zone
	Cross  Duration `toml:"cross"` // between zones
	Jitter Duration `toml:"jitter"`
}

// Discovery is how the list reaches the sidecars.
type Discovery struct {
	Late         Duration `toml:"late"`          // delay from a change to its arrival at a sidecar
	Spread       Duration `toml:"spread"`        // the last sidecar hears of a change this much later than the first, the others by a part of it
	Notice       Duration `toml:"notice"`        // time until discovery notices a process that died
	SilentNotice Duration `toml:"silent_notice"` // time until it notices a party that fell silent
}

// Registry is the list service, for variants whose sidecars ask it instead of the stand-in for discovery.
type Registry struct {
	Lease    Duration `toml:"lease"` // of an upstream
	Grace    Duration `toml:"grace"` // from the end of the lease to the end of the entry
	Preserve float64  `toml:"preserve"`
	Stale    Duration `toml:"stale"`
}

// History describes callers of the list service other than the fleet. They check that its answers are consistent.
type History struct {
	Callers int `toml:"callers"` // absent: none
	Names   int `toml:"names"`   // entries that they change concurrently; absent: 4
}

// Rules are the figures of the rules that the sidecars are given.
type Rules struct {
	DrainGrace   Duration `toml:"drain_grace"`
	ColdFrom     float64  `toml:"cold_from"`
	WarmUp       Duration `toml:"warm_up"`
	FallMultiple float64  `toml:"fall_multiple"`
	Fall         Duration `toml:"fall"`
	MaxAttempts  int      `toml:"max_attempts"`
}

// Load is the traffic.
type Load struct {
	Rate        float64  `toml:"rate"`  // requests a second; either this or Share is given
	Share       float64  `toml:"share"` // of the fleet's capacity
	Shape       string   `toml:"shape"` // poisson (absent) or bursty
	Swing       float64  `toml:"swing"`
	Steps       []Step   `toml:"step"`
	StreamCV    float64  `toml:"stream_cv"`
	Keys        int      `toml:"keys"`
	KeyZipf     float64  `toml:"key_zipf"`
	TryShare    Range    `toml:"try_share"`
	Retries     float64  `toml:"retries"`
	Backoff     Duration `toml:"backoff"`
	Impatient   float64  `toml:"impatient"`
	Connections int      `toml:"connections"` // at most this many from clients to each sidecar
}

// Step changes the rate for a time.
type Step struct {
	At    Duration `toml:"at"`
	For   Duration `toml:"for"`
	Times float64  `toml:"times"`
	Zone  string   `toml:"zone"` // of the sidecars whose clients change their rate; absent: all
}

// Class is a kind of request.
type Class struct {
	Name      string   `toml:"name"`
	Share     float64  `toml:"share"`
	Work      Duration `toml:"work"`
	CV        float64  `toml:"cv"`
	Dist      string   `toml:"dist"` // lognormal (absent) or pareto
	Aim       Duration `toml:"aim"`
	Deadline  Duration `toml:"deadline"`
	Worth     float64  `toml:"worth"`
	LateWorth float64  `toml:"late_worth"`
	Unsafe    bool     `toml:"unsafe"`
}

// Tenant is a party that sends requests.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"`
}

// Kind is a kind of upstream.
type Kind struct {
	Name        string   `toml:"name"`
	Share       float64  `toml:"share"`
	Cores       int      `toml:"cores"`
	Speed       Range    `toml:"speed"`
	Slots       Range    `toml:"slots"`
	Queue       Range    `toml:"queue"`
	Thrash      Range    `toml:"thrash"`
	ThrashAt    Range    `toml:"thrash_at"`
	ColdFrom    Range    `toml:"cold_from"`
	ColdFor     Duration `toml:"cold_for"`
	PauseEvery  Duration `toml:"pause_every"`
	PauseFor    Duration `toml:"pause_for"`
	Errors      float64  `toml:"errors"`
	KeyGain     float64  `toml:"key_gain"`
	KeyFor      Duration `toml:"key_for"`
	Keys        float64  `toml:"keys"`
	Conns       int      `toml:"conns"`
	Handshake   Duration `toml:"handshake"`
	RoundTrips  float64  `toml:"round_trips"`
	FullTax     float64  `toml:"full_tax"`
	ProbeWork   Duration `toml:"probe_work"`
	ChokeAt     float64  `toml:"choke_at"`
	ChokeOver   Duration `toml:"choke_over"`
	ChokeSlower float64  `toml:"choke_slower"`
	ChokeBelow  float64  `toml:"choke_below"`
	ChokeRest   Duration `toml:"choke_rest"`
	ChokeMost   Duration `toml:"choke_most"`
	WeightRough float64  `toml:"weight_rough"` // the stated weight deviates by up to this share
}

// Variant is one side of a comparison.
type Variant struct {
	Name     string `toml:"name"`
	Revision string `toml:"revision"` // of this repository; absent: the work tree
	Patch    string `toml:"patch"`    // a file in the repository, applied before the build
	Tags     string `toml:"tags"`     // build tags, as go build takes them; lossyfs: what is not synced is lost when the process ends
	Program  string `toml:"program"`  // a path, or "naive"
	Breaks   string `toml:"breaks"`   // the rule that a naive sidecar breaks
	State    bool   `toml:"state"`    // sidecars have a state directory that outlives their processes
	Share    bool   `toml:"share"`    // sidecars share what they know with each other
	Forward  bool   `toml:"forward"`  // sidecars forward requests to each other; requires Share
	Known    string `toml:"known"`    // the list in the configuration of a restarted sidecar: "latest" (absent) or "none"
	Registry int    `toml:"registry"` // replicas of the list service that sidecars ask; absent: the stand-in for discovery
	// ServiceRevision is what the first replica is built from; absent: this program, like the others.
	ServiceRevision string `toml:"service_revision"`
	// ServiceBreaks makes the list service misbehave, to prove that its checkers notice.
	ServiceBreaks string            `toml:"service_breaks"`
	Calm          bool              `toml:"calm"`   // without any faults
	Only          []string          `toml:"only"`   // names of the faults to carry out; absent: all
	Config        map[string]any    `toml:"config"` // additional keys of the sidecars' configuration
	Env           map[string]string `toml:"env"`
}

// Parties selects some parties of a kind. If neither Count nor Share is given, it selects all that match.
type Parties struct {
	Kind  string   `toml:"kind"`  // sidecar, upstream, discovery, replica
	Names []string `toml:"names"` // for replicas also "leader": the leader at the start of the fault
	Zone  string   `toml:"zone"`
	Apart string   `toml:"apart"` // all zones but this one
	Count int      `toml:"count"` // this many, drawn at random
	Share float64  `toml:"share"` // this share, drawn at random
}

// Fault is a disturbance, which is undone at its end.
type Fault struct {
	Name string   `toml:"name"`
	At   Duration `toml:"at"`
	For  Duration `toml:"for"` // 0: the fault is permanent, or over at once
	Kind string   `toml:"kind"`

	Of Parties `toml:"of"`
	To Parties `toml:"to"` // links: the other side; absent: all upstreams. Sidecars in To: the links over which sidecars share

	Way   string   `toml:"way"`                    // cut: both (absent), forth, back
	Mode  string   `toml:"mode"`                   // cut: silent (absent) or reset
	Delay Duration `toml:"delay"`                  // delay, late
	Rate  int      `toml:"rate"`                   // throttle: bytes a second
	Chop  int      `toml:"chop"`                   // chop: size of the pieces in bytes
	Share float64  `toml:"share"`                  // fail, resets, loss
	Class string   `toml:"class"`                  // fail: only requests of this class fail, all of them or the given share
	Times float64  `toml:"times"`                  // slow: the upstream takes this many times as long (2: twice as long)
	Waves int      `toml:"waves"`                  // replace, term: number of steps over the time
	Drain Duration `toml:"drain"`                  // replace: from the notice to the end of the old process
	Boot  Duration `toml:"boot"`                   // replace: from the end of the old process to the start of the new one
	Down  Duration `toml:"down"`                   // kill, term: until the next start; absent: at once. For is the time of the whole fault
	Stays bool     `toml:"stays"`                  // kill, term: the party does not start again
	Every Duration `toml:"every"`                  // kill, term: repeated at this interval for as long as the fault lasts
	Busy  float64  `toml:"busy" json:",omitempty"` // term: this share of the clients' connections is kept busy after SIGTERM
}

// Expect is something that must hold: a rule, or bounds of a figure.
type Expect struct {
	Rule    string   `toml:"rule"`     // "all", or the name of one rule
	Figure  string   `toml:"figure"`   // its median over the plays counts
	Variant string   `toml:"variant"`  // absent: all variants
	RatioTo string   `toml:"ratio_to"` // the figure is divided by that of this variant
	From    Duration `toml:"from"`     // counted from the start of the load
	To      Duration `toml:"to"`
	Min     *float64 `toml:"min"`
	Max     *float64 `toml:"max"`
	Broken  bool     `toml:"broken"` // the rule must be violated: the variant breaks it on purpose
}

// FaultKinds are the kinds of faults, each with the kind of party that it affects and a description.
var FaultKinds = map[string]struct{ Party, Says string }{
	"kill":           {"sidecar or upstream or replica", "kill -9, and a new start after the time down"},
	"term":           {"sidecar", "SIGTERM, in waves, and a new start once it has ended or was killed for being late"},
	"stop":           {"sidecar or replica", "SIGSTOP; SIGCONT at the end"},
	"lie":            {"sidecar", "another member of its site tells all that the upstreams in 'to' never answer"},
	"starve":         {"sidecar", "stopped 9 ms in 10"},
	"hup":            {"sidecar", "SIGHUP with the configuration as it is"},
	"ban":            {"sidecar", "the upstreams in 'to' are disabled at its door, and enabled at the end"},
	"cut":            {"sidecar or replica", "its links to the parties in 'to' are cut, one way or both, silent or reset; sidecars in 'to': those for what they share"},
	"delay":          {"sidecar", "its links are slower by 'delay' each way"},
	"throttle":       {"sidecar", "its links carry 'rate' bytes a second"},
	"chop":           {"sidecar", "its links pass on pieces of 'chop' bytes"},
	"loss":           {"sidecar", "a share of its datagrams to the sidecars in 'to' is lost, and of its pieces late"},
	"resets":         {"sidecar", "a share of its new connections breaks at the first answer"},
	"slow":           {"upstream", "'times' slower"},
	"fail":           {"upstream", "a share of its answers is an error, or all of a class"},
	"hang":           {"upstream", "takes work and never answers it"},
	"choke":          {"upstream", "turned slow as by a crowd"},
	"replace":        {"upstream", "drained, ended, and replaced by a cold one under another name, in waves"},
	"lose":           {"upstream", "falls silent; comes back cold at the end"},
	"disk-lost":      {"replica", "kill -9, its directory deleted, and a new start"},
	"disk-old":       {"replica", "kill -9, and a new start with its directory as it was at the fault's begin, at its end"},
	"disk-full":      {"replica", "no room on its disk"},
	"late":           {"discovery", "the list comes later by 'delay'"},
	"silent":         {"discovery", "no list, and no news on open watches"},
	"rewind":         {"discovery", "an old list comes under its old number"},
	"garbage":        {"discovery", "what comes is no message"},
	"empty":          {"discovery", "the list says that there is nobody"},
	"state-full":     {"sidecar", "no room on its disk"},
	"state-readonly": {"sidecar", "its state directory can't be written"},
	"state-torn":     {"sidecar", "the file written last in its state directory is cut short"},
	"state-flip":     {"sidecar", "one bit of a file in its state directory is flipped"},
	"state-gone":     {"sidecar", "its state directory is deleted"},
	"state-old":      {"sidecar", "its state directory is put back to what it was at the fault's begin, at its end"},
}

// LoadFile reads an experiment from a file. An error names the file, line and key.
func LoadFile(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the experiment: %w", err)
	}
	e, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// Parse reads an experiment and sets the defaults of absent values.
func Parse(text []byte) (*Experiment, error) {
	e := &Experiment{Text: string(text)}
	if err := tomlconfig.TOML(text, e); err != nil {
		return nil, err
	}
	e.setDefaults()
	return e, e.check()
}

// check returns an error that names the first value that can't be played.
func (e *Experiment) check() error {
	if e.Name == "" || strings.ContainsAny(e.Name, "/\\ \t") {
		return fmt.Errorf("name: %q is empty or holds spaces or slashes", e.Name)
	}
	if e.Length.Duration <= 0 {
		return fmt.Errorf("length: %v is not above 0", e.Length)
	}
	if e.Fleet.Sidecars < 1 || e.Fleet.Sidecars > 300 {
		return fmt.Errorf("fleet.sidecars: %d is not from 1 to 300", e.Fleet.Sidecars)
	}
	if e.Fleet.Upstreams < 1 || e.Fleet.Upstreams > 1000 {
		return fmt.Errorf("fleet.upstreams: %d is not from 1 to 1000", e.Fleet.Upstreams)
	}
	if e.Load.Shape != "poisson" && e.Load.Shape != "bursty" {
		return fmt.Errorf("load.shape: %q is neither poisson nor bursty", e.Load.Shape)
	}
	if (e.Load.Rate > 0) == (e.Load.Share > 0) {
		return errors.New("load: one of rate and share is required, above 0")
	}
	for i, s := range e.Load.Steps {
		if s.Zone != "" && !slices.Contains(e.Fleet.Zones, s.Zone) {
			return fmt.Errorf("load.step %d: zone: there is no zone %q", i+1, s.Zone)
		}
	}
	names := map[string]bool{}
	for _, v := range e.Variants {
		if v.Name == "" || names[v.Name] {
			return fmt.Errorf("variant: name %q is empty or used twice", v.Name)
		}
		names[v.Name] = true
		if v.Breaks != "" && v.Program != "naive" {
			return fmt.Errorf("variant %s: breaks requires program = \"naive\"", v.Name)
		}
		if v.Forward && !v.Share {
			return fmt.Errorf("variant %s: forward requires share", v.Name)
		}
		if v.Registry < 0 || v.Registry > 7 {
			return fmt.Errorf("variant %s: registry: %d is not from 0 to 7 replicas", v.Name, v.Registry)
		}
		if v.Known != "latest" && v.Known != "none" {
			return fmt.Errorf("variant %s: known: %q is neither latest nor none", v.Name, v.Known)
		}
	}
	for i, f := range e.Faults {
		if err := e.checkFault(f); err != nil {
			return fmt.Errorf("fault %d (%s): %w", i+1, f.Name, err)
		}
	}
	for i, x := range e.Expects {
		if err := e.checkExpect(x, names); err != nil {
			return fmt.Errorf("expect %d: %w", i+1, err)
		}
	}
	return nil
}

func (e *Experiment) checkFault(f Fault) error {
	kind, ok := FaultKinds[f.Kind]
	switch {
	case !ok:
		return fmt.Errorf("kind: there is no fault %q", f.Kind)
	case f.At.Duration < 0 || f.For.Duration < 0:
		return errors.New("at and for can't be below 0")
	case f.At.Duration >= e.Length.Duration:
		return fmt.Errorf("at: %v is not within the length of %v", f.At, e.Length)
	case !slices.Contains(strings.Split(kind.Party, " or "), f.Of.Kind):
		return fmt.Errorf("of.kind: %q: the fault affects a %s", f.Of.Kind, kind.Party)
	case f.Kind == "loss" && (f.To.Kind != "sidecar" || f.Share <= 0 || f.Share > 1):
		return errors.New("loss requires to.kind = \"sidecar\" and a share above 0 and up to 1")
	case f.Of.Zone != "" && !slices.Contains(e.Fleet.Zones, f.Of.Zone):
		return fmt.Errorf("of.zone: there is no zone %q", f.Of.Zone)
	case f.Kind == "cut" && f.Way != "" && f.Way != "both" && f.Way != "forth" && f.Way != "back":
		return fmt.Errorf("way: %q is none of both, forth, back", f.Way)
	case f.Kind == "cut" && f.Mode != "" && f.Mode != "silent" && f.Mode != "reset":
		return fmt.Errorf("mode: %q is neither silent nor reset", f.Mode)
	case f.Kind == "ban" && !e.Fleet.Door:
		return errors.New("a ban needs fleet.door = true")
	case f.Kind == "slow" && f.Times <= 0:
		return errors.New("times: required, above 0")
	}
	return nil
}

func (e *Experiment) checkExpect(x Expect, variants map[string]bool) error {
	for _, v := range []string{x.Variant, x.RatioTo} {
		if v != "" && !variants[v] {
			return fmt.Errorf("there is no variant %q", v)
		}
	}
	switch {
	case (x.Rule == "") == (x.Figure == ""):
		return errors.New("one of rule and figure is required")
	case x.Rule != "" && x.Rule != "all" && !slices.ContainsFunc(verdict.All, func(r verdict.Rule) bool { return r.Name == x.Rule }):
		return fmt.Errorf("there is no rule %q", x.Rule)
	case x.Figure != "" && x.Min == nil && x.Max == nil:
		return fmt.Errorf("figure %s: min or max is required", x.Figure)
	}
	return nil
}
