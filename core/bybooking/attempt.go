package bybooking

import (
	"context"
	"errors"
	"time"

	"burdockyard"
)

const (
	// abandonedRetention is how long an abandoned attempt is remembered, so that a
	// claim which the table applies late is still known as never sent.
	abandonedRetention = 10 * time.Minute
	// saveTimeout bounds one try at recording a result.
	saveTimeout = 5 * time.Second
)

func (e *Desk) addAttempt(token, key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[token] = &attempt{rowKey: key, done: make(chan struct{})}
}

func (e *Desk) removeAttempt(token string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.attempts, token)
}

func (e *Desk) markAbandoned(token string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[token]
	a.abandoned = true
	a.abandonedAt = e.clock.Now()
}

// OwnState answers another node that asks about an attempt of this process.
//
// An attempt that is claimed and not yet sent counts as Sending: its goroutine
// is on the way to the endpoint.
func (e *Desk) OwnState(attempt string) SendState {
	return e.ownState(attempt)
}

func (e *Desk) ownState(token string) SendState {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[token]
	switch {
	case a == nil:
		return SendUnknown
	case a.abandoned:
		return NeverSent
	default:
		return Sending
	}
}

// startAndWait sends a claimed attempt and waits for its answer or for the caller to
// leave. The attempt goes on without its caller.
func (e *Desk) startAndWait(ctx context.Context, c Call, key string, rec record, version uint64) (burdockyard.ServiceResponse, error) {
	e.mu.Lock()
	a := e.attempts[rec.Attempt]
	a.rowVersion = version
	e.mu.Unlock()
	e.runningAttempts.Go(func() {
		e.sendToEndpoints(context.WithoutCancel(ctx), c, key, a, rec)
	})
	select {
	case <-a.done:
		return a.resp, a.err
	case <-ctx.Done():
		return burdockyard.ServiceResponse{}, outcomeUnknownError("the call was still running when its time was up", ctx.Err())
	}
}

// sendToEndpoints tries the endpoints in order until one has started the call.
func (e *Desk) sendToEndpoints(ctx context.Context, c Call, key string, a *attempt, rec record) {
	ctx, cancel := context.WithTimeout(ctx, e.attemptLimit)
	defer cancel()
	var lastErr error
	for _, s := range c.Senders {
		resp, err := s.Call(ctx, c.Request)
		if err == nil {
			e.finishDone(a, rec, resp)
			return
		}
		if !errors.Is(err, burdockyard.ErrNotStarted) {
			e.finishUnknown(a, rec, err)
			return
		}
		lastErr = err
	}
	e.finishNotRun(ctx, a, key, rec, lastErr)
}

func (e *Desk) finishDone(a *attempt, rec record, resp burdockyard.ServiceResponse) {
	rec.State = stateDone
	rec.Result = &resp
	e.recordAndAnswer(a, rec, resp, nil)
}

func (e *Desk) finishUnknown(a *attempt, rec record, err error) {
	rec.State = stateUnknown
	e.recordAndAnswer(a, rec, burdockyard.ServiceResponse{}, outcomeUnknownError("the endpoint's answer was lost after the call was sent", err))
}

// recordAndAnswer records the outcome, then answers. An outcome that the table does not
// take is kept for Sweep, and the caller still gets it now.
func (e *Desk) recordAndAnswer(a *attempt, rec record, resp burdockyard.ServiceResponse, err error) {
	e.mu.Lock()
	a.unsavedRecord = &rec
	e.mu.Unlock()
	e.saveOutcome(a)
	a.resp, a.err = resp, err
	close(a.done)
}

// finishNotRun frees the key before the caller hears "not run". If the table
// does not answer, the attempt is abandoned, which lets the next call free it.
func (e *Desk) finishNotRun(ctx context.Context, a *attempt, key string, rec record, cause error) {
	e.markAbandoned(rec.Attempt)
	if err := e.markFree(ctx, burdockyard.Row{Key: key, Version: a.rowVersion}); err == nil {
		e.removeAttempt(rec.Attempt)
	}
	a.err = burdockyard.NewCallError(burdockyard.NotRun, "no endpoint of the service took the call",
		burdockyard.WithRetryAfter(e.nextRetryAfter()), burdockyard.WithErr(cause))
	close(a.done)
}

// saveOutcome tries once to record an outcome and forgets the attempt when it is kept.
func (e *Desk) saveOutcome(a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	e.mu.Lock()
	rec, version := a.unsavedRecord, a.rowVersion
	e.mu.Unlock()
	if rec == nil {
		return // the caller's own try and a sweep met; the other one has saved it
	}
	err := e.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: a.rowKey, Version: version}},
		Writes: []burdockyard.Write{{Key: a.rowKey, Value: encodeRecord(*rec)}},
	})
	// A conflict means that an earlier try whose answer was lost had its effect:
	// nobody else writes the row of an attempt that was sent.
	if err == nil || errors.Is(err, burdockyard.ErrConflict) {
		e.mu.Lock()
		a.unsavedRecord = nil
		e.mu.Unlock()
		e.removeAttempt(rec.Attempt)
	}
}

// Sweep records outcomes that the table did not take, and frees rows of
// abandoned attempts. It is called every second or so.
func (e *Desk) Sweep(ctx context.Context) {
	unsaved, abandoned := e.unsettledAttempts()
	for _, a := range unsaved {
		e.saveOutcome(a)
	}
	for token, a := range abandoned {
		e.sweepAbandoned(ctx, token, a)
	}
}

func (e *Desk) unsettledAttempts() (unsaved []*attempt, abandoned map[string]*attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	abandoned = map[string]*attempt{}
	for token, a := range e.attempts {
		switch {
		case a.abandoned:
			abandoned[token] = a
		case a.unsavedRecord != nil:
			unsaved = append(unsaved, a)
		}
	}
	return unsaved, abandoned
}

func (e *Desk) sweepAbandoned(ctx context.Context, token string, a *attempt) {
	row, rec, err := e.readRow(ctx, a.rowKey)
	if err != nil {
		return
	}
	if row.Exists() && rec.Attempt == token {
		if err := e.markFree(ctx, row); err == nil {
			e.removeAttempt(token)
		}
		return
	}
	if e.clock.Now().Sub(a.abandonedAt) > abandonedRetention {
		e.removeAttempt(token)
	}
}

// Idle reports whether no attempt is running and every outcome is recorded, so
// that the process may stop.
func (e *Desk) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.attempts {
		if !a.abandoned {
			return false
		}
	}
	return true
}

// Wait returns once no attempt is running.
func (e *Desk) Wait() { e.runningAttempts.Wait() }
