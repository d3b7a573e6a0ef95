package byplace

import (
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/bymember"
)

const (
	// peerLoadFor is how long a peer's figures count after they were heard. Live
	// peers repeat them several times within this time.
	peerLoadFor = 1500 * time.Millisecond
	// speedWeight is the weight of the newest observation of an engine's speed.
	speedWeight = 0.2
	// usualStream is how long a stream holds its place, before any has ended.
	usualStream = 300 * time.Millisecond
	// latencyRise is how far the fixed latency rises towards a larger observation.
	latencyRise = 0.01
	// judgedRead is how long a reading must be to tell the engine's speed.
	judgedRead = 25 * time.Millisecond
	// minSlowdown and maxSlowdown bound what one observation can say.
	minSlowdown = 0.7
	maxSlowdown = 5.0
)

// Work is what one attempt asks of an endpoint.
type Work struct {
	Read    time.Duration // of the prompt, at an engine of usual speed
	Streams int           // places that the answer takes in the batch
	Long    bool          // the prompt is a long one
}

// Flight is one attempt that is open at an endpoint.
type Flight struct {
	ledger *Ledger
	id     burdockyard.EndpointID
	work   Work
	began  time.Time
	alone  bool // nothing else was open there
	closed bool

	running time.Time // since when its answer is a stream, zero before
}

// book is what is known of the work at one endpoint.
type book struct {
	flights  map[*Flight]struct{}
	lastDone time.Time
	slowdown float64 // time that work takes over the usual
	load     burdockyard.LoadReport
	loadAt   time.Time
	cache    *cache
	changed  bool // since the last digest
	urgent   bool // changed in a way that peers must know soon
	untold   bool // changed since the last digest that went to everyone
}

// peerBook is one peer's figures for one endpoint.
type peerBook struct {
	load  bymember.Load
	heard time.Time
}

// Ledger holds the work that is open at each endpoint: this node's own, and
// what peers told of theirs. Its methods may be called from several goroutines;
// mu is a leaf lock.
type Ledger struct {
	clock burdockyard.Clock

	mu    sync.Mutex
	books map[burdockyard.EndpointID]*book
	peers map[burdockyard.EndpointID]map[burdockyard.NodeID]peerBook
	reads []bymember.Cached // read lately, for the next digest
	// latency is the part of the time to an answer that no work explains. It
	// follows the lower edge of what is seen: it falls at once and rises slowly.
	latency time.Duration
	// streamTime is how long a stream holds its place, on average of late ones.
	streamTime time.Duration
}

// NewLedger returns an empty Ledger.
func NewLedger(clock burdockyard.Clock) *Ledger {
	return &Ledger{
		clock: clock, streamTime: usualStream,
		books: map[burdockyard.EndpointID]*book{},
		peers: map[burdockyard.EndpointID]map[burdockyard.NodeID]peerBook{},
	}
}

func (l *Ledger) book(id burdockyard.EndpointID) *book {
	b := l.books[id]
	if b == nil {
		b = &book{flights: map[*Flight]struct{}{}, slowdown: 1, cache: newCache()}
		l.books[id] = b
	}
	return b
}

// Begin notes an attempt that is about to be sent.
func (l *Ledger) Begin(id burdockyard.EndpointID, w Work) *Flight {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.book(id)
	read, streams, _ := l.peerWork(id)
	f := &Flight{ledger: l, id: id, work: w, began: l.clock.Now(), alone: len(b.flights) == 0 && read == 0 && streams == 0}
	b.flights[f] = struct{}{}
	b.mark(w.Read)
	return f
}

// ReadDone notes that the prompt has been read: the attempt goes on as a stream
// only. took is the time that reading took, zero if that is not known.
func (f *Flight) ReadDone(took time.Duration) {
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	if f.closed || f.work.Read == 0 {
		return
	}
	b := f.ledger.book(f.id)
	if f.alone && took > 0 {
		f.ledger.learn(b, f.work.Read, took)
	}
	b.mark(f.work.Read)
	f.work.Read = 0
	f.running = f.ledger.clock.Now()
	b.lastDone = f.running
}

// learn takes in how long an engine took for a prompt that had it to itself.
//
// An answer is late by a part that is the same for every prompt, in which the
// engine already works on the next one. Only what comes on top of it tells how
// fast the engine is: taken as a whole, a short prompt would make every engine
// look many times too slow.
func (l *Ledger) learn(b *book, read, took time.Duration) {
	extra := max(took-read, 0)
	if l.latency == 0 || extra < l.latency {
		l.latency = extra
	} else {
		l.latency += time.Duration(latencyRise * float64(min(extra, 2*l.latency)-l.latency))
	}
	if read < judgedRead {
		return
	}
	seen := min(max(float64(took-l.latency)/float64(read), minSlowdown), maxSlowdown)
	b.slowdown += speedWeight * (seen - b.slowdown)
}

// Done notes that the attempt is over.
func (f *Flight) Done() {
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	l := f.ledger
	b := l.book(f.id)
	delete(b.flights, f)
	if !f.running.IsZero() && f.work.Streams > 0 {
		l.streamTime += time.Duration(speedWeight * float64(l.clock.Now().Sub(f.running)-l.streamTime))
	}
	if f.work.Read > 0 {
		b.lastDone = l.clock.Now()
	}
	b.mark(f.work.Read)
}

// mark notes that the figures have changed. Peers must hear at once of a reading
// that would hold up another prompt; the rest can wait for the next digest.
func (b *book) mark(read time.Duration) {
	b.changed = true
	b.urgent = b.urgent || read >= judgedRead
}

