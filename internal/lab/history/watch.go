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

// historyUntil returns the history as it was known at a time: calls that returned later have no answer in it.
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

// watch follows one replica by the plain HTTP protocol, and keeps a hash of each list that it received.
type watch struct {
	address string

	index    int64 // version of the list; -1 if there is none yet
	list     map[string]api.Endpoint
	hashes   map[int64]uint64 // of the list, by version
	breaches []Breach
	messages int
	restarts int
}

// follow watches again and again until ctx ends, each time from its version on. With reset, every fourth watch begins without a
// version.
func (w *watch) follow(ctx context.Context, reset bool) {
	start := time.Now()
	watchRepeatedly(ctx, func(n int) string {
		if reset && n%4 == 3 {
			w.index = -1
		}
		return fmt.Sprintf("http://%s/api/targets?watch=1&from=%d", w.address, w.index)
	}, func(line []byte) {
		if text := w.apply(line); text != "" {
			w.breaches = append(w.breaches, Breach{Rule: "watch", At: time.Since(start), Text: w.address + ": " + text})
		}
	}, &w.restarts)
}

// watchRepeatedly opens a watch again and again until ctx ends, the nth at url(n), and calls handle with each line. It counts the
// watches in restarts.
func watchRepeatedly(ctx context.Context, url func(n int) string, handle func(line []byte), restarts *int) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}
	for n := 0; ctx.Err() == nil; n++ {
		watchOnce(ctx, c, url(n), handle)
		*restarts++
		select {
		case <-ctx.Done():
		case <-time.After(rewatchDelay):
		}
	}
}

// watchOnce reads one watch until it ends or no line comes for silenceTimeout.
func watchOnce(ctx context.Context, c *http.Client, url string, handle func(line []byte)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(silenceTimeout, cancel)
	defer timer.Stop()
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
		timer.Reset(silenceTimeout)
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			handle(line)
		}
	}
}

// apply applies a message to the list. It returns what is wrong with the message, or the empty string.
func (w *watch) apply(line []byte) string {
	var event api.WatchEvent
	if err := json.Unmarshal(line, &event); err != nil {
		return fmt.Sprintf("no message: %.80q", line)
	}
	w.messages++
	before := w.index
	if event.Snapshot {
		w.list = map[string]api.Endpoint{}
	}
	seen := map[string]bool{}
	for _, e := range event.Endpoints {
		if seen[e.Name] {
			return fmt.Sprintf("%s is in message %d twice", e.Name, event.Revision)
		}
		seen[e.Name] = true
		if w.list == nil {
			return fmt.Sprintf("changes of version %d to one that has no list", event.Revision)
		}
		if e.Status == api.Removed {
			delete(w.list, e.Name)
		} else {
			w.list[e.Name] = e
		}
	}
	w.index = event.Revision
	h := hash(w.list)
	if earlier, ok := w.hashes[event.Revision]; ok && earlier != h {
		return fmt.Sprintf("version %d is another list than it was before", event.Revision)
	}
	w.hashes[event.Revision] = h
	if event.Revision <= before && (!event.Snapshot || event.Revision != before) {
		return fmt.Sprintf("version %d after %d", event.Revision, before)
	}
	return ""
}

// hash returns a hash of a list.
func hash(list map[string]api.Endpoint) uint64 {
	h := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(list)) {
		text, err := json.Marshal(list[name])
		if err != nil {
			panic(err) // can't happen, as an endpoint has plain values only
		}
		_, _ = h.Write(text) // never fails
	}
	return h.Sum64()
}

// checkWatches compares the lists of all watches at the versions that they share, and with the final list.
func (r *Run) checkWatches(final api.WatchEvent) (found []Breach) {
	end := map[string]api.Endpoint{}
	for _, e := range final.Endpoints {
		end[e.Name] = e
	}
	byVersion := map[int64]uint64{final.Revision: hash(end)}
	for _, w := range r.watches {
		found = append(found, w.breaches...)
		for _, version := range slices.Sorted(maps.Keys(w.hashes)) {
			h := w.hashes[version]
			if other, ok := byVersion[version]; ok && other != h {
				found = append(found, Breach{Rule: "watch", Text: fmt.Sprintf("%s: version %d is another list than elsewhere", w.address, version)})
			}
			byVersion[version] = h
		}
	}
	return found
}
