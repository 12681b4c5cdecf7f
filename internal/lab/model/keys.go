package model

import (
	"container/list"
	"time"
)

// recentKeys remembers the keys met of late, the most recent ones only.
type recentKeys struct {
	limit    int
	ttl      time.Duration
	order    *list.List // of keyUse, the latest first
	elements map[string]*list.Element
}

type keyUse struct {
	key      string
	lastUsed time.Duration
}

func newRecentKeys(most int, keep time.Duration) *recentKeys {
	return &recentKeys{limit: most, ttl: keep, order: list.New(), elements: map[string]*list.Element{}}
}

// recordUse notes a use of the key, and tells whether it was known.
func (m *recentKeys) recordUse(key string, now time.Duration) bool {
	if key == "" || m.limit < 1 {
		return false
	}
	if e, ok := m.elements[key]; ok {
		use := e.Value.(*keyUse)
		known := now-use.lastUsed <= m.ttl
		use.lastUsed = now
		m.order.MoveToFront(e)
		return known
	}
	m.elements[key] = m.order.PushFront(&keyUse{key, now})
	if m.order.Len() > m.limit {
		oldest := m.order.Back()
		delete(m.elements, oldest.Value.(*keyUse).key)
		m.order.Remove(oldest)
	}
	return false
}
