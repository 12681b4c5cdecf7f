package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"mosslead/internal/lab/loadtest"
	"mosslead/internal/lab/pause"
	"mosslead/internal/lab/relay"
	"mosslead/internal/registry/api"
)

const (
	waveChanges  = 20
	restartsFull = 140 // among as many as fleetFull
	fleetFull    = 1800
	rackFull     = 20              // among as many as fleetFull
	grace        = 2 * time.Second // of the service, from a lease's end to the entry's
	shortAway    = 300 * time.Millisecond
	leaderAway   = 3 * time.Second
	regionCount  = 2 // of a day on which regions are cut off, or far from each other
	slowRounds   = 5 // of changes in each region
	slowDelay    = 150 * time.Millisecond
	slowLoss     = 0.01
)

// day is what happens on one. It returns once all of it was issued.
type day struct {
	says    string
	regions int
	play    func(w *world, ctx context.Context) error
}

// Cut and slow need regions; the other days one quorum.
const cutDay = "cut"

var days map[string]day

func init() {
	days = map[string]day{
		"steady":   {"nothing changes", 1, (*world).steady},
		"wave":     {"twenty changes", 1, (*world).wave},
		"restarts": {"140 of 1,800 restart or fail", 1, (*world).restarts},
		"rack":     {"twenty of one zone silent at once, and back", 1, (*world).rack},
		"zone":     {"all of one zone silent at once, and back", 1, (*world).zone},
		"leader":   {"the leader killed, and the next one stopped and let go", 1, (*world).leader},
		"return":   {"all connections to the list service break at once", 1, (*world).comeBack},
		"slow":     {"links between regions slow and lossy, with changes and settings on both sides", regionCount, (*world).slow},
		cutDay:     {"a region cut off, with changes and deaths on both sides, and healed", regionCount, (*world).cut},
	}
}

// DayNames are those of all days that can be played, by name.
func DayNames() []string { return slices.Sorted(maps.Keys(days)) }

func (w *world) steady(ctx context.Context) error {
	pause.For(ctx, w.spec.Length)
	return ctx.Err()
}

// wave is twenty changes, evenly spread: of entries by operators' hands, and of services' settings.
func (w *world) wave(ctx context.Context) error {
	names, err := w.pick(w.regions[0], waveChanges/4)
	if err != nil {
		return err
	}
	for i := range waveChanges {
		k, hand := i/2, api.AdminDrain
		if k >= len(names) {
			hand = api.AdminNone
		}
		if i%2 == 0 {
			err = w.hand(ctx, w.regions[0], names[k%len(names)], hand, "change by hand")
		} else {
			err = w.put(ctx, w.regions[0], w.serviceOf(k%(waveChanges/4)), "settings")
		}
		if err != nil {
			return err
		}
		pause.For(ctx, w.spec.Length/waveChanges)
	}
	return ctx.Err()
}

// restarts has sidecars end with their upstreams: half of them are back before anybody could notice, a quarter once the lease
// has lapsed; of the last quarter the upstream alone fails.
func (w *world) restarts(ctx context.Context) error {
	n := max(4, restartsFull*w.spec.Hollow/fleetFull)
	names, err := w.pick(w.regions[0], n)
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	errs := make([]error, len(names))
	for i, name := range names {
		all.Go(func() {
			number := w.number(name)
			if i%4 == 3 {
				errs[i] = w.fails(ctx, []int{number}, doSilence, func() {})
				return
			}
			if i%2 == 0 {
				errs[i] = errors.Join(w.each([]int{number}, doEnd), w.awayFor(ctx, shortAway), w.back(ctx, []int{number}, "restart"))
				return
			}
			errs[i] = w.fails(ctx, []int{number}, doEnd, func() {})
		})
		pause.For(ctx, w.spec.Length/time.Duration(len(names)))
	}
	all.Wait()
	return errors.Join(append(errs, ctx.Err())...)
}

func (w *world) awayFor(ctx context.Context, d time.Duration) error {
	pause.For(ctx, d)
	return ctx.Err()
}

// fails has hollow ones fall silent, waits until the service has noticed, and brings them back with a newer incarnation.
func (w *world) fails(ctx context.Context, of []int, do string, also func()) error {
	var lapses []*Change
	for _, i := range of {
		lapses = append(lapses, w.lapse(i))
	}
	if err := w.each(of, do); err != nil {
		return err
	}
	also()
	if err := w.lapsed(ctx, lapses); err != nil {
		return err
	}
	pause.For(ctx, shortAway)
	return w.back(ctx, of, "back after a failure")
}

