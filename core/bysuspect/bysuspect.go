// Package bysuspect keeps suspected ends of endpoints until later facts settle them.
//
// When the connection of a request breaks and new ones are refused, either the endpoint's
// process has ended or the links of the nodes have failed. Package bywitness tells the two
// apart if another endpoint accepts connections at that moment. If all others are down as
// well, for example because the same request has ended them, nothing tells at that moment.
// Some seconds later the registry does.
//
// # Usage
//
//	t := bysuspect.New(clock, node, registry)
//	t.Add(suspicion)                   // this node was refused, and no witness could tell
//	t.Merge(heartbeat.Suspicions)      // what a peer tells
//	heartbeat.Suspicions = t.News()
//	for _, p := range t.Probes(8, rand.Shuffle) { // several times a second
//		t.RecordAccepted(p)        // or RecordRefused, as a new connection shows
//	}
//	for _, s := range t.Settle() { … } // those with the result Ended count
//	quarantine.SetSuspected(t.Ends())
//
// # Evidence
//
// An end counts once the registry states that the process is gone: a later process has its
// ID or its address, or its entry was removed and connections are still refused. Endpoints
// write their entries over other links than those between nodes and endpoints, so a
// partition of the latter cannot state it. Such a partition may still have broken the
// connection before the process ended for another reason. So an end does not count if the
// same process, or any other that refused connections at the same time, accepts one later:
// then links had failed. It also does not count if the endpoint announces that it leaves.
//
// # Doubt
//
// While a suspicion is open, the request that may have ended the process is held, see
// byquarantine.SetSuspected. Once one of the processes seems to live, the suspicion is in
// doubt and holds nothing, long before it is settled.
//
// # Nodes
//
// A node tells its peers of its suspicions while they are open. A few of them examine each,
// so that it is settled even if the node that had it ends. The others only remember it for
// as long as it is told.
package bysuspect

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/byquarantine"
)

const (
	// maxHoldAge is the age up to which suspected ends hold a request back.
	maxHoldAge = 10 * time.Second
	// maxAge is the time after which a suspicion is dropped. Crashed endpoints are back, or
	// gone from the registry, within some seconds.
	maxAge = 30 * time.Second
	// registrationTime is how long a new process may accept connections before nodes read
	// its entry. Endpoints write it when they start, or with the next of the heartbeats that
	// they send about once a second.
	registrationTime = 1500 * time.Millisecond
	// doubtDelay is the part of registrationTime after which an accepted connection puts a
	// suspicion in doubt. Most endpoints write their entry before they accept connections.
	doubtDelay = 400 * time.Millisecond
	// toldMemory is how long a suspicion is remembered after a peer has told it, unless this
	// node examines it. It is also how long the doubt of a peer holds.
	toldMemory = 3 * time.Second
	// examiners is about the number of nodes that examine a suspicion of a peer.
	examiners = 4
	// maxSuspicions bounds the memory, and maxTold the suspicions in one heartbeat.
	maxSuspicions = 256
	maxTold       = 4
)

// Process is one process of an endpoint.
type Process struct {
	ID     burdockyard.EndpointID
	BornMS int64  // as in burdockyard.Instance
	Addr   string // host:port
}

// ProcessOf returns the process that an entry of the registry describes.
func ProcessOf(in burdockyard.Instance) Process {
	return Process{ID: in.ID, BornMS: in.BornMS, Addr: in.Addr}
}

// Hash identifies the process in byquarantine.End.
func (p Process) Hash() uint64 {
	return xxhash.Sum64String(string(p.ID) + "\x00" + strconv.FormatInt(p.BornMS, 10))
}

// Suspicion is the suspected end of a process under one request.
type Suspicion struct {
	Process Process
	Refused []Process // of other endpoints that refused connections at the same time
	Doubted bool      // whether one of the processes has probably accepted a connection since
	End     byquarantine.End
}

// key identifies a suspicion.
type key struct{ request, process uint64 }

func (s Suspicion) key() key { return key{s.End.Request, s.Process.Hash()} }

// Result is how a suspicion was settled.
type Result int

// The results.
const (
	open         Result = iota
	Ended               // the process has ended
	Alive               // the process has accepted a connection
	LinksFailed         // another process that refused connections has accepted one
	Leaving             // the endpoint has announced its end
	NotSettled          // nothing has told in time
	resultsCount        // number of results
)

// String returns the result as it appears in logs and metrics.
func (r Result) String() string {
	return [resultsCount]string{"open", "ended", "alive", "links_failed", "leaving", "not_settled"}[r]
}

// ProcessRegistry is a node's copy of the entries of all endpoints. *byfleet.Fleet implements it.
type ProcessRegistry interface {
	// Fate returns what has become of a process.
	Fate(id burdockyard.EndpointID, bornMS int64, addr string) byfleet.Fate
	// ReadAt returns when the newest reading was requested.
	ReadAt() time.Time
}

