// Package experiment owns the form of an experiment: a TOML file that names parties, load, faults, variants and what
// must hold.
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

// MarshalText words it the same way.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Range is two bounds, drawn between for each upstream, or one value for all.
type Range [2]float64

// Experiment is a question with everything that is needed to play it.
type Experiment struct {
	Name     string   `toml:"name"`
	Question string   `toml:"question"`
	Seeds    []uint64 `toml:"seeds"`   // absent: 1
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

	Text string `toml:"-"` // the file
}

// Fleet is the parties.
type Fleet struct {
	Sidecars  int      `toml:"sidecars"`
	Upstreams int      `toml:"upstreams"`
	Zones     []string `toml:"zones"`
	CellSize  int      `toml:"cell_size"`
	Cores     float64  `toml:"cores"` // of one sidecar
	MemoryMB  float64  `toml:"memory_mb"`
	Sockets   int      `toml:"sockets"`
	Door      bool     `toml:"door"` // sidecars have an operators' door, as a ban needs
}

// Net is the network between the parties: one-way times.
type Net struct {
	Same   Duration `toml:"same"`  // inside a zone
	Cross  Duration `toml:"cross"` // between zones
	Jitter Duration `toml:"jitter"`
}

// Discovery is how the list reaches the sidecars.
type Discovery struct {
	Late         Duration `toml:"late"`          // a change reaches a sidecar so late
	Spread       Duration `toml:"spread"`        // up to so much later, by sidecar
	Notice       Duration `toml:"notice"`        // a process that died is noticed after
	SilentNotice Duration `toml:"silent_notice"` // one that fell silent
}

// Registry is the list service, where a variant has sidecars ask it in place of the stand-in for discovery.
type Registry struct {
	Lease    Duration `toml:"lease"` // of an upstream
	Grace    Duration `toml:"grace"` // from its end to the entry's
	Preserve float64  `toml:"preserve"`
	Stale    Duration `toml:"stale"`
}

// History is who calls the list service beside the fleet, for the proof that its answers hang together.
type History struct {
	Callers int `toml:"callers"` // absent: nobody
	Names   int `toml:"names"`   // entries that they fight over; absent: 4
}

// Rules are the figures that the sidecars are told.
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
	Rate        float64  `toml:"rate"`  // requests a second, or:
	Share       float64  `toml:"share"` // of what the fleet can do
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
	Connections int      `toml:"connections"` // of clients to each sidecar at most
}

// Step changes the rate for a time.
type Step struct {
	At    Duration `toml:"at"`
	For   Duration `toml:"for"`
	Times float64  `toml:"times"`
	Zone  string   `toml:"zone"` // of the sidecars whose clients ask more; absent: all
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
	WeightRough float64  `toml:"weight_rough"` // the stated weight is off by up to this share
}

// Variant is one side of a comparison.
type Variant struct {
	Name     string `toml:"name"`
	Revision string `toml:"revision"` // of this repository; absent: the work tree
	Patch    string `toml:"patch"`    // a file in the repository, applied before the build
	Tags     string `toml:"tags"`     // of the build, as go build takes them; lossyfs: what is not synced dies with the process
	Program  string `toml:"program"`  // a path, or "naive"
	Breaks   string `toml:"breaks"`   // the rule that a naive sidecar breaks
	State    bool   `toml:"state"`    // sidecars have a directory that outlives them
	Share    bool   `toml:"share"`    // sidecars share what they know with each other
	Forward  bool   `toml:"forward"`  // and forward work to each other; goes with share
	Known    string `toml:"known"`    // the list in the configuration of a restarted sidecar: "latest" (absent) or "none"
	Registry int    `toml:"registry"` // replicas of the list service that sidecars ask; absent: the stand-in for discovery
	// ServiceRevision is what the first replica is built from; absent: this program, as the others.
	ServiceRevision string `toml:"service_revision"`
	// ServiceBreaks makes the list service lie, for the proof that its checkers see that.
	ServiceBreaks string            `toml:"service_breaks"`
	Calm          bool              `toml:"calm"`   // without the faults
	Only          []string          `toml:"only"`   // of the faults, by name; absent: all
	Config        map[string]any    `toml:"config"` // more keys of the sidecars' configuration
	Env           map[string]string `toml:"env"`
}

// Parties selects some of a kind of party.
type Parties struct {
	Kind  string   `toml:"kind"`  // sidecar, upstream, discovery, replica
	Names []string `toml:"names"` // of replicas also "leader", who it is when the fault begins
	Zone  string   `toml:"zone"`
	Apart string   `toml:"apart"` // all zones but this
	Count int      `toml:"count"` // so many, drawn
	Share float64  `toml:"share"` // or such a share, drawn; all where neither is given
}

