package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"mosslead/internal/registry/api"
)

const (
	maxAcks     = 20_000 // sidecars whose acknowledgements are stored
	ackTimeout  = api.AckTimeoutMs * time.Millisecond
	ackLifetime = 30 * time.Minute // since the latest acknowledgement, after which a sidecar is forgotten
)

// acks are the latest acknowledgements of sidecars. Only the leader stores them, in memory: a new leader
// receives all of them again within the time between two.
type acks struct {
	latest map[ackKey]ack
}

type ackKey struct{ node, service string }

type ack struct {
	api.Ack
	receivedAt time.Duration
}

// reset starts without acknowledgements.
func (a *acks) reset() { a.latest = map[ackKey]ack{} }

// record stores an acknowledgement; it returns false if there are too many sidecars.
func (a *acks) record(now time.Duration, reported api.Ack) bool {
	reported.SilentMs = 0
	of := ackKey{reported.Node, reported.Service}
	if _, known := a.latest[of]; !known && len(a.latest) >= maxAcks {
		if a.removeOld(now); len(a.latest) >= maxAcks {
			return false
		}
	}
	a.latest[of] = ack{reported, now}
	return true
}

func (a *acks) removeOld(now time.Duration) {
	for of, x := range a.latest {
		if now-x.receivedAt > ackLifetime {
			delete(a.latest, of)
		}
	}
}

// rollouts returns the rollout of each of these documents, which are those sent to sidecars.
func (a *acks) rollouts(now time.Duration, published []api.Document) []api.Rollout {
	a.removeOld(now)
	of := map[string][]ack{}
	for _, x := range a.latest {
		of[x.Service] = append(of[x.Service], x)
	}
	all := []api.Rollout{}
	for _, d := range published {
		d.Settings = nil
		r := api.Rollout{Document: d}
		for _, x := range of[d.Service] {
			switch {
			case now-x.receivedAt > ackTimeout:
				r.Silent++
				x.SilentMs = (now - x.receivedAt).Milliseconds()
			case inForce(x.Ack, d):
				r.InForce++
				continue
			case x.RejectedRevision == d.Revision:
				r.Rejected++
			default:
				r.Behind++
			}
			r.NotInForce = append(r.NotInForce, x.Ack)
		}
		slices.SortFunc(r.NotInForce, func(a, b api.Ack) int {
			return cmp.Or(cmp.Compare(b.RejectedRevision, a.RejectedRevision), strings.Compare(a.Node, b.Node))
		})
		r.NotInForce = r.NotInForce[:min(len(r.NotInForce), api.MaxNotInForce)]
		all = append(all, r)
	}
	return all
}

// inForce reports whether a document is in force at a sidecar; a deleted one is if the settings of the sidecar's file are.
func inForce(a api.Ack, d api.Document) bool {
	return a.Region == d.Region && a.Revision == d.Revision || d.Deleted && a.Revision == 0
}
