// Package byroute chooses the engine for a call and learns from how the calls
// go which engines are slow.
//
// # Usage
//
//	r := byroute.New(byroute.WithRand(rand.New(rand.NewPCG(seed, 0))))
//	choice, ok := r.Pick(manifest.ModelEngines("quote"), work, nil, now)
//	flight := r.Start(choice, work, now)
//	flight.Token(now) // for each token
//	flight.End()
//	r.Tick(peerLoads, place, now) // with each heartbeat
//
// The estimate goes by the node's own open work and by the distance of its tokens;
// what peers say counts for long prompts only. The engine's own load report is
// not used: it tells of a straggler late.
package byroute

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockyard"
	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
)

const (
	// PieceTokens is the size of a piece of prefix cache, in tokens.
	PieceTokens = 4096
	// LongPrompt is the number of prompt tokens above which a prompt is long.
	LongPrompt = 2 * PieceTokens
	// scanAll is the number of engines up to which every one is compared.
	scanAll = 24
	// sampleSize is the number of engines of each kind compared when there are more.
	sampleSize = 6
	// fullPenalty is the estimated wait where the batch has no place for the node.
	fullPenalty = 200 * time.Millisecond
	// decodeWeight is the wait that a batch full of other streams counts for.
	decodeWeight = 60 * time.Millisecond
	// gapFresh is how long the distance of two tokens tells of an engine's prompts.
	gapFresh = 100 * time.Millisecond
	// promptingGap is the distance up to which an engine only makes output, and
	// promptingWeight the wait for what is beyond it, up to promptingMost.
	promptingGap    = 15 * time.Millisecond
	promptingWeight = 5.0
	promptingMost   = 100 * time.Millisecond
	// promptingUnknown is the wait at an engine where no call is open.
	promptingUnknown = 50 * time.Millisecond
	// failHold is how long an engine that refused or dropped a call is avoided.
	failHold = 2 * time.Second
)

// Work is what a call asks of an engine.
type Work struct {
	PromptTokens int
	OutputTokens int      // predicted
	Prefix       []uint64 // hash of the prompt up to each whole piece
}

// Long reports whether the prompt is long: it runs at a lower priority, so that
// short prompts do not wait behind it.
func (w Work) Long() bool { return w.PromptTokens > LongPrompt }

// Choice is an engine and what is expected of it.
type Choice struct {
	Engine   *bymanifest.Engine
	Wait     time.Duration // until the first token
	Backlog  time.Duration // part of Wait that is other calls' prompts
	Uncached int           // prompt tokens to process
	Streams  int           // open there, as far as is known
	Seat     bool          // the batch has a place for one more stream of this node
}

// engine is what a Router knows of one engine.
type engine struct {
	hash    uint64
	own     bymember.Load
	atTick  bymember.Load // own, when peers was read
	peers   bymember.Load
	speed   float64       // share of the usual speed, 1 unless slow
	gap     floor         // time between tokens, relative to the expected
	lastGap time.Duration // between the last two tokens of one call
	lastAt  time.Time     // when the last of them arrived
	probeAt time.Time
	failed  time.Time // avoided until
	held    bool      // about to be taken away
}

// Router chooses engines. Its methods may be called from several goroutines.
// mu guards every engine's entry and is a leaf lock.
type Router struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	engines map[burdockyard.EndpointID]*engine
	prefix  *prefixIndex
	detect  bool
	// distance is whether the distance of tokens counts.
	distance bool
	place    Place
	homes    map[string]home // by model
	stretch  float64         // how many times longer prompts take than their rate says
}

// Option sets an optional part of a Router.
type Option func(*Router)

// WithRand sets the source of randomness.
func WithRand(rnd *rand.Rand) Option { return func(r *Router) { r.rnd = rnd } }

// WithoutDetection takes every engine for equally fast.
func WithoutDetection() Option { return func(r *Router) { r.detect = false } }

// WithoutTokenDistance ignores what the distance of tokens tells of an engine.
func WithoutTokenDistance() Option { return func(r *Router) { r.distance = false } }

// WithoutAffinity ignores what engines may have cached.
func WithoutAffinity() Option { return func(r *Router) { r.prefix = nil } }

