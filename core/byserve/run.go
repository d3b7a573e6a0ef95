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

// retryLater is when to come back after every engine failed.
const retryLater = 2 * time.Second

// run is one call on its way. It is used by one goroutine.
type run struct {
	s      *Server
	call   Call
	sink   Sink
	answer *bystream.Assembler
	gone   bool // the caller left
	sent   bool // an engine may have started the call
}

// attempts tries engines until the answer is whole.
func (r *run) attempts(ctx context.Context) error {
	tried := map[burdockyard.EndpointID]bool{}
	var lastErr error
	for n := range maxAttempts {
		place, err := r.place(ctx, n, tried)
		if err != nil {
			return r.giveUp(err)
		}
		err = r.attempt(ctx, place)
		place.Flight.End()
		r.s.pump(r.call.Model)
		if err == nil || isFinal(err) {
			return err
		}
		id := place.Choice.Engine.ID()
		tried[id] = true
		lastErr = err
		r.s.dispatch.Router().Avoid(id, r.s.clock.Now())
		r.s.observer.Retried(r.call, id, err)
		if !errors.Is(err, burdockyard.ErrNotStarted) && !r.s.budget.Spend() {
			break
		}
	}
	return r.giveUp(lastErr)
}

func isFinal(err error) bool {
	var final *burdockyard.CallError
	return errors.As(err, &final)
}

// place admits the call the first time, and after that picks another engine:
// the call has been admitted, and its caller may be in the middle of an answer.
func (r *run) place(ctx context.Context, n int, tried map[burdockyard.EndpointID]bool) (Start[*waiter], error) {
	if n == 0 && !r.sent {
		return r.s.admit(ctx, r.call)
	}
	start, ok := r.s.dispatch.Move(r.call.Model, r.call.Work, tried, r.s.clock.Now())
	if !ok {
		return start, merry.Prepend(burdockyard.ErrNotStarted, "no other engine")
	}
	return start, nil
}

// giveUp gives the final answer. It is "not run" only if no engine can have
// started the call.
func (r *run) giveUp(err error) error {
	if isFinal(err) {
		return err
	}
	if r.sent {
		return burdockyard.NewCallError(burdockyard.Failed, "the engines lost the answer",
			burdockyard.WithErr(err), burdockyard.WithRetryAfter(retryLater))
	}
	return burdockyard.NewCallError(burdockyard.NotRun, "no engine took the call",
		burdockyard.WithErr(err), burdockyard.WithRetryAfter(retryLater))
}

// attempt runs the call, or what is left of it, on one engine.
func (r *run) attempt(ctx context.Context, place Start[*waiter]) error {
	e := place.Choice.Engine
	left := r.call.Work.OutputTokens - r.answer.Next()
	body, err := r.call.Body(r.answer.Text(), left)
	if err != nil {
		return burdockyard.NewCallError(burdockyard.Invalid, err.Error())
	}
	base := r.answer.Next()
	id := r.streamID(base)
	engine := r.s.endpoints.Engine(e.Addr())
	own, cancel := r.detached(ctx)
	defer cancel()
	stream, err := engine.Generate(own, burdockyard.GenerateRequest{
		ID: id, Chat: r.call.Chat, Body: body, Priority: EnginePriority(r.call.Class, r.call.Work), From: base,
	})
	r.sent = r.sent || !errors.Is(err, burdockyard.ErrNotStarted)
	if err != nil {
		return err
	}
	at := bystream.Position{
		Request: id, Tenant: r.call.Tenant, Engine: e.ID(), Incarnation: stream.Incarnation(), Base: base,
	}
	return r.follow(ctx, own, engine, stream, at, place.Flight)
}

// streamID names the engine's stream. A continuation gets a name of its own: an
// engine that is asked twice for one name could mix the answers up.
func (r *run) streamID(base int) burdockyard.RequestID {
	if base == 0 && !r.sent {
		return r.call.ID
	}
	return burdockyard.NewRequestID()
}

