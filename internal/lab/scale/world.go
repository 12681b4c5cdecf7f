package scale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"mosslead/internal/lab/loadtest"
	"mosslead/internal/lab/pause"
	"mosslead/internal/lab/record"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

const (
	gone        = api.Removed
	hostMost    = 300 // hollow ones of one process
	alongEach   = 16  // of them, whose messages are counted too
	serviceMost = 160
	serviceSize = 11 // sidecars of one, on the mean
	zoneCount   = 14
	hollowFiles = 14 // descriptors of a hollow one in its host: three listeners, and three for each connection
	ownFiles    = 256
	memoryMost  = 12 << 10 // MB, of all processes together
	processMost = 300
	judgedFrom  = 10 * time.Second // shorter days squeeze changes and renewals so that their bytes a second say nothing
	settleMost  = InForceWithin + 500*time.Millisecond
	acceptMost  = 20 * time.Second
	fillMost    = 60 * time.Second
)

func zones() (all []string) {
	for i := range zoneCount {
		all = append(all, fmt.Sprintf("z%02d", i))
	}
	return all
}

// Spec is what is to be run.
type Spec struct {
	Hollow, Real int
	Replicas     int // of each region
	Days         []string
	Seeds        []uint64
	Lease        time.Duration // of upstreams
	Length       time.Duration // of a day's plain part
	Cut          time.Duration // how long regions are apart
	Compare      bool          // hollow ones are held against real ones, after the steady day

	Service  []string // a replica's command, up to "--config"
	Host     []string // that of a host of hollow sidecars
	Sidecar  []string // that of a real one
	Revision string   // that they are built from, for the result
	Dir      string

	Progress func(done, total int, what string)

	mute     bool // a planted fault: hollow ones leave out their renewals
	costless bool // what runs is a test's own program: its processor time and memory say nothing
}

// Check names what is wrong with it; nil: nothing. Descriptors are taken as they are.
func (s *Spec) Check() error {
	switch {
	case s.Hollow < 14 || s.Hollow > 10_000:
		return fmt.Errorf("hollow: 14 to 10000, not %d", s.Hollow)
	case s.Real < 2 || s.Real > 64:
		return fmt.Errorf("real: 2 to 64, not %d", s.Real)
	case s.Replicas < 1 || s.Replicas > 5:
		return fmt.Errorf("replicas: 1 to 5, not %d", s.Replicas)
	case len(s.Days) == 0 || len(s.Seeds) == 0:
		return errors.New("days and seeds: at least one")
	case s.Lease < api.MinLeaseMs*time.Millisecond:
		return fmt.Errorf("lease: at least %d ms", api.MinLeaseMs)
	case s.Length < time.Second || s.Cut < time.Second:
		return errors.New("length and cut: at least 1s")
	}
	for i, d := range s.Days {
		if _, ok := days[d]; !ok {
			return fmt.Errorf("days: nothing is called %q; there are %v", d, DayNames())
		}
		if slices.Contains(s.Days[:i], d) {
			return fmt.Errorf("days: %s is there twice", d)
		}
	}
	if n := s.processes(); n > processMost {
		return fmt.Errorf("%d processes, and %d are the most", n, processMost)
	}
	var lim unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &lim); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	if need := s.descriptors(); uint64(need) > lim.Cur {
		return fmt.Errorf("descriptors: one process needs %d, and may have %d (ulimit -n)", need, lim.Cur)
	}
	return nil
}

func (s *Spec) hosts() int { return (s.Hollow + hostMost - 1) / hostMost }

// processes are those that run at once, this one too.
func (s *Spec) processes() int { return 1 + s.hosts() + s.Real + 2*s.Replicas }

// descriptors are the most that one process needs: a host, or a replica that all have come to.
func (s *Spec) descriptors() int {
	return ownFiles + max(hollowFiles*min(s.Hollow, hostMost), 2*(s.Hollow+s.Real), 16*s.Real)
}

