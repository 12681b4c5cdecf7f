package model

import (
	"container/list"
	"time"
)

// recentKeys holds the most recently used keys, up to limit keys. A key is known for ttl after its last use.
type recentKeys struct {
	limit    int
	ttl      time.Duration
	order    *list.List // of *keyUse, the latest first
	elements map[string]*list.Element
}

// keyUse is a key and the time of its last use.
type keyUse struct {
	key      string
	lastUsed time.Duration
}

func newRecentKeys(limit int, ttl time.Duration) *recentKeys {
	return &recentKeys{limit: limit, ttl: ttl, order: list.New(), elements: map[string]*list.Element{}}
}

// recordUse records a use of the key, and reports whether its last use was at most ttl ago.
func (k *recentKeys) recordUse(key string, now time.Duration) bool {
	if key == "" || k.limit < 1 {
		return false
	}
	if e, ok := k.elements[key]; ok {
		use := e.Value.(*keyUse)
		known := now-use.lastUsed <= k.ttl
		use.lastUsed = now
		k.order.MoveToFront(e)
		return known
	}
	k.elements[key] = k.order.PushFront(&keyUse{key, now})
	if k.order.Len() > k.limit {
		oldest := k.order.Back()
		delete(k.elements, oldest.Value.(*keyUse).key)
		k.order.Remove(oldest)
	}
	return false
}
