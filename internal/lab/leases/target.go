package leases

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"mosslead/internal/lab/fencing"
	"mosslead/internal/lab/pause"
	"mosslead/internal/lease"
)

// target is the target of acts. It accepts an act unless its fence refuses the epoch, and keeps all acts.
type target struct {
	ln      net.Listener
	noFence bool // planted fault: it accepts every act
	done    sync.WaitGroup

	mu      sync.Mutex
	conns   map[net.Conn]bool
	fence   lease.Fence
	value   uint64
	acts    map[uint64]*fencing.Act // by value
	last    fencing.Act             // the last that was accepted
	handOns int                     // changes of the epoch among accepted acts
}

func newTarget(noFence bool) (*target, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("target of acts: %w", err)
	}
	t := &target{ln: ln, noFence: noFence, conns: map[net.Conn]bool{}, acts: map[uint64]*fencing.Act{}}
	t.done.Go(t.accept)
	return t, nil
}

func (t *target) accept() {
	for {
		conn, err := t.ln.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.mu.Unlock()
		t.done.Go(func() { t.serve(conn) })
	}
}

// serve answers the acts of one connection.
func (t *target) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
	}()
	in := bufio.NewReaderSize(conn, 512)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		var a fencing.Act
		if _, err := fmt.Sscan(strings.TrimSpace(string(line)), &a.Holder, &a.Epoch, &a.Value); err != nil {
			return
		}
		if _, err := conn.Write(t.take(a)); err != nil {
			return
		}
	}
}

// take handles an act and returns the answer: a word and the value before the act.
func (t *target) take(a fencing.Act) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.Duty, a.Upon, a.Taken = dutyName, "target", clock()
	a.OK = t.fence.Admit(dutyName, a.Epoch) || t.noFence
	word := "no"
	if a.OK {
		word, a.Before, t.value = "ok", t.value, a.Value
		if t.last.OK && t.last.Epoch != a.Epoch {
			t.handOns++
		}
		t.last = a
	}
	t.acts[a.Value] = &a
	return fmt.Appendf(nil, "%s %d\n", word, a.Before)
}

// lastAct returns the last act that was accepted, and the number of hand-ons of the duty so far.
func (t *target) lastAct() (last fencing.Act, handOns int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last, t.handOns
}

// awaitHandOns waits until the duty was handed on the given number of times, and reports whether that came within the
// limit.
func (t *target) awaitHandOns(ctx context.Context, handOns int, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) && ctx.Err() == nil {
		if _, seen := t.lastAct(); seen >= handOns {
			return true
		}
		pause.For(ctx, 5*time.Millisecond)
	}
	return false
}

func (t *target) close() {
	_ = t.ln.Close()
	t.mu.Lock()
	for c := range t.conns {
		_ = c.Close()
	}
	t.mu.Unlock()
	t.done.Wait()
}
