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

// minBacklogLimit is how much prompt work may always lie at an engine before a
// call waits at the node, where it can be reordered, refused or sent elsewhere.
const (
	minBacklogLimit = 100 * time.Millisecond
	// maxBacklogLimit bounds it for calls that have more time.
	maxBacklogLimit = 500 * time.Millisecond
)

// Offered is a call that wants to start, with its owner's value.
type Offered[V any] struct {
	Model string
	Call  byadmit.Call
	Work  byroute.Work
	Value V
}

// Start is a call that starts now.
type Start[V any] struct {
	Value  V
	Choice byroute.Choice
	Flight *byroute.Flight
	Waited time.Duration
}

// Refused is a call that waited in vain.
type Refused[V any] struct {
	Value   V
	Refusal *byadmit.Refusal
}

// Dispatcher joins the admission queues to the choice of engines. It makes
// every decision about when and where a call starts, and has no goroutine and
// no clock, so that experiments run the same code as a node. Its methods may be
// called from several goroutines; mu is taken before the locks of a queue and
// the router.
type Dispatcher[V any] struct {
	router        *byroute.Router
	queueOptions  []byadmit.Option
	manifest      func() *bymanifest.Manifest
	manifestFresh func() bool

	mu        sync.Mutex
	queues    map[string]*byadmit.Queue[Offered[V]]
	nodeCount int
}

// NewDispatcher returns a Dispatcher for the manifest in force. It starts
// nothing while fresh says that the manifest may be out of date.
func NewDispatcher[V any](router *byroute.Router, manifest func() *bymanifest.Manifest, fresh func() bool, opts ...byadmit.Option) *Dispatcher[V] {
	return &Dispatcher[V]{
		router: router, queueOptions: opts, manifest: manifest, manifestFresh: fresh,
		queues: map[string]*byadmit.Queue[Offered[V]]{}, nodeCount: 1,
	}
}

// Router returns the router below.
func (d *Dispatcher[V]) Router() *byroute.Router { return d.router }

// queue returns a model's queue. The caller holds mu.
func (d *Dispatcher[V]) queue(model string) *byadmit.Queue[Offered[V]] {
	q := d.queues[model]
	if q == nil {
		q = byadmit.New[Offered[V]](d.queueOptions...)
		d.queues[model] = q
		d.setDrainRate(model, q)
	}
	return q
}

// setDrainRate gives the queue this node's share of the model's engines.
func (d *Dispatcher[V]) setDrainRate(model string, q *byadmit.Queue[Offered[V]]) {
	serving := 0
	for _, e := range d.manifest().ModelEngines(model) {
		if e.Serving() {
			serving++
		}
	}
	q.SetDrain(float64(serving) / float64(d.nodeCount))
}

// Offer takes a call in, or refuses it.
func (d *Dispatcher[V]) Offer(o Offered[V], now time.Time) (*byadmit.Ticket[Offered[V]], *byadmit.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue(o.Model).Offer(o.Call, o, now)
}

// Withdraw takes a call out whose caller left; false if it has started.
func (d *Dispatcher[V]) Withdraw(t *byadmit.Ticket[Offered[V]]) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue(t.Value().Model).Remove(t)
}

// Pump starts every call of a model that may start now: short ones first, then
// long ones where an engine is free for them.
func (d *Dispatcher[V]) Pump(model string, now time.Time) []Start[V] {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.manifestFresh() {
		return nil
	}
	var starts []Start[V]
	for _, long := range []bool{false, true} {
		for {
			s, ok := d.startNext(model, long, now)
			if !ok {
				break
			}
			starts = append(starts, s)
		}
	}
	return starts
}

func (d *Dispatcher[V]) startNext(model string, long bool, now time.Time) (Start[V], bool) {
	engines := d.manifest().ModelEngines(model)
	var choice byroute.Choice
	t := d.queue(model).Next(now, long, func(t *byadmit.Ticket[Offered[V]]) bool {
		var ok bool
		choice, ok = d.router.Pick(engines, t.Value().Work, nil, now)
		return ok && d.hasRoom(choice, t.Call().StartBy.Sub(now))
	})
	if t == nil {
		return Start[V]{}, false
	}
	o := t.Value()
	return Start[V]{
		Value: o.Value, Choice: choice, Waited: now.Sub(t.Arrived()),
		Flight: d.router.Start(choice, o.Work, now),
	}, true
}

// hasRoom reports whether a call with some time left should start at an engine
// now. It may lie there for half of that time: longer, and a better order or
// another engine would come too late for it; shorter, and engines idle between
// calls that wait at the nodes.
func (d *Dispatcher[V]) hasRoom(c byroute.Choice, left time.Duration) bool {
	limit := max(minBacklogLimit, min(left/2, maxBacklogLimit))
	return c.Backlog <= limit && c.Seat
}

// Move picks another engine for a call that has started before.
func (d *Dispatcher[V]) Move(model string, w byroute.Work, tried map[burdockyard.EndpointID]bool, now time.Time) (Start[V], bool) {
	if !d.manifestFresh() {
		return Start[V]{}, false
	}
	choice, ok := d.router.Pick(d.manifest().ModelEngines(model), w, tried, now)
	if !ok {
		return Start[V]{}, false
	}
	return Start[V]{Choice: choice, Flight: d.router.Start(choice, w, now)}, true
}

// Expire returns the calls that can no longer start in time.
func (d *Dispatcher[V]) Expire(now time.Time) []Refused[V] {
	d.mu.Lock()
	defer d.mu.Unlock()
	var refused []Refused[V]
	for _, q := range d.queues {
		for _, e := range q.Expire(now) {
			refused = append(refused, Refused[V]{Value: e.Ticket.Value().Value, Refusal: e.Refusal})
		}
	}
	return refused
}

// Tick takes in what the peers have open and the node's place among them.
func (d *Dispatcher[V]) Tick(peers map[burdockyard.EndpointID]bymember.Load, place byroute.Place, now time.Time) {
	d.router.Tick(peers, place, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodeCount = place.Nodes
	for model, q := range d.queues {
		d.setDrainRate(model, q)
	}
}

// Models returns the models for which a call has been offered.
func (d *Dispatcher[V]) Models() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var models []string
	for m := range d.queues {
		models = append(models, m)
	}
	return models
}

// Waiting returns the number of calls in the queues.
func (d *Dispatcher[V]) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, q := range d.queues {
		n += q.Len()
	}
	return n
}

// priorityScale leaves room below a class for its long prompts.
const priorityScale = 2

// EnginePriority returns the priority at the engine: the class's, and within it
// short prompts before long ones.
func EnginePriority(class bymanifest.ClassSpec, w byroute.Work) int {
	p := class.Priority * priorityScale
	if w.Long() {
		p--
	}
	return p
}

// Cost predicts a call's engine time: what it takes of an engine that is busy
// with a whole batch.
func Cost(m bymanifest.ModelSpec, w byroute.Work) time.Duration {
	s := float64(w.PromptTokens)/float64(m.PrefillRate) + float64(w.OutputTokens)/float64(m.DecodeRate)
	return time.Duration(s * float64(time.Second))
}
