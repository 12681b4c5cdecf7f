package fake

import (
	"sync"

	"mosslead/internal/lab/record"
)

// Teller records what a sidecar's process has been told about upstreams.
type Teller struct {
	rec     *record.Record
	sidecar string

	mu     sync.Mutex
	usable map[string]bool // by upstream, as of the latest message
}

func newTeller(rec *record.Record, sidecar string) *Teller {
	return &Teller{rec: rec, sidecar: sidecar, usable: map[string]bool{}}
}

// reset starts over for a new process, which knows only the list known. known is nil if there is no such list.
func (t *Teller) reset(known *Listing) {
	t.mu.Lock()
	t.usable = map[string]bool{}
	t.mu.Unlock()
	if known != nil {
		t.recordNews(*known)
	}
}

// recordNews records what a message says. It is called just before the message is written.
func (t *Teller) recordNews(l Listing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.rec.Now()
	note := func(name string, usable bool) {
		if previous, known := t.usable[name]; known && previous == usable {
			return
		}
		t.usable[name] = usable
		t.rec.Tell(record.Told{At: now, Sidecar: t.sidecar, Upstream: name, Usable: usable})
	}
	listed := map[string]bool{}
	for _, e := range l.Endpoints {
		listed[e.Name] = true
		note(e.Name, e.Status == Ready)
	}
	if l.Snapshot {
		for name := range t.usable {
			if !listed[name] {
				note(name, false)
			}
		}
	}
}
