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

// Under is the prefix of the keys of settings in a sidecar's file.
const Under = "settings."

// Keys is the set of keys in a JSON object, with the path of keys in inner objects. Of the objects in a list it has the keys
// common to all; of an empty list it has the list's path and a dot. (Decoding into a struct can't tell an absent key from
// one that is 0.)
type Keys map[string]bool

// KeysOf returns the keys of an object, without those inside the sealed ones.
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

// DocumentKeys returns the keys of a document's settings, with the paths that they have in a file.
func DocumentKeys(text []byte) (Keys, error) {
	return KeysOf(fmt.Appendf(nil, `{"settings":%s}`, text))
}

// Lacks returns the first of the old keys that is missing, or "" if none is: a missing key would be read as a limit or a cost
// that was never set. Keys that are not read, that are optional, or that the caller exempts may be missing.
func (k Keys) Lacks(old Keys, free ...string) string {
	for _, key := range slices.Sorted(maps.Keys(old)) {
		may := slices.Contains(free, key) || key == Under+"Classes.AimStretch" || strings.HasSuffix(key, ".") ||
			strings.HasPrefix(key, Under) && !readKeys()[key]
		if !may && !k.contains(key) {
			return key
		}
	}
	return ""
}

// contains reports whether a key is present, or an empty list in whose objects it would be.
func (k Keys) contains(key string) bool {
	for i, x := range key {
		if x == '.' && k[key[:i+1]] {
			return true
		}
	}
	return k[key]
}

// readKeys are the keys of settings that are read.
var readKeys = sync.OnceValue(func() Keys {
	keys, err := DocumentKeys(wire.Keys())
	if err != nil {
		panic(err) // can't fail for the program's own text
	}
	return keys
})
