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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func threeEngines() []*bymanifest.Engine {
	s := bymanifest.Spec{Models: []bymanifest.ModelSpec{{Name: "m", Version: "1", PrefillRate: 24000, DecodeRate: 2400, MaxStreams: 32}}}
	for _, name := range []string{"a", "b", "c"} {
		s.Engines = append(s.Engines, bymanifest.EngineSpec{Name: name, Model: "m", Role: "mixed"})
	}
	return bymanifest.New(s, 1).Engines()
}

// TestSeats checks that the nodes' shares of a batch add up to the batch.
func TestSeats(t *testing.T) {
	for _, c := range []struct{ places, nodes int }{{32, 1}, {32, 7}, {32, 8}, {32, 31}, {5, 9}} {
		taken := 0
		for i := range c.nodes {
			e := &engine{hash: 12345, peers: bymember.Load{Streams: c.places}}
			for e.seat(Place{Index: i, Nodes: c.nodes}, c.places) {
				e.own.Streams++
				taken++
			}
		}
		if taken != c.places {
			t.Errorf("a batch of %d slots among %d nodes: %d slots taken, want all", c.places, c.nodes, taken)
		}
	}
}

// TestSeatsOfABusyNode checks that a node whose peers have no calls can fill half of
// a batch, step by step with each report of its peers.
func TestSeatsOfABusyNode(t *testing.T) {
	e := &engine{}
	place := Place{Nodes: 8}
	for range 20 {
		e.atTick = e.own
		for e.seat(place, 32) {
			e.own.Streams++
		}
	}
	if e.own.Streams != 16 {
		t.Errorf("node took %d slots, want 16", e.own.Streams)
	}
}

// TestSeatsAtSize checks that a node among 330 finds free slots at 3,800 engines
// whose batches are more than half full.
func TestSeatsAtSize(t *testing.T) {
	s := bymanifest.Spec{Models: []bymanifest.ModelSpec{{Name: "m", Version: "1", PrefillRate: 24000, DecodeRate: 2400, MaxStreams: 32}}}
	peers := map[burdockyard.EndpointID]bymember.Load{}
	for i := range 3800 {
		name := fmt.Sprintf("engine-%d", i)
		s.Engines = append(s.Engines, bymanifest.EngineSpec{Name: name, Model: "m", Role: "mixed"})
		peers[burdockyard.EndpointID(name)] = bymember.Load{Streams: 24}
	}
	engines := bymanifest.New(s, 1).Engines()
	r := New(WithRand(rand.New(rand.NewPCG(1, 1))))
	r.Tick(peers, Place{Index: 100, Nodes: 330}, start)
	for i := range 60 {
		c, ok := r.Pick(engines, Work{PromptTokens: 300}, nil, start)
		if !ok || !c.Seat {
			t.Fatalf("call %d got no engine with a free slot", i)
		}
		r.Start(c, Work{PromptTokens: 300}, start)
	}
}

// feed has each engine produce n tokens of one call with the given gaps. It then
// calls Tick and returns the time of the last token of the last engine.
func feed(r *Router, engines []*bymanifest.Engine, n int, distance func(engine, token int) time.Duration) time.Time {
	end := start
	for i, e := range engines {
		f := r.Start(Choice{Engine: e}, Work{}, start)
		now := start
		for k := range n {
			now = now.Add(distance(i, k))
			f.Token(now)
		}
		f.End()
		end = now
	}
	r.Tick(nil, Place{Nodes: 1}, end)
	return end
}

func TestStraggler(t *testing.T) {
	const usual, slow = 8 * time.Millisecond, 40 * time.Millisecond
	for _, c := range []struct {
		name     string
		distance func(engine, token int) time.Duration
		want     int
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
		feed(r, threeEngines(), 60, c.distance)
		if got := r.Slow(); len(got) != c.want {
			t.Errorf("%s: unexpected number of slow engines: %v", c.name, got)
		}
	}
}

// TestProbe checks that a slow engine without calls is probed, and that it no longer
// counts as slow after the first token at the usual speed.
func TestProbe(t *testing.T) {
	engines := threeEngines()
	r := New()
	now := feed(r, engines, 60, func(e, _ int) time.Duration {
		if e == 2 {
			return 40 * time.Millisecond
		}
		return 8 * time.Millisecond
	})
	busy := func(id burdockyard.EndpointID, n int) {
		for range n {
			e, _ := find(engines, id)
			r.Start(Choice{Engine: e}, Work{PromptTokens: 300}, now)
		}
	}
	busy("a", 3)
	busy("b", 3)
	now = now.Add(probeEvery)
	c, ok := r.Pick(engines, Work{PromptTokens: 300}, nil, now)
	if !ok || c.Engine.ID() != "c" {
		t.Fatalf("call went to engine %v, want the slow engine c to be probed", c.Engine.ID())
	}
	f := r.Start(c, Work{}, now)
	f.Token(now.Add(time.Millisecond))
	f.Token(now.Add(6 * time.Millisecond))
	r.Tick(nil, Place{Nodes: 1}, now.Add(10*time.Millisecond))
	if got := r.Slow(); len(got) != 0 {
		t.Errorf("slow engines after a fast probe are %v, want none", got)
	}
}

func find(engines []*bymanifest.Engine, id burdockyard.EndpointID) (*bymanifest.Engine, bool) {
	for _, e := range engines {
		if e.ID() == id {
			return e, true
		}
	}
	return nil, false
}
