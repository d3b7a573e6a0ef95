package bybooking

import (
	"context"
	"errors"
	"time"

	"burdockyard"
)

const (
	// abandonedKeep is how long an abandoned attempt is remembered, so that a
	// claim which the table applies late is still known as never sent.
	abandonedKeep = 10 * time.Minute
	// saveTimeout bounds one try at recording a result.
	saveTimeout = 5 * time.Second
)

func (d *Desk) remember(token, key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts[token] = &attempt{key: key, done: make(chan struct{})}
}

func (d *Desk) forget(token string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.attempts, token)
}

func (d *Desk) abandon(token string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[token]
	a.abandoned = true
	a.since = d.clock.Now()
}

// OwnState answers another node that asks about an attempt of this process.
//
// An attempt that is claimed and not yet sent counts as Sending: its goroutine
// is on the way to the endpoint.
func (d *Desk) OwnState(attempt string) SendState {
	return d.ownState(attempt)
}

func (d *Desk) ownState(token string) SendState {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[token]
	switch {
	case a == nil:
		return SendUnknown
	case a.abandoned:
		return NeverSent
	default:
		return Sending
	}
}

// run sends a claimed attempt and waits for its answer or for the caller to
// leave. The attempt goes on without its caller.
func (d *Desk) run(ctx context.Context, c Call, key string, rec record, version uint64) (burdockyard.ServiceResponse, error) {
	d.mu.Lock()
	a := d.attempts[rec.Attempt]
	a.version = version
	d.mu.Unlock()
	d.running.Go(func() {
		d.send(context.WithoutCancel(ctx), c, key, a, rec)
	})
	select {
	case <-a.done:
		return a.resp, a.err
	case <-ctx.Done():
		return burdockyard.ServiceResponse{}, unknown("the call was still running when its time was up", ctx.Err())
	}
}

// send tries the endpoints in order until one has started the call.
func (d *Desk) send(ctx context.Context, c Call, key string, a *attempt, rec record) {
	ctx, cancel := context.WithTimeout(ctx, d.limit)
	defer cancel()
	var lastErr error
	for _, s := range c.Senders {
		resp, err := s.Call(ctx, c.Request)
		if err == nil {
			d.conclude(a, rec, resp)
			return
		}
		if !errors.Is(err, burdockyard.ErrNotStarted) {
			d.concludeUnknown(a, rec, err)
			return
		}
		lastErr = err
	}
	d.concludeNotRun(ctx, a, key, rec, lastErr)
}

func (d *Desk) conclude(a *attempt, rec record, resp burdockyard.ServiceResponse) {
	rec.State = stateDone
	rec.Result = &resp
	d.finish(a, rec, resp, nil)
}

func (d *Desk) concludeUnknown(a *attempt, rec record, err error) {
	rec.State = stateUnknown
	d.finish(a, rec, burdockyard.ServiceResponse{}, unknown("the endpoint's answer was lost after the call was sent", err))
}

// finish records the outcome, then answers. An outcome that the table does not
// take is kept for Sweep, and the caller still gets it now.
func (d *Desk) finish(a *attempt, rec record, resp burdockyard.ServiceResponse, err error) {
	d.mu.Lock()
	a.unsaved = &rec
	d.mu.Unlock()
	d.save(a)
	a.resp, a.err = resp, err
	close(a.done)
}

// concludeNotRun frees the key before the caller hears "not run". If the table
// does not answer, the attempt is abandoned, which lets the next call free it.
func (d *Desk) concludeNotRun(ctx context.Context, a *attempt, key string, rec record, cause error) {
	d.abandon(rec.Attempt)
	if err := d.free(ctx, burdockyard.Row{Key: key, Version: a.version}); err == nil {
		d.forget(rec.Attempt)
	}
	a.err = burdockyard.NewCallError(burdockyard.NotRun, "no endpoint of the service took the call",
		burdockyard.WithRetryAfter(d.nextReturn()), burdockyard.WithErr(cause))
	close(a.done)
}

// save tries once to record an outcome and forgets the attempt when it is kept.
func (d *Desk) save(a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	d.mu.Lock()
	rec, version := a.unsaved, a.version
	d.mu.Unlock()
	if rec == nil {
		return // the caller's own try and a sweep met; the other one has saved it
	}
	err := d.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: a.key, Version: version}},
		Writes: []burdockyard.Write{{Key: a.key, Value: encode(*rec)}},
	})
	// A conflict means that an earlier try whose answer was lost had its effect:
	// nobody else writes the row of an attempt that was sent.
	if err == nil || errors.Is(err, burdockyard.ErrConflict) {
		d.mu.Lock()
		a.unsaved = nil
		d.mu.Unlock()
		d.forget(rec.Attempt)
	}
}

// Sweep records outcomes that the table did not take, and frees rows of
// abandoned attempts. It is called every second or so.
func (d *Desk) Sweep(ctx context.Context) {
	unsaved, abandoned := d.pending()
	for _, a := range unsaved {
		d.save(a)
	}
	for token, a := range abandoned {
		d.sweepAbandoned(ctx, token, a)
	}
}

func (d *Desk) pending() (unsaved []*attempt, abandoned map[string]*attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	abandoned = map[string]*attempt{}
	for token, a := range d.attempts {
		switch {
		case a.abandoned:
			abandoned[token] = a
		case a.unsaved != nil:
			unsaved = append(unsaved, a)
		}
	}
	return unsaved, abandoned
}

func (d *Desk) sweepAbandoned(ctx context.Context, token string, a *attempt) {
	row, rec, err := d.read(ctx, a.key)
	if err != nil {
		return
	}
	if row.Exists() && rec.Attempt == token {
		if err := d.free(ctx, row); err == nil {
			d.forget(token)
		}
		return
	}
	if d.clock.Now().Sub(a.since) > abandonedKeep {
		d.forget(token)
	}
}

// Idle reports whether no attempt is running and every outcome is recorded, so
// that the process may stop.
func (d *Desk) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.attempts {
		if !a.abandoned {
			return false
		}
	}
	return true
}

// Wait returns once no attempt is running.
func (d *Desk) Wait() { d.running.Wait() }
