package scale

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// The bars, as the operators word them.
const (
	InForceWithin = 7 * time.Second
	BytesMost     = 2048  // a second and process
	CPUMost       = 0.016 // of a core, a process
	MemoryMost    = 32.0  // MB, a process
)

// The verdicts. Each is a pure function of a Record; ServedInside is of the load's.
const (
	InForce   = "in force in 7 s"
	NoneLost  = "none lost"
	NoneOlder = "none overtaken by an older one"
	Issued    = "nothing that nobody issued"
	Bytes     = "2 KB/s"
	CPU       = "1.6% of a core"
	Memory    = "32 MB"
)

// Verdicts are all of them, in the order of the report.
var Verdicts = []string{InForce, NoneLost, NoneOlder, Issued, Bytes, CPU, Memory, ServedInside}

// Finding is a verdict that did not hold at a process.
type Finding struct {
	Verdict string `json:"verdict"`
	Process string `json:"process"`
	Text    string `json:"text"`
}

// Delay is how long changes of one cause took to be in force, over all processes.
type Delay struct {
	Cause   string  `json:"cause"`
	Changes int     `json:"changes"`
	Counted int     `json:"counted"` // changes times processes
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
	MostMs  float64 `json:"most_ms"`
}

// Judge finds what did not hold. Delays are by cause, by name.
func Judge(r *Record) (found []Finding, delays []Delay) {
	j := &judge{r: r, byName: map[string][]*Change{}, lags: map[string][]int64{}}
	for _, c := range r.Changes {
		j.byName[c.Name] = append(j.byName[c.Name], c)
	}
	for _, p := range r.Processes {
		j.follow(p)
		found = append(found, spends(p)...)
	}
	found = append(j.found, found...)
	changes := map[string]int{}
	for _, c := range r.Changes {
		if c.Accepted > 0 {
			changes[c.Cause]++
		}
	}
	for cause, lags := range j.lags {
		slices.Sort(lags)
		at := func(percent int) float64 {
			return float64(lags[min(len(lags)*percent/100, len(lags)-1)]/1e3) / 1e3
		}
		delays = append(delays, Delay{cause, changes[cause], len(lags), at(50), at(99), at(100)})
	}
	slices.SortFunc(delays, func(a, b Delay) int { return cmp.Compare(a.Cause, b.Cause) })
	return found, delays
}

type judge struct {
	r      *Record
	byName map[string][]*Change // in the order of issue
	found  []Finding
	lags   map[string][]int64 // ns, by cause
}

func (j *judge) say(verdict string, p *Process, format string, args ...any) {
	j.found = append(j.found, Finding{verdict, p.Name, fmt.Sprintf(format, args...)})
}

// follow holds what one process was told against what was issued.
func (j *judge) follow(p *Process) {
	force := map[string][]int64{} // by name: since when each of its changes, or a later one, was in force; 0: not yet
	at := map[string]int{}        // by name: which change is in force, and one more
	for name, all := range j.byName {
		force[name] = make([]int64, len(all))
	}
	life, index := -1, int64(math.MinInt64)
	for _, s := range p.Sights {
		for life+1 < len(p.Lives) && p.Lives[life+1].From <= s.At {
			life, index = life+1, math.MinInt64
			clear(at)
		}
		if !s.InForce && s.Index < index {
			j.say(NoneOlder, p, "version %d came after %d", s.Index, index)
		}
		if !s.InForce {
			index = max(index, s.Index)
		}
		named := map[string]bool{}
		for _, e := range s.Entries {
			named[e.Name] = s.Whole
			j.take(p, s, e, at, force)
		}
		if s.Whole {
			for name := range j.byName {
				if !named[name] && (at[name] > 0 || j.goes(p, name, s)) {
					j.take(p, s, Seen{name, gone}, at, force)
				}
			}
		}
	}
	for _, name := range sortedKeys(j.byName) {
		for i, c := range j.byName[name] {
			j.late(p, c, force[name][i])
		}
	}
}

