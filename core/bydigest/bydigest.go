// Package bydigest summarizes what the nodes of a failure domain report, so that a
// fleet of several hundred nodes does not need a heartbeat from each node to each
// other one.
//
// # Usage
//
//	a := bydigest.New(clock, "zone-a")
//	a.RecordHeartbeat(hb)              // each new heartbeat, this node's own included
//	a.RecordDigest(digest)             // each digest of another failure domain
//	same, others := a.Take(full)       // once per round
//	// send same to the nodes of this domain, others to the relays of other domains
//
// # How news travels
//
// In a large fleet two nodes of each failure domain are relays. A node sends its
// heartbeats to the relays of its domain only. A relay adds the loads up, and passes
// the sums and the heartbeats on: to the nodes of its domain, and to the relays of
// the other domains. The number of datagrams then grows with the number of nodes and
// not with its square, and the bytes between failure domains with the number of
// engines.
//
// A heartbeat is passed on at most once by each relay, since relays record only those
// that are new to them. So news cannot circulate between two relays.
package bydigest

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockyard"
	"burdockyard/core/bylimit"
	"burdockyard/core/bymember"
)

const (
	// aliveInterval is the shortest time between two reports that a node is alive. It is
	// shorter than the interval of full heartbeats, so that each of these is reported.
	aliveInterval = 400 * time.Millisecond
	// forwardInterval is the time after which a heartbeat that has not changed is passed
	// on again, for nodes that have missed it.
	forwardInterval = 5 * time.Second
	// refreshInterval is the shortest time between two rounds in which all heartbeats
	// are passed on because a node has joined.
	refreshInterval = time.Second
	// sourceTTL is how long the loads that a node or another domain has reported are
	// used. Live sources repeat them several times within this time.
	sourceTTL = 1500 * time.Millisecond
)

// Digest is the open work of several nodes together, at each engine where it has
// changed.
type Digest struct {
	Domain      string // failure domain of the nodes; empty for the nodes of all domains
	Loads       []bymember.Load
	CachedParts []bymember.CachedPart
}

// Bundle is what a relay passes on in one round.
type Bundle struct {
	Heartbeats []bymember.Heartbeat // of nodes whose flags have changed, without loads
	Alive      []uint64             // bymember.Hash of each other node that has been heard
	Digest     Digest
}

// Aggregator collects heartbeats and digests, and returns what a relay passes on. It
// is safe for concurrent use; no other lock is taken while mu is held.
type Aggregator struct {
	clock  burdockyard.Clock
	domain string

	mu           sync.Mutex
	nodes        map[burdockyard.NodeID]*nodeState
	domains      map[string]*source // loads of the other failure domains, by domain
	changedHere  map[burdockyard.EndpointID]struct{}
	changedAny   map[burdockyard.EndpointID]struct{}
	partsHere    []bymember.CachedPart
	partsOutside []bymember.CachedPart
	hasJoined    bool // whether a node has joined since the last refresh
	refreshedAt  time.Time
}

// source holds the loads that a node or a domain has reported.
type source struct {
	loads      map[burdockyard.EndpointID]bymember.Load
	receivedAt time.Time
}

// nodeState is the latest heartbeat of a node. Nodes of other domains have no loads
// here, since these are part of the digest of their domain.
type nodeState struct {
	source
	heartbeat   bymember.Heartbeat
	recordedAt  time.Time // when the ages in the heartbeat were right
	hash        uint64    // bymember.Hash of the member
	forwardedAt time.Time
	reportedAt  time.Time // when it was last reported as alive or its heartbeat passed on
	pending     bool      // whether the heartbeat is to be passed on
	alive       bool      // whether the node is to be reported as alive
}

// New returns an Aggregator for a relay of the given failure domain.
func New(clock burdockyard.Clock, domain string) *Aggregator {
	return &Aggregator{
		clock: clock, domain: domain, nodes: map[burdockyard.NodeID]*nodeState{}, domains: map[string]*source{},
		changedHere: map[burdockyard.EndpointID]struct{}{}, changedAny: map[burdockyard.EndpointID]struct{}{},
	}
}

