package bymanifest

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
)

// MaxConfirmationAge is how long a node may act on a manifest after the manifest
// was last confirmed as the newest.
const MaxConfirmationAge = 3 * time.Second

// Follower tracks the newest manifest that this process has seen. Its methods
// are safe for concurrent use.
//
// fetchLock is a channel used as a lock: it serializes fetches and guards
// sectionCache. mu guards the fields below it. It is acquired after fetchLock and
// never held during I/O, because routing reads the current manifest for every
// call and must not wait for a slow object store.
type Follower struct {
	table        burdockyard.Table
	objects      burdockyard.ObjectStore
	clock        burdockyard.Clock
	fetchLock    chan struct{}
	sectionCache map[string][]byte // object key to content, for the current sections

	mu          sync.Mutex
	current     *Manifest
	confirmedAt time.Time // when the current manifest was last known to be the newest
	encoded     EncodedManifest
}

// EncodedManifest is the encoding in which nodes send a manifest to each other.
type EncodedManifest struct {
	Pointer  []byte            // value of the row CurrentKey
	Sections map[string][]byte // object key to content
}

// NewFollower returns a Follower that has no manifest yet.
func NewFollower(table burdockyard.Table, objects burdockyard.ObjectStore, clock burdockyard.Clock) *Follower {
	return &Follower{table: table, objects: objects, clock: clock, fetchLock: make(chan struct{}, 1), sectionCache: map[string][]byte{}}
}

// Current returns the current manifest, or nil if there is none yet.
func (f *Follower) Current() *Manifest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Generation returns the generation of the current manifest, or 0 if there is
// none yet.
func (f *Follower) Generation() uint64 {
	if m := f.Current(); m != nil {
		return m.Generation()
	}
	return 0
}

// Fresh reports whether the current manifest was confirmed as the newest within
// the last MaxConfirmationAge.
//
// After a pause, or while it is partitioned from the table and its peers, a
// process may hold an outdated manifest and would send work to an endpoint that
// was removed long ago. Nothing in its own state shows this except the time
// since the last confirmation.
func (f *Follower) Fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current != nil && f.clock.Now().Sub(f.confirmedAt) < MaxConfirmationAge
}

// Confirm records that generation was the newest one known to the table or to a
// peer. askedAt is the time at which the request for it was sent. Confirm does
// nothing if the current generation is older.
func (f *Follower) Confirm(generation uint64, askedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.current.Generation() >= generation && askedAt.After(f.confirmedAt) {
		f.confirmedAt = askedAt
	}
}

// ConfirmByMajority confirms the current manifest if a majority of all nodes,
// counting this one, knows of no newer manifest. generations holds the generation
// of each peer that answered a round of heartbeats sent at askedAt, and nodes is
// the number of all nodes.
//
// While the table is down, nodes that are fresh confirm the manifest to each
// other. If all of them lose freshness at once, for example because a machine
// that they share was paused, no single node can confirm it any more. A majority
// can: a newly accepted manifest is sent to every node, so at least one node of
// the majority would have it.
func (f *Follower) ConfirmByMajority(nodes int, generations []uint64, askedAt time.Time) {
	own := f.Generation()
	for _, g := range generations {
		if g > own {
			return
		}
	}
	if 2*(len(generations)+1) > nodes {
		f.Confirm(own, askedAt)
	}
}

// Refresh reads the current generation from the table and adopts its manifest if
// it is newer. It returns ErrNoManifest if none has been published.
func (f *Follower) Refresh(ctx context.Context) error {
	askedAt := f.clock.Now()
	p, version, err := readPointer(ctx, f.table)
	if err != nil {
		return err
	}
	if version == 0 {
		return ErrNoManifest
	}
	return f.adopt(ctx, p, f.objects, askedAt)
}

// Encoded returns the encoding of the current manifest, for sending to another
// node, and false if there is none yet.
func (f *Follower) Encoded() (EncodedManifest, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.encoded, f.current != nil
}

// AdoptFromPeer adopts a manifest received from another node if it is newer than
// the current one.
func (f *Follower) AdoptFromPeer(ctx context.Context, encoded EncodedManifest) error {
	var p pointer
	if err := json.Unmarshal(encoded.Pointer, &p); err != nil {
		return merry.Prepend(err, "manifest of a peer")
	}
	return f.adopt(ctx, p, peerObjects(encoded.Sections), f.clock.Now())
}

// adopt fetches the manifest that p names and makes it current if it is newer.
// An older generation never replaces a newer one, so a stale object, a lagging
// peer or a restarted node with an outdated reply has no effect.
func (f *Follower) adopt(ctx context.Context, p pointer, objects burdockyard.ObjectStore, askedAt time.Time) error {
	f.fetchLock <- struct{}{}
	defer func() { <-f.fetchLock }()
	if p.Generation <= f.Generation() {
		f.Confirm(p.Generation, askedAt)
		return nil
	}
	s, err := fetchSpec(ctx, objects, p, f.sectionCache)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(p)
	if err != nil {
		return err
	}
	f.evictUnusedSections(p)
	f.setCurrent(New(applyOverrides(s, p.Overrides), p.Generation), EncodedManifest{Pointer: raw, Sections: f.copyCachedSections()}, askedAt)
	return nil
}

func (f *Follower) setCurrent(m *Manifest, encoded EncodedManifest, askedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current, f.encoded = m, encoded
	f.confirmedAt = askedAt
}

// evictUnusedSections removes from the cache all sections that p does not name.
func (f *Follower) evictUnusedSections(p pointer) {
	used := map[string]bool{}
	for _, key := range p.Sections {
		used[key] = true
	}
	for key := range f.sectionCache {
		if !used[key] {
			delete(f.sectionCache, key)
		}
	}
}

func (f *Follower) copyCachedSections() map[string][]byte {
	c := make(map[string][]byte, len(f.sectionCache))
	for k, v := range f.sectionCache {
		c[k] = v
	}
	return c
}

// peerObjects is a read-only object store of the sections that a peer sent.
type peerObjects map[string][]byte

func (o peerObjects) Put(context.Context, string, []byte) error { return burdockyard.ErrUnavailable }

func (o peerObjects) Get(_ context.Context, key string) ([]byte, error) {
	data, ok := o[key]
	if !ok {
		return nil, burdockyard.ErrNotFound
	}
	return data, nil
}
