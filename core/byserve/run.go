package byserve

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/core/byroute"
	"burdockyard/core/bystream"
)

// defaultRetryAfter is when to come back after every engine failed.
const defaultRetryAfter = 2 * time.Second

// run is one call on its way. It is used by one goroutine.
type run struct {
	s              *Server
	call           Call
	sink           Sink
	answer         *bystream.Assembler
	callerGone     bool // the caller left
	mayHaveStarted bool // an engine may have started the call
}

// tryEngines tries engines until the answer is whole.
func (r *run) tryEngines(ctx context.Context) error {
	tried := map[burdockyard.EndpointID]bool{}
	var lastErr error
	for attempt := range maxEngineAttempts {
		start, err := r.chooseEngine(ctx, attempt, tried)
		if err != nil {
			return r.finalError(err)
		}
		err = r.tryEngine(ctx, start)
		start.Flight.End()
		r.s.startReady(r.call.Model)
		if err == nil || isFinal(err) {
			return err
		}
		id := start.Choice.Engine.ID()
		tried[id] = true
		lastErr = err
		r.s.dispatcher.Router().Avoid(id, r.s.clock.Now())
		r.s.observer.Retried(r.call, id, err)
		if !errors.Is(err, burdockyard.ErrNotStarted) && !r.s.budget.Spend() {
			break
		}
	}
	return r.finalError(lastErr)
}

func isFinal(err error) bool {
	var callErr *burdockyard.CallError
	return errors.As(err, &callErr)
}

// chooseEngine admits the call the first time, and after that picks another engine:
// the call has been admitted, and its caller may be in the middle of an answer.
func (r *run) chooseEngine(ctx context.Context, attempt int, tried map[burdockyard.EndpointID]bool) (Start[*waiter], error) {
	if attempt == 0 && !r.mayHaveStarted {
		return r.s.admit(ctx, r.call)
	}
	start, ok := r.s.dispatcher.Move(r.call.Model, r.call.Work, tried, r.s.clock.Now())
	if !ok {
		return start, merry.Prepend(burdockyard.ErrNotStarted, "no other engine")
	}
	return start, nil
}

// finalError gives the final answer. It is "not run" only if no engine can have
// started the call.
func (r *run) finalError(err error) error {
	if isFinal(err) {
		return err
	}
	if r.mayHaveStarted {
		return burdockyard.NewCallError(burdockyard.Failed, "the engines lost the answer",
			burdockyard.WithErr(err), burdockyard.WithRetryAfter(defaultRetryAfter))
	}
	return burdockyard.NewCallError(burdockyard.NotRun, "no engine took the call",
		burdockyard.WithErr(err), burdockyard.WithRetryAfter(defaultRetryAfter))
}

// tryEngine runs the call, or what is left of it, on one engine.
func (r *run) tryEngine(ctx context.Context, start Start[*waiter]) error {
	e := start.Choice.Engine
	tokensLeft := r.call.Work.OutputTokens - r.answer.Next()
	body, err := r.call.Body(r.answer.Text(), tokensLeft)
	if err != nil {
		return burdockyard.NewCallError(burdockyard.Invalid, err.Error())
	}
	baseToken := r.answer.Next()
	id := r.streamID(baseToken)
	engine := r.s.endpoints.Engine(e.Addr())
	engineCtx, cancel := r.detachedContext(ctx)
	defer cancel()
	stream, err := engine.Generate(engineCtx, burdockyard.GenerateRequest{
		ID: id, Chat: r.call.Chat, Body: body, Priority: EnginePriority(r.call.Class, r.call.Work), From: baseToken,
	})
	r.mayHaveStarted = r.mayHaveStarted || !errors.Is(err, burdockyard.ErrNotStarted)
	if err != nil {
		return err
	}
	pos := bystream.Position{
		Request: id, Tenant: r.call.Tenant, Engine: e.ID(), Incarnation: stream.Incarnation(), Base: baseToken,
	}
	return r.readStream(ctx, engineCtx, engine, stream, pos, start.Flight)
}

// streamID names the engine's stream. A continuation gets a name of its own: an
// engine that is asked twice for one name could mix the answers up.
func (r *run) streamID(base int) burdockyard.RequestID {
	if base == 0 && !r.mayHaveStarted {
		return r.call.ID
	}
	return burdockyard.NewRequestID()
}