// Tracker keeps one node's suspicions. It is safe for concurrent use. No other lock but those
// of the registry is taken while mu is held.
type Tracker struct {
	clock    burdockyard.Clock
	node     burdockyard.NodeID
	registry ProcessRegistry

	mu      sync.Mutex
	nodes   int // number of nodes of the fleet
	open    []*suspicion
	settled map[key]time.Time // so that news of peers do not bring them back
	traces  map[Process]*trace
	told    int // number of suspicions that news have begun with
}

// suspicion is a Suspicion that is not settled.
type suspicion struct {
	Suspicion
	brokeAt  time.Time // when the connection of the request broke
	since    time.Time // when this node learned of it
	toldAt   time.Time // when a peer told it last
	doubtAt  time.Time // when a peer last told that it is in doubt; zero if none has
	examined bool      // whether this node settles it
}

// trace is what new connections to a process have shown. Times are zero if nothing has.
type trace struct {
	acceptedAt time.Time // for the first time
	refusedAt  time.Time // for the last time
	goneAt     time.Time // when it was first seen to have no entry
}

// New returns a Tracker without suspicions.
func New(clock burdockyard.Clock, node burdockyard.NodeID, registry ProcessRegistry) *Tracker {
	return &Tracker{clock: clock, node: node, registry: registry, nodes: 1, settled: map[key]time.Time{}, traces: map[Process]*trace{}}
}

// SetNodes sets the number of nodes of the fleet.
func (t *Tracker) SetNodes(nodes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = nodes
}

// Add adds a suspicion of this node.
func (t *Tracker) Add(s Suspicion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(s, true)
}

// Merge adds suspicions of a peer. It reports whether there was a new one.
func (t *Tracker) Merge(told []Suspicion) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range told {
		isNew = t.add(s, t.examines(s)) || isNew
	}
	return isNew
}

// examines reports whether this node examines a suspicion of a peer. The caller must hold mu.
func (t *Tracker) examines(s Suspicion) bool {
	k := s.key()
	lot := xxhash.Sum64String(string(t.node) + strconv.FormatUint(k.request^k.process, 16))
	return float64(lot>>11)/(1<<53)*float64(t.nodes) < examiners
}

// add adds a suspicion, or notes that it was told again. The caller must hold mu.
func (t *Tracker) add(s Suspicion, examined bool) (isNew bool) {
	now := t.clock.Now()
	var doubtAt time.Time
	if s.Doubted {
		doubtAt = now
	}
	for _, known := range t.open {
		if known.key() == s.key() {
			known.toldAt = now
			if s.Doubted {
				known.doubtAt = now
			}
			return false
		}
	}
	if _, isSettled := t.settled[s.key()]; isSettled || s.End.Age >= maxAge || len(t.open) >= maxSuspicions {
		return false
	}
	t.open = append(t.open, &suspicion{Suspicion: s, brokeAt: now.Add(-s.End.Age), since: now, toldAt: now, doubtAt: doubtAt, examined: examined})
	return true
}

// processes returns the processes whose connections matter to s.
func (s *suspicion) processes() []Process { return append([]Process{s.Process}, s.Refused...) }

