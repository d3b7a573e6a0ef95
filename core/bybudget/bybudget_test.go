package bybudget_test

import (
	"testing"

	"burdockyard/core/bybudget"
)

func countWithdrawals(b *bybudget.Budget, tries int) int {
	n := 0
	for range tries {
		if b.TryWithdraw() {
			n++
		}
	}
	return n
}

func TestBudgetFollowsRatioAndBurst(t *testing.T) {
	b := bybudget.New(bybudget.WithRatio(0.2), bybudget.WithBurst(5))
	if n := countWithdrawals(b, 100); n != 5 {
		t.Errorf("full budget allows %d retries, want its burst of 5", n)
	}
	for range 50 {
		b.Deposit()
	}
	if n := countWithdrawals(b, 100); n != 5 {
		t.Errorf("budget allows %d retries after 50 requests, want its burst of 5", n)
	}
	for range 15 {
		b.Deposit()
	}
	if n := countWithdrawals(b, 100); n < 2 || n > 3 {
		t.Errorf("budget allows %d retries after 15 requests at ratio 0.2, want 2 or 3", n)
	}
	b.SetLimits(0.2, 1)
	for range 50 {
		b.Deposit()
	}
	if n := countWithdrawals(b, 100); n != 1 {
		t.Errorf("budget allows %d retries after its burst was set to 1, want 1", n)
	}
}
