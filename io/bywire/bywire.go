// Package bywire holds what the HTTP adapters share: JSON bodies, header names,
// HTTP clients, and the check whether a failed call was sent at all.
//
// # Usage
//
//	resp, err := client.Do(req)
//	if bywire.NotSent(err) { … no byte reached the peer … }
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

// HTTP headers exchanged between callers, nodes and endpoints.
const (
	HeaderRequestID         = "X-Request-Id"
	HeaderTenant            = "X-Tenant"
	HeaderClass             = "X-Class"
	HeaderDeadlineMillis    = "X-Deadline-Ms"
	HeaderIdempotencyKey    = "Idempotency-Key"
	HeaderLastEventID       = "Last-Event-ID"
	HeaderPriority          = "X-Priority"
	HeaderFirstIndex        = "X-First-Index"
	HeaderEngineIncarnation = "X-Engine-Incarnation"
	HeaderNotRun            = "X-Not-Run" // set by an endpoint that did not start the call
)

const (
	// MaxBodyBytes is the largest request or response body that is read, in bytes.
	MaxBodyBytes = 64 << 20
	// MaxHeadBytes limits the header of a reply, interim ones included, in bytes.
	MaxHeadBytes = 64 << 10
	// dialTimeout limits the time to set up a connection.
	dialTimeout = time.Second
	// maxIdleConnsPerHost limits the idle connections kept to one host.
	maxIdleConnsPerHost = 256
)

// ReadJSON decodes one JSON value from r, within the size limit for bodies.
func ReadJSON[T any](r io.Reader) (T, error) {
	var v T
	err := json.NewDecoder(io.LimitReader(r, MaxBodyBytes)).Decode(&v)
	return v, merry.Prepend(err, "decoding JSON")
}

// GetJSON sends a GET request to url and decodes the body as one JSON value. It
// does not check the status.
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
	defer DrainAndClose(resp.Body)
	return ReadJSON[T](resp.Body)
}

// WriteJSON writes a response with the status and v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the peer has disconnected
}

// NewClient returns an HTTP client that reuses idle connections.
func NewClient() *http.Client {
	return &http.Client{Transport: CheckReplies(newTransport(false))}
}

// NewUnpooledClient returns an HTTP client that opens a new connection for each
// call.
//
// net/http resends a request by itself if a reused connection turns out to be
// closed and the request counts as replayable, as a POST with an Idempotency-Key
// header does. It never does so on a new connection, where a failed dial is the
// only proof that a call was not sent.
func NewUnpooledClient() *http.Client {
	return &http.Client{Transport: CheckReplies(newTransport(true))}
}

func newTransport(disableKeepAlives bool) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: d.DialContext, DisableKeepAlives: disableKeepAlives,
		MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true, MaxResponseHeaderBytes: MaxHeadBytes,
	}
}

// LimitReplies makes c fail to read the body of a reply beyond limit bytes, and returns it.
func LimitReplies(c *http.Client, limit int64) *http.Client {
	c.Transport = limitedTransport{c.Transport, limit}
	return c
}

type limitedTransport struct {
	http.RoundTripper
	limit int64
}

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, t.limit)
	}
	return resp, err
}

// NotSent reports whether err, returned by a call of an HTTP client, means that
// the dial failed and so no byte of the request was sent.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// ConnectionRefused reports whether err is a refused connection: the peer's VM
// answered that nothing listens at the address.
func ConnectionRefused(err error) bool {
	return errors.Is(err, errConnRefused)
}

// DrainAndClose closes body after reading at most 64 KiB of what remains, so that
// the connection can be reused if the rest was short.
func DrainAndClose(body io.ReadCloser) {
	const maxDrainBytes = 64 << 10
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}
