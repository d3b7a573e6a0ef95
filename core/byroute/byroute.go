// Package byroute chooses the engine that serves a call and detects slow engines
// from the timing of the tokens that they produce.
//
// # Usage
//
//	r := byroute.New(byroute.WithRand(rand.New(rand.NewPCG(seed, 0))))
//	choice, ok := r.Pick(manifest.ModelEngines("quote"), work, nil, now)
//	flight := r.Start(choice, work, now)
//	flight.Token(now) // for each token
//	flight.End()
//	r.Tick(peerLoads, place, now) // on each heartbeat
//
// An engine's load is estimated from the calls that this node has open there and
// from the gaps between their tokens; loads reported by peers are used for long
// prompts only. The load that an engine reports itself is not used, because it
// reveals a straggler late.
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
	// PieceTokens is the size in tokens of the blocks in which prompt prefixes are
	// hashed and looked up.
	PieceTokens = 4096
	// LongPrompt is the number of tokens above which a prompt counts as long.
	LongPrompt = 2 * PieceTokens
	// scanAll is the largest number of engines for which Pick compares all of them.
	scanAll = 24
	// sampleSize is how many engines Pick draws from each group that it samples when
	// there are more than scanAll.
	sampleSize = 6
	// fullPenalty is added to the estimated wait for an engine without a free batch
	// slot for this node.
	fullPenalty = 200 * time.Millisecond
	// decodeWeight is the estimated wait at an engine of usual speed whose batch is
	// full of decoding streams; fewer streams count proportionally less.
	decodeWeight = 60 * time.Millisecond
	// gapFresh is how long the last gap between two tokens counts as evidence of
	// what the engine is processing.
	gapFresh = 100 * time.Millisecond
	// promptingGap is the largest gap between two tokens of an engine that only
	// decodes. A longer one means that the engine is processing prompts.
	promptingGap = 15 * time.Millisecond
	// promptingWeight is the estimated wait per unit of time by which a token gap
	// exceeds promptingGap.
	promptingWeight = 5.0
	// promptingMost is the upper limit of the wait estimated from a token gap.
	promptingMost = 100 * time.Millisecond
	// promptingUnknown is the wait assumed for an engine without a recent token gap.
	promptingUnknown = 50 * time.Millisecond
	// failHold is how long an engine is avoided after it refused or dropped a call,
	// and also the wait added to its estimate during that time.
	failHold = 2 * time.Second
)

// Work is the work that a call requires of an engine.
type Work struct {
	PromptTokens int
	OutputTokens int      // predicted
	Prefix       []uint64 // hashes of the prompt up to the end of each whole block
}

// Long reports whether the prompt is longer than LongPrompt. Long prompts run at a
// lower priority, so that short ones do not wait behind them.
func (w Work) Long() bool { return w.PromptTokens > LongPrompt }

// Choice is an engine chosen for a call and the estimates it was chosen by.
type Choice struct {
	Engine   *bymanifest.Engine
	Wait     time.Duration // estimated time to the first token, penalties included
	Backlog  time.Duration // part of Wait spent on the prompts of other calls
	Uncached int           // prompt tokens that are probably not in the engine's prefix cache
	Streams  int           // estimated number of open streams at the engine
	Seat     bool          // this node may take another slot of the engine's batch
}

// engine is the state that a Router keeps for one engine.
type engine struct {
	hash    uint64        // hash of the engine's ID, see Place.places
	own     bymember.Load // open work of this node
	atTick  bymember.Load // value of own at the last Tick
	peers   bymember.Load // open work of the other nodes, as of the last Tick
	speed   float64       // relative to the median engine; 1 unless the engine is slow
	gap     floor         // time between tokens, relative to the expected time
	lastGap time.Duration // between the last two tokens of one call
	lastAt  time.Time     // when lastGap was measured
	probeAt time.Time     // when a slow engine may next be probed
	failed  time.Time     // the engine is avoided until then
	held    bool          // the engine is about to be removed and gets no new calls
}

// Router chooses engines. It is safe for concurrent use. mu guards every other
// field and the state of every engine, and is a leaf lock: no other lock is taken
// under it.
type Router struct {
	mu       sync.Mutex
	rnd      *rand.Rand
	engines  map[burdockyard.EndpointID]*engine
	prefix   *prefixIndex // nil if prefix caches are ignored
	detect   bool         // detect slow engines
	distance bool         // use token gaps in estimates
	place    Place
	homes    map[string]home // by model name
	stretch  float64         // moving average of the ratio of measured to expected prefill time, at least 1
}

// Option configures a Router.
type Option func(*Router)

// WithRand sets the source of randomness. The Router uses it under its own lock.
func WithRand(rnd *rand.Rand) Option { return func(r *Router) { r.rnd = rnd } }

// WithoutDetection disables the detection of slow engines.
func WithoutDetection() Option { return func(r *Router) { r.detect = false } }

// WithoutTokenDistance leaves token gaps out of the estimated wait.
func WithoutTokenDistance() Option { return func(r *Router) { r.distance = false } }

// WithoutAffinity ignores which prefixes engines may have cached.
func WithoutAffinity() Option { return func(r *Router) { r.prefix = nil } }

// New returns a Router without calls, for a single node until the first Tick.
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

// Pick returns the engine with the shortest estimated wait among those that are
// serving, not excluded and not held. It returns false if there is none.
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

// sample returns the engines to compare: all of them if they are few, otherwise
// some whose batches have slots for this node, some random ones, and those that
// probably have the prompt's prefix cached.
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

// rotated returns the engines from a random start. Nodes with equal estimates
// would otherwise all choose the first engine of the manifest.
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

// estimate returns the estimated wait for a call at an engine.
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
		backlog -= load.LongTokens // long prompts have a lower priority
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

// Avoid makes new calls avoid an engine for a short time, after it refused or
// dropped a call.
func (r *Router) Avoid(id burdockyard.EndpointID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entry(id).failed = now.Add(failHold)
}

// addPrompt adds to the prompt tokens that this node has open at the engine.
func (e *engine) addPrompt(tokens int, long bool) {
	e.own.PrefillTokens += tokens
	if long {
		e.own.LongTokens += tokens
	}
}

// Hold excludes the given engines from new calls and readmits all others.
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

// Flight is a call in progress at an engine. It must not be used concurrently.
type Flight struct {
	r        *Router
	id       burdockyard.EndpointID
	uncached int           // prompt tokens counted as open, 0 after the first token
	long     bool          // whether the prompt is long
	expected time.Duration // time to the first token at the rated prefill rate
	gap      time.Duration // expected time between tokens
	began    time.Time
	last     time.Time // of the last token, zero before the first
	ended    bool
}

// Start records that a call begins at the chosen engine. The caller must call End
// on the result.
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

// Token records that a token arrived.
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

// End records that the call is over at the engine, whether it succeeded or not.
// Further calls of End have no effect.
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

// Tick updates the open work of the other nodes and this node's place among them,
// and compares the speeds of the engines.
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

// Digest returns the open work of this node at each engine where it has a call.
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

// Open returns the number of open calls at an engine, those of the other nodes as
// of the last Tick.
func (r *Router) Open(id burdockyard.EndpointID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[id]
	if e == nil {
		return 0
	}
	return e.own.Streams + e.peers.Streams
}
