// Package byusage counts the requests of each workspace that begin in each window of true
// time, and merges the counts of all nodes into one report for each window.
//
// # Usage
//
//	counter := byusage.NewCounter()
//	counter.Begin(window, workspace)          // on each node
//	windows := counter.Report(window)         // what the node sends to the holder of the duty
//	counter.Ack(ack)                          // what the holder sends back
//
//	ledger, err := byusage.Decode(pieces)     // at the holder, from the store
//	acks := ledger.Merge(process, windows)
//	if ledger.IsComplete(w, living) { ledger.FixNext() }
//	state := ledger.Encode(era); … write it to the store …; ledger.Saved(state)
//	for _, r := range ledger.Due() { … report r …; ledger.Reported(r.Number) }
//
// # One content for each window
//
// The content of a window is fixed before it is reported, and is reported only once the store
// holds it. Counts that come later are dropped. Each process counts up from zero, and the
// ledger keeps the highest counts of each process, so repeated, reordered and lost messages
// do no harm.
package byusage

import (
	"maps"
	"slices"
	"sync"
)

// maxWindows is the largest number of windows that a node keeps for the holder.
const maxWindows = 12

// Window is what one process has counted in one window. Its counts only rise.
type Window struct {
	Number int64            // windows since the start of 1970
	Begun  map[string]int64 // number of requests that began, by workspace
}

// Ack tells a node that its counts of a window are stored, or that the window has been
// reported and no count can be added.
type Ack struct {
	Window   int64
	Reported bool
}

// Counter counts the requests that begin on one node. It is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	windows map[int64]*counted
}

type counted struct {
	begun  map[string]int64
	stored bool // whether the holder has stored these counts
}

// NewCounter returns a Counter without counts.
func NewCounter() *Counter { return &Counter{windows: map[int64]*counted{}} }

// Begin counts a request that begins in the given window.
func (c *Counter) Begin(window int64, workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.window(window)
	w.begun[workspace]++
	w.stored = false
}

// window returns a window, which it adds if necessary. mu must be held.
func (c *Counter) window(number int64) *counted {
	w := c.windows[number]
	if w == nil {
		w = &counted{begun: map[string]int64{}}
		c.windows[number] = w
	}
	return w
}

// Report returns the windows that are not stored yet, and the current one, in order. A window
// without requests is among them: it says that the node has counted none.
func (c *Counter) Report(current int64) []Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window(current)
	var windows []Window
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		w := c.windows[number]
		switch {
		case number <= current-maxWindows:
			delete(c.windows, number)
		case number >= current || !w.stored:
			windows = append(windows, Window{Number: number, Begun: maps.Clone(w.begun)})
		}
	}
	return windows
}

// Ack records what the holder has told of a window that had ended when it was reported.
func (c *Counter) Ack(a Ack) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Reported {
		delete(c.windows, a.Window)
	} else if w := c.windows[a.Window]; w != nil {
		w.stored = true
	}
}

// Resend makes Report return all windows, for another holder.
func (c *Counter) Resend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.windows {
		w.stored = false
	}
}
