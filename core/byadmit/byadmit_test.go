package byadmit_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/byadmit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newQueue() *byadmit.Queue[string] {
	return byadmit.New[string](byadmit.WithRand(rand.New(rand.NewPCG(1, 1))))
}

func call(tenant string, cost time.Duration) byadmit.Call {
	return byadmit.Call{Tenant: burdockyard.Tenant(tenant), Weight: 1, Class: "c", MaxQueued: 1000, Cost: cost, StartBy: start.Add(time.Hour)}
}

func offer(t *testing.T, q *byadmit.Queue[string], c byadmit.Call, value string) {
	t.Helper()
	if _, refusal := q.Offer(c, value, start); refusal != nil {
		t.Fatalf("%s: refused, want it queued: %s", value, refusal.Cause())
	}
}

func startAll(q *byadmit.Queue[string], long bool) []string {
	var order []string
	for {
		queued := q.Next(start, long, func(*byadmit.QueuedCall[string]) bool { return true })
		if queued == nil {
			return order
		}
		order = append(order, queued.Value())
	}
}

func TestCallsStartByTenantShareThenPriority(t *testing.T) {
	q := newQueue()
	offer(t, q, call("flood", time.Second), "flood 1")
	offer(t, q, call("flood", time.Second), "flood 2")
	offer(t, q, call("flood", time.Second), "flood 3")
	urgent := call("flood", time.Second)
	urgent.Priority = 1
	offer(t, q, urgent, "flood urgent")
	offer(t, q, call("small", time.Second), "small 1")
	long := call("small", time.Minute)
	long.LongPrompt = true
	offer(t, q, long, "small long")
	want := []string{"flood urgent", "small 1", "flood 1", "flood 2", "flood 3"}
	if got := startAll(q, false); !slices.Equal(got, want) {
		t.Errorf("short calls: got %q, want %q", got, want)
	}
	if got := startAll(q, true); !slices.Equal(got, []string{"small long"}) {
		t.Errorf("long calls: got %q, want only \"small long\"", got)
	}
}

// TestBlockedLongCallDoesNotDelayShortCalls checks that a long call for which no
// engine has room doesn't block the short calls.
func TestBlockedLongCallDoesNotDelayShortCalls(t *testing.T) {
	q := newQueue()
	long := call("a", time.Minute)
	long.LongPrompt = true
	offer(t, q, long, "plan")
	offer(t, q, call("a", time.Second), "question")
	if q.Next(start, true, func(*byadmit.QueuedCall[string]) bool { return false }) != nil {
		t.Error("the long call started although mayStart returned false")
	}
	if got := startAll(q, false); !slices.Equal(got, []string{"question"}) {
		t.Errorf("short calls after a blocked long call: got %q, want only \"question\"", got)
	}
}

// TestLateCallsAreRefusedAndReturnsSpread checks that a call which cannot start in
// time is refused when it is offered, and that the retry delays of a hundred refused
// callers bring them back no faster than they can be served.
func TestLateCallsAreRefusedAndReturnsSpread(t *testing.T) {
	q := newQueue()
	q.SetDrainRate(1)
	offer(t, q, call("a", 10*time.Second), "first")
	late := call("a", time.Second)
	late.StartBy = start.Add(5 * time.Second)
	var returns []time.Duration
	for range 100 {
		_, refusal := q.Offer(late, "late", start)
		if refusal == nil {
			t.Fatal("late call queued behind 10s of work, want it refused")
		}
		returns = append(returns, refusal.RetryAfter())
	}
	slices.Sort(returns)
	for i := 10; i < len(returns); i++ {
		if returns[i]-returns[i-10] < 8*time.Second {
			t.Errorf("callers with 10s of work return within %s, want at least 8s", returns[i]-returns[i-10])
		}
	}
}

func TestCallsExpireAfterStartBy(t *testing.T) {
	q := newQueue()
	c := call("a", time.Second)
	c.StartBy = start.Add(time.Second)
	offer(t, q, c, "a")
	if n := len(q.Expire(start.Add(time.Second))); n != 0 {
		t.Errorf("at StartBy: %d calls expired, want 0", n)
	}
	if n := len(q.Expire(start.Add(time.Second + 1))); n != 1 || q.Len() != 0 || q.Backlog() != 0 {
		t.Errorf("after StartBy: %d calls expired, %d waiting, backlog %s; want 1, 0 and 0s", n, q.Len(), q.Backlog())
	}
}
