package lab

import "sync"

// overlay is a state that several faults alter at once: each one's change goes on top of the base, and ends alone.
type overlay[T any] struct {
	set func(T)

	mu      sync.Mutex
	base    T
	changes []namedChange[T]
}

type namedChange[T any] struct {
	name   string
	change func(*T)
}

func newOverlay[T any](base T, set func(T)) *overlay[T] { return &overlay[T]{base: base, set: set} }

// add puts a change in force; the one of the same name goes.
func (o *overlay[T]) add(by string, change func(*T)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drop(by)
	o.changes = append(o.changes, namedChange[T]{by, change})
	o.apply()
}

// remove ends the change of that name.
func (o *overlay[T]) remove(by string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.drop(by) {
		o.apply()
	}
}

func (o *overlay[T]) drop(by string) bool {
	for i, c := range o.changes {
		if c.name == by {
			o.changes = append(o.changes[:i:i], o.changes[i+1:]...)
			return true
		}
	}
	return false
}

func (o *overlay[T]) apply() {
	now := o.base
	for _, c := range o.changes {
		c.change(&now)
	}
	o.set(now)
}
