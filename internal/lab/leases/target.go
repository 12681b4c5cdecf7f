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

// target is acted upon: it takes an act unless its fence refuses the epoch, and keeps what it took.
type target struct {
	ln      net.Listener
	noFence bool // planted: it takes whatever comes
	done    sync.WaitGroup

	mu      sync.Mutex
	conns   map[net.Conn]bool
	fence   lease.Fence
	value   uint64
	acts    map[uint64]*fencing.Act // by value
	last    fencing.Act             // that was taken
	handOns int                     // changes of the epoch
}

func newTarget(noFence bool) (*target, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("the one acted upon: %w", err)
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

// lastAct is whose act was taken last, and how often the duty went from one to another.
func (t *target) lastAct() (last fencing.Act, hands int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last, t.handOns
}

// awaitHandOns returns true once so many hand-ons were seen, or false after a while.
func (t *target) awaitHandOns(ctx context.Context, hands int, most time.Duration) bool {
	end := time.Now().Add(most)
	for time.Now().Before(end) && ctx.Err() == nil {
		if _, now := t.lastAct(); now >= hands {
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
