// Package byadmit decides which calls a node admits, in which order they start,
// and when a refused caller should retry.
//
// # Usage
//
//	q := byadmit.New[*waiter]()
//	q.SetDrainRate(engineSecondsPerSecond)
//	queued, refusal := q.Offer(call, w, now)   // refusal != nil: report it at once
//	queued = q.Next(now, false, mayStart)      // nil: no call may start now
//	expired := q.Expire(now)                   // report these refusals at once
//
// Work is measured in engine time, the time that one engine alone would need for
// it. Long and short calls then count by their cost, whatever their mix of prompt
// and output tokens.
package byadmit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"burdockyard"
)

const (
	// minRetryAfter is the shortest retry delay of a refusal, and the range of its
	// jitter.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest retry delay of a refusal, jitter included.
	maxRetryAfter = 5 * time.Minute
	// returningShare is the share of the drain rate at which refused callers are
	// told to return. The rest is left for new callers.
	returningShare = 0.7
	// minDrainRate is the lowest drain rate, which keeps predictions finite while no
	// engine serves.
	minDrainRate = 0.01
)

// Call describes a call to the queue.
type Call struct {
	Tenant     burdockyard.Tenant
	Weight     int // the tenant's weight in fair queuing; below 1 counts as 1
	Class      string
	LongPrompt bool          // whether the prompt is long; long calls are ordered apart from short ones
	Priority   int           // higher starts first among the tenant's calls
	MaxQueued  int           // maximum waiting calls of the class
	Cost       time.Duration // predicted engine time
	StartBy    time.Time     // latest useful start
}

// QueuedCall is a call in a Queue, with the value that was offered along with it.
type QueuedCall[V any] struct {
	call    Call
	value   V
	arrived time.Time
}

// Call returns the call that was offered.
func (c *QueuedCall[V]) Call() Call { return c.call }

// Value returns the value that was offered with the call.
func (c *QueuedCall[V]) Value() V { return c.value }

// ArrivalTime returns when the call was offered.
func (c *QueuedCall[V]) ArrivalTime() time.Time { return c.arrived }

// Refusal says why a call was not started and when the caller should retry.
type Refusal struct {
	cause      string
	retryAfter time.Duration
}

// Cause returns the reason, as text for the caller.
func (r *Refusal) Cause() string { return r.cause }

// RetryAfter returns the delay after which the caller should retry.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// tenantQueue holds one tenant's waiting calls and its position in the fair order.
type tenantQueue[V any] struct {
	virtualTime float64 // engine seconds started, divided by the tenant's weight
	waiting     []*QueuedCall[V]
}

// Queue holds the calls of one model that wait at one node. Its methods are safe
// for concurrent use. mu is a leaf lock, except that Next calls mayStart with mu
// held.
type Queue[V any] struct {
	options

	mu            sync.Mutex
	drainRate     float64                                // engine seconds that this node may use per second
	queuedCost    time.Duration                          // engine time of the waiting calls
	virtualTime   float64                                // greatest virtual time of a tenant at a start
	tenants       map[burdockyard.Tenant]*tenantQueue[V] // tenants with waiting calls or ahead in virtual time, and some idle ones
	backlogged    map[burdockyard.Tenant]*tenantQueue[V] // tenants with waiting calls
	queuedByClass map[string]int                         // number of waiting calls by class
	nextRetryAt   time.Time                              // when the last refused caller was told to retry, before jitter
}

// options holds the settings of a Queue. It is separate from Queue so that Option
// needs no type parameter.
type options struct {
	rnd            *rand.Rand
	fairQueuing    bool // order tenants by virtual time
	enforceStartBy bool // refuse and expire calls that can't start by StartBy
}

// Option configures a Queue.
type Option func(*options)

// WithRand sets the source of randomness for the jitter of retry delays.
func WithRand(rnd *rand.Rand) Option { return func(o *options) { o.rnd = rnd } }

// WithoutFairness orders tenants by the arrival of their next call, not by their
// fair share.
func WithoutFairness() Option { return func(o *options) { o.fairQueuing = false } }

// WithoutStartByCheck admits every call for which the queue has room, and never
// expires one: StartBy is ignored.
func WithoutStartByCheck() Option { return func(o *options) { o.enforceStartBy = false } }

// New returns an empty Queue.
func New[V any](opts ...Option) *Queue[V] {
	q := &Queue[V]{
		options: options{
			rnd:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			fairQueuing: true, enforceStartBy: true,
		},
		drainRate: 1, tenants: map[burdockyard.Tenant]*tenantQueue[V]{}, backlogged: map[burdockyard.Tenant]*tenantQueue[V]{},
		queuedByClass: map[string]int{},
	}
	for _, opt := range opts {
		opt(&q.options)
	}
	return q
}

// SetDrainRate sets the rate at which the queue is expected to drain: the number of
// engines, or engine seconds per second, that this node may use.
func (q *Queue[V]) SetDrainRate(engines float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.drainRate = max(engines, minDrainRate)
}

