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
	tokenEvery = 200 * time.Millisecond
	roleChange = 2 * time.Second
)

// body is the encoding that fakes use between node and engine.
type body struct {
	Text   string
	Tokens int
}

// engine is a fake model engine that judges the orders it gets.
type engine struct {
	w       *world
	id      burdockyard.EndpointID
	fencing bool

	mu       sync.Mutex
	inc      burdockyard.Incarnation
	state    burdockyard.EngineState
	highest  uint64 // fencing number; survives a crash, as the store of a real one does
	last     burdockyard.Order
	since    time.Time // of the state
	changing time.Time
	streams  map[burdockyard.RequestID]*answer
	decided  []time.Time // when a node began to send work that the engine took
	cut      int         // streams that an order found open
}

// answer is one stream at an engine.
type answer struct {
	began  time.Time
	from   int
	tokens []string
}

func newEngine(w *world, id burdockyard.EndpointID, addr string, fencing bool) *engine {
	e := &engine{w: w, id: id, fencing: fencing, inc: burdockyard.NewIncarnation(), streams: map[burdockyard.RequestID]*answer{}}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines[addr] = e
	return e
}

// crash restarts the engine: streams and state are gone.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inc = burdockyard.NewIncarnation()
	e.state = burdockyard.EngineState{}
	e.streams = map[burdockyard.RequestID]*answer{}
	e.changing = time.Time{}
}

func (e *engine) report() burdockyard.EngineReport {
	return burdockyard.EngineReport{
		Incarnation: e.inc, State: e.state, LastOrder: e.last.ID, Changing: time.Now().Before(e.changing), Streams: e.open(),
	}
}

func (e *engine) open() int {
	n := 0
	for _, a := range e.streams {
		if time.Since(a.began) < time.Duration(len(a.tokens))*tokenEvery {
			n++
		}
	}
	return n
}

// order applies an order, and judges it by the orders before.
func (e *engine) order(o burdockyard.Order) (burdockyard.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencing && o.Fencing < e.highest {
		return burdockyard.EngineReport{}, burdockyard.ErrStaleOrder
	}
	if o.ID != e.last.ID && o.Fencing <= e.highest {
		e.w.violate("engine %s got order %s (%x) after %s (%x)", e.id, o.ID, o.Fencing, e.last.ID, e.highest)
	}
	e.highest = max(e.highest, o.Fencing)
	if o.ID == e.last.ID && e.state.Model != "" {
		return e.report(), nil
	}
	e.apply(o)
	return e.report(), nil
}

// apply changes the state, and judges whether it cuts anything.
func (e *engine) apply(o burdockyard.Order) {
	away := e.state.Model != "" && (e.state.Role != o.State.Role || e.state.Version != o.State.Version || !o.State.Serving)
	if away && e.open() > 0 {
		e.cut += e.open()
		e.streams = map[burdockyard.RequestID]*answer{}
	}
	if away && o.State.Serving {
		e.changing = time.Now().Add(roleChange)
	}
	e.last = o
	e.state = o.State
	e.since = time.Now()
}

func (e *engine) start(req burdockyard.GenerateRequest) (*answer, error) {
	var b body
	if err := json.Unmarshal(req.Body, &b); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.streams[req.ID]; known || !e.state.Serving || time.Now().Before(e.changing) {
		return nil, burdockyard.ErrNotStarted
	}
	a := &answer{began: time.Now(), from: req.From}
	for writer := byemu.NewWriter(b.Text); len(a.tokens) < b.Tokens; {
		a.tokens = append(a.tokens, writer.Next())
	}
	e.streams[req.ID] = a
	return a, nil
}

// engineClient is an engine as one process reaches it.
type engineClient struct {
	w    *world
	p    *process
	addr string
}

func (c engineClient) engine() *engine {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	return c.w.engines[c.addr]
}

func (c engineClient) call(do func(*engine) error) error {
	e := c.engine()
	return c.w.call(c.p, toEndpoints, c.addr, func() error { return do(e) }, nil)
}

