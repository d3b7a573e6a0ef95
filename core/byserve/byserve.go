// Package byserve carries a call from admission to its whole answer.
//
// # Usage
//
//	s := byserve.New(clock, endpoints, follower.Current)
//	group.Go(func() error { return s.Run(ctx) })
//	err := s.Generate(ctx, call, sink)       // nil: the whole answer is in the sink
//	resp, err := s.CallService(ctx, svcCall) // calls of plain services
//
// Every error of a call is a *burdockyard.CallError.
package byserve

import (
	"context"
	"errors"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/byadmit"
	"burdockyard/core/bybooking"
	"burdockyard/core/bybudget"
	"burdockyard/core/bymanifest"
	"burdockyard/core/byroute"
	"burdockyard/core/bystream"
)

const (
	// queueCheckInterval is how often waiting calls are looked at when nothing happens.
	queueCheckInterval = 10 * time.Millisecond
	// callerResumeGrace is how long an answer goes on without its caller, who may be
	// on the way to another node.
	callerResumeGrace = 3 * time.Second
	// maxEngineAttempts bounds on how many engines one call is tried.
	maxEngineAttempts = 4
	// maxStreamReopens bounds how often one engine's stream is opened again.
	maxStreamReopens = 3
	// busyPrefillFactor is how many times longer a prompt takes at a busy engine than at
	// an idle one, and busyIteration the time that its other work adds.
	busyPrefillFactor = 1.5
	busyIterationTime = 100 * time.Millisecond
	// engineCancelTimeout bounds telling an engine to stop.
	engineCancelTimeout = 2 * time.Second
)

// Sink takes the tokens of an answer. An error means that the caller is gone.
type Sink interface {
	Token(t burdockyard.Token, next bystream.Position) error
}

// Call is one call for a model's answer.
type Call struct {
	ID     burdockyard.RequestID
	Tenant burdockyard.Tenant
	Class  bymanifest.ClassSpec
	Weight int // of the tenant
	Limit  int // open calls of the tenant at this node, 0 for any number
	Model  string
	Chat   bool
	Work   byroute.Work
	// Body encodes the request for an engine. It goes on after the text that
	// was delivered and asks for the tokens that are left.
	Body func(delivered string, tokens int) ([]byte, error)
	// Resume is the place that the caller has reached, if it comes back.
	Resume *bystream.Position
	// Delivered is the text up to Resume, if the caller sent it along.
	Delivered string
}

// waiter is a call in the admission queue.
type waiter struct {
	started chan Start[*waiter]
	refused chan *byadmit.Refusal
}

// Observer hears of what happens to calls, for metrics and logs.
type Observer interface {
	Waited(c Call, d time.Duration)
	Retried(c Call, engine burdockyard.EndpointID, cause error)
	Hedged()
}

type noObserver struct{}

func (noObserver) Waited(Call, time.Duration)                  {}
func (noObserver) Retried(Call, burdockyard.EndpointID, error) {}
func (noObserver) Hedged()                                     {}

// Server serves calls at one node. Its methods may be called from several
// goroutines; mu is a leaf lock.
type Server struct {
	clock         burdockyard.Clock
	endpoints     burdockyard.Endpoints
	manifest      func() *bymanifest.Manifest
	manifestFresh func() bool
	dispatcher    *Dispatcher[*waiter]
	budget        *bybudget.Budget
	bookings      *bybooking.Desk
	observer      Observer
	runDone       chan struct{}

	serviceCalls sync.WaitGroup // copies of service calls

	mu            sync.Mutex
	openByAddress map[string]int             // calls at each service endpoint
	openByTenant  map[burdockyard.Tenant]int // open calls for answers
}

// Option sets an optional part of a Server.
type Option func(*Server)

// WithObserver hears of what happens to calls.
func WithObserver(o Observer) Option { return func(s *Server) { s.observer = o } }

// WithDesk runs the calls that may not be repeated.
func WithDesk(d *bybooking.Desk) Option { return func(s *Server) { s.bookings = d } }

// WithRouter sets the router.
func WithRouter(r *byroute.Router) Option {
	return func(s *Server) { s.dispatcher = NewDispatcher[*waiter](r, s.manifest, s.isManifestFresh) }
}

// WithFreshness starts nothing while fresh says that the manifest may be out of date.
func WithFreshness(fresh func() bool) Option { return func(s *Server) { s.manifestFresh = fresh } }

// New returns a Server for the manifest in force.
func New(clock burdockyard.Clock, endpoints burdockyard.Endpoints, manifest func() *bymanifest.Manifest, opts ...Option) *Server {
	s := &Server{
		clock: clock, endpoints: endpoints, manifest: manifest, budget: bybudget.New(),
		manifestFresh: func() bool { return true }, observer: noObserver{}, runDone: make(chan struct{}), openByAddress: map[string]int{},
		openByTenant: map[burdockyard.Tenant]int{},
	}
	s.dispatcher = NewDispatcher[*waiter](byroute.New(), manifest, s.isManifestFresh)
	for _, opt := range opts {
		opt(s)
	}
	return s
}

func (s *Server) isManifestFresh() bool { return s.manifestFresh() }

// Dispatcher returns the decisions below, for heartbeats and status.
func (s *Server) Dispatcher() *Dispatcher[*waiter] { return s.dispatcher }

// Done is closed once Run has returned.
func (s *Server) Done() <-chan struct{} { return s.runDone }

