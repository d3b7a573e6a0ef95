// Package bymemory keeps what a node holds for callers and endpoints within a share of the
// memory of its VM: request bodies, responses that callers have not read yet, and
// connections.
//
// # Usage
//
//	b := bymemory.New(clock, bymemory.WithMemory(vmBytes))
//	h, err := b.HoldBody(size)       // errors.Is(err, bymemory.ErrFull): refuse the request
//	defer h.Release()
//	freed := b.Freed()
//	switch err := h.Grow(n); {       // before each further piece is held
//	case errors.Is(err, bymemory.ErrCut):  // end what h stands for
//	case errors.Is(err, bymemory.ErrFull): // wait for freed or h.Cut(), then try again
//	}
//
// # Who gives way
//
// Large bodies may use less than the whole budget, so that small ones are still taken while
// large ones are refused. When no room is left, a caller who reads slowly is cut first: the
// one that has held most, for longest, beyond what its kind of response needs. If there is
// none, the body that began last among those that are still arriving gives way to the older
// ones. One is cut at a time: the next only after its memory is free.
package bymemory

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
)

const (
	// budgetFraction is the fraction of the VM's memory that may be held. The Go heap may
	// use half of it; the rest is for the node's own tables.
	budgetFraction = 0.4
	// smallBytes is the size up to which a holding may use the whole budget, and
	// largeFraction the fraction of the budget that larger ones may use.
	smallBytes    = 64 << 10
	largeFraction = 0.875
	// sizeDecay is the factor by which each smaller body reduces the size that a body of
	// its route is expected to have.
	sizeDecay = 0.9
	// minSlowTime is how long a caller must have read nothing to count as slow. A segment
	// that was lost is sent again within it.
	minSlowTime = 300 * time.Millisecond
)

var (
	// ErrFull means that there is no room now.
	ErrFull = merry.Sentinel("no memory is left for requests")
	// ErrCut means that a holding must end to make room for others.
	ErrCut = merry.Sentinel("the memory is needed for other requests")
)

// Budget is the memory that a node may hold. It is safe for concurrent use. mu is a leaf
// lock.
type Budget struct {
	clock burdockyard.Clock

	mu       sync.Mutex
	limit    int64
	held     int64
	holdings map[*Holding]struct{} // those that may be cut
	cutting  *Holding              // has been cut and is not released yet, nil if there is none
	expected map[string]float64    // by route: expected size of a body of unknown length
	freed    chan struct{}         // closed when memory is released, nil if nobody waits
}

// Holding is memory that is held for one purpose. Its methods may be called on nil, which
// holds nothing.
type Holding struct {
	b         *Budget
	response  bool  // a response that its caller has not read yet, otherwise a body
	needed    int64 // bytes up to which a response is not cut
	bytes     int64
	began     time.Time
	arriving  bool      // a body that has not been read to its end
	slowSince time.Time // since when the caller has read nothing, zero while it reads
	cut       chan struct{}
	isCut     bool
}

// Option configures a Budget.
type Option func(*Budget)

// WithMemory sets the memory of the VM in bytes.
func WithMemory(vmBytes int64) Option { return func(b *Budget) { b.SetMemory(vmBytes) } }

// New returns a Budget that holds nothing. Without WithMemory it has no room.
func New(clock burdockyard.Clock, opts ...Option) *Budget {
	b := &Budget{clock: clock, holdings: map[*Holding]struct{}{}, expected: map[string]float64{}}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// SetMemory sets the memory of the VM in bytes.
func (b *Budget) SetMemory(vmBytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = int64(budgetFraction * float64(vmBytes))
}

// Held returns the number of bytes held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Limit returns the largest number of bytes that may be held.
func (b *Budget) Limit() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Freed returns a channel that is closed when memory is released next.
func (b *Budget) Freed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed
}

// AddOverhead counts n bytes that are held whether there is room or not, such as those of
// an open connection; a negative n releases them.
func (b *Budget) AddOverhead(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held += n
}

// ExpectedSize returns the size that a body of unknown length on a route is expected to
// have, or 0 if none has been read yet.
func (b *Budget) ExpectedSize(route string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.expected[route])
}

// RecordSize records the size of a body whose length was unknown.
func (b *Budget) RecordSize(route string, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expected[route] = max(float64(size), sizeDecay*b.expected[route])
}

// HoldBody charges a request body of the given size, which is yet to be read. It returns
// ErrFull if there is no room for it, and then cuts a slow caller, if there is one, so that
// later requests find room.
func (b *Budget) HoldBody(size int64) (*Holding, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.newHolding(false, 0)
	h.arriving = true
	if !b.fits(size, size) {
		b.cutSlowest()
		return nil, ErrFull
	}
	b.add(h, size)
	return h, nil
}