// goes tells whether the absence of an entry from a whole list has to be accounted for: something of it was in by that version, or
// it has gone from a region whose versions say nothing here.
func (j *judge) goes(p *Process, name string, s Sight) bool {
	for _, c := range j.byName[name] {
		if c.Service != "" {
			continue
		}
		if c.Region == p.Region && c.Hi > 0 && c.Hi <= s.Index || c.Region != p.Region && c.Status == gone && c.Issued <= s.At {
			return true
		}
	}
	return false
}

// take finds the change that an entry shows.
func (j *judge) take(p *Process, s Sight, e Seen, at map[string]int, force map[string][]int64) {
	all := j.byName[e.Name]
	least := max(0, at[e.Name]-1)
	for i, c := range all { // what this version is known to hold
		if !s.InForce && c.Region == p.Region && c.Hi > 0 && c.Hi <= s.Index {
			least = max(least, i)
		}
	}
	feasible := func(c *Change) bool {
		return c.Status == e.Status && c.Issued <= s.At && (s.InForce || c.Region != p.Region || c.Lo <= s.Index)
	}
	for i := least; i < len(all); i++ {
		if !feasible(all[i]) {
			continue
		}
		at[e.Name] = i + 1
		for k := range i + 1 {
			if force[e.Name][k] == 0 {
				force[e.Name][k] = s.At
			}
		}
		return
	}
	if slices.ContainsFunc(all[:min(least, len(all))], feasible) {
		j.say(NoneOlder, p, "%s is %s again at version %d, which an older change had made it", e.Name, e.Status, s.Index)
		return
	}
	j.say(Issued, p, "%s is %s at version %d, and nobody made it so", e.Name, e.Status, s.Index)
}

// late notes how long a process that could be reached lacked a change.
func (j *judge) late(p *Process, c *Change, force int64) {
	if c.Accepted == 0 || c.Service != "" && c.Service != p.Service {
		return
	}
	until := force
	if until == 0 {
		until = j.r.End
	}
	longest, reached := int64(0), false
	for _, s := range j.reach(p, c) {
		from, to := max(s.From, c.Accepted), until
		if s.To > 0 {
			to = min(to, s.To)
		}
		if force > 0 && force < from && s.From <= c.Accepted { // seen before its caller was told
			to = from
		}
		if to >= from {
			reached, longest = true, max(longest, to-from)
		}
	}
	if !reached {
		return
	}
	switch {
	case force == 0 && longest > int64(InForceWithin):
		j.say(NoneLost, p, "%s %s (%s) was never in force there, in %.1f s", c.Name, c.Status, c.Cause, float64(longest)/1e9)
	case longest > int64(InForceWithin):
		j.say(InForce, p, "%s %s (%s) was in force after %.1f s", c.Name, c.Status, c.Cause, float64(longest)/1e9)
	}
	if force > 0 {
		j.lags[c.Cause] = append(j.lags[c.Cause], longest)
	}
}

// reach is when a change could come to a process.
func (j *judge) reach(p *Process, c *Change) []Span {
	spans := p.Lives
	if c.Region == p.Region {
		return spans
	}
	for _, cut := range j.r.Cuts {
		var left []Span
		for _, s := range spans {
			to := s.To
			if to == 0 {
				to = math.MaxInt64
			}
			if s.From < cut.From {
				left = append(left, Span{s.From, min(to, cut.From)})
			}
			if cut.To > 0 && to > cut.To {
				left = append(left, Span{max(s.From, cut.To), s.To})
			}
		}
		spans = left
	}
	return spans
}

// spends holds what a process spent against the bars.
func spends(p *Process) (found []Finding) {
	c := p.Control
	if !c.Measured {
		return nil
	}
	say := func(verdict, format string, args ...any) {
		found = append(found, Finding{verdict, p.Name, fmt.Sprintf(format, args...)})
	}
	if c.Bytes > BytesMost && !c.Squeezed {
		say(Bytes, "%.0f bytes a second", c.Bytes)
	}
	if c.CPU > CPUMost && !c.Costless {
		say(CPU, "%.2f%% of a core", 100*c.CPU)
	}
	if c.MemoryMB > MemoryMost && !c.Costless {
		say(Memory, "%.1f MB", c.MemoryMB)
	}
	return found
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
