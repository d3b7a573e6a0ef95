package byroute

import (
	"time"

	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
)

// estimatedLoad returns the estimated open work of all nodes at an engine.
//
// The loads reported by peers are half a second old, which is longer than most
// prompts take. If all nodes relied on them, they would send the calls of the next
// half second to the same few engines, and would fill the same free slots within
// the second that a burst of calls lasts. Callers choose their node at random, so
// this node's own open work, which is known without delay, multiplied by the number
// of nodes is the better estimate. Only long prompts last long enough for the
// reports of peers to be useful.
func (e *engineState) estimatedLoad(nodes int) bymember.Load {
	long := e.local.LongPromptTokens + e.peers.LongPromptTokens
	return bymember.Load{
		PrefillTokens:    (e.local.PrefillTokens-e.local.LongPromptTokens)*nodes + long,
		LongPromptTokens: long,
		Streams:          e.local.Streams * nodes,
	}
}

// prefillDelay returns the wait to expect at an engine, estimated from its last
// token gap.
//
// The gaps between an engine's tokens widen as soon as it processes prompts. The
// calls that a node has open thus show it which engines are busy with the prompts
// of other nodes, long before the loads reported by those nodes do.
func (e *engineState) prefillDelay(now time.Time) time.Duration {
	if now.Sub(e.lastTokenAt) > tokenGapMaxAge {
		return unknownPrefillDelay
	}
	return min(time.Duration(prefillDelayFactor*float64(max(e.lastTokenGap-decodeOnlyTokenGap, 0))), maxPrefillDelay)
}

// NodePosition is the position of a node among the nodes that share the engines.
type NodePosition struct {
	Index int // unique to the node, from 0 to Nodes-1
	Nodes int // number of nodes, at least 1
}

// slots returns how many slots of an engine's batch are the node's share. hash is
// that of the engine's ID; it spreads the slots that remain after an equal division
// over different nodes at each engine.
func (p NodePosition) slots(hash uint64, batchSlots int) int {
	share := batchSlots / p.Nodes
	if (uint64(p.Index)+hash)%uint64(p.Nodes) < uint64(batchSlots%p.Nodes) {
		share++
	}
	return share
}

// slotCacheEntry caches which of a model's engines have batch slots for this node.
type slotCacheEntry struct {
	allEngines []*bymanifest.Engine // all engines of the model when the cache was filled
	position   NodePosition         // position of the node when the cache was filled
	withSlots  []*bymanifest.Engine // those of the engines that have slots for the node
}

// enginesWithSlots returns those of a model's engines whose batches have slots for
// this node. With 330 nodes these are a tenth of the engines, so most engines of a
// random sample would have no slot for it while the fleet is busy.
func (r *Router) enginesWithSlots(engines []*bymanifest.Engine) []*bymanifest.Engine {
	model := engines[0].Model()
	cached := r.slotCache[model.Name]
	if cached.position == r.position && len(cached.allEngines) == len(engines) && cached.allEngines[0] == engines[0] {
		return cached.withSlots
	}
	cached = slotCacheEntry{allEngines: engines, position: r.position}
	for _, e := range engines {
		if r.position.slots(r.state(e.ID()).idHash, model.MaxStreams) > 0 {
			cached.withSlots = append(cached.withSlots, e)
		}
	}
	r.slotCache[model.Name] = cached
	return cached.withSlots
}

// hasSlot reports whether the node may take one more slot of the engine's batch.
//
// The slots are divided among the nodes: of 32 slots, each of 7 nodes has 4, and 4
// of the nodes, different ones at each engine, have one more. If every node took
// any slot that looks free, they would overfill the batch in a burst, and a stream
// that queues at the engine gets its first token too late. A node with more callers
// than the others may exceed its share as long as half of the batch would remain
// free even if every other node had added as many streams as this one since the
// last call of UpdatePeers.
func (e *engineState) hasSlot(p NodePosition, batchSlots int) bool {
	if e.local.Streams < p.slots(e.idHash, batchSlots) {
		return true
	}
	assumedGrowth := (p.Nodes - 1) * max(0, e.local.Streams-e.localAtUpdate.Streams)
	return e.local.Streams+e.peers.Streams+assumedGrowth < batchSlots/2
}

// recordPrefill updates the estimate of how much longer prompts take than on an
// engine that processes nothing else.
func (r *Router) recordPrefill(took, expected time.Duration) {
	const smoothing, maxSlowdown = 0.02, 4.0
	slowdown := min(max(ratioToExpected(took, expected), 1), maxSlowdown)
	r.prefillSlowdown += smoothing * (slowdown - r.prefillSlowdown)
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
