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
// One of the keys may be that of the request itself, see RequestKey. Ends under repetitions
// of one request count singly for that key, also over a long time, and only once for its
// other keys, which sound requests may share.
//
// Some ends are proved only seconds later, see package bysuspect. They count as of the time
// at which they happened, unless the input has been answered since. Until then the request
// itself is held if they would quarantine it, see SetSuspected.
//
// # The way out
//
// From time to time one request with a quarantined key is admitted as a trial. If its
// answer begins, the key is free again on all nodes. Each end that the key is blamed for
// makes the next trial later. A request itself gets at most maxRequestStrikes-minEnds
// trials, and each of them must be claimed in a store that all nodes share.
//
// # What outlives the nodes
//
// The ends and trials of a key under which several endpoints have ended must outlive all
// nodes, and so must what speaks against it: its companions, see company.go, and its last
// answer before the ends. Unsaved returns what is to be stored, and Load takes what has been
// stored. An answer removes the record, and a stored verdict gets trials like any other: a
// wrong one ends with the first request that is sound.
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
	// noticeTime is the time within which all requests in progress at an endpoint notice
	// its end. An endpoint takes longer to start again.
	noticeTime = 300 * time.Millisecond
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
// hardly ever two of them try before one has heard of the other. Trials of a request are not
// spread.
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

// Requests that are repeated as they are.
const (
	// minSuspectEnds is the number of ends from which those under a request are stored.
	minSuspectEnds = 2
	// firstRequestTrialDelay and requestTrialDelay are the times to the first trial and to a
	// later one.
	firstRequestTrialDelay = time.Minute
	requestTrialDelay      = 30 * time.Minute
	// maxRequestStrikes is the number of ends and trials together from which there are no
	// more trials.
	maxRequestStrikes = minEnds + 2
	// requestQuarantine is the time without an end or a trial after which a request is free
	// again, and its ends are forgotten.
	requestQuarantine = 24 * time.Hour
	// settleTime is the time after an end within which other ends of that moment are told.
	settleTime = time.Second
	// maxFormerEnds is the number of requests whose ends are remembered for longer than
	// endMemory.
	maxFormerEnds = 1024
	// maxRequestAnswers is the number of requests whose answers are remembered.
	maxRequestAnswers = 2048
)

// Key identifies an input that several requests may share. Keys of different kinds differ.
type Key uint64

// The highest bits of a key tell its kind.
const (
	requestBit Key = 1 << 63
	pathBit    Key = 1 << 62
)

// PartKey returns the key of a part of a prompt.
func PartKey(id uint64) Key { return Key(id) &^ (requestBit | pathBit) }

// PathKey returns the key of a path, given its hash.
func PathKey(hash uint64) Key { return Key(hash)&^requestBit | pathBit }

// RequestKey returns the key of a request that may be repeated, given a hash of all that
// its repetitions have in common. It must be hard to find another request with that hash.
func RequestKey(hash uint64) Key { return Key(hash) | requestBit }

// IsRequest reports whether the key was made by RequestKey.
func (k Key) IsRequest() bool { return k&requestBit != 0 }

// Quarantine is one node's view of the keys that end endpoints. It is safe for concurrent
// use; no other lock is taken while mu is held.
type Quarantine struct {
	clock burdockyard.Clock
	node  burdockyard.NodeID

	mu          sync.Mutex
	nodes       int                // number of nodes of the fleet
	ends        []end              // sorted by time
	endChanges  int                // number of changes of ends
	formerEnds  map[Key]formerEnds // before those in ends: of requests, and of other keys as stored
	answers     answerLog          // to requests with a key that others may share
	repeated    answerLog          // to requests themselves
	quarantined map[Key]*verdict
	suspected   []end        // see SetSuspected
	unsaved     map[Key]bool // keys whose stored record is to be written or removed
	endsTold    int          // number of ends that news have begun with
	own         struct {     // what this node has found out itself
		answers map[Key]time.Time // when the announcement of an answer begins or has begun, by this node or by a faster one
		trials  map[Key]time.Time
	}
}

// end is an End at a time of this node's clock.
type end struct {
	End
	at    time.Time
	since time.Time // when this node learned of it; some ends are proved only seconds later
	own   bool      // whether this node has seen it
}

// formerEnds are ends under requests with a key that are not remembered one by one.
type formerEnds struct {
	ends int
	last time.Time
}

// answer is the last known answer to a request with a key.
type answer struct {
	key Key
	at  time.Time
}

