// Package bybooking runs calls that may not be repeated at most once for each
// idempotency key, whatever fails.
//
// # Usage
//
//	desk := bybooking.New(table, clock, self, bybooking.WithClaimants(peers))
//	resp, err := desk.Call(ctx, bybooking.Call{Tenant: t, Key: key, Request: req, Senders: senders})
//	for each tick { desk.Sweep(ctx) }
//
// # Row
//
// booking/<tenant>/<key> is inserted before the first byte goes to an endpoint
// and names the attempt and its claimant. Nobody but the claimant ever sends
// the attempt, and it does so once. The row then holds the result, which every
// later call with the key is answered with, or it is free again if nothing was
// sent. It is never deleted.
package bybooking

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
)

const (
	// DefaultAttemptLimit bounds how long an endpoint may take for one call.
	DefaultAttemptLimit = 60 * time.Second
	// DefaultPoll is how often another claimant's row is read again.
	DefaultPoll = 250 * time.Millisecond
	// minRetryAfter is when a caller whose claim could not be written should return,
	// and comeBackEvery how far the returns of several callers lie apart.
	minRetryAfter     = time.Second
	retryAfterSpacing = 5 * time.Millisecond
	// maxClaimTries bounds how often one call tries to insert its row.
	maxClaimTries = 4
)

type state string

const (
	stateClaimed state = "claimed"
	stateDone    state = "done"
	stateUnknown state = "unknown"
	stateFree    state = "free" // claimed and certainly not sent; may be claimed again
)

// record is the value of a booking row.
type record struct {
	BodyHash string                       `json:"body_hash"`
	Attempt  string                       `json:"attempt"`
	Claimant burdockyard.Member           `json:"claimant"`
	State    state                        `json:"state"`
	Result   *burdockyard.ServiceResponse `json:"result,omitempty"`
}

// Key returns the key of a booking's row.
func Key(tenant burdockyard.Tenant, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "booking/" + string(tenant) + "/" + hex.EncodeToString(sum[:16])
}

// SendState is what a claimant says of one of its attempts.
type SendState int

// What a claimant says of an attempt.
const (
	SendUnknown SendState = iota // the claimant does not know the attempt, or is gone
	NeverSent                    // it was not sent and never will be
	Sending                      // it was sent, or is about to be
)

// Claimants asks other nodes about their attempts.
type Claimants interface {
	// SendState asks the member about an attempt. Once it answered NeverSent it
	// never sends the attempt. ErrNotFound means that the process is gone.
	SendState(ctx context.Context, m burdockyard.Member, attempt string) (SendState, error)
}

// Call is one call that may not be repeated.
type Call struct {
	Tenant  burdockyard.Tenant
	Key     string
	Request burdockyard.ServiceRequest
	Senders []burdockyard.Service // endpoints in the order to try them
}

// Desk claims, sends and records calls. Its methods may be called from several
// goroutines; mu is a leaf lock.
type Desk struct {
	table        burdockyard.Table
	clock        burdockyard.Clock
	self         burdockyard.Member
	claimants    Claimants
	attemptLimit time.Duration
	pollInterval time.Duration

	mu              sync.Mutex
	attempts        map[string]*attempt // by attempt token
	lastRetryAt     time.Time           // when the last refused caller was told to come back
	runningAttempts sync.WaitGroup
}

// attempt is this process's memory of one of its own attempts.
type attempt struct {
	rowKey        string
	abandoned     bool          // never to be sent; its row is to be freed
	abandonedAt   time.Time     // when it was abandoned
	done          chan struct{} // closed once resp and err are final
	resp          burdockyard.ServiceResponse
	err           error
	unsavedRecord *record // result that the table does not hold yet
	rowVersion    uint64
}

// Option sets an optional part of a Desk.
type Option func(*Desk)

// WithClaimants lets the desk ask other nodes about their attempts.
func WithClaimants(c Claimants) Option { return func(e *Desk) { e.claimants = c } }

// WithAttemptLimit bounds how long an endpoint may take for one call.
func WithAttemptLimit(limit time.Duration) Option { return func(e *Desk) { e.attemptLimit = limit } }

