package bylab

import (
	"fmt"
	"testing"
	"time"
)

const seed = 11

// TestSameFigures checks that a seed gives the same figures at each run, even
// when calls of several tenants are refused at the same time.
func TestSameFigures(t *testing.T) {
	figures := func() string {
		r := Run(Bluebonnet, Burst(Bluebonnet), Burdock(), seed)
		return fmt.Sprint(r.Goodput(), r.InTimeShare(), r.FirstTryShare(), r.FirstRetryShare(), r.TimeToFirstToken(0.95, 0, time.Hour), r.TokenGap(0.95, 0, time.Hour))
	}
	first := figures()
	for range 3 {
		if again := figures(); again != first {
			t.Errorf("got %s from a repeated run, want %s as from the first", again, first)
		}
	}
}

// TestTargets checks, in virtual time, those of the stated performance targets that
// the policy meets.
func TestTargets(t *testing.T) {
	d := Bluebonnet
	t.Run("overload", func(t *testing.T) {
		t.Parallel()
		span := 20 * time.Second
		once := Run(d, Steady(d, 1, span), Burdock(), seed).GoodTokensPerSecond(span)
		thrice := Run(d, Steady(d, 3, span), Burdock(), seed).GoodTokensPerSecond(span)
		if thrice < 0.95*once {
			t.Errorf("got %.0f good tokens/s at load 3x, want at least 0.95 of the %.0f at load 1x", thrice, once)
		}
	})
	t.Run("short beside long", func(t *testing.T) {
		t.Parallel()
		alone := Run(d, Mixed(d, 0.6, 0), Burdock(), seed).TimeToFirstToken(0.99, 0, time.Hour)
		beside := Run(d, Mixed(d, 0.8, 0.25), Burdock(), seed).TimeToFirstToken(0.99, 0, time.Hour)
		if beside > 2*alone {
			t.Errorf("got p99 first token %s beside long plans, want at most 2 times the %s without them", beside, alone)
		}
	})
	t.Run("one engine slowed", func(t *testing.T) {
		t.Parallel()
		from, to := 30*time.Second, 90*time.Second
		none := Run(d, Straggler(d, 0), Burdock(), seed)
		one := Run(d, Straggler(d, 1), Burdock(), seed)
		if x, y := one.TimeToFirstToken(0.99, from, to), none.TimeToFirstToken(0.99, from, to); 2*x > 3*y {
			t.Errorf("got p99 first token %s with one engine slowed, want at most 1.5 times the %s with none", x, y)
		}
	})
}