// answerLog holds the latest answers.
type answerLog struct {
	max   int
	byKey map[Key]*list.Element
	order *list.List // values are of type *answer, the latest first
}

func newAnswerLog(max int) answerLog {
	return answerLog{max: max, byKey: map[Key]*list.Element{}, order: list.New()}
}

// add records an answer.
func (m *answerLog) add(key Key, at time.Time) {
	if el, ok := m.byKey[key]; ok {
		a := el.Value.(*answer)
		a.at = later(a.at, at)
		m.order.MoveToFront(el)
		return
	}
	m.byKey[key] = m.order.PushFront(&answer{key, at})
	if m.order.Len() > m.max {
		delete(m.byKey, m.order.Remove(m.order.Back()).(*answer).key)
	}
}

// answersTo returns the log of the answers to requests with a key.
func (q *Quarantine) answersTo(key Key) *answerLog {
	if key.IsRequest() {
		return &q.repeated
	}
	return &q.answers
}

// verdict is why a key is quarantined.
type verdict struct {
	ends      int
	lastEnd   time.Time
	lastTrial time.Time // zero if there was none
	source    Source
	since     time.Time // when this node began to quarantine the key

	company company
	// Result of the last call of Quarantine.companions, and endChanges at that time.
	companions      []Key
	companionsKnown bool
	companionsOf    int
}

// New returns a Quarantine without keys for the given node.
func New(clock burdockyard.Clock, node burdockyard.NodeID) *Quarantine {
	q := &Quarantine{
		clock: clock, node: node, nodes: 1, endChanges: 1, formerEnds: map[Key]formerEnds{}, answers: newAnswerLog(maxAnswers), repeated: newAnswerLog(maxRequestAnswers),
		quarantined: map[Key]*verdict{}, unsaved: map[Key]bool{},
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
	Claim    Key           // key of the request if it must be claimed before the trial, otherwise 0
	Wait     time.Duration // time until the next trial if the request is not admitted
	Change   Change        // what has changed at the node because of the request
}

// Admit decides on a new request with the given keys. A trial is news for the peers.
func (q *Quarantine) Admit(keys []Key) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	var d Decision
	if len(q.ends) > 0 {
		q.judgeSettled(keys, &d.Change)
	}
	if len(q.quarantined)+len(q.suspected) == 0 {
		d.Admitted = true
		return d
	}
	blamed, wait := q.blame(keys)
	if wait > 0 {
		d.Wait = wait
		return d
	}
	now := q.clock.Now()
	d.Admitted, d.Trial = true, len(blamed) > 0
	for _, key := range blamed {
		v := q.quarantined[key]
		v.lastTrial, q.own.trials[key] = now, now
		if key.IsRequest() {
			v.ends++ // whether or not its result gets known
			d.Claim = key
		} else {
			q.unsaved[key] = true // the claim of a request saves it
		}
	}
	d.Change.Unsaved = len(q.unsaved) > 0
	return d
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
	if q.suspectedEnds(keys) > 0 {
		wait = max(wait, heldRetryDelay)
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

// IsQuarantined reports whether one of the keys is quarantined, or the request is held.
func (q *Quarantine) IsQuarantined(keys []Key) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.quarantined) > 0 && slices.ContainsFunc(keys, func(key Key) bool { return q.quarantined[key] != nil }) || q.suspectedEnds(keys) > 0
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
	switch {
	case key.IsRequest() && v.ends >= maxRequestStrikes:
		return later(v.lastEnd, v.lastTrial).Add(requestQuarantine)
	case key.IsRequest() && v.ends > minEnds:
		delay = requestTrialDelay
	case key.IsRequest():
		delay = firstRequestTrialDelay
	case v.ends >= provenEnds:
		delay = min(minTrialDelay<<min(v.ends-provenEnds, 10), maxTrialDelay)
	}
	companions, known := q.companions(key, v)
	switch {
	case slices.ContainsFunc(companions, func(k Key) bool { return q.isCompanion(k, key) && !slices.Contains(keys, k) }):
		delay = separateTrialDelay
	case !known && !key.IsRequest() && !v.lastTrial.After(v.lastEnd):
		// What may speak against the verdict is not known, so it gets one early trial, after
		// whose end the companions are known.
		delay = min(delay, earlyTrialDelay)
	}
	share := q.lot(key) * (1 + float64(q.nodes)/nodesPerTrialDelay)
	if key.IsRequest() {
		share = 0 // trials are claimed, and the time that one node names must hold at the others
	}
	at := later(v.lastEnd, v.lastTrial).Add(delay + time.Duration(share*float64(delay)))
	if v.source != FromEnds && q.nodes > 1 {
		// Nodes that start at once all learn at that moment that a trial is overdue.
		at = later(at, v.since.Add(time.Duration(share*float64(separateTrialDelay))))
	}
	return at
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
	Unsaved     bool  // whether Unsaved has records
}

