// Package bymember tracks cluster membership from the heartbeats that nodes
// exchange.
//
// # Usage
//
//	v := bymember.New(clock, self)
//	v.RecordHeartbeat(heartbeat)  // for each heartbeat received
//	for _, hb := range v.Alive()  // nodes that callers may be directed to
//
// Suspecting a node changes only routing and the addresses that callers are given.
// The right to give orders to engines changes hands only through a lease.
package bymember

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/bylimit"
	"burdockyard/core/byquarantine"
	"burdockyard/core/byreach"
	"burdockyard/core/bysuspect"
	"burdockyard/core/byversion"
)

const (
	// HeartbeatInterval is the interval between heartbeats to one peer.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is the time without a heartbeat after which a peer is suspected
	// and callers are no longer directed to it.
	SuspectAfter = 2 * time.Second
	// RemoveAfter is the time without a heartbeat after which a peer is removed
	// from the view.
	RemoveAfter = 5 * time.Minute
)

// Load is the work that the sender of a heartbeat has outstanding at one engine.
type Load struct {
	Engine            burdockyard.EndpointID
	PrefillTokens     int // prompt tokens still to be prefilled
	LongPromptTokens  int // part of PrefillTokens that belongs to long prompts
	Streams           int // open response streams
	LongPromptStreams int // part of Streams that answers long prompts
}

// CachedPart is a part of a prompt that an engine has just prefilled and now holds
// in its KV cache.
type CachedPart struct {
	Engine burdockyard.EndpointID
	PartID uint64 // ID of the prompt part, as in burdockyard.PromptPart
	Tokens int    // length of the part
}

// Heartbeat is the state that a node reports about itself to its peers.
type Heartbeat struct {
	Member            burdockyard.Member
	CallerAddr        string // host:port where the node accepts callers
	Domain            string // failure domain of the node
	Leaving           bool   // whether the node is shutting down
	Generation        uint64 // manifest generation or routing configuration version that the node uses
	RecentlyConfirmed bool   // whether the node confirmed Generation recently
	Seq               uint64 // increases with each heartbeat of an incarnation
	Loads             []Load
	HeldEngines       []burdockyard.EndpointID  // engines that get no new work for now
	LeavingEndpoints  []byfleet.LeavingEndpoint // endpoints that have told this node, or another one, that they are about to end
	CachedParts       []CachedPart              // prompt parts that engines have prefilled since the previous heartbeat
	Quarantine        byquarantine.News         // inputs that end endpoints
	Suspicions        []bysuspect.Suspicion     // ends of endpoints that are not proved
	Limits            []bylimit.Statement       // limits that endpoints have named to this node
	Reach             byreach.Peer              // services whose endpoints the node reaches, and those that it has lost
	Ready             bool                      // whether the node accepts callers
	Capacity          float64                   // share of a core that the node may use; weights the directory's answers
	SplitEra          uint64                    // era of the newest byversion.Record that the node knows
	SplitSeq          uint64                    // number of that record
	StreamStarts      []byversion.Start         // streams that the node has begun, as byversion.Table.News returns them
	UnixMS            int64                     // the node's estimate of true time, in Unix milliseconds; 0 if it does not tell
	HeldDuties        []HeldDuty                // duties towards the platform that the node holds
	ChecksKeys        bool                      // whether the node checks the keys of workspaces
	Stale             bool                      // whether the node cannot prove that its configuration is recent

	// Waited is how long the heartbeat may have waited in a socket of the receiver. It is
	// not sent.
	Waited time.Duration
}

// HeldDuty is a duty towards the platform, and the fencing number under which a node holds it.
type HeldDuty struct {
	Duty  burdockyard.Duty
	Fence uint64
}

