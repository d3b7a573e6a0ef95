package byroute

import (
	"time"

	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
)

// load returns the estimated open work of all nodes at an engine.
//
// The loads reported by peers are half a second old, which is longer than most
// prompts take. If all nodes relied on them, they would send the calls of the next
// half second to the same few engines, and would fill the same free slots within the
// second that a burst of calls lasts. Callers choose their node at random, so this
// node's own open work, which is known without delay, multiplied by the number of
// nodes is the better estimate. Only long prompts last long enough for the reports
// of peers to be useful.
func (e *engine) load(nodes int) bymember.Load {
	long := e.own.LongTokens + e.peers.LongTokens
	return bymember.Load{
		PrefillTokens: (e.own.PrefillTokens-e.own.LongTokens)*nodes + long,
		LongTokens:    long,
		Streams:       e.own.Streams * nodes,
	}
}

// prompting returns the wait to expect at an engine, estimated from its last token
// gap.
//
// The gaps between an engine's tokens widen as soon as it processes prompts. The
// calls that a node has open thus show it which engines are busy with the prompts
// of other nodes, long before the loads reported by those nodes do.
func (e *engine) prompting(now time.Time) time.Duration {
	if now.Sub(e.lastAt) > gapFresh {
		return promptingUnknown
	}
	return min(time.Duration(promptingWeight*float64(max(e.lastGap-promptingGap, 0))), promptingMost)
}

// Place is the position of a node among the nodes that share the engines.
type Place struct {
	Index int // unique to the node, from 0 to Nodes-1
	Nodes int // number of nodes, at least 1
}

// places returns how many slots of an engine's batch are the node's share. hash is
// that of the engine's ID; it spreads the slots that remain after an equal division
// over different nodes at each engine.
func (p Place) places(hash uint64, places int) int {
	own := places / p.Nodes
	if (uint64(p.Index)+hash)%uint64(p.Nodes) < uint64(places%p.Nodes) {
		own++
	}
	return own
}

// home caches which of a model's engines have batch slots for this node.
type home struct {
	of      []*bymanifest.Engine // all engines of the model when the cache was filled
	place   Place                // place of the node when the cache was filled
	engines []*bymanifest.Engine // those of the engines that have slots for the node
}

// homeOf returns those of a model's engines whose batches have slots for this node.
// With 330 nodes these are a tenth of the engines, so most engines of a random
// sample would have no slot for it while the fleet is busy.
func (r *Router) homeOf(engines []*bymanifest.Engine) []*bymanifest.Engine {
	model := engines[0].Model()
	h := r.homes[model.Name]
	if h.place == r.place && len(h.of) == len(engines) && h.of[0] == engines[0] {
		return h.engines
	}
	h = home{of: engines, place: r.place}
	for _, e := range engines {
		if r.place.places(r.entry(e.ID()).hash, model.MaxStreams) > 0 {
			h.engines = append(h.engines, e)
		}
	}
	r.homes[model.Name] = h
	return h.engines
}

// seat reports whether the node may take one more slot of the engine's batch.
//
// The slots are divided among the nodes: of 32 slots, each of 7 nodes has 4, and 4
// of the nodes, different ones at each engine, have one more. If every node took
// any slot that looks free, they would overfill the batch in a burst, and a stream
// that queues at the engine gets its first token too late. A node with more callers
// than the others may exceed its share as long as half of the batch would remain
// free even if every other node had added as many streams as this one since the
// last Tick.
func (e *engine) seat(p Place, places int) bool {
	if e.own.Streams < p.places(e.hash, places) {
		return true
	}
	grown := (p.Nodes - 1) * max(0, e.own.Streams-e.atTick.Streams)
	return e.own.Streams+e.peers.Streams+grown < places/2
}

// notePrefill updates the estimate of how much longer prompts take than on an engine
// that processes nothing else.
func (r *Router) notePrefill(took, expected time.Duration) {
	const weight, most = 0.02, 4.0
	x := min(max(relative(took, expected), 1), most)
	r.stretch += weight * (x - r.stretch)
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
