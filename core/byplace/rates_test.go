package byplace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/bymember"
)

// ratedEngine is what a kind of engine takes for a prefill.
type ratedEngine struct {
	tokensPerMS, msPerMillionPairs float64
	latency                        time.Duration
}

func (r ratedEngine) prefillTime(total, cached int) time.Duration {
	uncached := float64(total - cached)
	pairs := uncached * (float64(cached) + uncached/2) / 1e6
	return prefillSetup + time.Duration((uncached/r.tokensPerMS+pairs*r.msPerMillionPairs)*float64(time.Millisecond))
}

// measurePrefills records n prefills, each at an engine of its own, as in a large fleet where a
// node hardly ever has an engine to itself twice. A fifth of them take much longer, as
// beside a neighbor or when the beginning was no longer cached. The sizes are spread as
// those of dossiers are.
func (r ratedEngine) measurePrefills(tracker *LoadTracker, n int) {
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range n {
		e := kindEngine(fmt.Sprint("measured", i), burdockyard.RolePrefill, "v1")
		tracker.endpointLoad(e)
		short := tracker.Begin(e.ID, Work{PrefillTime: prefillSetup, Tokens: 100})
		short.PrefillDone(r.latency + r.prefillTime(100, 0))
		short.Done()
		shared := int(10_400 * math.Exp(0.7*rng.NormFloat64()))
		total, cached := shared+int(2000*math.Exp(1.1*rng.NormFloat64())), 0
		if rng.IntN(2) == 0 {
			cached = shared
		}
		w := Plan{PrefillTime: tracker.endpointLoad(e).rates.prefillTime(total, cached), CachedTokens: cached}.PrefillWork(&burdockyard.Prompt{InputTokens: total})
		took := float64(r.prefillTime(total, cached)) * (0.95 + 0.1*rng.Float64())
		if i%5 == 4 {
			took *= 2.5
		}
		attempt := tracker.Begin(e.ID, w)
		attempt.PrefillDone(r.latency + time.Duration(took))
		attempt.Done()
	}
}

func kindEngine(id string, role burdockyard.Role, version string) byfleet.Endpoint {
	return byfleet.Endpoint{Instance: burdockyard.Instance{ID: burdockyard.EndpointID(id), Service: "llm", Addr: id, Domain: "a", Role: role, Version: version, Slots: 12}}
}

// TestRatesAreLearnedPerKind answers services whose engines prefill at other rates than
// the typical ones, with many more engines than a node measures: the times of engines that were never
// measured must be predicted from the others of their kind.
func TestRatesAreLearnedPerKind(t *testing.T) {
	sizes := []prefillSize{{17_000, 13_300}, {17_000, 0}, {40_000, 13_300}, {4_000, 0}}
	for _, tc := range []struct {
		name        string
		engine      ratedEngine
		measured    int
		wantTypical bool
	}{
		{"less than half the speed", ratedEngine{37.9, 0.248, 30 * time.Millisecond}, 30, false},
		{"two thirds of the speed", ratedEngine{62.4, 0.442, 30 * time.Millisecond}, 30, false},
		{"faster, with dear attention", ratedEngine{180, 0.9, 10 * time.Millisecond}, 30, false},
		{"typical", ratedEngine{typicalTokensPerMS, msPerMillionPairs, 30 * time.Millisecond}, 60, true},
		{"too few measurements", ratedEngine{37.9, 0.248, 30 * time.Millisecond}, minRateSamples - 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tracker := NewLoadTracker(burdockyard.SystemClock{})
			tc.engine.measurePrefills(tracker, tc.measured)
			for _, e := range []byfleet.Endpoint{kindEngine("new", burdockyard.RolePrefill, "v1"), kindEngine("newer", burdockyard.RolePrefill, "v2"), kindEngine("decode", burdockyard.RoleDecode, "v1")} {
				rates := tracker.endpointLoad(e).rates
				if tc.wantTypical {
					if rates != typicalRates(e.Role) {
						t.Errorf("%s has rates %+v, want the typical ones", e.ID, rates)
					}
					continue
				}
				for _, s := range sizes {
					want := tc.engine.prefillTime(s.total, s.cached)
					if e.Role != burdockyard.RolePrefill {
						want = time.Duration(decodePrefillFactor * float64(want))
					}
					if got := rates.prefillTime(s.total, s.cached); math.Abs(float64(got-want)) > 0.25*float64(want) {
						t.Errorf("%s is predicted to take %v for %d tokens with %d cached, want %v within a quarter", e.ID, got, s.total, s.cached, want)
					}
				}
			}
		})
	}
}

// TestLearnedRatesKeepReportedLoads checks that nodes with and without learned rates
// understand each other's loads: the tokens that a typical engine prefills in the time.
func TestLearnedRatesKeepReportedLoads(t *testing.T) {
	slow := ratedEngine{37.9, 0.248, 30 * time.Millisecond}
	learned, fresh := NewLoadTracker(burdockyard.SystemClock{}), NewLoadTracker(burdockyard.SystemClock{})
	slow.measurePrefills(learned, 30)
	learned.LocalLoads(true, true)
	e := kindEngine("e", burdockyard.RolePrefill, "v1")
	for _, tracker := range []*LoadTracker{learned, fresh} {
		load := tracker.endpointLoad(e)
		tracker.Begin(e.ID, Plan{PrefillTime: load.rates.prefillTime(17_000, 13_300), CachedTokens: 13_300}.PrefillWork(&burdockyard.Prompt{InputTokens: 17_000}))
	}
	told, _ := learned.LocalLoads(true, true)
	untold, _ := fresh.LocalLoads(true, true)
	if len(told) != 1 || len(untold) != 1 || math.Abs(float64(told[0].PrefillTokens-untold[0].PrefillTokens)) > 2 {
		t.Fatalf("loads are %+v with learned rates and %+v without, want the same tokens", told, untold)
	}
	other := NewLoadTracker(burdockyard.SystemClock{})
	slow.measurePrefills(other, 30)
	other.RecordPeerLoad("peer", []bymember.Load{{Engine: e.ID, PrefillTokens: untold[0].PrefillTokens}}, nil)
	want := slow.prefillTime(17_000, 13_300)
	if got := other.endpointLoad(e).queueTime; math.Abs(float64(got-want)) > 0.25*float64(want) {
		t.Errorf("the load of a peer without learned rates counts as %v, want %v within a fifth", got, want)
	}
}
