package bywire

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard/core/bytransfer"
)

// ErrNoProgress means that a reply did not begin in time, or did not go on.
var ErrNoProgress = merry.Sentinel("the reply does not go on")

// InTime makes a call with do, and gives it up if the head of its reply has not come after headTime,
// or if the body makes no progress within limits.
func InTime(r *http.Request, headTime time.Duration, limits bytransfer.Limits, do func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	timer := time.AfterFunc(headTime, func() { cancel(ErrNoProgress) })
	resp, err := do(r.WithContext(ctx))
	if err != nil {
		timer.Stop()
		err = cmp.Or(noProgress(ctx), err)
		cancel(nil)
		return nil, err
	}
	b := &timedBody{body: resp.Body, ctx: ctx, cancel: cancel, timer: timer, progress: limits.Begin(time.Now())}
	b.resetTimer()
	resp.Body = b
	return resp, nil
}

// noProgress returns ErrNoProgress if ctx has ended for want of progress.
func noProgress(ctx context.Context) error {
	if cause := context.Cause(ctx); errors.Is(cause, ErrNoProgress) {
		return cause
	}
	return nil
}

// timedBody is a body that is given up if it makes no progress.
type timedBody struct {
	body     io.ReadCloser
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	progress bytransfer.Progress
}

func (b *timedBody) resetTimer() { b.timer.Reset(time.Until(b.progress.Deadline())) }

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.progress.Record(n, time.Now())
	switch {
	case err == nil:
		b.resetTimer()
	case !errors.Is(err, io.EOF):
		err = cmp.Or(noProgress(b.ctx), err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *timedBody) Close() error {
	b.timer.Stop()
	err := b.body.Close()
	b.cancel(nil)
	return err
}

// LimitTime makes calls of c fail whose reply does not begin or go on within limits, and returns c.
func LimitTime(c *http.Client, limits bytransfer.Limits) *http.Client {
	c.Transport = timedTransport{c.Transport, limits}
	return c
}

type timedTransport struct {
	http.RoundTripper
	limits bytransfer.Limits
}

// RoundTrip implements http.RoundTripper.
func (t timedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return InTime(r, t.limits.Idle, t.limits, t.RoundTripper.RoundTrip)
}