func (c engineClient) Generate(_ context.Context, req burdockyard.GenerateRequest) (burdockyard.TokenStream, error) {
	decided := time.Now()
	return c.open(func(e *engine) (*answer, error) {
		a, err := e.start(req)
		if err == nil {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.decided = append(e.decided, decided)
		}
		return a, err
	}, req.From)
}

func (c engineClient) Resume(_ context.Context, id burdockyard.RequestID, from int) (burdockyard.TokenStream, error) {
	return c.open(func(e *engine) (*answer, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		a := e.streams[id]
		if a == nil || from < a.from {
			return nil, burdockyard.ErrStreamGone
		}
		return a, nil
	}, from)
}

func (c engineClient) open(find func(*engine) (*answer, error), next int) (burdockyard.TokenStream, error) {
	var a *answer
	var inc burdockyard.Incarnation
	err := c.call(func(e *engine) (err error) {
		a, err = find(e)
		e.mu.Lock()
		defer e.mu.Unlock()
		inc = e.inc
		return err
	})
	if err != nil {
		return nil, err
	}
	return &tokenStream{c: c, a: a, inc: inc, next: next}, nil
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
	err = c.w.call(c.p, toOrders, c.addr, func() error {
		r, err = e.order(o)
		return err
	}, func() { _, _ = e.order(o) })
	return r, err
}

// tokenStream reads an answer as it is made.
type tokenStream struct {
	c    engineClient
	a    *answer
	inc  burdockyard.Incarnation
	next int
}

func (s *tokenStream) Incarnation() burdockyard.Incarnation { return s.inc }
func (s *tokenStream) Close() error                         { return nil }

func (s *tokenStream) Next() (t burdockyard.Token, err error) {
	i := s.next - s.a.from
	if i >= len(s.a.tokens) {
		return t, io.EOF
	}
	if wait := time.Until(s.a.began.Add(time.Duration(i+1) * tokenEvery)); wait > 0 {
		time.Sleep(wait)
	}
	err = s.c.call(func(e *engine) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.inc != s.inc || e.streams == nil {
			return burdockyard.ErrInterrupted
		}
		t = burdockyard.Token{Index: s.next, Text: s.a.tokens[i]}
		if i == len(s.a.tokens)-1 {
			t.Finish = "length"
		}
		return nil
	})
	if err == nil {
		s.next++
	}
	return t, err
}

// service is a fake booking service that counts effects.
type service struct {
	mu      sync.Mutex
	effects map[string]int                 // by key
	ran     map[burdockyard.RequestID]bool // requests that ran
	refs    map[string]int                 // reference by key, of the first effect
	next    int
}

func newService(w *world, addr string) *service {
	s := &service{effects: map[string]int{}, ran: map[burdockyard.RequestID]bool{}, refs: map[string]int{}}
	w.services[addr] = s
	return s
}

type serviceClient struct {
	w    *world
	p    *process
	addr string
}

func (c serviceClient) Call(_ context.Context, req burdockyard.ServiceRequest) (resp burdockyard.ServiceResponse, err error) {
	c.w.mu.Lock()
	s := c.w.services[c.addr]
	c.w.mu.Unlock()
	err = c.w.call(c.p, toServices, c.addr, func() error {
		resp = s.run(req)
		return nil
	}, nil) // TCP delivers a request once, however late
	return resp, err
}

func (s *service) run(req burdockyard.ServiceRequest) burdockyard.ServiceResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.effects[req.Key]++
	s.ran[req.ID] = true
	if s.refs[req.Key] == 0 {
		s.refs[req.Key] = s.next
	}
	return burdockyard.ServiceResponse{Status: 200, Body: fmt.Appendf(nil, "%s reference %d", req.Key, s.next)}
}

// endpoints finds the fakes for one process.
type endpoints struct {
	w *world
	p *process
}

func (x endpoints) Engine(addr string) burdockyard.Engine { return engineClient{x.w, x.p, addr} }

func (x endpoints) Service(addr string) burdockyard.Service { return serviceClient{x.w, x.p, addr} }
