package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"mosslead/internal/lab/proc"
)

const (
	hostStands   = 15 * time.Second
	countsWithin = 20 * time.Second
)

// remote is a host of hollow sidecars, as the run sees it.
type remote struct {
	child  *proc.Child
	of     []int // processes
	also   []int // real ones, whose upstreams it renews
	to     *os.File
	from   *os.File
	mu     sync.Mutex // held while an order is written
	counts chan counts
	ready  chan struct{}
	ended  chan struct{} // closed once it says nothing more
}

// startHost starts one; heard is told of each of its words but counts.
func startHost(command []string, dir, name string, heard func(word)) (*remote, error) {
	orders, to, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("pipe to %s: %w", name, err)
	}
	defer func() { _ = orders.Close() }()
	from, words, err := os.Pipe()
	if err != nil {
		_ = to.Close()
		return nil, fmt.Errorf("pipe from %s: %w", name, err)
	}
	defer func() { _ = words.Close() }()
	r := &remote{to: to, from: from, counts: make(chan counts, 1), ready: make(chan struct{}), ended: make(chan struct{})}
	r.child, err = proc.Start(proc.Spec{Name: name, Path: command[0], Args: command[1:], Dir: dir, LogFile: filepath.Join(dir, name+".log"),
		Stdin: orders, Stdout: words})
	if err != nil {
		_ = to.Close()
		_ = from.Close()
		return nil, err
	}
	go r.listen(heard)
	return r, nil
}

func (r *remote) listen(heard func(word)) {
	defer close(r.ended)
	d := json.NewDecoder(bufio.NewReaderSize(r.from, 1<<20))
	for {
		var w word
		if d.Decode(&w) != nil {
			return // it has ended
		}
		switch {
		case w.Ready:
			close(r.ready)
		case w.Counts != nil:
			r.counts <- *w.Counts // who asked takes it
		default:
			heard(w)
		}
	}
}

func (r *remote) stands(ctx context.Context) error {
	late := time.NewTimer(hostStands)
	defer late.Stop()
	select {
	case <-r.ready:
		return nil
	case <-r.ended:
		return fmt.Errorf("%s ended: %s", r.child.Name, r.child.Exit())
	case <-late.C:
		return fmt.Errorf("%s does not stand after %v", r.child.Name, hostStands)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *remote) order(o order) error {
	text, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("wording an order: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := r.to.Write(append(text, '\n')); err != nil {
		return fmt.Errorf("order to %s: %w", r.child.Name, err)
	}
	return nil
}

// count asks for the counts of all, by process: all that was said before is in by then.
func (r *remote) count(ctx context.Context, n int) (all map[int][4]int64, at int64, err error) {
	if err := r.order(order{Do: doCount, Count: n}); err != nil {
		return nil, 0, err
	}
	late := time.NewTimer(countsWithin)
	defer late.Stop()
	for {
		select {
		case c := <-r.counts:
			if c.Count != n {
				continue
			}
			all = map[int][4]int64{}
			for i := 0; i+4 < len(c.Of); i += 5 {
				all[int(c.Of[i])] = [4]int64(c.Of[i+1 : i+5])
			}
			return all, c.At, nil
		case <-r.ended:
			return nil, 0, fmt.Errorf("%s ended: %s", r.child.Name, r.child.Exit())
		case <-late.C:
			return nil, 0, fmt.Errorf("%s says nothing for %v", r.child.Name, countsWithin)
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (r *remote) close() {
	_ = r.to.Close()
	_, _ = r.child.Stop(5*time.Second, func() {}) // whatever came of it
	<-r.ended
	_ = r.from.Close()
}