// New returns a Desk for the process self.
func New(table burdockyard.Table, clock burdockyard.Clock, self burdockyard.Member, opts ...Option) *Desk {
	e := &Desk{
		table: table, clock: clock, self: self, claimants: noClaimantClient{},
		attemptLimit: DefaultAttemptLimit, pollInterval: DefaultPoll, attempts: map[string]*attempt{},
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

type noClaimantClient struct{}

func (noClaimantClient) SendState(context.Context, burdockyard.Member, string) (SendState, error) {
	return SendUnknown, nil
}

// Call claims the key, sends the request once and returns the answer, or
// returns the answer that the key already has. Every error is a *CallError.
func (e *Desk) Call(ctx context.Context, c Call) (burdockyard.ServiceResponse, error) {
	key := Key(c.Tenant, c.Key)
	var freeVersion uint64 // version of the free row to claim, 0 for none
	for range maxClaimTries {
		rec := record{
			BodyHash: requestHash(c.Request), Attempt: string(burdockyard.NewRequestID()),
			Claimant: e.self, State: stateClaimed,
		}
		version, err := e.claim(ctx, key, rec, freeVersion)
		if err == nil {
			return e.startAndWait(ctx, c, key, rec, version)
		}
		if !errors.Is(err, burdockyard.ErrConflict) {
			return burdockyard.ServiceResponse{}, e.claimError(err)
		}
		resp, free, err := e.resolveExisting(ctx, key, rec.BodyHash)
		if free == nil {
			return resp, err
		}
		freeVersion = free.Version
	}
	return burdockyard.ServiceResponse{}, e.claimError(burdockyard.ErrConflict)
}

func (e *Desk) claimError(err error) error {
	return burdockyard.NewCallError(burdockyard.NotRun, "the booking could not be claimed in the table; nothing was sent",
		burdockyard.WithRetryAfter(e.nextRetryAfter()), burdockyard.WithErr(err))
}

// nextRetryAfter spreads the callers who are told to come back, so that those who
// were refused in one second do not return in one.
func (e *Desk) nextRetryAfter() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if soonest := now.Add(minRetryAfter); e.lastRetryAt.Before(soonest) {
		e.lastRetryAt = soonest
	}
	e.lastRetryAt = e.lastRetryAt.Add(retryAfterSpacing)
	return e.lastRetryAt.Sub(now)
}

func requestHash(req burdockyard.ServiceRequest) string {
	h := sha256.New()
	h.Write([]byte(req.Method + " " + req.Path + "\n"))
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// claim writes the row, over none or a free one, and returns its version. After an error other than
// ErrConflict the attempt is abandoned: it will not be sent, and Sweep frees the
// row if it appears after all.
func (e *Desk) claim(ctx context.Context, key string, rec record, freeVersion uint64) (uint64, error) {
	e.addAttempt(rec.Attempt, key)
	err := e.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: key, Version: freeVersion}},
		Writes: []burdockyard.Write{{Key: key, Value: encodeRecord(rec)}},
	})
	if err == nil {
		return freeVersion + 1, nil
	}
	notWritten := errors.Is(err, burdockyard.ErrConflict) || errors.Is(err, burdockyard.ErrUnavailable)
	if notWritten {
		e.removeAttempt(rec.Attempt)
		return 0, err
	}
	row, got, readErr := e.readRow(ctx, key)
	if readErr == nil && got.Attempt == rec.Attempt {
		return row.Version, nil
	}
	e.markAbandoned(rec.Attempt)
	if readErr == nil && row.Exists() {
		return 0, burdockyard.ErrConflict
	}
	return 0, err
}

func (e *Desk) readRow(ctx context.Context, key string) (burdockyard.Row, record, error) {
	var rec record
	rows, err := e.table.Get(ctx, key)
	if err != nil {
		return burdockyard.Row{}, rec, err
	}
	if rows[0].Exists() {
		if err := json.Unmarshal(rows[0].Value, &rec); err != nil {
			return rows[0], rec, merry.Prependf(err, "row %s", key)
		}
	}
	return rows[0], rec, nil
}

