package byproof

import (
	"errors"
	"slices"

	"github.com/anishathalye/porcupine"

	"burdockyard"
	"burdockyard/core/bymanifest"
)

// outcome is what an operation's caller was told.
type outcome int

const (
	outcomeAnswered outcome = iota // an answer
	outcomeRefused                 // certainly without effect
	outcomeUnknown                 // may have had its effect
)

// bookingOp is one attempt at a booking, for the checker.
type bookingOp struct {
	key     string
	outcome outcome
	body    string
}

// bookingModel is a register that is written once: the first effect sets the
// answer, and every later one reads it.
var bookingModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(bookingOp).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		stored, op := state.(string), output.(bookingOp)
		switch op.outcome {
		case outcomeAnswered:
			return stored == "" || stored == op.body, op.body
		default:
			return true, stored
		}
	},
}

// checkBookingHistory judges that the attempts at each key can be ordered so
// that one effect explains every answer.
func (s *sim) checkBookingHistory(effects map[string]int) {
	var history []porcupine.Operation
	for i, r := range s.replies {
		op := bookingOp{key: r.key, outcome: outcomeAnswered, body: r.body}
		var call *burdockyard.CallError
		if errors.As(r.err, &call) {
			op.outcome = outcomeRefused
		} else if r.err != nil {
			op.outcome = outcomeUnknown
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Input: op, Output: op, Call: r.from.UnixNano(), Return: r.to.UnixNano(),
		})
	}
	if !porcupine.CheckOperations(bookingModel, history) {
		s.recordViolation("the bookings' history is not linearizable (effects %v)", effects)
	}
}

// manifestModel is a counter that an accepted publication moves from the
// expected generation to the next. A publication of unknown outcome may or may
// not have moved it.
var manifestModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(uint64), input.(publishAttempt), output.(publishAttempt)
		expected := in.expect == bymanifest.AnyGeneration || in.expect == now
		switch {
		case out.err == nil && expected && out.got == now+1:
			return []any{now + 1}
		case out.err == nil:
			return nil
		case errors.Is(out.err, bymanifest.ErrGeneration):
			if in.expect == now {
				return nil
			}
			return []any{now}
		case expected:
			return []any{now, now + 1}
		default:
			return []any{now}
		}
	},
}

func checkManifestHistory(s *sim) {
	s.mu.Lock()
	published := slices.Clone(s.published)
	s.mu.Unlock()
	var history []porcupine.Operation
	for i, p := range published {
		history = append(history, porcupine.Operation{
			ClientId: i, Input: p, Output: p, Call: p.from.UnixNano(), Return: p.to.UnixNano(),
		})
	}
	if !porcupine.CheckOperations(manifestModel.ToModel(), history) {
		s.recordViolation("the manifests' history is not linearizable: %+v", published)
	}
}
