// Package byadmit decides which calls a node takes, in which order they start,
// and when a refused caller should come back.
//
// # Usage
//
//	q := byadmit.New[*waiter]()
//	q.SetDrain(engineSecondsPerSecond)
//	ticket, refusal := q.Offer(call, w, now)   // refusal != nil: answer at once
//	ticket = q.Next(now, false, mayStart)      // nil: nothing may start now
//	expired := q.Expire(now)                   // answer these at once
//
// Work is counted in engine time: what one engine alone would need for it. A
// long plan and a short question then weigh what they cost, whatever the mix of
// prompt and output tokens.
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
	// minRetryAfter is the shortest time to come back that is ever told.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest.
	maxRetryAfter = 5 * time.Minute
	// returningShare is the part of the engines that is kept for callers who return;
	// the rest is for those who come for the first time.
	returningShare = 0.7
	// minDrainRate keeps predictions finite while no engine serves.
	minDrainRate = 0.01
)

// Call is one call that wants to start.
type Call struct {
	Tenant   burdockyard.Tenant
	Weight   int // of the tenant
	Class    string
	Long     bool // starts in a lane of its own
	Priority int
	Queue    int           // calls of the class that may wait here
	Cost     time.Duration // engine time, predicted
	StartBy  time.Time     // a later start is of no use to the caller
}

// Ticket is a call in the queue, with its owner's value.
type Ticket[V any] struct {
	call    Call
	value   V
	arrived time.Time
}

// Call returns what was offered.
func (t *Ticket[V]) Call() Call { return t.call }

// Value returns the owner's value.
func (t *Ticket[V]) Value() V { return t.value }

// Arrived returns when the call was offered.
func (t *Ticket[V]) Arrived() time.Time { return t.arrived }

// Refusal tells why a call is not taken and when to come back.
type Refusal struct {
	cause      string
	retryAfter time.Duration
}

// Cause returns a sentence for the caller.
func (r *Refusal) Cause() string { return r.cause }

// RetryAfter returns when to come back.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// tenantQueue is one tenant's place in the fair queue.
type tenantQueue[V any] struct {
	virtualTime float64 // engine seconds started, over weight
	waiting     []*Ticket[V]
}

// Queue holds the calls of one model that wait at one node. Its methods may be
// called from several goroutines; mu is a leaf lock.
type Queue[V any] struct {
	options

	mu            sync.Mutex
	drainRate     float64 // engine seconds served per second
	queuedCost    time.Duration
	virtualTime   float64                                // of the last start
	tenants       map[burdockyard.Tenant]*tenantQueue[V] // of tenants that are ahead of the others
	backlogged    map[burdockyard.Tenant]*tenantQueue[V] // of tenants with waiting calls
	queuedByClass map[string]int
	nextRetryAt   time.Time // when the last refused caller was told to come back
}

// options are the parts of a Queue that do not depend on its tickets.
type options struct {
	rnd            *rand.Rand
	fairQueuing    bool
	enforceStartBy bool
}

// Option sets an optional part of a Queue.
type Option func(*options)

// WithRand sets the source of randomness for the times to come back.
func WithRand(rnd *rand.Rand) Option { return func(o *options) { o.rnd = rnd } }

// WithoutFairness starts calls regardless of their tenant.
func WithoutFairness() Option { return func(o *options) { o.fairQueuing = false } }

// WithoutPrediction takes every call for which the queue has room.
func WithoutPrediction() Option { return func(o *options) { o.enforceStartBy = false } }

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

// SetDrain tells how much engine time per second this node may count on.
func (q *Queue[V]) SetDrain(engines float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.drainRate = max(engines, minDrainRate)
}

// Offer takes a call into the queue, or refuses it.
func (q *Queue[V]) Offer(c Call, value V, now time.Time) (*Ticket[V], *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queuedByClass[c.Class] >= c.Queue {
		return nil, q.refuse("the queue of class "+c.Class+" is full", c, now)
	}
	if q.enforceStartBy && now.Add(q.predictWait(c)).After(c.StartBy) {
		return nil, q.refuse("the call would not start in time", c, now)
	}
	t := &Ticket[V]{call: c, value: value, arrived: now}
	s := q.tenantQueue(c.Tenant)
	s.waiting = append(s.waiting, t)
	q.backlogged[c.Tenant] = s
	q.queuedByClass[c.Class]++
	q.queuedCost += c.Cost
	return t, nil
}

