// Package byserve serves calls at one node: it admits a call, chooses an engine
// or endpoint, and retries elsewhere until the answer is complete.
//
// # Usage
//
//	s := byserve.New(clock, endpoints, follower.Current)
//	group.Go(func() error { return s.Run(ctx) })
//	err := s.Generate(ctx, call, sink)       // nil: the sink got the complete answer
//	resp, err := s.CallService(ctx, svcCall) // calls to plain services
//
// Every error that a call returns is a *burdockyard.CallError.
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
	// queueCheckInterval is how often the queues are checked when no call arrives
	// or ends.
	queueCheckInterval = 10 * time.Millisecond
	// callerResumeGrace is how long an answer is still generated after its caller
	// has disconnected. The caller may be reconnecting through another node.
	callerResumeGrace = 3 * time.Second
	// maxEngineAttempts is the maximum number of engines tried for one call.
	maxEngineAttempts = 4
	// maxStreamReopens is the maximum number of times one engine's stream is reopened.
	maxStreamReopens = 3
	// busyPrefillFactor is the ratio of a prompt's prefill time at a busy engine to
	// that at an idle one.
	busyPrefillFactor = 1.5
	// busyIterationTime is the delay that a busy engine's other work adds to a prompt.
	busyIterationTime = 100 * time.Millisecond
	// engineCancelTimeout is the timeout of a cancel request to an engine.
	engineCancelTimeout = 2 * time.Second
)

// Sink receives the tokens of an answer. An error means that the caller has
// disconnected. next is the position to resume at after the token.
type Sink interface {
	Token(t burdockyard.Token, next bystream.Position) error
}

// Call is a request to a model.
type Call struct {
	ID           burdockyard.RequestID
	Tenant       burdockyard.Tenant
	Class        bymanifest.ClassSpec
	TenantWeight int // the tenant's weight in fair queuing
	MaxOpenCalls int // maximum open calls of the tenant at this node; 0 means no limit
	Model        string
	Chat         bool
	Work         byroute.Work
	// EncodeBody encodes the request to an engine. The request continues after the
	// delivered text and asks for the remaining number of tokens.
	EncodeBody func(delivered string, tokens int) ([]byte, error)
	// ResumeAt is the position to continue at if the caller reconnects, else nil.
	ResumeAt *bystream.Position
	// DeliveredText is the text up to ResumeAt, empty if the caller did not send it.
	DeliveredText string
}

// waiter is a call in the admission queue.
type waiter struct {
	started chan StartedCall[*waiter]
	refused chan *byadmit.Refusal
}

// Observer is notified of call events, for metrics and logs. Several goroutines
// may call it.
type Observer interface {
	// Waited reports how long a call waited in the queue before it started.
	Waited(c Call, d time.Duration)
	// Retried reports that an engine failed a call, and why.
	Retried(c Call, engine burdockyard.EndpointID, cause error)
	// Hedged reports that a second copy of a slow service call is sent.
	Hedged()
}

type noObserver struct{}

func (noObserver) Waited(Call, time.Duration)                  {}
func (noObserver) Retried(Call, burdockyard.EndpointID, error) {}
func (noObserver) Hedged()                                     {}

// Server serves calls at one node. Its methods are safe for concurrent use. mu
// is a leaf lock.
type Server struct {
	clock         burdockyard.Clock
	endpoints     burdockyard.EndpointClients
	manifest      func() *bymanifest.Manifest
	manifestFresh func() bool
	dispatcher    *Dispatcher[*waiter]
	budget        *bybudget.Budget
	bookings      *bybooking.Executor
	observer      Observer
	runDone       chan struct{}

	serviceCalls sync.WaitGroup // copies of service calls in flight

	mu            sync.Mutex
	openByAddress map[string]int             // open calls by address of the service endpoint
	openByTenant  map[burdockyard.Tenant]int // open model calls by tenant
}

// Option configures a Server.
type Option func(*Server)

// WithObserver sets the observer of call events.
func WithObserver(o Observer) Option { return func(s *Server) { s.observer = o } }

// WithBookings sets the Executor of service calls that may not be repeated. A
// Server without one must not get such calls.
func WithBookings(e *bybooking.Executor) Option { return func(s *Server) { s.bookings = e } }

// WithRouter sets the router that chooses engines.
func WithRouter(r *byroute.Router) Option {
	return func(s *Server) { s.dispatcher = NewDispatcher[*waiter](r, s.manifest, s.isManifestFresh) }
}

// WithFreshness sets the check that the manifest is up to date. While fresh
// returns false, the Server starts no calls.
func WithFreshness(fresh func() bool) Option { return func(s *Server) { s.manifestFresh = fresh } }

