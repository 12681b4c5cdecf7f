package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"mosslead/internal/registry/api"
)

const (
	maxAcks     = 20_000 // maximum number of stored acknowledgements
	ackTimeout  = api.AckTimeoutMs * time.Millisecond
	ackLifetime = 30 * time.Minute // a sidecar is forgotten this long after its latest acknowledgement
)

// acks holds the latest acknowledgement of each sidecar and service. Only the leader stores them, in memory: a
// new leader receives all of them again within the interval at which sidecars send them.
type acks struct {
	latest map[ackKey]ack
}

type ackKey struct{ node, service string }

type ack struct {
	api.Ack
	receivedAt time.Duration
}

// reset removes all acknowledgements.
func (a *acks) reset() { a.latest = map[ackKey]ack{} }

// record stores an acknowledgement. It returns false if maxAcks are already stored.
func (a *acks) record(now time.Duration, reported api.Ack) bool {
	reported.SilentMs = 0
	key := ackKey{reported.Node, reported.Service}
	if _, known := a.latest[key]; !known && len(a.latest) >= maxAcks {
		if a.removeOld(now); len(a.latest) >= maxAcks {
			return false
		}
	}
	a.latest[key] = ack{reported, now}
	return true
}

func (a *acks) removeOld(now time.Duration) {
	for key, latest := range a.latest {
		if now-latest.receivedAt > ackLifetime {
			delete(a.latest, key)
		}
	}
}

// rollouts returns the rollout of each of the published documents, which are those that sidecars are sent.
func (a *acks) rollouts(now time.Duration, published []api.Document) []api.Rollout {
	a.removeOld(now)
	byService := map[string][]ack{}
	for _, latest := range a.latest {
		byService[latest.Service] = append(byService[latest.Service], latest)
	}
	rollouts := []api.Rollout{}
	for _, d := range published {
		d.Settings = nil
		r := api.Rollout{Document: d}
		for _, latest := range byService[d.Service] {
			switch {
			case now-latest.receivedAt > ackTimeout:
				r.Silent++
				latest.SilentMs = (now - latest.receivedAt).Milliseconds()
			case inForce(latest.Ack, d):
				r.InForce++
				continue
			case latest.RejectedRevision == d.Revision:
				r.Rejected++
			default:
				r.Behind++
			}
			r.NotInForce = append(r.NotInForce, latest.Ack)
		}
		slices.SortFunc(r.NotInForce, func(a, b api.Ack) int {
			return cmp.Or(cmp.Compare(b.RejectedRevision, a.RejectedRevision), strings.Compare(a.Node, b.Node))
		})
		r.NotInForce = r.NotInForce[:min(len(r.NotInForce), api.MaxNotInForce)]
		rollouts = append(rollouts, r)
	}
	return rollouts
}

// inForce reports whether a document is in force at a sidecar. A deleted document is in force if the sidecar uses the settings of
// its own file.
func inForce(a api.Ack, d api.Document) bool {
	return a.Region == d.Region && a.Revision == d.Revision || d.Deleted && a.Revision == 0
}
