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

// Settings of a service are judged by the model of an entry: they are there or not, what they say is unlike any other, and their
// version rises. A put is its register, a deletion its leave.

// documentText is settings that no other call puts.
func documentText(caller, n int) string {
	return fmt.Sprintf(`{"Classes":[{"Name":"c%dn%d","Semantics":"retryable","DeadlineMs":100}]}`, caller, n)
}

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

// documentWatch is what one replica tells of one service's settings, over all watches on it.
type documentWatch struct {
	address, service string
	documents        []api.Document
	times            []time.Duration
	restarts         int
}

// followDocuments begins to follow each service at each follower.
func (r *Run) followDocuments(ctx context.Context) {
	for _, at := range r.spec.Followers {
		for i := range r.spec.Names {
			t := &documentWatch{address: at, service: fmt.Sprintf("%s%d", prefix, i)}
			r.documentWatches = append(r.documentWatches, t)
			r.running.Go(func() { t.follow(ctx, r.begin) })
		}
	}
}

// follow watches again and again until ctx ends, each time as one that holds what it was told last.
func (t *documentWatch) follow(ctx context.Context, begin time.Time) {
	watchRepeatedly(ctx, func(int) string {
		held := ""
		if n := len(t.documents); n > 0 {
			held = fmt.Sprintf("%s@%d", t.documents[n-1].Region, t.documents[n-1].Revision)
		}
		return fmt.Sprintf("http://%s/api/targets?watch=1&from=-1&service=%s&held=%s", t.address, url.QueryEscape(t.service), url.QueryEscape(held))
	}, func(line []byte) {
		var l api.WatchEvent
		if json.Unmarshal(line, &l) != nil {
			return
		}
		for _, d := range l.Documents {
			t.documents, t.times = append(t.documents, d), append(t.times, time.Since(begin))
		}
	}, &t.restarts)
}

// checkDocuments judges what was checkDocuments of documents: each replica's versions of one only rise, and each version says what was put under it, to
// all the same.
func (r *Run) checkDocuments() (found []Breach) {
	type version struct {
		service string
		at      int64
	}
	issued := map[version]string{}
	texts := map[string]bool{"": true} // of a deletion
	for _, c := range r.calls {
		if c.op.kind == "register" {
			if texts[c.op.address] = true; c.out.version > 0 {
				issued[version{c.op.name, c.out.version}] = c.op.address
			}
		}
	}
	for _, t := range r.documentWatches {
		highest := map[string]int64{} // by region
		for i, d := range t.documents {
			says := func(rule, format string, args ...any) {
				found = append(found, Breach{Rule: rule, At: t.times[i], Text: t.address + ": " + t.service + ": " + fmt.Sprintf(format, args...)})
			}
			if was := highest[d.Region]; d.Revision < was {
				says("monotonic", "version %d after %d", d.Revision, was)
			}
			highest[d.Region] = max(highest[d.Region], d.Revision)
			v := version{d.Service, d.Revision}
			had, known := issued[v]
			switch {
			case d.Service != t.service || !texts[string(d.Settings)] || d.Deleted != (len(d.Settings) == 0):
				says("issued", "told what nobody put: %+v", d)
			case known && had != string(d.Settings):
				says("issued", "version %d says %s, and elsewhere %s", d.Revision, d.Settings, had)
			}
			issued[v] = string(d.Settings)
		}
	}
	slices.SortStableFunc(found, func(a, b Breach) int { return int(a.At - b.At) })
	return found
}
