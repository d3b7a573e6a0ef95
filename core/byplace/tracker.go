package byplace

import (
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/bymember"
)

const (
	// peerLoadTTL is how long the load that a peer reported is used. Live peers repeat
	// their reports several times within this time.
	peerLoadTTL = 1500 * time.Millisecond
	// fleetLoadTTL is how long after its last sums a relay counts as the source of what
	// peers do. Live relays send sums several times within this time.
	fleetLoadTTL = time.Second
	// averageWeight is the weight of the newest observation in the moving averages of an
	// engine's slowdown and of the stream time.
	averageWeight = 0.2
	// initialStreamTime is the assumed mean stream time until a stream has ended.
	initialStreamTime = 300 * time.Millisecond
	// latencyRiseWeight is the weight of a larger observation in the estimate of the fixed
	// latency.
	latencyRiseWeight = 0.01
	// minMeasuredPrefill is the minimum predicted time of a prefill from which the speed
	// of an engine is measured, and of which peers are notified at once.
	minMeasuredPrefill = 25 * time.Millisecond
	// minSlowdown and maxSlowdown bound a single observation of an engine's slowdown.
	minSlowdown = 0.7
	maxSlowdown = 5.0
)

// Work is the load that one attempt puts on an endpoint.
type Work struct {
	PrefillTime   time.Duration // prefill time at the rates of the engine's kind, zero if the attempt has no prefill
	Streams       int           // slots that the answer occupies in the batch
	HasLongPrompt bool          // whether the prompt is long
	// Tokens and CachedTokens are the size of the prefill, from which the rates are
	// learned, and Wait is the predicted time until it begins. Tokens is zero if the size
	// is not known.
	Tokens, CachedTokens int
	Wait                 time.Duration
}

// InFlightAttempt is one open attempt at an endpoint. Its methods may be called from
// several goroutines.
type InFlightAttempt struct {
	tracker   *LoadTracker
	id        burdockyard.EndpointID
	work      Work
	startedAt time.Time
	exclusive bool // whether no other work was open at the endpoint when the attempt began
	closed    bool

	streamingSince time.Time // when the prefill ended and the stream began, zero before
}

// endpointRecord holds the open work and the observed state of one endpoint.
type endpointRecord struct {
	openAttempts          map[*InFlightAttempt]struct{}
	lastPrefillEnd        time.Time // when the endpoint last ended a prefill
	slowdown              float64   // moving average of the measured prefill time relative to the one at the rates of its kind
	loadReport            burdockyard.LoadReport
	loadReportedAt        time.Time // when loadReport was received
	cache                 *cacheEstimate
	prefilledAt           time.Time     // when this node last learned that the endpoint has ended a prefill
	kind                  *kindRecord   // nil until the endpoint was a candidate in a plan
	changedSinceReport    bool          // whether the open work changed since it was last reported to any peer
	urgentChange          bool          // whether the open work changed in a way that peers must learn at once
	changedSinceBroadcast bool          // whether the open work changed since it was last reported to all peers
	reported              bymember.Load // open work as last reported to all peers
}

// peerLoad is the open work that one peer reported for one endpoint.
type peerLoad struct {
	load       bymember.Load
	receivedAt time.Time // when the report was received
}

// LoadTracker tracks the open work at each endpoint, both this node's own and the work
// that peers report. Its methods may be called from several goroutines; mu is a leaf
// lock.
type LoadTracker struct {
	clock burdockyard.Clock

	mu          sync.Mutex
	records     map[burdockyard.EndpointID]*endpointRecord
	kinds       map[engineKind]*kindRecord
	peerLoads   map[burdockyard.EndpointID]map[burdockyard.NodeID]peerLoad
	newlyCached []bymember.CachedPart // parts prefilled since the last report to all peers
	// fleetLoadAt is when a relay last sent the sums over all nodes. They are kept in
	// peerLoads under the key fleetSum.
	fleetLoadAt time.Time
	urgent      chan struct{} // has an element once there is a change that peers must learn at once
	// fixedLatency is the part of the time to first event that is independent of the work.
	// It tracks the minimum of the observations: it falls at once and rises slowly.
	fixedLatency time.Duration
	// meanStreamTime is the moving average of the time for which a stream occupies its
	// slot.
	meanStreamTime time.Duration
}