// New returns a Server that reads the current manifest from manifest. Run
// must be running while calls wait.
func New(clock burdockyard.Clock, endpoints burdockyard.EndpointClients, manifest func() *bymanifest.Manifest, opts ...Option) *Server {
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

// Dispatcher returns the Server's Dispatcher, for heartbeats and status.
func (s *Server) Dispatcher() *Dispatcher[*waiter] { return s.dispatcher }

// Done returns a channel that is closed when Run returns.
func (s *Server) Done() <-chan struct{} { return s.runDone }

// Run starts waiting calls and refuses expired ones until ctx ends. It may be
// called only once.
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
	if s.dispatcher.NumWaiting() == 0 {
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
	for _, started := range s.dispatcher.StartReady(model, s.clock.Now()) {
		started.Value.started <- started
	}
}

// Generate delivers the complete answer of call c to sink, or returns a CallError.
func (s *Server) Generate(ctx context.Context, c Call, sink Sink) error {
	if !s.acquireTenantQuota(c) {
		return burdockyard.NewCallError(burdockyard.OutcomeNotRun, "the tenant has as many calls open as it may",
			burdockyard.WithRetryAfter(defaultRetryAfter), burdockyard.WithStatus(429))
	}
	defer s.releaseTenantQuota(c)
	r := &run{s: s, call: c, sink: sink, answer: bystream.NewAssembler(0, "")}
	if c.ResumeAt != nil && c.ResumeAt.Done {
		return nil // the caller has every token and missed only the end of the stream
	}
	if c.ResumeAt != nil {
		r.answer = bystream.NewAssembler(c.ResumeAt.Next, c.DeliveredText)
		if err := r.resumeStream(ctx, *c.ResumeAt); err == nil || !errors.Is(err, burdockyard.ErrStreamGone) {
			return err
		}
		if c.DeliveredText == "" && c.ResumeAt.Next > 0 {
			return burdockyard.NewCallError(burdockyard.OutcomeFailed,
				"the engine that made the answer is gone; send the text delivered so far along, or call again from the beginning")
		}
	}
	return r.tryEngines(ctx)
}

// acquireTenantQuota counts an open call of the tenant. It returns false if the
// tenant is at its limit.
func (s *Server) acquireTenantQuota(c Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.MaxOpenCalls > 0 && s.openByTenant[c.Tenant] >= c.MaxOpenCalls {
		return false
	}
	s.openByTenant[c.Tenant]++
	return true
}

func (s *Server) releaseTenantQuota(c Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openByTenant[c.Tenant]--
	if s.openByTenant[c.Tenant] == 0 {
		delete(s.openByTenant, c.Tenant)
	}
}

// admit queues the call and waits until it starts, is refused or ctx ends.
func (s *Server) admit(ctx context.Context, c Call) (StartedCall[*waiter], error) {
	w := &waiter{started: make(chan StartedCall[*waiter], 1), refused: make(chan *byadmit.Refusal, 1)}
	if ctx.Err() != nil {
		return StartedCall[*waiter]{}, notStartedError(ctx)
	}
	now := s.clock.Now()
	queued, refusal := s.dispatcher.Offer(s.pendingCall(c, w, now), now)
	if refusal != nil {
		return StartedCall[*waiter]{}, refusalError(refusal)
	}
	s.budget.Deposit()
	s.startReady(c.Model)
	select {
	case started := <-w.started:
		s.observer.Waited(c, started.WaitTime)
		return started, nil
	case r := <-w.refused:
		return StartedCall[*waiter]{}, refusalError(r)
	case <-ctx.Done():
		return StartedCall[*waiter]{}, s.removeWaiting(ctx, queued, w)
	}
}

// removeWaiting removes a call whose context ended while it waited. If the call was
// started at the same moment, removeWaiting ends it at the router.
func (s *Server) removeWaiting(ctx context.Context, queued *byadmit.QueuedCall[PendingCall[*waiter]], w *waiter) error {
	if !s.dispatcher.Remove(queued) {
		select {
		case started := <-w.started:
			started.InFlight.End()
		case <-w.refused:
		}
	}
	return notStartedError(ctx)
}

func notStartedError(ctx context.Context) error {
	return burdockyard.NewCallError(burdockyard.OutcomeNotRun, "the time for the call was over before it started",
		burdockyard.WithErr(ctx.Err()), burdockyard.WithRetryAfter(defaultRetryAfter))
}

func (s *Server) pendingCall(c Call, w *waiter, now time.Time) PendingCall[*waiter] {
	var model bymanifest.ModelSpec
	if engines := s.manifest().ModelEngines(c.Model); len(engines) > 0 {
		model = engines[0].Model()
	}
	return PendingCall[*waiter]{
		Model: c.Model, Work: c.Work, Value: w, Call: AdmissionCall(model, c.Class, c.Tenant, c.TenantWeight, c.Work, now),
	}
}

// AdmissionCall returns the description of a call for the admission queue.
//
// StartBy leaves enough time for the first token at a busy engine. With the
// prefill time of an idle engine, an overloaded node would start every call at the
// last moment, and each first token would be slightly late.
func AdmissionCall(m bymanifest.ModelSpec, class bymanifest.ClassSpec, tenant burdockyard.Tenant, weight int, w byroute.Work, now time.Time) byadmit.Call {
	idleTime := time.Duration(float64(w.PromptTokens) / float64(max(m.PrefillRate, 1)) * float64(time.Second))
	busyTime := time.Duration(busyPrefillFactor*float64(idleTime)) + busyIterationTime
	return byadmit.Call{
		Tenant: tenant, Weight: weight, Class: class.Name, LongPrompt: w.HasLongPrompt(), Priority: class.Priority,
		MaxQueued: class.MaxQueued, Cost: Cost(m, w), StartBy: now.Add(max(class.FirstToken-busyTime, 0)),
	}
}

func refusalError(r *byadmit.Refusal) error {
	return burdockyard.NewCallError(burdockyard.OutcomeNotRun, r.Cause(), burdockyard.WithRetryAfter(r.RetryAfter()),
		burdockyard.WithStatus(429))
}