// Offer queues a call. It refuses the call if its class's queue is full or the
// predicted wait ends after StartBy.
func (q *Queue[V]) Offer(c Call, value V, now time.Time) (*QueuedCall[V], *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queuedByClass[c.Class] >= c.MaxQueued {
		return nil, q.refuse("the queue of class "+c.Class+" is full", c, now)
	}
	if q.enforceStartBy && now.Add(q.predictWait(c)).After(c.StartBy) {
		return nil, q.refuse("the call would not start in time", c, now)
	}
	queued := &QueuedCall[V]{call: c, value: value, arrived: now}
	tq := q.tenantQueue(c.Tenant)
	tq.waiting = append(tq.waiting, queued)
	q.backlogged[c.Tenant] = tq
	q.queuedByClass[c.Class]++
	q.queuedCost += c.Cost
	return queued, nil
}

// tenantQueue returns a tenant's queue and creates it if needed. The virtual time
// of a tenant without waiting calls is raised to the queue's, so that a tenant saves
// up no share while it is idle.
func (q *Queue[V]) tenantQueue(tenant burdockyard.Tenant) *tenantQueue[V] {
	tq := q.tenants[tenant]
	if tq == nil {
		tq = &tenantQueue[V]{virtualTime: q.virtualTime}
		q.tenants[tenant] = tq
	}
	if len(tq.waiting) == 0 {
		tq.virtualTime = max(tq.virtualTime, q.virtualTime)
	}
	return tq
}

// predictWait returns the predicted wait of the call: the cost of the calls that
// will start before it, divided by the drain rate. Another tenant's calls count only
// up to that tenant's weighted share of the same time, since fair queuing starts no
// more of them before the call.
func (q *Queue[V]) predictWait(c Call) time.Duration {
	var own time.Duration
	if tq := q.backlogged[c.Tenant]; tq != nil {
		own = q.ownCostAhead(c, tq)
	}
	ahead := own
	for tenant, tq := range q.backlogged {
		if tenant == c.Tenant || len(tq.waiting) == 0 {
			continue
		}
		ahead += q.otherCostAhead(c, tq, own)
	}
	return time.Duration(float64(ahead) / q.drainRate)
}

// ownCostAhead returns the cost of the same tenant's calls that will start before c.
func (q *Queue[V]) ownCostAhead(c Call, tq *tenantQueue[V]) time.Duration {
	var sum time.Duration
	for _, queued := range tq.waiting {
		if queued.call.Priority >= c.Priority {
			sum += queued.call.Cost
		}
	}
	return sum
}

// otherCostAhead returns the cost of another tenant's calls that will start before
// c, where own is the cost of c's own tenant's calls ahead of it.
func (q *Queue[V]) otherCostAhead(c Call, tq *tenantQueue[V], own time.Duration) time.Duration {
	var sum time.Duration
	for _, queued := range tq.waiting {
		sum += queued.call.Cost
	}
	if !q.fairQueuing {
		return sum
	}
	weightRatio := float64(max(tq.waiting[0].call.Weight, 1)) / float64(max(c.Weight, 1))
	return min(sum, time.Duration(weightRatio*float64(own+c.Cost)))
}

func (q *Queue[V]) refuse(cause string, c Call, now time.Time) *Refusal {
	return &Refusal{cause: cause, retryAfter: q.nextRetryDelay(c, now)}
}

// nextRetryDelay returns the delay after which the refused caller should retry.
//
// If every refused caller were told the predicted length of the backlog, all of
// them would return in the same second. Each refusal instead reserves the next
// time slot after the backlog, so that callers return at the rate at which they can
// be served. Jitter separates callers that round to whole seconds.
func (q *Queue[V]) nextRetryDelay(c Call, now time.Time) time.Duration {
	backlogEnd := now.Add(time.Duration(float64(q.queuedCost) / q.drainRate))
	if q.nextRetryAt.Before(backlogEnd) {
		q.nextRetryAt = backlogEnd
	}
	q.nextRetryAt = q.nextRetryAt.Add(time.Duration(float64(c.Cost) / (q.drainRate * returningShare)))
	jitter := time.Duration(q.rnd.Int64N(int64(minRetryAfter)))
	return min(max(q.nextRetryAt.Sub(now), minRetryAfter)+jitter, maxRetryAfter)
}

// Next removes and returns the long or short call that should start next. It
// returns nil if none waits or mayStart returns false for it. Calls past their
// StartBy are left for Expire. mayStart must not call the Queue's methods.
//
// Long and short calls are ordered apart to avoid head-of-line blocking: in a
// common order, a long call that no engine has room for would block every short
// call behind it.
func (q *Queue[V]) Next(now time.Time, long bool, mayStart func(*QueuedCall[V]) bool) *QueuedCall[V] {
	q.mu.Lock()
	defer q.mu.Unlock()
	tq, i := q.nextCall(now, long)
	if tq == nil || !mayStart(tq.waiting[i]) {
		return nil
	}
	queued := tq.waiting[i]
	q.remove(tq, i)
	q.virtualTime = max(q.virtualTime, tq.virtualTime)
	tq.virtualTime += queued.call.Cost.Seconds() / float64(max(queued.call.Weight, 1))
	q.removeIdleTenants()
	return queued
}

