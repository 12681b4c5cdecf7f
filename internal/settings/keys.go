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

// Keys is the set of keys in a JSON object; keys of inner objects have their path as a prefix. For a list it has the keys that
// all objects in the list have, and for an empty list the list's path with a dot. (Decoding into a struct can't distinguish an
// absent key from one that is 0.)
type Keys map[string]bool

// KeysOf returns the keys of an object, except those inside the values of the keys in sealed.
func KeysOf(text []byte, sealed ...string) (Keys, error) {
	var object map[string]any
	if err := json.Unmarshal(text, &object); err != nil {
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
				elementKeys := Keys{}
				walk(path, x, elementKeys)
				for key := range elementKeys {
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
	walk("", object, keys)
	return keys, nil
}

// DocumentKeys returns the keys of a document's settings, with the paths that they have in a file.
func DocumentKeys(text []byte) (Keys, error) {
	return KeysOf(fmt.Appendf(nil, `{"settings":%s}`, text))
}

// Lacks returns the first of the old keys that is missing, or "" if none is. A missing key would be read as a limit or cost
// that was never set. Keys may be missing if they are not read, are optional, or are listed in exempt.
func (k Keys) Lacks(old Keys, exempt ...string) string {
	for _, key := range slices.Sorted(maps.Keys(old)) {
		mayBeMissing := slices.Contains(exempt, key) || key == Under+"Classes.AimStretch" || strings.HasSuffix(key, ".") ||
			strings.HasPrefix(key, Under) && !knownKeys()[key]
		if !mayBeMissing && !k.contains(key) {
			return key
		}
	}
	return ""
}

// contains reports whether k has key, or an empty list whose objects could have it.
func (k Keys) contains(key string) bool {
	for i, x := range key {
		if x == '.' && k[key[:i+1]] {
			return true
		}
	}
	return k[key]
}

// knownKeys returns the keys of settings that the program reads.
var knownKeys = sync.OnceValue(func() Keys {
	keys, err := DocumentKeys(wire.Keys())
	if err != nil {
		panic(err) // cannot happen: the text is the program's own
	}
	return keys
})
