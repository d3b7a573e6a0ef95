package byproof

import (
	"errors"
	"slices"

	"github.com/anishathalye/porcupine"

	"burdockyard"
	"burdockyard/core/bymanifest"
)

// outcome is the result of an operation as its caller sees it.
type outcome int

const (
	outcomeAnswered outcome = iota // the caller got an answer
	outcomeRefused                 // the operation certainly had no effect
	outcomeUnknown                 // the operation may have had its effect
)

// bookingOp is one booking attempt as the linearizability checker sees it.
type bookingOp struct {
	key     string
	outcome outcome
	body    string
}

// bookingModel models each key as a write-once register: the first effect sets
// the answer, and every later attempt reads it.
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

// checkBookingHistory records a violation unless the attempts at each key are
// linearizable, so that one effect explains every answer.
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
		s.recordViolation("booking history is not linearizable (effects by key: %v)", effects)
	}
}

// manifestModel models the generation as a counter that an accepted publication
// advances by one from the expected generation. A publication of unknown outcome
// may or may not have advanced it.
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
		case errors.Is(out.err, bymanifest.ErrGenerationMismatch):
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

// checkManifestHistory records a violation unless the publications are
// linearizable.
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
		s.recordViolation("manifest history is not linearizable: %+v", published)
	}
}