// detachedContext returns a context that outlives the caller by a grace, in which the
// caller may come back through another node.
func (r *run) detachedContext(ctx context.Context) (context.Context, context.CancelFunc) {
	engineCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	if r.call.Class.Finish {
		return engineCtx, cancel
	}
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cancel()
			return
		}
		time.AfterFunc(callerResumeGrace, cancel)
	})
	return engineCtx, func() { stop(); cancel() }
}

// readStream reads a stream to its end, opening it again where it is cut. The
// engine is read under own, which outlives the caller's context.
func (r *run) readStream(callerCtx, engineCtx context.Context, engine burdockyard.Engine, stream burdockyard.TokenStream, pos bystream.Position, flight *byroute.Flight) error {
	for reopens := 0; ; reopens++ {
		err := r.readTokens(stream, pos, flight)
		_ = stream.Close() // read to its end, or broken
		if err == nil {
			return nil
		}
		if engineCtx.Err() != nil {
			return r.cancelStream(engine, pos.Request, callerCtx.Err())
		}
		if reopens == maxStreamReopens {
			return err
		}
		stream, err = r.reopenStream(engineCtx, engine, pos)
		if err != nil {
			return err
		}
	}
}

// reopenStream opens a stream again at the next token. Another incarnation of the
// engine does not know it, whatever it answers.
func (r *run) reopenStream(ctx context.Context, engine burdockyard.Engine, pos bystream.Position) (burdockyard.TokenStream, error) {
	stream, err := engine.Resume(ctx, pos.Request, r.answer.Next())
	if err != nil {
		return nil, merry.Prepend(burdockyard.ErrStreamGone, err.Error())
	}
	if stream.Incarnation() != pos.Incarnation {
		_ = stream.Close() // not the answer that we follow
		return nil, burdockyard.ErrStreamGone
	}
	return stream, nil
}

// readTokens hands on tokens until the stream ends; nil means that the answer is whole.
func (r *run) readTokens(stream burdockyard.TokenStream, pos bystream.Position, flight *byroute.Flight) error {
	for {
		t, err := stream.Next()
		if errors.Is(err, io.EOF) && r.answer.Whole() {
			return nil
		}
		if err != nil {
			return merry.Prepend(burdockyard.ErrInterrupted, err.Error())
		}
		isNew, err := r.answer.Add(t)
		if err != nil {
			return err
		}
		if !isNew {
			continue
		}
		flight.Token(r.s.clock.Now())
		r.deliver(t, pos)
		if r.answer.Whole() {
			return nil
		}
	}
}

func (r *run) deliver(t burdockyard.Token, pos bystream.Position) {
	if r.callerGone {
		return
	}
	pos.Next = r.answer.Next()
	pos.Done = r.answer.Whole()
	if err := r.sink.Token(t, pos); err != nil {
		r.callerGone = true
	}
}

// cancelStream tells the engine that nobody reads the answer any more.
func (r *run) cancelStream(engine burdockyard.Engine, id burdockyard.RequestID, cause error) error {
	ctx, cancel := context.WithTimeout(context.Background(), engineCancelTimeout)
	defer cancel()
	_ = engine.Cancel(ctx, id) // the engine ends it by itself otherwise
	if errors.Is(cause, context.DeadlineExceeded) {
		return burdockyard.NewCallError(burdockyard.Failed, "the answer was not whole at the deadline",
			burdockyard.WithStatus(504), burdockyard.WithRetryAfter(defaultRetryAfter))
	}
	return burdockyard.NewCallError(burdockyard.Failed, "the caller left", burdockyard.WithErr(cause))
}

// resumeStream goes on with the stream that the caller has read a part of.
func (r *run) resumeStream(ctx context.Context, pos bystream.Position) error {
	e, ok := r.s.manifest().Engine(pos.Engine)
	if !ok {
		return burdockyard.ErrStreamGone
	}
	r.mayHaveStarted = true
	// The stream counts as open here, or the engine would look empty to a holder
	// that is about to take it away.
	flight := r.s.dispatcher.Router().Start(byroute.Choice{Engine: e}, byroute.Work{}, r.s.clock.Now())
	defer flight.End()
	engine := r.s.endpoints.Engine(e.Addr())
	engineCtx, cancel := r.detachedContext(ctx)
	defer cancel()
	stream, err := r.reopenStream(engineCtx, engine, pos)
	if err != nil {
		return err
	}
	err = r.readStream(ctx, engineCtx, engine, stream, pos, flight)
	if err == nil || isFinal(err) {
		return err
	}
	if r.call.Delivered == "" && pos.Next > 0 {
		return r.finalError(err)
	}
	return burdockyard.ErrStreamGone
}
