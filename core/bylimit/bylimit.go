// Package bylimit keeps many nodes together to the limit that one endpoint names: the
// requests per second that it takes from all of them.
//
// # Usage
//
//	l := bylimit.New(clock, node)
//	l.SetMembers(nodes)                  // the nodes that share the limits
//	l.Observe(id, bornMS, limit, sentAt) // with each response of an endpoint
//	if l.TryTake(id, bornMS) { … }       // before each request to it
//	heartbeat.Limits = l.Statements()    // tells the peers
//	l.Merge(statements)                  // what a peer tells
//
// # Shares
//
// A share of the limit for each node would not do: with 295 nodes and a limit of 5.9 a
// second, a node could send one request in 50 s. So an endpoint that names a limit has a
// few owners, about one for each request per second. Nodes that know the same members
// agree on the owners by rendezvous hashing, each owner has an equal share, and other
// nodes send nothing to the endpoint. All nodes know each other, also those that have
// been lost of late: as long as a lost node may still be at work, its share is not given
// to others.
//
// Each owner spends its share through a token bucket. The buckets of all owners together
// hold the limit's requests of about one second.
package bylimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockyard"
)

const (
	// minPerSecond is the rate up to which an endpoint gets requests even if its limit is
	// lower. Only its responses show that the limit is over.
	minPerSecond = 0.1
	// maxPerSecond is the limit from which on larger ones make no difference. An infinite
	// one would spoil the arithmetic.
	maxPerSecond = 1e6
	// bucketTime is the time in which an empty bucket gets full, if it then holds more
	// than one request.
	bucketTime = time.Second
	// unknownTTL is how long the limit of an endpoint without an entry is remembered. An
	// endpoint that cannot reach the store lacks its entry for seconds, and still serves.
	unknownTTL = 30 * time.Second
	// endNewsTime is how long a node tells that an endpoint names no limit any more.
	endNewsTime = 10 * time.Second
	// newsChange is the relative change of a limit of which peers must learn at once, and
	// newsTime how long it is news.
	newsChange = 0.1
	newsTime   = time.Second
)

// Statement is what an endpoint has last said about its limit.
type Statement struct {
	Endpoint  burdockyard.EndpointID
	BornMS    int64         // start of its process, as in burdockyard.Instance
	Named     bool          // whether it names a limit; if not, the former one has ended
	PerSecond float64       // requests per second from all nodes together
	Age       time.Duration // time since the response
	Since     time.Duration // time since the limit was notably another one
}

// Limits is one node's view of the limits of all endpoints. It is safe for concurrent
// use; no other lock is taken while mu is held.
type Limits struct {
	clock burdockyard.Clock
	node  burdockyard.NodeID

	mu        sync.Mutex
	members   []burdockyard.NodeID // without this node, sorted
	yields    bool                 // whether this node leaves its share to its peers
	endpoints map[burdockyard.EndpointID]*endpoint
}

// endpoint is an endpoint that names a limit, or did so of late.
type endpoint struct {
	bornMS    int64
	named     bool
	perSecond float64
	saidAt    time.Time // when it said so
	heardHere bool      // whether it said so to this node
	changedAt time.Time // when the limit was last notably another one
	knownAt   time.Time // when the endpoint was last known to have an entry

	share    float64 // requests per second of this node
	tokens   float64 // as of filledAt; negative if more was taken
	filledAt time.Time
}

// New returns a Limits without limits, for a node without peers.
func New(clock burdockyard.Clock, node burdockyard.NodeID) *Limits {
	return &Limits{clock: clock, node: node, endpoints: map[burdockyard.EndpointID]*endpoint{}}
}

// SetMembers sets the other nodes that share the limits. If yield is set, this node
// leaves its share to them as far as there are any: it is about to stop.
func (l *Limits) SetMembers(others []burdockyard.NodeID, yield bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.Sort(others)
	if slices.Equal(others, l.members) && yield == l.yields {
		return
	}
	l.members, l.yields = others, yield
	for id, e := range l.endpoints {
		l.updateShare(id, e)
	}
}

