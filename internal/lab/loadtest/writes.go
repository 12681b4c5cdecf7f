package loadtest

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"mosslead/internal/lab/pause"
	"mosslead/internal/lab/proc"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

// Writes is what changes of a list were found to cost a quorum of three.
type Writes struct {
	Asked         float64 `json:"asked_per_s"`
	Took          float64 `json:"took_per_s"`
	Failed        int     `json:"failed"`
	P99Ms         float64 `json:"p99_ms"`
	Leader        float64 `json:"leader_cores"`
	Follower      float64 `json:"follower_cores"` // of one, on the mean
	LeaderBytes   float64 `json:"leader_bytes"`   // a second, read and written: files and streams
	FollowerBytes float64 `json:"follower_bytes"`
	LeaderMB      float64 `json:"leader_mb"`
	FollowerMB    float64 `json:"follower_mb"`
}

// MeasureWrites has a list of so many entries changed at a rate; 0: it stands still.
func (r Runner) MeasureWrites(ctx context.Context, entries int, rate float64, length time.Duration) (m Writes, err error) {
	m.Asked = rate
	b, err := r.quorumBed(ctx, 3)
	if err != nil {
		return m, err
	}
	defer b.Close()
	children, c := b.Children, b.Client
	if _, err := b.fill(ctx, entries, registration); err != nil {
		return m, err
	}
	leads := leader(ctx, c)
	if leads < 0 {
		return m, errors.New("nobody leads")
	}
	before, err := counts(children)
	if err != nil {
		return m, err
	}
	begun := time.Now()
	var lags []time.Duration
	for i := 0; rate > 0; i++ {
		due := begun.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if due.Sub(begun) >= length || !pause.For(ctx, time.Until(due)) {
			break
		}
		if _, err := c.PutAdminState(ctx, fmt.Sprint("u", i%entries), api.StateChange{AdminState: []string{api.AdminDrain, api.AdminNone}[i/entries%2]}); err != nil {
			m.Failed++
			continue
		}
		lags = append(lags, time.Since(due))
	}
	if !pause.For(ctx, time.Until(begun.Add(length))) {
		return m, ctx.Err()
	}
	after, err := counts(children)
	if err != nil {
		return m, err
	}
	took := time.Since(begun).Seconds()
	if leader(ctx, c) != leads {
		return m, errors.New("another replica leads by now")
	}
	for i := range children {
		cores := (after[i].CPU - before[i].CPU).Seconds() / took
		bytes := float64(after[i].Read+after[i].Written-before[i].Read-before[i].Written) / took
		if i == leads {
			m.Leader, m.LeaderBytes, m.LeaderMB = cores, bytes, after[i].MemoryMB
			continue
		}
		others := float64(len(children) - 1)
		m.Follower, m.FollowerBytes, m.FollowerMB = m.Follower+cores/others, m.FollowerBytes+bytes/others, m.FollowerMB+after[i].MemoryMB/others
	}
	m.Took, m.P99Ms = float64(len(lags))/took, quantile(lags, 99)
	return m, nil
}

type count struct {
	proc.Use
	proc.IO
}

func counts(children []*proc.Child) (all []count, err error) {
	for _, c := range children {
		var x count
		if x.Use, err = c.Use(); err == nil {
			x.IO, err = c.IO()
		}
		if err != nil {
			return nil, err
		}
		all = append(all, x)
	}
	return all, nil
}

// Cut is what was found on the side of a cut that has no majority.
type Cut struct {
	Watchers int     `json:"watchers"`
	Ended    int     `json:"ended"`         // watches, within the length
	AfterS   float64 `json:"ended_after_s"` // the last of them, from the cut on
	Asked    int     `json:"asked"`         // registrations of servers that were listed, one every 100 ms
	Refused  int     `json:"refused"`
}

// MeasureCut has so many watch one replica of three, and stops the other two: for the one that is left it is as if they were cut off.
func (r Runner) MeasureCut(ctx context.Context, watchers int, length time.Duration) (m Cut, err error) {
	m.Watchers = watchers
	b, err := r.quorumBed(ctx, 3)
	if err != nil {
		return m, err
	}
	defer b.Close()
	at, children, c := b.At, b.Children, b.Client
	version, err := b.fill(ctx, watchers, registration)
	if err != nil {
		return m, err
	}
	left := (leader(ctx, c) + 1) % len(at) // whoever leads is on the other side
	if !pause.For(ctx, time.Second) {      // the replica that is left has it all, too
		return m, ctx.Err()
	}
	var others []*proc.Child
	for i, child := range children {
		if i != left {
			others = append(others, child)
		}
	}
	return r.cut(ctx, m, at[left:left+1], version, others, length)
}

// MeasureApart does the same with two regions of three replicas each that follow each other: so many watch one replica of the one,
// and all of the other's are stopped.
func (r Runner) MeasureApart(ctx context.Context, watchers int, length time.Duration) (m Cut, err error) {
	m.Watchers = watchers
	names := []string{"north", "south"}
	var peers [2][]map[string]any
	var at [2][]string
	for i := range names {
		if peers[i], at[i], err = replicas(3); err != nil {
			return m, err
		}
	}
	var children [2][]*proc.Child
	for i, name := range names {
		children[i], err = r.quorum(peers[i], name+"-", map[string]any{"region": name, "follow": []map[string]any{{"region": names[1-i], "api": at[1-i]}}})
		defer func() {
			for _, c := range children[i] {
				_ = c.Kill() // whatever came of it
			}
		}()
		if err != nil {
			return m, err
		}
	}
	var both [2]*Bed
	for i := range names {
		both[i] = &Bed{At: at[i], Client: client.New(at[i]), Children: children[i]}
		defer both[i].Client.Close()
		if err := Await(ctx, both[i].Client, len(at[i])); err != nil {
			return m, err
		}
	}
	version, err := both[1].fill(ctx, watchers, registration)
	if err != nil {
		return m, err
	}
	if !pause.For(ctx, time.Second) { // all replicas have it
		return m, ctx.Err()
	}
	return r.cut(ctx, m, at[1], version, children[0], length)
}

// cut has watchers at the first of the replicas that are left, stops the others, and looks at what goes on.
func (r Runner) cut(ctx context.Context, m Cut, side []string, version int64, others []*proc.Child, length time.Duration) (Cut, error) {
	watchers := m.Watchers
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var ended atomic.Int64
	ends := make(chan time.Time, watchers)
	for range watchers {
		conn, err := watchFrom(ctx, side[0], version)
		if err != nil {
			return m, err
		}
		go func() {
			readLines(ctx, conn, func([]byte) bool { return true })
			ended.Add(1)
			ends <- time.Now()
		}()
	}
	if !pause.For(ctx, time.Second) {
		return m, ctx.Err()
	}
	if n := ended.Load(); n > 0 {
		return m, fmt.Errorf("%d watches ended before the cut", n)
	}
	cut := time.Now()
	for _, child := range others {
		if err := child.Signal(syscall.SIGSTOP); err != nil {
			return m, err
		}
	}
	alone := client.New(side)
	defer alone.Close()
	for time.Since(cut) < length {
		one, stop := context.WithTimeout(ctx, time.Second)
		_, err := alone.Register(one, "u0", registration(0))
		stop()
		m.Asked++
		if err != nil {
			m.Refused++
		}
		if !pause.For(ctx, 100*time.Millisecond) {
			return m, ctx.Err()
		}
	}
	m.Ended = int(ended.Load())
	for range m.Ended {
		m.AfterS = max(m.AfterS, (<-ends).Sub(cut).Seconds())
	}
	return m, nil
}