// Aged returns a copy of hb that has waited for d longer: all ages that it tells are of a
// time d later.
func (hb Heartbeat) Aged(d time.Duration) Heartbeat {
	if d == 0 {
		return hb
	}
	hb.Waited += d
	hb.Suspicions = bysuspect.Aged(hb.Suspicions, d)
	hb.Quarantine, hb.Limits, hb.StreamStarts = hb.Quarantine.Aged(d), bylimit.Aged(hb.Limits, d), byversion.Aged(hb.StreamStarts, d)
	return hb
}

// Hash returns a hash of a member's node and incarnation. Relays use it to tell which
// members are alive.
func Hash(m burdockyard.Member) uint64 {
	return xxhash.Sum64String(string(m.Node) + "\x00" + string(m.Incarnation))
}

type peer struct {
	heartbeat  Heartbeat
	hash       uint64 // Hash of heartbeat.Member
	receivedAt time.Time
}

// View is one node's view of its peers. It is safe for concurrent use; no other
// lock is acquired while mu is held.
type View struct {
	clock burdockyard.Clock
	self  burdockyard.Member

	mu     sync.RWMutex
	peers  map[burdockyard.NodeID]*peer
	byHash map[uint64]*peer
}

// New returns a View without peers. Heartbeats of self are ignored.
func New(clock burdockyard.Clock, self burdockyard.Member) *View {
	return &View{clock: clock, self: self, peers: map[burdockyard.NodeID]*peer{}, byHash: map[uint64]*peer{}}
}

// RecordHeartbeat records a heartbeat. It ignores one whose Seq is not above the
// last recorded of the same incarnation, so that late and duplicate deliveries have
// no effect. It reports whether the heartbeat is new.
func (v *View) RecordHeartbeat(hb Heartbeat) bool {
	if hb.Member.Node == v.self.Node {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[hb.Member.Node]
	if p != nil && p.heartbeat.Member.Incarnation == hb.Member.Incarnation && hb.Seq <= p.heartbeat.Seq {
		return false
	}
	receivedAt := v.clock.Now().Add(-hb.Waited)
	if p != nil {
		delete(v.byHash, p.hash)
		receivedAt = latest(receivedAt, p.receivedAt)
	}
	p = &peer{heartbeat: hb, hash: Hash(hb.Member), receivedAt: receivedAt}
	v.peers[hb.Member.Node], v.byHash[p.hash] = p, p
	return true
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// RecordAlive records that a relay has lately heard a member, given by its Hash. The
// member's latest heartbeat then counts as received now, or before the time for which the
// message of the relay may have waited. It returns false if the view has no heartbeat of
// the member.
func (v *View) RecordAlive(hash uint64, waited time.Duration) (burdockyard.NodeID, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.byHash[hash]
	if p == nil {
		return "", false
	}
	p.receivedAt = latest(v.clock.Now().Add(-waited), p.receivedAt)
	return p.heartbeat.Member.Node, true
}

// Alive returns the latest heartbeat of each peer that is not suspected, ordered by
// node.
func (v *View) Alive() []Heartbeat { return v.ReceivedWithin(SuspectAfter) }

// ReceivedWithin returns the latest heartbeat of each peer, if it was received less
// than d ago, ordered by node.
func (v *View) ReceivedWithin(d time.Duration) []Heartbeat {
	v.mu.RLock()
	defer v.mu.RUnlock()
	now := v.clock.Now()
	var heartbeats []Heartbeat
	for _, p := range v.peers {
		if now.Sub(p.receivedAt) < d {
			heartbeats = append(heartbeats, p.heartbeat)
		}
	}
	slices.SortFunc(heartbeats, func(a, b Heartbeat) int { return cmp.Compare(a.Member.Node, b.Member.Node) })
	return heartbeats
}

// CountWithin returns the number of peers from which a heartbeat was received less than d ago.
func (v *View) CountWithin(d time.Duration) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	now, count := v.clock.Now(), 0
	for _, p := range v.peers {
		if now.Sub(p.receivedAt) < d {
			count++
		}
	}
	return count
}

// RemoveExpired removes the peers whose last heartbeat is older than RemoveAfter.
func (v *View) RemoveExpired() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	for id, p := range v.peers {
		if now.Sub(p.receivedAt) > RemoveAfter {
			delete(v.byHash, p.hash)
			delete(v.peers, id)
		}
	}
}

