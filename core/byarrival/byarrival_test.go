package byarrival_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockyard/core/byarrival"
)

// testClock is a clock that a test advances.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func (c *testClock) advance(d time.Duration) { c.now = c.now.Add(d) }

// A message that has waited in a socket while the process stood still must not count as new.
func TestMessageIsNeverTakenForNewer(t *testing.T) {
	const tolerance = 350 * time.Millisecond // is part of the time on the way
	rapid.Check(t, func(t *rapid.T) {
		clock := &testClock{now: time.Unix(1_000_000, 0)}
		g := byarrival.New(clock)
		emptyAt := clock.now
		var datagrams, calls []time.Time // arrival times of unread messages
		wokeAt := clock.now
		read := func() {
			g.Observe()
			isBusy := clock.now.Sub(wokeAt) < 800*time.Millisecond && rapid.Bool().Draw(t, "busy")
			for _, arrivedAt := range datagrams {
				if waited := clock.now.Sub(arrivedAt); byarrival.DatagramWait(clock.now, emptyAt)+tolerance < waited {
					t.Fatalf("a datagram that has waited for %v counts as %v old", waited, byarrival.DatagramWait(clock.now, emptyAt))
				}
			}
			for _, arrivedAt := range calls {
				if waited := clock.now.Sub(arrivedAt); g.ConnWait()+tolerance < waited {
					t.Fatalf("a message on a connection that has waited for %v counts as %v old", waited, g.ConnWait())
				}
			}
			datagrams, emptyAt = nil, clock.now
			if !isBusy {
				calls = nil
			}
		}
		wait := func(longest time.Duration, messages int) { // messages arrive meanwhile
			d := time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, "time"))
			for range messages {
				arrivedAt := clock.now.Add(time.Duration(rapid.Int64Range(0, int64(d)).Draw(t, "arrival")))
				datagrams, calls = append(datagrams, arrivedAt), append(calls, arrivedAt)
			}
			clock.advance(d)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "pause") == 0 {
				wait(8*time.Second, rapid.IntRange(0, 4).Draw(t, "messages"))
				wokeAt = clock.now
				if rapid.Bool().Draw(t, "other work comes first") {
					g.Observe()
					wait(byarrival.MaxGap, 1)
				}
			} else {
				wait(byarrival.MaxGap, rapid.IntRange(0, 2).Draw(t, "messages"))
			}
			read()
		}
	})
}

// A node that distrusted its peers after each short pause would read the store itself all the
// time.
func TestShortPausesCostNothing(t *testing.T) {
	clock := &testClock{now: time.Unix(1_000_000, 0)}
	g := byarrival.New(clock)
	for _, c := range []struct {
		name         string
		pause, after time.Duration
		observed     bool
		wait         time.Duration // of a message on a connection
	}{
		{"a quota", 100 * time.Millisecond, 0, false, 0},
		{"garbage collection on a slow VM", 249 * time.Millisecond, 0, false, 0},
		{"right after a freeze", 3 * time.Second, 10 * time.Millisecond, true, 3010 * time.Millisecond},
		{"long after a freeze", 3 * time.Second, time.Second, true, 0},
	} {
		clock.advance(c.pause)
		if pause := g.Observe(); (pause > 0) != c.observed {
			t.Errorf("%s: got a pause of %v, want one: %t", c.name, pause, c.observed)
		}
		for left := c.after; left > 0; left -= 10 * time.Millisecond {
			clock.advance(10 * time.Millisecond)
			g.Observe()
		}
		if wait := g.ConnWait(); wait != c.wait {
			t.Errorf("%s: a message on a connection may have waited for %v, want %v", c.name, wait, c.wait)
		}
		clock.advance(100 * time.Millisecond)
		g.Observe()
		if wait := byarrival.DatagramWait(clock.now, clock.now.Add(-100*time.Millisecond)); wait != 0 {
			t.Errorf("%s: a datagram that has waited for 100 ms at most counts as %v old, want 0", c.name, wait)
		}
	}
}