// RecordEnd records that an endpoint has ended under a request of this node before the
// answer had begun. End.Age counts from now.
func (q *Quarantine) RecordEnd(e End) Change {
	q.mu.Lock()
	defer q.mu.Unlock()
	var c Change
	c.News = q.addEnd(end{End: e, at: q.clock.Now().Add(-e.Age), own: true}, &c)
	c.Unsaved = len(q.unsaved) > 0
	return c
}

// RecordAnswer records that the answer to a request with the given keys has begun and
// goes on.
func (q *Quarantine) RecordAnswer(keys []Key) Change {
	q.mu.Lock()
	defer q.mu.Unlock()
	var c Change
	now := q.clock.Now()
	if len(q.ends) > 0 && now.Sub(q.ends[0].at) >= endMemory {
		q.expire()
	}
	for _, key := range keys {
		suspect := q.isSuspect(key)
		if (suspect || q.quarantined[key] != nil) && q.known(key).ends >= minSuspectEnds {
			q.unsaved[key] = true
		}
		if q.addAnswer(key, now, &c) {
			c.News = true // it was quarantined
			q.own.answers[key] = now
		} else if suspect {
			q.announce(key, now)
		}
	}
	c.Unsaved = len(q.unsaved) > 0
	return c
}

// NeedsAnswer reports whether an answer to a request with the given keys would speak for one of
// them: an endpoint has ended under it, and no answer since is known.
func (q *Quarantine) NeedsAnswer(keys []Key) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.ends)+len(q.quarantined) == 0 {
		return false
	}
	return slices.ContainsFunc(keys, func(key Key) bool {
		if q.quarantined[key] != nil {
			return true
		}
		a := q.lastAnswer(key)
		return slices.ContainsFunc(q.ends, func(e end) bool { return slices.Contains(e.Keys, key) && (a == nil || e.at.After(a.at)) })
	})
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
	ends := q.formerEnds[key].ends
	for _, list := range [][]end{q.ends, q.suspected} {
		for _, e := range list {
			if slices.Contains(e.Keys, key) {
				ends++
			}
		}
	}
	return ends >= minEnds-1
}

// judgeSettled judges the request itself by ends in one moment, which are not counted
// singly before others of that moment may be known. The caller must hold mu.
func (q *Quarantine) judgeSettled(keys []Key, c *Change) {
	i := slices.IndexFunc(keys, Key.IsRequest)
	if i < 0 || !q.isSuspect(keys[i]) {
		return
	}
	q.judge(keys[i:i+1], c)
	if len(c.Quarantined) > 0 {
		q.unsaved[keys[i]] = true
	}
	c.Unsaved = len(q.unsaved) > 0
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
		q.keepCompanies(q.ends[0])
		q.ends = slices.Delete(q.ends, 0, 1)
	}
	e.at, e.since = q.alignTimes(e), q.clock.Now()
	i, _ := slices.BinarySearchFunc(q.ends, e.at, func(known end, at time.Time) int { return known.at.Compare(at) })
	q.ends = slices.Insert(q.ends, i, e)
	q.endChanges++
	q.addLateCompanions(e)
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
	for _, key := range e.Keys {
		if q.saves(key, e.own) && (q.isSuspect(key) || q.quarantined[key] != nil) && q.known(key).ends >= minSuspectEnds {
			q.unsaved[key] = true
		}
	}
	return true
}

// saves reports whether this node stores the record of a key that has changed. It is enough
// if the node that has seen the cause, and few others that learn of it, do so.
func (q *Quarantine) saves(key Key, own bool) bool {
	return own || q.lot(key)*float64(q.nodes) < savingNodes
}

// alignTimes returns the time at which the endpoint of e has ended: the earliest one at
// which a request there is known to have broken. The others have noticed the end later,
// and must not count as ends of other moments. If e is the earliest, the times of the
// others are set to its time. The caller must hold mu.
func (q *Quarantine) alignTimes(e end) time.Time {
	i := slices.IndexFunc(q.ends, func(known end) bool { return known.Endpoint == e.Endpoint && known.at.Sub(e.at).Abs() < noticeTime })
	if i < 0 {
		return e.at
	}
	noticed := q.ends[i].at
	if !noticed.After(e.at) {
		return noticed
	}
	for i := range q.ends {
		if q.ends[i].Endpoint == e.Endpoint && q.ends[i].at.Equal(noticed) {
			q.ends[i].at = e.at
		}
	}
	slices.SortStableFunc(q.ends, func(a, b end) int { return a.at.Compare(b.at) })
	return e.at
}

