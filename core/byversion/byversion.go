// Package byversion decides which software version of a service's endpoints begins a
// stream, and which one began a stream that a caller takes up.
//
// # Usage
//
//	t := byversion.New(clock, maxAge)
//	t.Apply(record, storeEra, requestedAt)      // each reading of the store
//	version, ok := t.Preferred(service, id)     // where a new stream should run
//	t.MayBegin(service, id, version)            // right before its first event is sent
//	t.RecordStart(service, id, version)         // if it is
//	version, err := t.VersionOf(service, began) // when a caller takes up the stream that began as request began
//	next, ok := t.Propose(capacity, lifetimes)  // on one node: the record to write
//
// # Agreement
//
// What versions write does not fit together, so a stream may go on only at the version
// that began it. No node remembers streams: all of them may be killed at once. Instead the
// version follows from the ID of the request under a split that all nodes agree on. The
// split is part of a record in the platform's store.
//
// A change of the split has two steps. The first record announces the next split, the
// second one makes it the active one, not before each reading of the store that lacks
// the announcement is older than maxAge. A node whose last reading is older than that
// begins no stream, with one exception: if all streams are of one version, the node hears
// most of its peers, and none has named a newer record, it goes on, since an outage of the
// store would otherwise keep streams from all callers. Such a node is wrong only if most nodes
// reach neither the store nor any node that does while the split changes. So any other node
// that takes up a stream
// always knows all splits under which it may have begun: the active one, the next one, and
// former ones for as long as such a stream may last. If they disagree on an ID, the version
// is known only to the node that began the stream, and to those that it could tell.
//
// Records outlive all nodes, but a store that is restored from an older copy may lose some.
// Then, and before the first record, UnknownSince of a state says that streams may have
// begun under splits that nobody knows; for as long as such streams may last, none is taken
// up, and none begins until each node knows of that.
//
// A node that may not begin a stream can still run it, if its caller gets no event
// before the last one: a stream that has come as a whole is not taken up.
package byversion

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"burdockyard"
)

// ErrUnknownVersion means that the version that began a stream is not known. The caller
// has to begin anew.
var ErrUnknownVersion = merry.Sentinel("the version that began the stream is not known")

const (
	// transitMargin is added to each wait for other nodes. A reading that a peer has relayed
	// looks younger than it is by the time for which it was on its way.
	transitMargin = time.Second
	// settleTime is how long a service must differ from its split until a new split is
	// announced, so that endpoints which start together make one change.
	settleTime = 400 * time.Millisecond
	// maxFormers is the largest number of former splits of a service. No change is
	// announced while there are as many.
	maxFormers = 16
)

// Table is one node's view of the record. It is safe for concurrent use; no lock but those
// of hearsPeers is taken while mu is held.
type Table struct {
	clock      burdockyard.Clock
	maxAge     func() time.Duration
	hearsPeers func() bool
	firstStart bool // whether the whole system starts for the first time, so that no record can be lost

	mu          sync.Mutex
	record      Record
	known       bool   // whether there is a record
	restored    bool   // whether records may be lost that are newer than this one, as the store was restored
	storeEra    uint64 // era of the latest reading
	confirmedAt time.Time
	heardEra    uint64               // of the newest record that a peer has named
	heardSeq    uint64               // of the newest record that a peer has named
	firstSeen   map[uint64]time.Time // when a record that is still referred to was first seen, by its number
	differsFrom map[string]time.Time // since when a service differs from its split
	allSettled  bool                 // whether the record has no service with several splits or versions
	starts      map[uint64]start     // streams that may still go on, by the hash of their request's ID
}

// Option sets an optional part of a Table.
type Option func(*Table)

// WithFirstStart tells that the whole system starts for the first time: a record that the
// store lacks has never existed.
func WithFirstStart() Option { return func(t *Table) { t.firstStart = true } }

// WithPeers sets a function that reports whether this node has heard most of its peers within
// maxAge. Without it, the node counts as one that has no peers.
func WithPeers(hearsPeers func() bool) Option {
	return func(t *Table) { t.hearsPeers = hearsPeers }
}

