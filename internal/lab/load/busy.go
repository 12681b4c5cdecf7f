package load

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"mosslead/internal/lab/record"
)

// maxBusyRequests is the most requests that one task of KeepBusy sends.
const maxBusyRequests = 500

// Shut sets whether clients open no new connections to a sidecar. This holds from some time after the sidecar was
// told to end until its next process is ready.
func (c *Clients) Shut(sidecar int, on bool) {
	p := &c.pools[sidecar]
	p.mu.Lock()
	p.shut = on
	p.mu.Unlock()
}

// KeepBusy keeps a share of a sidecar's connections busy, in addition to the plan: one task for each connection of that
// share sends request after request, until no open connection is free, it has sent maxBusyRequests, or ctx ends. The
// tasks begin at times within the given duration, drawn from the seed. KeepBusy returns once all have ended.
func (c *Clients) KeepBusy(ctx context.Context, spec Spec, sidecar int, share float64, within time.Duration, seed uint64) {
	p := &c.pools[sidecar]
	p.mu.Lock()
	n := int(math.Ceil(share * float64(p.open)))
	p.mu.Unlock()
	var wg sync.WaitGroup
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, busyStream+uint64(sidecar)<<32+uint64(i)<<8))
		d := newDrawer(spec, rng, rng)
		begin := c.rec.Now() + time.Duration(float64(within)*(float64(i)+rng.Float64())/float64(n))
		wg.Go(func() {
			select {
			case <-time.After(begin - c.rec.Now()):
				c.keepConnBusy(ctx, d, sidecar)
			case <-ctx.Done():
			}
		})
	}
	wg.Wait()
}

// keepConnBusy sends one request after another, each on a connection that is free.
func (c *Clients) keepConnBusy(ctx context.Context, d *drawer, sidecar int) {
	for range maxBusyRequests {
		conn := c.acquireIdle(sidecar)
		if conn == nil || ctx.Err() != nil {
			return
		}
		a := d.draw(c.rec.Now(), sidecar)
		class := d.spec.Classes[a.Class]
		req := &record.Request{ID: a.ID, Wish: -int(c.extra.Add(1)), Sidecar: c.names[sidecar], Class: class.Name, Tenant: a.Tenant,
			Key: a.Key, Worth: class.Worth, Work: a.Work, Safe: class.Safe, Intended: a.At, Aim: class.Aim, Patience: a.Patience}
		a.Leaves = 0
		c.sendTry(ctx, &a, req, conn)
	}
}

// acquireIdle returns the open connection without a request that was used last; nil if there is none.
func (c *Clients) acquireIdle(sidecar int) *clientConn {
	p := &c.pools[sidecar]
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		conn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if !conn.closedByPeer() {
			return conn
		}
		p.open--
		_ = conn.Close()
	}
	return nil
}

// closedByPeer reports whether the other side has closed the connection, as far as this machine knows.
func (c *clientConn) closedByPeer() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && err != syscall.EAGAIN
	})
	return closed || err != nil
}
