package byworkspace

import (
	"sync"
	"time"

	"burdockyard"
)

// Freshness proves how recent a node's copy of the configuration is.
//
// A proof has two parts: a mark, which says that all changes accepted before some time have
// a version of at most V, and a copy that has reached version V. Marks come from the node's
// own readings of the store, and from answers of peers to its own queries. An answer counts
// from when the query was sent, less the age that the peer states: however long either was
// on its way, the peer's mark cannot be older. What comes without being asked for may have
// waited anywhere for any time, and is no mark.
//
// The zero time is proven before the first mark. Freshness is safe for concurrent use; mu is
// a leaf lock.
type Freshness struct {
	clock burdockyard.Clock

	mu      sync.Mutex
	copied  burdockyard.StoreVersion // version up to which the node goes by the configuration
	proven  mark                     // newest mark that the copy has reached
	pending []mark                   // marks that it has not reached
	queries []query                  // latest queries, oldest first
}

// mark says that each change accepted by the store before a time has at most a version.
type mark struct {
	at      time.Time
	version burdockyard.StoreVersion
}

type query struct {
	nonce  uint64
	sentAt time.Time
}

const (
	// maxPending and maxQueries limit what is kept. Later marks and queries replace earlier
	// ones.
	maxPending = 4
	maxQueries = 16
)

// NewFreshness returns a Freshness without a proof. The clock must count the time for which
// the VM was suspended.
func NewFreshness(clock burdockyard.Clock) *Freshness { return &Freshness{clock: clock} }

// RecordCopy records that the node goes by the configuration of a version, or a newer one.
// It must be called after the configuration has been put in force.
func (f *Freshness) RecordCopy(version burdockyard.StoreVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version.Compare(f.copied) > 0 {
		f.copied = version
	}
	waiting := f.pending
	f.pending = f.pending[:0]
	for _, m := range waiting {
		f.add(m)
	}
}

// RecordReading records that this node has read the store up to a version. requestedAt is a
// time before it asked.
func (f *Freshness) RecordReading(version burdockyard.StoreVersion, requestedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.add(mark{requestedAt, version})
}

// BeginQuery records that this node is about to send a query to peers.
func (f *Freshness) BeginQuery(nonce uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.queries) >= maxQueries {
		f.queries = append(f.queries[:0], f.queries[1:]...)
	}
	f.queries = append(f.queries, query{nonce, f.clock.Now()})
}

// RecordReply records the answer of a peer to a query: its Statement.
func (f *Freshness) RecordReply(nonce uint64, version burdockyard.StoreVersion, age time.Duration) {
	if age < 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, q := range f.queries {
		if q.nonce == nonce {
			f.add(mark{q.sentAt.Add(-age), version})
		}
	}
}

// add adds a mark. The caller must hold mu.
func (f *Freshness) add(m mark) {
	switch {
	case !m.at.After(f.proven.at):
	case m.version.Era == f.copied.Era && m.version.Number <= f.copied.Number:
		f.proven = m
	case len(f.pending) < maxPending:
		f.pending = append(f.pending, m)
	default:
		f.pending[maxPending-1] = m
	}
}

// ProvenAt returns a time such that the node goes by all changes of the configuration that
// the store has accepted before it.
func (f *Freshness) ProvenAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proven.at
}

// Statement returns what this node answers to queries, and false if it has no proof.
func (f *Freshness) Statement() (version burdockyard.StoreVersion, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proven.version, f.clock.Now().Sub(f.proven.at), !f.proven.at.IsZero()
}