// world is a fleet that runs: regions of the list service, hosts of hollow sidecars, real ones, and witnesses at the replicas.
type world struct {
	spec    Spec
	run     loadtest.Runner
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup // witnesses
	regions []*region
	hosts   []*remote
	reals   []*real
	load    *record.Record
	rng     *rand.Rand
	counted int

	calm, apart window // of the day cut: before it, and while it lasts

	mu       sync.Mutex
	rec      *Record
	last     []int64            // the version that a process was last told of
	up       []bool             // a process runs
	force    []string           // the settings that are in force at a process, as the record has them
	witness  map[int]*witness   // by number
	lapsing  map[string]*Change // by name, until a witness has seen it
	current  map[string]*Change // by name, the last one issued
	puts     int
	bears    int64                 // the incarnation that was last given
	restless map[int]bool          // did not run for the whole day
	trouble  []string              // what hosts complained of
	firsts   map[string][][2]int64 // by region: version and time, both rising, of what a witness saw first
}

// witness follows one replica from this process, to see when the service did what it does by itself.
type witness struct {
	region string
	last   int64
	view   map[string]string // the list as it was told
}

func newWorld(ctx context.Context, spec Spec, seed uint64, names []string) (w *world, err error) {
	w = &world{spec: spec, run: loadtest.Runner{Command: spec.Service, Dir: spec.Dir}, load: record.New(),
		rng: rand.New(rand.NewPCG(seed, 28)), witness: map[int]*witness{}, lapsing: map[string]*Change{}, current: map[string]*Change{},
		restless: map[int]bool{}, firsts: map[string][][2]int64{}, rec: &Record{}}
	w.ctx, w.cancel = context.WithCancel(ctx)
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	if w.regions, err = startRegions(w.ctx, w.run, names, spec.Replicas); err != nil {
		return w, err
	}
	if err = w.people(); err != nil {
		return w, err
	}
	return w, w.fill()
}

// regionOf is where a zone belongs.
func (w *world) regionOf(zone int) *region { return w.regions[zone%len(w.regions)] }

// services are as many as the fleet ahead has, or fewer.
func (w *world) services() int { return max(2, min(serviceMost, w.spec.Hollow/serviceSize)) }

// serviceOf is whose settings the sidecar of that number follows.
func (w *world) serviceOf(i int) string { return fmt.Sprintf("svc%03d", i%w.services()) }

func (w *world) add(name, kind, region, service string) int {
	w.rec.Processes = append(w.rec.Processes, &Process{Name: name, Kind: kind, Region: region, Service: service})
	w.last, w.up, w.force = append(w.last, 0), append(w.up, false), append(w.force, "")
	return len(w.last) - 1
}

