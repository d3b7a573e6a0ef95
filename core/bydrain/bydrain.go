// Package bydrain drains engines, so that an order that stops an engine
// interrupts no call.
//
// # Usage
//
// [New] takes a function that counts the open calls of an engine. [Drainer.Ready]
// starts to drain an engine on the first call and reports whether it is drained;
// [Drainer.Release] lets it get new calls again. The node announces the engines of
// [Drainer.Draining] in its heartbeats.
//
// A node that receives these heartbeats sends no new calls to the engines named
// there. An engine is drained once it has had no open call for longer than a
// heartbeat takes to arrive or to be noticed as missing.
package bydrain

import (
	"slices"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/bymember"
)

// minEmptyTime is how long an engine must drain without open calls before it
// counts as drained. A node that has not received the announcement by then has
// become suspect.
const minEmptyTime = bymember.SuspectAfter + 2*bymember.HeartbeatInterval

type drainState struct {
	emptySince time.Time // time since which no call is open; zero while calls are open
}

// Drainer drains engines that are about to stop serving. Its methods are safe for
// concurrent use. No other lock is taken while mu is held.
type Drainer struct {
	clock     burdockyard.Clock
	openCalls func(burdockyard.EndpointID) int

	mu       sync.Mutex
	draining map[burdockyard.EndpointID]*drainState
}

// New returns a [Drainer]. openCalls returns the number of open calls at an engine.
func New(clock burdockyard.Clock, openCalls func(burdockyard.EndpointID) int) *Drainer {
	return &Drainer{clock: clock, openCalls: openCalls, draining: map[burdockyard.EndpointID]*drainState{}}
}

// Ready starts to drain the engine, unless it is draining already, and reports
// whether it is drained.
func (d *Drainer) Ready(id burdockyard.EndpointID) bool {
	calls := d.openCalls(id)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	state := d.draining[id]
	if state == nil {
		state = &drainState{}
		d.draining[id] = state
	}
	switch {
	case calls > 0:
		state.emptySince = time.Time{}
	case state.emptySince.IsZero():
		state.emptySince = now
	}
	return !state.emptySince.IsZero() && now.Sub(state.emptySince) >= minEmptyTime
}

// Release stops draining the engine, so that it gets new calls again.
func (d *Drainer) Release(id burdockyard.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.draining, id)
}

// Draining returns the sorted ids of the engines that are draining.
func (d *Drainer) Draining() []burdockyard.EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []burdockyard.EndpointID
	for id := range d.draining {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
