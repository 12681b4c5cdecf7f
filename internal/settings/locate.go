package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"mosslead/balancer"
)

// Place is the position in a text of an error that Check returned. Line and column count from 1, the column in bytes; a Line of
// 0 means that the position is unknown. Key is the path of the key, or empty if the error names the key itself or has none.
type Place struct {
	Line, Column int
	Key          string
}

// keyOfSetting maps the settings that a balancer.SettingError names to keys of the file. A field of a list's elements has the
// list's name as its prefix.
var keyOfSetting = map[string]string{
	"Classes":           "Classes",
	"ConnectTimeout":    "Limits.ConnectTimeoutMs",
	"CrossZoneCost":     "Prices.CrossZone",
	"FleetSize":         "Balancers",
	"MaxAttempts":       "Limits.SendCap",
	"MaxRetryAfter":     "Limits.MaxRetryAfterMs",
	"OverQuotaFraction": "OverShareWorth",
	"OverloadDuration":  "Rules.FallMs",
	"OverloadMultiple":  "Rules.FallMultiple",
	"SlowStartCapacity": "Rules.ColdFrom",
	"SlowStartWindow":   "Rules.WarmUpMs",
	"Tenants":           "Tenants",
	"Tick":              "TickMs",

	"Classes.DedupWindow":       "DedupWindowMs",
	"Classes.Deadline":          "DeadlineMs",
	"Classes.Idempotency":       "Semantics",
	"Classes.KeyScope":          "KeyScope",
	"Classes.LateValueFraction": "LateShare",
	"Classes.LatencyObjective":  "AimMs",
	"Classes.Name":              "Name",
	"Classes.ObjectiveStretch":  "AimStretch",
	"Classes.PriorityWeight":    "Importance",
	"Tenants.Quota":             "Fraction",
}

// KeyError is an error in a key that this package checks itself.
type KeyError struct{ Key, Reason string }

func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// Locate returns the position in text of an error that Check returned for it.
func Locate(text []byte, err error) Place {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return placeAt(text, int(syntax.Offset)-1, "")
	case errors.As(err, &wrongType):
		return placeAt(text, int(wrongType.Offset)-1, wrongType.Field)
	}
	var topKey, element, field string
	var invalid *balancer.SettingError
	var keyErr *KeyError
	switch {
	case errors.As(err, &invalid):
		topKey, element = keyOfSetting[invalid.Setting], invalid.Element
		field = keyOfSetting[invalid.Setting+"."+invalid.Field]
	case errors.As(err, &keyErr):
		topKey = keyErr.Key
	}
	if topKey == "" {
		return Place{}
	}
	l := keyLister{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	l.walk("")
	best := Place{Key: topKey}
	for _, key := range l.keys {
		if strings.EqualFold(key.path, topKey) {
			best = placeAt(text, key.offset, topKey)
		}
	}
	if field == "" {
		return best
	}
	best.Key = topKey + "." + field
	for i, key := range l.keys { // the last element of that name counts, as it overrides earlier ones
		if !strings.EqualFold(key.path, topKey+".Name") || key.value != element {
			continue
		}
		best = placeAt(text, key.offset, best.Key) // the object's position, for a field that it lacks
		for _, fieldKey := range l.keys {
			if fieldKey.object == l.keys[i].object && strings.EqualFold(fieldKey.path, topKey+"."+field) {
				best = placeAt(text, fieldKey.offset, best.Key)
			}
		}
	}
	return best
}

// placeAt returns the Place of an offset in text.
func placeAt(text []byte, offset int, key string) Place {
	before := text[:max(0, min(offset, len(text)))]
	return Place{1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n'), key}
}

// keyLister lists the keys of a valid JSON text, with their paths. Objects in lists have the path of the list.
type keyLister struct {
	text    []byte
	decoder *json.Decoder
	objects int // number of objects read
	keys    []keyPosition
}

// keyPosition is a key with its position and value.
type keyPosition struct {
	path   string
	offset int // offset of the key's first byte
	object int // number of the object that has the key
	value  any // the value if it is a string or number, else nil
}

// walk reads one value and lists its keys, with path as a prefix. It returns a scalar value itself, and nil for others.
func (l *keyLister) walk(path string) any {
	token, err := l.decoder.Token()
	if err != nil {
		return nil
	}
	switch token {
	case json.Delim('['):
		for l.decoder.More() {
			l.walk(path)
		}
		_, _ = l.decoder.Token()
	case json.Delim('{'):
		l.objects++
		object := l.objects
		for l.decoder.More() {
			start := int(l.decoder.InputOffset())
			key, err := l.decoder.Token()
			if err != nil {
				return nil
			}
			name, _ := key.(string)
			position := keyPosition{path: strings.TrimPrefix(path+"."+name, "."), offset: start + max(0, bytes.IndexByte(l.text[start:], '"')), object: object}
			i := len(l.keys)
			l.keys = append(l.keys, position)
			l.keys[i].value = l.walk(position.path)
		}
		_, _ = l.decoder.Token()
	default:
		return token
	}
	return nil
}
