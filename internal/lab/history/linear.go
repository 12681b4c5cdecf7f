package history

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"mosslead/internal/registry/api"
)

const (
	checkTimeout = 20 * time.Second
	anyVersion   = -1 // after a write without an answer
)

// entry is the model's state: one entry of the list.
type entry struct {
	present      bool
	address      string
	serverStatus string
	adminState   string
	version      int64 // anyVersion if it is only known to be above floor
	floor        int64 // highest version so far
}

// atVersion reports whether the entry can be at a version, and returns the entry with that version.
func (e entry) atVersion(version int64) (entry, bool) {
	if e.version == anyVersion {
		if version <= e.floor {
			return e, false
		}
		e.version, e.floor = version, version
		return e, true
	}
	return e, e.version == version
}

// matches reports whether a condition on the version can hold for the entry, and returns the entry with that version.
func (e entry) matches(ifVersion int64) (entry, bool) {
	if !e.present {
		return e, ifVersion == 0
	}
	return e.atVersion(ifVersion)
}

// status returns the status that results from the server's own status and the administrative state.
func (e entry) status() string {
	if e.adminState == api.AdminDrain {
		return api.Terminating
	}
	return e.serverStatus
}

// step returns the entry after a call. It reports false if the call can't have been answered so.
func step(e entry, o op, x out) (entry, bool) {
	if o.kind == "read" {
		if x.unknown {
			return e, true
		}
		r := x.record
		if r.Revision == 0 {
			return e, !e.present && r.AdminState == e.adminState
		}
		if !e.present || r.Address != e.address || r.ServerStatus != e.serverStatus || r.AdminState != e.adminState || r.Status != e.status() {
			return e, false
		}
		return e.atVersion(r.Revision)
	}
	next, match := e.matches(o.ifVersion)
	switch {
	case x.unknown && !match:
		return e, true // it was not done
	case x.code == api.CodeConflict:
		return e, !match || e.version == anyVersion
	case !match:
		return e, false
	}
	previous := next
	switch o.kind {
	case "register":
		next.present, next.address, next.serverStatus = true, o.address, api.Ready
	case "drain", "leave":
		if !e.present {
			return e, x.unknown || x.code == api.CodeNotFound
		}
		if next.serverStatus = api.Terminating; o.kind == "leave" {
			next = entry{adminState: next.adminState, floor: max(next.floor, next.version)}
		}
	case "hand":
		next.adminState = o.hand
	}
	if x.code != "" {
		return e, false
	}
	switch {
	case !next.present:
		return next, x.unknown || x.version == 0
	case next == previous: // nothing changed
		if x.unknown {
			return next, true
		}
		return next.atVersion(x.version)
	case x.unknown:
		next.floor, next.version = max(next.floor, previous.version), anyVersion
		return next, true
	case x.version <= next.floor:
		return e, false
	}
	next.version, next.floor = x.version, x.version
	return next, true
}

var model = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, o := range all {
			name := o.Input.(op).name
			byName[name] = append(byName[name], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byName {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return entry{} },
	Step: func(state, input, output any) (bool, any) {
		next, ok := step(state.(entry), input.(op), output.(out))
		return ok, next
	},
	Equal: func(a, b any) bool { return a.(entry) == b.(entry) },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v: %+v", input, output)
	},
}

// linearizable searches for an order of all calls in which each answer is that of a sequential execution.
func (r *Run) linearizable() []Breach {
	var all []porcupine.Operation
	for _, c := range r.calls {
		o := porcupine.Operation{ClientId: c.caller, Input: c.op, Output: c.out, Call: int64(c.from), Return: int64(c.to)}
		if c.out.unknown {
			if c.op.kind == "read" {
				continue
			}
			o.Return = math.MaxInt64 // it may still be done at any time
		}
		all = append(all, o)
	}
	switch porcupine.CheckOperationsTimeout(model, all, checkTimeout) {
	case porcupine.Illegal:
		return []Breach{{Rule: "linearizable", Text: fmt.Sprintf("no order of %d calls explains their answers; %s", len(all), r.firstContradiction(all))}}
	case porcupine.Unknown:
		return []Breach{{Rule: "linearizable", Text: fmt.Sprintf("%d calls could not be judged within %v", len(all), checkTimeout)}}
	}
	return nil
}

// firstContradiction describes the first call whose answer leaves no possible order, with its entry and time.
func (r *Run) firstContradiction(all []porcupine.Operation) string {
	for _, part := range model.Partition(all) {
		if porcupine.CheckOperationsTimeout(model, part, checkTimeout) != porcupine.Illegal {
			continue
		}
		lo, hi := 0, len(part) // up to the return of some call the history is legal, and from there on illegal
		byReturn := append([]porcupine.Operation{}, part...)
		sortByReturn(byReturn)
		for lo < hi {
			mid := (lo + hi) / 2
			if porcupine.CheckOperationsTimeout(model, historyUntil(part, byReturn[mid].Return), checkTimeout) == porcupine.Illegal {
				hi = mid
			} else {
				lo = mid + 1
			}
		}
		if lo < len(byReturn) {
			o := byReturn[lo]
			return fmt.Sprintf("first at %v: %s", time.Duration(o.Return).Round(time.Millisecond), model.DescribeOperation(o.Input, o.Output))
		}
	}
	return ""
}
