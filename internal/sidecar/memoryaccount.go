package sidecar

import (
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"
)

// What is kept for a client, in bytes of heap and stacks. TestAccountCoversWhatIsKept compares these figures with what is measured.
const (
	connectionMemory   = 19 << 10 // an open connection of a client: its buffers and its goroutine
	requestMemory      = 44 << 10 // a request in flight with a small head and body: parsed head, goroutines of its handler and attempt
	upstreamConnMemory = 26 << 10 // a connection to an upstream, with its two goroutines
	uploadMemory       = 50 << 10 // a body that is passed on as it arrives: the copy buffer of the HTTP library, and our own
	answerMemory       = 8 << 10  // a large answer that is passed on as it arrives, beside its buffer: deeper stacks
	endpointMemory     = 1 << 10  // an entry of the endpoint list, with what the balancer knows of it
	smallHeadMemory    = 8 << 10  // part of a head's memory that connectionMemory and requestMemory include
	partialHeadLine    = 100      // each header line while a head is read: its entry in the map
	headLine           = 360      // each header line of a request in flight: its entries in the maps of the library, the request and the attempt
	headByteCopies     = 2        // how often each byte of a head is kept
)

const (
	processMemory       = 4<<20 + 512<<10        // bytes of a process without clients
	accountFraction     = 0.68                   // fraction of the memory limit for processMemory and all that the account covers; the rest is for garbage
	minAccountMemory    = 128 << 10              // bytes of the smallest account, with which one client at a time can be served under any limit
	maxMemoryWait       = 250 * time.Millisecond // longest wait of a request for memory, before it is refused
	maxAnswerMemoryWait = 500 * time.Millisecond // longest wait of an answer for memory; it may be held back for less than 2 s
)

// errNoMemory is the error of what finds no memory.
var errNoMemory = errors.New("no memory is left")

// memoryUse is a purpose for which memory is reserved. The later ones may use more of the account, so that what may last long leaves
// room for new connections, and these for requests. A connection on which a request was answered goes before those of clients that
// connect again and again.
type memoryUse int

const (
	useHeads        memoryUse = iota // large heads
	useTransfers                     // what is retained of bodies and answers, and larger buffers
	useFirstUpload                   // body that is passed on as it arrives, of a connection's first request
	useFirstAnswer                   // large answer to a connection's first request
	useUpload                        // body of a later request
	useConnections                   // connections of clients, and idle connections to upstreams
	useFirstRequest                  // first request of a connection
	useAnswer                        // large answer to a later request
	useRequest                       // later request
	memoryUses
)

// memoryShares are the fractions of the account up to which each use may reserve.
var memoryShares = [memoryUses]float64{useHeads: 0.4, useTransfers: 0.65, useFirstUpload: 0.65, useFirstAnswer: 0.7, useUpload: 0.75,
	useConnections: 0.8, useFirstRequest: 0.85, useAnswer: 0.9, useRequest: 1}

// lastingShares are the fractions of the clients' connections that uses may have at once which may last as long as a slow client or
// upstream likes; 0 for other uses.
var lastingShares = [memoryUses]float64{useFirstUpload: 0.7, useFirstAnswer: 0.7, useUpload: 0.8, useAnswer: 0.8}

// lasting reports whether the use may last as long as a slow client or upstream likes.
func (u memoryUse) lasting() bool { return lastingShares[u] > 0 }

// memoryAccount bounds the memory that connections, requests, bodies, answers and attempts keep together. What finds no room waits, is
// refused or is closed. A nil account is unlimited. It is safe for concurrent use.
type memoryAccount struct {
	reclaim func() bool // frees memory that is not needed now, and reports whether there was some; may be nil
	onRoom  func()      // called after a release that follows a failed check of hasRoom; may be nil

	mu          sync.Mutex
	lasting     int // number of lasting uses
	connections int // number of connections that clients may have; 0 if there is no limit

	limit    int64
	used     int64
	peak     int64 // of used, since the last log line
	waiting  [memoryUses][]*memoryWaiter
	starved  bool // hasRoom has failed
	refusals [memoryUses]int64
}

// memoryWaiter is a reservation that waits.
type memoryWaiter struct {
	bytes   int64
	granted chan struct{} // closed once the bytes are reserved
}

// newMemoryAccount returns the account of a process that has all of a memory limit, in MB.
func newMemoryAccount(memoryMB float64) *memoryAccount {
	return &memoryAccount{limit: accountLimit(memoryMB * (1 << 20))}
}

// accountLimit returns the limit of the account of a process that may use so many bytes.
func accountLimit(memory float64) int64 {
	return max(int64(memory*accountFraction)-processMemory, minAccountMemory)
}

// fits reports whether bytes fit. The caller holds mu.
func (a *memoryAccount) fits(bytes int64, use memoryUse) bool {
	if !a.lastingFits(use, 0) {
		return false
	}
	return a.used+bytes <= int64(float64(a.limit)*memoryShares[use])
}

// lastingFits reports whether another lasting use fits beside those that there are and some that wait. The caller holds mu.
func (a *memoryAccount) lastingFits(use memoryUse, waiting int) bool {
	return !use.lasting() || a.connections == 0 || a.lasting+waiting < max(1, int(float64(a.connections)*lastingShares[use]))
}

// add adds reserved bytes. The caller holds mu.
func (a *memoryAccount) add(bytes int64, use memoryUse) {
	if use.lasting() {
		a.lasting++
	}
	a.used += bytes
	a.peak = max(a.peak, a.used)
}

// hasRoom reports whether bytes fit now. If not, onRoom is called after the next release.
func (a *memoryAccount) hasRoom(bytes int64, use memoryUse) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	fits := a.fits(bytes, use)
	a.starved = a.starved || !fits
	return fits
}

