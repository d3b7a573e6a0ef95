package burdockyard

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Sentinel errors of the platform. Any other error of a platform call means that
// its outcome is unknown: the call may have taken effect or may still do so.
var (
	// ErrConflict means that a check of a transaction failed and nothing was
	// written.
	ErrConflict = merry.Sentinel("conflict")
	// ErrEraChanged means that a row was read in another era of the store than the one
	// in which its check was evaluated. Something may have been written.
	ErrEraChanged = merry.Sentinel("store was restored from an older copy")
	// ErrUnavailable means that the platform rejected the call without effect.
	ErrUnavailable = merry.Sentinel("platform unavailable")
	// ErrHistoryGone means that the store no longer keeps the changes since the
	// requested version.
	ErrHistoryGone = merry.Sentinel("history no longer kept")
	// ErrMalformed means that a row or a message has contents that cannot be
	// decoded.
	ErrMalformed = merry.Sentinel("unreadable")
	// ErrNotFound means that the requested object does not exist.
	ErrNotFound = merry.Sentinel("not found")
)

// Sentinel errors of endpoints.
var (
	// ErrNotStarted means that no byte of the call reached the endpoint, or that
	// the endpoint reported that it did not start the call.
	ErrNotStarted = merry.Sentinel("call not started")
	// ErrInterrupted means that the response ended before it was complete.
	ErrInterrupted = merry.Sentinel("answer interrupted")
	// ErrStreamGone means that the engine does not have the stream, or no longer
	// has it.
	ErrStreamGone = merry.Sentinel("stream gone")
	// ErrStaleOrder means that the engine rejected an order whose fencing token is
	// too old.
	ErrStaleOrder = merry.Sentinel("stale order")
	// ErrRequestMismatch means that a response carried the ID of another request.
	ErrRequestMismatch = merry.Sentinel("answer belongs to another request")
)

// Sentinel errors of orders to engines.
var (
	// ErrNoAuthority means that this process does not hold the shard's lease.
	ErrNoAuthority = merry.Sentinel("no authority")
	// ErrFormerHolderUnproven means that a former lease holder may still be able to
	// send orders to an engine that does not check fencing tokens.
	ErrFormerHolderUnproven = merry.Sentinel("former holder not proved stopped")
	// ErrEngineBusy means that the engine still has open calls that an order would
	// interrupt.
	ErrEngineBusy = merry.Sentinel("engine has open calls")
	// ErrOrderPending means that the engine's previous order has not been concluded.
	ErrOrderPending = merry.Sentinel("another order is open")
)

// Outcome says whether a call that returned no response may have run.
type Outcome string

// The outcomes of a call, as written in the error body.
const (
	OutcomeNotRun  Outcome = "not_run"         // the call did not run and is safe to send again
	OutcomeUnknown Outcome = "outcome_unknown" // the call may have run
	OutcomeFailed  Outcome = "failed"          // the call ran and failed
	OutcomeInvalid Outcome = "invalid"         // the request itself is invalid
)

// CallError is the final error of a call, as returned to the caller. It carries
// all that the HTTP layer needs to write the error response.
type CallError struct {
	outcome    Outcome
	cause      string
	status     int
	retryAfter time.Duration
	err        error
}

// CallErrorOption sets an optional field of a CallError.
type CallErrorOption func(*CallError)

// WithRetryAfter sets the time after which the caller should retry.
func WithRetryAfter(d time.Duration) CallErrorOption {
	return func(e *CallError) { e.retryAfter = d }
}

// WithStatus overrides the HTTP status that the outcome implies.
func WithStatus(status int) CallErrorOption {
	return func(e *CallError) { e.status = status }
}

// WithErr sets the underlying error, for errors.Is and logs.
func WithErr(err error) CallErrorOption {
	return func(e *CallError) { e.err = err }
}

// NewCallError returns a CallError with an outcome and a cause, which is a short
// text for the caller.
func NewCallError(outcome Outcome, cause string, opts ...CallErrorOption) *CallError {
	e := &CallError{outcome: outcome, cause: cause}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Error returns the outcome and the cause.
func (e *CallError) Error() string { return string(e.outcome) + ": " + e.cause }

// Unwrap returns the underlying error, or nil.
func (e *CallError) Unwrap() error { return e.err }

// Outcome returns whether the call may have run.
func (e *CallError) Outcome() Outcome { return e.outcome }

// Cause returns the text for the caller.
func (e *CallError) Cause() string { return e.cause }

// RetryAfter returns the time after which to retry; zero means that a retry will
// not help.
func (e *CallError) RetryAfter() time.Duration { return e.retryAfter }

// Status returns the HTTP status: the one set by WithStatus, or else the usual one
// of the outcome.
func (e *CallError) Status() int {
	if e.status != 0 {
		return e.status
	}
	switch e.outcome {
	case OutcomeNotRun:
		return 503
	case OutcomeUnknown:
		return 504
	case OutcomeInvalid:
		return 400
	default:
		return 502
	}
}