// NewLoadTracker returns a LoadTracker without any open work.
func NewLoadTracker(clock burdockyard.Clock) *LoadTracker {
	return &LoadTracker{
		clock: clock, meanStreamTime: initialStreamTime, urgent: make(chan struct{}, 1),
		records:   map[burdockyard.EndpointID]*endpointRecord{},
		kinds:     map[engineKind]*kindRecord{},
		peerLoads: map[burdockyard.EndpointID]map[burdockyard.NodeID]peerLoad{},
	}
}

// record returns the record of an endpoint and creates it if needed. The caller must
// hold mu.
func (t *LoadTracker) record(id burdockyard.EndpointID) *endpointRecord {
	rec := t.records[id]
	if rec == nil {
		rec = &endpointRecord{openAttempts: map[*InFlightAttempt]struct{}{}, slowdown: 1, cache: newCacheEstimate()}
		t.records[id] = rec
	}
	return rec
}

// typicalTime returns how long an engine of typical performance takes for a prefill that
// takes time d at the rates of the endpoint's kind.
func (r *endpointRecord) typicalTime(d time.Duration) time.Duration {
	if r.kind == nil {
		return d
	}
	return time.Duration(float64(d) / r.kind.typicalTimeFactor)
}

// timeAtRates returns the prefill time at the rates of the endpoint's kind for a prefill that
// takes time d at an engine of typical performance.
func (r *endpointRecord) timeAtRates(d time.Duration) time.Duration {
	if r.kind == nil {
		return d
	}
	return time.Duration(float64(d) * r.kind.typicalTimeFactor)
}

// Begin records an attempt that is about to be sent. The caller must call Done on the
// result when the attempt is over.
func (t *LoadTracker) Begin(id burdockyard.EndpointID, w Work) *InFlightAttempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.record(id)
	prefillTime, streams, _ := t.peerWork(id)
	attempt := &InFlightAttempt{tracker: t, id: id, work: w, startedAt: t.clock.Now(), exclusive: len(rec.openAttempts) == 0 && prefillTime == 0 && streams == 0}
	rec.openAttempts[attempt] = struct{}{}
	t.markChanged(rec, w.PrefillTime)
	return attempt
}

// PrefillDone records that the prefill has ended, so that only the stream remains open.
// measured is the measured prefill time, or zero if it is not known.
func (a *InFlightAttempt) PrefillDone(measured time.Duration) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.closed || a.work.PrefillTime == 0 {
		return
	}
	rec := a.tracker.record(a.id)
	if measured > 0 {
		rec.prefilledAt = a.tracker.clock.Now()
		if a.exclusive || a.work.Streams == 0 { // the prefill of a stream runs between the tokens of the others
			a.tracker.learnRates(rec.kind, a.work, measured)
		}
	}
	if a.exclusive && measured > 0 {
		a.tracker.recordPrefillTime(rec, a.work, measured)
	}
	a.tracker.markChanged(rec, a.work.PrefillTime)
	a.work.PrefillTime = 0
	a.streamingSince = a.tracker.clock.Now()
	rec.lastPrefillEnd = a.streamingSince
}

// recordPrefillTime updates the fixed latency and the slowdown of an engine from the
// predicted and the measured time of a prefill that had the engine to itself. The
// caller must hold mu.
//
// Every answer is delayed by a fixed latency during which the engine already works
// on the next prompt. Only the time beyond it measures the speed of the engine. With
// the latency included, short prompts would make every engine look many times too
// slow.
func (t *LoadTracker) recordPrefillTime(rec *endpointRecord, w Work, measured time.Duration) {
	predicted := w.PrefillTime
	isMeasurable := rec.typicalTime(predicted) >= minMeasuredPrefill
	if !isMeasurable || rec.kind == nil || rec.kind.isTypical() {
		// At learned rates the difference of a long prefill is as often below the latency
		// as above it.
		t.recordLatency(max(measured-predicted, 0))
	}
	if !isMeasurable {
		return
	}
	if rec.kind != nil && w.Tokens > 0 {
		predicted = rec.kind.rates.prefillTime(w.Tokens, w.CachedTokens) // the rates may be newer than the plan
	}
	slowdown := min(max(float64(measured-t.fixedLatency)/float64(predicted), minSlowdown), maxSlowdown)
	rec.slowdown += averageWeight * (slowdown - rec.slowdown)
}

