// Package conflate owns bounded hand-overs between two parts that have a thread each: putting never waits, and of what can't be
// held the stated thing is dropped.
package conflate

import (
	"container/list"
	"sync"
)

// Ring holds the newest word on each key, the key that was put first in front. Safe for concurrent use by any number of
// putters and one taker.
type Ring[K comparable, V any] struct {
	most int
	wake chan struct{}

	mu      sync.Mutex
	order   *list.List // of *slot, the oldest first
	at      map[K]*list.Element
	dropped uint64
}

type slot[K comparable, V any] struct {
	key   K
	value V
	keep  bool
}

// New is a ring for most keys, one at least.
func New[K comparable, V any](most int) *Ring[K, V] {
	return &Ring[K, V]{most: max(most, 1), wake: make(chan struct{}, 1), order: list.New(), at: map[K]*list.Element{}}
}

// Put hands v over. A word on the same key that was not taken yet is replaced, in its place. When the ring is full, the oldest
// word that may be dropped goes; where keep says so v never does, nor does what replaces it: the end of a ban or of a duty
// must arrive. Kept words go beyond the bound, each key once: keys of kept words have to be bounded by who puts them.
func (r *Ring[K, V]) Put(key K, v V, keep bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.at[key]; e != nil {
		s := e.Value.(*slot[K, V])
		s.value, s.keep = v, s.keep || keep
		return // whoever put the first has woken the taker
	}
	if r.order.Len() >= r.most && !r.drop() && !keep {
		r.dropped++
		return
	}
	r.at[key] = r.order.PushBack(&slot[K, V]{key, v, keep})
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// drop makes room, if anything may go.
func (r *Ring[K, V]) drop() bool {
	for e := r.order.Front(); e != nil; e = e.Next() {
		if s := e.Value.(*slot[K, V]); !s.keep {
			r.order.Remove(e)
			delete(r.at, s.key)
			r.dropped++
			return true
		}
	}
	return false
}

// Wake is readable when there may be something to take. A nil Ring's never is.
func (r *Ring[K, V]) Wake() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.wake
}

// Take gives the oldest word; false: there is none. The taker takes until then each time it was woken.
func (r *Ring[K, V]) Take() (v V, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.order.Front()
	if e == nil {
		return v, false
	}
	s := r.order.Remove(e).(*slot[K, V])
	delete(r.at, s.key)
	return s.value, true
}

// Dropped counts what was dropped.
func (r *Ring[K, V]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