// New returns a Table without a record. maxAge is the age of the last reading up to which
// a node may begin streams; it must be the same on all nodes.
func New(clock burdockyard.Clock, maxAge func() time.Duration, opts ...Option) *Table {
	t := &Table{clock: clock, maxAge: maxAge, hearsPeers: func() bool { return true }, firstSeen: map[uint64]time.Time{}, differsFrom: map[string]time.Time{}, starts: map[uint64]start{}}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Apply applies a record as read from the store, or as written to it, by a call made at
// requestedAt. exists is false if the store has none. It reports whether the record has
// changed.
func (t *Table) Apply(r Record, exists bool, storeEra uint64, requestedAt time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && storeEra > t.storeEra && requestedAt.Sub(t.confirmedAt) > t.maxAge() {
		t.restored = true // records that this node has never read may have been lost
	}
	if requestedAt.After(t.confirmedAt) {
		t.confirmedAt = requestedAt
	}
	t.storeEra = max(t.storeEra, storeEra)
	if !exists || t.known && r.compare(t.record) <= 0 {
		return false
	}
	now := t.clock.Now()
	seen := map[uint64]time.Time{}
	for number := range r.references() {
		seen[number] = now
		if at, ok := t.firstSeen[number]; ok && r.Era == t.record.Era {
			seen[number] = at // numbers of another era are those of other records
		}
	}
	t.firstSeen = seen
	t.record, t.known, t.restored = r, true, r.Era != storeEra
	t.allSettled = true
	for _, s := range r.Services {
		t.allSettled = t.allSettled && s.isSettled()
	}
	return true
}

// references returns the numbers of the record and of earlier ones whose age matters.
func (r Record) references() map[uint64]bool {
	numbers := map[uint64]bool{r.Seq: true}
	for _, s := range r.Services {
		for _, f := range s.Formers {
			numbers[f.RetiredBy] = true
		}
		for _, number := range []uint64{s.NextSince, s.UnknownSince} {
			if number > 0 {
				numbers[number] = true
			}
		}
	}
	return numbers
}

// Confirm records that a reading requested at requestedAt shows no other record.
func (t *Table) Confirm(requestedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if requestedAt.After(t.confirmedAt) {
		t.confirmedAt = requestedAt
	}
}

// Hear records that a peer knows the record with the given era and number.
func (t *Table) Hear(era, seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era > t.heardEra || era == t.heardEra && seq > t.heardSeq {
		t.heardEra, t.heardSeq = era, seq
	}
}

// Number returns the era and the number of the record, zero if there is none.
func (t *Table) Number() (era, seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record.Era, t.record.Seq
}

// Basis is what the answers of a Table rest on, for the log.
type Basis struct {
	Seq        uint64        // number of the record
	HeardSeq   uint64        // number of the newest record that a peer has named
	ReadingAge time.Duration // age of the latest reading
}

// Basis returns what the answers of t rest on at the moment.
func (t *Table) Basis() Basis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Basis{Seq: t.record.Seq, HeardSeq: t.heardSeq, ReadingAge: t.clock.Now().Sub(t.confirmedAt)}
}

// IsKnown reports whether this node has read the store.
func (t *Table) IsKnown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.confirmedAt.IsZero()
}

// HasNone reports whether the store has no record, as before the first node of this
// release has written one. Nodes may begin streams then, since the first record says that
// streams of unknown versions may go on, except when the whole system starts for the
// first time.
func (t *Table) HasNone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.known && !t.firstStart && t.heardSeq == 0 && !t.confirmedAt.IsZero() && t.isFresh()
}

// state returns the state of a service, and whether it may be relied on. The caller must
// hold mu.
//
// A service with a single version may be relied on beyond maxAge while the node hears most
// of its peers: otherwise an outage of the store would keep streams from all callers. A node
// that hears neither the store nor its peers, because it is cut off or was frozen, may have
// missed a second version.
func (t *Table) state(service string) (State, bool) {
	s, ok := t.record.Services[service]
	if !ok || t.restored {
		return State{}, false
	}
	return s, t.isFresh() || t.hasNewest() && s.isSettled() && t.hearsPeers()
}

// isFresh reports whether the last reading is young enough to begin streams by. While it
// is, no split can be active that it lacks. The steady clock stands still while a VM is
// suspended, and the wall clock may be set, so the longer of both times counts. The caller
// must hold mu.
func (t *Table) isFresh() bool {
	now := t.clock.Now()
	return max(now.Sub(t.confirmedAt), now.Round(0).Sub(t.confirmedAt.Round(0))) <= t.maxAge()
}

// hasNewest reports whether no peer has named a newer record. The caller must hold mu.
func (t *Table) hasNewest() bool {
	return t.heardEra < t.record.Era || t.heardEra == t.record.Era && t.heardSeq <= t.record.Seq
}

// Preferred returns the version at which a new stream should run, and false if there is
// none.
func (t *Table) Preferred(service string, id burdockyard.RequestID) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record.Services[service].Active.VersionOf(id)
}

// MayBegin reports whether the caller of a new stream may get its first event while the
// stream is still running at the given version.
func (t *Table) MayBegin(service string, id burdockyard.RequestID, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.state(service)
	if !ok || s.UnknownSince > 0 && !t.isKnownToAll(s.UnknownSince) {
		return false // after a lost record, another node may still go by what it remembers of it
	}
	active, ok := s.Active.VersionOf(id)
	return ok && active == version
}

// isKnownToAll reports whether each node that may begin streams knows the record with the
// given number: all readings without it are too old by now. The caller must hold mu.
func (t *Table) isKnownToAll(seq uint64) bool {
	at, ok := t.firstSeen[seq]
	return ok && t.clock.Now().Sub(at) >= t.maxAge()+transitMargin
}

// VersionOf returns the version of the stream that began as the request with the given ID,
// or ErrUnknownVersion.
func (t *Table) VersionOf(service string, id burdockyard.RequestID) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	hash := xxhash.Sum64String(string(id))
	if start, ok := t.starts[hash]; ok {
		return start.version, nil
	}
	if s, ok := t.state(service); ok {
		if version, ok := s.versionOfHash(hash); ok {
			return version, nil
		}
	}
	return "", merry.Wrap(ErrUnknownVersion)
}

// IsSettled reports whether all streams of a service that may go on have begun at one
// version.
func (t *Table) IsSettled(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.state(service)
	return ok && s.isSettled()
}
