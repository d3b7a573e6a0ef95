package bydigest_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/bydigest"
	"burdockyard/core/bymember"
	"burdockyard/core/byreach"
)

func heartbeat(node, domain string, loads ...bymember.Load) bymember.Heartbeat {
	return bymember.Heartbeat{Member: burdockyard.Member{Node: burdockyard.NodeID(node), Incarnation: "1"}, Domain: domain, Ready: true, Loads: loads}
}

func load(engine string, tokens, streams int) bymember.Load {
	return bymember.Load{Engine: burdockyard.EndpointID(engine), PrefillTokens: tokens, Streams: streams}
}

func expectLoads(t *testing.T, what string, got []bymember.Load, want ...bymember.Load) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: got loads %+v, want %+v", what, got, want)
	}
}

func TestDigestsHaveSums(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := bydigest.New(burdockyard.SystemClock{}, "a")
		a.RecordHeartbeat(heartbeat("n1", "a", load("e1", 100, 1), load("e2", 0, 2)))
		a.RecordHeartbeat(heartbeat("n2", "a", load("e1", 50, 3)))
		a.RecordHeartbeat(heartbeat("n9", "b", load("e1", 999, 9))) // part of the digest of b
		a.RecordDigest(bydigest.Digest{Domain: "b", Loads: []bymember.Load{load("e1", 7, 1), load("e3", 0, 4)}})
		same, others := a.Take(false)
		expectLoads(t, "for this domain", same.Digest.Loads, load("e1", 157, 5), load("e2", 0, 2), load("e3", 0, 4))
		expectLoads(t, "for other domains", others.Digest.Loads, load("e1", 150, 4), load("e2", 0, 2))
		if len(same.Heartbeats) != 3 || len(others.Heartbeats) != 2 {
			t.Errorf("%d heartbeats for this domain and %d for others, want 3 and 2", len(same.Heartbeats), len(others.Heartbeats))
		}

		a.RecordHeartbeat(heartbeat("n1", "a", load("e1", 0, 0)))
		same, others = a.Take(false)
		expectLoads(t, "after n1 has ended its work at e1", same.Digest.Loads, load("e1", 57, 4))
		expectLoads(t, "the same, for other domains", others.Digest.Loads, load("e1", 50, 3))
		if len(same.Heartbeats) != 0 {
			t.Errorf("%d heartbeats are passed on again at once, want 0", len(same.Heartbeats))
		}

		same, _ = a.Take(true)
		expectLoads(t, "a full digest", same.Digest.Loads, load("e1", 57, 4), load("e2", 0, 2), load("e3", 0, 4))
	})
}

// TestLoadOfSilentSourceExpires checks that the work of a lost node and of a domain
// that cannot be heard is reported as ended, also by digests that are not full.
func TestLoadOfSilentSourceExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := bydigest.New(burdockyard.SystemClock{}, "a")
		a.RecordHeartbeat(heartbeat("n1", "a", load("e1", 100, 1)))
		a.RecordDigest(bydigest.Digest{Domain: "b", Loads: []bymember.Load{load("e2", 7, 1)}})
		a.Take(false)
		time.Sleep(1400 * time.Millisecond)
		a.RecordHeartbeat(heartbeat("n2", "a", load("e1", 5, 1)))
		time.Sleep(200 * time.Millisecond)
		same, others := a.Take(false)
		expectLoads(t, "for this domain", same.Digest.Loads, load("e1", 5, 1), load("e2", 0, 0))
		expectLoads(t, "for other domains", others.Digest.Loads, load("e1", 5, 1))
	})
}

// TestWorkOfFormerProcessEnds checks that a restarted node does not keep the work of
// the process before it.
func TestWorkOfFormerProcessEnds(t *testing.T) {
	a := bydigest.New(burdockyard.SystemClock{}, "a")
	a.RecordHeartbeat(heartbeat("n1", "a", load("e1", 100, 1)))
	a.Take(false)
	restarted := heartbeat("n1", "a", load("e2", 1, 1))
	restarted.Member.Incarnation = "2"
	a.RecordHeartbeat(restarted)
	same, _ := a.Take(false)
	expectLoads(t, "after the restart", same.Digest.Loads, load("e1", 0, 0), load("e2", 1, 1))
}

// TestUnchangedHeartbeatIsReportedAsAlive checks what is passed on of a node: its
// heartbeat if it is news, and otherwise only that the node is alive.
func TestUnchangedHeartbeatIsReportedAsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := bydigest.New(burdockyard.SystemClock{}, "a")
		leaving := heartbeat("n1", "a")
		leaving.Leaving = true
		holding := leaving
		holding.HeldEngines = []burdockyard.EndpointID{"e1"}
		hash := bymember.Hash(leaving.Member)
		for _, step := range []struct {
			why        string
			after      time.Duration
			h          bymember.Heartbeat
			heartbeats int
			alive      []uint64
		}{
			{"the first one", 0, heartbeat("n1", "a"), 1, nil},
			{"100 ms later", 100 * time.Millisecond, heartbeat("n1", "a"), 0, nil},
			{"500 ms later", 400 * time.Millisecond, heartbeat("n1", "a"), 0, []uint64{hash}},
			{"the node leaves", 0, leaving, 1, nil},
			{"again at once", 0, leaving, 0, nil},
			{"an engine is on hold", 0, holding, 1, nil},
			{"the hold is renewed", 0, holding, 1, nil},
			{"6 s later", 6 * time.Second, leaving, 1, nil},
		} {
			time.Sleep(step.after)
			a.RecordHeartbeat(step.h)
			same, others := a.Take(false)
			if len(same.Heartbeats) != step.heartbeats || !slices.Equal(same.Alive, step.alive) {
				t.Errorf("%s: passed on %d heartbeats and alive nodes %v, want %d and %v", step.why, len(same.Heartbeats), same.Alive, step.heartbeats, step.alive)
			}
			if len(others.Heartbeats) != step.heartbeats || !slices.Equal(others.Alive, step.alive) {
				t.Errorf("%s: passed on to other domains %d heartbeats and alive nodes %v, want %d and %v", step.why, len(others.Heartbeats), others.Alive, step.heartbeats, step.alive)
			}
		}
	})
}

