package byplace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/bymember"
	"burdockyard/core/byplace"
)

var model = &burdockyard.ModelSpec{Slots: 12, KVCapacityTokens: 360_000, KVTokenBytes: 131072, LinkMbps: 740_000}

func newEngine(id, domain string, role burdockyard.Role) byfleet.Endpoint {
	return byfleet.Endpoint{Instance: burdockyard.Instance{ID: burdockyard.EndpointID(id), Addr: id, Domain: domain, Role: role, Slots: 12}}
}

// newEngines returns prefill engines p0, p1, … and decode engines d0, d1, …,
// distributed over three failure domains.
func newEngines(prefillEngines, decodeEngines int) []byfleet.Endpoint {
	var all []byfleet.Endpoint
	for i := range prefillEngines {
		all = append(all, newEngine(fmt.Sprintf("p%d", i), string(rune('a'+i%3)), burdockyard.RolePrefill))
	}
	for i := range decodeEngines {
		all = append(all, newEngine(fmt.Sprintf("d%d", i), string(rune('a'+i%3)), burdockyard.RoleDecode))
	}
	return all
}

func prompt(shared uint64, sharedTokens, own int) *burdockyard.Prompt {
	return &burdockyard.Prompt{InputTokens: sharedTokens + own, MaxOutputTokens: 100, Parts: []burdockyard.PromptPart{
		{ID: shared, Tokens: sharedTokens}, {ID: rand.Uint64(), Tokens: own}}}
}

func placementRequest(p *burdockyard.Prompt) byplace.PlacementRequest {
	return byplace.PlacementRequest{Prompt: p, Model: model, Domain: "a"}
}

func plan(t *testing.T, tracker *byplace.LoadTracker, p *burdockyard.Prompt, engines []byfleet.Endpoint) byplace.Plan {
	t.Helper()
	pl, ok := tracker.PlanPrompt(placementRequest(p), engines)
	if !ok {
		t.Fatal("PlanPrompt returned no plan for a service with decode engines")
	}
	return pl
}

// TestBackupIsInAnotherDomain checks which engine gets the copies of a run.
func TestBackupIsInAnotherDomain(t *testing.T) {
	tracker := byplace.NewLoadTracker(burdockyard.SystemClock{})
	engines := newEngines(2, 6) // d0 and d3 are in domain a, d1 and d4 in b, d2 and d5 in c
	for _, id := range []burdockyard.EndpointID{"d1", "d2", "d5"} {
		tracker.Begin(id, byplace.Work{Streams: 1})
	}
	if got, ok := tracker.PlanBackup(newEngine("d0", "a", burdockyard.RoleDecode), engines); !ok || got.ID != "d4" {
		t.Errorf("backup of d0 is %s, want d4, the idle decode engine of another failure domain", got.ID)
	}
	if got, ok := tracker.PlanBackup(newEngine("d0", "a", burdockyard.RoleDecode), engines[:2]); ok {
		t.Errorf("backup of d0 is %s, want none among prefill engines", got.ID)
	}
	near := []byfleet.Endpoint{newEngine("d0", "a", burdockyard.RoleDecode), newEngine("d3", "a", burdockyard.RoleDecode)}
	if got, ok := tracker.PlanBackup(near[0], near); !ok || got.ID != "d3" {
		t.Errorf("backup of d0 is %s, want d3, the only other engine", got.ID)
	}
}

