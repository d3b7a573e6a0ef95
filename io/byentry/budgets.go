package byentry

import (
	"sync"

	"burdockyard/core/bybudget"
)

const (
	// budgetShare is the part of the allowed second sends that is used. Requests
	// that are on their way to the node count later than they are spent.
	budgetShare = 0.7
	// minBurst lets every node send at least this many for a second time.
	minBurst = 1.0
)

// budgets holds one budget of second sends for each service. mu is a leaf lock.
type budgets struct {
	mu        sync.Mutex
	ratio     float64
	slack     float64
	nodes     int
	byService map[string]*bybudget.Budget
}

func newBudgets() *budgets {
	return &budgets{nodes: 1, byService: map[string]*bybudget.Budget{}}
}

func (b *budgets) of(service string) *bybudget.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = bybudget.New(bybudget.WithRatio(b.ratio*budgetShare), bybudget.WithBurst(b.burst()))
		b.byService[service] = budget
	}
	return budget
}

// left returns the second sends that the service with the least of them has left.
func (b *budgets) left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := b.burst()
	for _, budget := range b.byService {
		least = min(least, budget.Left())
	}
	return least
}

func (b *budgets) burst() float64 {
	return max(b.slack*budgetShare/float64(b.nodes), minBurst)
}

// share divides the slack among nodes.
func (b *budgets) share(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if nodes != b.nodes {
		b.nodes = nodes
		b.resize()
	}
}

// tune sets what all nodes together may send for a second time.
func (b *budgets) tune(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
	b.resize()
}

func (b *budgets) resize() {
	for _, budget := range b.byService {
		budget.Resize(b.ratio*budgetShare, b.burst())
	}
}