// tenantQueue returns a tenant's place. A tenant that comes back starts level with
// the others: it neither banks time while idle nor pays for it.
func (q *Queue[V]) tenantQueue(t burdockyard.Tenant) *tenantQueue[V] {
	s := q.tenants[t]
	if s == nil {
		s = &tenantQueue[V]{virtualTime: q.virtualTime}
		q.tenants[t] = s
	}
	if len(s.waiting) == 0 {
		s.virtualTime = max(s.virtualTime, q.virtualTime)
	}
	return s
}

// predictWait predicts how long the call would wait: the work that will start before
// it, over what this node may count on. Another tenant's work counts up to its
// weighted share of the same span, since the fair order lets no more through.
func (q *Queue[V]) predictWait(c Call) time.Duration {
	var own time.Duration
	if s := q.backlogged[c.Tenant]; s != nil {
		own = q.ownCostAhead(c, s)
	}
	ahead := own
	for tenant, s := range q.backlogged {
		if tenant == c.Tenant || len(s.waiting) == 0 {
			continue
		}
		ahead += q.otherCostAhead(c, s, own)
	}
	return time.Duration(float64(ahead) / q.drainRate)
}

// ownCostAhead adds up the calls of the same tenant that will start first.
func (q *Queue[V]) ownCostAhead(c Call, s *tenantQueue[V]) time.Duration {
	var sum time.Duration
	for _, t := range s.waiting {
		if t.call.Priority >= c.Priority {
			sum += t.call.Cost
		}
	}
	return sum
}

func (q *Queue[V]) otherCostAhead(c Call, s *tenantQueue[V], own time.Duration) time.Duration {
	var sum time.Duration
	for _, t := range s.waiting {
		sum += t.call.Cost
	}
	if !q.fairQueuing {
		return sum
	}
	weightRatio := float64(max(s.waiting[0].call.Weight, 1)) / float64(max(c.Weight, 1))
	return min(sum, time.Duration(weightRatio*float64(own+c.Cost)))
}

func (q *Queue[V]) refuse(cause string, c Call, now time.Time) *Refusal {
	return &Refusal{cause: cause, retryAfter: q.nextRetryDelay(c, now)}
}

// nextRetryDelay spreads returns at the rate at which work is served.
//
// Telling every refused caller the predicted length of the backlog would bring
// all of them back in the same second. Each refusal instead takes the next
// free place behind the backlog, so that callers return as fast as they can be
// served, with a little jitter against callers that round to whole seconds.
func (q *Queue[V]) nextRetryDelay(c Call, now time.Time) time.Duration {
	backlogEnd := now.Add(time.Duration(float64(q.queuedCost) / q.drainRate))
	if q.nextRetryAt.Before(backlogEnd) {
		q.nextRetryAt = backlogEnd
	}
	q.nextRetryAt = q.nextRetryAt.Add(time.Duration(float64(c.Cost) / (q.drainRate * returningShare)))
	jitter := time.Duration(q.rnd.Int64N(int64(minRetryAfter)))
	return min(max(q.nextRetryAt.Sub(now), minRetryAfter)+jitter, maxRetryAfter)
}

// Next takes the call of a lane that should start next out of the queue, if
// mayStart agrees; nil if nothing waits or it does not. Calls whose time is
// over are left for Expire.
//
// The lanes are apart because one order for all would stop at its first call: a
// plan that no engine has room for would hold up every question behind it.
func (q *Queue[V]) Next(now time.Time, long bool, mayStart func(*Ticket[V]) bool) *Ticket[V] {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, i := q.nextCall(now, long)
	if s == nil || !mayStart(s.waiting[i]) {
		return nil
	}
	t := s.waiting[i]
	q.remove(s, i)
	q.virtualTime = max(q.virtualTime, s.virtualTime)
	s.virtualTime += t.call.Cost.Seconds() / float64(max(t.call.Weight, 1))
	q.forgetIdleTenants()
	return t
}

