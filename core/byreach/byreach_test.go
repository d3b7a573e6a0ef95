package byreach_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockyard"
	"burdockyard/core/byreach"
)

// testClock is a clock that a test sets.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func endpoint(i int) burdockyard.EndpointID { return burdockyard.EndpointID(fmt.Sprint("e", i)) }

// TestCutOffNeedsOwnFailuresAndWitness guards against a node that blames the endpoints for
// its own links, and against one that withdraws because some or all endpoints have failed.
func TestCutOffNeedsOwnFailuresAndWitness(t *testing.T) {
	reaching, losing := byreach.Peer{Reached: []string{"app"}}, byreach.Peer{Lost: []string{"app"}}
	many := func(p byreach.Peer, n int) []byreach.Peer { return slices.Repeat([]byreach.Peer{p}, n) }
	for _, tt := range []struct {
		name                      string
		endpoints, contact, fails int
		quiet                     time.Duration // from the contacts to the failures
		peers                     []byreach.Peer
		lost, cutOff              bool
	}{
		{"fleet of 9, all fail, peers reach", 5, 1, 4, time.Second, many(reaching, 8), true, true},
		{"4 of 7 nodes are cut off", 5, 0, 4, 0, append(many(reaching, 3), many(losing, 3)...), true, true},
		{"200 of 295 nodes are cut off", 40, 0, 6, 0, append(many(reaching, 95), many(losing, 199)...), true, true},
		{"nobody reaches them", 5, 0, 5, 0, many(losing, 6), true, false},
		{"no peers", 5, 0, 5, 0, nil, true, false},
		{"peers reach another service", 5, 0, 5, 0, []byreach.Peer{{Reached: []string{"llm"}}}, true, false},
		{"one of two endpoints fails", 2, 1, 1, 0, many(reaching, 6), false, false},
		{"half of the endpoints fail", 8, 4, 4, 500 * time.Millisecond, many(reaching, 6), false, false},
		{"two of three endpoints crash, the third answers", 3, 1, 2, 100 * time.Millisecond, many(reaching, 6), false, false},
		{"two thirds of the tried endpoints fail, the others are silent", 9, 2, 4, 500 * time.Millisecond, many(reaching, 6), true, true},
		{"a single failure of many endpoints", 9, 0, 1, 0, many(reaching, 6), false, false},
		{"the only endpoint fails", 1, 0, 1, 0, many(reaching, 6), true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := &testClock{time.Unix(1000, 0)}
			r := byreach.New(clock)
			for i := range tt.contact {
				r.RecordContact("app", endpoint(i))
			}
			clock.now = clock.now.Add(tt.quiet)
			for i := range tt.fails {
				r.RecordFailure("app", endpoint(tt.contact+i), tt.endpoints)
			}
			if got := r.IsLost("app"); got != tt.lost {
				t.Errorf("IsLost returned %v, want %v", got, tt.lost)
			}
			if got := r.IsCutOff("app", tt.peers); got != tt.cutOff {
				t.Errorf("IsCutOff returned %v, want %v", got, tt.cutOff)
			}
			if r.IsLost("llm") {
				t.Error("a service that was not tried counts as lost")
			}
		})
	}
}

// TestFailuresOverTimeDoNotAddUp guards against endpoints that crash one after the other,
// as in a release, being taken for a lost link.
func TestFailuresOverTimeDoNotAddUp(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	r := byreach.New(clock)
	for i := range 20 {
		r.RecordFailure("app", endpoint(i), 20)
		clock.now = clock.now.Add(1100 * time.Millisecond)
	}
	if r.IsLost("app") {
		t.Error("single failures, more than a second apart, count as a lost link")
	}
}

