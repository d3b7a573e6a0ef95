// Package bybooking runs non-idempotent calls at most once per idempotency key,
// also when nodes, endpoints or the table fail.
//
// # Usage
//
//	executor := bybooking.New(table, clock, self)
//	resp, err := executor.Call(ctx, call) // tenant, idempotency key, request, endpoints
//	for each tick { executor.Sweep(ctx) } // about once a second
//
// # Row
//
// The row booking/<tenant>/<key hash> is inserted before the first byte is sent
// to an endpoint. It identifies the attempt and its claimant, the process that
// inserted it. Only the claimant sends the attempt, and only once. Afterwards
// the row holds the result, which is returned to every later call with the same
// key, or it is marked free if nothing was sent. Rows are never deleted.
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
	// DefaultAttemptLimit is the timeout of one attempt over all its endpoints.
	DefaultAttemptLimit = 60 * time.Second
	// DefaultPollInterval is the interval at which a row claimed by another process
	// is read again.
	DefaultPollInterval = 250 * time.Millisecond
	// minRetryAfter is the shortest retry delay given to a caller whose call did
	// not run.
	minRetryAfter = time.Second
	// retryAfterSpacing separates the retry times given to successive callers.
	retryAfterSpacing = 5 * time.Millisecond
	// maxClaimTries is the number of times that one call tries to claim its row.
	maxClaimTries = 4
)

type state string

const (
	stateClaimed state = "claimed"
	stateDone    state = "done"
	stateUnknown state = "unknown"
	stateFree    state = "free" // the attempt was not sent; the key may be claimed again
)

// record is the JSON value of a booking row.
type record struct {
	BodyHash string                       `json:"body_hash"`
	Attempt  string                       `json:"attempt"`
	Claimant burdockyard.Member           `json:"claimant"`
	State    state                        `json:"state"`
	Result   *burdockyard.ServiceResponse `json:"result,omitempty"`
}

// RowKey returns the key of the booking row for a tenant's idempotency key.
func RowKey(tenant burdockyard.Tenant, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return "booking/" + string(tenant) + "/" + hex.EncodeToString(sum[:16])
}

// SendState tells whether a claimant has sent one of its attempts.
type SendState int

// The send states of an attempt.
const (
	SendUnknown SendState = iota // the claimant does not know the attempt or no longer runs
	NeverSent                    // the attempt was not sent and never will be
	MayBeSent                    // the attempt was sent or is about to be
)

// ClaimantClient queries other nodes about their attempts.
type ClaimantClient interface {
	// SendState asks a member about one of its attempts. A member that has
	// answered [NeverSent] must never send the attempt. ErrNotFound means that the
	// process no longer runs.
	SendState(ctx context.Context, m burdockyard.Member, attempt string) (SendState, error)
}

// Call is one call that must run at most once.
type Call struct {
	Tenant         burdockyard.Tenant
	IdempotencyKey string // unique within the tenant
	Request        burdockyard.ServiceRequest
	Endpoints      []burdockyard.Service // in the order in which they are tried
}

// Executor claims, sends and records calls. Its methods are safe for concurrent
// use. No other lock is taken while mu is held.
type Executor struct {
	table          burdockyard.Table
	clock          burdockyard.Clock
	self           burdockyard.Member
	claimantClient ClaimantClient
	attemptLimit   time.Duration
	pollInterval   time.Duration

	mu              sync.Mutex
	attempts        map[string]*attempt // unfinished attempts of this process, by token
	lastRetryAt     time.Time           // latest retry time given to a refused caller
	runningAttempts sync.WaitGroup
}

// attempt is the in-memory state of an attempt claimed by this process.
type attempt struct {
	rowKey        string
	abandoned     bool          // the attempt is never sent, and its row must be freed
	abandonedAt   time.Time     // time at which the attempt was abandoned
	done          chan struct{} // closed once resp and err are set
	resp          burdockyard.ServiceResponse
	err           error
	unsavedRecord *record // outcome that is not yet written to the table
	rowVersion    uint64
}

// Option is an optional setting for [New].
type Option func(*Executor)

