package fencing

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

const checkTimeout = 20 * time.Second

// registerState is the model of a target: a register that refuses a write under an epoch below the highest it has seen, and returns its
// value before each write.
type registerState struct{ epoch, value uint64 }

type write struct{ epoch, value uint64 }

type writeResult struct {
	ok, unknown bool
	before      uint64
}

// step applies a write to the model, and reports whether the register could have given this answer.
func step(s registerState, w write, x writeResult) (registerState, bool) {
	accepted := w.epoch >= s.epoch
	switch {
	case x.unknown && !accepted: // if the write arrives only now, it is refused
		return s, true
	case x.unknown:
		return registerState(w), true
	case !x.ok:
		return s, !accepted
	}
	return registerState(w), accepted && x.before == s.value
}

var model = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		next, ok := step(state.(registerState), input.(write), output.(writeResult))
		return ok, next
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v: %+v", input, output) },
}

// Linearizable searches, for each target, for an order of all acts in which each was answered as a fenced register answers. It
// returns a breach for a target without one. The answers that holders got count, not what the target recorded.
func Linearizable(all []Act) (found []Breach) {
	byTarget := map[string][]porcupine.Operation{}
	clients := map[string]int{}
	for _, a := range all {
		if _, ok := clients[a.Holder]; !ok {
			clients[a.Holder] = len(clients)
		}
		o := porcupine.Operation{ClientId: clients[a.Holder], Input: write{a.Epoch, a.Value}, Call: int64(a.Looked), Return: int64(a.Heard),
			Output: writeResult{ok: a.OK, before: a.Before}}
		if a.Heard == 0 { // it may still be accepted at any time
			o.Output, o.Return = writeResult{unknown: true}, math.MaxInt64
		}
		byTarget[a.Upon] = append(byTarget[a.Upon], o)
	}
	for upon, ops := range byTarget {
		switch porcupine.CheckOperationsTimeout(model, ops, checkTimeout) {
		case porcupine.Illegal:
			found = append(found, Breach{Rule: "linearizable", Text: fmt.Sprintf("no order of %d acts upon %s explains their answers", len(ops), upon)})
		case porcupine.Unknown:
			found = append(found, Breach{Rule: "linearizable", Text: fmt.Sprintf("%d acts upon %s could not be judged in %v", len(ops), upon, checkTimeout)})
		}
	}
	return found
}
