package bybooking

import (
	"context"
	"errors"
	"time"

	"burdockyard"
)

const (
	// abandonedRetention is how long an abandoned attempt stays in memory, so that
	// a claim which the table applies late is still known as never sent.
	abandonedRetention = 10 * time.Minute
	// saveTimeout is the timeout of one try to record an outcome.
	saveTimeout = 5 * time.Second
)

func (e *Executor) addAttempt(token, rowKey string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[token] = &attempt{rowKey: rowKey, done: make(chan struct{})}
}

func (e *Executor) removeAttempt(token string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.attempts, token)
}

func (e *Executor) markAbandoned(token string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[token]
	a.abandoned = true
	a.abandonedAt = e.clock.Now()
}

// LocalSendState returns the send state of an attempt of this process, to answer
// a query from another node.
//
// An attempt that is claimed and not yet sent is reported as [MayBeSent], because
// its goroutine may send it at any moment.
func (e *Executor) LocalSendState(token string) SendState {
	return e.localSendState(token)
}

func (e *Executor) localSendState(token string) SendState {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[token]
	switch {
	case a == nil:
		return SendUnknown
	case a.abandoned:
		return NeverSent
	default:
		return MayBeSent
	}
}

// startAndWait sends a claimed attempt and returns its outcome. If ctx ends
// first, the attempt continues in the background.
func (e *Executor) startAndWait(ctx context.Context, c Call, rowKey string, rec record, version uint64) (burdockyard.ServiceResponse, error) {
	e.mu.Lock()
	a := e.attempts[rec.Attempt]
	a.rowVersion = version
	e.mu.Unlock()
	e.runningAttempts.Go(func() {
		e.sendToEndpoints(context.WithoutCancel(ctx), c, rowKey, a, rec)
	})
	select {
	case <-a.done:
		return a.resp, a.err
	case <-ctx.Done():
		return burdockyard.ServiceResponse{}, outcomeUnknownError("the call was still running when its time was up", ctx.Err())
	}
}

// sendToEndpoints tries the endpoints in order until one may have started the
// call, and records the outcome.
func (e *Executor) sendToEndpoints(ctx context.Context, c Call, rowKey string, a *attempt, rec record) {
	ctx, cancel := context.WithTimeout(ctx, e.attemptLimit)
	defer cancel()
	var lastErr error
	for _, s := range c.Endpoints {
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
	e.finishNotRun(ctx, a, rowKey, rec, lastErr)
}

func (e *Executor) finishDone(a *attempt, rec record, resp burdockyard.ServiceResponse) {
	rec.State = stateDone
	rec.Result = &resp
	e.recordAndAnswer(a, rec, resp, nil)
}

func (e *Executor) finishUnknown(a *attempt, rec record, err error) {
	rec.State = stateUnknown
	e.recordAndAnswer(a, rec, burdockyard.ServiceResponse{}, outcomeUnknownError("the endpoint's answer was lost after the call was sent", err))
}

// recordAndAnswer tries to record the outcome, then releases the waiting callers.
// An outcome that could not be recorded is kept for [Executor.Sweep]; the callers
// still get it now.
func (e *Executor) recordAndAnswer(a *attempt, rec record, resp burdockyard.ServiceResponse, err error) {
	e.mu.Lock()
	a.unsavedRecord = &rec
	e.mu.Unlock()
	e.saveOutcome(a)
	a.resp, a.err = resp, err
	close(a.done)
}

// finishNotRun frees the row before the callers get OutcomeNotRun. If that fails,
// the attempt stays abandoned, so that the next call or [Executor.Sweep] frees the
// row.
func (e *Executor) finishNotRun(ctx context.Context, a *attempt, rowKey string, rec record, cause error) {
	e.markAbandoned(rec.Attempt)
	if err := e.markFree(ctx, burdockyard.Row{Key: rowKey, Version: a.rowVersion}); err == nil {
		e.removeAttempt(rec.Attempt)
	}
	a.err = burdockyard.NewCallError(burdockyard.OutcomeNotRun, "no endpoint of the service took the call",
		burdockyard.WithRetryAfter(e.nextRetryAfter()), burdockyard.WithErr(cause))
	close(a.done)
}

// saveOutcome tries once to write the outcome to the table. It drops the attempt
// from memory once the table holds the outcome.
func (e *Executor) saveOutcome(a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	e.mu.Lock()
	rec, version := a.unsavedRecord, a.rowVersion
	e.mu.Unlock()
	if rec == nil {
		return // already saved by a concurrent call of saveOutcome
	}
	err := e.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: a.rowKey, Version: version}},
		Writes: []burdockyard.Write{{Key: a.rowKey, Value: encodeRecord(*rec)}},
	})
	// On a conflict, an earlier try whose response was lost has taken effect:
	// only the claimant writes the row of an attempt that was sent.
	if err == nil || errors.Is(err, burdockyard.ErrConflict) {
		e.mu.Lock()
		a.unsavedRecord = nil
		e.mu.Unlock()
		e.removeAttempt(rec.Attempt)
	}
}

// Sweep retries recording the outcomes that could not be written, and frees the
// rows of abandoned attempts. It should be called about once a second.
func (e *Executor) Sweep(ctx context.Context) {
	unsaved, abandoned := e.unsettledAttempts()
	for _, a := range unsaved {
		e.saveOutcome(a)
	}
	for token, a := range abandoned {
		e.sweepAbandoned(ctx, token, a)
	}
}

func (e *Executor) unsettledAttempts() (unsaved []*attempt, abandoned map[string]*attempt) {
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

func (e *Executor) sweepAbandoned(ctx context.Context, token string, a *attempt) {
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

// IsIdle reports whether no attempt is running and every outcome is recorded. The
// process may stop only then.
func (e *Executor) IsIdle() bool {
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
func (e *Executor) Wait() { e.runningAttempts.Wait() }