// TestProbesFindCutAndRecovery checks that requests which hang lead to probes, that
// responses on old connections do not end a cut, and that new connections do at once.
func TestProbesFindCutAndRecovery(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	r := byreach.New(clock)
	r.RecordContact("app", "e1")
	defer r.BeginWait("app")()
	if clock.now = clock.now.Add(time.Second); r.ProbesDue("app", 5) != 0 {
		t.Error("a single slow request is probed for")
	}
	defer r.BeginWait("app")()
	due := r.ProbesDue("app", 5)
	r.RecordProbe("app", endpoint(0), false, 5)
	clock.now = clock.now.Add(300 * time.Millisecond)
	dueNext := r.ProbesDue("app", 5)
	for i := range dueNext {
		r.RecordProbe("app", endpoint(1+i), false, 5)
	}
	if due != 1 || dueNext < 2 || !r.IsLost("app") {
		t.Fatalf("%d and then %d probes were due and failed, lost is %v; want 1, at least 2 and true", due, dueNext, r.IsLost("app"))
	}
	r.RecordContact("app", "e1")
	r.RecordContact("app", "e2")
	if !r.IsLost("app") {
		t.Error("responses on old connections have ended the cut")
	}
	for range 8 {
		clock.now = clock.now.Add(300 * time.Millisecond)
		if due := r.ProbesDue("app", 5); due != 1 {
			t.Errorf("%d probes are due during the cut, want 1 in each 300 ms", due)
		}
		r.RecordProbe("app", "e3", false, 5)
	}
	clock.now = clock.now.Add(300 * time.Millisecond)
	healed := clock.now
	for i := 0; r.IsLost("app"); i++ {
		for range r.ProbesDue("app", 5) {
			r.RecordProbe("app", endpoint(i), true, 5)
		}
		if clock.now = clock.now.Add(100 * time.Millisecond); clock.now.Sub(healed) > 2*time.Second {
			t.Fatal("the links still count as lost 2 s after they are back")
		}
	}
}

// TestCallersAreDirectedToNodesThatReach guards against directories that name nodes which
// are cut off, or that name nobody.
func TestCallersAreDirectedToNodesThatReach(t *testing.T) {
	reaching, cut := byreach.Peer{Reached: []string{"app", "llm"}}, byreach.Peer{Lost: []string{"app", "llm"}}
	partly, idle := byreach.Peer{Reached: []string{"llm"}, Lost: []string{"app"}}, byreach.Peer{}
	for _, tt := range []struct {
		name        string
		nodes, want []byreach.Peer
	}{
		{"all reach", []byreach.Peer{reaching, reaching, idle}, []byreach.Peer{reaching, reaching, idle}},
		{"some are cut off", []byreach.Peer{reaching, cut, partly, idle}, []byreach.Peer{reaching, idle}},
		{"all are cut off", []byreach.Peer{cut, cut}, []byreach.Peer{cut, cut}},
		{"nobody reaches one service", []byreach.Peer{partly, partly, cut}, []byreach.Peer{partly, partly}},
		{"each is cut off from another service", []byreach.Peer{partly, {Reached: []string{"app"}, Lost: []string{"llm"}}}, []byreach.Peer{partly, {Reached: []string{"app"}, Lost: []string{"llm"}}}},
	} {
		got := byreach.Directed(tt.nodes, func(p byreach.Peer) byreach.Peer { return p })
		if fmt.Sprint(got) != fmt.Sprint(tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestOutageOfEndpointsWithdrawsNobody checks, for any order of results, that no node counts
// as cut off while no peer states that it reaches the endpoints, and that a node whose
// attempts all succeed never counts as cut off.
func TestOutageOfEndpointsWithdrawsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &testClock{time.Unix(1000, 0)}
		const nodes, endpoints = 7, 9
		trackers := make([]*byreach.Tracker, nodes)
		cut := make([]bool, nodes)
		for i := range trackers {
			trackers[i] = byreach.New(clock)
			cut[i] = rapid.Bool().Draw(t, "cut")
		}
		down := rapid.Bool().Draw(t, "all endpoints are down")
		for range rapid.IntRange(1, 200).Draw(t, "attempts") {
			i, e := rapid.IntRange(0, nodes-1).Draw(t, "node"), endpoint(rapid.IntRange(0, endpoints-1).Draw(t, "endpoint"))
			failed := down || cut[i]
			if rapid.Bool().Draw(t, "probe") {
				trackers[i].RecordProbe("app", e, !failed, endpoints)
			} else if failed {
				trackers[i].RecordFailure("app", e, endpoints)
			} else {
				trackers[i].RecordContact("app", e)
			}
			clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			var statements []byreach.Peer
			for _, r := range trackers {
				reached, lost := r.Statements()
				statements = append(statements, byreach.Peer{Reached: reached, Lost: lost})
			}
			for n, r := range trackers {
				if r.IsCutOff("app", slices.Delete(slices.Clone(statements), n, n+1)) && (down || !cut[n]) {
					t.Fatalf("node %d counts as cut off; it is cut off: %v, endpoints are down: %v", n, cut[n], down)
				}
			}
			if len(byreach.Directed(statements, func(p byreach.Peer) byreach.Peer { return p })) == 0 {
				t.Fatal("callers are directed to nobody")
			}
		}
	})
}