// WithClaimantClient sets the client that queries other nodes about their
// attempts. Without it the send state of those attempts is always unknown.
func WithClaimantClient(c ClaimantClient) Option { return func(e *Executor) { e.claimantClient = c } }

// WithAttemptLimit sets the timeout of one attempt over all its endpoints.
func WithAttemptLimit(limit time.Duration) Option {
	return func(e *Executor) { e.attemptLimit = limit }
}

// New returns the [Executor] that claims calls in the name of the process self.
func New(table burdockyard.Table, clock burdockyard.Clock, self burdockyard.Member, opts ...Option) *Executor {
	e := &Executor{
		table: table, clock: clock, self: self, claimantClient: noClaimantClient{},
		attemptLimit: DefaultAttemptLimit, pollInterval: DefaultPollInterval, attempts: map[string]*attempt{},
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

// Call claims the idempotency key, sends the request once and returns the
// response. If the key was used before, Call returns the recorded response
// instead. Every error is a *burdockyard.CallError.
func (e *Executor) Call(ctx context.Context, c Call) (burdockyard.ServiceResponse, error) {
	rowKey := RowKey(c.Tenant, c.IdempotencyKey)
	var freeVersion uint64 // version of the free row to claim; 0 if there is no row
	for range maxClaimTries {
		rec := record{
			BodyHash: requestHash(c.Request), Attempt: string(burdockyard.NewRequestID()),
			Claimant: e.self, State: stateClaimed,
		}
		version, err := e.claim(ctx, rowKey, rec, freeVersion)
		if err == nil {
			return e.startAndWait(ctx, c, rowKey, rec, version)
		}
		if !errors.Is(err, burdockyard.ErrConflict) {
			return burdockyard.ServiceResponse{}, e.claimError(err)
		}
		resp, free, err := e.resolveExisting(ctx, rowKey, rec.BodyHash)
		if free == nil {
			return resp, err
		}
		freeVersion = free.Version
	}
	return burdockyard.ServiceResponse{}, e.claimError(burdockyard.ErrConflict)
}

func (e *Executor) claimError(err error) error {
	return burdockyard.NewCallError(burdockyard.OutcomeNotRun, "the booking could not be claimed in the table; nothing was sent",
		burdockyard.WithRetryAfter(e.nextRetryAfter()), burdockyard.WithErr(err))
}

// nextRetryAfter returns the delay after which a refused caller should retry. It
// spaces the retry times, so that callers refused within one second do not all
// retry within one second.
func (e *Executor) nextRetryAfter() time.Duration {
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

// claim inserts the row, or replaces the free row of version freeVersion, and
// returns the new version. If the outcome of the write is unknown, the attempt
// is abandoned: it is never sent, and [Executor.Sweep] frees the row if the write
// takes effect later.
func (e *Executor) claim(ctx context.Context, rowKey string, rec record, freeVersion uint64) (uint64, error) {
	e.addAttempt(rec.Attempt, rowKey)
	err := e.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: rowKey, Version: freeVersion}},
		Writes: []burdockyard.Write{{Key: rowKey, Value: encodeRecord(rec)}},
	})
	if err == nil {
		return freeVersion + 1, nil
	}
	notWritten := errors.Is(err, burdockyard.ErrConflict) || errors.Is(err, burdockyard.ErrUnavailable)
	if notWritten {
		e.removeAttempt(rec.Attempt)
		return 0, err
	}
	row, got, readErr := e.readRow(ctx, rowKey)
	if readErr == nil && got.Attempt == rec.Attempt {
		return row.Version, nil
	}
	e.markAbandoned(rec.Attempt)
	if readErr == nil && row.Exists() {
		return 0, burdockyard.ErrConflict
	}
	return 0, err
}

func (e *Executor) readRow(ctx context.Context, rowKey string) (burdockyard.Row, record, error) {
	var rec record
	rows, err := e.table.Get(ctx, rowKey)
	if err != nil {
		return burdockyard.Row{}, rec, err
	}
	if rows[0].Exists() {
		if err := json.Unmarshal(rows[0].Value, &rec); err != nil {
			return rows[0], rec, merry.Prependf(err, "row %s", rowKey)
		}
	}
	return rows[0], rec, nil
}