// mayWait reports whether a use may wait for memory. While a lasting one waits, it keeps the connection and the memory of a small request,
// so it may only as long as there is enough of both for others. The caller holds mu.
func (a *memoryAccount) mayWait(use memoryUse) bool {
	return !use.lasting() || a.fits(0, max(use, useConnections)) && a.lastingFits(use, len(a.waiting[use]))
}

// charge reserves bytes, whether they fit or not.
func (a *memoryAccount) charge(bytes int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(bytes, useRequest)
}

// tryReserve reserves bytes if they fit now, and none waits for the same use. For a request it frees what is not needed first.
func (a *memoryAccount) tryReserve(bytes int64, use memoryUse) bool {
	for !a.tryOnce(bytes, use) {
		if use < useFirstRequest || a.reclaim == nil || !a.reclaim() {
			return false
		}
	}
	return true
}

// tryOnce is tryReserve without reclaiming.
func (a *memoryAccount) tryOnce(bytes int64, use memoryUse) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(bytes, use) || len(a.waiting[use]) > 0 {
		return false
	}
	a.add(bytes, use)
	return true
}

// reserveUpTo reserves the bytes that fit, up to a number, and returns how many they are.
func (a *memoryAccount) reserveUpTo(most int64, use memoryUse) int64 {
	if a == nil {
		return most
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(most, int64(float64(a.limit)*memoryShares[use])-a.used)
	if n <= 0 || len(a.waiting[use]) > 0 {
		return 0
	}
	a.add(n, use)
	return n
}

// reserve reserves bytes, and waits for them until the timeout; stop, which may be nil, ends the wait. It reports whether the bytes were
// reserved. Waits for the same use are served in order.
func (a *memoryAccount) reserve(bytes int64, use memoryUse, timeout time.Duration, stop <-chan struct{}) bool {
	if a.tryReserve(bytes, use) {
		return true
	}
	a.mu.Lock()
	if !a.mayWait(use) {
		a.refusals[use]++
		a.mu.Unlock()
		return false
	}
	w := &memoryWaiter{bytes, make(chan struct{})}
	a.waiting[use] = append(a.waiting[use], w)
	a.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
	case <-stop:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiting[use], w)
	if i < 0 { // granted meanwhile
		return true
	}
	a.waiting[use] = slices.Delete(a.waiting[use], i, i+1)
	a.refusals[use]++
	a.serveWaiting() // those behind it may fit
	return false
}

// release returns reserved bytes.
func (a *memoryAccount) release(bytes int64) { a.releaseLasting(bytes, 0) }

// releaseLasting returns reserved bytes, and ends a number of lasting uses.
func (a *memoryAccount) releaseLasting(bytes int64, uses int) {
	if a == nil || bytes == 0 && uses == 0 {
		return
	}
	a.mu.Lock()
	a.used -= bytes
	a.lasting -= uses
	a.serveWaiting()
	notify := a.starved && a.onRoom != nil
	a.starved = false
	a.mu.Unlock()
	if notify {
		a.onRoom()
	}
}

// serveWaiting grants the waiting reservations that fit, first those of the uses that may use most. The caller holds mu.
func (a *memoryAccount) serveWaiting() {
	for use := memoryUses - 1; use >= 0; use-- {
		for len(a.waiting[use]) > 0 && a.fits(a.waiting[use][0].bytes, use) {
			a.add(a.waiting[use][0].bytes, use)
			close(a.waiting[use][0].granted)
			a.waiting[use] = a.waiting[use][1:]
		}
	}
}

// setLimit changes the limit. What is reserved beyond it stays reserved.
func (a *memoryAccount) setLimit(limit int64) {
	a.mu.Lock()
	a.limit = limit
	a.serveWaiting()
	notify := a.starved && a.onRoom != nil
	a.mu.Unlock()
	if notify {
		a.onRoom()
	}
}

// setConnections sets the number of connections that clients may have.
func (a *memoryAccount) setConnections(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.connections = n
}

// reserved returns the reserved bytes.
func (a *memoryAccount) reserved() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// stats returns the state of the account for the log line of counts, and resets the peak and the counts of refusals.
func (a *memoryAccount) stats() slog.Attr {
	a.mu.Lock()
	defer a.mu.Unlock()
	attr := slog.Group("account", slog.Int64("limit", a.limit), slog.Int64("reserved", a.used), slog.Int64("peak", a.peak), slog.Int("lasting", a.lasting),
		slog.Group("refused", slog.Int64("heads", a.refusals[useHeads]), slog.Int64("uploads", a.refusals[useFirstUpload]+a.refusals[useUpload]),
			slog.Int64("answers", a.refusals[useFirstAnswer]+a.refusals[useAnswer]), slog.Int64("requests", a.refusals[useFirstRequest]+a.refusals[useRequest])))
	a.peak, a.refusals = a.used, [memoryUses]int64{}
	return attr
}

// headSize is the size of a request's head.
type headSize struct{ bytes, lines int64 }

// headerSize returns the size of a parsed head.
func headerSize(h http.Header) (size headSize) {
	for name, values := range h {
		for _, value := range values {
			size.lines++
			size.bytes += int64(len(name) + len(value))
		}
	}
	return size
}

// partialMemory returns what a head of this size keeps while it is read, beyond what connectionMemory includes.
func (s headSize) partialMemory() int64 {
	return max(0, headByteCopies*s.bytes+partialHeadLine*s.lines-smallHeadMemory)
}

// memory returns what a head of this size keeps while its request is in flight, beyond what requestMemory includes.
func (s headSize) memory() int64 {
	return max(0, headByteCopies*s.bytes+headLine*s.lines-smallHeadMemory)
}
