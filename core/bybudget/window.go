package bybudget

import (
	"sync"
	"time"

	"burdockyard"
)

// WindowBudget is a retry budget over a sliding window: at any moment, the retries of
// the last window are at most a ratio of the requests in it plus a slack. Unlike a
// Budget, whose burst is small if many nodes share one limit, it allows the retries that
// the requests of a whole window have earned to be spent at once, for example when many
// endpoints end at the same time. Its methods may be called from several goroutines; mu
// is a leaf lock.
type WindowBudget struct {
	clock burdockyard.Clock

	mu     sync.Mutex
	ratio  float64       // retries that one request allows
	slack  float64       // retries allowed regardless of the requests
	window time.Duration // length of the window
	slots  [windowSlots + 1]windowSlot
	newest int // index of the slot for the current time
}

// windowSlots is the number of slots that divide the window. One more is kept for
// retries, so that none is forgotten before the window is over.
const windowSlots = 20

// windowSlot counts what happened in one part of the window.
type windowSlot struct {
	start    time.Time
	requests int
	retries  int
}

// NewWindow returns a WindowBudget without requests.
func NewWindow(clock burdockyard.Clock, ratio, slack float64, window time.Duration) *WindowBudget {
	b := &WindowBudget{clock: clock}
	b.SetLimits(ratio, slack, window)
	return b
}

// SetLimits changes the limits. If the window changes, the budget forgets what has
// happened.
func (b *WindowBudget) SetLimits(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if window != b.window {
		b.slots = [windowSlots + 1]windowSlot{}
	}
	b.ratio, b.slack, b.window = ratio, slack, window
}

// Deposit counts a request.
func (b *WindowBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
}

// TryWithdraw takes one retry from the budget. It returns false if none is available.
func (b *WindowBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.current()
	if b.balance() < 1 {
		return false
	}
	slot.retries++
	return true
}

// Balance returns the number of available retries, which may be a fraction, or negative
// after the limits were lowered.
func (b *WindowBudget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current()
	return b.balance()
}

// current returns the slot for the current time, and empties it if it is used for the
// first time. The caller must hold mu.
func (b *WindowBudget) current() *windowSlot {
	now := b.clock.Now()
	slot := &b.slots[b.newest]
	if now.Sub(slot.start) < b.window/windowSlots {
		return slot
	}
	b.newest = (b.newest + 1) % len(b.slots)
	slot = &b.slots[b.newest]
	*slot = windowSlot{start: now}
	return slot
}

// balance implements Balance. The caller must hold mu and have called current.
func (b *WindowBudget) balance() float64 {
	now := b.clock.Now()
	slotTime := b.window / windowSlots
	requests, retries := 0, 0
	for _, s := range b.slots {
		if age := now.Sub(s.start); age <= b.window {
			requests += s.requests
			retries += s.retries
		} else if age <= b.window+slotTime {
			retries += s.retries // the end of the slot is still part of the window
		}
	}
	return b.ratio*float64(requests) + b.slack - float64(retries)
}