// resolveExisting returns the outcome of a call whose key already has a row. It
// waits while the first attempt is in progress. If the key can be claimed, it
// returns the row as free and no outcome.
func (e *Executor) resolveExisting(ctx context.Context, rowKey, bodyHash string) (resp burdockyard.ServiceResponse, free *burdockyard.Row, err error) {
	for {
		row, rec, err := e.readRow(ctx, rowKey)
		if err != nil {
			return resp, nil, outcomeUnknownError("the table did not say what became of the first call with this key", err)
		}
		if !row.Exists() || rec.State == stateFree {
			return resp, &row, nil
		}
		if rec.BodyHash != bodyHash {
			return resp, nil, burdockyard.NewCallError(burdockyard.OutcomeInvalid,
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

// waitResult tells how a call continues after it waited for the claimant.
type waitResult int

const (
	waitReread   waitResult = iota // the row must be read again
	waitAnswered                   // the response or error is final
)

// waitForClaimant waits for the claimant of an attempt. If that is this process,
// it waits for the outcome. Otherwise it asks the claimant for the send state, and
// waits for one poll interval unless the attempt was never sent or the claimant no
// longer runs.
func (e *Executor) waitForClaimant(ctx context.Context, row burdockyard.Row, rec record) (burdockyard.ServiceResponse, waitResult, error) {
	if rec.Claimant == e.self {
		return e.waitForOwnAttempt(ctx, row, rec)
	}
	sendState, err := e.claimantClient.SendState(ctx, rec.Claimant, rec.Attempt)
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

// resolveLostClaim reads the row again when the claimant does not know the
// attempt. The claimant may have recorded the result after the previous read and
// then dropped the attempt or stopped. If the row is unchanged, the outcome is
// unknown.
func (e *Executor) resolveLostClaim(ctx context.Context, row burdockyard.Row, rec record) (burdockyard.ServiceResponse, waitResult, error) {
	latest, _, err := e.readRow(ctx, row.Key)
	if err == nil && latest.Version != row.Version {
		return burdockyard.ServiceResponse{}, waitReread, nil
	}
	return burdockyard.ServiceResponse{}, waitAnswered,
		outcomeUnknownError("node "+string(rec.Claimant.Node)+" stopped before it recorded the outcome", nil)
}

func (e *Executor) waitForOwnAttempt(ctx context.Context, row burdockyard.Row, rec record) (burdockyard.ServiceResponse, waitResult, error) {
	e.mu.Lock()
	a := e.attempts[rec.Attempt]
	e.mu.Unlock()
	if a == nil {
		return e.resolveLostClaim(ctx, row, rec)
	}
	if e.localSendState(rec.Attempt) == NeverSent {
		return burdockyard.ServiceResponse{}, waitReread, e.markFree(ctx, row)
	}
	select {
	case <-a.done:
		return a.resp, waitAnswered, a.err
	case <-ctx.Done():
		return burdockyard.ServiceResponse{}, waitAnswered, outcomeUnknownError("the first call with this key is still in progress", ctx.Err())
	}
}

// markFree marks the row of an attempt that is never sent, so that the key can
// be claimed again.
//
// The row is kept and its version increases. If it were deleted, the next claim
// would insert a row with the same version as the deleted one. A delayed
// duplicate of the delete would then remove that claim while its call is in
// progress, and a third caller would run the call again.
func (e *Executor) markFree(ctx context.Context, row burdockyard.Row) error {
	return e.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: row.Key, Version: row.Version}},
		Writes: []burdockyard.Write{{Key: row.Key, Value: encodeRecord(record{State: stateFree})}},
	})
}

func outcomeUnknownError(cause string, err error) error {
	return burdockyard.NewCallError(burdockyard.OutcomeUnknown, cause, burdockyard.WithErr(err))
}

// sleep waits for d and reports whether ctx was still active at the end.
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
		panic(err) // unreachable: JSON can encode every value of a record
	}
	return b
}
