package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"mosslead/internal/wire"
)

// Under is what the keys of settings begin with in a sidecar's file.
const Under = "settings."

// Keys are those that a JSON object holds, those inside objects by their path. Of a list's objects they are what all of them hold;
// of a list without any its path and a dot, for they lack nothing. The JSON library can't tell a key that is absent from one that is 0, but
// for pointers in each field.
type Keys map[string]bool

// KeysOf names the keys of an object; what is inside one of the sealed ones is left out.
func KeysOf(text []byte, sealed ...string) (Keys, error) {
	var file map[string]any
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	keys := Keys{}
	var walk func(path string, v any, into Keys)
	walk = func(path string, v any, into Keys) {
		switch v := v.(type) {
		case map[string]any:
			for key, x := range v {
				into[path+key] = true
				if !slices.Contains(sealed, path+key) {
					walk(path+key+".", x, into)
				}
			}
		case []any:
			counts := map[string]int{}
			for _, x := range v {
				one := Keys{}
				walk(path, x, one)
				for key := range one {
					counts[key]++
				}
			}
			if len(v) == 0 {
				into[path] = true
			}
			for key, n := range counts {
				if n == len(v) {
					into[key] = true
				}
			}
		}
	}
	walk("", file, keys)
	return keys, nil
}

// DocumentKeys are those of a document's settings, named as in a file.
func DocumentKeys(text []byte) (Keys, error) {
	return KeysOf(fmt.Appendf(nil, `{"settings":%s}`, text))
}

// Lacks names the first of the old keys that is gone; empty: none is. A key that is gone reads like a limit or a price that was never
// set. One that nothing reads, that may be absent, or that the caller frees, can go.
func (k Keys) Lacks(old Keys, free ...string) string {
	for _, key := range slices.Sorted(maps.Keys(old)) {
		may := slices.Contains(free, key) || key == Under+"Classes.AimStretch" || strings.HasSuffix(key, ".") ||
			strings.HasPrefix(key, Under) && !used()[key]
		if !may && !k.holds(key) {
			return key
		}
	}
	return ""
}

// holds tells whether a key is there, or an empty list in whose objects it would be.
func (k Keys) holds(key string) bool {
	for i, x := range key {
		if x == '.' && k[key[:i+1]] {
			return true
		}
	}
	return k[key]
}

// used are the settings' keys that are read.
var used = sync.OnceValue(func() Keys {
	keys, err := DocumentKeys(wire.Keys())
	if err != nil {
		panic(err) // the balancer's own text
	}
	return keys
})
