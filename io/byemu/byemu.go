// Package byemu emulates a model engine: continuous batching at configured rates,
// a prefix cache of fixed-size blocks, and request priorities. It has no clock: the
// engine stand-in sleeps for the duration of each iteration, whereas a simulation
// advances a virtual clock.
//
// # Usage
//
//	e := byemu.New(byemu.Config{PrefillRate: 20000, DecodeRate: 2000, MaxStreams: 32})
//	e.Add(&byemu.Stream{ID: "a", PromptTokens: 800, OutputTokens: 100})
//	d, produced := e.Iterate() // d later, each stream in produced has one more token
package byemu

import (
	"slices"
	"time"

	"burdockyard"
	"burdockyard/core/byroute"
)

const (
	// iterationOverhead is the part of an iteration's duration that does not depend
	// on the load.
	iterationOverhead = 4 * time.Millisecond
	// mixedChunkTokens, prefillChunkTokens and decodeChunkTokens are the maximum
	// numbers of prompt tokens that one iteration processes, by the engine's role.
	mixedChunkTokens   = 512
	prefillChunkTokens = 4096
	decodeChunkTokens  = 128
	// defaultCacheBlocks is the default capacity of the prefix cache, in blocks.
	defaultCacheBlocks = 256
)

// Config configures an emulated engine.
type Config struct {
	PrefillRate int // prompt tokens per second
	DecodeRate  int // output tokens per second over the whole batch
	MaxStreams  int // maximum number of streams in the batch
	CacheBlocks int // capacity of the prefix cache in blocks; 0 means the default
	Role        burdockyard.Role
}

// Stream is one completion that the engine works on.
type Stream struct {
	ID           string
	PromptTokens int      // length of the prompt in tokens
	PrefixHashes []uint64 // for each complete block, the hash of the prompt up to its end
	OutputTokens int      // number of tokens to generate
	Priority     int      // higher values are served first

	pendingPrefill int  // prompt tokens not yet processed
	generated      int  // tokens generated
	inBatch        bool // the stream is in the batch
	arrival        int  // order of arrival among streams of one priority
}

// GeneratedTokens returns the number of tokens generated so far.
func (s *Stream) GeneratedTokens() int { return s.generated }

// Done reports whether the last token has been generated.
func (s *Stream) Done() bool { return s.generated >= s.OutputTokens }

// Engine is an emulated engine. It is not safe for concurrent use.
type Engine struct {
	cfg         Config
	slowdown    float64   // factor on the duration of each iteration
	streams     []*Stream // queued and in the batch, by priority, then by arrival
	lruCache    []uint64  // hashes of the cached blocks, least recently used first
	isCached    map[uint64]bool
	events      []CacheEvent
	lastArrival int
}

// CacheEvent reports that a block entered the cache or was evicted from it.
type CacheEvent struct {
	Hash    uint64 `json:"hash"`
	Evicted bool   `json:"evicted"`
}

// New returns an idle engine.
func New(cfg Config) *Engine {
	if cfg.CacheBlocks == 0 {
		cfg.CacheBlocks = defaultCacheBlocks
	}
	return &Engine{cfg: cfg, slowdown: 1, isCached: map[uint64]bool{}}
}

// SetRole sets the role, which determines how many prompt tokens an iteration
// processes.
func (e *Engine) SetRole(r burdockyard.Role) { e.cfg.Role = r }

// Role returns the engine's role.
func (e *Engine) Role() burdockyard.Role { return e.cfg.Role }

// SetSlowdown makes each iteration take factor times as long.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// Add queues a stream. The part of its prompt that is in the prefix cache is not
// processed again, but at least one token is.
func (e *Engine) Add(s *Stream) {
	e.lastArrival++
	s.arrival = e.lastArrival
	s.pendingPrefill = max(s.PromptTokens-e.cachedPrefixTokens(s.PrefixHashes), 1)
	i, _ := slices.BinarySearchFunc(e.streams, s, func(a, b *Stream) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return a.arrival - b.arrival
	})
	e.streams = slices.Insert(e.streams, i, s)
}

// Remove removes a stream and reports whether it was there.
func (e *Engine) Remove(id string) bool {
	before := len(e.streams)
	e.streams = slices.DeleteFunc(e.streams, func(s *Stream) bool { return s.ID == id })
	return len(e.streams) < before
}

// StreamCount returns the number of streams in the queue and in the batch.
func (e *Engine) StreamCount() int { return len(e.streams) }

// PendingPrefillTokens returns the number of prompt tokens not yet processed.
func (e *Engine) PendingPrefillTokens() int {
	n := 0
	for _, s := range e.streams {
		n += s.pendingPrefill
	}
	return n
}