// RecordHeartbeat records a heartbeat that is newer than those recorded before of the
// same node.
func (a *Aggregator) RecordHeartbeat(hb bymember.Heartbeat) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	n := a.nodes[hb.Member.Node]
	if n == nil {
		n = &nodeState{source: source{loads: map[burdockyard.EndpointID]bymember.Load{}}}
		a.nodes[hb.Member.Node] = n
	}
	if hb.Member.Incarnation != n.heartbeat.Member.Incarnation {
		a.drop(&n.source, hb.Domain == a.domain) // the work of the former process is gone
		n.hash = bymember.Hash(hb.Member)
		a.hasJoined = a.hasJoined || hb.Domain == a.domain
	}
	if hb.Domain == a.domain {
		a.store(&n.source, hb.Loads, true)
		a.partsHere = append(a.partsHere, hb.CachedParts...)
	}
	n.receivedAt, n.recordedAt = now.Add(-hb.Waited), now
	if now.Sub(n.forwardedAt) >= forwardInterval || flagsChanged(n.heartbeat, hb) {
		n.pending = true
	}
	n.alive = true
	hb.Loads, hb.CachedParts = nil, nil
	n.heartbeat = hb
}

// RecordAlive records that a relay of another failure domain reports one of its nodes
// as alive. Reports on nodes of this domain have no effect: if two relays of a domain
// believed each other, a lost node would stay alive. waited is how long the report may have
// waited before it was read.
func (a *Aggregator) RecordAlive(id burdockyard.NodeID, waited time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := a.nodes[id]; n != nil && n.heartbeat.Domain != a.domain {
		n.receivedAt, n.alive = a.clock.Now().Add(-waited), true
	}
}

// flagsChanged reports whether peers must learn of b without delay, given that they
// know of a.
func flagsChanged(a, b bymember.Heartbeat) bool {
	return a.Member != b.Member || a.Leaving != b.Leaving || a.Ready != b.Ready || a.Generation != b.Generation || a.Capacity != b.Capacity ||
		a.SplitEra != b.SplitEra || a.SplitSeq != b.SplitSeq || len(b.StreamStarts) > 0 ||
		!slices.Equal(a.LeavingEndpoints, b.LeavingEndpoints) || b.Quarantine.IsNewsAfter(a.Quarantine) || bylimit.IsNewsAfter(b.Limits, a.Limits) ||
		!slices.Equal(a.HeldDuties, b.HeldDuties) || !slices.Equal(a.Reach.Lost, b.Reach.Lost) || // a node in doubt may leave and enter Reach.Reached often
		len(b.HeldEngines)+len(b.Suspicions) > 0 // peers forget those that are not repeated
}

// RecordDigest records the digest of another failure domain.
func (a *Aggregator) RecordDigest(d Digest) {
	if d.Domain == a.domain || d.Domain == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.domains[d.Domain]
	if s == nil {
		s = &source{loads: map[burdockyard.EndpointID]bymember.Load{}}
		a.domains[d.Domain] = s
	}
	s.receivedAt = a.clock.Now()
	a.store(s, d.Loads, false)
	a.partsOutside = append(a.partsOutside, d.CachedParts...)
}

// store replaces the loads of a source at the engines of the report. The caller must
// hold mu.
func (a *Aggregator) store(s *source, loads []bymember.Load, here bool) {
	for _, l := range loads {
		if s.loads[l.Engine] == l {
			continue
		}
		if l == (bymember.Load{Engine: l.Engine}) {
			delete(s.loads, l.Engine)
		} else {
			s.loads[l.Engine] = l
		}
		a.markChanged(l.Engine, here)
	}
}

// drop removes all loads of a source. The caller must hold mu.
func (a *Aggregator) drop(s *source, here bool) {
	for id := range s.loads {
		a.markChanged(id, here)
	}
	clear(s.loads)
}

func (a *Aggregator) markChanged(id burdockyard.EndpointID, here bool) {
	a.changedAny[id] = struct{}{}
	if here {
		a.changedHere[id] = struct{}{}
	}
}

// Take returns what has changed since the last call: for the nodes of this failure
// domain the sums over all domains, and for the relays of other domains the sums over
// this one. With full, the digests have every engine with open work, which makes up
// for lost datagrams.
func (a *Aggregator) Take(full bool) (sameDomain, otherDomains Bundle) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire()
	here, outside := map[burdockyard.EndpointID]bymember.Load{}, map[burdockyard.EndpointID]bymember.Load{}
	for _, n := range a.nodes {
		addLoads(here, n.loads)
	}
	for _, s := range a.domains {
		addLoads(outside, s.loads)
	}
	if full {
		for id := range here {
			a.markChanged(id, true)
		}
		for id := range outside {
			a.markChanged(id, false)
		}
	}
	otherDomains.Digest = Digest{Domain: a.domain, CachedParts: a.partsHere}
	for id := range a.changedHere {
		otherDomains.Digest.Loads = append(otherDomains.Digest.Loads, sum(id, here[id]))
	}
	sameDomain.Digest.CachedParts = append(slices.Clone(a.partsHere), a.partsOutside...)
	for id := range a.changedAny {
		sameDomain.Digest.Loads = append(sameDomain.Digest.Loads, sum(id, here[id], outside[id]))
	}
	sortLoads(sameDomain.Digest.Loads)
	sortLoads(otherDomains.Digest.Loads)
	clear(a.changedHere)
	clear(a.changedAny)
	a.partsHere, a.partsOutside = nil, nil
	a.takeHeartbeats(&sameDomain, &otherDomains)
	return sameDomain, otherDomains
}

