// Package byroute chooses the engine that serves a call and detects slow engines
// from the timing of the tokens that they produce.
//
// # Usage
//
//	r := byroute.New(byroute.WithRand(rand.New(rand.NewPCG(seed, 0))))
//	choice, ok := r.Pick(manifest.ModelEngines("quote"), work, nil, now)
//	call := r.Start(choice, work, now)
//	call.RecordToken(now) // for each token
//	call.End()
//	r.UpdatePeers(peerLoads, position, now) // on each heartbeat
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
	// PrefixBlockTokens is the size in tokens of the blocks in which prompt prefixes are
	// hashed and looked up.
	PrefixBlockTokens = 4096
	// LongPromptTokens is the number of tokens above which a prompt counts as long.
	LongPromptTokens = 2 * PrefixBlockTokens
	// maxFullScan is the largest number of engines for which Pick compares all of
	// them.
	maxFullScan = 24
	// sampleSize is how many engines Pick draws from each group that it samples
	// when there are more than maxFullScan.
	sampleSize = 6
	// fullBatchPenalty is added to the estimated wait for an engine without a free
	// batch slot for this node.
	fullBatchPenalty = 200 * time.Millisecond
	// fullBatchDecodeDelay is the estimated wait at an engine of usual speed whose
	// batch is full of decoding streams; fewer streams count proportionally less.
	fullBatchDecodeDelay = 60 * time.Millisecond
	// tokenGapMaxAge is how long the last gap between two tokens counts as evidence
	// of what the engine is processing.
	tokenGapMaxAge = 100 * time.Millisecond
	// decodeOnlyTokenGap is the largest gap between two tokens of an engine that
	// only decodes. A longer one means that the engine is processing prompts.
	decodeOnlyTokenGap = 15 * time.Millisecond
	// prefillDelayFactor is the estimated wait per unit of time by which a token
	// gap exceeds decodeOnlyTokenGap.
	prefillDelayFactor = 5.0
	// maxPrefillDelay is the upper limit of the wait estimated from a token gap.
	maxPrefillDelay = 100 * time.Millisecond
	// unknownPrefillDelay is the wait assumed for an engine without a recent token
	// gap.
	unknownPrefillDelay = 50 * time.Millisecond
	// failureBackoff is how long an engine is avoided after it refused or dropped a
	// call, and also the wait added to its estimate during that time.
	failureBackoff = 2 * time.Second
)

// Work is the work that a call requires of an engine.
type Work struct {
	PromptTokens int
	OutputTokens int      // predicted number of output tokens
	PrefixHashes []uint64 // hashes of the prompt up to the end of each whole block
}

// HasLongPrompt reports whether the prompt has more than LongPromptTokens tokens. Such
// prompts run at a lower priority, so that short ones do not wait behind them.
func (w Work) HasLongPrompt() bool { return w.PromptTokens > LongPromptTokens }

// Choice is an engine chosen for a call and the estimates it was chosen by.
type Choice struct {
	Engine         *bymanifest.Engine
	Wait           time.Duration // estimated time to the first token, penalties included
	Backlog        time.Duration // part of Wait spent on the prompts of other calls
	UncachedTokens int           // prompt tokens that are probably not in the engine's prefix cache
	OpenStreams    int           // estimated number of open streams at the engine
	HasSlot        bool          // whether this node may take another slot of the engine's batch
}

// engineState is the state that a Router keeps for one engine.
type engineState struct {
	idHash        uint64        // hash of the engine's ID, see NodePosition.slots
	local         bymember.Load // open work of this node
	localAtUpdate bymember.Load // value of local at the last call of UpdatePeers
	peers         bymember.Load // open work of the other nodes, as of the last call of UpdatePeers
	speed         float64       // relative to the median engine; 1 unless the engine is slow
	tokenGap      delayFloor    // time between tokens, relative to the expected time
	lastTokenGap  time.Duration // gap between the last two tokens of one call
	lastTokenAt   time.Time     // when lastTokenGap was measured
	nextProbeAt   time.Time     // when a slow engine may next be probed
	avoidUntil    time.Time     // time until which new calls avoid the engine
	draining      bool          // whether the engine is about to be removed and gets no new calls
}

