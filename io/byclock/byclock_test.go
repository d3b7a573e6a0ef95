package byclock_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard/io/byclock"
)

// TestSuspensionCounts guards against facts that look younger than they are because the VM was
// suspended meanwhile, and against a clock that goes back.
func TestSuspensionCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		start := time.Now()
		c := byclock.New(byclock.WithBootTime(func() (time.Duration, error) {
			return 90*time.Hour + time.Since(start) + suspended, nil
		}))
		before := c.Now()
		for _, step := range []struct {
			runs, suspended, want time.Duration
		}{
			{time.Second, 0, time.Second},
			{time.Second, 6 * time.Second, 8 * time.Second},
			{0, -time.Millisecond, 8 * time.Second}, // clocks that are read one after the other differ a little
			{time.Second, 2 * time.Second, 11*time.Second - time.Millisecond},
		} {
			time.Sleep(step.runs)
			suspended += step.suspended
			c.Sync()
			if got := c.Now().Sub(before); got != step.want {
				t.Errorf("after a suspension of %v, %v have passed, want %v", step.suspended, got, step.want)
			}
		}
	})
}

// TestClockWithoutBootTime checks that a kernel without the clock leaves the steady one.
func TestClockWithoutBootTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := byclock.New(byclock.WithBootTime(func() (time.Duration, error) { return 0, errors.New("no such clock") }))
		before := c.Now()
		time.Sleep(time.Second)
		c.Sync()
		if got := c.Now().Sub(before); got != time.Second {
			t.Errorf("%v have passed, want 1s", got)
		}
	})
}

func BenchmarkSync(b *testing.B) {
	c := byclock.New()
	for b.Loop() {
		c.Sync()
	}
}
