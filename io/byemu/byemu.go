// Package byemu emulates a model engine: continuous batching at stated rates, a
// prefix cache in pieces, and priorities. It has no clock. A caller that sleeps
// between iterations gets the engine stand-in, one that advances a virtual
// clock gets an experiment.
//
// # Usage
//
//	e := byemu.New(byemu.Config{PrefillRate: 20000, DecodeRate: 2000, MaxStreams: 32})
//	e.Add(&byemu.Stream{ID: "a", Prompt: 800, Output: 100})
//	d, produced := e.Iterate() // after d, each of produced has one more token
package byemu

import (
	"slices"
	"time"

	"burdockyard"
	"burdockyard/core/byroute"
)

const (
	// iterationFixed is the part of an iteration that no load changes.
	iterationFixed = 4 * time.Millisecond
	// chunk sizes are the prompt tokens that one iteration processes at most.
	chunkMixed   = 512
	chunkPrefill = 4096
	chunkDecode  = 128
	// defaultCachePieces is the size of the prefix cache.
	defaultCachePieces = 256
)

// Config states an engine's rates.
type Config struct {
	PrefillRate int // prompt tokens per second
	DecodeRate  int // output tokens per second, whole batch
	MaxStreams  int // streams in the batch
	CachePieces int // of prefix cache; 0 means the default
	Role        burdockyard.Role
}

// Stream is one answer in the making.
type Stream struct {
	ID       string
	Prompt   int      // tokens
	Prefix   []uint64 // hash of the prompt up to each whole piece
	Output   int      // tokens to make
	Priority int      // larger first

	left    int // prompt tokens still to process
	made    int
	running bool
	seq     int
}

// Made returns the number of tokens made.
func (s *Stream) Made() int { return s.made }

// Done reports whether the last token is made.
func (s *Stream) Done() bool { return s.made >= s.Output }

// Engine is one emulated engine. It is not safe for several goroutines.
type Engine struct {
	cfg     Config
	slow    float64
	streams []*Stream // by priority, then arrival
	cache   []uint64  // newest last
	cached  map[uint64]bool
	events  []CacheEvent
	seq     int
}

// CacheEvent tells that a piece entered or left the cache.
type CacheEvent struct {
	Hash    uint64 `json:"hash"`
	Evicted bool   `json:"evicted"`
}

// New returns an idle engine.
func New(cfg Config) *Engine {
	if cfg.CachePieces == 0 {
		cfg.CachePieces = defaultCachePieces
	}
	return &Engine{cfg: cfg, slow: 1, cached: map[uint64]bool{}}
}

// SetRole changes how an iteration is shared between prompts and output.
func (e *Engine) SetRole(r burdockyard.Role) { e.cfg.Role = r }

// Role returns the engine's role.
func (e *Engine) Role() burdockyard.Role { return e.cfg.Role }

// SetSlow makes everything take factor times as long.
func (e *Engine) SetSlow(factor float64) { e.slow = factor }

// Add puts a stream in line.
func (e *Engine) Add(s *Stream) {
	e.seq++
	s.seq = e.seq
	s.left = max(s.Prompt-e.cachedTokens(s.Prefix), 1)
	i, _ := slices.BinarySearchFunc(e.streams, s, func(a, b *Stream) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return a.seq - b.seq
	})
	e.streams = slices.Insert(e.streams, i, s)
}

// Remove takes a stream out; false if it is not there.
func (e *Engine) Remove(id string) bool {
	before := len(e.streams)
	e.streams = slices.DeleteFunc(e.streams, func(s *Stream) bool { return s.ID == id })
	return len(e.streams) < before
}

// Streams returns the number of streams in line or in the batch.
func (e *Engine) Streams() int { return len(e.streams) }

// PrefillTokens returns the prompt tokens still to process.
func (e *Engine) PrefillTokens() int {
	n := 0
	for _, s := range e.streams {
		n += s.left
	}
	return n
}

// Iterate runs one iteration and returns how long it takes and which streams
// have one more token after it. Zero means that the engine is idle.
func (e *Engine) Iterate() (time.Duration, []*Stream) {
	if len(e.streams) == 0 {
		return 0, nil
	}
	e.fillBatch()
	prompt, produced := e.prefill()
	for _, s := range e.streams {
		if s.running && s.left == 0 && !slices.Contains(produced, s) {
			produced = append(produced, s)
		}
	}
	for _, s := range produced {
		s.made++
	}
	e.streams = slices.DeleteFunc(e.streams, (*Stream).Done)
	d := iterationFixed
	d += time.Duration(float64(prompt) / float64(e.cfg.PrefillRate) * float64(time.Second))
	d += time.Duration(float64(len(produced)) / float64(e.cfg.DecodeRate) * float64(time.Second))
	return time.Duration(float64(d) * e.slow), produced
}

// fillBatch lets the first waiting streams in while there is room.
func (e *Engine) fillBatch() {
	room := e.cfg.MaxStreams
	for _, s := range e.streams {
		if s.running {
			room--
		}
	}
	for _, s := range e.streams {
		if room <= 0 {
			return
		}
		if !s.running {
			s.running = true
			room--
		}
	}
}

// prefill spends the iteration's chunk on prompts, the first in line first, and
// returns the tokens processed and the streams whose prompt is finished: those
// make their first token in the same iteration.
func (e *Engine) prefill() (int, []*Stream) {
	budget := e.chunk()
	var finished []*Stream
	for _, s := range e.streams {
		if !s.running || s.left == 0 || budget == 0 {
			continue
		}
		n := min(s.left, budget)
		s.left -= n
		budget -= n
		if s.left == 0 {
			e.remember(s.Prefix)
			finished = append(finished, s)
		}
	}
	return e.chunk() - budget, finished
}

func (e *Engine) chunk() int {
	switch e.cfg.Role {
	case burdockyard.RolePrefill:
		return chunkPrefill
	case burdockyard.RoleDecode:
		return chunkDecode
	default:
		return chunkMixed
	}
}

func (e *Engine) cachedTokens(prefix []uint64) int {
	n := 0
	for _, h := range prefix {
		if !e.cached[h] {
			break
		}
		n += byroute.PieceTokens
	}
	return n
}

// remember puts pieces into the cache and evicts the least recently used.
func (e *Engine) remember(prefix []uint64) {
	for _, h := range prefix {
		if e.cached[h] {
			e.cache = slices.DeleteFunc(e.cache, func(x uint64) bool { return x == h })
		} else {
			e.events = append(e.events, CacheEvent{Hash: h})
		}
		e.cached[h] = true
		e.cache = append(e.cache, h)
	}
	for len(e.cache) > e.cfg.CachePieces {
		e.events = append(e.events, CacheEvent{Hash: e.cache[0], Evicted: true})
		delete(e.cached, e.cache[0])
		e.cache = e.cache[1:]
	}
}

// Import puts pieces from another engine into the cache.
func (e *Engine) Import(prefix []uint64) { e.remember(prefix) }

// Cached returns the pieces in the cache, oldest first.
func (e *Engine) Cached() []uint64 { return slices.Clone(e.cache) }

// TakeEvents returns the cache events since the last call.
func (e *Engine) TakeEvents() []CacheEvent {
	events := e.events
	e.events = nil
	return events
}

// FixedSeconds returns the part of an engine's time that a call takes besides
// its rates, when every iteration has a whole chunk and a whole batch.
func FixedSeconds(prompt, output, maxStreams int) float64 {
	iterations := max(float64(prompt)/chunkMixed, float64(output)/float64(maxStreams))
	return iterations * iterationFixed.Seconds()
}
