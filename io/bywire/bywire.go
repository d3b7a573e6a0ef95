// Package bywire holds what the HTTP adapters share: JSON bodies, header names,
// and telling a call that was never sent from one that was.
//
// # Usage
//
//	resp, err := client.Do(req)
//	if bywire.NotSent(err) { … the peer got no byte … }
//	v, err := bywire.ReadJSON[reply](resp.Body)
package bywire

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Headers between callers, nodes and endpoints.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderTenant      = "X-Tenant"
	HeaderClass       = "X-Class"
	HeaderDeadline    = "X-Deadline-Ms"
	HeaderKey         = "Idempotency-Key"
	HeaderLastEventID = "Last-Event-ID"
	HeaderPriority    = "X-Priority"
	HeaderFirstIndex  = "X-First-Index"
	HeaderIncarnation = "X-Engine-Incarnation"
	HeaderNotRun      = "X-Not-Run" // set by an endpoint that did not start the call
)

const (
	// MaxBody bounds a request body, in bytes.
	MaxBody = 64 << 20
	// dialTimeout bounds setting up a connection.
	dialTimeout = time.Second
	// maxIdleConnsPerHost is how many idle connections are kept to one endpoint.
	maxIdleConnsPerHost = 256
)

// ReadJSON decodes one JSON value.
func ReadJSON[T any](r io.Reader) (T, error) {
	var v T
	err := json.NewDecoder(io.LimitReader(r, MaxBody)).Decode(&v)
	return v, merry.Prepend(err, "decoding JSON")
}

// GetJSON fetches one JSON value.
func GetJSON[T any](ctx context.Context, url string) (T, error) {
	var zero T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return zero, merry.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return zero, merry.Wrap(err)
	}
	defer Discard(resp.Body)
	return ReadJSON[T](resp.Body)
}

// WriteJSON writes one JSON value with a status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the peer is gone if this fails
}

// NewClient returns a client that keeps connections.
func NewClient() *http.Client {
	return &http.Client{Transport: newTransport(false)}
}

// NewOnceClient returns a client that opens a connection for each call.
//
// net/http sends a call again by itself when a kept connection turns out to be
// dead and the call counts as replayable, which a POST with an Idempotency-Key
// header does. On a fresh connection it never does, and a failed dial is then
// the only way in which a call was certainly not sent.
func NewOnceClient() *http.Client {
	return &http.Client{Transport: newTransport(true)}
}

func newTransport(disableKeepAlives bool) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: d.DialContext, DisableKeepAlives: disableKeepAlives,
		MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true,
	}
}

// NotSent reports whether the error of a client call means that no byte was sent.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Refused reports whether the peer's VM answered that nothing listens there.
func Refused(err error) bool {
	return errors.Is(err, errConnRefused)
}

// Discard reads a little of a body and closes it, so that its connection can
// be used again.
func Discard(body io.ReadCloser) {
	const maxDrainBytes = 64 << 10
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}