// Router chooses engines. It is safe for concurrent use. mu guards every other
// field and the state of every engine, and is a leaf lock: no other lock is taken
// under it.
type Router struct {
	mu              sync.Mutex
	rnd             *rand.Rand
	engines         map[burdockyard.EndpointID]*engineState
	prefix          *prefixIndex              // nil if prefix caches are ignored
	detectSlow      bool                      // whether slow engines are detected
	useTokenGaps    bool                      // whether token gaps are part of the estimated wait
	position        NodePosition              // position of this node among those that share the engines
	slotCache       map[string]slotCacheEntry // keyed by model name
	prefillSlowdown float64                   // moving average of the ratio of measured to expected prefill time, at least 1
}

// Option configures a Router.
type Option func(*Router)

// WithRand sets the source of randomness. The Router uses it under its own lock.
func WithRand(rnd *rand.Rand) Option { return func(r *Router) { r.rnd = rnd } }

// WithoutSlowDetection disables the detection of slow engines.
func WithoutSlowDetection() Option { return func(r *Router) { r.detectSlow = false } }

// WithoutTokenGaps leaves token gaps out of the estimated wait.
func WithoutTokenGaps() Option { return func(r *Router) { r.useTokenGaps = false } }

// WithoutPrefixAffinity ignores which prefixes engines may have cached.
func WithoutPrefixAffinity() Option { return func(r *Router) { r.prefix = nil } }