// Run starts and refuses waiting calls as time passes. It returns when ctx ends.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.runDone)
	tick := time.NewTicker(queueCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.serveQueues()
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Server) serveQueues() {
	if s.dispatcher.Waiting() == 0 {
		return
	}
	for _, r := range s.dispatcher.Expire(s.clock.Now()) {
		r.Value.refused <- r.Refusal
	}
	for _, model := range s.dispatcher.Models() {
		s.startReady(model)
	}
}

func (s *Server) startReady(model string) {
	for _, start := range s.dispatcher.Pump(model, s.clock.Now()) {
		start.Value.started <- start
	}
}

// Generate brings the whole answer of a call to the sink.
func (s *Server) Generate(ctx context.Context, c Call, sink Sink) error {
	if !s.acquireSlot(c) {
		return burdockyard.NewCallError(burdockyard.NotRun, "the tenant has as many calls open as it may",
			burdockyard.WithRetryAfter(defaultRetryAfter), burdockyard.WithStatus(429))
	}
	defer s.releaseSlot(c)
	r := &run{s: s, call: c, sink: sink, answer: bystream.NewAssembler(0, "")}
	if c.Resume != nil && c.Resume.Done {
		return nil // only the end of the stream was lost
	}
	if c.Resume != nil {
		r.answer = bystream.NewAssembler(c.Resume.Next, c.Delivered)
		if err := r.resumeStream(ctx, *c.Resume); err == nil || !errors.Is(err, burdockyard.ErrStreamGone) {
			return err
		}
		if c.Delivered == "" && c.Resume.Next > 0 {
			return burdockyard.NewCallError(burdockyard.Failed,
				"the engine that made the answer is gone; send the text delivered so far along, or call again from the beginning")
		}
	}
	return r.tryEngines(ctx)
}

// acquireSlot counts a call of its tenant; false if it has too many.
func (s *Server) acquireSlot(c Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Limit > 0 && s.openByTenant[c.Tenant] >= c.Limit {
		return false
	}
	s.openByTenant[c.Tenant]++
	return true
}

func (s *Server) releaseSlot(c Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openByTenant[c.Tenant]--
	if s.openByTenant[c.Tenant] == 0 {
		delete(s.openByTenant, c.Tenant)
	}
}

// admit waits until the call may start.
func (s *Server) admit(ctx context.Context, c Call) (Start[*waiter], error) {
	w := &waiter{started: make(chan Start[*waiter], 1), refused: make(chan *byadmit.Refusal, 1)}
	if ctx.Err() != nil {
		return Start[*waiter]{}, notStartedError(ctx)
	}
	now := s.clock.Now()
	ticket, refusal := s.dispatcher.Offer(s.pendingCall(c, w, now), now)
	if refusal != nil {
		return Start[*waiter]{}, refusalError(refusal)
	}
	s.budget.Earn()
	s.startReady(c.Model)
	select {
	case start := <-w.started:
		s.observer.Waited(c, start.Waited)
		return start, nil
	case r := <-w.refused:
		return Start[*waiter]{}, refusalError(r)
	case <-ctx.Done():
		return Start[*waiter]{}, s.withdraw(ctx, ticket, w)
	}
}

// withdraw ends a call whose caller left while it waited.
func (s *Server) withdraw(ctx context.Context, ticket *byadmit.Ticket[Offered[*waiter]], w *waiter) error {
	if !s.dispatcher.Withdraw(ticket) {
		select {
		case start := <-w.started:
			start.Flight.End()
		case <-w.refused:
		}
	}
	return notStartedError(ctx)
}

func notStartedError(ctx context.Context) error {
	return burdockyard.NewCallError(burdockyard.NotRun, "the time for the call was over before it started",
		burdockyard.WithErr(ctx.Err()), burdockyard.WithRetryAfter(defaultRetryAfter))
}

func (s *Server) pendingCall(c Call, w *waiter, now time.Time) Offered[*waiter] {
	var model bymanifest.ModelSpec
	if engines := s.manifest().ModelEngines(c.Model); len(engines) > 0 {
		model = engines[0].Model()
	}
	return Offered[*waiter]{
		Model: c.Model, Work: c.Work, Value: w, Call: AdmissionCall(model, c.Class, c.Tenant, c.Weight, c.Work, now),
	}
}

// AdmissionCall describes a call to the admission queue.
//
// It must start early enough for its first token to come in time at a busy
// engine. With the time of an idle one in place of that, an overloaded node
// starts every call at the last moment, and each answer comes a little too late.
func AdmissionCall(m bymanifest.ModelSpec, class bymanifest.ClassSpec, tenant burdockyard.Tenant, weight int, w byroute.Work, now time.Time) byadmit.Call {
	idleTime := time.Duration(float64(w.PromptTokens) / float64(max(m.PrefillRate, 1)) * float64(time.Second))
	busyTime := time.Duration(busyPrefillFactor*float64(idleTime)) + busyIterationTime
	return byadmit.Call{
		Tenant: tenant, Weight: weight, Class: class.Name, Long: w.Long(), Priority: class.Priority,
		Queue: class.Queue, Cost: Cost(m, w), StartBy: now.Add(max(class.FirstToken-busyTime, 0)),
	}
}

func refusalError(r *byadmit.Refusal) error {
	return burdockyard.NewCallError(burdockyard.NotRun, r.Cause(), burdockyard.WithRetryAfter(r.RetryAfter()),
		burdockyard.WithStatus(429))
}
