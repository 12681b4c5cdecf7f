package sidecar

import (
	"io"
	"log/slog"
	"sync"
	"time"
)

// startClass is a kind of work that has not begun.
type startClass int

const (
	startKept   startClass = iota // a request on a connection on which one was answered before
	startAdmin                    // a call at the operators' port
	startClose                    // the end of a connection without a request in flight
	startFirst                    // the first request of a connection
	startAccept                   // a connection that was accepted
	startClasses
)

const (
	// startInterval is the time after a start in which the next one waits until the processor is idle. Work that comes more slowly does
	// not wait, and costs nothing.
	startInterval = time.Millisecond
	// maxKeptInRow is how many requests of kept connections start in a row while other work waits.
	maxKeptInRow = 4
)

// otherTurns is the order in which the classes other than startKept take turns. Calls of operators have two of five: each is answered within
// a second, also if thousands wait.
var otherTurns = [...]startClass{startAdmin, startClose, startFirst, startAdmin, startAccept}

// startQueue bounds the processor time of work that has not begun: an item starts only once the processor has nothing else to run, so
// that whatever is due (timers, results of attempts, answers) waits for one item at most. Requests of kept connections go first,
// the other classes take turns, and items of one class start in order. A nil queue lets everything start at once. It is safe for
// concurrent use.
type startQueue struct {
	idle *idleDetector

	mu        sync.Mutex
	waiting   [startClasses][]chan struct{} // each is closed when its item may start
	running   bool                          // items wait, or the processor has not been idle since the last one started
	busySince time.Time                     // when running was set
	lastStart time.Time
	longest   time.Duration // longest wait since the last log line
	keptInRow int
	next      int // index in otherTurns of the class whose turn it is
}

func newStartQueue(idle *idleDetector) *startQueue {
	return &startQueue{idle: idle}
}

// await blocks until an item of a class may start. It returns how long that took.
func (q *startQueue) await(class startClass) (waited time.Duration) {
	if q == nil {
		return 0
	}
	now := time.Now()
	q.mu.Lock()
	if !q.busy(now) {
		q.lastStart = now
		q.mu.Unlock()
		return 0
	}
	turn := make(chan struct{})
	q.waiting[class] = append(q.waiting[class], turn)
	if !q.running {
		q.running, q.busySince = true, q.lastStart
		go q.run()
	}
	q.mu.Unlock()
	<-turn
	waited = time.Since(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.longest = max(q.longest, waited)
	return waited
}

// discard reads bytes that nobody needs, in parts that wait like the end of a connection. It ends at the end of r, after a number of bytes,
// or at an error such as a deadline.
func (q *startQueue) discard(r io.Reader, most int64) {
	for most > 0 {
		n, err := io.CopyN(io.Discard, r, min(discardBytes, most))
		if err != nil {
			return
		}
		most -= n
		q.await(startClose)
	}
}

// attr returns the longest wait since the last call, as a log attribute.
func (q *startQueue) attr() slog.Attr {
	q.mu.Lock()
	defer q.mu.Unlock()
	longest := q.longest
	q.longest = 0
	return millisecondsAttr("start_delay_ms", longest)
}

// isBusy reports whether an item that comes now waits.
func (q *startQueue) isBusy() bool {
	if q == nil {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.busy(time.Now())
}

// busy is isBusy for a caller that holds mu.
func (q *startQueue) busy(now time.Time) bool {
	return q.running || now.Sub(q.lastStart) < startInterval
}

// run starts items until none waits.
func (q *startQueue) run() {
	for {
		q.idle.await()
		q.mu.Lock()
		turn := q.pop()
		q.running = turn != nil
		q.lastStart = time.Now()
		q.mu.Unlock()
		if turn == nil {
			return
		}
		close(turn)
	}
}

// pop removes the item that starts next, and returns nil if there is none. The caller holds mu.
func (q *startQueue) pop() chan struct{} {
	if q.keptInRow < maxKeptInRow && len(q.waiting[startKept]) > 0 {
		q.keptInRow++
		return q.popClass(startKept)
	}
	q.keptInRow = 0
	for range otherTurns {
		class := otherTurns[q.next]
		q.next = (q.next + 1) % len(otherTurns)
		if len(q.waiting[class]) > 0 {
			return q.popClass(class)
		}
	}
	if len(q.waiting[startKept]) > 0 {
		return q.popClass(startKept)
	}
	return nil
}

// popClass removes the first item of a class. The caller holds mu.
func (q *startQueue) popClass(class startClass) chan struct{} {
	turn := q.waiting[class][0]
	q.waiting[class][0] = nil
	q.waiting[class] = q.waiting[class][1:]
	return turn
}

// maxReadDelay returns how long a request that is read now can have waited to be read: the process reads what has arrived whenever its
// processor is idle.
func (q *startQueue) maxReadDelay() time.Duration {
	if q == nil {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.running {
		return 0
	}
	return time.Since(q.busySince)
}