// Fault is something that goes wrong, and is undone at its end.
type Fault struct {
	Name string   `toml:"name"`
	At   Duration `toml:"at"`
	For  Duration `toml:"for"` // 0: it stays, or it is over at once
	Kind string   `toml:"kind"`

	Of Parties `toml:"of"`
	To Parties `toml:"to"` // links: the other side; absent: all upstreams. Sidecars: their links to those for what they share

	Way   string   `toml:"way"`                    // cut: both (absent), forth, back
	Mode  string   `toml:"mode"`                   // cut: silent (absent) or reset
	Delay Duration `toml:"delay"`                  // delay, late
	Rate  int      `toml:"rate"`                   // throttle: bytes a second
	Chop  int      `toml:"chop"`                   // chop: bytes
	Share float64  `toml:"share"`                  // fail, resets, loss
	Class string   `toml:"class"`                  // fail: of this class alone, all or the share
	Times float64  `toml:"times"`                  // slow
	Waves int      `toml:"waves"`                  // replace, term: so many steps over the time
	Drain Duration `toml:"drain"`                  // replace: from the news to the end of the old process
	Boot  Duration `toml:"boot"`                   // replace: from there to the new one
	Down  Duration `toml:"down"`                   // kill, term: until the next start; absent: at once. For names the whole
	Stays bool     `toml:"stays"`                  // kill: it does not come back
	Every Duration `toml:"every"`                  // kill: again and again, as long as the fault lasts
	Busy  float64  `toml:"busy" json:",omitempty"` // term: this share of its clients' connections is kept busy after it
}

// Expect is something that must hold: a rule, or a figure between bounds.
type Expect struct {
	Rule    string   `toml:"rule"`     // all, or one rule's name
	Figure  string   `toml:"figure"`   // over the plays' median
	Variant string   `toml:"variant"`  // absent: every one
	RatioTo string   `toml:"ratio_to"` // the figure is divided by this variant's
	From    Duration `toml:"from"`     // of the load's time
	To      Duration `toml:"to"`
	Min     *float64 `toml:"min"`
	Max     *float64 `toml:"max"`
	Broken  bool     `toml:"broken"` // the rule must be seen broken: the variant breaks it on purpose
}

// FaultKinds are the faults, each with the kind of party that it befalls and what it does.
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

// LoadFile reads an experiment; an error names file, line and key.
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

// Parse reads an experiment and fills in what is absent.
func Parse(text []byte) (*Experiment, error) {
	e := &Experiment{Text: string(text)}
	if err := tomlconfig.TOML(text, e); err != nil {
		return nil, err
	}
	e.setDefaults()
	return e, e.check()
}

// check names the first thing that can't be played.
func (e *Experiment) check() error {
	if e.Name == "" || strings.ContainsAny(e.Name, "/\\ \t") {
		return fmt.Errorf("name: %q is no word", e.Name)
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
		return errors.New("load: one of rate and share is wanted, above 0")
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
			return fmt.Errorf("variant %s: breaks goes with program = \"naive\"", v.Name)
		}
		if v.Forward && !v.Share {
			return fmt.Errorf("variant %s: forward goes with share", v.Name)
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
	kind, known := FaultKinds[f.Kind]
	switch {
	case !known:
		return fmt.Errorf("kind: there is no fault %q", f.Kind)
	case f.At.Duration < 0 || f.For.Duration < 0:
		return errors.New("at and for can't be below 0")
	case f.At.Duration >= e.Length.Duration:
		return fmt.Errorf("at: %v is not within the length of %v", f.At, e.Length)
	case !slices.Contains(strings.Split(kind.Party, " or "), f.Of.Kind):
		return fmt.Errorf("of.kind: %q: this befalls a %s", f.Of.Kind, kind.Party)
	case f.Kind == "loss" && (f.To.Kind != "sidecar" || f.Share <= 0 || f.Share > 1):
		return errors.New("loss wants to.kind = \"sidecar\" and a share above 0 and up to 1")
	case f.Of.Zone != "" && !slices.Contains(e.Fleet.Zones, f.Of.Zone):
		return fmt.Errorf("of.zone: there is no zone %q", f.Of.Zone)
	case f.Kind == "cut" && f.Way != "" && f.Way != "both" && f.Way != "forth" && f.Way != "back":
		return fmt.Errorf("way: %q is none of both, forth, back", f.Way)
	case f.Kind == "cut" && f.Mode != "" && f.Mode != "silent" && f.Mode != "reset":
		return fmt.Errorf("mode: %q is neither silent nor reset", f.Mode)
	case f.Kind == "ban" && !e.Fleet.Door:
		return errors.New("a ban needs fleet.door = true")
	case f.Kind == "slow" && f.Times <= 0:
		return errors.New("times: wanted, above 0")
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
		return errors.New("one of rule and figure is wanted")
	case x.Rule != "" && x.Rule != "all" && !slices.ContainsFunc(verdict.All, func(r verdict.Rule) bool { return r.Name == x.Rule }):
		return fmt.Errorf("there is no rule %q", x.Rule)
	case x.Figure != "" && x.Min == nil && x.Max == nil:
		return fmt.Errorf("figure %s: min or max is wanted", x.Figure)
	}
	return nil
}
