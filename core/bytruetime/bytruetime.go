// Package bytruetime estimates true time from the wall clocks of all nodes. The wall clock of
// a single VM may be wrong or step; most are right.
//
// # Usage
//
//	e := bytruetime.New(clock, self)
//	e.Observe(peer, unixMS, waited) // for each heartbeat that comes from the peer itself
//	e.ObserveOwn(time.Now())        // about as often
//	window := e.Now().UnixNano() / int64(length)
//
// Statements are kept as offsets from a clock that never steps, so they stay good while no
// new ones come. The estimate is the median of the offsets.
package bytruetime

import (
	"slices"
	"sync"
	"time"

	"burdockyard"
)

const (
	// statementTTL is how long a statement counts. A VM that has stopped counts no longer.
	statementTTL = 10 * time.Second
	// maxWait is the longest time for which a statement may have waited unread. A longer
	// one would make its clock look slow.
	maxWait = 100 * time.Millisecond
)

type statement struct {
	offset time.Duration // wall clock minus the clock of the Estimator
	at     time.Time
}

// Estimator estimates true time for one node. It is safe for concurrent use.
type Estimator struct {
	clock burdockyard.Clock
	self  burdockyard.NodeID

	mu         sync.Mutex
	statements map[burdockyard.NodeID]statement
	offset     time.Duration // the median
}

// New returns an Estimator that takes the clock for true time until it observes statements.
func New(clock burdockyard.Clock, self burdockyard.NodeID) *Estimator {
	return &Estimator{clock: clock, self: self, statements: map[burdockyard.NodeID]statement{}}
}

// Observe records what a peer's wall clock showed when it sent a message. waited is how long
// the message may have waited before it was read.
func (e *Estimator) Observe(peer burdockyard.NodeID, unixMS int64, waited time.Duration) {
	if unixMS > 0 && waited <= maxWait && peer != e.self {
		e.record(peer, time.UnixMilli(unixMS))
	}
}

// ObserveOwn records what this VM's wall clock shows, and forgets old statements.
func (e *Estimator) ObserveOwn(wall time.Time) {
	e.record(e.self, wall)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	var offsets []time.Duration
	for id, s := range e.statements {
		if now.Sub(s.at) >= statementTTL {
			delete(e.statements, id)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	e.offset = offsets[(len(offsets)-1)/2]
}

func (e *Estimator) record(id burdockyard.NodeID, wall time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	// Both times without monotonic readings, which say nothing about the wall clock.
	e.statements[id] = statement{wall.Round(0).Sub(now.Round(0)), now}
}

// Now returns the estimate of true time.
func (e *Estimator) Now() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Now().Round(0).Add(e.offset)
}
