package byroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func threeEngines() []*bymanifest.Engine {
	s := bymanifest.Spec{Models: []bymanifest.ModelSpec{{Name: "m", Version: "1", PrefillRate: 24000, DecodeRate: 2400, MaxStreams: 32}}}
	for _, name := range []string{"a", "b", "c"} {
		s.Engines = append(s.Engines, bymanifest.EngineSpec{Name: name, Model: "m", Role: "mixed"})
	}
	return bymanifest.New(s, 1).Engines()
}

// TestSlotSharesAddUpToBatch checks that the nodes' shares of a batch add up to the
// batch.
func TestSlotSharesAddUpToBatch(t *testing.T) {
	for _, c := range []struct{ slots, nodes int }{{32, 1}, {32, 7}, {32, 8}, {32, 31}, {5, 9}} {
		slotsTaken := 0
		for i := range c.nodes {
			e := &engineState{idHash: 12345, peers: bymember.Load{Streams: c.slots}}
			for e.hasSlot(NodePosition{Index: i, Nodes: c.nodes}, c.slots) {
				e.local.Streams++
				slotsTaken++
			}
		}
		if slotsTaken != c.slots {
			t.Errorf("a batch of %d slots among %d nodes: %d slots taken, want all", c.slots, c.nodes, slotsTaken)
		}
	}
}

// TestBusyNodeExceedsItsShare checks that a node whose peers have no calls can fill
// half of a batch, step by step with each report of its peers.
func TestBusyNodeExceedsItsShare(t *testing.T) {
	e := &engineState{}
	position := NodePosition{Nodes: 8}
	for range 20 {
		e.localAtUpdate = e.local
		for e.hasSlot(position, 32) {
			e.local.Streams++
		}
	}
	if e.local.Streams != 16 {
		t.Errorf("node took %d slots, want 16", e.local.Streams)
	}
}

// TestSlotsInLargeFleet checks that a node among 330 finds free slots at 3,800
// engines whose batches are more than half full.
func TestSlotsInLargeFleet(t *testing.T) {
	s := bymanifest.Spec{Models: []bymanifest.ModelSpec{{Name: "m", Version: "1", PrefillRate: 24000, DecodeRate: 2400, MaxStreams: 32}}}
	peers := map[burdockyard.EndpointID]bymember.Load{}
	for i := range 3800 {
		name := fmt.Sprintf("engine-%d", i)
		s.Engines = append(s.Engines, bymanifest.EngineSpec{Name: name, Model: "m", Role: "mixed"})
		peers[burdockyard.EndpointID(name)] = bymember.Load{Streams: 24}
	}
	engines := bymanifest.New(s, 1).Engines()
	r := New(WithRand(rand.New(rand.NewPCG(1, 1))))
	r.UpdatePeers(peers, NodePosition{Index: 100, Nodes: 330}, startTime)
	for i := range 60 {
		c, ok := r.Pick(engines, Work{PromptTokens: 300}, nil, startTime)
		if !ok || !c.HasSlot {
			t.Fatalf("call %d got no engine with a free slot", i)
		}
		r.Start(c, Work{PromptTokens: 300}, startTime)
	}
}

// feedTokens has each engine produce n tokens of one call with the given gaps. It
// then calls UpdatePeers and returns the time of the last token of the last engine.
func feedTokens(r *Router, engines []*bymanifest.Engine, n int, gap func(engine, token int) time.Duration) time.Time {
	end := startTime
	for i, e := range engines {
		call := r.Start(Choice{Engine: e}, Work{}, startTime)
		now := startTime
		for k := range n {
			now = now.Add(gap(i, k))
			call.RecordToken(now)
		}
		call.End()
		end = now
	}
	r.UpdatePeers(nil, NodePosition{Nodes: 1}, end)
	return end
}

func TestStragglerDetection(t *testing.T) {
	const usual, slow = 8 * time.Millisecond, 40 * time.Millisecond
	for _, c := range []struct {
		name string
		gap  func(engine, token int) time.Duration
		want int
	}{
		{"all engines at the same speed", func(int, int) time.Duration { return usual }, 0},
		{"all engines slow in a burst", func(int, int) time.Duration { return slow }, 0},
		{"one engine slow", func(e, _ int) time.Duration {
			if e == 2 {
				return slow
			}
			return usual
		}, 1},
		{"one engine with long prompts between its tokens", func(e, k int) time.Duration {
			if e == 2 && k%4 != 0 {
				return slow
			}
			return usual
		}, 0},
	} {
		r := New()
		feedTokens(r, threeEngines(), 60, c.gap)
		if got := r.SlowEngines(); len(got) != c.want {
			t.Errorf("%s: unexpected number of slow engines: %v", c.name, got)
		}
	}
}

// TestProbeRestoresRecoveredEngine checks that a slow engine without calls is
// probed, and that it no longer counts as slow after the first token at the usual
// speed.
func TestProbeRestoresRecoveredEngine(t *testing.T) {
	engines := threeEngines()
	r := New()
	now := feedTokens(r, engines, 60, func(e, _ int) time.Duration {
		if e == 2 {
			return 40 * time.Millisecond
		}
		return 8 * time.Millisecond
	})
	startCalls := func(id burdockyard.EndpointID, n int) {
		for range n {
			e, _ := engineByID(engines, id)
			r.Start(Choice{Engine: e}, Work{PromptTokens: 300}, now)
		}
	}
	startCalls("a", 3)
	startCalls("b", 3)
	now = now.Add(probeInterval)
	c, ok := r.Pick(engines, Work{PromptTokens: 300}, nil, now)
	if !ok || c.Engine.ID() != "c" {
		t.Fatalf("call went to engine %v, want the slow engine c to be probed", c.Engine.ID())
	}
	call := r.Start(c, Work{}, now)
	call.RecordToken(now.Add(time.Millisecond))
	call.RecordToken(now.Add(6 * time.Millisecond))
	r.UpdatePeers(nil, NodePosition{Nodes: 1}, now.Add(10*time.Millisecond))
	if got := r.SlowEngines(); len(got) != 0 {
		t.Errorf("slow engines after a fast probe are %v, want none", got)
	}
}

func engineByID(engines []*bymanifest.Engine, id burdockyard.EndpointID) (*bymanifest.Engine, bool) {
	for _, e := range engines {
		if e.ID() == id {
			return e, true
		}
	}
	return nil, false
}