// removeIdleTenants removes tenants that have no waiting calls and are not ahead in
// virtual time: a new tenantQueue would start at the same virtual time. It visits a
// few tenants per call, in map order, to bound its cost.
func (q *Queue[V]) removeIdleTenants() {
	const maxVisited = 4
	n := 0
	for tenant, tq := range q.tenants {
		if n++; n > maxVisited {
			return
		}
		if len(tq.waiting) == 0 && tq.virtualTime <= q.virtualTime {
			delete(q.tenants, tenant)
		}
	}
}

// nextCall returns the long or short call that should start next, as a tenant's
// queue and an index into its waiting calls; nil and -1 if there is none.
func (q *Queue[V]) nextCall(now time.Time, long bool) (*tenantQueue[V], int) {
	var best *tenantQueue[V]
	bestIndex := -1
	for _, tq := range q.backlogged {
		i := q.nextCallOfTenant(tq, now, long)
		if i < 0 {
			continue
		}
		if best == nil || q.startsBefore(tq, i, best, bestIndex) {
			best, bestIndex = tq, i
		}
	}
	return best, bestIndex
}

// startsBefore reports whether call i of tenant a starts before call j of tenant b.
// Ties are decided by arrival and then by the tenant's name, which makes the order
// independent of map iteration.
func (q *Queue[V]) startsBefore(a *tenantQueue[V], i int, b *tenantQueue[V], j int) bool {
	if q.fairQueuing && a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	callA, callB := a.waiting[i], b.waiting[j]
	if !callA.arrived.Equal(callB.arrived) {
		return callA.arrived.Before(callB.arrived)
	}
	return callA.call.Tenant < callB.call.Tenant
}

// nextCallOfTenant returns the index of a tenant's next long or short call, by
// priority and then arrival; -1 if there is none.
func (q *Queue[V]) nextCallOfTenant(tq *tenantQueue[V], now time.Time, long bool) int {
	best := -1
	for i, queued := range tq.waiting {
		if queued.call.LongPrompt != long || q.enforceStartBy && queued.call.StartBy.Before(now) {
			continue
		}
		if best < 0 || queued.call.Priority > tq.waiting[best].call.Priority {
			best = i
		}
	}
	return best
}

func (q *Queue[V]) remove(tq *tenantQueue[V], i int) {
	queued := tq.waiting[i]
	tq.waiting = slices.Delete(tq.waiting, i, i+1)
	q.queuedByClass[queued.call.Class]--
	q.queuedCost -= queued.call.Cost
	if len(tq.waiting) == 0 {
		delete(q.backlogged, queued.call.Tenant)
	}
}

// ExpiredCall is a call that was removed because it can no longer start in time.
type ExpiredCall[V any] struct {
	Queued  *QueuedCall[V]
	Refusal *Refusal
}

// Expire removes the calls past their StartBy and returns them in order of arrival,
// each with a refusal.
func (q *Queue[V]) Expire(now time.Time) []ExpiredCall[V] {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.enforceStartBy {
		return nil
	}
	var late []*QueuedCall[V]
	for _, tq := range q.backlogged {
		for _, queued := range tq.waiting {
			if queued.call.StartBy.Before(now) {
				late = append(late, queued)
			}
		}
	}
	slices.SortFunc(late, func(a, b *QueuedCall[V]) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.call.Tenant, b.call.Tenant), cmp.Compare(a.call.Cost, b.call.Cost))
	})
	expired := make([]ExpiredCall[V], len(late))
	for i, queued := range late {
		tq := q.backlogged[queued.call.Tenant]
		q.remove(tq, slices.Index(tq.waiting, queued))
		expired[i] = ExpiredCall[V]{queued, q.refuse("the call did not start in time", queued.call, now)}
	}
	return expired
}

// Remove removes a waiting call, as when its caller disconnects. It returns false
// if the call is no longer queued.
func (q *Queue[V]) Remove(queued *QueuedCall[V]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	tq := q.backlogged[queued.call.Tenant]
	if tq == nil {
		return false
	}
	i := slices.Index(tq.waiting, queued)
	if i < 0 {
		return false
	}
	q.remove(tq, i)
	return true
}

// Len returns the number of waiting calls.
func (q *Queue[V]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, tq := range q.backlogged {
		n += len(tq.waiting)
	}
	return n
}

// Backlog returns the predicted engine time of the waiting calls.
func (q *Queue[V]) Backlog() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queuedCost
}
