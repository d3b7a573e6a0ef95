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

// defaultRetryAfter is the delay after which a caller should retry if the queue
// predicts none, for example after every engine failed.
const defaultRetryAfter = 2 * time.Second

// run is the state of a model call while it is served. It is used by one goroutine.
type run struct {
	s              *Server
	call           Call
	sink           Sink
	answer         *bystream.Assembler
	callerGone     bool // the sink returned an error
	mayHaveStarted bool // an engine may have started the call
}

// tryEngines sends the call to one engine after another until the answer is
// complete, the error is final, or attempts or retry budget are used up.
func (r *run) tryEngines(ctx context.Context) error {
	tried := map[burdockyard.EndpointID]bool{}
	var lastErr error
	for attempt := range maxEngineAttempts {
		started, err := r.chooseEngine(ctx, attempt, tried)
		if err != nil {
			return r.finalError(err)
		}
		err = r.tryEngine(ctx, started)
		started.InFlight.End()
		r.s.startReady(r.call.Model)
		if err == nil || isFinal(err) {
			return err
		}
		id := started.Choice.Engine.ID()
		tried[id] = true
		lastErr = err
		r.s.dispatcher.Router().Avoid(id, r.s.clock.Now())
		r.s.observer.Retried(r.call, id, err)
		if !errors.Is(err, burdockyard.ErrNotStarted) && !r.s.budget.TryWithdraw() {
			break
		}
	}
	return r.finalError(lastErr)
}

func isFinal(err error) bool {
	var callErr *burdockyard.CallError
	return errors.As(err, &callErr)
}

// chooseEngine starts the call at an engine. The first attempt of a new call passes
// through admission. Later ones don't: the call has been admitted, and the caller
// may already have a part of the answer.
func (r *run) chooseEngine(ctx context.Context, attempt int, tried map[burdockyard.EndpointID]bool) (StartedCall[*waiter], error) {
	if attempt == 0 && !r.mayHaveStarted {
		return r.s.admit(ctx, r.call)
	}
	started, ok := r.s.dispatcher.StartElsewhere(r.call.Model, r.call.Work, tried, r.s.clock.Now())
	if !ok {
		return started, merry.Prepend(burdockyard.ErrNotStarted, "no other engine")
	}
	return started, nil
}

// finalError returns the CallError for the caller. Its outcome is OutcomeNotRun
// only if no engine can have started the call.
func (r *run) finalError(err error) error {
	if isFinal(err) {
		return err
	}
	if r.mayHaveStarted {
		return burdockyard.NewCallError(burdockyard.OutcomeFailed, "the engines lost the answer",
			burdockyard.WithErr(err), burdockyard.WithRetryAfter(defaultRetryAfter))
	}
	return burdockyard.NewCallError(burdockyard.OutcomeNotRun, "no engine took the call",
		burdockyard.WithErr(err), burdockyard.WithRetryAfter(defaultRetryAfter))
}

// tryEngine runs the call, or the rest of it, on one engine.
func (r *run) tryEngine(ctx context.Context, started StartedCall[*waiter]) error {
	e := started.Choice.Engine
	tokensLeft := r.call.Work.OutputTokens - r.answer.NextIndex()
	body, err := r.call.EncodeBody(r.answer.Text(), tokensLeft)
	if err != nil {
		return burdockyard.NewCallError(burdockyard.OutcomeInvalid, err.Error())
	}
	baseToken := r.answer.NextIndex()
	id := r.streamID(baseToken)
	engine := r.s.endpoints.Engine(e.Addr())
	engineCtx, cancel := r.detachedContext(ctx)
	defer cancel()
	stream, err := engine.Generate(engineCtx, burdockyard.GenerateRequest{
		ID: id, Chat: r.call.Chat, Body: body, Priority: EnginePriority(r.call.Class, r.call.Work), StartIndex: baseToken,
	})
	r.mayHaveStarted = r.mayHaveStarted || !errors.Is(err, burdockyard.ErrNotStarted)
	if err != nil {
		return err
	}
	pos := bystream.Position{
		Request: id, Tenant: r.call.Tenant, Engine: e.ID(), Incarnation: stream.Incarnation(), Base: baseToken,
	}
	return r.readStream(ctx, engineCtx, engine, stream, pos, started.InFlight)
}

// streamID returns the request ID of the engine's stream. A continuation gets a
// new ID: an engine that gets one ID twice could mix up the answers.
func (r *run) streamID(base int) burdockyard.RequestID {
	if base == 0 && !r.mayHaveStarted {
		return r.call.ID
	}
	return burdockyard.NewRequestID()
}