// people brings witnesses, real sidecars and hosts up; no sidecar follows the list yet.
func (w *world) people() error {
	z := zones()
	var hollows []hollow
	for i := range w.spec.Hollow {
		r := w.regionOf(i % zoneCount)
		name := fmt.Sprintf("h%05d", i)
		hollows = append(hollows, hollow{Number: w.add(name, "hollow", r.name, w.serviceOf(i)), Name: name, Zone: z[i%zoneCount], Replicas: r.addresses(), Service: w.serviceOf(i),
			LeaseMs: w.spec.Lease.Milliseconds(), Fleet: w.spec.Hollow + w.spec.Real, Mute: w.spec.mute})
	}
	for i := range w.spec.Real {
		r := w.regionOf(i % zoneCount)
		name := fmt.Sprintf("x%05d", i)
		number := w.add(name, "real", r.name, w.serviceOf(i))
		// One in six, and one at least, has no clients.
		bare := i%6 == 1
		service := w.serviceOf(i)
		x, err := newReal(name, number, z[i%zoneCount], service, bare, r.addresses(), w.load)
		if err != nil {
			return err
		}
		w.reals = append(w.reals, x)
		w.done.Go(func() { x.follows(w.ctx, func(m *Message) { w.saw(number, now(), m) }) })
	}
	// Whatever a real sidecar is told to call answers: hollow ones' upstreams are real ones too, each many times.
	// They are in the region of the hollow one, where there is a real one.
	for i := range hollows {
		own := slices.DeleteFunc(slices.Clone(w.reals), func(x *real) bool {
			return w.rec.Processes[x.number].Region != w.rec.Processes[hollows[i].Number].Region
		})
		hollows[i].Upstream = own[i/len(w.regions)%len(own)].upstream.Address()
	}
	for _, r := range w.regions {
		for _, x := range r.replicas {
			number := w.add("witness at "+x.name, "witness", r.name, "")
			w.witness[number] = &witness{region: r.name, view: map[string]string{}}
		}
	}
	for i := range w.spec.hosts() {
		h, err := startHost(w.spec.Host, w.spec.Dir, fmt.Sprint("hollow", i), w.heard)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	for i, h := range w.hosts {
		if err := h.stands(w.ctx); err != nil {
			return err
		}
		var own []hollow
		for j := i; j < len(hollows); j += len(w.hosts) {
			hollows[j].Along = len(own) < alongEach
			own = append(own, hollows[j])
			h.of = append(h.of, hollows[j].Number)
		}
		// Real ones' upstreams are renewed by hosts too: at this process's priority they would be renewed more often on a busy machine.
		for j := i; j < len(w.reals); j += len(w.hosts) {
			x := w.reals[j]
			own = append(own, hollow{Number: x.number, Name: x.name, Zone: x.zone, Upstream: x.upstream.Address(), Replicas: x.door.addresses(),
				LeaseMs: w.spec.Lease.Milliseconds(), Renews: true})
			h.also = append(h.also, x.number)
		}
		if err := h.order(order{Do: doAdd, Add: own}); err != nil {
			return err
		}
	}
	return nil
}

// fill has all upstreams registered, and then has the sidecars follow the list.
func (w *world) fill() error {
	w.bears++
	for _, h := range w.hosts {
		if err := h.order(order{Do: doRegister, Bear: w.bears}); err != nil {
			return err
		}
	}
	all := w.spec.Hollow + w.spec.Real
	if err := w.until(fillMost, func() (string, bool) {
		n := 0
		for _, r := range w.regions {
			rs, err := r.client.Records(w.ctx, true)
			if err != nil {
				return err.Error(), false
			}
			for _, x := range rs.Records {
				w.current[x.Name] = &Change{Name: x.Name, Status: x.Status, Region: r.name, Lo: x.Revision, Hi: x.Revision}
			}
			n += len(rs.Records)
		}
		return fmt.Sprintf("%d of %d entries are there", n, all), n == all
	}); err != nil {
		return err
	}
	if err := w.until(fillMost, w.together); err != nil {
		return err
	}
	w.begin()
	for n := range w.witness {
		w.follow(n)
	}
	for _, x := range w.reals {
		w.lives(x.number, now(), true)
		if err := x.start(w.spec.Sidecar, w.spec.Dir, all); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.order(order{Do: doWatch}); err != nil {
			return err
		}
	}
	for _, x := range w.reals {
		if err := x.ready(w.ctx); err != nil {
			return err
		}
	}
	return w.until(fillMost, func() (string, bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		n := 0
		for _, v := range w.last {
			if v > 0 {
				n++
			}
		}
		return fmt.Sprintf("%d of %d follow the list", n, len(w.last)), n == len(w.last)
	})
}

// together tells whether each region has what the others have.
func (w *world) together() (string, bool) {
	for _, r := range w.regions {
		said, _ := r.client.Status(w.ctx)
		n := 0
		for _, s := range said {
			for _, f := range s.Replication {
				n += f.Endpoints
			}
			if s.State == "leader" {
				n += s.Endpoints
			}
		}
		if all := w.spec.Hollow + w.spec.Real; len(w.regions) > 1 && n < all {
			return fmt.Sprintf("region %q has %d of %d entries", r.name, n, all), false
		}
	}
	return "", true
}

// until asks again and again.
func (w *world) until(most time.Duration, ok func() (string, bool)) error {
	ctx, cancel := context.WithTimeout(w.ctx, most)
	defer cancel()
	for {
		why, done := ok()
		if done {
			return nil
		}
		if !pause.For(ctx, 100*time.Millisecond) {
			return fmt.Errorf("after %v: %s%s", most, why, w.complaint())
		}
	}
}

// complaint is the first that a host said.
func (w *world) complaint() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.trouble) == 0 {
		return ""
	}
	return "; " + w.trouble[0]
}

// follow has a witness watch its replica.
func (w *world) follow(number int) {
	w.lives(number, now(), true)
	name := w.rec.Processes[number].Name
	var at string
	for _, r := range w.regions {
		for _, x := range r.replicas {
			if name == "witness at "+x.name {
				at = x.api
			}
		}
	}
	c := client.New([]string{at})
	w.done.Go(func() {
		defer c.Close()
		c.Watch(w.ctx, nil, client.Watcher{Apply: func(l api.WatchEvent) error { w.saw(number, now(), message(l)); return nil },
			OnEstablished: func() {}, OnError: func(string, error) {}})
	})
}

