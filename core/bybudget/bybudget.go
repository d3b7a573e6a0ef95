// Package bybudget limits the load that retries and hedges add.
//
// Every accepted request adds a fraction of a retry to the budget. Requests that are
// rejected under overload add nothing, so fewer retries are allowed then. Nodes that
// share one limit each stay within the fraction that their own requests add, so they
// need no coordination.
//
// # Usage
//
//	b := bybudget.New(bybudget.WithRatio(0.1), bybudget.WithBurst(20))
//	b.Deposit()              // for each accepted request
//	if b.TryWithdraw() { … } // before each retry or hedge
package bybudget

import "sync"

const (
	// defaultRatio is the number of retries that one request adds to the budget.
	defaultRatio = 0.1
	// defaultBurst is the maximum number of retries in the budget.
	defaultBurst = 20.0
)

// Budget is the retry budget of one node, a token bucket that requests refill. Its
// methods may be called from several goroutines; mu is a leaf lock.
type Budget struct {
	mu     sync.Mutex
	ratio  float64 // tokens that one request adds
	burst  float64 // maximum number of tokens
	tokens float64 // available retries
}

// Option configures a Budget.
type Option func(*Budget)

// WithRatio sets the number of retries that one request adds to the budget.
func WithRatio(r float64) Option { return func(b *Budget) { b.ratio = r } }

// WithBurst sets the maximum number of retries in the budget.
func WithBurst(n float64) Option { return func(b *Budget) { b.burst = n } }

// New returns a Budget that starts full.
func New(opts ...Option) *Budget {
	b := &Budget{ratio: defaultRatio, burst: defaultBurst}
	for _, opt := range opts {
		opt(b)
	}
	b.tokens = b.burst
	return b
}

// Deposit adds the retries for one accepted request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// TryWithdraw takes one retry or hedge from the budget. It returns false if less than
// one is available.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Balance returns the number of available retries, which may be a fraction.
func (b *Budget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// SetLimits changes the ratio and the burst, for example when the shared limit or the
// number of nodes that share it changes. Retries beyond the new burst are dropped.
func (b *Budget) SetLimits(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.burst = ratio, burst
	b.tokens = min(b.tokens, burst)
}
