package byproof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/io/byemu"
)

const (
	tokenInterval      = 200 * time.Millisecond
	roleChangeDuration = 2 * time.Second
)

// requestBody is the JSON body of a request from a node to a fake engine.
type requestBody struct {
	Text   string
	Tokens int
}

// engine is a fake model engine that records a violation if orders arrive out of
// sequence.
type engine struct {
	env             *environment
	id              burdockyard.EndpointID
	enforcesFencing bool

	mu                 sync.Mutex
	incarnation        burdockyard.Incarnation
	state              burdockyard.EngineState
	highestFencing     uint64 // highest fencing number seen; survives a crash, as real engines store it
	lastOrder          burdockyard.Order
	stateSince         time.Time // time of the last state change
	changingUntil      time.Time
	streams            map[burdockyard.RequestID]*engineStream
	sendDecisions      []time.Time // for each accepted request, when the node decided to send it
	interruptedStreams int         // number of open streams that orders ended
}

// engineStream is one token stream of an engine.
type engineStream struct {
	startedAt  time.Time
	firstIndex int
	tokens     []string
}

func newEngine(env *environment, id burdockyard.EndpointID, addr string, enforcesFencing bool) *engine {
	e := &engine{env: env, id: id, enforcesFencing: enforcesFencing, incarnation: burdockyard.NewIncarnation(), streams: map[burdockyard.RequestID]*engineStream{}}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.engines[addr] = e
	return e
}

// crash restarts the engine, which loses its streams and state.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = burdockyard.NewIncarnation()
	e.state = burdockyard.EngineState{}
	e.streams = map[burdockyard.RequestID]*engineStream{}
	e.changingUntil = time.Time{}
}

// report returns the report of the engine. The caller must hold e.mu.
func (e *engine) report() burdockyard.EngineReport {
	return burdockyard.EngineReport{
		Incarnation: e.incarnation, State: e.state, LastOrder: e.lastOrder.ID, Changing: time.Now().Before(e.changingUntil), Streams: e.openStreams(),
	}
}

// openStreams returns the number of streams that still have tokens to send. The
// caller must hold e.mu.
func (e *engine) openStreams() int {
	n := 0
	for _, stream := range e.streams {
		if time.Since(stream.startedAt) < time.Duration(len(stream.tokens))*tokenInterval {
			n++
		}
	}
	return n
}

// applyOrder applies an order, and rejects one with an outdated fencing number if
// the engine enforces fencing. It records a violation if an order whose ID differs
// from the last order's does not have a higher fencing number than all before it.
func (e *engine) applyOrder(o burdockyard.Order) (burdockyard.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.enforcesFencing && o.Fencing < e.highestFencing {
		return burdockyard.EngineReport{}, burdockyard.ErrStaleOrder
	}
	if o.ID != e.lastOrder.ID && o.Fencing <= e.highestFencing {
		e.env.recordViolation("engine %s got order %s with fencing number %x after order %s with %x, want a higher number", e.id, o.ID, o.Fencing, e.lastOrder.ID, e.highestFencing)
	}
	e.highestFencing = max(e.highestFencing, o.Fencing)
	if o.ID == e.lastOrder.ID && e.state.Model != "" {
		return e.report(), nil
	}
	e.changeState(o)
	return e.report(), nil
}

// changeState applies the state of an order and counts the open streams that the
// change ends. The caller must hold e.mu.
func (e *engine) changeState(o burdockyard.Order) {
	endsStreams := e.state.Model != "" && (e.state.Role != o.State.Role || e.state.Version != o.State.Version || !o.State.Serving)
	if endsStreams && e.openStreams() > 0 {
		e.interruptedStreams += e.openStreams()
		e.streams = map[burdockyard.RequestID]*engineStream{}
	}
	if endsStreams && o.State.Serving {
		e.changingUntil = time.Now().Add(roleChangeDuration)
	}
	e.lastOrder = o
	e.state = o.State
	e.stateSince = time.Now()
}

func (e *engine) startStream(req burdockyard.GenerateRequest) (*engineStream, error) {
	var b requestBody
	if err := json.Unmarshal(req.Body, &b); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.streams[req.ID]; known || !e.state.Serving || time.Now().Before(e.changingUntil) {
		return nil, burdockyard.ErrNotStarted
	}
	stream := &engineStream{startedAt: time.Now(), firstIndex: req.StartIndex}
	for generator := byemu.NewTokenGenerator(b.Text); len(stream.tokens) < b.Tokens; {
		stream.tokens = append(stream.tokens, generator.Next())
	}
	e.streams[req.ID] = stream
	return stream, nil
}

// engineClient is a process's client of one engine. Its calls are subject to the
// injected faults.
type engineClient struct {
	env  *environment
	p    *process
	addr string
}

func (c engineClient) engine() *engine {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	return c.env.engines[c.addr]
}

func (c engineClient) call(do func(*engine) error) error {
	e := c.engine()
	return c.env.call(c.p, toEndpoints, c.addr, func() error { return do(e) }, nil)
}

