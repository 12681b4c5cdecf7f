package registry

import (
	"net/http"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/registry/list"
)

const maxClaim = 4 << 10 // bytes of a claim

var schemaBrought = map[int]string{list.DutySchema: "duties", list.DocumentSchema: "settings and other regions"}

// speaks is nil if all replicas of the quorum understand a schema: one that does not would part from the others.
func (n *Node) speaks(schema int) error {
	names := n.voterNames()
	if schema < list.DutySchema {
		return nil
	}
	ok := false
	n.machine.read(func(l *list.List) { ok = len(names) > 0 && l.Speaks(schema, names) })
	if !ok {
		return api.Fail(api.CodeOldPeer, "a replica of the quorum knows of no %s, or has not said yet that it does", schemaBrought[schema])
	}
	return nil
}

// dutyCommand has a command of schema 2 carried out.
func (n *Node) dutyCommand(c list.Command) (list.Result, error) {
	if err := n.speaks(list.DutySchema); err != nil {
		return list.Result{}, err
	}
	return n.apply(c)
}

// turned follows a command on duties.
func (n *Node) turned(r list.Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case !n.leading:
	case r.Forgot:
		n.terms.Forgot(n.now())
	case r.Err == nil && r.Duty.Name != "":
		n.terms.Turned(n.now(), r.Duty)
	}
}

// claim reads what is asked of a duty.
func claim(r *http.Request, body []byte, held bool) (c api.Claim, err error) {
	if err := read(body, &c); err != nil {
		return c, err
	}
	if name := r.PathValue("name"); c.Name == "" {
		c.Name = name
	} else if c.Name != name {
		return c, api.Fail(api.CodeBad, "name: %.40q in the claim, %.40q in the path", c.Name, name)
	}
	return c, c.Check(held)
}

// takeDuty gives a duty that nobody holds, or whose lease is over; else it tells who holds it, and when to ask again.
// That is decided here without the log: to be refused by a leader that is none any more does no harm.
func (n *Node) takeDuty(r *http.Request, body []byte) (any, error) {
	c, err := claim(r, body, false)
	if err != nil {
		return nil, err
	}
	if err := n.speaks(list.DutySchema); err != nil {
		return nil, err
	}
	var d list.Duty
	var held bool
	n.machine.read(func(l *list.List) { d, held = l.Duty(c.Name) })
	n.mu.Lock()
	if !n.leading {
		n.mu.Unlock()
		return nil, api.Fail(api.CodeNoLeader, "%s leads no more", n.me.Name)
	}
	over, after, ask := n.terms.Ask(n.now(), d, held, c)
	n.mu.Unlock()
	if !ask {
		g := d.Grant()
		g.AfterMs = after.Milliseconds()
		return g, nil
	}
	return n.turn(list.Command{Op: list.Take, Claim: &list.Claim{Claim: c, Over: over}})
}

// changeDuty renews or gives up; a claim that does not hold (any more) changes nothing and is told who does.
func (n *Node) changeDuty(op string) work {
	return func(r *http.Request, body []byte) (any, error) {
		c, err := claim(r, body, true)
		if err != nil {
			return nil, err
		}
		return n.turn(list.Command{Op: op, Claim: &list.Claim{Claim: c}})
	}
}

// turn has a command on a duty carried out, and words the duty as it is then.
func (n *Node) turn(c list.Command) (any, error) {
	result, err := n.dutyCommand(c)
	switch {
	case api.IsCode(err, api.CodeConflict):
		g := result.Duty.Grant()
		g.Name = c.Claim.Name
		if c.Op == list.Take { // another was first
			g.AfterMs = (500 * time.Millisecond).Milliseconds()
		}
		return g, nil
	case err != nil:
		return nil, err
	}
	g := result.Duty.Grant()
	n.mu.Lock()
	if n.leading && c.Op != list.Release {
		g.Better = n.terms.Renewed(n.now(), c.Claim.Claim)
	}
	n.mu.Unlock()
	return g, nil
}

func (n *Node) dutiesHeld(*http.Request, []byte) (any, error) {
	all := api.Duties{Duties: []api.Grant{}}
	n.machine.read(func(l *list.List) {
		for _, d := range l.Duties() {
			all.Duties = append(all.Duties, d.Grant())
		}
	})
	return all, nil
}