// recordLatency updates the fixed latency. The caller must hold mu.
func (t *LoadTracker) recordLatency(latency time.Duration) {
	if t.fixedLatency == 0 || latency < t.fixedLatency {
		t.fixedLatency = latency
		return
	}
	t.fixedLatency += time.Duration(latencyRiseWeight * float64(min(latency, 2*t.fixedLatency)-t.fixedLatency))
}

// HasPrefilledSince reports whether an endpoint has ended a prefill of any node since the
// given time. If so it responds, and a prompt that is late there waits for its turn.
func (t *LoadTracker) HasPrefilledSince(id burdockyard.EndpointID, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.records[id]
	return rec != nil && rec.prefilledAt.After(since)
}

// Done records that the attempt is over. Further calls have no effect.
func (a *InFlightAttempt) Done() {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	t := a.tracker
	rec := t.record(a.id)
	delete(rec.openAttempts, a)
	if !a.streamingSince.IsZero() && a.work.Streams > 0 {
		t.meanStreamTime += time.Duration(averageWeight * float64(t.clock.Now().Sub(a.streamingSince)-t.meanStreamTime))
	}
	if a.work.PrefillTime > 0 {
		rec.lastPrefillEnd = t.clock.Now()
	}
	t.markChanged(rec, a.work.PrefillTime)
}

// markChanged records that the open work has changed by a prefill of the given time.
// Peers must learn at once of a prefill that would delay another prompt; other changes
// can wait for the next report. The caller must hold mu.
func (t *LoadTracker) markChanged(rec *endpointRecord, prefillTime time.Duration) {
	rec.changedSinceReport = true
	if rec.typicalTime(prefillTime) < minMeasuredPrefill {
		return
	}
	rec.urgentChange = true
	select {
	case t.urgent <- struct{}{}:
	default: // one is there already
	}
}

// Urgent returns a channel that has an element once the open work has changed in a way
// that peers must learn at once.
func (t *LoadTracker) Urgent() <-chan struct{} { return t.urgent }