// zone is 1 of 14, and so under the share of a fifth at which the service doubts itself: its entries are to lapse.
func (w *world) zone(ctx context.Context) error {
	return w.vanish(ctx, w.ofZone(w.rng.IntN(zoneCount)))
}

// rack is some of one zone, hollow and real ones alike.
func (w *world) rack(ctx context.Context) error {
	all := w.ofZone(w.rng.IntN(zoneCount))
	w.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return w.vanish(ctx, all[:min(len(all), rackSize(w.spec.Hollow))])
}

// rackSize is how many of a rack there are in a fleet: two at least, so that they are gone together.
func rackSize(hollow int) int { return max(2, rackFull*hollow/fleetFull) }

// ofZone are the numbers of a zone's hollow and real ones.
func (w *world) ofZone(z int) (all []int) {
	for i := z; i < w.spec.Hollow; i += zoneCount {
		all = append(all, i) // hollow ones come first among the processes
	}
	for _, x := range w.reals {
		if x.zone == zones()[z] {
			all = append(all, x.number)
		}
	}
	return all
}

// vanish has sidecars and their upstreams silent at once, waits until the service has noticed, and brings them back.
func (w *world) vanish(ctx context.Context, numbers []int) error {
	var of, silent []int
	var gone []*real
	var lapses []*Change
	for _, i := range numbers {
		if i < w.spec.Hollow {
			of = append(of, i)
		}
	}
	for _, x := range w.reals {
		if slices.Contains(numbers, x.number) {
			gone, silent, lapses = append(gone, x), append(silent, x.number), append(lapses, w.lapse(x.number))
		}
	}
	if err := w.each(silent, doEnd); err != nil {
		return err
	}
	return errors.Join(w.fails(ctx, of, doEnd, func() {
		for _, x := range gone {
			_ = x.child.Kill() // whatever came of it
			w.lives(x.number, now(), false)
		}
	}), w.lapsed(ctx, lapses), w.realsBack(ctx, gone))
}

func (w *world) realsBack(ctx context.Context, all []*real) error {
	for _, x := range all {
		w.lives(x.number, now(), true)
		if err := x.start(w.spec.Sidecar, w.spec.Dir, w.spec.Hollow+w.spec.Real); err != nil {
			return err
		}
		if err := errors.Join(w.back(ctx, []int{x.number}, "back after a failure"), x.ready(ctx)); err != nil {
			return err
		}
	}
	return nil
}

// leader is killed while changes come, and started again; the next one is stopped and let go.
func (w *world) leader(ctx context.Context) error {
	r := w.regions[0]
	names, err := w.pick(r, 3)
	if err != nil {
		return err
	}
	x := r.leader(ctx)
	if x == nil {
		return errors.New("nobody leads")
	}
	if err := x.child.Kill(); err != nil {
		return err
	}
	for _, name := range names {
		if err := w.hand(ctx, r, name, api.AdminDrain, "leader killed"); err != nil {
			return err
		}
	}
	pause.For(ctx, leaderAway/2)
	if x.child, err = w.run.Start(x.name, "--config", x.config); err != nil {
		return err
	}
	if err := loadtest.Await(ctx, r.client, len(r.replicas)); err != nil {
		return err
	}
	if x = r.leader(ctx); x == nil {
		return errors.New("nobody leads")
	}
	if err := x.child.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	begun := time.Now()
	for _, name := range names {
		if err = w.hand(ctx, r, name, api.AdminNone, "leader stopped"); err != nil {
			break
		}
	}
	pause.For(ctx, leaderAway-time.Since(begun))
	if err := errors.Join(err, x.child.Signal(syscall.SIGCONT)); err != nil {
		return err
	}
	return errors.Join(w.hand(ctx, r, names[0], api.AdminDrain, "leader let go"), loadtest.Await(ctx, r.client, len(r.replicas)),
		w.hand(ctx, r, names[0], api.AdminNone, "leader let go"))
}