// Observe takes in what an endpoint said of its load beside an answer.
func (l *Ledger) Observe(id burdockyard.EndpointID, r burdockyard.LoadReport) {
	if !r.Known {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.book(id)
	b.load, b.loadAt = r, l.clock.Now()
}

// Hear takes in a peer's figures: those for endpoints that it names replace the
// earlier ones.
func (l *Ledger) Hear(node burdockyard.NodeID, loads []bymember.Load, reads []bymember.Cached) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, load := range loads {
		m := l.peers[load.Engine]
		if m == nil {
			m = map[burdockyard.NodeID]peerBook{}
			l.peers[load.Engine] = m
		}
		if load.PrefillTokens < m[node].load.PrefillTokens {
			l.book(load.Engine).lastDone = now // the engine has gone on to the next prompt
		}
		m[node] = peerBook{load, now}
	}
	for _, r := range reads {
		l.book(r.Engine).cache.touch(r.Part, r.Tokens)
	}
}

// Digest returns this node's figures for its peers: of the endpoints whose
// figures changed since the last digest, or of all that it uses. One that does
// not go to every peer leaves the changes to be told to the others later.
func (l *Ledger) Digest(all, everyone bool) ([]bymember.Load, []bymember.Cached) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var loads []bymember.Load
	for id, b := range l.books {
		if !b.changed && !(everyone && b.untold) && !(all && len(b.flights) > 0) {
			continue
		}
		b.untold = !everyone && (b.changed || b.untold)
		b.changed, b.urgent = false, false
		load := bymember.Load{Engine: id}
		for f := range b.flights {
			load.Streams += f.work.Streams
			if f.work.Long {
				load.LongStreams += f.work.Streams
			}
			load.PrefillTokens += int(f.work.Read.Seconds() * 1e3 * usualTokensPerMS)
		}
		loads = append(loads, load)
	}
	if !everyone {
		return loads, nil // what was read goes to all peers at once
	}
	reads := l.reads
	l.reads = nil
	return loads, reads
}

// Urgent reports whether peers should hear of a change at once.
func (l *Ledger) Urgent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.books {
		if b.urgent {
			return true
		}
	}
	return false
}

// NoteRead notes that an engine has read a prompt, and so keeps its parts.
func (l *Ledger) NoteRead(id burdockyard.EndpointID, p *burdockyard.Prompt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.book(id)
	for _, part := range p.Parts {
		if part.Tokens < minCachedPart {
			continue
		}
		b.cache.touch(part.ID, part.Tokens)
		l.reads = append(l.reads, bymember.Cached{Engine: id, Part: part.ID, Tokens: part.Tokens})
	}
}

// NoteKept notes what an engine says that it keeps, and returns how many of the
// parts are large enough to be followed.
func (l *Ledger) NoteKept(id burdockyard.EndpointID, parts []burdockyard.PromptPart) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, n := l.book(id), 0
	for _, part := range parts {
		if part.Tokens >= minCachedPart {
			b.cache.touch(part.ID, part.Tokens)
			n++
		}
	}
	return n
}

// Keep drops what is known of endpoints other than those given.
func (l *Ledger) Keep(known func(burdockyard.EndpointID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, b := range l.books {
		if !known(id) && len(b.flights) == 0 {
			delete(l.books, id)
			delete(l.peers, id)
		}
	}
}

// peerWork returns what peers have open at an endpoint.
func (l *Ledger) peerWork(id burdockyard.EndpointID) (read time.Duration, streams, long int) {
	now := l.clock.Now()
	for node, p := range l.peers[id] {
		if now.Sub(p.heard) > peerLoadFor {
			delete(l.peers[id], node)
			continue
		}
		read += time.Duration(float64(p.load.PrefillTokens) / usualTokensPerMS * float64(time.Millisecond))
		streams += p.load.Streams
		long += p.load.LongStreams
	}
	return read, streams, long
}

// Pressure returns the mean time that new work waits at the engines of a role: for
// a prompt to be read, or for a stream to get a place and the engine's attention.
func (l *Ledger) Pressure(engines []byfleet.Endpoint, role burdockyard.Role) (n int, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	need := Need{streamTime: l.streamTime}
	for _, e := range engines {
		if (e.Role == burdockyard.RolePrefill) != (role == burdockyard.RolePrefill) {
			continue
		}
		s := l.state(e)
		n++
		wait += s.wait
		if s.streams >= e.Slots {
			wait += need.startCost(s)
		}
	}
	return n, wait / time.Duration(max(n, 1))
}

// state is the work that is open at one endpoint, this node's and its peers'.
type state struct {
	endpoint byfleet.Endpoint
	wait     time.Duration // until a new prompt would be read, at the engine's speed
	streams  int
	long     int // streams that answer long prompts
	slowdown float64
	cache    *cache
	kept     int // leading tokens of the prompt in question that it keeps
}

func (l *Ledger) state(e byfleet.Endpoint) state {
	b := l.book(e.ID)
	read, streams, long := l.peerWork(e.ID)
	now := l.clock.Now()
	since := now
	for f := range b.flights {
		read += f.work.Read
		streams += f.work.Streams
		if f.work.Long {
			long += f.work.Streams
		}
		if f.work.Read > 0 && f.began.Before(since) {
			since = f.began
		}
	}
	// The engine works on the open prompts at least since the later of these.
	if b.lastDone.After(since) {
		since = b.lastDone
	}
	wait := time.Duration(float64(read)*b.slowdown) - now.Sub(since)
	if read > 0 {
		wait = max(wait, read/8)
	}
	return state{endpoint: e, wait: max(wait, 0), streams: streams, long: long, slowdown: b.slowdown, cache: b.cache}
}