// RecordLoadReport records the load report that an endpoint sent with an answer.
func (t *LoadTracker) RecordLoadReport(id burdockyard.EndpointID, r burdockyard.LoadReport) {
	if !r.Reported {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.record(id)
	rec.loadReport, rec.loadReportedAt = r, t.clock.Now()
}

// RecordPeerLoad records the open work and the prefilled parts that a peer reported. Its
// loads replace the earlier ones of the same peer and endpoint.
func (t *LoadTracker) RecordPeerLoad(node burdockyard.NodeID, loads []bymember.Load, prefilled []bymember.CachedPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordPeerLoad(node, loads, prefilled)
}

// RecordFleetLoad records a relay's sums of the open work of all nodes, and the parts
// that they prefilled. While such sums arrive, reports of single peers are not used.
func (t *LoadTracker) RecordFleetLoad(loads []bymember.Load, prefilled []bymember.CachedPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleetLoadAt = t.clock.Now()
	others := make([]bymember.Load, 0, len(loads))
	for _, load := range loads {
		// The sums include this node's own work as it was last reported.
		if rec := t.records[load.Engine]; rec != nil {
			load.PrefillTokens = max(load.PrefillTokens-rec.reported.PrefillTokens, 0)
			load.Streams = max(load.Streams-rec.reported.Streams, 0)
			load.LongPromptStreams = max(load.LongPromptStreams-rec.reported.LongPromptStreams, 0)
		}
		others = append(others, load)
	}
	t.recordPeerLoad(fleetSum, others, prefilled)
}

// fleetSum is the key in peerLoads of the sums over all nodes.
const fleetSum burdockyard.NodeID = ""

// recordPeerLoad implements RecordPeerLoad. The caller must hold mu.
func (t *LoadTracker) recordPeerLoad(node burdockyard.NodeID, loads []bymember.Load, prefilled []bymember.CachedPart) {
	now := t.clock.Now()
	for _, load := range loads {
		m := t.peerLoads[load.Engine]
		if m == nil {
			m = map[burdockyard.NodeID]peerLoad{}
			t.peerLoads[load.Engine] = m
		}
		if load.PrefillTokens < m[node].load.PrefillTokens {
			t.record(load.Engine).lastPrefillEnd = now // the engine has started on the next prompt
		}
		m[node] = peerLoad{load, now}
	}
	for _, part := range prefilled {
		rec := t.record(part.Engine)
		rec.cache.touch(part.PartID, part.Tokens)
		rec.prefilledAt = now
	}
}

// LocalLoads returns the report of this node's open work for its peers: at the endpoints
// where it changed since the last report or, with all, at every endpoint that the node
// uses. It also returns the parts prefilled since the last report to all peers.
// toAllPeers states that the report goes to all peers; otherwise its loads are also
// included in the next report that does, and no parts are returned.
func (t *LoadTracker) LocalLoads(all, toAllPeers bool) ([]bymember.Load, []bymember.CachedPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var loads []bymember.Load
	for id, rec := range t.records {
		if !rec.changedSinceReport && !(toAllPeers && rec.changedSinceBroadcast) && !(all && len(rec.openAttempts) > 0) {
			continue
		}
		rec.changedSinceBroadcast = !toAllPeers && (rec.changedSinceReport || rec.changedSinceBroadcast)
		rec.changedSinceReport, rec.urgentChange = false, false
		load := bymember.Load{Engine: id}
		for attempt := range rec.openAttempts {
			load.Streams += attempt.work.Streams
			if attempt.work.HasLongPrompt {
				load.LongPromptStreams += attempt.work.Streams
			}
			load.PrefillTokens += int(rec.typicalTime(attempt.work.PrefillTime).Seconds() * 1e3 * typicalTokensPerMS)
		}
		if toAllPeers {
			rec.reported = load
		}
		loads = append(loads, load)
	}
	if !toAllPeers {
		return loads, nil // prefilled parts are sent to all peers in one report
	}
	prefilled := t.newlyCached
	t.newlyCached = nil
	return loads, prefilled
}

// HasChange reports whether the open work or the prefilled parts have changed since the
// last report to all peers.
func (t *LoadTracker) HasChange() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, rec := range t.records {
		if rec.changedSinceReport || rec.changedSinceBroadcast {
			return true
		}
	}
	return len(t.newlyCached) > 0
}

// HasUrgentChange reports whether the open work has changed in a way that peers must
// learn at once.
func (t *LoadTracker) HasUrgentChange() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, rec := range t.records {
		if rec.urgentChange {
			return true
		}
	}
	return false
}

// RecordPrefill records that an engine has prefilled a prompt and has its parts cached.
func (t *LoadTracker) RecordPrefill(id burdockyard.EndpointID, p *burdockyard.Prompt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.record(id)
	for _, part := range p.Parts {
		if part.Tokens < minCachedPartTokens {
			continue
		}
		rec.cache.touch(part.ID, part.Tokens)
		t.newlyCached = append(t.newlyCached, bymember.CachedPart{Engine: id, PartID: part.ID, Tokens: part.Tokens})
	}
}

// RecordCachedParts records the parts that an engine reports as cached. It returns how
// many of them are large enough to be tracked.
func (t *LoadTracker) RecordCachedParts(id burdockyard.EndpointID, parts []burdockyard.PromptPart) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec, n := t.record(id), 0
	for _, part := range parts {
		if part.Tokens >= minCachedPartTokens {
			rec.cache.touch(part.ID, part.Tokens)
			n++
		}
	}
	return n
}

