package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/sidecar"
)

// runHollow is one hollow sidecar until ctx ends; took hears of each message once it binds there.
func runHollow(ctx context.Context, x hollow, replicas []string, took func(*Message)) error {
	c, err := x.config(replicas)
	if err != nil {
		return err
	}
	m := &Message{Whole: true} // a life begins with a whole list; of later ones Changed tells what is gone by them
	return sidecar.RunHollow(ctx, c, sidecar.HollowObserver{
		OnChange: func(name, status string, _ int64) { m.Entries = append(m.Entries, Seen{name, status}) },
		OnList: func(index int64, _ int, _ time.Time) {
			m.Index = index
			took(m)
			m = &Message{}
		},
		OnSettings: func(_ string, version int64, rejected error, _ time.Time) {
			if rejected == nil && version > 0 {
				took(inForce(x.Service, version))
			}
		},
	})
}

// config is what a real sidecar's file would say, but for the listeners.
func (x hollow) config(replicas []string) (*sidecar.Config, error) {
	text, err := json.Marshal(sidecarConfig(x.Name, "127.0.0.1:1", x.Zone, x.Service, replicas, x.Number, x.Fleet))
	if err != nil {
		return nil, fmt.Errorf("configuration of %s: %w", x.Name, err)
	}
	f, err := os.CreateTemp("", "hollow-*.json")
	if err != nil {
		return nil, fmt.Errorf("configuration of %s: %w", x.Name, err)
	}
	defer func() { _ = os.Remove(f.Name()) }()
	_, err = f.Write(text)
	if err2 := f.Close(); err == nil {
		err = err2
	}
	if err != nil {
		return nil, fmt.Errorf("configuration of %s: %w", x.Name, err)
	}
	return sidecar.LoadConfig(f.Name())
}

// sidecarConfig is the file of a sidecar of the run.
func sidecarConfig(name, listen, zone, service string, replicas []string, number, fleet int) map[string]any {
	return map[string]any{
		"name": name, "listen": listen, "discovery": strings.Join(replicas, ","), "service": service, "seed": fmt.Sprintf("%x", number+1),
		"limits":   map[string]any{"cores": 1, "memory_mb": sidecarMemory, "sockets": sidecarSockets},
		"settings": settings(zone, number, fleet),
	}
}

// inForce is what settings that are in force are to the record.
func inForce(service string, version int64) *Message {
	return &Message{InForce: true, Entries: []Seen{{settingsOf(service), atVersion(version)}}}
}

func settingsOf(service string) string { return "settings of " + service }

func atVersion(version int64) string { return fmt.Sprint("version ", version) }

// message is what a line told.
func message(l api.WatchEvent) *Message {
	m := &Message{Index: l.Revision, Whole: l.Snapshot}
	for _, e := range l.Endpoints {
		m.Entries = append(m.Entries, Seen{e.Name, e.Status})
	}
	return m
}
