package lab

import "sync"

// overlay is a state that several faults can change at once. Each change applies on top of the base, and is removed
// on its own.
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

// add puts a change in force. It replaces an earlier change of the same name.
func (o *overlay[T]) add(name string, change func(*T)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drop(name)
	o.changes = append(o.changes, namedChange[T]{name, change})
	o.apply()
}

// remove ends the change of that name.
func (o *overlay[T]) remove(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.drop(name) {
		o.apply()
	}
}

func (o *overlay[T]) drop(name string) bool {
	for i, c := range o.changes {
		if c.name == name {
			o.changes = append(o.changes[:i:i], o.changes[i+1:]...)
			return true
		}
	}
	return false
}

func (o *overlay[T]) apply() {
	state := o.base
	for _, c := range o.changes {
		c.change(&state)
	}
	o.set(state)
}
