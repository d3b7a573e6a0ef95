package byplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
)

// randomEngines returns engines of several failure domains with random loads.
func randomEngines(rng *rand.Rand, t *LoadTracker, n int) []byfleet.Endpoint {
	engines := make([]byfleet.Endpoint, n)
	for i := range engines {
		role := burdockyard.RoleDecode
		if i%4 == 0 {
			role = burdockyard.RolePrefill
		}
		id := burdockyard.EndpointID(fmt.Sprint("e", i))
		engines[i] = byfleet.Endpoint{
			Instance: burdockyard.Instance{ID: id, Addr: string(id), Domain: fmt.Sprint("d", rng.IntN(5)), Role: role, Slots: 6},
			FailRate: float64(rng.IntN(3)) / 10,
		}
		for range rng.IntN(4) {
			t.Begin(id, Work{PrefillTime: time.Duration(rng.IntN(300)) * time.Millisecond, Streams: 1})
		}
	}
	return engines
}

func longTestPrompt() *burdockyard.Prompt {
	return &burdockyard.Prompt{InputTokens: 17_000, MaxOutputTokens: 10, Parts: []burdockyard.PromptPart{{ID: 7, Tokens: 13_300}, {ID: 8, Tokens: 3_700}}}
}

// TestCheapestPairIsFound compares the plan for a long prompt with the cheapest one of
// all pairs of a prefill and a decode engine.
func TestCheapestPairIsFound(t *testing.T) {
	model := &burdockyard.ModelSpec{Slots: 6, KVCapacityTokens: 300_000, KVTokenBytes: 131072, LinkMbps: 200_000}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 9))
		tracker := NewLoadTracker(burdockyard.SystemClock{})
		engines := randomEngines(rng, tracker, 8+rng.IntN(40))
		tracker.RecordPrefill(engines[rng.IntN(len(engines))].ID, longTestPrompt())
		var prefillEngines, decodeEngines []endpointLoad
		for _, e := range engines {
			load := tracker.endpointLoad(e)
			load.cachedTokens = load.cache.cachedTokens(longTestPrompt())
			if e.Role == burdockyard.RolePrefill {
				prefillEngines = append(prefillEngines, load)
			} else {
				decodeEngines = append(decodeEngines, load)
			}
		}
		req := PlacementRequest{Prompt: longTestPrompt(), Model: model, Domain: "d0", fixedLatency: 20 * time.Millisecond, meanStreamTime: 300 * time.Millisecond}
		req.prefixSources = append(append(req.prefixSources, prefillEngines...), decodeEngines...)
		cheapest := time.Duration(0)
		for _, p := range prefillEngines {
			for _, d := range decodeEngines {
				if plan, ok := req.bestDisaggregated([]endpointLoad{p}, []endpointLoad{d}); ok && (cheapest == 0 || plan.cost < cheapest) {
					cheapest = plan.cost
				}
			}
		}
		req.prefixSources = withCachedTokens(prefillEngines, decodeEngines)
		plan, ok := req.bestDisaggregated(prefillEngines, decodeEngines)
		// A single prefill engine is always the home of the prompt, so that its plan may be
		// cheaper by the bonus for that.
		slack := time.Duration(homeEngineBonus * float64(basePrefillTime(17_000, 0)))
		if !ok || plan.cost < cheapest || plan.cost > cheapest+slack {
			t.Fatalf("seed %d: the plan costs %v, the cheapest pair %v", seed, plan.cost, cheapest)
		}
	}
}

// TestPlanTimeGrowsWithEngines checks that the time to place a long prompt grows with the
// number of engines, as with a fleet of thousands of them, and not with its square.
func TestPlanTimeGrowsWithEngines(t *testing.T) {
	model := &burdockyard.ModelSpec{Slots: 6, KVCapacityTokens: 300_000, KVTokenBytes: 131072, LinkMbps: 200_000}
	fastest := func(n int) time.Duration {
		tracker := NewLoadTracker(burdockyard.SystemClock{})
		engines := randomEngines(rand.New(rand.NewPCG(1, 1)), tracker, n)
		best := time.Duration(0)
		for range 10 {
			start := time.Now()
			if _, ok := tracker.PlanPrompt(PlacementRequest{Prompt: longTestPrompt(), Model: model, Domain: "d0", Nodes: 300}, engines); !ok {
				t.Fatal("no plan")
			}
			if d := time.Since(start); best == 0 || d < best {
				best = d
			}
		}
		return best
	}
	small, large := fastest(300), fastest(3000)
	t.Logf("300 engines: %v, 3000 engines: %v", small, large)
	if large > 30*small {
		t.Errorf("a plan takes %v with 3000 engines and %v with 300, want at most 30 times as long", large, small)
	}
}