// resolveExisting answers a call whose key has a row already, or returns the row if it is
// free to be claimed.
func (e *Desk) resolveExisting(ctx context.Context, key, bodyHash string) (resp burdockyard.ServiceResponse, free *burdockyard.Row, err error) {
	for {
		row, rec, err := e.readRow(ctx, key)
		if err != nil {
			return resp, nil, outcomeUnknownError("the table did not say what became of the first call with this key", err)
		}
		if !row.Exists() || rec.State == stateFree {
			return resp, &row, nil
		}
		if rec.BodyHash != bodyHash {
			return resp, nil, burdockyard.NewCallError(burdockyard.Invalid,
				"the idempotency key was used for another request; use a new key", burdockyard.WithStatus(422))
		}
		if rec.State == stateDone {
			return *rec.Result, nil, nil
		}
		if rec.State == stateUnknown {
			return resp, nil, outcomeUnknownError("the first call with this key was sent and its outcome is not known", nil)
		}
		resp, result, err := e.waitForClaimant(ctx, row, rec)
		if result == waitAnswered {
			return resp, nil, err
		}
		if err != nil && !sleep(ctx, e.pollInterval) {
			return resp, nil, outcomeUnknownError("the table did not let the first claim with this key be freed", err)
		}
	}
}

type waitResult int

const (
	waitReread waitResult = iota
	waitAnswered
)

// waitForClaimant waits a little for the process that sends the attempt.
func (e *Desk) waitForClaimant(ctx context.Context, row burdockyard.Row, rec record) (burdockyard.ServiceResponse, waitResult, error) {
	if rec.Claimant == e.self {
		return e.waitForOwnAttempt(ctx, row, rec)
	}
	sendState, err := e.claimants.SendState(ctx, rec.Claimant, rec.Attempt)
	if errors.Is(err, burdockyard.ErrNotFound) {
		return e.resolveLostClaim(ctx, row, rec)
	}
	if sendState == NeverSent {
		return burdockyard.ServiceResponse{}, waitReread, e.markFree(ctx, row)
	}
	if !sleep(ctx, e.pollInterval) {
		return burdockyard.ServiceResponse{}, waitAnswered, outcomeUnknownError("the first call with this key is still in progress", ctx.Err())
	}
	return burdockyard.ServiceResponse{}, waitReread, nil
}

// resolveLostClaim reads the row once more: the claimant may have recorded the
// result, and forgotten the attempt or stopped, after our read.
func (e *Desk) resolveLostClaim(ctx context.Context, row burdockyard.Row, rec record) (burdockyard.ServiceResponse, waitResult, error) {
	latest, _, err := e.readRow(ctx, row.Key)
	if err == nil && latest.Version != row.Version {
		return burdockyard.ServiceResponse{}, waitReread, nil
	}
	return burdockyard.ServiceResponse{}, waitAnswered,
		outcomeUnknownError("node "+string(rec.Claimant.Node)+" stopped before it recorded the outcome", nil)
}

func (e *Desk) waitForOwnAttempt(ctx context.Context, row burdockyard.Row, rec record) (burdockyard.ServiceResponse, waitResult, error) {
	e.mu.Lock()
	a := e.attempts[rec.Attempt]
	e.mu.Unlock()
	if a == nil {
		return e.resolveLostClaim(ctx, row, rec)
	}
	if e.ownState(rec.Attempt) == NeverSent {
		return burdockyard.ServiceResponse{}, waitReread, e.markFree(ctx, row)
	}
	select {
	case <-a.done:
		return a.resp, waitAnswered, a.err
	case <-ctx.Done():
		return burdockyard.ServiceResponse{}, waitAnswered, outcomeUnknownError("the first call with this key is still in progress", ctx.Err())
	}
}

// markFree lets a key be claimed again whose attempt will never be sent.
//
// The row stays and its version rises. If it were deleted, the next claim would
// insert it with the version of the last one, and a late copy of the delete
// would remove that claim while its call is on the way: a third caller would
// then run the booking again.
func (e *Desk) markFree(ctx context.Context, row burdockyard.Row) error {
	return e.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: row.Key, Version: row.Version}},
		Writes: []burdockyard.Write{{Key: row.Key, Value: encodeRecord(record{State: stateFree})}},
	})
}

func outcomeUnknownError(cause string, err error) error {
	return burdockyard.NewCallError(burdockyard.OutcomeUnknown, cause, burdockyard.WithErr(err))
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func encodeRecord(rec record) []byte {
	b, err := json.Marshal(rec)
	if err != nil {
		panic(err) // plain structs of strings and bytes always encode
	}
	return b
}
