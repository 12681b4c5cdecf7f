package registry

import (
	"net/http"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

const maxClaimBody = 4 << 10 // bytes of a request body with a claim

// schemaFeatures names, for error messages, the features that each schema introduced.
var schemaFeatures = map[int]string{list.LeadershipSchema: "duties", list.DocumentSchema: "settings and other regions"}

// requireSchema returns an error unless all replicas of the quorum understand a schema. The list of a replica that does not
// understand it would diverge.
func (n *Node) requireSchema(schema int) error {
	names := n.voterNames()
	if schema < list.LeadershipSchema {
		return nil
	}
	ok := false
	n.fsm.read(func(l *list.List) { ok = len(names) > 0 && l.Understands(schema, names) })
	if !ok {
		return api.Errorf(api.CodeOlderReplica, "a replica of the quorum knows of no %s, or has not said yet that it does", schemaFeatures[schema])
	}
	return nil
}

// applyLeadership commits a command on leaderships, which all replicas must understand (schema 2).
func (n *Node) applyLeadership(c list.Command) (list.Result, error) {
	if err := n.requireSchema(list.LeadershipSchema); err != nil {
		return list.Result{}, err
	}
	return n.apply(c)
}

// onLeadership updates the leases after a committed command on leaderships.
func (n *Node) onLeadership(r list.Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case !n.leading:
	case r.LeadershipsVoid:
		n.leaderships.Invalidate(n.now())
	case r.Err == nil && r.Leadership.Name != "":
		n.leaderships.Committed(n.now(), r.Leadership)
	}
}

// decodeClaim decodes and checks a claim to a leadership. held means that the claim renews or releases one.
func decodeClaim(r *http.Request, body []byte, held bool) (c api.LeadershipClaim, err error) {
	if err := decodeBody(body, &c); err != nil {
		return c, err
	}
	if name := r.PathValue("name"); c.Name == "" {
		c.Name = name
	} else if c.Name != name {
		return c, api.Errorf(api.CodeBadRequest, "name: %.40q in the claim, %.40q in the path", c.Name, name)
	}
	return c, c.Check(held)
}

// acquireLeadership grants a leadership that nobody holds, or whose lease has expired; otherwise the grant names the holder
// and when to retry. A rejection is not written to the log, since a rejection by a deposed leader does no harm.
func (n *Node) acquireLeadership(r *http.Request, body []byte) (any, error) {
	c, err := decodeClaim(r, body, false)
	if err != nil {
		return nil, err
	}
	if err := n.requireSchema(list.LeadershipSchema); err != nil {
		return nil, err
	}
	var leadership list.Leadership
	var held bool
	n.fsm.read(func(l *list.List) { leadership, held = l.Leadership(c.Name) })
	n.mu.Lock()
	if !n.leading {
		n.mu.Unlock()
		return nil, api.Errorf(api.CodeNoLeader, "%s leads no more", n.self.Name)
	}
	expiredTerm, retryAfter, acquire := n.leaderships.Decide(n.now(), leadership, held, c)
	n.mu.Unlock()
	if !acquire {
		g := leadership.Grant()
		g.RetryAfterMs = retryAfter.Milliseconds()
		return g, nil
	}
	return n.applyClaim(list.Command{Op: list.AcquireLeadership, Claim: &list.LeadershipClaim{LeadershipClaim: c, ExpiredTerm: expiredTerm}})
}

// changeLeadership returns a handler that renews or releases a leadership. A claim without a valid lease changes nothing, and
// the grant names the holder.
func (n *Node) changeLeadership(op string) handler {
	return func(r *http.Request, body []byte) (any, error) {
		c, err := decodeClaim(r, body, true)
		if err != nil {
			return nil, err
		}
		return n.applyClaim(list.Command{Op: op, Claim: &list.LeadershipClaim{LeadershipClaim: c}})
	}
}

// applyClaim applies a claim through the log, and returns the resulting leadership.
func (n *Node) applyClaim(c list.Command) (any, error) {
	result, err := n.applyLeadership(c)
	switch {
	case api.IsCode(err, api.CodeConflict):
		g := result.Leadership.Grant()
		g.Name = c.Claim.Name
		if c.Op == list.AcquireLeadership { // the claim of another candidate was committed first
			g.RetryAfterMs = (500 * time.Millisecond).Milliseconds()
		}
		return g, nil
	case err != nil:
		return nil, err
	}
	g := result.Leadership.Grant()
	n.mu.Lock()
	if n.leading && c.Op != list.ReleaseLeadership {
		g.BetterFitness = n.leaderships.Renewed(n.now(), c.Claim.LeadershipClaim)
	}
	n.mu.Unlock()
	return g, nil
}

func (n *Node) listLeaderships(*http.Request, []byte) (any, error) {
	all := api.Leaderships{Leaderships: []api.LeadershipGrant{}}
	n.fsm.read(func(l *list.List) {
		for _, d := range l.Leaderships() {
			all.Leaderships = append(all.Leaderships, d.Grant())
		}
	})
	return all, nil
}
