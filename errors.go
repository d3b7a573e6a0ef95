package burdockyard

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Sentinel errors of the platform. Any other error of a platform call means
// that the outcome is not known: the call may still take effect.
var (
	// ErrConflict means that a check of a transaction failed and nothing was written.
	ErrConflict = merry.Sentinel("conflict")
	// ErrUnavailable means that the platform refused the call before doing anything.
	ErrUnavailable = merry.Sentinel("platform unavailable")
	// ErrHistoryGone means that the store no longer knows what has changed since
	// the version that was asked for.
	ErrHistoryGone = merry.Sentinel("history no longer kept")
	// ErrUnreadable means that a row holds something that cannot be understood.
	ErrUnreadable = merry.Sentinel("unreadable")
	// ErrNotFound means that no such object exists.
	ErrNotFound = merry.Sentinel("not found")
)

// Sentinel errors of endpoints.
var (
	// ErrNotStarted means that no byte of the call reached the endpoint, or that
	// the endpoint itself said that it did not start the call.
	ErrNotStarted = merry.Sentinel("call not started")
	// ErrInterrupted means that the answer ended before it was whole.
	ErrInterrupted = merry.Sentinel("answer interrupted")
	// ErrStreamGone means that the engine no longer knows the stream.
	ErrStreamGone = merry.Sentinel("stream gone")
	// ErrStaleOrder means that the engine refused an order with an old fencing number.
	ErrStaleOrder = merry.Sentinel("stale order")
	// ErrCrossed means that an answer carried the id of another request.
	ErrCrossed = merry.Sentinel("answer belongs to another request")
)

// Sentinel errors of authority.
var (
	// ErrNoAuthority means that this process does not hold the shard's lease.
	ErrNoAuthority = merry.Sentinel("no authority")
	// ErrUnproven means that a former holder may still be able to send orders to
	// an engine that ignores fencing numbers.
	ErrUnproven = merry.Sentinel("former holder not proved stopped")
	// ErrBusy means that the engine still has calls that an order would cut.
	ErrBusy = merry.Sentinel("engine has open calls")
	// ErrOrderOpen means that the engine's previous order is not concluded yet.
	ErrOrderOpen = merry.Sentinel("another order is open")
)

// Outcome is what a caller may conclude about a call that gave no answer.
type Outcome string

// The outcomes of a call, as they appear in the error body.
const (
	NotRun         Outcome = "not_run"         // nothing of it ran; safe to send again
	OutcomeUnknown Outcome = "outcome_unknown" // it may have run
	Failed         Outcome = "failed"          // it ran and failed
	Invalid        Outcome = "invalid"         // the request itself is wrong
)

// CallError is the final answer to a call that gave no result. It is typed, so
// that the surface needs no knowledge of what went wrong inside.
type CallError struct {
	outcome    Outcome
	cause      string
	status     int
	retryAfter time.Duration
	err        error
}

// CallErrorOption sets an optional part of a CallError.
type CallErrorOption func(*CallError)

// WithRetryAfter tells the caller when to come back.
func WithRetryAfter(d time.Duration) CallErrorOption {
	return func(e *CallError) { e.retryAfter = d }
}

// WithStatus sets the HTTP status, where the outcome's usual one does not fit.
func WithStatus(status int) CallErrorOption {
	return func(e *CallError) { e.status = status }
}

// WithErr keeps the error below, for errors.Is and logs.
func WithErr(err error) CallErrorOption {
	return func(e *CallError) { e.err = err }
}

// NewCallError returns the final answer with an outcome and a cause in a short
// sentence for the caller.
func NewCallError(outcome Outcome, cause string, opts ...CallErrorOption) *CallError {
	e := &CallError{outcome: outcome, cause: cause}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Error implements error.
func (e *CallError) Error() string { return string(e.outcome) + ": " + e.cause }

// Unwrap returns the error below, or nil.
func (e *CallError) Unwrap() error { return e.err }

// Outcome returns what the caller may conclude.
func (e *CallError) Outcome() Outcome { return e.outcome }

// Cause returns the sentence for the caller.
func (e *CallError) Cause() string { return e.cause }

// RetryAfter returns when to come back; zero means that returning will not help.
func (e *CallError) RetryAfter() time.Duration { return e.retryAfter }

// Status returns the HTTP status.
func (e *CallError) Status() int {
	if e.status != 0 {
		return e.status
	}
	switch e.outcome {
	case NotRun:
		return 503
	case OutcomeUnknown:
		return 504
	case Invalid:
		return 400
	default:
		return 502
	}
}
