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

// largeFleetModel is a model with links on which a fetch competes with a prefill.
var largeFleetModel = &burdockyard.ModelSpec{Slots: 6, KVCapacityTokens: 300_000, KVTokenBytes: 131072, LinkMbps: 200_000}

func longTestPrompt() *burdockyard.Prompt {
	return &burdockyard.Prompt{InputTokens: 17_000, MaxOutputTokens: 10, Parts: []burdockyard.PromptPart{{ID: 7, Tokens: 13_300}, {ID: 8, Tokens: 3_700}}}
}

// TestCheapestPairIsFound compares the plan for a long prompt with the cheapest one of
// all pairs of a prefill and a decode engine.
func TestCheapestPairIsFound(t *testing.T) {
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
		req := PlacementRequest{Prompt: longTestPrompt(), Model: largeFleetModel, Domain: "d0", fixedLatency: 20 * time.Millisecond, meanStreamTime: 300 * time.Millisecond}
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

// TestPlanComparesFewPairs checks how many engines a plan for a long prompt combines with
// each prefill engine in a fleet of 3,000: one decode engine of each failure domain, and
// only engines that have the prompt's parts cached. With all of them the time for a plan
// would grow with the square of the engines.
func TestPlanComparesFewPairs(t *testing.T) {
	tracker := NewLoadTracker(burdockyard.SystemClock{})
	engines := randomEngines(rand.New(rand.NewPCG(1, 1)), tracker, 3000)
	cachedAt := map[burdockyard.EndpointID]bool{"e4": true, "e9": true}
	for id := range cachedAt {
		tracker.RecordPrefill(id, longTestPrompt())
	}
	var loads []endpointLoad
	for _, e := range engines {
		load := tracker.endpointLoad(e)
		load.cachedTokens = load.cache.cachedTokens(longTestPrompt())
		loads = append(loads, load)
	}
	req := PlacementRequest{Prompt: longTestPrompt(), Model: largeFleetModel, Domain: "d0"}
	if got := len(req.cheapestPerDomain(loads)); got != 5 {
		t.Errorf("a prefill engine is combined with %d decode engines, want one for each of 5 domains", got)
	}
	sources := withCachedTokens(loads[:100], loads[100:])
	for _, s := range sources {
		if !cachedAt[s.endpoint.ID] {
			t.Errorf("engine %s counts as a source of cached tokens, want only engines that have some", s.endpoint.ID)
		}
	}
	if len(sources) != len(cachedAt) {
		t.Errorf("%d engines count as sources of cached tokens, want %d", len(sources), len(cachedAt))
	}
}

// BenchmarkPlanPrompt measures how long a plan for a long prompt takes.
func BenchmarkPlanPrompt(b *testing.B) {
	for _, n := range []int{300, 3000} {
		b.Run(fmt.Sprint(n, " engines"), func(b *testing.B) {
			tracker := NewLoadTracker(burdockyard.SystemClock{})
			engines := randomEngines(rand.New(rand.NewPCG(1, 1)), tracker, n)
			for b.Loop() {
				if _, ok := tracker.PlanPrompt(PlacementRequest{Prompt: longTestPrompt(), Model: largeFleetModel, Domain: "d0", Nodes: 300}, engines); !ok {
					b.Fatal("no plan")
				}
			}
		})
	}
}
