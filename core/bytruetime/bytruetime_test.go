package bytruetime_test

import (
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/bytruetime"
)

type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

// TestStepOfOneClockMovesNothing lets the clock of one VM step, before or after the process
// has started, at the node itself and at a peer.
func TestStepOfOneClockMovesNothing(t *testing.T) {
	truth := time.Unix(1_700_000_000, 0)
	for _, tt := range []struct {
		name            string
		start           time.Duration // error of the node's clock when it starts
		own, peer, late time.Duration // errors of the wall clocks, and wait of the second peer's message
	}{
		{name: "all right"},
		{name: "own step ahead", own: 4 * time.Second},
		{name: "own step back", own: -4 * time.Second},
		{name: "peer ahead", peer: 4 * time.Second},
		{name: "peer back", peer: -time.Hour},
		{name: "own clock wrong at start", start: -3 * time.Second, own: -3 * time.Second},
		{name: "late message", start: 5 * time.Second, late: 3 * time.Second},
	} {
		clock := &fixedClock{truth.Add(tt.start)}
		e := bytruetime.New(clock, "self")
		e.Observe("a", truth.Add(tt.peer).UnixMilli(), 0)
		e.Observe("b", truth.UnixMilli(), 0)
		clock.now = clock.now.Add(3 * time.Second)
		now := truth.Add(3 * time.Second)
		e.Observe("b", now.Add(-tt.late).UnixMilli(), tt.late)
		e.ObserveOwn(now.Add(tt.own))
		if got := e.Now().Sub(now); got != 0 {
			t.Errorf("%s: the estimate is off by %v", tt.name, got)
		}
	}
}

// TestOldStatementsDoNotCount checks that clocks of VMs that have stopped lose their vote.
func TestOldStatementsDoNotCount(t *testing.T) {
	truth := time.Unix(1_700_000_000, 0)
	clock := &fixedClock{truth}
	e := bytruetime.New(clock, "self")
	for _, id := range []burdockyard.NodeID{"a", "b", "c"} {
		e.Observe(id, truth.Add(time.Minute).UnixMilli(), 0)
	}
	clock.now = truth.Add(20 * time.Second)
	e.ObserveOwn(clock.now)
	if got := e.Now().Sub(clock.now); got != 0 {
		t.Errorf("the estimate is off by %v", got)
	}
}