// forgetIdleTenants forgets a few tenants that have nothing waiting and are not ahead
// of the others: coming back they would start level anyway.
func (q *Queue[V]) forgetIdleTenants() {
	const maxVisited = 4
	n := 0
	for tenant, s := range q.tenants {
		if n++; n > maxVisited {
			return
		}
		if len(s.waiting) == 0 && s.virtualTime <= q.virtualTime {
			delete(q.tenants, tenant)
		}
	}
}

// nextCall returns the share and index of the lane's call that should start next.
func (q *Queue[V]) nextCall(now time.Time, long bool) (*tenantQueue[V], int) {
	var best *tenantQueue[V]
	bestIndex := -1
	for _, s := range q.backlogged {
		i := q.nextCallOfTenant(s, now, long)
		if i < 0 {
			continue
		}
		if best == nil || q.startsBefore(s, i, best, bestIndex) {
			best, bestIndex = s, i
		}
	}
	return best, bestIndex
}

// startsBefore compares the next calls of two tenants. Equal places go to the one
// that came first, which also makes the order independent of the map's.
func (q *Queue[V]) startsBefore(a *tenantQueue[V], i int, b *tenantQueue[V], j int) bool {
	if q.fairQueuing && a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	ta, tb := a.waiting[i], b.waiting[j]
	if !ta.arrived.Equal(tb.arrived) {
		return ta.arrived.Before(tb.arrived)
	}
	return ta.call.Tenant < tb.call.Tenant
}

// nextCallOfTenant returns the index of a tenant's next call: the highest priority, then
// the first that came; -1 if there is none.
func (q *Queue[V]) nextCallOfTenant(s *tenantQueue[V], now time.Time, long bool) int {
	best := -1
	for i, t := range s.waiting {
		if t.call.Long != long || q.enforceStartBy && t.call.StartBy.Before(now) {
			continue
		}
		if best < 0 || t.call.Priority > s.waiting[best].call.Priority {
			best = i
		}
	}
	return best
}

func (q *Queue[V]) remove(s *tenantQueue[V], i int) {
	t := s.waiting[i]
	s.waiting = slices.Delete(s.waiting, i, i+1)
	q.queuedByClass[t.call.Class]--
	q.queuedCost -= t.call.Cost
	if len(s.waiting) == 0 {
		delete(q.backlogged, t.call.Tenant)
	}
}

// Expired is a call that can no longer start in time.
type Expired[V any] struct {
	Ticket  *Ticket[V]
	Refusal *Refusal
}

// Expire takes out the calls that can no longer start in time, in the order in
// which they came, with when each caller should come back.
func (q *Queue[V]) Expire(now time.Time) []Expired[V] {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.enforceStartBy {
		return nil
	}
	var late []*Ticket[V]
	for _, s := range q.backlogged {
		for _, t := range s.waiting {
			if t.call.StartBy.Before(now) {
				late = append(late, t)
			}
		}
	}
	slices.SortFunc(late, func(a, b *Ticket[V]) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.call.Tenant, b.call.Tenant), cmp.Compare(a.call.Cost, b.call.Cost))
	})
	expired := make([]Expired[V], len(late))
	for i, t := range late {
		s := q.backlogged[t.call.Tenant]
		q.remove(s, slices.Index(s.waiting, t))
		expired[i] = Expired[V]{t, q.refuse("the call did not start in time", t.call, now)}
	}
	return expired
}

// Remove takes out a call whose caller left; false if it has started already.
func (q *Queue[V]) Remove(t *Ticket[V]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.backlogged[t.call.Tenant]
	if s == nil {
		return false
	}
	i := slices.Index(s.waiting, t)
	if i < 0 {
		return false
	}
	q.remove(s, i)
	return true
}

// Len returns the number of waiting calls.
func (q *Queue[V]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, s := range q.backlogged {
		n += len(s.waiting)
	}
	return n
}

// Backlog returns the engine time of the waiting calls.
func (q *Queue[V]) Backlog() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queuedCost
}
