package history

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

// The settings of a service are checked by the model of an entry of the list: they exist or not, the text of each put
// is unique, and their version rises. A put counts as a register of the entry, and a deletion as its leave.

// documentText returns settings that no other call puts.
func documentText(caller, n int) string {
	return fmt.Sprintf(`{"Classes":[{"Name":"c%dn%d","Semantics":"retryable","DeadlineMs":100}]}`, caller, n)
}

// callDocument carries out a call on a service's settings.
func callDocument(ctx context.Context, c *client.Client, o op) (x out, err error) {
	switch o.kind {
	case "read":
		var d api.Document
		d, err = c.Document(ctx, o.name, 0, true)
		if api.IsCode(err, api.CodeNotFound) {
			err = nil
		}
		if err == nil && !d.Deleted && d.Revision > 0 {
			x.record = api.Record{Endpoint: api.Endpoint{Name: o.name, Address: string(d.Settings), Status: api.Ready}, Revision: d.Revision, ServerStatus: api.Ready}
		}
	case "register":
		x.version, err = c.Put(ctx, o.name, api.PutRequest{Schema: 1, Settings: json.RawMessage(o.address), IfRevision: &o.ifVersion})
	case "leave":
		_, err = c.Delete(ctx, o.name, o.ifVersion)
	}
	return x, err
}

// documentWatch holds the settings of one service as one replica reported them, over all watches on it.
type documentWatch struct {
	address, service string
	documents        []api.Document
	times            []time.Duration
	restarts         int
}

// followDocuments starts to watch each service at each follower.
func (r *Run) followDocuments(ctx context.Context) {
	for _, address := range r.spec.Followers {
		for i := range r.spec.Names {
			w := &documentWatch{address: address, service: fmt.Sprintf("%s%d", prefix, i)}
			r.documentWatches = append(r.documentWatches, w)
			r.running.Go(func() { w.follow(ctx, r.begin) })
		}
	}
}

// follow watches again and again until ctx ends. Each watch names the version that was received last as the one held.
func (w *documentWatch) follow(ctx context.Context, begin time.Time) {
	watchRepeatedly(ctx, func(int) string {
		held := ""
		if n := len(w.documents); n > 0 {
			held = fmt.Sprintf("%s@%d", w.documents[n-1].Region, w.documents[n-1].Revision)
		}
		return fmt.Sprintf("http://%s/api/targets?watch=1&from=-1&service=%s&held=%s", w.address, url.QueryEscape(w.service), url.QueryEscape(held))
	}, func(line []byte) {
		var event api.WatchEvent
		if json.Unmarshal(line, &event) != nil {
			return
		}
		for _, d := range event.Documents {
			w.documents, w.times = append(w.documents, d), append(w.times, time.Since(begin))
		}
	}, &w.restarts)
}

// checkDocuments checks the documents that replicas reported: the versions of one document never go back at a replica, and each version
// has the text that was put under it, which is the same at all replicas.
func (r *Run) checkDocuments() (found []Breach) {
	type version struct {
		service string
		at      int64
	}
	issued := map[version]string{}
	texts := map[string]bool{"": true} // the empty text is a deletion
	for _, c := range r.calls {
		if c.op.kind == "register" {
			if texts[c.op.address] = true; c.out.version > 0 {
				issued[version{c.op.name, c.out.version}] = c.op.address
			}
		}
	}
	for _, w := range r.documentWatches {
		highest := map[string]int64{} // by region
		for i, d := range w.documents {
			breach := func(rule, format string, args ...any) {
				found = append(found, Breach{Rule: rule, At: w.times[i], Text: w.address + ": " + w.service + ": " + fmt.Sprintf(format, args...)})
			}
			if seen := highest[d.Region]; d.Revision < seen {
				breach("monotonic", "version %d after %d", d.Revision, seen)
			}
			highest[d.Region] = max(highest[d.Region], d.Revision)
			v := version{d.Service, d.Revision}
			other, known := issued[v]
			switch {
			case d.Service != w.service || !texts[string(d.Settings)] || d.Deleted != (len(d.Settings) == 0):
				breach("issued", "told what nobody put: %+v", d)
			case known && other != string(d.Settings):
				breach("issued", "version %d says %s, and elsewhere %s", d.Revision, d.Settings, other)
			}
			issued[v] = string(d.Settings)
		}
	}
	slices.SortStableFunc(found, func(a, b Breach) int { return int(a.At - b.At) })
	return found
}
