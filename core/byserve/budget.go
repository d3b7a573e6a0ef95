package byserve

import "sync"

const (
	// budgetRatio is how many retries and hedges one call earns.
	budgetRatio = 0.1
	// budgetMax is how many may be saved up.
	budgetMax = 20.0
)

// Budget bounds the work that retries and hedges add. Every call earns a part
// of a retry; under overload calls are refused before they earn, so the budget
// shrinks with them. mu is a leaf lock.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full Budget.
func NewBudget() *Budget { return &Budget{tokens: budgetMax} }

// Earn notes a call that was taken.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetRatio, budgetMax)
}

// Spend takes one retry or hedge; false if the budget is used up.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