// TestNodeThatCannotConnectIsNoWitness guards against requests being handed to a node whose
// new connections are refused while it still serves on old ones.
func TestNodeThatCannotConnectIsNoWitness(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	r := byreach.New(clock)
	for i := range 30 {
		r.RecordFailure("app", endpoint(i%3), 3)
		clock.now = clock.now.Add(20 * time.Millisecond)
		r.RecordContact("app", endpoint(i%3))
	}
	if reached, lost := r.Statements(); len(reached)+len(lost) != 0 || r.IsLost("app") {
		t.Errorf("the node states that it reaches %v and has lost %v; want neither", reached, lost)
	}
	clock.now = clock.now.Add(1100 * time.Millisecond)
	if reached, _ := r.Statements(); len(reached) != 1 {
		t.Errorf("the node states that it reaches %v, a second after the last failure; want the service", reached)
	}
}

// TestServiceWithoutEndpointsIsForgotten guards against nodes that count as cut off for good
// after the last endpoint of a service has gone, or the service itself.
func TestServiceWithoutEndpointsIsForgotten(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	r := byreach.New(clock)
	for _, name := range []string{"app", "llm"} {
		r.RecordContact(name, "e0")
	}
	clock.now = clock.now.Add(time.Second)
	for _, name := range []string{"app", "llm"} {
		r.RecordFailure(name, "e0", 1)
	}
	if r.ProbesDue("app", 0) != 0 || r.IsLost("app") {
		t.Error("the links to a service without endpoints count as lost")
	}
	r.Keep([]string{"app"})
	if reached, lost := r.Statements(); len(reached)+len(lost) > 0 {
		t.Errorf("the node states %v and %v, want nothing", reached, lost)
	}
}

// TestIdleNodeProbesBeforeItIsWitness guards against an outage of the endpoints that takes
// nodes out because another one has not needed the endpoints for long.
func TestIdleNodeProbesBeforeItIsWitness(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	idle, busy := byreach.New(clock), byreach.New(clock)
	idle.RecordContact("app", "e0")
	clock.now = clock.now.Add(time.Minute)
	busy.RecordContact("app", "e0")
	for name, r := range map[string]*byreach.Tracker{"idle": idle, "busy": busy} {
		r.Doubt("app")
		if reached, _ := r.Statements(); (len(reached) == 1) != (name == "busy") {
			t.Errorf("the %s node states that it reaches %v", name, reached)
		}
	}
	if due := idle.ProbesDue("app", 1); due != 1 {
		t.Fatalf("%d probes are due on the idle node, want 1", due)
	}
	idle.RecordProbe("app", "e0", true, 1)
	if reached, _ := idle.Statements(); len(reached) != 1 {
		t.Error("after a probe that succeeds, the idle node is no witness")
	}
	clock.now = clock.now.Add(time.Minute)
	idle.Doubt("app")
	idle.RecordProbe("app", "e0", false, 1)
	if _, lost := idle.Statements(); len(lost) != 1 {
		t.Error("after a probe that fails, the idle node has not lost the only endpoint")
	}
}

// TestDeadEndpointsDoNotKeepNodeOut guards against nodes that stay cut off while they serve,
// because most endpoints have ended.
func TestDeadEndpointsDoNotKeepNodeOut(t *testing.T) {
	for dead := range 6 {
		clock := &testClock{time.Unix(1000, 0)}
		r := byreach.New(clock)
		for i := range max(dead, 2) { // a moment in which no request gets through
			r.RecordFailure("app", endpoint(i), 6)
		}
		next, lostFor := 0, time.Duration(0)
		for range 200 {
			clock.now = clock.now.Add(50 * time.Millisecond)
			for range r.ProbesDue("app", 6) {
				next = (next + 1) % 6
				r.RecordProbe("app", endpoint(next), next >= dead, 6)
			}
			if r.IsLost("app") {
				lostFor += 50 * time.Millisecond
			}
		}
		if lostFor > 3*time.Second {
			t.Errorf("with %d of 6 endpoints dead, the node counts as cut off for %v of 10 s, want 3 s at most", dead, lostFor)
		}
	}
}

// TestReturningNodeIsWitnessAtOnce guards against nodes whose links are back and that get no
// requests from those that are still cut off, because of failures from before.
func TestReturningNodeIsWitnessAtOnce(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	r := byreach.New(clock)
	for i := range 3 {
		r.RecordFailure("app", endpoint(i), 3)
	}
	for i := range 2 {
		clock.now = clock.now.Add(100 * time.Millisecond)
		r.RecordProbe("app", endpoint(i), true, 3)
	}
	if reached, lost := r.Statements(); len(reached) != 1 || len(lost) != 0 {
		t.Errorf("the node states that it reaches %v and has lost %v, want app and nothing", reached, lost)
	}
}
