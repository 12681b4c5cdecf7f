package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"mosslead/internal/lab/pause"
	"mosslead/internal/lab/proc"
)

// Role is what the processes of one kind spent on a day, each on the mean.
type Role struct {
	Role      string  `json:"role"`
	Count     int     `json:"count"`
	BytesS    float64 `json:"bytes_s"`      // both ways, between it and the list service
	MostBytes float64 `json:"most_bytes_s"` // of the one with the most
	UpS       float64 `json:"up_bytes_s"`
	DownS     float64 `json:"down_bytes_s"`
	UpMsgsS   float64 `json:"up_msgs_s"` // of those whose messages are counted
	DownMsgsS float64 `json:"down_msgs_s"`
	KB        float64 `json:"kb"` // resident
	MostKB    float64 `json:"most_kb"`
	CPU       float64 `json:"cpu"` // of a core
	MostCPU   float64 `json:"most_cpu"`
}

// reading is what is counted of all processes at a time.
type reading struct {
	at   time.Time
	gate map[int][4]int64 // up, down, messages up and down
	when map[int]int64    // they were counted so, by the machine's clock: a host on a busy machine is late to answer
	use  map[string]proc.Use
}

func (w *world) read(ctx context.Context) (reading, error) {
	w.counted++
	r := reading{at: time.Now(), gate: map[int][4]int64{}, when: map[int]int64{}, use: map[string]proc.Use{}}
	take := func(c *proc.Child) {
		if c == nil {
			return
		}
		if u, err := c.Use(); err == nil { // else it has ended
			r.use[c.Name] = u
		}
	}
	for _, h := range w.hosts {
		all, at, err := h.count(ctx, w.counted)
		if err != nil {
			return r, err
		}
		for i, c := range all {
			r.gate[i], r.when[i] = c, at
		}
		take(h.child)
	}
	for _, x := range w.reals {
		r.when[x.number] = now()
		r.gate[x.number] = [4]int64{x.door.Up.Load(), x.door.Down.Load(), x.door.UpMsgs.Load(), x.door.DownMsgs.Load()}
		take(x.child)
	}
	for _, q := range w.regions {
		for _, x := range q.replicas {
			take(x.child)
		}
	}
	return r, nil
}

// since is the processor time of a process from another reading on, in seconds; of one that was started anew since then its own.
func (r reading) since(a reading, name string) float64 {
	now, before := r.use[name].CPU, a.use[name].CPU
	if now < before {
		before = 0
	}
	return (now - before).Seconds()
}

// memory is that of all processes that were read, in MB.
func (r reading) memory() (sum float64) {
	for _, u := range r.use {
		sum += u.MemoryMB
	}
	return sum
}

// spent puts what each process spent between two readings into the record. Hollow ones have an even part of their host's.
func (w *world) spent(rec *Record, a, b reading, squeezed bool) {
	seconds := b.at.Sub(a.at).Seconds()
	gate := func(i int) Control {
		x, y, own := a.gate[i], b.gate[i], float64(b.when[i]-a.when[i])/1e9
		return Control{Measured: true, Squeezed: squeezed, Seconds: own, Bytes: float64(y[0]-x[0]+y[1]-x[1]) / own, UpBytes: y[0] - x[0], DownBytes: y[1] - x[1],
			UpMsgs: y[2] - x[2], DownMsgs: y[3] - x[3], messagesCounted: y[2] > 0}
	}
	cpu := func(name string) float64 { return b.since(a, name) / seconds }
	for _, h := range w.hosts {
		for _, i := range h.of {
			c := gate(i)
			c.CPU, c.MemoryMB = cpu(h.child.Name)/float64(len(h.of)), b.use[h.child.Name].MemoryMB/float64(len(h.of))
			c.Costless = w.spec.costless
			rec.Processes[i].Control = c
		}
	}
	for _, x := range w.reals {
		c := gate(x.number)
		c.CPU, c.MemoryMB = cpu(x.name), b.use[x.name].MemoryMB
		c.Costless = w.spec.costless || !x.bare // with clients it is not for control alone
		rec.Processes[x.number].Control = c
	}
}

