package byplace

import (
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/bymember"
)

const (
	// peerLoadFor is how long the load that a peer reported is used. Live peers repeat
	// their reports several times within this time.
	peerLoadFor = 1500 * time.Millisecond
	// speedWeight is the weight of the newest observation in the moving averages of an
	// engine's slowdown and of the stream time.
	speedWeight = 0.2
	// usualStream is the assumed mean stream time until a stream has ended.
	usualStream = 300 * time.Millisecond
	// latencyRise is the weight of a larger observation in the estimate of the fixed latency.
	latencyRise = 0.01
	// judgedRead is the minimum predicted time of a prefill from which the speed of an
	// engine is measured, and of which peers are told at once.
	judgedRead = 25 * time.Millisecond
	// minSlowdown and maxSlowdown bound a single observation of an engine's slowdown.
	minSlowdown = 0.7
	maxSlowdown = 5.0
)

// Work is the load that one attempt puts on an endpoint.
type Work struct {
	Read    time.Duration // prefill time at an engine of typical speed, zero if the attempt has no prefill
	Streams int           // slots that the answer occupies in the batch
	Long    bool          // whether the prompt is long
}

// Flight is one open attempt at an endpoint. Its methods may be called from several
// goroutines.
type Flight struct {
	ledger *Ledger
	id     burdockyard.EndpointID
	work   Work
	began  time.Time
	alone  bool // whether no other work was open at the endpoint when the attempt began
	closed bool

	running time.Time // when the prefill ended and the stream began, zero before
}

// book holds the open work and the observed state of one endpoint.
type book struct {
	flights  map[*Flight]struct{}
	lastDone time.Time // when the endpoint last ended a prefill
	slowdown float64   // moving average of the measured prefill time relative to the typical one
	load     burdockyard.LoadReport
	loadAt   time.Time // when load was received
	cache    *cache
	changed  bool // whether the open work changed since the last digest
	urgent   bool // whether it changed in a way that peers must learn at once
	untold   bool // whether it changed since the last digest that went to all peers
}

// peerBook is the open work that one peer reported for one endpoint.
type peerBook struct {
	load  bymember.Load
	heard time.Time // when the report was received
}

// Ledger tracks the open work at each endpoint, both this node's own and the work
// that peers report. Its methods may be called from several goroutines; mu is a leaf
// lock.
type Ledger struct {
	clock burdockyard.Clock

	mu    sync.Mutex
	books map[burdockyard.EndpointID]*book
	peers map[burdockyard.EndpointID]map[burdockyard.NodeID]peerBook
	reads []bymember.Cached // parts prefilled since the last digest to all peers
	// latency is the part of the time to first event that is independent of the work.
	// It tracks the minimum of the observations: it falls at once and rises slowly.
	latency time.Duration
	// streamTime is the moving average of the time for which a stream occupies its slot.
	streamTime time.Duration
}

// NewLedger returns a Ledger without any open work.
func NewLedger(clock burdockyard.Clock) *Ledger {
	return &Ledger{
		clock: clock, streamTime: usualStream,
		books: map[burdockyard.EndpointID]*book{},
		peers: map[burdockyard.EndpointID]map[burdockyard.NodeID]peerBook{},
	}
}

// book returns the record of an endpoint and creates it if needed. The caller must
// hold mu.
func (l *Ledger) book(id burdockyard.EndpointID) *book {
	b := l.books[id]
	if b == nil {
		b = &book{flights: map[*Flight]struct{}{}, slowdown: 1, cache: newCache()}
		l.books[id] = b
	}
	return b
}

// Begin records an attempt that is about to be sent. The caller must call Done on the
// result when the attempt is over.
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

// ReadDone records that the prefill has ended, so that only the stream remains open.
// took is the measured prefill time, or zero if it is not known.
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

// learn updates the fixed latency and the slowdown of an engine from a prefill that
// had the engine to itself: its predicted time and its measured time. The caller must
// hold mu.
//
// Every answer is delayed by a fixed latency during which the engine already works
// on the next prompt. Only the time beyond it measures the speed of the engine. With
// the latency included, short prompts would make every engine look many times too
// slow.
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

// Done records that the attempt is over. Further calls have no effect.
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

// mark records that the open work has changed by a prefill of the given time. Peers
// must learn at once of a prefill that would delay another prompt; other changes can
// wait for the next digest.
func (b *book) mark(read time.Duration) {
	b.changed = true
	b.urgent = b.urgent || read >= judgedRead
}

// Observe records the load report that an endpoint sent with an answer.
func (l *Ledger) Observe(id burdockyard.EndpointID, r burdockyard.LoadReport) {
	if !r.Known {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.book(id)
	b.load, b.loadAt = r, l.clock.Now()
}

// Hear records the open work and the prefilled parts that a peer reported. Its loads
// replace the earlier ones of the same peer and endpoint.
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
			l.book(load.Engine).lastDone = now // the engine has started on the next prompt
		}
		m[node] = peerBook{load, now}
	}
	for _, r := range reads {
		l.book(r.Engine).cache.touch(r.Part, r.Tokens)
	}
}

// Digest returns the open work of this node for its peers: at the endpoints where it
// changed since the last digest or, with all, at every endpoint that the node uses.
// everyone states that the digest goes to all peers; otherwise its changes are also
// included in the next digest that does.
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
		return loads, nil // prefilled parts are sent to all peers in one digest
	}
	reads := l.reads
	l.reads = nil
	return loads, reads
}

// Urgent reports whether the open work has changed in a way that peers must learn at
// once.
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

// NoteRead records that an engine has prefilled a prompt and has its parts cached.
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

// NoteKept records the parts that an engine reports as cached. It returns how many of
// them are large enough to be tracked.
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

// Keep removes the records of endpoints that are not known and have no open work of
// this node.
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

// peerWork returns the open work of peers at an endpoint: prefill time, streams, and
// how many of the streams answer long prompts. It removes expired reports. The caller
// must hold mu.
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

// Pressure returns the number of engines of a role and the mean time that new work
// waits there, for the prefill queue and for a free slot. Every role other than
// RolePrefill counts as decoding.
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

// state is the open work of this node and its peers at one endpoint.
type state struct {
	endpoint byfleet.Endpoint
	wait     time.Duration // until the prefill of a new prompt would start, at the engine's speed
	streams  int
	long     int // streams that answer long prompts
	slowdown float64
	cache    *cache
	kept     int // leading tokens of the prompt to place that are cached at the endpoint
}

// state returns the current open work at an endpoint. The caller must hold mu.

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
	// The engine has been prefilling the open prompts at least since the oldest of them
	// began or the last prefill ended, whichever is later.
	if b.lastDone.After(since) {
		since = b.lastDone
	}
	wait := time.Duration(float64(read)*b.slowdown) - now.Sub(since)
	if read > 0 {
		wait = max(wait, read/8)
	}
	return state{endpoint: e, wait: max(wait, 0), streams: streams, long: long, slowdown: b.slowdown, cache: b.cache}
}
