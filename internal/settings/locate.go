package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"mosslead/balancer"
)

// Place is the position of an error of Check in a text: line and column count from 1, the column in bytes; a Line of 0 is
// unknown. Key is the path of the key; empty if the error names the key itself, or there is none.
type Place struct {
	Line, Column int
	Key          string
}

// keyOfSetting maps the settings that a balancer.SettingError names to keys of the file. A field of a list's elements has the list's
// name as its prefix.
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

// KeyError is the error of a key that this package checks itself.
type KeyError struct{ Key, Reason string }

func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// Locate returns the position of an error of Check in text.
func Locate(text []byte, err error) Place {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return placeAt(text, int(syntax.Offset)-1, "")
	case errors.As(err, &kind):
		return placeAt(text, int(kind.Offset)-1, kind.Field)
	}
	var top, object, field string
	var invalid *balancer.SettingError
	var key *KeyError
	switch {
	case errors.As(err, &invalid):
		top, object = keyOfSetting[invalid.Setting], invalid.Element
		field = keyOfSetting[invalid.Setting+"."+invalid.Field]
	case errors.As(err, &key):
		top = key.Key
	}
	if top == "" {
		return Place{}
	}
	l := keyLister{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	l.walk("")
	best := Place{Key: top}
	for _, p := range l.keys {
		if strings.EqualFold(p.path, top) {
			best = placeAt(text, p.offset, top)
		}
	}
	if field == "" {
		return best
	}
	best.Key = top + "." + field
	for i, p := range l.keys { // the last of that name, which overrides earlier ones
		if !strings.EqualFold(p.path, top+".Name") || p.value != object {
			continue
		}
		best = placeAt(text, p.offset, best.Key) // the object's position, for a field that it lacks
		for _, q := range l.keys {
			if q.object == l.keys[i].object && strings.EqualFold(q.path, top+"."+field) {
				best = placeAt(text, q.offset, best.Key)
			}
		}
	}
	return best
}

func placeAt(text []byte, offset int, key string) Place {
	before := text[:max(0, min(offset, len(text)))]
	return Place{1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n'), key}
}

// keyLister lists the keys of a valid JSON text, with their paths. Objects in lists have the path of the list.
type keyLister struct {
	text    []byte
	decoder *json.Decoder
	objects int
	keys    []keyPosition
}

type keyPosition struct {
	path   string
	offset int // of the key's first byte
	object int // the same number for keys of one object
	value  any // a string or number, or nil
}

// walk reads one value, and returns it if it is a string or number.
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
			before := int(l.decoder.InputOffset())
			key, err := l.decoder.Token()
			if err != nil {
				return nil
			}
			word, _ := key.(string)
			one := keyPosition{path: strings.TrimPrefix(path+"."+word, "."), offset: before + max(0, bytes.IndexByte(l.text[before:], '"')), object: object}
			i := len(l.keys)
			l.keys = append(l.keys, one)
			l.keys[i].value = l.walk(one.path)
		}
		_, _ = l.decoder.Token()
	default:
		return token
	}
	return nil
}
