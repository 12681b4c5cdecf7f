package history

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"

	"mosslead/internal/registry/api"
)

func sortByReturn(all []porcupine.Operation) {
	slices.SortFunc(all, func(a, b porcupine.Operation) int { return cmp.Compare(a.Return, b.Return) })
}

// historyUntil is the history as it was known at a time: what returned later was still out.
func historyUntil(all []porcupine.Operation, at int64) (part []porcupine.Operation) {
	for _, o := range all {
		switch {
		case o.Call > at:
			continue
		case o.Return > at:
			if o.Input.(op).kind == "read" {
				continue
			}
			o.Output, o.Return = out{unknown: true}, math.MaxInt64
		}
		part = append(part, o)
	}
	return part
}

const (
	rewatchDelay   = 50 * time.Millisecond
	dialTimeout    = 500 * time.Millisecond
	silenceTimeout = 5 * time.Second
)

// watch follows one replica by the bare protocol, and keeps what it was told.
type watch struct {
	address string

	index    int64 // -1: none yet
	list     map[string]api.Endpoint
	hashes   map[int64]uint64 // of the list at each version that was told
	breaches []Breach
	messages int
	restarts int
}

// follow watches again and again until ctx ends; from its version on, or now and then from nothing.
func (w *watch) follow(ctx context.Context, now bool) {
	begin := time.Now()
	watchRepeatedly(ctx, func(n int) string {
		if now && n%4 == 3 {
			w.index = -1
		}
		return fmt.Sprintf("http://%s/api/targets?watch=1&from=%d", w.address, w.index)
	}, func(line []byte) {
		if text := w.apply(line); text != "" {
			w.breaches = append(w.breaches, Breach{Rule: "watch", At: time.Since(begin), Text: w.address + ": " + text})
		}
	}, &w.restarts)
}

// watchRepeatedly opens a watch again and again until ctx ends, each at what url says for the nth, and hands on what it tells; restarts
// counts them.
func watchRepeatedly(ctx context.Context, url func(n int) string, take func(line []byte), restarts *int) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}
	for n := 0; ctx.Err() == nil; n++ {
		watchOnce(ctx, c, url(n), take)
		*restarts++
		select {
		case <-ctx.Done():
		case <-time.After(rewatchDelay):
		}
	}
}

// watchOnce is one watch to its end, or its silence.
func watchOnce(ctx context.Context, c *http.Client, url string, take func(line []byte)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dead := time.AfterFunc(silenceTimeout, cancel)
	defer dead.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	resp, err := c.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 8<<20)
	for lines.Scan() {
		dead.Reset(silenceTimeout)
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			take(line)
		}
	}
}

// apply applies a message; "": it was as it must be.
func (w *watch) apply(line []byte) string {
	var l api.WatchEvent
	if err := json.Unmarshal(line, &l); err != nil {
		return fmt.Sprintf("no message: %.80q", line)
	}
	w.messages++
	before := w.index
	if l.Snapshot {
		w.list = map[string]api.Endpoint{}
	}
	seen := map[string]bool{}
	for _, e := range l.Endpoints {
		if seen[e.Name] {
			return fmt.Sprintf("%s is in message %d twice", e.Name, l.Revision)
		}
		seen[e.Name] = true
		if w.list == nil {
			return fmt.Sprintf("changes of version %d to one that has no list", l.Revision)
		}
		if e.Status == api.Removed {
			delete(w.list, e.Name)
		} else {
			w.list[e.Name] = e
		}
	}
	w.index = l.Revision
	h := hash(w.list)
	if had, ok := w.hashes[l.Revision]; ok && had != h {
		return fmt.Sprintf("version %d is another list than it was before", l.Revision)
	}
	w.hashes[l.Revision] = h
	if l.Revision <= before && (!l.Snapshot || l.Revision != before) {
		return fmt.Sprintf("version %d after %d", l.Revision, before)
	}
	return ""
}

func hash(list map[string]api.Endpoint) uint64 {
	h := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(list)) {
		text, err := json.Marshal(list[name])
		if err != nil {
			panic(err) // plain values only: a mistake here
		}
		_, _ = h.Write(text) // never fails
	}
	return h.Sum64()
}

// checkWatches compares all watches with each other at the versions that they share, and with the list at the end.
func (r *Run) checkWatches(final api.WatchEvent) (found []Breach) {
	end := map[string]api.Endpoint{}
	for _, e := range final.Endpoints {
		end[e.Name] = e
	}
	at := map[int64]uint64{final.Revision: hash(end)}
	for _, w := range r.watches {
		found = append(found, w.breaches...)
		for _, version := range slices.Sorted(maps.Keys(w.hashes)) {
			h := w.hashes[version]
			if had, ok := at[version]; ok && had != h {
				found = append(found, Breach{Rule: "watch", Text: fmt.Sprintf("%s: version %d is another list than elsewhere", w.address, version)})
			}
			at[version] = h
		}
	}
	return found
}
