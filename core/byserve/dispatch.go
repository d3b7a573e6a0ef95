package byserve

import (
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/byadmit"
	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
	"burdockyard/core/byroute"
)

const (
	// minBacklogLimit is the least limit on the prompt work queued at an engine.
	// Above the limit a call waits at the node, where it can still be reordered,
	// refused or sent to another engine.
	minBacklogLimit = 100 * time.Millisecond
	// maxBacklogLimit is the greatest limit on that work, for calls that have much
	// time left until they must start.
	maxBacklogLimit = 500 * time.Millisecond
)

// PendingCall is a call to be queued. Value is returned with the call when it is
// started or refused.
type PendingCall[V any] struct {
	Model string
	Call  byadmit.Call
	Work  byroute.Work
	Value V
}

// StartedCall is a call that has been started. The router counts it at its engine
// until the caller of the Dispatcher ends InFlight.
type StartedCall[V any] struct {
	Value    V
	Choice   byroute.Choice
	InFlight *byroute.InFlightCall
	WaitTime time.Duration
}

// RefusedCall is a waiting call that can no longer start in time.
type RefusedCall[V any] struct {
	Value   V
	Refusal *byadmit.Refusal
}

// Dispatcher decides when and at which engine calls start, with an admission
// queue for each model and the router. It has no goroutine and no clock, so that
// simulations run the same code as a node. Its methods are safe for concurrent
// use. mu is locked before the mutex of a queue or the router.
type Dispatcher[V any] struct {
	router        *byroute.Router
	queueOptions  []byadmit.Option
	manifest      func() *bymanifest.Manifest
	manifestFresh func() bool

	mu        sync.Mutex
	queues    map[string]*byadmit.Queue[PendingCall[V]]
	nodeCount int
}

// NewDispatcher returns a Dispatcher that reads the current manifest from
// manifest. It starts no calls while fresh returns false, as the manifest may
// then be out of date. opts apply to every queue.
func NewDispatcher[V any](router *byroute.Router, manifest func() *bymanifest.Manifest, fresh func() bool, opts ...byadmit.Option) *Dispatcher[V] {
	return &Dispatcher[V]{
		router: router, queueOptions: opts, manifest: manifest, manifestFresh: fresh,
		queues: map[string]*byadmit.Queue[PendingCall[V]]{}, nodeCount: 1,
	}
}

// Router returns the router that chooses the engines.
func (d *Dispatcher[V]) Router() *byroute.Router { return d.router }

// queue returns a model's queue and creates it if needed. The caller must hold mu.
func (d *Dispatcher[V]) queue(model string) *byadmit.Queue[PendingCall[V]] {
	q := d.queues[model]
	if q == nil {
		q = byadmit.New[PendingCall[V]](d.queueOptions...)
		d.queues[model] = q
		d.setDrainRate(model, q)
	}
	return q
}

// setDrainRate sets the queue's drain rate to this node's share of the engines
// that serve the model.
func (d *Dispatcher[V]) setDrainRate(model string, q *byadmit.Queue[PendingCall[V]]) {
	serving := 0
	for _, e := range d.manifest().ModelEngines(model) {
		if e.Serving() {
			serving++
		}
	}
	q.SetDrainRate(float64(serving) / float64(d.nodeCount))
}

// Offer queues a call, or refuses it.
func (d *Dispatcher[V]) Offer(c PendingCall[V], now time.Time) (*byadmit.QueuedCall[PendingCall[V]], *byadmit.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue(c.Model).Offer(c.Call, c, now)
}

// Remove removes a waiting call. It returns false if the call has already been
// started or has expired.
func (d *Dispatcher[V]) Remove(queued *byadmit.QueuedCall[PendingCall[V]]) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue(queued.Value().Model).Remove(queued)
}

// StartReady starts every waiting call of a model that may start now: those with
// short prompts first, then those with long prompts if an engine has room.
func (d *Dispatcher[V]) StartReady(model string, now time.Time) []StartedCall[V] {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.manifestFresh() {
		return nil
	}
	var started []StartedCall[V]
	for _, long := range []bool{false, true} {
		for {
			call, ok := d.startNext(model, long, now)
			if !ok {
				break
			}
			started = append(started, call)
		}
	}
	return started
}

