package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"mosslead/internal/registry/api"
)

const (
	acksMost   = 20_000 // sidecars' words that are kept
	ackHeard   = api.HeardMs * time.Millisecond
	acksForget = 30 * time.Minute // after the last: such a sidecar is gone
)

// acks are what sidecars last said of their settings. Only the leader keeps them, in memory: a new one hears all of them again
// within the time that a sidecar lets pass between two.
type acks struct {
	last map[ackOf]ack
}

type ackOf struct{ node, service string }

type ack struct {
	api.Ack
	at time.Duration
}

// lead begins with none.
func (a *acks) lead() { a.last = map[ackOf]ack{} }

// take keeps a word; false: there is no room for another sidecar.
func (a *acks) take(now time.Duration, said api.Ack) bool {
	of := ackOf{said.Node, said.Service}
	if _, known := a.last[of]; !known && len(a.last) >= acksMost {
		if a.forget(now); len(a.last) >= acksMost {
			return false
		}
	}
	a.last[of] = ack{said, now}
	return true
}

func (a *acks) forget(now time.Duration) {
	for of, x := range a.last {
		if now-x.at > acksForget {
			delete(a.last, of)
		}
	}
}

// rollouts counts for each of the documents, which are those that sidecars are told.
func (a *acks) rollouts(now time.Duration, told []api.Document) []api.Rollout {
	a.forget(now)
	of := map[string][]ack{}
	for _, x := range a.last {
		of[x.Service] = append(of[x.Service], x)
	}
	all := []api.Rollout{}
	for _, d := range told {
		d.Settings = nil
		r := api.Rollout{Document: d}
		for _, x := range of[d.Service] {
			switch {
			case now-x.at > ackHeard:
				r.Unheard++
			case inForce(x.Ack, d):
				r.InForce++
				continue
			case x.Rejected == d.Version:
				r.Rejected++
			default:
				r.Behind++
			}
			r.Others = append(r.Others, x.Ack)
		}
		slices.SortFunc(r.Others, func(a, b api.Ack) int {
			return cmp.Or(cmp.Compare(b.Rejected, a.Rejected), strings.Compare(a.Node, b.Node))
		})
		r.Others = r.Others[:min(len(r.Others), api.MaxOthers)]
		all = append(all, r)
	}
	return all
}

// inForce tells whether a document is in force at a sidecar: once it is deleted, that is with the settings of its file.
func inForce(a api.Ack, d api.Document) bool {
	return a.Region == d.Region && a.Version == d.Version || d.Deleted && a.Version == 0
}