func TestLongPromptUsesPrefillEngine(t *testing.T) {
	tracker := byplace.NewLoadTracker(burdockyard.SystemClock{})
	if pl := plan(t, tracker, prompt(1, 13_300, 3_700), newEngines(2, 4)); pl.PrefillEngine == nil {
		t.Errorf("long prompt is prefilled at decode engine %s, want a prefill engine", pl.DecodeEngine.ID)
	}
	if pl := plan(t, tracker, prompt(2, 90, 290), newEngines(2, 4)); pl.PrefillEngine != nil {
		t.Errorf("short prompt is prefilled at prefill engine %s, want only a decode engine", pl.PrefillEngine.ID)
	}
	if pl := plan(t, tracker, prompt(1, 13_300, 3_700), newEngines(0, 4)); pl.PrefillEngine != nil {
		t.Error("plan names a prefill engine, want none in a service without prefill engines")
	}
	if _, ok := tracker.PlanPrompt(placementRequest(prompt(1, 10, 10)), newEngines(3, 0)); ok {
		t.Error("PlanPrompt returned a plan, want none without decode engines")
	}
}

// TestLongPromptBurstSpreadsOverEngines sends long prompts faster than the prefill
// engines can process them. They must spread over all prefill engines and then over
// decode engines, so that none queues behind many others while another engine is free.
func TestLongPromptBurstSpreadsOverEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := byplace.NewLoadTracker(burdockyard.SystemClock{})
		prefillCounts, decodeOnly := map[burdockyard.EndpointID]int{}, 0
		for i := range 40 {
			pl := plan(t, tracker, prompt(uint64(i), 13_300, 3_700), newEngines(4, 10))
			if pl.PrefillEngine == nil {
				decodeOnly++
				tracker.Begin(pl.DecodeEngine.ID, byplace.Work{PrefillTime: pl.PrefillTime, Streams: 1})
				continue
			}
			prefillCounts[pl.PrefillEngine.ID]++
			tracker.Begin(pl.PrefillEngine.ID, byplace.Work{PrefillTime: pl.PrefillTime})
		}
		for id, n := range prefillCounts {
			if n > 10 {
				t.Errorf("%s prefills %d of 40 prompts, want at most 10", id, n)
			}
		}
		if len(prefillCounts) < 4 || decodeOnly < 5 {
			t.Errorf("prompts per prefill engine: %v, want all 4 engines in use; prompts prefilled at decode engines: %d, want at least 5", prefillCounts, decodeOnly)
		}
	})
}

// TestCachedPartIsFetchedFromBusyEngine plans a prompt whose shared part is cached at a
// busy engine. Another engine must fetch the part instead of recomputing it.
func TestCachedPartIsFetchedFromBusyEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := byplace.NewLoadTracker(burdockyard.SystemClock{})
		engines := newEngines(2, 4)
		first := prompt(7, 13_300, 3_700)
		tracker.RecordPrefill("p0", first)
		if pl := plan(t, tracker, prompt(7, 13_300, 3_700), engines); pl.PrefillEngine == nil || pl.PrefillEngine.ID != "p0" || pl.CachedTokens < 13_300 {
			t.Errorf("plan is %+v, want prefill at idle engine p0, which has the part cached", pl)
		}
		tracker.Begin("p0", byplace.Work{PrefillTime: time.Second})
		pl := plan(t, tracker, prompt(7, 13_300, 3_700), engines)
		if pl.PrefixSource != "p0" || pl.CachedTokens < 13_300 {
			t.Errorf("plan is %+v, want the part fetched from busy engine p0", pl)
		}
	})
}

// TestPeerLoadCountsUntilItExpires checks that the work that a peer reports counts like
// this node's own, until the report expires because the peer sends no more.
func TestPeerLoadCountsUntilItExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := byplace.NewLoadTracker(burdockyard.SystemClock{})
		engines := newEngines(2, 4)
		tracker.RecordPeerLoad("n2", []bymember.Load{{Engine: "p0", PrefillTokens: 93_000}}, nil)
		for i := range 5 {
			if pl := plan(t, tracker, prompt(uint64(i), 13_300, 100), engines); pl.PrefillEngine == nil || pl.PrefillEngine.ID != "p1" {
				t.Errorf("plan of prompt %d is %+v, want prefill at p1 because a peer occupies p0", i, pl)
			}
		}
		time.Sleep(2 * time.Second)
		prefillIDs := map[burdockyard.EndpointID]bool{}
		for i := range 40 {
			if pl := plan(t, tracker, prompt(uint64(i), 13_300, 100), engines); pl.PrefillEngine != nil {
				prefillIDs[pl.PrefillEngine.ID] = true
			}
		}
		if !prefillIDs["p0"] {
			t.Error("p0 prefills none of 40 prompts, want some after the report of the silent peer has expired")
		}
	})
}

