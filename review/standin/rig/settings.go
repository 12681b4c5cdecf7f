package rig

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// M is a JSON object.
type M = map[string]any

// Settings is the settings object of a sidecar's configuration, from the file settings.json of a case, and the names in it that clients use.
type Settings struct {
	Raw        json.RawMessage
	Zones      []string
	Tenant     string   // the first tenant
	Retryable  []string // classes that are safe to repeat
	Unsafe     string   // the class that must never run twice
	DrainGrace time.Duration
	Kind       string // kind of an upstream's machine
}

// ReadSettings reads the settings of a case.
func ReadSettings(dir string) (*Settings, error) {
	text, err := os.ReadFile(dir + "/settings.json")
	if err != nil {
		return nil, err
	}
	var file struct {
		Classes        []struct{ Name, Semantics string }
		FailureDomains []string
		HostTypes      []string
		Rules          struct{ DrainGraceMs float64 }
		Tenants        []struct{ Name string }
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	if len(file.FailureDomains) == 0 || len(file.Tenants) == 0 || len(file.HostTypes) == 0 {
		return nil, fmt.Errorf("settings without zones, tenants or kinds of machines")
	}
	s := &Settings{Raw: text, Zones: file.FailureDomains, Tenant: file.Tenants[0].Name, Kind: file.HostTypes[0],
		DrainGrace: time.Duration(file.Rules.DrainGraceMs * float64(time.Millisecond))}
	for _, c := range file.Classes {
		if c.Semantics == "fragile" {
			s.Unsafe = c.Name
		} else {
			s.Retryable = append(s.Retryable, c.Name)
		}
	}
	if s.Unsafe == "" || len(s.Retryable) == 0 {
		return nil, fmt.Errorf("settings without a class of each kind")
	}
	return s, nil
}

// Limits is a sidecar's limits.
func Limits(memoryMB, sockets int) M {
	return M{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
}

// ID returns 16 random hex digits.
func ID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
