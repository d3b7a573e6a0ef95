// Package byquarantine keeps inputs that end endpoints away from them.
//
// A request may carry an input on which every endpoint crashes, for example a part of its
// prompt. If the system took each crash for a fault of the endpoint, it would send the
// next such request to the next endpoint, until none is left.
//
// # Usage
//
//	q := byquarantine.New(clock, node)
//	d := q.Admit(keys)              // before a request is sent
//	q.RecordEnd(end)                // its endpoint has ended before the answer began
//	q.RecordAnswer(keys)            // its answer has begun and goes on
//	heartbeat.Quarantine = q.News() // tells the peers
//	q.Merge(news)                   // what a peer tells
//
// # Evidence
//
// A request is described by its keys: the inputs that it may share with other requests.
// When an endpoint ends, each request in progress there whose answer had not begun is a
// suspect, and so are all its keys. Which of them is to blame is not known, so a key is
// quarantined only after several ends: at different times, of different processes, under
// different requests, and without any answer to a request with that key. Ends within a
// moment count once, since endpoints that are lost together have another cause. Once a
// key is quarantined, the ends of endpoints with such a request in progress no longer
// speak against other keys.
//
// # The way out
//
// From time to time one request with a quarantined key is admitted as a trial. If its
// answer begins, the key is free again on all nodes. Each end that the key is blamed for
// makes the next trial later.
package byquarantine

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockyard"
)

const (
	// minEnds is the number of ends after which a key is quarantined if no answer to a
	// request with it is known.
	minEnds = 3
	// minEndsAfterAnswer is the same number for a key whose last answer is older than
	// the ends. Such a key may be that of an innocent request beside the one to blame.
	minEndsAfterAnswer = 8
	// sameMoment is the time within which several ends count as one.
	sameMoment = 100 * time.Millisecond
	// sameProcess is the time within which two ends of one endpoint that look alike are
	// the same one. Later, the endpoint has been restarted without telling.
	sameProcess = time.Second
	// endMemory and maxEnds bound the ends that are remembered.
	endMemory = time.Minute
	maxEnds   = 512
	// answerMemory and maxAnswers bound the keys whose answers are remembered.
	answerMemory = 10 * time.Minute
	maxAnswers   = 8192
	// maxQuarantined is the largest number of quarantined keys. Beyond it, the one that
	// was blamed the longest ago is free again.
	maxQuarantined = 256
	// newsTime is how long a node repeats what it has found out, so that a lost datagram
	// does no harm.
	newsTime = 3 * time.Second
	// announcementSpread is the time per node over which nodes spread the news of an
	// answer. Once one of them has told it, the others need not.
	announcementSpread    = 2 * time.Millisecond
	maxAnnouncementSpread = 500 * time.Millisecond
)

// The time from the last end that a key is blamed for, or from its last trial, to the
// next trial. Nodes wait for longer by a share of it that differs between them, so that
// hardly ever two of them try before one has heard of the other.
const (
	// earlyTrialDelay applies below provenEnds. The few ends may have another cause.
	earlyTrialDelay = 5 * time.Second
	provenEnds      = 4
	// nodesPerTrialDelay is the number of nodes for which the spread of the trials grows by
	// one delay.
	nodesPerTrialDelay = 64
	// minTrialDelay applies from provenEnds on and doubles with each further end.
	minTrialDelay = 2 * time.Minute
	maxTrialDelay = time.Hour
	// separateTrialDelay applies to a request without one of the other keys that were
	// part of every request under which an endpoint has ended. It tells which one of them
	// is to blame.
	separateTrialDelay = time.Second
	// maxQuarantine is the time without an end or a trial after which a key is free again.
	maxQuarantine = 2 * maxTrialDelay
)

// Key identifies an input that several requests may share.
type Key uint64

// Quarantine is one node's view of the keys that end endpoints. It is safe for concurrent
// use; no other lock is taken while mu is held.
type Quarantine struct {
	clock burdockyard.Clock
	node  burdockyard.NodeID

	mu          sync.Mutex
	nodes       int   // number of nodes of the fleet
	ends        []end // sorted by time
	answers     map[Key]*list.Element
	answerOrder *list.List // values are of type *answer, the latest first
	quarantined map[Key]*verdict
	own         struct { // what this node has found out itself
		answers map[Key]time.Time // when the announcement of an answer begins or has begun, by this node or by a faster one
		trials  map[Key]time.Time
	}
}