func (c engineClient) Generate(_ context.Context, req burdockyard.GenerateRequest) (burdockyard.TokenStream, error) {
	decided := time.Now()
	return c.openStream(func(e *engine) (*engineStream, error) {
		stream, err := e.startStream(req)
		if err == nil {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.sendDecisions = append(e.sendDecisions, decided)
		}
		return stream, err
	}, req.StartIndex)
}

func (c engineClient) Resume(_ context.Context, id burdockyard.RequestID, from int) (burdockyard.TokenStream, error) {
	return c.openStream(func(e *engine) (*engineStream, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		stream := e.streams[id]
		if stream == nil || from < stream.firstIndex {
			return nil, burdockyard.ErrStreamGone
		}
		return stream, nil
	}, from)
}

func (c engineClient) openStream(find func(*engine) (*engineStream, error), next int) (burdockyard.TokenStream, error) {
	var stream *engineStream
	var inc burdockyard.Incarnation
	err := c.call(func(e *engine) (err error) {
		stream, err = find(e)
		e.mu.Lock()
		defer e.mu.Unlock()
		inc = e.incarnation
		return err
	})
	if err != nil {
		return nil, err
	}
	return &tokenStream{c: c, stream: stream, incarnation: inc, nextIndex: next}, nil
}

func (c engineClient) Cancel(context.Context, burdockyard.RequestID) error { return nil }

func (c engineClient) Report(context.Context) (r burdockyard.EngineReport, err error) {
	err = c.call(func(e *engine) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		r = e.report()
		return nil
	})
	return r, err
}

func (c engineClient) Order(_ context.Context, o burdockyard.Order) (r burdockyard.EngineReport, err error) {
	e := c.engine()
	err = c.env.call(c.p, toOrders, c.addr, func() error {
		r, err = e.applyOrder(o)
		return err
	}, func() { _, _ = e.applyOrder(o) })
	return r, err
}

// tokenStream delivers the tokens of an engineStream at the engine's pace.
type tokenStream struct {
	c           engineClient
	stream      *engineStream
	incarnation burdockyard.Incarnation
	nextIndex   int
}

func (s *tokenStream) Incarnation() burdockyard.Incarnation { return s.incarnation }
func (s *tokenStream) Close() error                         { return nil }

func (s *tokenStream) Next() (t burdockyard.Token, err error) {
	i := s.nextIndex - s.stream.firstIndex
	if i >= len(s.stream.tokens) {
		return t, io.EOF
	}
	if wait := time.Until(s.stream.startedAt.Add(time.Duration(i+1) * tokenInterval)); wait > 0 {
		time.Sleep(wait)
	}
	err = s.c.call(func(e *engine) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.incarnation != s.incarnation || e.streams == nil {
			return burdockyard.ErrInterrupted
		}
		t = burdockyard.Token{Index: s.nextIndex, Text: s.stream.tokens[i]}
		if i == len(s.stream.tokens)-1 {
			t.FinishReason = "length"
		}
		return nil
	})
	if err == nil {
		s.nextIndex++
	}
	return t, err
}

// service is a fake booking service that counts the effects for each key.
type service struct {
	mu             sync.Mutex
	effects        map[string]int                 // number of effects by key
	executed       map[burdockyard.RequestID]bool // IDs of the requests that ran
	firstReference map[string]int                 // reference number of the first effect, by key
	lastReference  int
}

func newService(env *environment, addr string) *service {
	s := &service{effects: map[string]int{}, executed: map[burdockyard.RequestID]bool{}, firstReference: map[string]int{}}
	env.services[addr] = s
	return s
}

type serviceClient struct {
	env  *environment
	p    *process
	addr string
}

func (c serviceClient) Call(_ context.Context, req burdockyard.ServiceRequest) (resp burdockyard.ServiceResponse, err error) {
	c.env.mu.Lock()
	s := c.env.services[c.addr]
	c.env.mu.Unlock()
	err = c.env.call(c.p, toServices, c.addr, func() error {
		resp = s.execute(req)
		return nil
	}, nil) // no duplicate: TCP delivers a request once, however late
	return resp, err
}

func (s *service) execute(req burdockyard.ServiceRequest) burdockyard.ServiceResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReference++
	s.effects[req.IdempotencyKey]++
	s.executed[req.ID] = true
	if s.firstReference[req.IdempotencyKey] == 0 {
		s.firstReference[req.IdempotencyKey] = s.lastReference
	}
	return burdockyard.ServiceResponse{Status: 200, Body: fmt.Appendf(nil, "%s reference %d", req.IdempotencyKey, s.lastReference)}
}

// endpoints implements burdockyard.EndpointClients with the fakes, for one
// process.
type endpoints struct {
	env *environment
	p   *process
}

func (x endpoints) Engine(addr string) burdockyard.Engine { return engineClient{x.env, x.p, addr} }

func (x endpoints) Service(addr string) burdockyard.Service { return serviceClient{x.env, x.p, addr} }