// begin begins the record of a day: what is in force now was issued before.
func (w *world) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.anew()
}

// anew puts a new record in place of the one that there is; the caller holds mu.
func (w *world) anew() {
	before := w.rec
	w.rec = &Record{}
	for _, name := range slices.Sorted(maps.Keys(w.current)) {
		c := *w.current[name]
		c.Cause, c.Issued, c.Accepted = "", 0, 0
		w.rec.Changes = append(w.rec.Changes, &c)
	}
	for i, p := range before.Processes {
		q := &Process{Name: p.Name, Kind: p.Kind, Region: p.Region, Service: p.Service}
		if w.up[i] {
			q.Lives = []Span{{From: now()}}
		}
		w.rec.Processes = append(w.rec.Processes, q)
	}
	clear(w.restless)
}

// finish ends the record of a day: nothing is added to it any more.
func (w *world) finish() *Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.End = now()
	for i, p := range w.rec.Processes {
		if w.restless[i] || !w.up[i] {
			p.Control.Measured = false
		}
	}
	rec := w.rec
	w.anew()
	return rec
}

// lives notes that a process began or ended a life.
func (w *world) lives(number int, at int64, up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.rec.Processes[number]
	w.up[number], w.restless[number] = up, true
	if up {
		p.Lives, w.last[number], w.force[number] = append(p.Lives, Span{From: at}), 0, ""
	} else if n := len(p.Lives); n > 0 {
		p.Lives[n-1].To = at
	}
}

// heard takes in a host's word.
func (w *world) heard(x word) {
	switch {
	case x.Told != nil:
		m := &Message{Index: x.Told.Index, Whole: x.Told.Whole, InForce: x.Told.InForce, Entries: x.Told.Entries}
		for i := 0; i+1 < len(x.Told.By); i += 2 {
			w.saw(int(x.Told.By[i]), x.Told.By[i+1], m)
		}
	case x.Up > 0:
		w.lives(x.Number, x.Up, true)
	case x.Down > 0:
		w.lives(x.Number, x.Down, false)
	case x.Failed != "":
		w.mu.Lock()
		w.trouble = append(w.trouble, x.Failed)
		w.mu.Unlock()
	}
}

// saw notes that a process took a message in.
func (w *world) saw(number int, at int64, m *Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.rec.Processes[number]
	// Hosts tell of several messages at once, in any order.
	i, _ := slices.BinarySearchFunc(p.Sights, at, func(s Sight, at int64) int { return cmp.Compare(s.At, at) })
	p.Sights = slices.Insert(p.Sights, i, Sight{at, m})
	if m.InForce {
		w.force[number] = m.Entries[0].Status
		return
	}
	w.last[number] = max(w.last[number], m.Index)
	if x := w.witness[number]; x != nil {
		w.attest(x, at, m)
	}
}

// attest takes from a witness what the service did by itself, and when a version was first there. The caller holds mu.
func (w *world) attest(x *witness, at int64, m *Message) {
	if f := w.firsts[x.region]; len(f) == 0 || f[len(f)-1][0] < m.Index {
		w.firsts[x.region] = append(f, [2]int64{m.Index, at})
	}
	named := map[string]bool{}
	over := func(name string) {
		c := w.lapsing[name]
		if c == nil || c.Region != x.region {
			return
		}
		if c.Accepted == 0 {
			c.Accepted = at
		}
		if lo := x.last + 1; x.last > 0 && !m.Whole {
			c.Lo = max(c.Lo, lo)
		}
		if c.Hi == 0 || m.Index < c.Hi {
			c.Hi = m.Index
		}
	}
	if m.Whole {
		clear(x.view)
	}
	for _, e := range m.Entries {
		named[e.Name] = true
		if x.view[e.Name] = e.Status; e.Status == gone {
			delete(x.view, e.Name)
		}
		if e.Status == gone {
			over(e.Name)
		}
	}
	if m.Whole {
		for name := range w.lapsing {
			if !named[name] {
				over(name)
			}
		}
	}
	x.last = m.Index
}

// close ends all that runs.
func (w *world) close() {
	w.cancel()
	for _, h := range w.hosts {
		h.close()
	}
	for _, x := range w.reals {
		x.close()
	}
	for _, r := range w.regions {
		r.close()
	}
	w.done.Wait()
}