// end is an End at a time of this node's clock.
type end struct {
	End
	at  time.Time
	own bool // whether this node has seen it
}

// answer is the last known answer to a request with a key.
type answer struct {
	key Key
	at  time.Time
}

// verdict is why a key is quarantined.
type verdict struct {
	ends       int
	lastEnd    time.Time
	lastTrial  time.Time // zero if there was none
	companions []Key     // keys that were in progress too at each endpoint that has ended
}

// New returns a Quarantine without keys for the given node.
func New(clock burdockyard.Clock, node burdockyard.NodeID) *Quarantine {
	q := &Quarantine{
		clock: clock, node: node, nodes: 1, answers: map[Key]*list.Element{}, answerOrder: list.New(), quarantined: map[Key]*verdict{},
	}
	q.own.answers, q.own.trials = map[Key]time.Time{}, map[Key]time.Time{}
	return q
}

// SetNodes sets the number of nodes of the fleet.
func (q *Quarantine) SetNodes(nodes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nodes = nodes
}

// Decision is whether a request may be sent to an endpoint.
type Decision struct {
	Admitted bool
	Trial    bool          // whether the request is a trial of a quarantined key
	Wait     time.Duration // time until the next trial if the request is not admitted
}

// Admit decides on a new request with the given keys. A trial is news for the peers.
func (q *Quarantine) Admit(keys []Key) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.quarantined) == 0 {
		return Decision{Admitted: true}
	}
	blamed, wait := q.blame(keys)
	if wait > 0 {
		return Decision{Wait: wait}
	}
	now := q.clock.Now()
	for _, key := range blamed {
		q.quarantined[key].lastTrial, q.own.trials[key] = now, now
	}
	return Decision{Admitted: true, Trial: len(blamed) > 0}
}

// blame returns the quarantined ones of the keys, and the time until this node may try
// all of them. The caller must hold mu.
func (q *Quarantine) blame(keys []Key) (blamed []Key, wait time.Duration) {
	now := q.clock.Now()
	for _, key := range keys {
		if v := q.quarantined[key]; v != nil {
			blamed = append(blamed, key)
			wait = max(wait, q.trialTime(key, v, keys).Sub(now))
		}
	}
	return blamed, wait
}

// TimeToTrial returns the time until this node may try a request with the given keys.
func (q *Quarantine) TimeToTrial(keys []Key) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, wait := q.blame(keys)
	return wait
}

// IsQuarantined reports whether one of the keys is quarantined.
func (q *Quarantine) IsQuarantined(keys []Key) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.quarantined) > 0 && slices.ContainsFunc(keys, func(key Key) bool { return q.quarantined[key] != nil })
}

// Len returns the number of quarantined keys.
func (q *Quarantine) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.quarantined)
}

// trialTime returns when this node may next try a quarantined key with a request that
// has the given keys. The caller must hold mu.
func (q *Quarantine) trialTime(key Key, v *verdict, keys []Key) time.Time {
	delay := earlyTrialDelay
	if v.ends >= provenEnds {
		delay = min(minTrialDelay<<min(v.ends-provenEnds, 10), maxTrialDelay)
	}
	q.updateCompanions(key, v)
	for _, companion := range v.companions {
		if q.quarantined[companion] != nil && !slices.Contains(keys, companion) {
			delay = separateTrialDelay
		}
	}
	since := v.lastEnd
	if v.lastTrial.After(since) {
		since = v.lastTrial
	}
	spread := 1 + float64(q.nodes)/nodesPerTrialDelay
	return since.Add(delay + time.Duration(q.lot(key)*spread*float64(delay)))
}

// lot returns a number from 0 to 1 that differs between nodes and keys.
func (q *Quarantine) lot(key Key) float64 {
	b := make([]byte, 0, 64)
	for shift := 0; shift < 64; shift += 8 {
		b = append(b, byte(key>>shift))
	}
	return float64(xxhash.Sum64(append(b, q.node...))>>11) / (1 << 53)
}

// Change is what has changed at a node, for its log and its peers.
type Change struct {
	Quarantined []Key // keys that are quarantined now
	Released    []Key // keys that are free again
	News        bool  // whether peers must learn of it without delay
}