// Iterate runs one iteration and returns its duration and the streams that have
// one more token after it. A duration of 0 means that the engine is idle.
func (e *Engine) Iterate() (time.Duration, []*Stream) {
	if len(e.streams) == 0 {
		return 0, nil
	}
	e.fillBatch()
	prompt, produced := e.prefill()
	for _, s := range e.streams {
		if s.inBatch && s.pendingPrefill == 0 && !slices.Contains(produced, s) {
			produced = append(produced, s)
		}
	}
	for _, s := range produced {
		s.generated++
	}
	e.streams = slices.DeleteFunc(e.streams, (*Stream).Done)
	d := iterationOverhead
	d += time.Duration(float64(prompt) / float64(e.cfg.PrefillRate) * float64(time.Second))
	d += time.Duration(float64(len(produced)) / float64(e.cfg.DecodeRate) * float64(time.Second))
	return time.Duration(float64(d) * e.slowdown), produced
}

// fillBatch moves streams from the head of the queue into the batch until the batch
// has MaxStreams.
func (e *Engine) fillBatch() {
	room := e.cfg.MaxStreams
	for _, s := range e.streams {
		if s.inBatch {
			room--
		}
	}
	for _, s := range e.streams {
		if room <= 0 {
			return
		}
		if !s.inBatch {
			s.inBatch = true
			room--
		}
	}
}

// prefill processes up to one chunk of prompt tokens, in the order of the streams,
// and returns the number of tokens processed and the streams whose prompt is now
// complete. These generate their first token in the same iteration.
func (e *Engine) prefill() (int, []*Stream) {
	budget := e.chunkTokens()
	var finished []*Stream
	for _, s := range e.streams {
		if !s.inBatch || s.pendingPrefill == 0 || budget == 0 {
			continue
		}
		n := min(s.pendingPrefill, budget)
		s.pendingPrefill -= n
		budget -= n
		if s.pendingPrefill == 0 {
			e.cacheBlocks(s.PrefixHashes)
			finished = append(finished, s)
		}
	}
	return e.chunkTokens() - budget, finished
}

// chunkTokens returns the maximum number of prompt tokens of one iteration.
func (e *Engine) chunkTokens() int {
	switch e.cfg.Role {
	case burdockyard.RolePrefill:
		return prefillChunkTokens
	case burdockyard.RoleDecode:
		return decodeChunkTokens
	default:
		return mixedChunkTokens
	}
}

// cachedPrefixTokens returns the number of prompt tokens in the leading blocks of
// a prefix that are cached without a gap.
func (e *Engine) cachedPrefixTokens(prefix []uint64) int {
	n := 0
	for _, h := range prefix {
		if !e.isCached[h] {
			break
		}
		n += byroute.PrefixBlockTokens
	}
	return n
}

// cacheBlocks adds blocks to the cache and evicts the least recently used ones
// above its capacity.
func (e *Engine) cacheBlocks(prefix []uint64) {
	for _, h := range prefix {
		if e.isCached[h] {
			e.lruCache = slices.DeleteFunc(e.lruCache, func(x uint64) bool { return x == h })
		} else {
			e.events = append(e.events, CacheEvent{Hash: h})
		}
		e.isCached[h] = true
		e.lruCache = append(e.lruCache, h)
	}
	for len(e.lruCache) > e.cfg.CacheBlocks {
		e.events = append(e.events, CacheEvent{Hash: e.lruCache[0], Evicted: true})
		delete(e.isCached, e.lruCache[0])
		e.lruCache = e.lruCache[1:]
	}
}

// ImportBlocks adds blocks from another engine to the cache.
func (e *Engine) ImportBlocks(prefix []uint64) { e.cacheBlocks(prefix) }

// CachedBlocks returns the hashes of the blocks in the cache, least recently used
// first.
func (e *Engine) CachedBlocks() []uint64 { return slices.Clone(e.lruCache) }

// TakeCacheEvents returns the cache events since the last call and clears them.
func (e *Engine) TakeCacheEvents() []CacheEvent {
	events := e.events
	e.events = nil
	return events
}

// IterationOverheadSeconds returns a call's share of the load-independent part of
// the iterations, in seconds, on an engine whose iterations all have a full chunk
// and a full batch. This time comes on top of what PrefillRate and DecodeRate imply.
func IterationOverheadSeconds(prompt, output, maxStreams int) float64 {
	iterations := max(float64(prompt)/mixedChunkTokens, float64(output)/float64(maxStreams))
	return iterations * iterationOverhead.Seconds()
}
