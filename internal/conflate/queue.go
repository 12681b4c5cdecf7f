// Package conflate owns bounded hand-overs between two parts that have a thread each: putting never waits, and of what can't be
// held the stated thing is dropped.
package conflate

import (
	"container/list"
	"sync"
)

// Queue holds the newest word on each key, the key that was put first in front. Safe for concurrent use by any number of
// putters and one taker.
type Queue[K comparable, V any] struct {
	max   int
	ready chan struct{}

	mu      sync.Mutex
	order   *list.List // of *slot, the oldest first
	byKey   map[K]*list.Element
	dropped uint64
}

type item[K comparable, V any] struct {
	key         K
	value       V
	mustDeliver bool
}

// New is a ring for most keys, one at least.
func New[K comparable, V any](limit int) *Queue[K, V] {
	return &Queue[K, V]{max: max(limit, 1), ready: make(chan struct{}, 1), order: list.New(), byKey: map[K]*list.Element{}}
}

// Push hands v over. A word on the same key that was not taken yet is replaced, in its place. When the ring is full, the oldest
// word that may be dropped goes; where keep says so v never does, nor does what replaces it: the end of a ban or of a duty
// must arrive. Kept words go beyond the bound, each key once: keys of kept words have to be bounded by who puts them.
func (r *Queue[K, V]) Push(key K, v V, mustDeliver bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.byKey[key]; e != nil {
		s := e.Value.(*item[K, V])
		s.value, s.mustDeliver = v, s.mustDeliver || mustDeliver
		return // whoever put the first has woken the taker
	}
	if r.order.Len() >= r.max && !r.dropOldest() && !mustDeliver {
		r.dropped++
		return
	}
	r.byKey[key] = r.order.PushBack(&item[K, V]{key, v, mustDeliver})
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// dropOldest makes room, if anything may go.
func (r *Queue[K, V]) dropOldest() bool {
	for e := r.order.Front(); e != nil; e = e.Next() {
		if s := e.Value.(*item[K, V]); !s.mustDeliver {
			r.order.Remove(e)
			delete(r.byKey, s.key)
			r.dropped++
			return true
		}
	}
	return false
}

// Ready is readable when there may be something to take. A nil Ring's never is.
func (r *Queue[K, V]) Ready() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.ready
}

// Pop gives the oldest word; false: there is none. The taker takes until then each time it was woken.
func (r *Queue[K, V]) Pop() (v V, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.order.Front()
	if e == nil {
		return v, false
	}
	s := r.order.Remove(e).(*item[K, V])
	delete(r.byKey, s.key)
	return s.value, true
}

// Dropped counts what was dropped.
func (r *Queue[K, V]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
