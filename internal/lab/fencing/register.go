package fencing

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

const checkTimeout = 20 * time.Second

// registerState is the model of one who is acted upon: a register that takes a write under no epoch below the highest it has seen, and
// tells what was in it.
type registerState struct{ epoch, value uint64 }

type write struct{ epoch, value uint64 }

type writeResult struct {
	ok, unknown bool
	before      uint64
}

func step(s registerState, w write, x writeResult) (registerState, bool) {
	may := w.epoch >= s.epoch
	switch {
	case x.unknown && !may: // it came too late
		return s, true
	case x.unknown:
		return registerState(w), true
	case !x.ok:
		return s, !may
	}
	return registerState(w), may && x.before == s.value
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

// Linearizable looks, for each that was acted upon, for an order of all acts in which each was answered as a fenced register
// answers. What holders were told counts, and not what the register says that it did.
func Linearizable(all []Act) (found []Breach) {
	by := map[string][]porcupine.Operation{}
	clients := map[string]int{}
	for _, a := range all {
		if _, ok := clients[a.Holder]; !ok {
			clients[a.Holder] = len(clients)
		}
		o := porcupine.Operation{ClientId: clients[a.Holder], Input: write{a.Epoch, a.Value}, Call: int64(a.Looked), Return: int64(a.Heard),
			Output: writeResult{ok: a.OK, before: a.Before}}
		if a.Heard == 0 { // it may be taken at any time yet
			o.Output, o.Return = writeResult{unknown: true}, math.MaxInt64
		}
		by[a.Upon] = append(by[a.Upon], o)
	}
	for upon, ops := range by {
		switch porcupine.CheckOperationsTimeout(model, ops, checkTimeout) {
		case porcupine.Illegal:
			found = append(found, Breach{Rule: "linearizable", Text: fmt.Sprintf("no order of %d acts upon %s explains their answers", len(ops), upon)})
		case porcupine.Unknown:
			found = append(found, Breach{Rule: "linearizable", Text: fmt.Sprintf("%d acts upon %s could not be judged in %v", len(ops), upon, checkTimeout)})
		}
	}
	return found
}
