package byplace

import (
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
)

// TestEngineTimeByRole checks that the work of a long prompt counts for prefill engines
// wherever it runs, at the speed of a whole engine, and that of a short one for decode
// engines.
func TestEngineTimeByRole(t *testing.T) {
	tracker := NewLoadTracker(burdockyard.SystemClock{})
	engine := byfleet.Endpoint{Instance: burdockyard.Instance{ID: "e", Slots: 10}}
	stream := initialStreamTime / 10
	short := &burdockyard.Prompt{InputTokens: 300}
	for _, c := range []struct {
		name   string
		plan   Plan
		prompt *burdockyard.Prompt
		want   EngineTime
	}{
		{"long at a prefill engine", Plan{PrefillEngine: &engine, DecodeEngine: engine, PrefillTime: 90 * time.Millisecond}, longTestPrompt(), EngineTime{90 * time.Millisecond, stream}},
		{"long at a decode engine", Plan{DecodeEngine: engine, PrefillTime: 180 * time.Millisecond}, longTestPrompt(), EngineTime{90 * time.Millisecond, stream}},
		{"short at a decode engine", Plan{DecodeEngine: engine, PrefillTime: 20 * time.Millisecond}, short, EngineTime{0, stream + 10*time.Millisecond}},
		{"no engine", UnplannedPrefill(longTestPrompt(), 10), longTestPrompt(), EngineTime{basePrefillTime(17_000, 0), stream}},
	} {
		if got := tracker.EngineTime(c.plan, c.prompt); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
