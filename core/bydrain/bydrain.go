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

// settle is how long an engine must have been held, and without open calls.
// A node that missed the hold has been suspect for as long.
const settle = bymember.SuspectAfter + 2*bymember.HeartbeatEvery

type hold struct {
	empty time.Time // since when no call is open; zero if one is
}

// Gate holds engines that are about to be taken away. Its methods may be called
// from several goroutines; mu is a leaf lock.
type Gate struct {
	clock burdockyard.Clock
	open  func(burdockyard.EndpointID) int

	mu    sync.Mutex
	holds map[burdockyard.EndpointID]*hold
}

// New returns a Gate. open tells how many calls are open at an engine.
func New(clock burdockyard.Clock, open func(burdockyard.EndpointID) int) *Gate {
	return &Gate{clock: clock, open: open, holds: map[burdockyard.EndpointID]*hold{}}
}

// Ready reports whether the engine is empty, and holds it from now on.
func (g *Gate) Ready(id burdockyard.EndpointID) bool {
	open := g.open(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	h := g.holds[id]
	if h == nil {
		h = &hold{}
		g.holds[id] = h
	}
	switch {
	case open > 0:
		h.empty = time.Time{}
	case h.empty.IsZero():
		h.empty = now
	}
	return !h.empty.IsZero() && now.Sub(h.empty) >= settle
}

// Release lets the engine get work again.
func (g *Gate) Release(id burdockyard.EndpointID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.holds, id)
}

// Held returns the engines that are held, in order.
func (g *Gate) Held() []burdockyard.EndpointID {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []burdockyard.EndpointID
	for id := range g.holds {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
