// Package bybudget bounds the work that retries and hedges add.
//
// Every request earns a part of a retry. Under overload requests are refused
// before they earn, so the budget shrinks with them. Nodes that share one bound
// each keep within their own requests' share of it, so that they need not agree.
//
// # Usage
//
//	b := bybudget.New(bybudget.WithRatio(0.1), bybudget.WithBurst(20))
//	b.Earn()            // for each request taken
//	if b.Spend() { … }  // before each second send
package bybudget

import "sync"

const (
	// defaultRatio is how many retries one request earns.
	defaultRatio = 0.1
	// defaultBurst is how many may be saved up.
	defaultBurst = 20.0
)

// Budget is one node's budget. mu is a leaf lock.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

// Option sets an optional part of a Budget.
type Option func(*Budget)

// WithRatio sets how many retries one request earns.
func WithRatio(r float64) Option { return func(b *Budget) { b.ratio = r } }

// WithBurst sets how many retries may be saved up.
func WithBurst(n float64) Option { return func(b *Budget) { b.burst = n } }

// New returns a full Budget.
func New(opts ...Option) *Budget {
	b := &Budget{ratio: defaultRatio, burst: defaultBurst}
	for _, opt := range opts {
		opt(b)
	}
	b.tokens = b.burst
	return b
}

// Earn notes a request that was taken.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
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

// Left returns how many retries are saved up.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// Resize changes how many retries one request earns and how many may be saved up,
// as the bound or the number of nodes that share it changes.
func (b *Budget) Resize(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.burst = ratio, burst
	b.tokens = min(b.tokens, burst)
}
