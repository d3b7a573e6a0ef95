package byentry

import (
	"cmp"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/bybudget"
)

const (
	// retryBudgetFraction is the fraction of the allowed retries that nodes use. The
	// rest is a margin: requests still on their way to the node are counted only
	// after the retries that they allow may have been spent.
	retryBudgetFraction = 0.7
	// minSlack is the number of retries that every node may make in a window regardless
	// of its requests, even if its share of the slack is smaller.
	minSlack = 1.0
	// defaultRetryWindow is the window of the budgets if the settings name none.
	defaultRetryWindow = 10 * time.Second
)

// retryBudgets holds a retry budget for each service. mu is a leaf lock.
type retryBudgets struct {
	clock burdockyard.Clock

	mu         sync.Mutex
	ratio      float64       // maximum ratio of retries to requests
	totalSlack float64       // retries allowed in addition to ratio, over all nodes
	window     time.Duration // time over which requests and retries count
	nodes      int           // number of nodes that share totalSlack
	byService  map[string]*bybudget.WindowBudget
}

func newRetryBudgets(clock burdockyard.Clock) *retryBudgets {
	return &retryBudgets{clock: clock, window: defaultRetryWindow, nodes: 1, byService: map[string]*bybudget.WindowBudget{}}
}

// forService returns the retry budget of a service.
func (b *retryBudgets) forService(service string) *bybudget.WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = bybudget.NewWindow(b.clock, b.ratio*retryBudgetFraction, b.nodeSlack(), b.window)
		b.byService[service] = budget
	}
	return budget
}

// minLeft returns the number of retries left for the service that has the fewest.
func (b *retryBudgets) minLeft() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := b.nodeSlack()
	for _, budget := range b.byService {
		least = min(least, budget.Balance())
	}
	return least
}

// nodeSlack returns the number of retries of a service that this node may make in a
// window regardless of its requests. mu must be held.
func (b *retryBudgets) nodeSlack() float64 {
	return max(b.totalSlack*retryBudgetFraction/float64(b.nodes), minSlack)
}

// setNodes sets the number of nodes that share the slack.
func (b *retryBudgets) setNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if nodes != b.nodes {
		b.nodes = nodes
		b.applyLimits()
	}
}

// setLimits sets the maximum ratio of retries to requests, the additional retries of all
// nodes together, and the window in which both count; 0 means the default window.
func (b *retryBudgets) setLimits(ratio, totalSlack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.totalSlack, b.window = ratio, totalSlack, cmp.Or(window, defaultRetryWindow)
	b.applyLimits()
}

// applyLimits applies the current limits to every budget. mu must be held.
func (b *retryBudgets) applyLimits() {
	for _, budget := range b.byService {
		budget.SetLimits(b.ratio*retryBudgetFraction, b.nodeSlack(), b.window)
	}
}