// NewestGeneration returns the highest manifest generation that a live peer
// reports, or 0 if there is none.
func (v *View) NewestGeneration() uint64 {
	var newest uint64
	for _, hb := range v.Alive() {
		newest = max(newest, hb.Generation)
	}
	return newest
}

// PeerLoads returns, for each engine, the sum of the loads that live peers report.
func (v *View) PeerLoads() map[burdockyard.EndpointID]Load {
	sum := map[burdockyard.EndpointID]Load{}
	for _, hb := range v.Alive() {
		for _, l := range hb.Loads {
			s := sum[l.Engine]
			s.Engine = l.Engine
			s.PrefillTokens += l.PrefillTokens
			s.LongPromptTokens += l.LongPromptTokens
			s.Streams += l.Streams
			s.LongPromptStreams += l.LongPromptStreams
			sum[l.Engine] = s
		}
	}
	return sum
}

// HeldEngines returns the engines that get no new work for now, according to live
// peers. It may contain duplicates.
func (v *View) HeldEngines() []burdockyard.EndpointID {
	var ids []burdockyard.EndpointID
	for _, hb := range v.Alive() {
		ids = append(ids, hb.HeldEngines...)
	}
	return ids
}

// Rank returns this node's rank, from 0, among the nodes that may do the job named
// key. The order is by rendezvous hashing: nodes with the same live peers compute
// the same order, and when a node leaves, only its own jobs move. Nodes of the
// failure domain named domain come first.
func (v *View) Rank(key, domain, ownDomain string) int {
	return v.RankAmong(key, domain, ownDomain, func(Heartbeat) bool { return true })
}

// RankAmong is like Rank, but counts only those other nodes for which eligible returns
// true.
func (v *View) RankAmong(key, domain, ownDomain string, eligible func(Heartbeat) bool) int {
	ownScore := score(key, v.self.Node)
	rank := 0
	for _, hb := range v.Alive() {
		if hb.Leaving || !eligible(hb) {
			continue
		}
		if ranksBefore(hb.Domain == domain, score(key, hb.Member.Node), ownDomain == domain, ownScore) {
			rank++
		}
	}
	return rank
}

// RankByCapacity returns this node's rank, from 0, among the nodes of its failure
// domain, in descending order of capacity. Nodes of equal capacity are ordered by
// rendezvous hashing for the job named key.
func (v *View) RankByCapacity(key, ownDomain string, ownCapacity float64) int {
	ownScore := score(key, v.self.Node)
	rank := 0
	for _, hb := range v.Alive() {
		if hb.Leaving || hb.Domain != ownDomain || hb.Capacity < ownCapacity {
			continue
		}
		if hb.Capacity > ownCapacity || score(key, hb.Member.Node) > ownScore {
			rank++
		}
	}
	return rank
}

// FirstByCapacity returns the first eligible peers, at most limit, in the order of
// RankByCapacity.
func (v *View) FirstByCapacity(key string, limit int, eligible func(Heartbeat) bool) []Heartbeat {
	peers := slices.DeleteFunc(v.Alive(), func(hb Heartbeat) bool { return hb.Leaving || !eligible(hb) })
	slices.SortFunc(peers, func(a, b Heartbeat) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(score(key, b.Member.Node), score(key, a.Member.Node)))
	})
	return peers[:min(limit, len(peers))]
}

func ranksBefore(aPreferred bool, aScore uint64, bPreferred bool, bScore uint64) bool {
	if aPreferred != bPreferred {
		return aPreferred
	}
	return aScore > bScore
}

func score(key string, node burdockyard.NodeID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(node))
}