// RecordEnd records that an endpoint has ended under a request of this node before the
// answer had begun. End.Age counts from now.
func (q *Quarantine) RecordEnd(e End) Change {
	q.mu.Lock()
	defer q.mu.Unlock()
	var c Change
	c.News = q.addEnd(end{End: e, at: q.clock.Now().Add(-e.Age), own: true}, &c)
	return c
}

// RecordAnswer records that the answer to a request with the given keys has begun and
// goes on.
func (q *Quarantine) RecordAnswer(keys []Key) Change {
	q.mu.Lock()
	defer q.mu.Unlock()
	var c Change
	now := q.clock.Now()
	for _, key := range keys {
		if q.addAnswer(key, now, &c) {
			c.News = true // it was quarantined
			q.own.answers[key] = now
		} else if q.isSuspect(key) {
			q.announce(key, now)
		}
	}
	return c
}

// announce makes this node tell its peers of the last answer to a request with the key,
// unless they were told of late or another node is faster. The caller must hold mu.
func (q *Quarantine) announce(key Key, now time.Time) {
	if _, ok := q.own.answers[key]; !ok {
		spread := min(time.Duration(q.nodes)*announcementSpread, maxAnnouncementSpread)
		q.own.answers[key] = now.Add(time.Duration(q.lot(key) * float64(spread)))
	}
}

// isSuspect reports whether so many endpoints have lately ended under requests with the
// key that one more may quarantine it. The caller must hold mu.
func (q *Quarantine) isSuspect(key Key) bool {
	ends := 0
	for _, e := range q.ends {
		if slices.Contains(e.Keys, key) {
			ends++
		}
	}
	return ends >= minEnds-1
}

// addEnd adds an end unless it is known, and judges its keys. The caller must hold mu.
func (q *Quarantine) addEnd(e end, c *Change) (isNew bool) {
	q.expire()
	for _, known := range q.ends {
		if known.Request == e.Request && known.Endpoint == e.Endpoint {
			return false
		}
	}
	if len(q.ends) >= maxEnds {
		q.ends = slices.Delete(q.ends, 0, 1)
	}
	i, _ := slices.BinarySearchFunc(q.ends, e.at, func(known end, at time.Time) int { return known.at.Compare(at) })
	q.ends = slices.Insert(q.ends, i, e)
	for _, key := range e.Keys {
		v := q.quarantined[key]
		if v == nil {
			if q.lastAnswer(key) != nil && q.isSuspect(key) {
				q.announce(key, q.clock.Now())
			}
			continue
		}
		if e.at.Sub(v.lastEnd) >= sameMoment {
			v.ends++
		}
		if e.at.After(v.lastEnd) {
			v.lastEnd = e.at
		}
	}
	q.judge(e.Keys, c)
	return true
}

// judge quarantines those of the keys that are to blame for enough ends. All of them are
// judged before the first one is quarantined: if they were part of the same requests,
// one of them must not clear the others. The caller must hold mu.
func (q *Quarantine) judge(keys []Key, c *Change) {
	type guilty struct {
		key Key
		v   *verdict
	}
	var all []guilty
	for _, key := range keys {
		if q.quarantined[key] == nil {
			if v := q.judgeKey(key); v != nil {
				all = append(all, guilty{key, v})
			}
		}
	}
	for _, g := range all {
		q.quarantine(g.key, g.v)
		c.Quarantined = append(c.Quarantined, g.key)
	}
}

// judgeKey returns a verdict on a key that is to blame for enough ends, otherwise nil.
// The caller must hold mu.
func (q *Quarantine) judgeKey(key Key) *verdict {
	last, required := time.Time{}, minEnds
	if a := q.lastAnswer(key); a != nil {
		last, required = a.at, minEndsAfterAnswer
	}
	v := &verdict{}
	var requests []uint64
	endedAt := map[uint64]time.Time{} // by endpoint
	for _, e := range q.ends {
		if !e.at.After(last) || !slices.Contains(e.Keys, key) || q.isExplained(e, key) {
			continue
		}
		before, again := endedAt[e.Endpoint]
		if slices.Contains(requests, e.Request) || again && e.at.Sub(before) < sameProcess || v.ends > 0 && e.at.Sub(v.lastEnd) < sameMoment {
			continue
		}
		requests, endedAt[e.Endpoint] = append(requests, e.Request), e.at
		v.ends++
		v.lastEnd = e.at
	}
	if v.ends < required {
		return nil
	}
	return v
}

