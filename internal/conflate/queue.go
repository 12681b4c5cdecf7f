// Package conflate provides a bounded queue in which a newer value of a key replaces the queued one. Pushing never
// blocks.
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
	order   *list.List // of *item, the oldest first
	byKey   map[K]*list.Element
	dropped uint64
}

// item is a queued value.
type item[K comparable, V any] struct {
	key         K
	value       V
	mustDeliver bool // the value is never dropped
}

// New returns a queue for limit keys, or for one if limit is below 1.
func New[K comparable, V any](limit int) *Queue[K, V] {
	return &Queue[K, V]{max: max(limit, 1), ready: make(chan struct{}, 1), order: list.New(), byKey: map[K]*list.Element{}}
}

// Push adds a value, or replaces the queued value of the same key, which keeps its place. When the queue is full,
// the oldest value without mustDeliver is dropped; if there is none, the new value is dropped unless it has
// mustDeliver.
// A value with mustDeliver is never dropped, nor is one that replaces it: the end of a ban or of a leadership must
// arrive. Such values may exceed the bound, so producers have to bound their keys.
func (q *Queue[K, V]) Push(key K, v V, mustDeliver bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e := q.byKey[key]; e != nil {
		queued := e.Value.(*item[K, V])
		queued.value, queued.mustDeliver = v, queued.mustDeliver || mustDeliver
		return // Ready was signalled when the key was queued
	}
	if q.order.Len() >= q.max && !q.dropOldest() && !mustDeliver {
		q.dropped++
		return
	}
	q.byKey[key] = q.order.PushBack(&item[K, V]{key, v, mustDeliver})
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// dropOldest drops the oldest value without mustDeliver, and reports whether there was one.
func (q *Queue[K, V]) dropOldest() bool {
	for e := q.order.Front(); e != nil; e = e.Next() {
		if queued := e.Value.(*item[K, V]); !queued.mustDeliver {
			q.order.Remove(e)
			delete(q.byKey, queued.key)
			q.dropped++
			return true
		}
	}
	return false
}

// Ready returns a channel that is readable when there may be a value to pop. The channel of a nil
// Queue is never readable.
func (q *Queue[K, V]) Ready() <-chan struct{} {
	if q == nil {
		return nil
	}
	return q.ready
}

// Pop removes and returns the oldest value; ok is false if there is none. Each time that Ready was readable, the
// consumer must pop until there is none.
func (q *Queue[K, V]) Pop() (v V, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.order.Front()
	if e == nil {
		return v, false
	}
	queued := q.order.Remove(e).(*item[K, V])
	delete(q.byKey, queued.key)
	return queued.value, true
}

// Dropped returns the number of dropped values.
func (q *Queue[K, V]) Dropped() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}