// takeHeartbeats adds the heartbeats and the nodes that are to be reported as alive to
// the bundles. The caller must hold mu.
func (a *Aggregator) takeHeartbeats(sameDomain, otherDomains *Bundle) {
	now := a.clock.Now()
	refresh := a.hasJoined && now.Sub(a.refreshedAt) >= refreshInterval
	if refresh {
		a.hasJoined, a.refreshedAt = false, now
	}
	for _, n := range a.nodes {
		here := n.heartbeat.Domain == a.domain
		switch {
		case n.pending || refresh:
			n.pending, n.alive, n.forwardedAt, n.reportedAt = false, false, now, now
			hb := n.heartbeat.Aged(now.Sub(n.recordedAt))
			sameDomain.Heartbeats = append(sameDomain.Heartbeats, hb)
			if here {
				otherDomains.Heartbeats = append(otherDomains.Heartbeats, hb)
			}
		case n.alive && now.Sub(n.reportedAt) >= aliveInterval:
			n.alive, n.reportedAt = false, now
			sameDomain.Alive = append(sameDomain.Alive, n.hash)
			if here {
				otherDomains.Alive = append(otherDomains.Alive, n.hash)
			}
		}
	}
}

// expire removes the sources that have been silent for sourceTTL. The caller must hold
// mu.
func (a *Aggregator) expire() {
	now := a.clock.Now()
	for id, n := range a.nodes {
		if now.Sub(n.receivedAt) > sourceTTL {
			a.drop(&n.source, true)
			delete(a.nodes, id)
		}
	}
	for domain, s := range a.domains {
		if now.Sub(s.receivedAt) > sourceTTL {
			a.drop(s, false)
			delete(a.domains, domain)
		}
	}
}

func addLoads(total, loads map[burdockyard.EndpointID]bymember.Load) {
	for id, l := range loads {
		total[id] = sum(id, total[id], l)
	}
}

// sum adds up loads at one engine.
func sum(id burdockyard.EndpointID, loads ...bymember.Load) bymember.Load {
	total := bymember.Load{Engine: id}
	for _, l := range loads {
		total.PrefillTokens += l.PrefillTokens
		total.LongPromptTokens += l.LongPromptTokens
		total.Streams += l.Streams
		total.LongPromptStreams += l.LongPromptStreams
	}
	return total
}

func sortLoads(loads []bymember.Load) {
	slices.SortFunc(loads, func(a, b bymember.Load) int { return cmp.Compare(a.Engine, b.Engine) })
}

// Candidate is a node that may be a relay.
type Candidate struct {
	Node     burdockyard.NodeID
	Capacity float64 // load that its VM can serve, in CPU cores
}

// Compare orders the candidates of a failure domain, the best suited first: those on the
// largest VMs and, among equal ones, those that rendezvous hashing prefers. Nodes that
// know the same candidates agree on the order.
func Compare(a, b Candidate) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(relayScore(b.Node), relayScore(a.Node)), cmp.Compare(a.Node, b.Node))
}

func relayScore(id burdockyard.NodeID) uint64 { return xxhash.Sum64String("relay\x00" + string(id)) }

const (
	// datagramCost is the processor time to encode, send and receive one datagram, in
	// seconds of a core.
	datagramCost = 30e-6
	// relayCPUShare is the share of a relay's capacity that its rounds may use.
	relayCPUShare = 0.08
	// minRoundInterval and maxRoundInterval bound the time between two rounds.
	minRoundInterval = 20 * time.Millisecond
	maxRoundInterval = 400 * time.Millisecond
)

// RoundInterval returns the time between two rounds of a relay with the given capacity
// in CPU cores that sends to a number of receivers.
func RoundInterval(receivers int, capacity float64) time.Duration {
	if capacity <= 0 {
		return maxRoundInterval
	}
	seconds := float64(receivers) * datagramCost / (relayCPUShare * capacity)
	return min(max(time.Duration(seconds*float64(time.Second)), minRoundInterval), maxRoundInterval)
}
