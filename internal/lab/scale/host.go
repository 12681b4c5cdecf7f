package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"strconv"
	"sync"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

const (
	tellEvery     = 50 * time.Millisecond
	registerApart = 4 * time.Millisecond // of one host's upstreams, so that a start is no storm of its own
	lineMost      = 4 << 20
)

// Host serves some hundreds of hollow sidecars in this process, at the orders that come from in, until in ends.
func Host(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	h := &host{ctx: ctx, own: map[int]*guest{}, told: map[string]*told{}, out: json.NewEncoder(out)}
	defer h.close()
	defer cancel()
	h.done.Go(h.tell)
	h.say(word{Ready: true})
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, lineMost)
	for lines.Scan() {
		var o order
		if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
			return fmt.Errorf("order: %w", err)
		}
		if err := h.obey(o); err != nil {
			h.say(word{Failed: err.Error()})
		}
	}
	return lines.Err()
}

// host owns the hollow sidecars of this process.
type host struct {
	ctx  context.Context
	done sync.WaitGroup
	own  map[int]*guest // by number; of the goroutine that obeys

	mu   sync.Mutex
	out  *json.Encoder
	told map[string]*told
}

// guest is one hollow sidecar.
type guest struct {
	hollow
	door      *door // nil: it has none of its own
	registrar *client.Registrar
	signs     context.CancelFunc // ends the upstream's registrar; nil: none runs
	stop      context.CancelFunc // ends the sidecar; nil: none runs
	over      chan struct{}      // closed once it has ended, with all before it; nil: there was none
}

// addresses are where the list service is for it.
func (g *guest) addresses() []string {
	if g.door == nil {
		return g.Replicas
	}
	return g.door.addresses()
}

func (h *host) say(w word) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.out.Encode(w) // the run has ended, and so will this process
}

func (h *host) close() {
	for _, g := range h.own {
		h.end(g)
	}
	for _, g := range h.own {
		if g.door == nil {
			continue
		}
		g.door.close() // its watch and calls end at once
	}
	h.done.Wait()
}

func (h *host) obey(o order) error {
	switch o.Do {
	case doAdd:
		for _, x := range o.Add {
			var line func([]byte)
			if x.Along {
				line = func([]byte) {}
			}
			if x.Renews {
				h.own[x.Number] = &guest{hollow: x}
				continue
			}
			d, err := newDoor(x.Replicas, line)
			if err != nil {
				return fmt.Errorf("%s: %w", x.Name, err)
			}
			h.own[x.Number] = &guest{hollow: x, door: d}
		}
		return nil
	case doCount:
		h.flush()
		c := &counts{Count: o.Count, At: now()}
		for i, g := range h.own {
			if g.door == nil {
				continue
			}
			c.Of = append(c.Of, int64(i), g.door.Up.Load(), g.door.Down.Load(), g.door.UpMsgs.Load(), g.door.DownMsgs.Load())
		}
		h.say(word{Counts: c})
		return nil
	}
	if len(o.Of) == 0 {
		for i := range h.own {
			o.Of = append(o.Of, i)
		}
	}
	for _, i := range o.Of {
		g := h.own[i]
		if g == nil {
			return fmt.Errorf("%s: no hollow sidecar has number %d", o.Do, i)
		}
		switch o.Do {
		case doRegister:
			h.register(g, o.Bear)
			if len(o.Of) > 1 {
				time.Sleep(registerApart)
			}
		case doWatch:
			h.watch(g)
		case doSilence:
			if g.registrar != nil {
				g.registrar.Silence(g.Name)
			}
		case doEnd:
			h.end(g)
		case doBreak:
			if g.door != nil { // else the run has its gates
				g.door.breakAll()
			}
		default:
			return fmt.Errorf("order: nothing is called %q", o.Do)
		}
	}
	return nil
}

// register begins the life of a hollow one's upstream.
func (h *host) register(g *guest, incarnation int64) {
	if g.signs != nil {
		g.signs()
	}
	ctx, end := context.WithCancel(h.ctx)
	c := client.New(g.addresses())
	wish := registration(g.Upstream, g.Zone, incarnation)
	g.signs = end
	if g.Mute { // held without a lease, and so without renewals: what the comparison has to notice
		h.done.Go(func() {
			defer c.Close()
			if _, err := c.Register(ctx, g.Name, wish); err != nil && ctx.Err() == nil {
				h.say(word{Failed: err.Error()})
			}
		})
		return
	}
	r := client.NewRegistrar(c, time.Duration(g.LeaseMs)*time.Millisecond, func(string, error) {}) // it tries again
	r.Set(g.Name, wish, api.Ready)
	g.registrar = r
	h.done.Go(func() {
		defer c.Close()
		r.Run(ctx)
	})
}

func registration(address, zone string, incarnation int64) api.Registration {
	return api.Registration{Address: address, Zone: zone, Machine: "cores-4", Weight: 1, Incarnation: incarnation}
}

// watch begins the life of a hollow sidecar, once the one before has ended.
func (h *host) watch(g *guest) {
	if g.stop != nil || g.Renews {
		return
	}
	ctx, stop := context.WithCancel(h.ctx)
	before, over := g.over, make(chan struct{})
	g.stop, g.over = stop, over
	h.done.Go(func() {
		defer close(over)
		if before != nil {
			<-before
		}
		h.say(word{Number: g.Number, Up: now()})
		err := runHollow(ctx, g.hollow, g.addresses(), func(m *Message) { h.saw(g.Number, m) })
		h.flush() // what it saw comes before its end
		h.say(word{Number: g.Number, Down: now()})
		if err != nil {
			h.say(word{Failed: err.Error()})
		}
	})
}

// end is soon over: whoever waits for orders waits for no sidecar.
func (h *host) end(g *guest) {
	if g.signs != nil {
		g.signs()
		g.signs = nil
	}
	if g.stop != nil {
		g.stop()
		g.stop = nil
	}
}

// saw notes that one took a message in. The same message of many is told once.
func (h *host) saw(number int, m *Message) {
	at := now()
	key := key(m)
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.told[key]
	if t == nil {
		t = &told{Index: m.Index, Whole: m.Whole, InForce: m.InForce, Entries: m.Entries}
		h.told[key] = t
	}
	t.By = append(t.By, int64(number), at)
}

// key tells messages apart, also where a lie has the version of the truth.
func key(m *Message) string {
	sum := fnv.New64a()
	for _, e := range m.Entries {
		_, _ = io.WriteString(sum, e.Name+" "+e.Status+"\n") // a hash takes everything
	}
	return strconv.FormatInt(m.Index, 10) + strconv.FormatBool(m.Whole) + strconv.FormatBool(m.InForce) + strconv.FormatUint(sum.Sum64(), 16)
}

func (h *host) tell() {
	tick := time.NewTicker(tellEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			h.flush()
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *host) flush() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, t := range h.told {
		_ = h.out.Encode(word{Told: t}) // as in say
		delete(h.told, key)
	}
}
