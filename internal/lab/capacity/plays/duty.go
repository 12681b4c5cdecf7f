package plays

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mosslead/internal/lab/capacity"
	"mosslead/internal/lab/pause"
	"mosslead/internal/lease"
	"mosslead/internal/registry/client"
)

const (
	dutySettle = 4 * time.Second // a candidate makes its first call within 3 s
	dutyFor    = 8 * time.Second
)

func init() {
	plays["duty"] = play{
		question:    "What does one duty cost the list service, by those who want it?",
		how:         "so many candidates of one duty, in this process, each with a client of its own, before one replica in memory; 4 s after their start, over 8 s: calls, and bytes both ways without the kernel's headers; processor time of the replica",
		series:      []capacity.Series{{Name: "calls", Unit: "calls/s", Form: "candidates"}, {Name: "bytes", Unit: "bytes/s", Form: "candidates"}, {Name: "core_share", Unit: "of a core", Form: "candidates"}},
		sampleSizes: eachSize("candidates", 32, 64, 128, 256), repeats: 1, checkSizes: sizes{"candidates": 450},
		run: (*Player).measureDuty,
	}
}

func (p *Player) measureDuty(ctx context.Context, at sizes, dir string) (map[string]float64, error) {
	r, err := p.runner(dir)
	if err != nil {
		return nil, err
	}
	b, err := r.Alone(ctx)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	replica := b.Children[0]
	calls, err := newCounter(b.At[0])
	if err != nil {
		return nil, err
	}
	defer calls.close()
	running, stop := context.WithCancel(ctx)
	var candidates sync.WaitGroup
	defer candidates.Wait()
	defer stop()
	for i := range int(at["candidates"]) {
		c := client.New([]string{calls.address()})
		d := lease.NewRunner(c, lease.Config{Name: "lab/capacity", Holder: fmt.Sprint("candidate-", i)}, func(lease.Action) {})
		d.Campaign(true, 0)
		candidates.Go(func() { defer c.Close(); d.Run(running) })
	}
	if !pause.For(ctx, p.scaled(dutySettle)) {
		return nil, ctx.Err()
	}
	startedAt, n, bytes := time.Now(), calls.calls.Load(), calls.bytes()
	cpuBefore, err := replica.Ran()
	if err != nil {
		return nil, err
	}
	if !pause.For(ctx, p.scaled(dutyFor)) {
		return nil, ctx.Err()
	}
	cpuAfter, err := replica.Ran()
	if err != nil {
		return nil, err
	}
	took := time.Since(startedAt).Seconds()
	return map[string]float64{"calls": float64(calls.calls.Load()-n) / took, "bytes": float64(calls.bytes()-bytes) / took, "core_share": (cpuAfter - cpuBefore).Seconds() / took}, nil
}
