package sidecar

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"mosslead/balancer"
)

// requestReservation is what is reserved in the account for one request: its head, the retained part of its body, its handler, and its
// attempt with a connection. Its holders are the handler and the exchanges, which may last longer; the last one to release it returns
// the memory. A nil reservation is unlimited. It is safe for concurrent use.
type requestReservation struct {
	account *memoryAccount

	mu        sync.Mutex
	bytes     int64
	holders   int
	exchanges int // of the holders
	lasting   int // number of lasting uses among what is reserved
}

// newReservation returns a reservation with one holder, which takes over bytes that are reserved already.
func newReservation(account *memoryAccount, bytes int64) *requestReservation {
	return &requestReservation{account: account, bytes: bytes, holders: 1}
}

// grow adds reserved bytes to the reservation, or takes them off if negative.
func (m *requestReservation) grow(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes += bytes
}

// reserve reserves further bytes, see memoryAccount.reserve.
func (m *requestReservation) reserve(bytes int64, use memoryUse, timeout time.Duration, stop <-chan struct{}) bool {
	if m == nil {
		return true
	}
	if bytes > 0 && !m.account.reserve(bytes, use, timeout, stop) { // a head may need less than was reserved while it was read
		return false
	}
	m.grow(max(0, bytes))
	if use.lasting() {
		m.mu.Lock()
		m.lasting++
		m.mu.Unlock()
	}
	return true
}

// tryReserve reserves further bytes if they fit now.
func (m *requestReservation) tryReserve(bytes int64, use memoryUse) bool {
	if m == nil || bytes == 0 {
		return true
	}
	if !m.account.tryReserve(bytes, use) {
		return false
	}
	m.grow(bytes)
	return true
}

// reserveUpTo reserves the bytes that fit, up to a number, and returns how many they are.
func (m *requestReservation) reserveUpTo(most int64, use memoryUse) int64 {
	if m == nil || most <= 0 {
		return max(0, most)
	}
	n := m.account.reserveUpTo(most, use)
	m.grow(n)
	return n
}

// giveBack returns some of the bytes.
func (m *requestReservation) giveBack(bytes int64) {
	if m == nil || bytes <= 0 {
		return
	}
	m.grow(-bytes)
	m.account.release(bytes)
}

// holdForExchange adds an exchange as a holder. The memory of a connection is reserved for the first one; for one that runs beside others
// it is charged, since the attempt has been decided on. The exchange calls releaseExchange once.
func (m *requestReservation) holdForExchange() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holders++
	if m.exchanges++; m.exchanges > 1 {
		m.account.charge(upstreamConnMemory)
	}
}

// releaseExchange ends the hold of an exchange.
func (m *requestReservation) releaseExchange() {
	if m == nil {
		return
	}
	m.mu.Lock()
	m.exchanges--
	beside := m.exchanges > 0
	m.mu.Unlock()
	if beside {
		m.account.release(upstreamConnMemory)
	}
	m.release()
}

// release ends one hold.
func (m *requestReservation) release() {
	if m == nil {
		return
	}
	m.mu.Lock()
	m.holders--
	freed, lasting := int64(0), 0
	if m.holders == 0 {
		freed, lasting = m.bytes, m.lasting
		m.bytes, m.lasting = 0, 0
	}
	m.mu.Unlock()
	m.account.releaseLasting(freed, lasting)
}

// reserveRequest reserves what a request keeps while it is in flight, and reports whether there is room for it. It waits for a part of the
// client's time at most.
func (s *server) reserveRequest(r *http.Request, head headSize, memory *requestReservation, timeout time.Duration) bool {
	start, most := time.Now(), min(maxMemoryWait, timeout/2)
	gone := r.Context().Done()
	return memory.reserve(requestMemory+upstreamConnMemory, firstOrLater(r, useFirstRequest, useRequest), most, gone) &&
		memory.reserve(head.memory()-memory.headBytes(), useHeads, most-time.Since(start), gone)
}

// firstOrLater returns the use for a connection's first request, or that for a later one.
func firstOrLater(r *http.Request, first, later memoryUse) memoryUse {
	if c, ok := r.Context().Value(connKey{}).(*framedConn); ok && !c.framing.firstRequestOnly() {
		return later
	}
	return first
}

// headBytes returns the bytes that were reserved for the head while it was read.
func (m *requestReservation) headBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes - requestMemory - upstreamConnMemory
}

// noMemoryFor returns the rejection of a request that finds no memory. If it may have run before, it is not refused as not done.
func (s *server) noMemoryFor(r *http.Request, class balancer.Class) *rejection {
	if class.Idempotency != balancer.Idempotent && s.recent.contains(r.Header.Get(headerID)) {
		return &rejection{http.StatusConflict, duplicateText}
	}
	return noMemory
}

// answerWithoutMemory answers a request whose large answer finds no memory.
func (h *requestHandler) answerWithoutMemory() {
	h.server.failures.log("answer refused, no memory", func() []slog.Attr {
		return []slog.Attr{slog.String("request", truncate(h.req.id)), slog.String("class", h.req.class)}
	})
	h.w.Header().Set("Connection", "close")
	if h.req.classSettings.Idempotency == balancer.Idempotent {
		h.outcome = rejected
		h.server.writeLine(h.w, http.StatusServiceUnavailable, noMemory.text)
		return
	}
	h.outcome = failed
	h.server.writeLine(h.w, http.StatusBadGateway, "failed")
}