// savingNodes is about the number of nodes that store the record of a key without having
// seen an end under it.
const savingNodes = 2

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
			if v := q.judgeKey(q.ends, key); v != nil {
				all = append(all, guilty{key, v})
			}
		}
	}
	for _, g := range all {
		q.quarantine(g.key, g.v, FromEnds)
		c.Quarantined = append(c.Quarantined, g.key)
		if q.saves(g.key, q.hasOwnEnd(g.key)) {
			q.unsaved[g.key] = true
		}
	}
}

// judgeKey returns a verdict on a key that is to blame for enough of the given ends,
// otherwise nil. The caller must hold mu.
func (q *Quarantine) judgeKey(ends []end, key Key) *verdict {
	last, required := time.Time{}, minEnds
	if a := q.lastAnswer(key); a != nil {
		last, required = a.at, minEndsAfterAnswer
	}
	if v := q.countEnds(ends, key, last); v.ends >= required {
		return v
	}
	return nil
}

// countEnds returns those of the given ends after a time that a key is to blame for. The
// caller must hold mu.
func (q *Quarantine) countEnds(ends []end, key Key, after time.Time) *verdict {
	former := q.formerEnds[key]
	if q.clock.Now().Sub(former.last) >= key.memory() || !former.last.After(after) {
		former = formerEnds{}
	}
	v := &verdict{ends: former.ends, lastEnd: former.last}
	var requests []uint64
	endedAt := map[uint64]time.Time{} // by endpoint
	var ownTimes, otherTimes []time.Time
	if key.IsRequest() {
		ownTimes, otherTimes = endTimes(ends, key)
	}
	byEndpoint := map[uint64][]end{} // not set if no key is quarantined
	if len(q.quarantined) > 0 {
		for _, e := range ends {
			byEndpoint[e.Endpoint] = append(byEndpoint[e.Endpoint], e)
		}
	}
	for _, e := range ends {
		if !e.at.After(after) || !slices.Contains(e.Keys, key) || q.isExplained(e, key, byEndpoint[e.Endpoint]) {
			continue
		}
		before, again := endedAt[e.Endpoint]
		if again && e.at.Sub(before) < sameProcess {
			continue
		}
		if former.ends > 0 && e.at.Sub(former.last) < sameMoment {
			continue // it is one of the former ends
		}
		inSameMoment := v.ends > 0 && e.at.Sub(v.lastEnd) < sameMoment
		switch {
		case key.IsRequest() && inSameMoment && (q.clock.Now().Sub(e.at) < settleTime || countInMoment(e.at, ownTimes) <= 2*countInMoment(e.at, otherTimes)),
			!key.IsRequest() && (inSameMoment || slices.Contains(requests, e.content())):
			continue
		}
		requests, endedAt[e.Endpoint] = append(requests, e.content()), e.at
		v.ends++
		v.lastEnd = e.at
	}
	return v
}

// content returns what identifies the request, which is the same for its repetitions.
func (e *End) content() uint64 {
	if i := slices.IndexFunc(e.Keys, Key.IsRequest); i >= 0 {
		return uint64(e.Keys[i])
	}
	return e.Request
}

// endTimes returns the sorted times at which endpoints with a request with the key have
// ended, and those of other endpoints, one for each. If a good part of the endpoints that
// end in one moment had no such request, all of them may have another cause in common.
func endTimes(ends []end, key Key) (with, without []time.Time) {
	hadKey := map[uint64]bool{} // by endpoint
	for _, e := range ends {
		hadKey[e.Endpoint] = hadKey[e.Endpoint] || slices.Contains(e.Keys, key)
	}
	counted := map[uint64]bool{}
	for _, e := range ends {
		switch {
		case counted[e.Endpoint]:
		case hadKey[e.Endpoint]:
			with = append(with, e.at)
		default:
			without = append(without, e.at)
		}
		counted[e.Endpoint] = true
	}
	return with, without
}

// countInMoment returns how many of the sorted times are in one moment with t.
func countInMoment(t time.Time, times []time.Time) int {
	from, _ := slices.BinarySearchFunc(times, t.Add(-sameMoment), time.Time.Compare)
	to, _ := slices.BinarySearchFunc(times, t.Add(sameMoment), time.Time.Compare)
	return to - from
}