// comeBack breaks all connections at once.
func (w *world) comeBack(ctx context.Context) error {
	names, err := w.pick(w.regions[0], 2)
	if err != nil {
		return err
	}
	if err := w.breakAll(); err != nil {
		return err
	}
	if err := w.hand(ctx, w.regions[0], names[0], api.AdminDrain, "all back at once"); err != nil {
		return err
	}
	pause.For(ctx, time.Second)
	return w.hand(ctx, w.regions[0], names[1], api.AdminDrain, "after all were back")
}

func (w *world) breakAll() error {
	var errs []error
	for _, h := range w.hosts {
		errs = append(errs, h.order(order{Do: doBreak}))
	}
	for _, x := range w.reals {
		x.door.breakAll()
	}
	return errors.Join(errs...)
}

// cut takes the regions apart; each goes on with its own.
func (w *world) cut(ctx context.Context) error {
	for i, r := range w.regions {
		if err := errors.Join(w.any(ctx, r, "before the cut"), w.put(ctx, r, w.serviceOf(i), "settings before the cut")); err != nil {
			return err
		}
	}
	w.settle(ctx)
	// What is served while nothing happens is what the cut is held against.
	w.calm.from = w.load.Now()
	pause.For(ctx, w.spec.Length)
	w.calm.to = w.load.Now()
	w.apart.from = w.calm.to
	if err := w.part(true); err != nil {
		return err
	}
	healed := time.Now().Add(w.spec.Cut)
	var all sync.WaitGroup
	errs := make([]error, len(w.regions))
	for i, r := range w.regions {
		names, err := w.pick(r, 6)
		if err != nil {
			errs[i] = err
			break
		}
		all.Go(func() {
			of := []int{w.number(names[4]), w.number(names[5])}
			var lapses []*Change
			for _, i := range of {
				lapses = append(lapses, w.lapse(i))
			}
			errs[i] = errors.Join(w.each(of, doEnd), w.put(ctx, r, w.serviceOf(i), "settings during the cut"))
			for _, name := range names[:4] {
				errs[i] = errors.Join(errs[i], w.hand(ctx, r, name, api.AdminDrain, "during the cut"))
				pause.For(ctx, w.spec.Cut/8)
			}
			errs[i] = errors.Join(errs[i], w.lapsed(ctx, lapses))
		})
	}
	all.Wait()
	pause.For(ctx, time.Until(healed))
	w.apart.to = w.load.Now()
	if err := errors.Join(append(errs, w.part(false))...); err != nil {
		return err
	}
	w.settle(ctx)
	for _, r := range w.regions {
		if err := w.any(ctx, r, "after the heal"); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// far is a link of the slow day. It has the delay each way, so that a round trip is twice that, and a connection's handshake takes
// one of them more. Loss is what the relay makes of it on a connection: that share of the pieces read at once (32 KB at the most) is
// held up by as long as Linux waits at least before it sends again, 200 ms, and all that comes after on the connection waits too. Nothing
// arrives out of order, and no window shrinks.
func far() relay.State { return relay.State{Delay: slowDelay, Setup: 2 * slowDelay, Loss: slowLoss} }

// slow changes entries and settings on both sides while the regions are far from each other.
func (w *world) slow(ctx context.Context) error {
	if err := w.links(far()); err != nil {
		return err
	}
	var all sync.WaitGroup
	errs := make([]error, len(w.regions))
	for i, r := range w.regions {
		names, err := w.pick(r, slowRounds)
		if err != nil {
			errs[i] = err
			break
		}
		all.Go(func() {
			for k, name := range names {
				errs[i] = errors.Join(errs[i], w.hand(ctx, r, name, api.AdminDrain, "from afar"))
				services := w.putBy(i)
				errs[i] = errors.Join(errs[i], w.put(ctx, r, services[k%len(services)], "settings from afar"))
				pause.For(ctx, w.spec.Length/slowRounds)
			}
		})
	}
	all.Wait()
	if err := errors.Join(append(errs, ctx.Err())...); err != nil {
		return err
	}
	w.settle(ctx) // over the links as they are
	return w.links(relay.State{})
}

// putBy are the services whose settings a region puts: of two, the first has its sidecars in the other region where the number of services
// is even. What it puts on the day cut is among them, as one region owns a service's settings.
func (w *world) putBy(region int) []string {
	if w.services() < 2*regionCount {
		return []string{w.serviceOf(region)}
	}
	return []string{w.serviceOf(2*regionCount - 1 - region), w.serviceOf(region)}
}

// links sets those between regions.
func (w *world) links(s relay.State) error {
	var errs []error
	for _, r := range w.regions {
		errs = append(errs, r.set(s))
	}
	return errors.Join(errs...)
}

func (w *world) part(silent bool) error {
	err := w.links(relay.State{SilentForth: silent, SilentBack: silent})
	w.mu.Lock()
	defer w.mu.Unlock()
	if silent {
		w.rec.Cuts = append(w.rec.Cuts, Span{From: now()})
	} else {
		w.rec.Cuts[len(w.rec.Cuts)-1].To = now()
	}
	return err
}

// any drains one of a region's.
func (w *world) any(ctx context.Context, r *region, cause string) error {
	names, err := w.pick(r, 1)
	if err != nil {
		return err
	}
	return w.hand(ctx, r, names[0], api.AdminDrain, cause)
}

// pick draws names of hollow ones' upstreams that are as they were registered.
func (w *world) pick(r *region, n int) (names []string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.rng.Perm(w.spec.Hollow) {
		p := w.rec.Processes[i]
		if c := w.current[p.Name]; len(names) < n && p.Region == r.name && c.Status == api.Ready && w.up[i] {
			names = append(names, p.Name)
		}
	}
	if len(names) < n {
		return nil, fmt.Errorf("%d hollow sidecars are too few for this day: %d of a region's are as they were registered, and it changes %d", w.spec.Hollow, len(names), n)
	}
	return names, nil
}

func (w *world) number(name string) int {
	return slices.IndexFunc(w.rec.Processes, func(p *Process) bool { return p.Name == name })
}

// each gives an order for some hollow ones to their hosts.
func (w *world) each(of []int, do string) error {
	w.mu.Lock()
	bears := w.bears
	w.mu.Unlock()
	return w.tell(of, order{Do: do, Bear: bears})
}

// tell gives orders for some hollow ones to their hosts, to each those for its own.
func (w *world) tell(of []int, orders ...order) error {
	var errs []error
	for _, h := range w.hosts {
		var own []int
		for _, i := range of {
			if slices.Contains(h.of, i) || slices.Contains(h.also, i) {
				own = append(own, i)
			}
		}
		if len(own) == 0 {
			continue
		}
		for _, o := range orders {
			o.Of = own
			errs = append(errs, h.order(o))
		}
	}
	return errors.Join(errs...)
}

// change notes one of an entry, which is that of a process's upstream, as issued now.
func (w *world) change(number int, status, cause string) *Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.rec.Processes[number]
	c := w.rec.issue(&Change{Name: p.Name, Status: status, Cause: cause, Region: p.Region, Issued: now()})
	w.current[c.Name] = c
	delete(w.lapsing, c.Name)
	return c
}

// hand says an operator's word, and waits until the service has taken it in.
func (w *world) hand(ctx context.Context, r *region, name, hand, cause string) error {
	status := api.Ready
	if hand == api.AdminDrain {
		status = api.Terminating
	}
	c := w.change(w.number(name), status, cause)
	ctx, cancel := context.WithTimeout(ctx, acceptMost)
	defer cancel()
	v, err := r.client.SetAdminState(ctx, name, hand)
	if err != nil {
		return fmt.Errorf("%s of %s (%s): not accepted within %v: %w", hand, name, cause, acceptMost, err)
	}
	w.accept(c, v)
	return nil
}

// put changes the settings of a service, and waits until its region has taken that in.
func (w *world) put(ctx context.Context, r *region, service, cause string) error {
	ctx, cancel := context.WithTimeout(ctx, acceptMost)
	defer cancel()
	w.mu.Lock()
	w.puts++
	s, had := settings(zones()[0], 0, w.spec.Hollow+w.spec.Real), int64(0)
	s["Prices"].(map[string]any)["Probe"] = 0.002 + float64(w.puts)/1e6
	if c := w.current[settingsOf(service)]; c != nil {
		had = c.Hi
	}
	w.mu.Unlock()
	text, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("wording settings: %w", err)
	}
	begun := now()
	v, err := r.client.Put(ctx, service, api.PutRequest{Schema: 1, Settings: text, IfRevision: &had})
	// A replica has not said yet what it understands, or no answer came: then it is looked up, and done again where it was not.
	again := func() bool {
		return api.IsCode(err, api.CodeOlderReplica) || api.IsCode(err, api.CodeOutcomeUnknown) || api.IsCode(err, api.CodeConflict)
	}
	for again() && pause.For(ctx, 50*time.Millisecond) {
		var d api.Document
		if d, err = r.client.Document(ctx, service, 0, true); err == nil && d.Revision != had {
			v = d.Revision // nobody else puts
			break
		}
		v, err = r.client.Put(ctx, service, api.PutRequest{Schema: 1, Settings: text, IfRevision: &had})
	}
	if err != nil {
		return fmt.Errorf("settings of %s (%s): not accepted: %w", service, cause, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// Its name in the record holds its version, so that it is issued once that is known, as of when it was asked for.
	c := w.rec.issue(&Change{Name: settingsOf(service), Service: service, Status: atVersion(v), Cause: cause, Region: r.name, Lo: v, Hi: v,
		Issued: begun, Accepted: now()})
	w.current[c.Name] = c
	return nil
}

// accept notes that a version holds a change; the time is that at which it was first seen, or now.
func (w *world) accept(c *Change, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.Lo, c.Hi, c.Accepted = version, version, now()
	for _, f := range w.firsts[c.Region] {
		if f[0] >= version {
			c.Accepted = max(c.Issued, min(c.Accepted, f[1]))
			break
		}
	}
}

// lapse notes that a process's upstream is silent from now on.
func (w *world) lapse(number int) *Change {
	c := w.change(number, gone, "lapse")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapsing[c.Name] = c
	return c
}

// lapsed waits until a witness has seen the service end all these entries. A new leader gives each lease its full time again.
func (w *world) lapsed(ctx context.Context, all []*Change) error {
	within := 2*(w.spec.Lease+grace) + InForceWithin
	late := time.Now().Add(within)
	for _, c := range all {
		for {
			w.mu.Lock()
			there := c.Accepted > 0
			w.mu.Unlock()
			if there {
				break
			}
			if time.Now().After(late) || !pause.For(ctx, 20*time.Millisecond) {
				return fmt.Errorf("%s has been silent for %v, and its entry is still there", c.Name, within)
			}
		}
	}
	return nil
}

// back brings hollow ones back with a newer incarnation; those whose sidecars run on get new upstreams only.
func (w *world) back(ctx context.Context, of []int, cause string) error {
	w.mu.Lock()
	w.bears++
	bears := w.bears
	w.mu.Unlock()
	var changes []*Change
	for _, i := range of {
		changes = append(changes, w.change(i, api.Ready, cause))
	}
	if err := w.tell(of, order{Do: doRegister, Bear: bears}, order{Do: doWatch}); err != nil {
		return err
	}
	for _, c := range changes {
		if err := w.listed(ctx, c, bears); err != nil {
			return err
		}
	}
	return nil
}

// listed waits until the service has the entry with that incarnation.
func (w *world) listed(ctx context.Context, c *Change, incarnation int64) error {
	r := w.regions[slices.IndexFunc(w.regions, func(r *region) bool { return r.name == c.Region })]
	ctx, cancel := context.WithTimeout(ctx, acceptMost)
	defer cancel()
	for {
		x, err := r.client.Record(ctx, c.Name, false)
		if err == nil && x.Incarnation == incarnation && x.ServerStatus == api.Ready {
			w.accept(c, x.Revision)
			return nil
		}
		if !pause.For(ctx, 50*time.Millisecond) {
			return fmt.Errorf("%s was not listed again within %v%s", c.Name, acceptMost, w.complaint())
		}
	}
}

// settle waits until the witnesses have all that was issued, and all that run what the witnesses in their region have, or longer than
// they may take.
func (w *world) settle(ctx context.Context) {
	for end := time.Now().Add(settleMost); time.Now().Before(end) && pause.For(ctx, 100*time.Millisecond); {
		w.mu.Lock()
		most, behind := map[string]int64{}, 0
		for i := range w.witness {
			p := w.rec.Processes[i]
			most[p.Region] = max(most[p.Region], w.last[i])
		}
		for i, p := range w.rec.Processes {
			c := w.current[settingsOf(p.Service)]
			if w.up[i] && (w.last[i] < most[p.Region] || c != nil && w.force[i] != c.Status) {
				behind++
			}
		}
		for _, x := range w.witness {
			for name, c := range w.current {
				if view, there := x.view[name]; c.Service == "" && (there && view != c.Status || !there && c.Status != gone) {
					behind++
				}
			}
		}
		w.mu.Unlock()
		if behind == 0 {
			return
		}
	}
}