// Probes returns up to n processes to which this node is to open a connection now. shuffle is
// like rand.Shuffle.
func (t *Tracker) Probes(n int, shuffle func(n int, swap func(i, j int))) []Process {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Process
	for _, s := range t.open {
		if !s.examined {
			continue
		}
		for _, p := range s.processes() {
			if !slices.Contains(all, p) && t.fate(p) != byfleet.Replaced {
				all = append(all, p)
			}
		}
	}
	shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

func (t *Tracker) fate(p Process) byfleet.Fate { return t.registry.Fate(p.ID, p.BornMS, p.Addr) }

// RecordAccepted records that a new connection to the address of p was accepted, by p or by
// a later process.
func (t *Tracker) RecordAccepted(p Process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if seen := t.trace(p); seen.acceptedAt.IsZero() {
		seen.acceptedAt = t.clock.Now()
	}
}

// RecordRefused records that a new connection to the address of p was refused.
func (t *Tracker) RecordRefused(p Process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trace(p).refusedAt = t.clock.Now()
}

// trace returns the trace of a process. The caller must hold mu.
func (t *Tracker) trace(p Process) *trace {
	seen := t.traces[p]
	if seen == nil {
		seen = &trace{}
		t.traces[p] = seen
	}
	return seen
}

// Settled is a suspicion with its result. The age of its end is as of now.
type Settled struct {
	Suspicion
	Result Result
}

// Settle returns the suspicions that this node has just settled. It also forgets those of
// peers that are no longer told.
func (t *Tracker) Settle() []Settled {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var all []Settled
	t.open = slices.DeleteFunc(t.open, func(s *suspicion) bool {
		if !s.examined {
			return now.Sub(s.toldAt) >= toldMemory || now.Sub(s.brokeAt) >= maxAge
		}
		result := t.judge(s, now)
		if result == open {
			return false
		}
		t.settled[s.key()] = now
		all = append(all, Settled{s.aged(now), result})
		return true
	})
	for k, at := range t.settled {
		if now.Sub(at) >= maxAge {
			delete(t.settled, k)
		}
	}
	t.forgetTraces()
	return all
}

// forgetTraces forgets the traces that no suspicion needs. The caller must hold mu.
func (t *Tracker) forgetTraces() {
	needed := map[Process]bool{}
	for _, s := range t.open {
		for _, p := range s.processes() {
			needed[p] = true
		}
	}
	for p := range t.traces {
		if !needed[p] {
			delete(t.traces, p)
		}
	}
}

// judge returns the result of a suspicion, as of now. The caller must hold mu.
func (t *Tracker) judge(s *suspicion, now time.Time) Result {
	if now.Sub(s.brokeAt) >= maxAge {
		return NotSettled
	}
	if t.fate(s.Process) == byfleet.Leaving {
		return Leaving
	}
	if t.lives(s.Process) {
		return Alive
	}
	ended := t.hasEnded(s.Process, s.since)
	for _, p := range s.Refused {
		if t.lives(p) {
			return LinksFailed
		}
		ended = t.hasEnded(p, s.since) && ended
	}
	if ended {
		return Ended
	}
	return open
}

// lives reports whether a process has accepted a connection. The caller must hold mu.
func (t *Tracker) lives(p Process) bool { return t.hasAccepted(p, registrationTime) }

// hasAccepted reports whether a process has accepted a connection. A later one with its address
// may have done so, whose entry this node has not read yet: that is left out if the entry is
// read within d. The caller must hold mu.
func (t *Tracker) hasAccepted(p Process, d time.Duration) bool {
	seen := t.trace(p)
	return !seen.acceptedAt.IsZero() && t.registry.ReadAt().Sub(seen.acceptedAt) >= d && t.fate(p) != byfleet.Replaced
}

// isDoubted reports whether links have probably failed, as far as this node can tell. The
// caller must hold mu.
func (t *Tracker) isDoubted(s *suspicion) bool {
	return slices.ContainsFunc(s.processes(), func(p Process) bool { return t.hasAccepted(p, doubtDelay) })
}

// hasEnded reports whether the registry states that a process has ended. since is when this
// node first heard of it. The caller must hold mu.
func (t *Tracker) hasEnded(p Process, since time.Time) bool {
	switch t.fate(p) {
	case byfleet.Replaced:
		return true
	case byfleet.Gone:
		// Some endpoints remove their entry first and serve on for a while.
		seen := t.trace(p)
		if seen.goneAt.IsZero() && t.registry.ReadAt().After(since) {
			seen.goneAt = t.clock.Now()
		}
		return !seen.goneAt.IsZero() && seen.refusedAt.After(seen.goneAt) && seen.acceptedAt.IsZero()
	}
	return false
}

// aged returns the suspicion with the age of its end.
func (s *suspicion) aged(now time.Time) Suspicion {
	out := s.Suspicion
	out.End.Age = now.Sub(s.brokeAt)
	return out
}

// News returns what this node tells its peers. If there is more than one heartbeat may hold,
// heartbeats take turns.
func (t *Tracker) News() []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var all []Suspicion
	for _, s := range t.open {
		if s.examined {
			news := s.aged(now)
			news.Doubted = t.isDoubted(s)
			all = append(all, news)
		}
	}
	if len(all) <= maxTold {
		return all
	}
	first := t.told % len(all)
	t.told += maxTold
	return append(all[first:], all[:first]...)[:maxTold]
}

// Ends returns the suspected ends for which a request may be held, with their present age.
// Those in doubt are left out: they stay open, as they may turn out to be real nevertheless.
func (t *Tracker) Ends() []byquarantine.End {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var ends []byquarantine.End
	for _, s := range t.open {
		isDoubted := now.Sub(s.doubtAt) < toldMemory || t.isDoubted(s)
		if now.Sub(s.brokeAt) < maxHoldAge && !isDoubted {
			ends = append(ends, s.aged(now).End)
		}
	}
	return ends
}

// IsSuspected reports whether the end of a process under a request with one of the keys is
// suspected. An answer to such a request speaks against the end, see byquarantine.RecordEnd.
func (t *Tracker) IsSuspected(keys []byquarantine.Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.open, func(s *suspicion) bool {
		return slices.ContainsFunc(keys, func(key byquarantine.Key) bool { return slices.Contains(s.End.Keys, key) })
	})
}

// Aged returns copies of suspicions as of a time d later.
func Aged(all []Suspicion, d time.Duration) []Suspicion {
	all = slices.Clone(all)
	for i := range all {
		all[i].End.Age += d
	}
	return all
}