// Observe records the limit in a response to a request that was sent at sentAt, and
// reports whether peers must learn of it without delay. A limit that cannot be read
// leaves the former one in force.
func (l *Limits) Observe(id burdockyard.EndpointID, bornMS int64, limit burdockyard.RateLimit, sentAt time.Time) (news bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, now := l.endpoints[id], l.clock.Now()
	switch {
	case limit.Named && math.IsNaN(limit.PerSecond):
		return false
	case !limit.Named && (e == nil || !e.named):
		return false
	case !limit.Named && e.bornMS == bornMS && !sentAt.After(e.saidAt):
		return false // the response may be older than the limit
	}
	return l.set(id, Statement{BornMS: bornMS, Named: limit.Named, PerSecond: limit.PerSecond}, now, true)
}

// differs reports whether a limit differs notably from another one.
func differs(perSecond, other float64) bool {
	return math.Abs(perSecond-other) > newsChange*min(perSecond, other)
}

// set records a statement, and reports whether the limit is notably another one than
// before. The caller must hold mu.
func (l *Limits) set(id burdockyard.EndpointID, s Statement, at time.Time, heardHere bool) (changed bool) {
	s.PerSecond = min(s.PerSecond, maxPerSecond)
	e := l.endpoints[id]
	isNew := e == nil || !e.named
	if e == nil {
		e = &endpoint{knownAt: l.clock.Now()}
		l.endpoints[id] = e
	}
	if changed = isNew || e.bornMS != s.BornMS || !s.Named || differs(s.PerSecond, e.perSecond); changed {
		e.changedAt = l.clock.Now().Add(-s.Since)
	}
	e.bornMS, e.named, e.perSecond, e.saidAt, e.heardHere = s.BornMS, s.Named, s.PerSecond, at, heardHere
	if !e.named {
		e.share, e.tokens = 0, 0
		return changed
	}
	if isNew {
		e.tokens, e.filledAt = 0, l.clock.Now()
	}
	l.updateShare(id, e)
	return changed
}

// updateShare computes this node's share of a limit anew. A smaller one takes effect at
// once; a larger one does not fill the bucket. The caller must hold mu.
func (l *Limits) updateShare(id burdockyard.EndpointID, e *endpoint) {
	if !e.named {
		return
	}
	l.refill(e)
	rate := max(e.perSecond, minPerSecond)
	nodes := len(l.members) + 1
	owners := int(min(max(math.Floor(rate), 1), float64(nodes)))
	rank, own := 0, score(id, l.node)
	for _, other := range l.members {
		if s := score(id, other); s > own || s == own && other > l.node {
			rank++
		}
	}
	e.share = 0
	if rank < owners && (!l.yields || nodes == 1) {
		e.share = rate / float64(owners)
	}
	e.tokens = min(e.tokens, depth(e.share))
}

// depth returns the size of the bucket for a share.
func depth(share float64) float64 { return max(1, share*bucketTime.Seconds()) }

func score(id burdockyard.EndpointID, node burdockyard.NodeID) uint64 {
	return xxhash.Sum64String("limit\x00" + string(id) + "\x00" + string(node))
}

// refill adds the tokens of the time since the last call. The caller must hold mu.
func (l *Limits) refill(e *endpoint) {
	now := l.clock.Now()
	e.tokens = min(e.tokens+e.share*now.Sub(e.filledAt).Seconds(), depth(e.share))
	e.filledAt = now
}

// find returns the endpoint if it names a limit. Another process than the one that has
// named it has none. The caller must hold mu.
func (l *Limits) find(id burdockyard.EndpointID, bornMS int64) *endpoint {
	e := l.endpoints[id]
	if e == nil || !e.named || e.bornMS != bornMS {
		return nil
	}
	l.refill(e)
	return e
}

// TryTake takes the right to send one request to an endpoint. It returns false if the
// endpoint's limit does not allow one from this node now.
func (l *Limits) TryTake(id burdockyard.EndpointID, bornMS int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(id, bornMS)
	if e == nil {
		return true
	}
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}

