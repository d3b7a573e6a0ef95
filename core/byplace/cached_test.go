package byplace

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockyard"
	"burdockyard/core/byfleet"
)

// stillClock is a clock that stands still.
type stillClock struct{}

func (stillClock) Now() time.Time { return time.Unix(1, 0) }

// TestCachedBeginningIsWorthTheWait answers long prompts at engines with uneven queues, some of
// which have the beginning cached: a plan that uses it may start later than the earliest
// plan without, but by no more than it saves for other requests.
func TestCachedBeginningIsWorthTheWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		warm, cold := NewLoadTracker(stillClock{}), NewLoadTracker(stillClock{})
		prompt := &burdockyard.Prompt{Parts: []burdockyard.PromptPart{
			{ID: 7, Tokens: rapid.IntRange(300, 40_000).Draw(t, "shared")}, {ID: 8, Tokens: rapid.IntRange(1800, 20_000).Draw(t, "own")},
		}}
		var engines []byfleet.Endpoint
		for i := range rapid.IntRange(2, 12).Draw(t, "engines") {
			id := burdockyard.EndpointID(fmt.Sprint("e", i))
			role := burdockyard.RoleDecode
			if i > 0 && rapid.Bool().Draw(t, "prefill") {
				role = burdockyard.RolePrefill
			}
			engines = append(engines, byfleet.Endpoint{Instance: burdockyard.Instance{
				ID: id, Addr: string(id), Service: "llm", Role: role, Slots: 6, Domain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"),
			}})
			work := Work{PrefillTime: time.Duration(rapid.IntRange(0, 2000).Draw(t, "queue")) * time.Millisecond, Streams: rapid.IntRange(0, 8).Draw(t, "streams")}
			slowdown := rapid.Float64Range(minSlowdown, maxSlowdown).Draw(t, "slowdown")
			for _, tracker := range []*LoadTracker{warm, cold} {
				tracker.Begin(id, work)
				tracker.record(id).slowdown = slowdown
			}
			if rapid.Bool().Draw(t, "cached") {
				warm.RecordPrefill(id, &burdockyard.Prompt{Parts: prompt.Parts[:1]})
			}
		}
		req := PlacementRequest{Prompt: prompt, Model: largeFleetModel, Domain: "a"}
		chosen, ok := warm.PlanPrompt(req, engines)
		earliest, coldOK := cold.PlanPrompt(req, engines)
		if !ok || !coldOK {
			t.Fatal("PlanPrompt returned no plan")
		}
		for _, p := range engines { // the plans of single engines and of pairs without anything cached
			for _, d := range engines {
				if plan, ok := cold.PlanPrompt(req, []byfleet.Endpoint{p, d}); ok && plan.PredictedTTFT < earliest.PredictedTTFT {
					earliest = plan
				}
			}
		}
		// The only prefill engine of a pair is the home of the prompt.
		home := time.Duration(homeEngineBonus * float64(earliest.PrefillTime))
		saved := earliest.delayOfOthers() - chosen.delayOfOthers() + home
		if late := chosen.PredictedTTFT - earliest.PredictedTTFT; late > saved+time.Microsecond {
			t.Fatalf("the chosen plan starts %v later than the earliest one without a cached beginning, but saves only %v for others", late, saved)
		}
	})
}

// TestOldPartsAreNotCounted answers a fleet whose engines are full: their memory is shared
// by cached parts, running requests and short prompts that are not tracked, so that parts used
// longest ago are gone before the tracked ones alone fill the memory.
func TestOldPartsAreNotCounted(t *testing.T) {
	tracker := NewLoadTracker(burdockyard.SystemClock{})
	model := &burdockyard.ModelSpec{KVCapacityTokens: 100_000, LinkMbps: 200_000}
	engines := []byfleet.Endpoint{kindEngine("e", burdockyard.RoleDecode, "v1")}
	for id := range uint64(10) {
		tracker.RecordPrefill("e", &burdockyard.Prompt{Parts: []burdockyard.PromptPart{{ID: id, Tokens: 9_000}}})
	}
	cached := func(id uint64) int {
		prompt := &burdockyard.Prompt{Parts: []burdockyard.PromptPart{{ID: id, Tokens: 9_000}, {ID: 99, Tokens: 3_000}}}
		plan, ok := tracker.PlanPrompt(PlacementRequest{Prompt: prompt, Model: model, Domain: "a"}, engines)
		if !ok {
			t.Fatal("PlanPrompt returned no plan")
		}
		return plan.CachedTokens
	}
	if got := cached(0); got != 0 {
		t.Errorf("the oldest part counts as %d cached tokens, want none of it in a memory that is nine tenths full", got)
	}
	if got := cached(9); got != 9_000 {
		t.Errorf("the newest part counts as %d cached tokens, want 9000", got)
	}
}
