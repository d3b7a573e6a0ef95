package bylimit_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/bylimit"
)

const engine burdockyard.EndpointID = "e1"

func named(perSecond float64) burdockyard.RateLimit {
	return burdockyard.RateLimit{Named: true, PerSecond: perSecond}
}

// taken returns how many requests a node may send in d if it tries every 10 ms.
func taken(l *bylimit.Limits, bornMS int64, d time.Duration) int {
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if l.TryTake(engine, bornMS) {
			n++
		}
	}
	return n
}

// TestOneNodeKeepsLimit checks the requests of a single node in 10 s under each kind of
// limit.
func TestOneNodeKeepsLimit(t *testing.T) {
	for _, tt := range []struct {
		name     string
		limits   []burdockyard.RateLimit // one after the other
		min, max int
	}{
		{"none", []burdockyard.RateLimit{{}}, 1000, 1000},
		{"decimal", []burdockyard.RateLimit{named(5.9)}, 54, 59},
		{"below one a second", []burdockyard.RateLimit{named(0.5)}, 4, 5},
		{"zero", []burdockyard.RateLimit{named(0)}, 0, 1},
		{"absurdly large", []burdockyard.RateLimit{named(1e300)}, 900, 1000},
		{"infinite", []burdockyard.RateLimit{named(math.Inf(1))}, 900, 1000},
		{"unreadable", []burdockyard.RateLimit{named(math.NaN())}, 1000, 1000},
		{"unreadable after a readable one", []burdockyard.RateLimit{named(3), named(math.NaN())}, 27, 30},
		{"smaller than before", []burdockyard.RateLimit{named(100), named(2)}, 18, 20},
		{"larger than before", []burdockyard.RateLimit{named(2), named(100)}, 900, 1000},
		{"vanished", []burdockyard.RateLimit{named(2), {}}, 1000, 1000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := bylimit.New(burdockyard.SystemClock{}, "n1")
				for _, limit := range tt.limits {
					time.Sleep(time.Millisecond)
					l.Observe(engine, 7, limit, time.Now())
				}
				if n := taken(l, 7, 10*time.Second); n < tt.min || n > tt.max {
					t.Errorf("%d requests in 10 s, want %d to %d", n, tt.min, tt.max)
				}
				if wait := l.Wait(engine, 7); tt.min >= 900 && wait != 0 {
					t.Errorf("time to wait %v, want none", wait)
				}
				if n := taken(l, 8, time.Second); n != 100 {
					t.Errorf("%d requests to the next process, want 100: it has named no limit", n)
				}
			})
		})
	}
}

// TestLateResponseDoesNotEndLimit checks that a limit ends only with a response to a
// request that was sent after the limit was named.
func TestLateResponseDoesNotEndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := bylimit.New(burdockyard.SystemClock{}, "n1")
		sentBefore := time.Now()
		time.Sleep(time.Second)
		l.Observe(engine, 7, named(0), time.Now())
		time.Sleep(time.Second)
		if l.Observe(engine, 7, burdockyard.RateLimit{}, sentBefore); l.Len() != 1 {
			t.Error("a late response has ended the limit")
		}
		if l.Observe(engine, 7, burdockyard.RateLimit{}, time.Now()); l.Len() != 0 {
			t.Error("the limit has not ended")
		}
	})
}

// TestWaitTellsWhenNextRequestMayBeSent compares Wait with what TryTake allows then.
func TestWaitTellsWhenNextRequestMayBeSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := bylimit.New(burdockyard.SystemClock{}, "n1")
		l.Observe(engine, 7, named(4), time.Now())
		for range 10 {
			wait := l.Wait(engine, 7)
			if wait <= 0 || l.TryTake(engine, 7) {
				t.Fatalf("want a time to wait, got %v", wait)
			}
			time.Sleep(wait + time.Microsecond)
			if !l.TryTake(engine, 7) {
				t.Fatalf("no request may be sent after %v", wait)
			}
		}
		l.SetMembers([]burdockyard.NodeID{"n2"}, true)
		if wait := l.Wait(engine, 7); wait != 250*time.Millisecond {
			t.Errorf("a node without a share tells to wait %v, want the mean time of the fleet, 250 ms", wait)
		}
	})
}

// TestOwnersAgree checks that nodes with the same members agree on the owners, and that a
// stopping node leaves its share to the others.
func TestOwnersAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ids []burdockyard.NodeID
		for i := range 7 {
			ids = append(ids, burdockyard.NodeID(fmt.Sprint("n", i)))
		}
		sum := func(stopping burdockyard.NodeID) (total, owners int) {
			for _, id := range ids {
				l := bylimit.New(burdockyard.SystemClock{}, id)
				others := slices.DeleteFunc(slices.Clone(ids), func(other burdockyard.NodeID) bool { return other == id || other == stopping })
				l.SetMembers(others, id == stopping)
				l.Observe(engine, 7, named(3.5), time.Now())
				if n := taken(l, 7, 20*time.Second); n > 0 {
					total, owners = total+n, owners+1
					if id == stopping {
						t.Errorf("%s is about to stop and sends %d requests", id, n)
					}
				}
			}
			return total, owners
		}
		for _, stopping := range []burdockyard.NodeID{"", "n0", "n1", "n2", "n3"} {
			if total, owners := sum(stopping); owners != 3 || total < 63 || total > 70 {
				t.Errorf("%d owners send %d requests in 20 s, want 3 and about 70", owners, total)
			}
		}
	})
}

// TestLimitOutlivesEntry guards against requests beyond the limit of an endpoint whose entry
// lapses for some seconds.
func TestLimitOutlivesEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := bylimit.New(burdockyard.SystemClock{}, "n1")
		l.Observe(engine, 7, named(1), time.Now())
		isKnown := false
		known := func(burdockyard.EndpointID) bool { return isKnown }
		for range 10 {
			time.Sleep(time.Second)
			l.RemoveUnknown(known)
		}
		isKnown = true
		l.RemoveUnknown(known)
		if n := taken(l, 7, 4*time.Second); n > 5 {
			t.Errorf("%d requests in 4 s after the entry was back, want 5 at most", n)
		}
		if n := taken(l, 8, time.Second); n != 100 {
			t.Errorf("%d requests to the next process, want all 100", n)
		}
		isKnown = false
		time.Sleep(time.Minute)
		if l.RemoveUnknown(known); l.Len() != 0 {
			t.Errorf("%d limits are known a minute after the endpoint has left, want 0", l.Len())
		}
	})
}
