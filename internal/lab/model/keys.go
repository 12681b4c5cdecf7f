package model

import (
	"container/list"
	"time"
)

// keyMemory remembers the keys met of late, the most recent ones only.
type keyMemory struct {
	most  int
	keep  time.Duration
	order *list.List // of keyUse, the latest first
	at    map[string]*list.Element
}

type keyUse struct {
	key  string
	last time.Duration
}

func newKeyMemory(most int, keep time.Duration) *keyMemory {
	return &keyMemory{most: most, keep: keep, order: list.New(), at: map[string]*list.Element{}}
}

// meet notes a use of the key, and tells whether it was known.
func (m *keyMemory) meet(key string, now time.Duration) bool {
	if key == "" || m.most < 1 {
		return false
	}
	if e, ok := m.at[key]; ok {
		use := e.Value.(*keyUse)
		known := now-use.last <= m.keep
		use.last = now
		m.order.MoveToFront(e)
		return known
	}
	m.at[key] = m.order.PushFront(&keyUse{key, now})
	if m.order.Len() > m.most {
		oldest := m.order.Back()
		delete(m.at, oldest.Value.(*keyUse).key)
		m.order.Remove(oldest)
	}
	return false
}