// isExplained reports whether an end is blamed on another key than the given one. That a
// request itself is quarantined does not explain what its other keys are to blame for:
// different requests may have ended endpoints because of one of these. sameEndpoint holds
// the ends of that endpoint. The caller must hold mu.
func (q *Quarantine) isExplained(e end, key Key, sameEndpoint []end) bool {
	isOther := func(k Key) bool {
		return k != key && q.quarantined[k] != nil && !(k.IsRequest() && slices.Contains(e.Keys, k))
	}
	return slices.ContainsFunc(sameEndpoint, func(other end) bool { return isTogether(e, other) && slices.ContainsFunc(other.Keys, isOther) })
}

// isTogether reports whether two requests were in progress when the same endpoint ended.
func isTogether(e, other end) bool {
	return other.Endpoint == e.Endpoint && other.at.Sub(e.at).Abs() < sameProcess
}

// quarantine quarantines a key. The caller must hold mu.
func (q *Quarantine) quarantine(key Key, v *verdict, source Source) {
	v.source, v.since = source, q.clock.Now()
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
	q.answersTo(key).add(key, at)
	if former, ok := q.formerEnds[key]; ok && at.After(former.last) {
		delete(q.formerEnds, key)
	}
	v := q.quarantined[key]
	if v == nil || !at.After(v.lastEnd) && v.ends >= minEndsAfterAnswer {
		return false // the ends since the answer may be remembered by the verdict only
	}
	delete(q.quarantined, key)
	if v := q.judgeKey(q.ends, key); v != nil {
		q.quarantine(key, v, FromEnds) // it has ended many endpoints since the answer
		return false
	}
	c.Released = append(c.Released, key)
	q.unsaveCompanionsOf(key)
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
	el, ok := q.answersTo(key).byKey[key]
	if !ok || q.clock.Now().Sub(el.Value.(*answer).at) >= answerMemory {
		return nil
	}
	return el.Value.(*answer)
}

// expire forgets what is too old. The caller must hold mu.
func (q *Quarantine) expire() {
	now := q.clock.Now()
	for _, e := range q.ends {
		if now.Sub(e.at) < endMemory {
			break
		}
		q.keepCompanies(e)
		q.endChanges++
	}
	q.ends = slices.DeleteFunc(q.ends, func(e end) bool {
		if now.Sub(e.at) < endMemory {
			return false
		}
		q.rememberFormer(e)
		return true
	})
	for key, v := range q.quarantined {
		if v.hasLapsed(key, now) {
			delete(q.quarantined, key)
		}
	}
	for key, f := range q.formerEnds {
		if now.Sub(f.last) >= key.memory() {
			delete(q.formerEnds, key)
		}
	}
}

// rememberFormer counts an end that is about to be forgotten for the request under which
// it happened. The caller must hold mu.
func (q *Quarantine) rememberFormer(e end) {
	i := slices.IndexFunc(e.Keys, Key.IsRequest)
	if i < 0 || q.quarantined[e.Keys[i]] != nil || q.isExplained(e, e.Keys[i], q.ends) {
		return
	}
	key := e.Keys[i]
	if a := q.lastAnswer(key); a != nil && a.at.After(e.at) {
		return
	}
	f := q.formerEnds[key]
	if e.at.Sub(f.last) < sameMoment {
		return // it may be the same end, or one with another cause
	}
	q.addFormer(key, formerEnds{f.ends + 1, e.at})
}

// addFormer sets the former ends of a request. The caller must hold mu.
func (q *Quarantine) addFormer(key Key, f formerEnds) {
	q.formerEnds[key] = f
	if len(q.formerEnds) <= maxFormerEnds {
		return
	}
	oldest := key
	for k, other := range q.formerEnds {
		if other.last.Before(q.formerEnds[oldest].last) {
			oldest = k
		}
	}
	delete(q.formerEnds, oldest)
}

// memory returns how long ends under requests with the key count before it is quarantined.
func (k Key) memory() time.Duration {
	if k.IsRequest() {
		return requestQuarantine
	}
	return endMemory
}

// hasLapsed reports whether a key is free again without an answer.
func (v *verdict) hasLapsed(key Key, now time.Time) bool {
	quarantine := maxQuarantine
	if key.IsRequest() {
		quarantine = requestQuarantine
	}
	return now.Sub(later(v.lastEnd, v.lastTrial)) >= quarantine
}
