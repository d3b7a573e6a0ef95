package byroutes_test

import (
	"testing"
	"time"

	"burdockyard/core/byroutes"
)

// TestLagIsNoticedOnce guards against a node that goes by an old configuration unnoticed, and
// against one that reads the store again and again for a version that a restore has lost.
func TestLagIsNoticedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	const after = 500 * time.Millisecond
	var lag byroutes.Lag
	for _, step := range []struct {
		at       time.Duration
		hear     uint64 // 0: nothing
		own      uint64
		search   bool
		overdue  bool
		describe string
	}{
		{0, 5, 5, false, false, "peers go by the same version"},
		{100, 4, 5, false, false, "a peer is late"},
		{1000, 6, 5, false, false, "a newer version is heard of"},
		{1400, 7, 5, false, false, "and another one"},
		{1500, 0, 5, false, true, "the node should have read it"},
		{1600, 0, 7, false, false, "the node has got it"},
		{1700, 8, 7, false, false, "a newer version is heard of"},
		{2200, 0, 7, true, true, "it is searched for"},
		{9000, 8, 7, false, false, "and was not found: it is not searched for again"},
		{9100, 9, 7, false, true, "a newer one is"},
	} {
		now := start.Add(step.at * time.Millisecond)
		if step.hear > 0 {
			lag.Hear(step.hear, step.own, now)
		}
		left, ok := lag.SearchDue(step.own, now, after)
		if got := ok && left <= 0; got != step.overdue {
			t.Errorf("after %d ms, %s: overdue %v, want %v", step.at, step.describe, got, step.overdue)
		}
		if step.search {
			lag.RecordSearch()
		}
	}
}

// TestLagBringsAReadingForward guards against the failure that the nodes of a failure domain go
// by an old configuration until the first of them would have read the store anyway.
func TestLagBringsAReadingForward(t *testing.T) {
	start := time.Unix(1000, 0)
	const after = 100 * time.Millisecond
	var lag byroutes.Lag
	due := func(own uint64, at time.Duration) time.Duration {
		left, ok := lag.PollDue(own, start.Add(at), after)
		if !ok {
			return -1
		}
		return left
	}
	if got := due(5, 0); got != -1 {
		t.Errorf("a reading is due in %v though nothing newer is known", got)
	}
	if !lag.Hear(6, 5, start) || lag.Hear(6, 5, start) || lag.Hear(5, 5, start) {
		t.Error("a version is news when it is heard of again, or not when it is heard of at first")
	}
	if got := due(5, after/2); got != after/2 {
		t.Errorf("the reading is due in %v, want %v", got, after/2)
	}
	if got := due(6, after/2); got != -1 {
		t.Errorf("a reading is due in %v though the node has got the version", got)
	}
	lag.RecordPoll()
	if got := due(5, after); got != -1 {
		t.Errorf("a second reading is due in %v", got)
	}
	if left, ok := lag.SearchDue(5, start.Add(2*after), 2*after); !ok || left > 0 {
		t.Error("the reading has not brought the version, and the copy is not taken to lack it")
	}
}