// Take counts a request that must be sent in any case.
func (l *Limits) Take(id burdockyard.EndpointID, bornMS int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.find(id, bornMS); e != nil {
		e.tokens--
	}
}

// Return gives back the right to send a request that has not been sent.
func (l *Limits) Return(id burdockyard.EndpointID, bornMS int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.find(id, bornMS); e != nil {
		e.tokens = min(e.tokens+1, depth(e.share))
	}
}

// Wait returns the time until TryTake may succeed for an endpoint, or zero if it may now.
// For an endpoint of which this node owns no share, it is the mean time until any node
// may send a request there.
func (l *Limits) Wait(id burdockyard.EndpointID, bornMS int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(id, bornMS)
	switch {
	case e == nil || e.tokens >= 1:
		return 0
	case e.share == 0:
		return time.Duration(float64(time.Second) / max(e.perSecond, minPerSecond))
	}
	return time.Duration((1 - e.tokens) / e.share * float64(time.Second))
}

// Len returns the number of endpoints that name a limit.
func (l *Limits) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.endpoints {
		if e.named {
			n++
		}
	}
	return n
}

// RemoveUnknown removes the limits of the endpoints for which known has returned false for
// unknownTTL, and those that have ended.
func (l *Limits) RemoveUnknown(known func(burdockyard.EndpointID) bool) {
	l.mu.Lock()
	ids := slices.Collect(maps.Keys(l.endpoints))
	l.mu.Unlock()
	unknown := map[burdockyard.EndpointID]bool{}
	for _, id := range ids {
		unknown[id] = !known(id)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for id, e := range l.endpoints {
		if !unknown[id] {
			e.knownAt = now
		}
		if now.Sub(e.knownAt) >= unknownTTL || !e.named && now.Sub(e.saidAt) >= endNewsTime {
			delete(l.endpoints, id)
		}
	}
}

// Statements returns what endpoints have last said to this node, ordered by endpoint. If
// another node has heard one of them later, that node tells it.
func (l *Limits) Statements() []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out []Statement
	for id, e := range l.endpoints {
		if e.heardHere && (e.named || now.Sub(e.saidAt) < endNewsTime) {
			out = append(out, Statement{id, e.bornMS, e.named, e.perSecond, now.Sub(e.saidAt), now.Sub(e.changedAt)})
		}
	}
	slices.SortFunc(out, func(a, b Statement) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Merge applies what a peer tells. bornMS returns the start of an endpoint's process as
// this node knows it, and false if it does not know the endpoint.
func (l *Limits) Merge(statements []Statement, bornMS func(burdockyard.EndpointID) (int64, bool)) {
	var valid []Statement
	for _, s := range statements {
		if born, known := bornMS(s.Endpoint); known && born == s.BornMS && s.PerSecond >= 0 { // false for NaN
			valid = append(valid, s)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, s := range valid {
		at := now.Add(-s.Age)
		if e := l.endpoints[s.Endpoint]; e != nil && e.bornMS == s.BornMS && !at.After(e.saidAt) {
			continue
		}
		if s.Named || l.endpoints[s.Endpoint] != nil {
			l.set(s.Endpoint, s, at, false)
		}
	}
}

// Aged returns a copy of statements as of a time d later.
func Aged(statements []Statement, d time.Duration) []Statement {
	out := slices.Clone(statements)
	for i := range out {
		out[i].Age += d
		out[i].Since += d
	}
	return out
}

// IsNewsAfter reports whether peers must learn of the statements without delay, given
// older ones of the same node. It does not count as news that an endpoint has told another
// node what was known before.
func IsNewsAfter(statements, older []Statement) bool {
	return slices.ContainsFunc(statements, func(s Statement) bool {
		return s.Since < newsTime && !slices.ContainsFunc(older, func(o Statement) bool {
			return o.Endpoint == s.Endpoint && o.BornMS == s.BornMS && o.Named == s.Named && !differs(s.PerSecond, o.PerSecond)
		})
	})
}
