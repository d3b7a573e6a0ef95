package byentry

import (
	"sync"

	"burdockyard/core/bybudget"
)

const (
	// retryBudgetFraction is the fraction of the allowed retries that nodes use. The
	// rest is a margin: requests still on their way to the node are counted only
	// after the retries that they allow may have been spent.
	retryBudgetFraction = 0.7
	// minBurst is the number of retries that every node may save up, even if its
	// share of the burst is smaller.
	minBurst = 1.0
)

// retryBudgets holds a retry budget for each service. mu is a leaf lock.
type retryBudgets struct {
	mu         sync.Mutex
	ratio      float64 // maximum ratio of retries to requests
	totalBurst float64 // retries allowed in addition to ratio, over all nodes
	nodes      int     // number of nodes that share totalBurst
	byService  map[string]*bybudget.Budget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{nodes: 1, byService: map[string]*bybudget.Budget{}}
}

// forService returns the retry budget of a service.
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

// minLeft returns the number of retries left for the service that has the fewest.
func (b *retryBudgets) minLeft() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := b.nodeBurst()
	for _, budget := range b.byService {
		least = min(least, budget.Balance())
	}
	return least
}

// nodeBurst returns how many retries of a service this node may save up. mu must be
// held.
func (b *retryBudgets) nodeBurst() float64 {
	return max(b.totalBurst*retryBudgetFraction/float64(b.nodes), minBurst)
}

// setNodes sets the number of nodes that share the burst.
func (b *retryBudgets) setNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if nodes != b.nodes {
		b.nodes = nodes
		b.resize()
	}
}

// setLimits sets the maximum ratio of retries to requests and the additional retries
// of all nodes together.
func (b *retryBudgets) setLimits(ratio, totalBurst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.totalBurst = ratio, totalBurst
	b.resize()
}

// resize applies the current limits to every budget. mu must be held.
func (b *retryBudgets) resize() {
	for _, budget := range b.byService {
		budget.SetLimits(b.ratio*retryBudgetFraction, b.nodeBurst())
	}
}
