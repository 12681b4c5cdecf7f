// Package conflate provides a bounded queue in which a newer value of a key replaces the one that waits.
// Pushing never blocks.
package conflate

import (
	"container/list"
	"sync"
)

// Queue holds the newest value of each key, in the order in which keys were first pushed. Safe for concurrent
// use by any number of producers and one consumer.
type Queue[K comparable, V any] struct {
	max   int
	ready chan struct{}

	mu      sync.Mutex
	order   *list.List // of *slot, the oldest first
	byKey   map[K]*list.Element
	dropped uint64
}

// item is a value that waits.
type item[K comparable, V any] struct {
	key         K
	value       V
	mustDeliver bool // it is never dropped
}

// New returns a queue for limit keys, one at least.
func New[K comparable, V any](limit int) *Queue[K, V] {
	return &Queue[K, V]{max: max(limit, 1), ready: make(chan struct{}, 1), order: list.New(), byKey: map[K]*list.Element{}}
}

// Push adds a value, or replaces the one that waits under the same key, in its place. When the queue is full
// the oldest value without mustDeliver is dropped. A value with mustDeliver is never dropped, nor is one that
// replaces it: the end of a ban or of a leadership must arrive. Such values may exceed the bound, so
// producers have to bound their keys.
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

// dropOldest makes space, if any value may be dropped.
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

// Ready is readable when there may be something to pop. That of a nil Queue never is.
func (r *Queue[K, V]) Ready() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.ready
}

// Pop removes the oldest value; false: there is none. The consumer pops until then each time that Ready was
// readable.
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

// Dropped counts the values that were dropped.
func (r *Queue[K, V]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
