package byroute

import (
	"time"

	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
)

// load returns the work at an engine as it probably is now.
//
// What the peers last said is half a second old, longer than most prompts take.
// Nodes that all go by it send the next half second's calls to the same few
// engines, and fill the same free places within the second of a burst of
// callers. Callers choose their node at random, so a node's own open work, which
// it knows at once, times the nodes is the better estimate. Only long prompts
// last long enough for what the peers said of them.
func (e *engine) load(nodes int) bymember.Load {
	long := e.own.LongTokens + e.peers.LongTokens
	return bymember.Load{
		PrefillTokens: (e.own.PrefillTokens-e.own.LongTokens)*nodes + long,
		LongTokens:    long,
		Streams:       e.own.Streams * nodes,
	}
}

// prompting returns the wait that an engine's last tokens tell of.
//
// An engine that processes prompts makes its tokens farther apart at once. The
// calls that a node has open anywhere thus tell it which engines are busy now
// with prompts that other nodes sent, long before any digest does.
func (e *engine) prompting(now time.Time) time.Duration {
	if now.Sub(e.lastAt) > gapFresh {
		return promptingUnknown
	}
	return min(time.Duration(promptingWeight*float64(max(e.lastGap-promptingGap, 0))), promptingMost)
}

// Place is a node's place among the nodes that share the engines.
type Place struct {
	Index int // from 0, another for each node
	Nodes int
}

// places returns how many places of an engine's batch are the node's.
func (p Place) places(hash uint64, places int) int {
	own := places / p.Nodes
	if (uint64(p.Index)+hash)%uint64(p.Nodes) < uint64(places%p.Nodes) {
		own++
	}
	return own
}

// home is the engines whose batches have places for this node.
type home struct {
	of      []*bymanifest.Engine // the model's engines for which it holds
	place   Place
	engines []*bymanifest.Engine
}

// homeOf returns the node's home among a model's engines. With 330 nodes it is a
// tenth of them: a random few would mostly have no place while the fleet is
// busy.
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

// seat reports whether the node may take one more place of the engine's batch.
//
// The places are shared out: of 32, each of 7 nodes has 4, and 4 of the nodes,
// others at each engine, have one more. Nodes that all took what looks free
// would overfill the batch in a burst, and a stream that waits at the engine
// gets its first token too late. A node that has more callers than the others
// may go beyond its share while half of the batch stays free, even if all the
// others grew like it since they last told.
func (e *engine) seat(p Place, places int) bool {
	if e.own.Streams < p.places(e.hash, places) {
		return true
	}
	grown := (p.Nodes - 1) * max(0, e.own.Streams-e.atTick.Streams)
	return e.own.Streams+e.peers.Streams+grown < places/2
}

// notePrefill learns how much longer prompts take than the rate of an engine
// that does nothing else.
func (r *Router) notePrefill(took, expected time.Duration) {
	const weight, most = 0.02, 4.0
	x := min(max(relative(took, expected), 1), most)
	r.stretch += weight * (x - r.stretch)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