// roles sums a day up.
func (w *world) roles(rec *Record, a, b reading, leaders []string) (all []Role) {
	seconds := b.at.Sub(a.at).Seconds()
	kinds := map[string]*Role{}
	var names []string
	add := func(kind string, c Control, cpu, mb float64) {
		r := kinds[kind]
		if r == nil {
			r = &Role{Role: kind}
			kinds[kind] = r
			names = append(names, kind)
		}
		r.Count++
		s := max(c.Seconds, 1e-9)
		r.BytesS, r.MostBytes = r.BytesS+c.Bytes, max(r.MostBytes, c.Bytes)
		r.UpS, r.DownS = r.UpS+float64(c.UpBytes)/s, r.DownS+float64(c.DownBytes)/s
		r.KB, r.MostKB = r.KB+1024*mb, max(r.MostKB, 1024*mb)
		r.CPU, r.MostCPU = r.CPU+cpu, max(r.MostCPU, cpu)
	}
	cpu := func(name string) float64 { return b.since(a, name) / seconds }
	for _, h := range w.hosts {
		for _, i := range h.of {
			c := rec.Processes[i].Control
			add("hollow", c, c.CPU, c.MemoryMB)
		}
	}
	for _, x := range w.reals {
		kind := "real with load"
		if x.bare {
			kind = "real"
		}
		c := rec.Processes[x.number].Control
		add(kind, c, c.CPU, c.MemoryMB)
	}
	for _, q := range w.regions {
		for _, x := range q.replicas {
			kind := "replica"
			if slices.Contains(leaders, x.name) {
				kind = "leading replica"
			}
			add(kind, Control{}, cpu(x.name), b.use[x.name].MemoryMB)
		}
	}
	for _, name := range names {
		r := kinds[name]
		n := float64(r.Count)
		r.BytesS, r.UpS, r.DownS, r.KB, r.CPU = r.BytesS/n, r.UpS/n, r.DownS/n, r.KB/n, r.CPU/n
		r.UpMsgsS, r.DownMsgsS = w.messages(rec, name, func(c Control) float64 { return float64(c.UpMsgs) }),
			w.messages(rec, name, func(c Control) float64 { return float64(c.DownMsgs) })
		all = append(all, *r)
	}
	return all
}

// messages is the mean of a second among those of a role whose messages are counted.
func (w *world) messages(rec *Record, role string, of func(Control) float64) float64 {
	sum, n := 0.0, 0
	for i, p := range rec.Processes {
		c := p.Control
		bare := slices.ContainsFunc(w.reals, func(x *real) bool { return x.number == i && x.bare })
		if is := role == p.Kind && (p.Kind == "hollow" || bare) || role == "real with load" && p.Kind == "real" && !bare; is && c.messagesCounted {
			sum, n = sum+of(c)/c.Seconds, n+1
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// Comparison is what hollow sidecars sent and got in a second beside real ones, each on the mean.
type Comparison struct {
	Phase  string  `json:"phase"` // steady, one change, coming back
	What   string  `json:"what"`
	Hollow float64 `json:"hollow"`
	Real   float64 `json:"real"`
	Ratio  float64 `json:"ratio"`
}

// LikeReal is the verdict on hollow sidecars, and LikeWithin how far they may be from real ones.
const (
	LikeReal   = "hollow as real, within 10%"
	LikeWithin = 0.1
)

// compare sets the hollow ones whose messages are counted beside all real ones.
func compare(phase string, rec *Record) (all []Comparison) {
	for _, q := range []struct {
		what string
		of   func(Control) int64
	}{{"bytes up", func(c Control) int64 { return c.UpBytes }}, {"bytes down", func(c Control) int64 { return c.DownBytes }},
		{"messages up", func(c Control) int64 { return c.UpMsgs }}, {"messages down", func(c Control) int64 { return c.DownMsgs }}} {
		sum, n := map[string]float64{}, map[string]float64{}
		for _, p := range rec.Processes {
			if p.Control.Measured && p.Control.messagesCounted {
				sum[p.Kind] += float64(q.of(p.Control)) / p.Control.Seconds
				n[p.Kind]++
			}
		}
		c := Comparison{Phase: phase, What: q.what, Hollow: sum["hollow"] / max(1, n["hollow"]), Real: sum["real"] / max(1, n["real"])}
		if c.Real > 0 {
			c.Ratio = c.Hollow / c.Real
		}
		all = append(all, c)
	}
	return all
}

// alike finds what hollow ones do otherwise than real ones.
func alike(all []Comparison) (found []Finding) {
	for _, c := range all {
		if c.Ratio < 1-LikeWithin || c.Ratio > 1+LikeWithin {
			found = append(found, Finding{LikeReal, "hollow", fmt.Sprintf("%s, %s a second: %.2f, and %.2f of real ones", c.Phase, c.What, c.Hollow, c.Real)})
		}
	}
	return found
}

// against plays what hollow and real ones are compared by, beside the steady day.
func (w *world) against(ctx context.Context) (all []Comparison, err error) {
	for _, phase := range []struct {
		name  string
		begin func() error
	}{
		{"one change", func() error { return w.any(ctx, w.regions[0], "one change") }},
		{"coming back", w.breakAll},
	} {
		a, err := w.read(ctx)
		if err != nil {
			return all, err
		}
		if err := phase.begin(); err != nil {
			return all, err
		}
		pause.For(ctx, w.window())
		b, err := w.read(ctx)
		if err != nil {
			return all, err
		}
		rec := &Record{Processes: w.copies()}
		w.spent(rec, a, b, false)
		all = append(all, compare(phase.name, rec)...)
	}
	return all, ctx.Err()
}

// window is long enough for renewals, which come by chance, to even out.
func (w *world) window() time.Duration {
	return max(4*w.spec.Lease, min(w.spec.Length, 10*time.Second))
}

func (w *world) copies() (all []*Process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.rec.Processes {
		all = append(all, &Process{Name: p.Name, Kind: p.Kind, Region: p.Region})
	}
	return all
}

// served words how the load beside did.
func served(wait func() (int, int)) Served {
	sent, ok := wait()
	return Served{sent, ok}
}

// Served is what became of the requests of the load beside.
type Served struct {
	Sent   int `json:"sent"`
	Served int `json:"served"`
}
