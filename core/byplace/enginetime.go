package byplace

import (
	"time"

	"burdockyard/core/byfleet"
)

// EngineTime is the predicted time for which a request takes up engines.
type EngineTime struct {
	Prefill time.Duration // at a prefill engine
	Decode  time.Duration // at a decode engine, including a prefill there
}

// EngineTime returns the predicted engine time of a plan, at the measured speed of its
// engines. A stream takes up the share of its engine that one slot is.
func (t *LoadTracker) EngineTime(p Plan) EngineTime {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := EngineTime{Decode: t.meanStreamTime / time.Duration(max(p.DecodeEngine.Slots, 1))}
	if p.PrefillEngine != nil {
		e.Prefill = time.Duration(float64(p.PrefillTime) * t.record(p.PrefillEngine.ID).slowdown)
	} else {
		e.Decode += time.Duration(float64(p.PrefillTime) * t.record(p.DecodeEngine.ID).slowdown)
	}
	return e
}

// FilledEngines returns how many of the given engines the open streams would fill if they
// were spread over as few as possible.
func (t *LoadTracker) FilledEngines(engines []byfleet.Endpoint) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0.0
	for _, e := range engines {
		sum += float64(t.endpointLoad(e).streams) / float64(max(e.Slots, 1))
	}
	return sum
}

// PrefillTime returns how long an engine of typical speed takes to prefill a prompt of
// which nothing is cached.
func PrefillTime(tokens int) time.Duration { return basePrefillTime(tokens, 0) }
