package bymanifest

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
)

// FreshFor is how long a manifest may be acted on after it was confirmed.
const FreshFor = 3 * time.Second

// Follower keeps the newest manifest that this process has seen. Its methods
// may be called from several goroutines.
//
// turn is held over a fetch, so that two never cross, and guards cache. mu is
// taken after turn and never held over a call: routing reads the manifest in
// force for every call, however slow the object store is.
type Follower struct {
	table   burdockyard.Table
	objects burdockyard.ObjectStore
	clock   burdockyard.Clock
	turn    chan struct{}
	cache   map[string][]byte

	mu        sync.Mutex
	current   *Manifest
	confirmed time.Time
	wire      Wire
}

// Wire is a manifest as one node hands it to another.
type Wire struct {
	Pointer  []byte
	Sections map[string][]byte // object key to content
}

// NewFollower returns a Follower without a manifest.
func NewFollower(table burdockyard.Table, objects burdockyard.ObjectStore, clock burdockyard.Clock) *Follower {
	return &Follower{table: table, objects: objects, clock: clock, turn: make(chan struct{}, 1), cache: map[string][]byte{}}
}

// Current returns the manifest in force, or nil before the first.
func (f *Follower) Current() *Manifest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Generation returns the generation in force, 0 before the first.
func (f *Follower) Generation() uint64 {
	if m := f.Current(); m != nil {
		return m.Generation()
	}
	return 0
}

// Fresh reports whether the manifest was confirmed as the newest a moment ago.
//
// A process that wakes from a pause, or that is cut off from the table and its
// peers, may hold a manifest by which it would send work to an endpoint that
// left long ago. Everything it knows looks the same as before; only its own
// clock tells that nobody has confirmed it since.
func (f *Follower) Fresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current != nil && f.clock.Now().Sub(f.confirmed) < FreshFor
}

// Confirm notes that the generation was the newest known to the table or a
// peer at asked, the time before it was asked. It does nothing if the
// generation in force is older.
func (f *Follower) Confirm(generation uint64, asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.current.Generation() >= generation && asked.After(f.confirmed) {
		f.confirmed = asked
	}
}

// Agree takes the word of most nodes for it that no newer manifest is known,
// when the peers that answered a round of heartbeats have these generations.
//
// While the table is down the nodes keep each other in touch. If all lose touch
// once, for one pause of the machine that they share perhaps, nobody is left
// whose word counts. Most nodes together may give it to each other: whoever
// accepts a manifest hands it to every node, so that one of them would know.
func (f *Follower) Agree(nodes int, generations []uint64, asked time.Time) {
	own := f.Generation()
	for _, g := range generations {
		if g > own {
			return
		}
	}
	if 2*(len(generations)+1) > nodes {
		f.Confirm(own, asked)
	}
}

// Step reads which generation is in force and takes it up if it is newer.
func (f *Follower) Step(ctx context.Context) error {
	asked := f.clock.Now()
	p, version, err := readPointer(ctx, f.table)
	if err != nil {
		return err
	}
	if version == 0 {
		return ErrNoManifest
	}
	return f.adopt(ctx, p, f.objects, asked)
}

// Wire returns the manifest in force for another node; false before the first.
func (f *Follower) Wire() (Wire, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wire, f.current != nil
}

// Learn takes up a manifest from another node if it is newer.
func (f *Follower) Learn(ctx context.Context, w Wire) error {
	var p pointer
	if err := json.Unmarshal(w.Pointer, &p); err != nil {
		return merry.Prepend(err, "manifest of a peer")
	}
	return f.adopt(ctx, p, wireObjects(w.Sections), f.clock.Now())
}

// adopt never goes back: an old object, a lagging peer or a restarted node
// with an old answer in hand changes nothing.
func (f *Follower) adopt(ctx context.Context, p pointer, objects burdockyard.ObjectStore, asked time.Time) error {
	f.turn <- struct{}{}
	defer func() { <-f.turn }()
	if p.Generation <= f.Generation() {
		f.Confirm(p.Generation, asked)
		return nil
	}
	s, err := fetch(ctx, objects, p, f.cache)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(p)
	if err != nil {
		return err
	}
	f.keepOnly(p)
	f.install(New(override(s, p.Overrides), p.Generation), Wire{Pointer: raw, Sections: f.cacheCopy()}, asked)
	return nil
}

func (f *Follower) install(m *Manifest, w Wire, asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current, f.wire = m, w
	f.confirmed = asked
}

func (f *Follower) keepOnly(p pointer) {
	used := map[string]bool{}
	for _, key := range p.Sections {
		used[key] = true
	}
	for key := range f.cache {
		if !used[key] {
			delete(f.cache, key)
		}
	}
}

func (f *Follower) cacheCopy() map[string][]byte {
	c := make(map[string][]byte, len(f.cache))
	for k, v := range f.cache {
		c[k] = v
	}
	return c
}

// wireObjects serves the sections that came with a peer's manifest.
type wireObjects map[string][]byte

func (o wireObjects) Put(context.Context, string, []byte) error { return burdockyard.ErrUnavailable }

func (o wireObjects) Get(_ context.Context, key string) ([]byte, error) {
	data, ok := o[key]
	if !ok {
		return nil, burdockyard.ErrNotFound
	}
	return data, nil
}
