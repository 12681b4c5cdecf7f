package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"mosslead/balancer"
)

// Fleet is one simulation run. It is not safe for concurrent use.
type Fleet struct {
	plan        Plan
	rng         *rand.Rand
	now         time.Duration
	steps       stepHeap
	seq         int
	lastID      int
	sidecars    []*sidecar
	upstreams   []*upstream          // by index
	byID        map[string]*upstream // every upstream that ever ran; the latest process under an id
	coldStarted []*upstream          // every upstream that started during the run
	load        float64
	ratePerLoad float64 // requests per second at a load of 1
	totalShare  float64 // sum of the sidecars' shares
	result      Result
}

// New returns a run at its start: all upstreams are warm and known to all sidecars, and all sidecars have just started.
func New(p Plan) (*Fleet, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	f := &Fleet{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0x666c656574)), byID: map[string]*upstream{}, load: p.Load}
	for i := range p.Upstreams {
		u := f.startProcess(i, fmt.Sprintf("u%d", i), 0)
		f.ratePerLoad += u.spec.Capacity() / p.Work.Seconds()
	}
	for i := range p.Sidecars {
		s := &sidecar{index: i, zone: p.Zones[i%len(p.Zones)], share: p.Shares[i%len(p.Shares)], known: map[string]balancer.Endpoint{}}
		f.totalShare += s.share
		for _, u := range f.upstreams {
			s.learn(u.endpoint(balancer.Active))
		}
		f.sidecars = append(f.sidecars, s)
		if err := f.startSidecar(s); err != nil {
			return nil, err
		}
	}
	for _, s := range f.sidecars {
		f.scheduleArrival(s)
	}
	return f, nil
}

// At schedules a call of do for the time t.
func (f *Fleet) At(t time.Duration, do func()) {
	f.seq++
	heap.Push(&f.steps, step{max(t, f.now), f.seq, do})
}

// Run simulates up to a moment and returns the results up to then.
func (f *Fleet) Run(until time.Duration) Result {
	for len(f.steps) > 0 && f.steps[0].at <= until {
		s := heap.Pop(&f.steps).(step)
		f.now = s.at
		s.run()
	}
	f.now = until
	f.sumColdWork()
	return f.result
}

// SetLoad changes the load from now on; see Plan.Load.
func (f *Fleet) SetLoad(load float64) { f.load = load }

// step is a call that is due at a time; steps of the same time run in the order of seq.
type step struct {
	at  time.Duration
	seq int
	run func()
}

type stepHeap []step

func (h stepHeap) Len() int { return len(h) }
func (h stepHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h stepHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *stepHeap) Push(x any) { *h = append(*h, x.(step)) }

// Pop implements heap.Interface.
func (h *stepHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = step{}
	*h = old[:len(old)-1]
	return last
}
