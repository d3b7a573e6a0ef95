package bybudget_test

import (
	"testing"

	"burdockyard/core/bybudget"
)

func spend(b *bybudget.Budget, tries int) int {
	n := 0
	for range tries {
		if b.Spend() {
			n++
		}
	}
	return n
}

func TestBudget(t *testing.T) {
	b := bybudget.New(bybudget.WithRatio(0.2), bybudget.WithBurst(5))
	if n := spend(b, 100); n != 5 {
		t.Errorf("%d second sends of a burst of 5", n)
	}
	for range 50 {
		b.Earn()
	}
	if n := spend(b, 100); n != 5 {
		t.Errorf("%d second sends saved up, not 5", n)
	}
	for range 15 {
		b.Earn()
	}
	if n := spend(b, 100); n < 2 || n > 3 {
		t.Errorf("%d second sends earned by 15 requests at a fifth", n)
	}
	b.Resize(0.2, 1)
	for range 50 {
		b.Earn()
	}
	if n := spend(b, 100); n != 1 {
		t.Errorf("%d second sends after the share shrank to 1", n)
	}
}
