package bybudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdockyard/core/bybudget"
)

// manualClock is a clock that tests advance.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func newManualClock() *manualClock { return &manualClock{now: time.Unix(1e9, 0)} }

// TestRetriesOfAWindowMayBeSpentAtOnce plays the end of many endpoints after steady load:
// the requests of the whole window count, and none that are older.
func TestRetriesOfAWindowMayBeSpentAtOnce(t *testing.T) {
	clock := newManualClock()
	b := bybudget.NewWindow(clock, 0.2, 3, 10*time.Second)
	withdraw := func() int {
		n := 0
		for b.TryWithdraw() {
			n++
		}
		return n
	}
	if n := withdraw(); n != 3 {
		t.Errorf("got %d retries without requests, want the slack of 3", n)
	}
	for range 200 {
		clock.now = clock.now.Add(100 * time.Millisecond)
		b.Deposit()
	}
	if n := withdraw(); n < 22 || n > 23 {
		t.Errorf("got %d retries after 100 requests in 10 s, want 22 or 23", n)
	}
	clock.now = clock.now.Add(9900 * time.Millisecond)
	if n := withdraw(); n != 0 {
		t.Errorf("got %d retries before the window is over, want 0", n)
	}
	clock.now = clock.now.Add(time.Second)
	if n := withdraw(); n != 3 {
		t.Errorf("got %d retries after a window without requests, want 3", n)
	}
	b.SetLimits(0.2, 8, 10*time.Second)
	if n := withdraw(); n != 5 {
		t.Errorf("got %d retries after the slack was raised to 8, want 5 more", n)
	}
}

// TestSharedLimitHoldsInEveryWindow lets nodes share a limit as entry nodes do, under
// random load that bursts and pauses, and with retries whenever they are allowed. In no
// window may there be more retries than the ratio and the slack allow; the requests of
// the window, of the one before and of the one half a window before count.
func TestSharedLimitHoldsInEveryWindow(t *testing.T) {
	const ratio, slack, fraction, window = 0.2, 58.0, 0.7, 10 * time.Second
	const step, steps = 100 * time.Millisecond, 600
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		clock := newManualClock()
		nodes := make([]*bybudget.WindowBudget, 1+rng.IntN(30))
		for i := range nodes {
			nodes[i] = bybudget.NewWindow(clock, ratio*fraction, slack*fraction/float64(len(nodes)), window)
		}
		var requests, retries [steps]int
		rate, retryShare := 0.0, 0.0
		for s := range steps {
			if rng.IntN(25) == 0 {
				rate, retryShare = float64(rng.IntN(4)*rng.IntN(10)), rng.Float64()
			}
			clock.now = clock.now.Add(step)
			for _, b := range nodes {
				for range int(rate * rng.Float64() * 2) {
					b.Deposit()
					requests[s]++
					if rng.Float64() < retryShare && b.TryWithdraw() {
						retries[s]++
					}
				}
			}
		}
		sum := func(counts []int) (n float64) {
			for _, c := range counts {
				n += float64(c)
			}
			return n
		}
		const w = int(window / step)
		for end := w; end <= steps; end++ {
			start := end - w
			most := max(sum(requests[start:end]), sum(requests[max(start-w, 0):start]), sum(requests[max(start-w/2, 0):end-w/2]))
			if got := sum(retries[start:end]); got > ratio*most+slack {
				t.Fatalf("seed %d: %v retries from step %d to %d, want at most %v for %v requests", seed, got, start, end, ratio*most+slack, most)
			}
		}
	}
}
