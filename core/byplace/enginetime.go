package byplace

import (
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
)

// EngineTime is the predicted time for which a request takes up engines.
type EngineTime struct {
	Prefill time.Duration // of a prompt that is worth a prefill engine, wherever it runs
	Decode  time.Duration // of streams, and of prompts that decode engines prefill anyway
}

// EngineTime returns the predicted engine time of a plan, at the measured speed of its
// engines. A stream takes up the share of its engine that one slot is. A prefill at a decode
// engine takes longer because streams run in between; that time is theirs.
func (t *LoadTracker) EngineTime(p Plan, prompt *burdockyard.Prompt) EngineTime {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := EngineTime{Decode: t.meanStreamTime / time.Duration(max(p.DecodeEngine.Slots, 1))}
	var prefill time.Duration
	if p.PrefillEngine != nil {
		prefill = time.Duration(float64(p.PrefillTime) * t.record(p.PrefillEngine.ID).slowdown)
	} else {
		prefill = time.Duration(float64(p.PrefillTime) / decodePrefillFactor * t.record(p.DecodeEngine.ID).slowdown)
	}
	if IsLongPrompt(prompt) {
		e.Prefill = prefill
	} else {
		e.Decode += prefill
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

// UnplannedPrefill returns a plan for a prompt for which there is no engine: nothing of it
// is cached.
func UnplannedPrefill(prompt *burdockyard.Prompt, slots int) Plan {
	p := Plan{PrefillTime: time.Duration(decodePrefillFactor * float64(basePrefillTime(promptTokens(prompt), 0)))}
	p.DecodeEngine.Slots = slots
	return p
}