// detached returns a context that outlives the caller by a grace, in which the
// caller may come back through another node.
func (r *run) detached(ctx context.Context) (context.Context, context.CancelFunc) {
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	if r.call.Class.Finish {
		return own, cancel
	}
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cancel()
			return
		}
		time.AfterFunc(resumeGrace, cancel)
	})
	return own, func() { stop(); cancel() }
}

// follow reads a stream to its end, opening it again where it is cut. The
// engine is read under own, which outlives the caller's context.
func (r *run) follow(caller, own context.Context, engine burdockyard.Engine, stream burdockyard.TokenStream, at bystream.Position, f *byroute.Flight) error {
	for n := 0; ; n++ {
		err := r.read(stream, at, f)
		_ = stream.Close() // read to its end, or broken
		if err == nil {
			return nil
		}
		if own.Err() != nil {
			return r.abandon(engine, at.Request, caller.Err())
		}
		if n == maxResumes {
			return err
		}
		stream, err = r.reopen(own, engine, at)
		if err != nil {
			return err
		}
	}
}

// reopen opens a stream again at the next token. Another incarnation of the
// engine does not know it, whatever it answers.
func (r *run) reopen(ctx context.Context, engine burdockyard.Engine, at bystream.Position) (burdockyard.TokenStream, error) {
	stream, err := engine.Resume(ctx, at.Request, r.answer.Next())
	if err != nil {
		return nil, merry.Prepend(burdockyard.ErrStreamGone, err.Error())
	}
	if stream.Incarnation() != at.Incarnation {
		_ = stream.Close() // not the answer that we follow
		return nil, burdockyard.ErrStreamGone
	}
	return stream, nil
}

// read hands on tokens until the stream ends; nil means that the answer is whole.
func (r *run) read(stream burdockyard.TokenStream, at bystream.Position, f *byroute.Flight) error {
	for {
		t, err := stream.Next()
		if errors.Is(err, io.EOF) && r.answer.Whole() {
			return nil
		}
		if err != nil {
			return merry.Prepend(burdockyard.ErrInterrupted, err.Error())
		}
		fresh, err := r.answer.Add(t)
		if err != nil {
			return err
		}
		if !fresh {
			continue
		}
		f.Token(r.s.clock.Now())
		r.deliver(t, at)
		if r.answer.Whole() {
			return nil
		}
	}
}

func (r *run) deliver(t burdockyard.Token, at bystream.Position) {
	if r.gone {
		return
	}
	at.Next = r.answer.Next()
	at.Done = r.answer.Whole()
	if err := r.sink.Token(t, at); err != nil {
		r.gone = true
	}
}

// abandon tells the engine that nobody reads the answer any more.
func (r *run) abandon(engine burdockyard.Engine, id burdockyard.RequestID, cause error) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = engine.Cancel(ctx, id) // the engine ends it by itself otherwise
	if errors.Is(cause, context.DeadlineExceeded) {
		return burdockyard.NewCallError(burdockyard.Failed, "the answer was not whole at the deadline",
			burdockyard.WithStatus(504), burdockyard.WithRetryAfter(retryLater))
	}
	return burdockyard.NewCallError(burdockyard.Failed, "the caller left", burdockyard.WithErr(cause))
}

// resume goes on with the stream that the caller has read a part of.
func (r *run) resume(ctx context.Context, at bystream.Position) error {
	e, ok := r.s.manifest().Engine(at.Engine)
	if !ok {
		return burdockyard.ErrStreamGone
	}
	r.sent = true
	// The stream counts as open here, or the engine would look empty to a holder
	// that is about to take it away.
	flight := r.s.dispatch.Router().Start(byroute.Choice{Engine: e}, byroute.Work{}, r.s.clock.Now())
	defer flight.End()
	engine := r.s.endpoints.Engine(e.Addr())
	own, cancel := r.detached(ctx)
	defer cancel()
	stream, err := r.reopen(own, engine, at)
	if err != nil {
		return err
	}
	err = r.follow(ctx, own, engine, stream, at, flight)
	if err == nil || isFinal(err) {
		return err
	}
	if r.call.Delivered == "" && at.Next > 0 {
		return r.giveUp(err)
	}
	return burdockyard.ErrStreamGone
}