// detachedContext returns a context for the engine's stream that continues after
// the caller has disconnected. It ends callerResumeGrace after ctx is cancelled, so
// that the caller can reconnect through another node, and at once at the deadline of
// ctx. If the class finishes answers without their caller, ctx does not end it.
func (r *run) detachedContext(ctx context.Context) (context.Context, context.CancelFunc) {
	engineCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	if r.call.Class.FinishWithoutCaller {
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

// readStream reads a stream to its end and reopens it if it is interrupted.
// engineCtx controls the engine's stream and outlives callerCtx.
func (r *run) readStream(callerCtx, engineCtx context.Context, engine burdockyard.Engine, stream burdockyard.TokenStream, pos bystream.Position, inFlight *byroute.InFlightCall) error {
	for reopens := 0; ; reopens++ {
		err := r.readTokens(stream, pos, inFlight)
		_ = stream.Close() // read to its end or already broken
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

// reopenStream reopens a stream at the next token. It fails with ErrStreamGone if
// the engine has restarted: another incarnation can't have the stream, even if it
// answers.
func (r *run) reopenStream(ctx context.Context, engine burdockyard.Engine, pos bystream.Position) (burdockyard.TokenStream, error) {
	stream, err := engine.Resume(ctx, pos.Request, r.answer.NextIndex())
	if err != nil {
		return nil, merry.Prepend(burdockyard.ErrStreamGone, err.Error())
	}
	if stream.Incarnation() != pos.Incarnation {
		_ = stream.Close() // belongs to another incarnation
		return nil, burdockyard.ErrStreamGone
	}
	return stream, nil
}

// readTokens delivers tokens until the stream ends. It returns nil if the answer
// is complete.
func (r *run) readTokens(stream burdockyard.TokenStream, pos bystream.Position, inFlight *byroute.InFlightCall) error {
	for {
		t, err := stream.Next()
		if errors.Is(err, io.EOF) && r.answer.IsComplete() {
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
		inFlight.RecordToken(r.s.clock.Now())
		r.deliver(t, pos)
		if r.answer.IsComplete() {
			return nil
		}
	}
}

func (r *run) deliver(t burdockyard.Token, pos bystream.Position) {
	if r.callerGone {
		return
	}
	pos.Next = r.answer.NextIndex()
	pos.Done = r.answer.IsComplete()
	if err := r.sink.Token(t, pos); err != nil {
		r.callerGone = true
	}
}

// cancelStream tells the engine to stop the stream and returns the CallError for
// a caller whose context ended with cause.
func (r *run) cancelStream(engine burdockyard.Engine, id burdockyard.RequestID, cause error) error {
	ctx, cancel := context.WithTimeout(context.Background(), engineCancelTimeout)
	defer cancel()
	_ = engine.Cancel(ctx, id) // if this fails, the engine ends the stream by itself
	if errors.Is(cause, context.DeadlineExceeded) {
		return burdockyard.NewCallError(burdockyard.OutcomeFailed, "the answer was not whole at the deadline",
			burdockyard.WithStatus(504), burdockyard.WithRetryAfter(defaultRetryAfter))
	}
	return burdockyard.NewCallError(burdockyard.OutcomeFailed, "the caller left", burdockyard.WithErr(cause))
}

// resumeStream continues the stream of which the caller has read a part. It returns
// ErrStreamGone if the call is to be continued on another engine.
func (r *run) resumeStream(ctx context.Context, pos bystream.Position) error {
	e, ok := r.s.manifest().Engine(pos.Engine)
	if !ok {
		return burdockyard.ErrStreamGone
	}
	r.mayHaveStarted = true
	// Count the stream as open at this node. Otherwise the engine would look idle to
	// the lease holder, which could order a change that interrupts the stream.
	inFlight := r.s.dispatcher.Router().Start(byroute.Choice{Engine: e}, byroute.Work{}, r.s.clock.Now())
	defer inFlight.End()
	engine := r.s.endpoints.Engine(e.Addr())
	engineCtx, cancel := r.detachedContext(ctx)
	defer cancel()
	stream, err := r.reopenStream(engineCtx, engine, pos)
	if err != nil {
		return err
	}
	err = r.readStream(ctx, engineCtx, engine, stream, pos, inFlight)
	if err == nil || isFinal(err) {
		return err
	}
	if r.call.DeliveredText == "" && pos.Next > 0 {
		return r.finalError(err)
	}
	return burdockyard.ErrStreamGone
}