// TestManyNodesSpreadShortPrompts guards against many nodes selecting the same engine
// for their short prompts because all of them act on the same outdated reports.
func TestManyNodesSpreadShortPrompts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	engines := newEngines(0, 30)
	selected := map[burdockyard.EndpointID]int{}
	for range 80 {
		tracker := byplace.NewLoadTracker(burdockyard.SystemClock{})
		tracker.RecordPeerLoad("n", []bymember.Load{{Engine: "d1", Streams: 3}, {Engine: "d2", Streams: 9}}, nil)
		req := placementRequest(prompt(1, 90, 290))
		req.Nodes, req.RandIntN = 80, rng.IntN
		pl, ok := tracker.PlanPrompt(req, engines)
		if !ok {
			t.Fatal("PlanPrompt returned no plan for a service with decode engines")
		}
		selected[pl.DecodeEngine.ID]++
	}
	for id, n := range selected {
		if n > 12 {
			t.Errorf("%d of 80 nodes select %s, want at most 12", n, id)
		}
	}
	if selected["d2"] > 1 {
		t.Errorf("busy engine d2 is selected %d times, want at most 1", selected["d2"])
	}
}

// TestFixedLatencyIsNotSlowdown delays all answers by a fixed latency, which must not
// count as slowness of engines that prefill short prompts.
func TestFixedLatencyIsNotSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := byplace.NewLoadTracker(burdockyard.SystemClock{})
		for range 50 {
			attempt := tracker.Begin("p0", byplace.Work{PrefillTime: 30 * time.Millisecond})
			time.Sleep(112 * time.Millisecond)
			attempt.PrefillDone(112 * time.Millisecond)
			attempt.Done()
		}
		for range 50 {
			attempt := tracker.Begin("p1", byplace.Work{PrefillTime: 30 * time.Millisecond})
			time.Sleep(172 * time.Millisecond)
			attempt.PrefillDone(172 * time.Millisecond)
			attempt.Done()
		}
		normal := plan(t, tracker, prompt(1, 13_300, 3_700), []byfleet.Endpoint{newEngine("p0", "a", burdockyard.RolePrefill), newEngine("d0", "a", burdockyard.RoleDecode)})
		slow := plan(t, tracker, prompt(1, 13_300, 3_700), []byfleet.Endpoint{newEngine("p1", "a", burdockyard.RolePrefill), newEngine("d0", "a", burdockyard.RoleDecode)})
		if normal.PredictedTTFT > 450*time.Millisecond {
			t.Errorf("predicted time to the first event at an engine of typical speed is %v, want at most 450ms", normal.PredictedTTFT)
		}
		if slow.PredictedTTFT < normal.PredictedTTFT+100*time.Millisecond {
			t.Errorf("predicted time to the first event at an engine of a third of the speed is %v, want at least 100ms more than %v at a normal one", slow.PredictedTTFT, normal.PredictedTTFT)
		}
	})
}

// TestPlainServiceAvoidsFullEndpoint sends a burst of as many calls as a plain service
// has slots. No endpoint may get more calls than it has slots.
func TestPlainServiceAvoidsFullEndpoint(t *testing.T) {
	tracker := byplace.NewLoadTracker(burdockyard.SystemClock{})
	var endpoints []byfleet.Endpoint
	for _, id := range []string{"a", "b", "c"} {
		e := newEngine(id, id, "")
		e.Slots = 6
		endpoints = append(endpoints, e)
	}
	count := map[burdockyard.EndpointID]int{}
	for range 18 {
		e, ok := tracker.PlanCall("a", endpoints)
		if !ok {
			t.Fatal("PlanCall returned no endpoint for a service with three")
		}
		count[e.ID]++
		tracker.Begin(e.ID, byplace.Work{Streams: 1})
	}
	for id, n := range count {
		if n > 6 {
			t.Errorf("%s has %d calls, want at most its 6 slots", id, n)
		}
	}
	if _, ok := tracker.PlanCall("a", nil); ok {
		t.Error("PlanCall returned an endpoint, want none without endpoints")
	}
}

