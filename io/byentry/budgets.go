package byentry

import (
	"sync"

	"burdockyard/core/bybudget"
)

const (
	// retryBudgetFraction is the part of the allowed second sends that is used. Requests
	// that are on their way to the node count later than they are spent.
	retryBudgetFraction = 0.7
	// minBurst lets every node send at least this many for a second time.
	minBurst = 1.0
)

// retryBudgets holds one budget of second sends for each service. mu is a leaf lock.
type retryBudgets struct {
	mu         sync.Mutex
	ratio      float64
	totalBurst float64
	nodes      int
	byService  map[string]*bybudget.Budget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{nodes: 1, byService: map[string]*bybudget.Budget{}}
}

func (b *retryBudgets) forService(service string) *bybudget.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = bybudget.New(bybudget.WithRatio(b.ratio*retryBudgetFraction), bybudget.WithBurst(b.nodeBurst()))
		b.byService[service] = budget
	}
	return budget
}

// minLeft returns the second sends that the service with the least of them has left.
func (b *retryBudgets) minLeft() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := b.nodeBurst()
	for _, budget := range b.byService {
		least = min(least, budget.Left())
	}
	return least
}

func (b *retryBudgets) nodeBurst() float64 {
	return max(b.totalBurst*retryBudgetFraction/float64(b.nodes), minBurst)
}

// setNodes divides totalBurst among nodes.
func (b *retryBudgets) setNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if nodes != b.nodes {
		b.nodes = nodes
		b.resize()
	}
}

// setLimits sets what all nodes together may send for a second time.
func (b *retryBudgets) setLimits(ratio, totalBurst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.totalBurst = ratio, totalBurst
	b.resize()
}

func (b *retryBudgets) resize() {
	for _, budget := range b.byService {
		budget.Resize(b.ratio*retryBudgetFraction, b.nodeBurst())
	}
}