// New returns a Router that knows of no load.
func New(opts ...Option) *Router {
	r := &Router{
		rnd:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		engines: map[burdockyard.EndpointID]*engine{},
		prefix:  newPrefixIndex(),
		detect:  true, distance: true,
		place: Place{Nodes: 1}, homes: map[string]home{},
		stretch: 1,
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

func (r *Router) entry(id burdockyard.EndpointID) *engine {
	e := r.engines[id]
	if e == nil {
		e = &engine{speed: 1, hash: xxhash.Sum64String(string(id))}
		r.engines[id] = e
	}
	return e
}

// Pick returns the engine with the shortest expected wait among those that
// serve and are not excluded; false if there is none.
func (r *Router) Pick(engines []*bymanifest.Engine, w Work, exclude map[burdockyard.EndpointID]bool, now time.Time) (Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best Choice
	found := false
	for _, e := range r.sample(engines, w) {
		if !e.Serving() || exclude[e.ID()] || r.entry(e.ID()).held {
			continue
		}
		c := r.estimate(e, w, now)
		if !found || c.Wait < best.Wait {
			best, found = c, true
		}
	}
	if found {
		r.takeProbe(best, now)
	}
	return best, found
}

// sample returns the engines to compare: all of a few, else some of those whose
// batches have places for this node, a random handful, and those that are likely
// to have the prompt's prefix cached.
func (r *Router) sample(engines []*bymanifest.Engine, w Work) []*bymanifest.Engine {
	n := len(engines)
	if n <= scanAll {
		return r.rotated(engines)
	}
	picked := make([]*bymanifest.Engine, 0, 2*sampleSize+cachedEngines)
	if own := r.homeOf(engines); len(own) > 0 {
		for range sampleSize {
			picked = append(picked, own[r.rnd.IntN(len(own))])
		}
	}
	for range sampleSize {
		picked = append(picked, engines[r.rnd.IntN(n)])
	}
	return r.prefix.appendCached(picked, w.Prefix, engines)
}

// rotated begins at a random engine, so that equal estimates of several nodes
// do not all fall on the first engine of the file.
func (r *Router) rotated(engines []*bymanifest.Engine) []*bymanifest.Engine {
	n := len(engines)
	if n < 2 {
		return engines
	}
	k := r.rnd.IntN(n)
	out := make([]*bymanifest.Engine, 0, n)
	out = append(out, engines[k:]...)
	return append(out, engines[:k]...)
}

func (r *Router) estimate(e *bymanifest.Engine, w Work, now time.Time) Choice {
	s := r.entry(e.ID())
	model := e.Model()
	speed, prompting := s.speed, s.prompting(now)
	if r.probeDue(s, now) {
		speed, prompting = 1, 0
	}
	rate := float64(model.PrefillRate) * speed / r.stretch
	load := s.load(r.place.Nodes)
	backlog := load.PrefillTokens
	if !w.Long() {
		backlog -= load.LongTokens // runs after it
	}
	streams := load.Streams
	uncached := w.PromptTokens - r.prefix.cachedTokens(w.Prefix, e.ID())
	c := Choice{Engine: e, Uncached: uncached, Streams: streams, Seat: s.seat(r.place, model.MaxStreams), Backlog: seconds(float64(backlog) / rate)}
	c.Wait = c.Backlog + seconds(float64(uncached)/rate)
	c.Wait += time.Duration(float64(decodeWeight) * float64(streams) / float64(model.MaxStreams) / speed)
	if !c.Seat {
		c.Wait += fullPenalty
	}
	if r.distance {
		c.Wait += prompting
	}
	if now.Before(s.failed) {
		c.Wait += failHold
	}
	return c
}

// Avoid keeps new work from an engine for a short while, after it refused or
// dropped a call.
func (r *Router) Avoid(id burdockyard.EndpointID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entry(id).failed = now.Add(failHold)
}

func (e *engine) addPrompt(tokens int, long bool) {
	e.own.PrefillTokens += tokens
	if long {
		e.own.LongTokens += tokens
	}
}

// Hold keeps new work from exactly these engines.
func (r *Router) Hold(ids []burdockyard.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.engines {
		e.held = false
	}
	for _, id := range ids {
		r.entry(id).held = true
	}
}

// Flight is one call on its way at an engine. It is used by one goroutine.
type Flight struct {
	r        *Router
	id       burdockyard.EndpointID
	uncached int
	long     bool
	expected time.Duration // until the first token
	gap      time.Duration // expected between tokens
	began    time.Time
	last     time.Time
	ended    bool
}

// Start counts a call at its engine.
func (r *Router) Start(c Choice, w Work, now time.Time) *Flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.entry(c.Engine.ID())
	s.own.Engine = c.Engine.ID()
	s.own.Streams++
	s.addPrompt(c.Uncached, w.Long())
	r.prefix.add(w.Prefix, c.Engine.ID())
	model := c.Engine.Model()
	return &Flight{
		r: r, id: c.Engine.ID(), uncached: c.Uncached, long: w.Long(), began: now,
		expected: seconds(c.Backlog.Seconds()/r.stretch + float64(c.Uncached)/float64(model.PrefillRate)),
		gap:      usualIteration + seconds(float64(s.own.Streams+s.peers.Streams)/float64(model.DecodeRate)),
	}
}

// Token notes that a token arrived.
func (f *Flight) Token(now time.Time) {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	s := f.r.entry(f.id)
	if f.last.IsZero() {
		f.r.notePrefill(now.Sub(f.began), f.expected)
		s.addPrompt(-f.uncached, f.long)
		f.uncached = 0
	} else {
		s.gap.add(relative(now.Sub(f.last), f.gap), now)
		s.lastGap, s.lastAt = now.Sub(f.last), now
	}
	f.last = now
}

// End notes that the call left the engine, however it ended.
func (f *Flight) End() {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	s := f.r.entry(f.id)
	s.addPrompt(-f.uncached, f.long)
	s.own.Streams--
}

// Tick takes in the open work of the other nodes and compares the engines' speeds.
func (r *Router) Tick(peers map[burdockyard.EndpointID]bymember.Load, place Place, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.place = place
	for id, e := range r.engines {
		e.peers = peers[id]
		e.atTick = e.own
	}
	for id, l := range peers {
		r.entry(id).peers = l
	}
	if r.detect {
		r.compareSpeeds(now)
	}
}

// Digest returns the work that this node has open, engine by engine.
func (r *Router) Digest() []bymember.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	var loads []bymember.Load
	for _, e := range r.engines {
		if e.own.Streams > 0 {
			loads = append(loads, e.own)
		}
	}
	return loads
}

// Open returns the number of calls that this node and its peers have open at
// an engine.
func (r *Router) Open(id burdockyard.EndpointID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[id]
	if e == nil {
		return 0
	}
	return e.own.Streams + e.peers.Streams
}