// TestHerdAfterRestart sends the burst of short prompts that arrives when all nodes
// restart at once and every caller reconnects. The batches are full for a moment, but
// prompts that wait for a slot must be predicted to start long before callers give up.
func TestHerdAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := byplace.NewLoadTracker(burdockyard.SystemClock{})
		engines := newEngines(2, 6)
		for i := range 120 {
			pl := plan(t, tracker, prompt(uint64(i), 90, 290), engines)
			if pl.PredictedTTFT > time.Second {
				t.Fatalf("predicted time to the first event of short prompt %d is %v, want at most 1s", i, pl.PredictedTTFT)
			}
			tracker.Begin(pl.DecodeEngine.ID, byplace.Work{Streams: 1})
		}
	})
}

// TestLongAnswersAreNotStalled plans long prompts that overflow to decode engines. The
// prefill must not stall the answer to another long prompt, whose caller has waited
// longest, unless the alternative stalls many short answers.
func TestLongAnswersAreNotStalled(t *testing.T) {
	tracker := byplace.NewLoadTracker(burdockyard.SystemClock{})
	engines := newEngines(0, 2)
	tracker.Begin("d0", byplace.Work{Streams: 1})
	tracker.Begin("d0", byplace.Work{Streams: 1})
	tracker.RecordPeerLoad("n2", []bymember.Load{{Engine: "d1", Streams: 1, LongPromptStreams: 1}}, nil)
	if pl := plan(t, tracker, prompt(1, 13_300, 3_700), engines); pl.DecodeEngine.ID != "d0" {
		t.Errorf("long prompt is prefilled at %s, want d0 because d1 runs the answer to a long prompt", pl.DecodeEngine.ID)
	}
	own := tracker.Begin("d0", byplace.Work{Streams: 1, HasLongPrompt: true})
	loads, _ := tracker.LocalLoads(true, true)
	if len(loads) != 1 || loads[0].Streams != 3 || loads[0].LongPromptStreams != 1 {
		t.Errorf("LocalLoads returned %+v, want one load with 3 streams, of which 1 answers a long prompt", loads)
	}
	own.Done()
	tracker.Begin("d0", byplace.Work{Streams: 9})
	if pl := plan(t, tracker, prompt(1, 13_300, 3_700), engines); pl.DecodeEngine.ID != "d1" {
		t.Errorf("long prompt is prefilled at %s, want d1 because d0 runs eleven short answers", pl.DecodeEngine.ID)
	}
}

// BenchmarkMeanWait measures how long MeanWait takes for both roles of a service of the
// size that the first specification names: 3,800 engines and 330 nodes, each with open
// work at 40 of the engines.
func BenchmarkMeanWait(b *testing.B) {
	tracker := byplace.NewLoadTracker(burdockyard.SystemClock{})
	engines := newEngines(1000, 2800)
	for n := range 330 {
		var loads []bymember.Load
		for i := range 40 {
			loads = append(loads, bymember.Load{Engine: engines[(n*40+i)%len(engines)].ID, PrefillTokens: 900, Streams: 2})
		}
		tracker.RecordPeerLoad(burdockyard.NodeID(fmt.Sprint("n", n)), loads, nil)
	}
	for b.Loop() {
		tracker.MeanWait(engines, burdockyard.RolePrefill)
		tracker.MeanWait(engines, burdockyard.RoleDecode)
	}
}