// New returns a Router without calls. Until the first call of UpdatePeers it assumes that
// this node is the only one.
func New(opts ...Option) *Router {
	r := &Router{
		rnd:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		engines:    map[burdockyard.EndpointID]*engineState{},
		prefix:     newPrefixIndex(),
		detectSlow: true, useTokenGaps: true,
		position: NodePosition{Nodes: 1}, slotCache: map[string]slotCacheEntry{},
		prefillSlowdown: 1,
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

func (r *Router) state(id burdockyard.EndpointID) *engineState {
	e := r.engines[id]
	if e == nil {
		e = &engineState{speed: 1, idHash: xxhash.Sum64String(string(id))}
		r.engines[id] = e
	}
	return e
}

// Pick returns the engine with the shortest estimated wait among those that are
// serving, not excluded and not draining. It returns false if there is none.
func (r *Router) Pick(engines []*bymanifest.Engine, w Work, exclude map[burdockyard.EndpointID]bool, now time.Time) (Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best Choice
	found := false
	for _, e := range r.sample(engines, w) {
		if !e.Serving() || exclude[e.ID()] || r.state(e.ID()).draining {
			continue
		}
		c := r.estimate(e, w, now)
		if !found || c.Wait < best.Wait {
			best, found = c, true
		}
	}
	if found {
		r.scheduleNextProbe(best, now)
	}
	return best, found
}

// sample returns the engines to compare: all of them if they are few, otherwise
// some whose batches have slots for this node, some random ones, and those that
// probably have the prompt's prefix cached.
func (r *Router) sample(engines []*bymanifest.Engine, w Work) []*bymanifest.Engine {
	n := len(engines)
	if n <= maxFullScan {
		return r.rotatedAtRandom(engines)
	}
	picked := make([]*bymanifest.Engine, 0, 2*sampleSize+maxEnginesPerPrefix)
	if withSlots := r.enginesWithSlots(engines); len(withSlots) > 0 {
		for range sampleSize {
			picked = append(picked, withSlots[r.rnd.IntN(len(withSlots))])
		}
	}
	for range sampleSize {
		picked = append(picked, engines[r.rnd.IntN(n)])
	}
	return r.prefix.appendCached(picked, w.PrefixHashes, engines)
}

// rotatedAtRandom returns the engines from a random start. Nodes with equal
// estimates would otherwise all choose the first engine of the manifest.
func (r *Router) rotatedAtRandom(engines []*bymanifest.Engine) []*bymanifest.Engine {
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
	s := r.state(e.ID())
	model := e.Model()
	speed, prefillDelay := s.speed, s.prefillDelay(now)
	if r.isProbeDue(s, now) {
		speed, prefillDelay = 1, 0
	}
	rate := float64(model.PrefillRate) * speed / r.prefillSlowdown
	load := s.estimatedLoad(r.position.Nodes)
	backlog := load.PrefillTokens
	if !w.HasLongPrompt() {
		backlog -= load.LongPromptTokens // long prompts have a lower priority
	}
	streams := load.Streams
	uncached := w.PromptTokens - r.prefix.cachedTokens(w.PrefixHashes, e.ID())
	c := Choice{Engine: e, UncachedTokens: uncached, OpenStreams: streams, HasSlot: s.hasSlot(r.position, model.MaxStreams), Backlog: seconds(float64(backlog) / rate)}
	c.Wait = c.Backlog + seconds(float64(uncached)/rate)
	c.Wait += time.Duration(float64(fullBatchDecodeDelay) * float64(streams) / float64(model.MaxStreams) / speed)
	if !c.HasSlot {
		c.Wait += fullBatchPenalty
	}
	if r.useTokenGaps {
		c.Wait += prefillDelay
	}
	if now.Before(s.avoidUntil) {
		c.Wait += failureBackoff
	}
	return c
}

// Avoid makes new calls avoid an engine for a short time, after it refused or
// dropped a call.
func (r *Router) Avoid(id burdockyard.EndpointID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(id).avoidUntil = now.Add(failureBackoff)
}

// addPrompt adds to the prompt tokens that this node has open at the engine.
func (e *engineState) addPrompt(tokens int, long bool) {
	e.local.PrefillTokens += tokens
	if long {
		e.local.LongPromptTokens += tokens
	}
}

// SetDraining excludes the given engines from new calls and readmits all others.
func (r *Router) SetDraining(ids []burdockyard.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.engines {
		e.draining = false
	}
	for _, id := range ids {
		r.state(id).draining = true
	}
}

// InFlightCall is a call in progress at an engine. It must not be used concurrently.
type InFlightCall struct {
	r                  *Router
	id                 burdockyard.EndpointID
	uncached           int           // prompt tokens counted as open, 0 after the first token
	long               bool          // whether the prompt is long
	expectedFirstToken time.Duration // time to the first token at the rated prefill rate
	expectedTokenGap   time.Duration // expected time between tokens
	startedAt          time.Time
	lastTokenAt        time.Time // zero before the first token
	ended              bool
}

// Start records that a call begins at the chosen engine. The caller must call End
// on the result.
func (r *Router) Start(c Choice, w Work, now time.Time) *InFlightCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(c.Engine.ID())
	s.local.Engine = c.Engine.ID()
	s.local.Streams++
	s.addPrompt(c.UncachedTokens, w.HasLongPrompt())
	r.prefix.add(w.PrefixHashes, c.Engine.ID())
	model := c.Engine.Model()
	return &InFlightCall{
		r: r, id: c.Engine.ID(), uncached: c.UncachedTokens, long: w.HasLongPrompt(), startedAt: now,
		expectedFirstToken: seconds(c.Backlog.Seconds()/r.prefillSlowdown + float64(c.UncachedTokens)/float64(model.PrefillRate)),
		expectedTokenGap:   baseIterationTime + seconds(float64(s.local.Streams+s.peers.Streams)/float64(model.DecodeRate)),
	}
}

// RecordToken records that a token arrived.
func (c *InFlightCall) RecordToken(now time.Time) {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	s := c.r.state(c.id)
	if c.lastTokenAt.IsZero() {
		c.r.recordPrefill(now.Sub(c.startedAt), c.expectedFirstToken)
		s.addPrompt(-c.uncached, c.long)
		c.uncached = 0
	} else {
		s.tokenGap.add(ratioToExpected(now.Sub(c.lastTokenAt), c.expectedTokenGap), now)
		s.lastTokenGap, s.lastTokenAt = now.Sub(c.lastTokenAt), now
	}
	c.lastTokenAt = now
}

// End records that the call is over at the engine, whether it succeeded or not.
// Further calls of End have no effect.
func (c *InFlightCall) End() {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	s := c.r.state(c.id)
	s.addPrompt(-c.uncached, c.long)
	s.local.Streams--
}

// UpdatePeers updates the open work of the other nodes and this node's position among
// them, and compares the speeds of the engines.
func (r *Router) UpdatePeers(peers map[burdockyard.EndpointID]bymember.Load, position NodePosition, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.position = position
	for id, e := range r.engines {
		e.peers = peers[id]
		e.localAtUpdate = e.local
	}
	for id, l := range peers {
		r.state(id).peers = l
	}
	if r.detectSlow {
		r.compareSpeeds(now)
	}
}

// LocalLoads returns the open work of this node at each engine where it has a call.
func (r *Router) LocalLoads() []bymember.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	var loads []bymember.Load
	for _, e := range r.engines {
		if e.local.Streams > 0 {
			loads = append(loads, e.local)
		}
	}
	return loads
}

// OpenCalls returns the number of open calls at an engine. Those of the other nodes are
// counted as of the last call of UpdatePeers.
func (r *Router) OpenCalls(id burdockyard.EndpointID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[id]
	if e == nil {
		return 0
	}
	return e.local.Streams + e.peers.Streams
}