// TestJoiningNodeGetsAllHeartbeats checks that a node which joins need not wait for the
// next change of each other node.
func TestJoiningNodeGetsAllHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := bydigest.New(burdockyard.SystemClock{}, "a")
		a.RecordHeartbeat(heartbeat("n1", "a"))
		a.RecordHeartbeat(heartbeat("n9", "b"))
		a.Take(false)
		time.Sleep(1100 * time.Millisecond)
		a.RecordHeartbeat(heartbeat("n1", "a"))
		if same, _ := a.Take(false); len(same.Heartbeats) != 0 {
			t.Errorf("%d heartbeats are passed on again, want 0 before a node joins", len(same.Heartbeats))
		}
		a.RecordHeartbeat(heartbeat("n2", "a"))
		same, others := a.Take(false)
		if len(same.Heartbeats) != 3 || len(others.Heartbeats) != 2 {
			t.Errorf("%d heartbeats for this domain and %d for others, want 3 and 2", len(same.Heartbeats), len(others.Heartbeats))
		}
	})
}

// TestLostNodeIsNotReportedAsAlive checks that a relay believes another one only on
// nodes of that relay's domain.
func TestLostNodeIsNotReportedAsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := bydigest.New(burdockyard.SystemClock{}, "a")
		near, far := heartbeat("n1", "a"), heartbeat("n9", "b")
		a.RecordHeartbeat(near)
		a.RecordHeartbeat(far)
		a.Take(false)
		time.Sleep(time.Second)
		a.RecordAlive("n1", 0)
		a.RecordAlive("n9", 0)
		a.RecordAlive("unknown", 0)
		same, others := a.Take(false)
		if want := []uint64{bymember.Hash(far.Member)}; !slices.Equal(same.Alive, want) || len(others.Alive) != 0 {
			t.Errorf("reported as alive: %v, to other domains %v; want %v and none", same.Alive, others.Alive, want)
		}
	})
}

func TestRoundIntervalGrowsWithReceivers(t *testing.T) {
	for _, tt := range []struct {
		receivers int
		capacity  float64
		want      time.Duration
	}{
		{5, 0.8, 20 * time.Millisecond},
		{80, 0.8, 38 * time.Millisecond},
		{80, 0.2, 150 * time.Millisecond},
		{400, 0.1, 400 * time.Millisecond},
		{80, 0, 400 * time.Millisecond},
	} {
		if got := bydigest.RoundInterval(tt.receivers, tt.capacity); got.Round(time.Millisecond) != tt.want {
			t.Errorf("%d receivers, capacity %v: interval %v, want %v", tt.receivers, tt.capacity, got, tt.want)
		}
	}
}

func TestCandidateOrder(t *testing.T) {
	candidates := []bydigest.Candidate{{Node: "n1", Capacity: 0.2}, {Node: "n2", Capacity: 0.8}, {Node: "n3", Capacity: 0.2}}
	slices.SortFunc(candidates, bydigest.Compare)
	reordered := []bydigest.Candidate{candidates[2], candidates[0], candidates[1]}
	slices.SortFunc(reordered, bydigest.Compare)
	if candidates[0].Node != "n2" || !slices.Equal(candidates, reordered) {
		t.Errorf("got orders %v and %v, want the same one, with n2 first", candidates, reordered)
	}
}

// TestLossOfLinksIsPassedOnAtOnce guards against requests being sent to a node that has lost
// its links, and against a heartbeat for each doubt of a node.
func TestLossOfLinksIsPassedOnAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := bydigest.New(burdockyard.SystemClock{}, "a")
		for _, tt := range []struct {
			reach byreach.Peer
			want  int
		}{
			{byreach.Peer{Reached: []string{"s"}}, 1}, // a new node
			{byreach.Peer{}, 0},
			{byreach.Peer{Reached: []string{"s"}}, 0},
			{byreach.Peer{Lost: []string{"s"}}, 1},
			{byreach.Peer{Reached: []string{"s"}}, 1},
		} {
			hb := heartbeat("n1", "a")
			hb.Reach = tt.reach
			time.Sleep(1200 * time.Millisecond)
			a.RecordHeartbeat(hb)
			if same, _ := a.Take(false); len(same.Heartbeats) != tt.want {
				t.Errorf("%d heartbeats with %+v are passed on, want %d", len(same.Heartbeats), tt.reach, tt.want)
			}
		}
	})
}