// RemoveUnknown removes the records of endpoints for which known returns false and where
// this node has no open work.
func (t *LoadTracker) RemoveUnknown(known func(burdockyard.EndpointID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, rec := range t.records {
		if !known(id) && len(rec.openAttempts) == 0 {
			delete(t.records, id)
			delete(t.peerLoads, id)
		}
	}
	t.removeUnusedKinds()
}

// peerWork returns the open work of peers at an endpoint: prefill time, streams, and
// how many of the streams answer long prompts. It removes expired reports. The caller
// must hold mu.
func (t *LoadTracker) peerWork(id burdockyard.EndpointID) (prefillTime time.Duration, streams, longStreams int) {
	now := t.clock.Now()
	fromRelay := !t.fleetLoadAt.IsZero() && now.Sub(t.fleetLoadAt) <= fleetLoadTTL
	for node, p := range t.peerLoads[id] {
		if now.Sub(p.receivedAt) > peerLoadTTL {
			delete(t.peerLoads[id], node)
			continue
		}
		if fromRelay != (node == fleetSum) {
			continue
		}
		prefillTime += time.Duration(float64(p.load.PrefillTokens) / typicalTokensPerMS * float64(time.Millisecond))
		streams += p.load.Streams
		longStreams += p.load.LongPromptStreams
	}
	return prefillTime, streams, longStreams
}

// OpenStreams returns the number of streams that are open at an endpoint, and how many
// of them answer long prompts, as far as this node knows.
func (t *LoadTracker) OpenStreams(id burdockyard.EndpointID) (streams, longStreams int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.endpointLoad(byfleet.Endpoint{Instance: burdockyard.Instance{ID: id}})
	return load.streams, load.longStreams
}

// MeanWait returns the number of engines of a role and the mean time that new work
// waits there, for the prefill queue and for a free slot. Every role other than
// RolePrefill counts as decoding.
func (t *LoadTracker) MeanWait(engines []byfleet.Endpoint, role burdockyard.Role) (n int, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	req := PlacementRequest{meanStreamTime: t.meanStreamTime}
	for _, e := range engines {
		if (e.Role == burdockyard.RolePrefill) != (role == burdockyard.RolePrefill) {
			continue
		}
		load := t.endpointLoad(e)
		n++
		wait += load.queueTime
		if load.streams >= e.Slots {
			wait += req.streamStartDelay(load)
		}
	}
	return n, wait / time.Duration(max(n, 1))
}

// endpointLoad is the open work of this node and its peers at one endpoint.
type endpointLoad struct {
	endpoint     byfleet.Endpoint
	queueTime    time.Duration // time until the prefill of a new prompt would start, at the speed of the engine
	streams      int
	longStreams  int // streams that answer long prompts
	slowdown     float64
	rates        prefillRates
	cache        *cacheEstimate
	cachedTokens int // leading tokens of the prompt to place that are cached at the endpoint
}

// endpointLoad returns the current open work at an endpoint. The caller must hold mu.
func (t *LoadTracker) endpointLoad(e byfleet.Endpoint) endpointLoad {
	rec := t.record(e.ID)
	if kind := kindOf(e); rec.kind == nil || rec.kind.kind != kind {
		if e.Service != "" || rec.kind == nil {
			rec.kind = t.kindRecordOf(kind)
		}
	}
	prefillTime, streams, longStreams := t.peerWork(e.ID)
	prefillTime = rec.timeAtRates(prefillTime)
	now := t.clock.Now()
	busySince := now
	for attempt := range rec.openAttempts {
		prefillTime += attempt.work.PrefillTime
		streams += attempt.work.Streams
		if attempt.work.HasLongPrompt {
			longStreams += attempt.work.Streams
		}
		if attempt.work.PrefillTime > 0 && attempt.startedAt.Before(busySince) {
			busySince = attempt.startedAt
		}
	}
	// The engine has been prefilling the open prompts at least since the oldest of them
	// began or the last prefill ended, whichever is later.
	if rec.lastPrefillEnd.After(busySince) {
		busySince = rec.lastPrefillEnd
	}
	queueTime := time.Duration(float64(prefillTime)*rec.slowdown) - now.Sub(busySince)
	if prefillTime > 0 {
		queueTime = max(queueTime, prefillTime/8)
	}
	return endpointLoad{endpoint: e, queueTime: max(queueTime, 0), streams: streams, longStreams: longStreams, slowdown: rec.slowdown, rates: rec.kind.rates, cache: rec.cache}
}
