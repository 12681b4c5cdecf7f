package balancer

import (
	"container/heap"
	"time"
)

// timerKind is the purpose of a timer.
type timerKind int

const (
	timerAbandon  timerKind = iota // the request's time is over
	timerHedge                     // its latest attempt is late
	timerDispatch                  // no endpoint was ready: dispatch the request again
	timerStall                     // see checkStalled
	timerPoll                      // request the endpoint list again
)

type timer struct {
	at      time.Duration
	seq     int // order among timers with the same time
	kind    timerKind
	request *request // nil for timerPoll
}

// timerQueue is a heap of timers. The sidecar has one timer, which is set for the earliest of them.
type timerQueue struct {
	timers  []timer
	seq     int
	armedAt time.Duration // time of the last SetTimer, until it fires; 0 if there is none
}

func (q *timerQueue) Len() int { return len(q.timers) }

func (q *timerQueue) Less(i, j int) bool {
	a, b := q.timers[i], q.timers[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (q *timerQueue) Swap(i, j int) { q.timers[i], q.timers[j] = q.timers[j], q.timers[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { q.timers = append(q.timers, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := q.timers[len(q.timers)-1]
	q.timers = q.timers[:len(q.timers)-1]
	return last
}

func (b *Balancer) startTimer(at time.Duration, kind timerKind, r *request) {
	b.timers.seq++
	heap.Push(&b.timers, timer{at, b.timers.seq, kind, r})
}

// armTimer requests a TimerFired event for the earliest timer, unless one is already requested for that time
// or an earlier one.
func (b *Balancer) armTimer() {
	q := &b.timers
	if len(q.timers) == 0 {
		return
	}
	// Callers may use microseconds, so at is rounded up: a timer that fires too early would find nothing due.
	at := (q.timers[0].at + time.Microsecond - 1).Truncate(time.Microsecond)
	if q.armedAt == 0 || at < q.armedAt {
		q.armedAt = max(at, 1)
		b.emit(Action{Kind: SetTimer, At: q.armedAt})
	}
}

// onTimerFired runs the timers that are due.
func (b *Balancer) onTimerFired() {
	q := &b.timers
	if b.now >= q.armedAt {
		q.armedAt = 0
	}
	for len(q.timers) > 0 && q.timers[0].at <= b.now {
		b.fire(heap.Pop(q).(timer))
	}
}

func (b *Balancer) fire(t timer) {
	if t.kind == timerPoll {
		b.onPollTimer()
		return
	}
	r := t.request
	if r.done || r.streaming {
		return
	}
	switch t.kind {
	case timerAbandon:
		b.onAbandonTimer(r)
	case timerHedge:
		b.onHedgeTimer(r)
	case timerStall:
		b.checkStalled(r)
	case timerDispatch:
		if r.pendingAttempts == 0 {
			b.dispatch(r)
		}
	}
}
