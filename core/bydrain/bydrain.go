// Package bydrain decides when an engine is empty, so that an order which takes
// it away cuts nothing.
//
// # Usage
//
//	g := bydrain.New(clock, open)
//	if g.Ready("q1") { … send the order … }   // holds q1 from the first call on
//	g.Release("q1")                           // it may get work again
//	heartbeat.Holds = g.Held()
//
// A held engine gets no new work on any node that hears the holder's
// heartbeats. It counts as empty once nobody has had a call open there for a
// while that is longer than a heartbeat takes to be heard or missed.
package bydrain

import (
	"slices"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/bymember"
)

// minEmptyTime is how long an engine must have been held, and without open calls.
// A node that missed the hold has been suspect for as long.
const minEmptyTime = bymember.SuspectAfter + 2*bymember.HeartbeatEvery

type drainState struct {
	emptySince time.Time // since when no call is open; zero if one is
}

// Gate holds engines that are about to be taken away. Its methods may be called
// from several goroutines; mu is a leaf lock.
type Gate struct {
	clock     burdockyard.Clock
	openCalls func(burdockyard.EndpointID) int

	mu       sync.Mutex
	draining map[burdockyard.EndpointID]*drainState
}

// New returns a Gate. open tells how many calls are open at an engine.
func New(clock burdockyard.Clock, openCalls func(burdockyard.EndpointID) int) *Gate {
	return &Gate{clock: clock, openCalls: openCalls, draining: map[burdockyard.EndpointID]*drainState{}}
}

// Ready reports whether the engine is empty, and holds it from now on.
func (d *Gate) Ready(id burdockyard.EndpointID) bool {
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

// Release lets the engine get work again.
func (d *Gate) Release(id burdockyard.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.draining, id)
}

// Held returns the engines that are held, in order.
func (d *Gate) Held() []burdockyard.EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []burdockyard.EndpointID
	for id := range d.draining {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