func (d *Dispatcher[V]) startNext(model string, long bool, now time.Time) (StartedCall[V], bool) {
	engines := d.manifest().ModelEngines(model)
	var choice byroute.Choice
	queued := d.queue(model).Next(now, long, func(queued *byadmit.QueuedCall[PendingCall[V]]) bool {
		var ok bool
		choice, ok = d.router.Pick(engines, queued.Value().Work, nil, now)
		return ok && d.hasRoom(choice, queued.Call().StartBy.Sub(now))
	})
	if queued == nil {
		return StartedCall[V]{}, false
	}
	pending := queued.Value()
	return StartedCall[V]{
		Value: pending.Value, Choice: choice, WaitTime: now.Sub(queued.ArrivalTime()),
		InFlight: d.router.Start(choice, pending.Work, now),
	}, true
}

// hasRoom reports whether a call should start at the chosen engine now, given the
// time left until it must start. The engine's backlog may take up to half of that
// time, but at least minBacklogLimit and at most maxBacklogLimit. With a larger
// part, reordering the call or sending it to another engine would come too late;
// with a smaller one, engines would be idle while calls wait at the nodes. The
// engine's batch must also have a free slot.
func (d *Dispatcher[V]) hasRoom(c byroute.Choice, left time.Duration) bool {
	limit := max(minBacklogLimit, min(left/2, maxBacklogLimit))
	return c.Backlog <= limit && c.HasSlot
}

// StartElsewhere starts a call that was started before at another engine than those
// in tried. The call does not pass through admission again. StartElsewhere returns
// false if no other engine serves or the manifest may be out of date.
func (d *Dispatcher[V]) StartElsewhere(model string, w byroute.Work, tried map[burdockyard.EndpointID]bool, now time.Time) (StartedCall[V], bool) {
	if !d.manifestFresh() {
		return StartedCall[V]{}, false
	}
	choice, ok := d.router.Pick(d.manifest().ModelEngines(model), w, tried, now)
	if !ok {
		return StartedCall[V]{}, false
	}
	return StartedCall[V]{Choice: choice, InFlight: d.router.Start(choice, w, now)}, true
}

// Expire removes and returns the waiting calls that can no longer start in time.
func (d *Dispatcher[V]) Expire(now time.Time) []RefusedCall[V] {
	d.mu.Lock()
	defer d.mu.Unlock()
	var refused []RefusedCall[V]
	for _, q := range d.queues {
		for _, e := range q.Expire(now) {
			refused = append(refused, RefusedCall[V]{Value: e.Queued.Value().Value, Refusal: e.Refusal})
		}
	}
	return refused
}

// Update updates the peers' open work and the number of nodes that share the
// engines. It is to be called with each heartbeat.
func (d *Dispatcher[V]) Update(peers map[burdockyard.EndpointID]bymember.Load, position byroute.NodePosition, now time.Time) {
	d.router.UpdatePeers(peers, position, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodeCount = position.Nodes
	for model, q := range d.queues {
		d.setDrainRate(model, q)
	}
}

// Models returns the models for which a call has been offered, in no particular
// order.
func (d *Dispatcher[V]) Models() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var models []string
	for m := range d.queues {
		models = append(models, m)
	}
	return models
}

// NumWaiting returns the number of waiting calls of all models.
func (d *Dispatcher[V]) NumWaiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, q := range d.queues {
		n += q.Len()
	}
	return n
}

// priorityScale spaces the classes' priorities so that a class's long prompts fit
// between it and the class below.
const priorityScale = 2

// EnginePriority returns the priority to send to an engine. It orders by class,
// and within a class puts short prompts before long ones.
func EnginePriority(class bymanifest.ClassSpec, w byroute.Work) int {
	p := class.Priority * priorityScale
	if w.HasLongPrompt() {
		p--
	}
	return p
}

// Cost returns the predicted engine time of a call: its share of an engine that
// runs a full batch.
func Cost(m bymanifest.ModelSpec, w byroute.Work) time.Duration {
	s := float64(w.PromptTokens)/float64(m.PrefillRate) + float64(w.OutputTokens)/float64(m.DecodeRate)
	return time.Duration(s * float64(time.Second))
}