// isExplained reports whether an end is blamed on another key than the given one. The
// caller must hold mu.
func (q *Quarantine) isExplained(e end, key Key) bool {
	return len(q.quarantined) > 0 &&
		slices.ContainsFunc(q.keysInProgress(e), func(k Key) bool { return k != key && q.quarantined[k] != nil })
}

// keysInProgress returns the keys of all requests that were in progress when the endpoint
// of e ended. The caller must hold mu.
func (q *Quarantine) keysInProgress(e end) []Key {
	var keys []Key
	for _, other := range q.ends {
		if other.Endpoint == e.Endpoint && other.at.Sub(e.at).Abs() < sameProcess {
			keys = append(keys, other.Keys...)
		}
	}
	return keys
}

// updateCompanions computes the companions of a quarantined key anew, unless the ends that
// it is blamed for are forgotten. The caller must hold mu.
func (q *Quarantine) updateCompanions(key Key, v *verdict) {
	var companions []Key
	found := false
	for _, e := range q.ends {
		if !slices.Contains(e.Keys, key) {
			continue
		}
		keys := q.keysInProgress(e)
		if !found {
			found, companions = true, slices.DeleteFunc(keys, func(k Key) bool { return k == key || q.quarantined[k] == nil })
		} else {
			companions = slices.DeleteFunc(companions, func(k Key) bool { return !slices.Contains(keys, k) })
		}
	}
	if found {
		v.companions = companions
	}
}

// quarantine quarantines a key. The caller must hold mu.
func (q *Quarantine) quarantine(key Key, v *verdict) {
	if len(q.quarantined) >= maxQuarantined {
		var oldest Key
		var at time.Time
		for k, other := range q.quarantined {
			if at.IsZero() || other.lastEnd.Before(at) {
				oldest, at = k, other.lastEnd
			}
		}
		delete(q.quarantined, oldest)
	}
	q.quarantined[key] = v
}

// addAnswer records an answer, and reports whether the key was quarantined. The caller
// must hold mu.
func (q *Quarantine) addAnswer(key Key, at time.Time, c *Change) (wasQuarantined bool) {
	if el, ok := q.answers[key]; ok {
		a := el.Value.(*answer)
		if at.After(a.at) {
			a.at = at
		}
		q.answerOrder.MoveToFront(el)
	} else {
		q.answers[key] = q.answerOrder.PushFront(&answer{key, at})
		if q.answerOrder.Len() > maxAnswers {
			oldest := q.answerOrder.Remove(q.answerOrder.Back()).(*answer)
			delete(q.answers, oldest.key)
		}
	}
	if q.quarantined[key] == nil {
		return false
	}
	delete(q.quarantined, key)
	if v := q.judgeKey(key); v != nil {
		q.quarantined[key] = v // it has ended many endpoints since the answer
		return false
	}
	c.Released = append(c.Released, key)
	// The ends that were blamed on the key have another cause.
	for _, e := range q.ends {
		if slices.Contains(e.Keys, key) {
			q.judge(e.Keys, c)
		}
	}
	return true
}

// lastAnswer returns the last known answer to a request with the key, or nil. The caller
// must hold mu.
func (q *Quarantine) lastAnswer(key Key) *answer {
	el, ok := q.answers[key]
	if !ok || q.clock.Now().Sub(el.Value.(*answer).at) >= answerMemory {
		return nil
	}
	return el.Value.(*answer)
}

// expire forgets what is too old. The caller must hold mu.
func (q *Quarantine) expire() {
	now := q.clock.Now()
	q.ends = slices.DeleteFunc(q.ends, func(e end) bool { return now.Sub(e.at) >= endMemory })
	for key, v := range q.quarantined {
		if q.hasLapsed(v, now) {
			delete(q.quarantined, key)
		}
	}
}

func (q *Quarantine) hasLapsed(v *verdict, now time.Time) bool {
	return now.Sub(v.lastEnd) >= maxQuarantine && now.Sub(v.lastTrial) >= maxQuarantine
}