// HoldResponse returns a holding for a response, without any bytes yet. needed is the
// number of bytes up to which the caller is not cut in favour of others.
func (b *Budget) HoldResponse(needed int64) *Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.newHolding(true, needed)
	b.add(h, 0)
	return h
}

func (b *Budget) newHolding(response bool, needed int64) *Holding {
	return &Holding{b: b, response: response, needed: needed, began: b.clock.Now(), cut: make(chan struct{})}
}

func (b *Budget) add(h *Holding, n int64) {
	b.holdings[h] = struct{}{}
	h.bytes += n
	b.held += n
}

// fits reports whether n more bytes may be held for something of the given total size.
func (b *Budget) fits(n, total int64) bool {
	limit := b.limit
	if total > smallBytes {
		limit = int64(largeFraction * float64(limit))
	}
	return b.held+n <= limit
}

// Grow charges n more bytes before they are held. It returns ErrFull if there is no room
// now but there will be, since another holding is being cut, and ErrCut if h itself must
// end.
func (h *Holding) Grow(n int64) error {
	if h == nil {
		return nil
	}
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case h.isCut:
		return ErrCut
	case b.fits(n, h.bytes+n):
		h.bytes += n
		b.held += n
		return nil
	case b.cutting != nil || b.cutSlowest() || b.cutYounger(h):
		if h.isCut {
			return ErrCut
		}
		return ErrFull
	case h.response:
		return ErrFull // the endpoint waits until the caller has read some
	}
	b.cutHolding(h)
	return ErrCut
}

// Shrink releases n bytes of the holding.
func (h *Holding) Shrink(n int64) {
	if h == nil || n <= 0 {
		return
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	n = min(n, h.bytes)
	h.bytes -= n
	h.b.free(n)
}

// Release releases all bytes of the holding. Later calls do nothing.
func (h *Holding) Release() {
	if h == nil {
		return
	}
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.holdings, h)
	if b.cutting == h {
		b.cutting = nil
	}
	n := h.bytes
	h.bytes = 0
	b.free(n)
}

func (b *Budget) free(n int64) {
	b.held -= n
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// SetArrived records that the body has been read to its end. It is not cut any more.
func (h *Holding) SetArrived() {
	if h != nil {
		h.b.mu.Lock()
		defer h.b.mu.Unlock()
		h.arriving = false
	}
}

// SetSlow records whether the caller has stopped reading. Further calls with the same
// value do nothing.
func (h *Holding) SetSlow(slow bool) {
	if h == nil {
		return
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	switch {
	case !slow:
		h.slowSince = time.Time{}
	case h.slowSince.IsZero():
		h.slowSince = h.b.clock.Now()
	}
}

// Bytes returns the number of bytes held.
func (h *Holding) Bytes() int64 {
	if h == nil {
		return 0
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return h.bytes
}

// Cut returns a channel that is closed when the holding must end to make room for others.
func (h *Holding) Cut() <-chan struct{} {
	if h == nil {
		return nil
	}
	return h.cut
}

// IsCut reports whether the holding must end to make room for others.
func (h *Holding) IsCut() bool {
	select {
	case <-h.Cut():
		return true
	default:
		return false
	}
}

func (b *Budget) cutHolding(h *Holding) {
	b.cutting, h.isCut = h, true
	close(h.cut)
}

// cutSlowest cuts the slow caller that has held most for longest beyond what its response
// needs. It returns false if there is none. While one is being cut, that one suffices.
func (b *Budget) cutSlowest() bool {
	if b.cutting != nil {
		return true
	}
	now := b.clock.Now()
	var slowest *Holding
	most := 0.0
	for h := range b.holdings {
		excess := h.bytes - h.needed
		if !h.response || h.slowSince.IsZero() || excess <= 0 {
			continue
		}
		age := now.Sub(h.slowSince)
		if cost := float64(excess) * age.Seconds(); age >= minSlowTime && cost > most {
			slowest, most = h, cost
		}
	}
	if slowest == nil {
		return false
	}
	b.cutHolding(slowest)
	return true
}

// cutYounger cuts the large body that began last among those still arriving, if that makes
// room for h. A response goes before all of them, since its request has run.
func (b *Budget) cutYounger(h *Holding) bool {
	var youngest *Holding
	for other := range b.holdings {
		if !other.arriving || other.bytes <= smallBytes && other != h {
			continue
		}
		if youngest == nil || other.began.After(youngest.began) || other.began.Equal(youngest.began) && other == h {
			youngest = other
		}
	}
	if youngest == nil {
		return false
	}
	b.cutHolding(youngest)
	return true
}
