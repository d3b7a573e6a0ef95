// Package bymember knows which nodes are there, from their heartbeats.
//
// # Usage
//
//	v := bymember.New(clock, self)
//	v.Hear(heartbeat)            // for each heartbeat received
//	for _, p := range v.Alive()  // nodes that callers may be sent to
//
// Suspicion moves routing and addresses only. Authority moves by lease alone.
package bymember

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockyard"
)

const (
	// HeartbeatEvery is the time between two heartbeats to one peer.
	HeartbeatEvery = 500 * time.Millisecond
	// SuspectAfter is the silence after which a peer gets no callers.
	SuspectAfter = 2 * time.Second
	// ForgetAfter is the silence after which a peer is dropped.
	ForgetAfter = 5 * time.Minute
)

// Load is one engine's line of a load digest: work that the sender has open there.
type Load struct {
	Engine        burdockyard.EndpointID
	PrefillTokens int // of prompts not processed yet
	LongTokens    int // the part of them that belongs to long prompts
	Streams       int
	LongStreams   int // those of them that answer long prompts
}

// Cached is a part of a prompt that an engine has just read.
type Cached struct {
	Engine burdockyard.EndpointID
	Part   uint64
	Tokens int
}

// Heartbeat is what a node tells its peers of itself.
type Heartbeat struct {
	Member     burdockyard.Member
	CallerAddr string // host:port for callers
	Domain     string
	Leaving    bool
	Generation uint64 // of the manifest in force
	Fresh      bool   // the generation was confirmed a moment ago
	Seq        uint64 // rises within an incarnation
	Loads      []Load
	Holds      []burdockyard.EndpointID // engines that get no new work for now
	Reads      []Cached                 // parts of prompts that engines have read since the last one
	Ready      bool                     // takes callers
	Capacity   float64                  // share of a core, for the directory's answers
}

type peer struct {
	heartbeat  Heartbeat
	receivedAt time.Time
}

// View is one node's view of the others. Its methods may be called from several
// goroutines; mu is a leaf lock.
type View struct {
	clock burdockyard.Clock
	self  burdockyard.Member

	mu    sync.RWMutex
	peers map[burdockyard.NodeID]*peer
}

// New returns a View that knows nobody yet.
func New(clock burdockyard.Clock, self burdockyard.Member) *View {
	return &View{clock: clock, self: self, peers: map[burdockyard.NodeID]*peer{}}
}

// Hear takes a heartbeat in. One that is older than what is known is dropped,
// so that a late or duplicate delivery changes nothing.
func (v *View) Hear(hb Heartbeat) {
	if hb.Member.Node == v.self.Node {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[hb.Member.Node]
	if p != nil && p.heartbeat.Member.Incarnation == hb.Member.Incarnation && hb.Seq <= p.heartbeat.Seq {
		return
	}
	v.peers[hb.Member.Node] = &peer{heartbeat: hb, receivedAt: v.clock.Now()}
}

// Alive returns the last heartbeats of the peers that are not suspect, ordered by node.
func (v *View) Alive() []Heartbeat { return v.HeardWithin(SuspectAfter) }

// HeardWithin returns the last heartbeats of the peers that were heard within a
// time, ordered by node.
func (v *View) HeardWithin(d time.Duration) []Heartbeat {
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

// Forget drops peers that were silent for long.
func (v *View) Forget() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	for id, p := range v.peers {
		if now.Sub(p.receivedAt) > ForgetAfter {
			delete(v.peers, id)
		}
	}
}

// Generation returns the newest manifest generation that any live peer has.
func (v *View) Generation() uint64 {
	var newest uint64
	for _, b := range v.Alive() {
		newest = max(newest, b.Generation)
	}
	return newest
}

// PeerLoads adds up the load that live peers have open at each engine.
func (v *View) PeerLoads() map[burdockyard.EndpointID]Load {
	sum := map[burdockyard.EndpointID]Load{}
	for _, b := range v.Alive() {
		for _, l := range b.Loads {
			s := sum[l.Engine]
			s.Engine = l.Engine
			s.PrefillTokens += l.PrefillTokens
			s.LongTokens += l.LongTokens
			s.Streams += l.Streams
			s.LongStreams += l.LongStreams
			sum[l.Engine] = s
		}
	}
	return sum
}

// Holds returns the engines that live peers hold.
func (v *View) Holds() []burdockyard.EndpointID {
	var ids []burdockyard.EndpointID
	for _, b := range v.Alive() {
		ids = append(ids, b.Holds...)
	}
	return ids
}

// Rank returns this node's place, from 0, among the nodes that may do the job
// named key. Every node that hears the same peers computes the same order
// (rendezvous hashing), and a node that leaves moves only its own jobs. Nodes
// of the preferred failure domain come first.
func (v *View) Rank(key, domain, ownDomain string) int {
	ownScore := score(key, v.self.Node)
	rank := 0
	for _, b := range v.Alive() {
		if b.Leaving {
			continue
		}
		if ranksBefore(b.Domain == domain, score(key, b.Member.Node), ownDomain == domain, ownScore) {
			rank++
		}
	}
	return rank
}

// RankByCapacity returns this node's place, from 0, among the nodes of its
// failure domain: those with more capacity come first, equal ones in the order
// of rendezvous hashing for the job named key.
func (v *View) RankByCapacity(key, ownDomain string, ownCapacity float64) int {
	own := score(key, v.self.Node)
	rank := 0
	for _, b := range v.Alive() {
		if b.Leaving || b.Domain != ownDomain || b.Capacity < ownCapacity {
			continue
		}
		if b.Capacity > ownCapacity || score(key, b.Member.Node) > own {
			rank++
		}
	}
	return rank
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
