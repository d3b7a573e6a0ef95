// Package bycall is the client library for callers. It fetches the addresses of
// the nodes and caches them for as long as the system allows, resumes a
// completion that was interrupted, and retries after the delay that the system
// asks for.
//
// # Usage
//
//	c := bycall.New([]string{"10.0.0.1:8080"}, bycall.WithTenant("jadepeak"))
//	result, err := c.Complete(ctx, bycall.CompletionRequest{Model: "quote", Prompt: "…", MaxTokens: 100}, nil)
//	resp, err := c.CallService(ctx, bycall.ServiceCall{Service: "booking", Method: "POST", Path: "/dispatch", IdempotencyKey: key})
package bycall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/io/byhttp"
	"burdockyard/io/bywire"
)

const (
	// maxConnectionFailures is how often one call may find no node or lose its
	// connection and still be retried.
	maxConnectionFailures = 12
	// reconnectDelay is the delay before retrying after a connection failure.
	reconnectDelay = 100 * time.Millisecond
	// addressTimeout is the timeout for fetching the addresses from one node.
	addressTimeout = 2 * time.Second
)

// ErrNoAddress means that no known node answered.
var ErrNoAddress = merry.Sentinel("no node answered")

// Client calls the system. It is safe for concurrent use. mu is a leaf lock: no
// other lock of this module is taken while it is held.
type Client struct {
	httpClient *http.Client
	seeds      []string
	tenant     string
	class      string
	domain     string

	mu             sync.Mutex
	knownAddresses []byhttp.Address
	addressExpiry  time.Time
	currentAddress string
}

// Option configures a Client.
type Option func(*Client)

// WithTenant sets the tenant of all calls.
func WithTenant(t string) Option { return func(c *Client) { c.tenant = t } }

// WithClass sets the class of all calls.
func WithClass(class string) Option { return func(c *Client) { c.class = class } }

// WithDomain makes the client prefer nodes in the failure domain.
func WithDomain(d string) Option { return func(c *Client) { c.domain = d } }

// New returns a Client that fetches its first node addresses from the seeds,
// each of them host:port.
func New(seeds []string, opts ...Option) *Client {
	c := &Client{httpClient: bywire.NewClient(), seeds: seeds}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// address returns the address to use. Once the cached addresses have expired, it
// fetches them and picks again; if that fails, it picks among the old ones.
func (c *Client) address(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.currentAddress != "" && time.Now().Before(c.addressExpiry) {
		return c.currentAddress, nil
	}
	if err := c.refreshAddresses(ctx); err != nil && len(c.knownAddresses) == 0 {
		return "", err
	}
	c.currentAddress = c.pickAddress()
	return c.currentAddress, nil
}

// refreshAddresses fetches the addresses from the seeds and known nodes, in
// random order, until one answers. The caller must hold mu.
func (c *Client) refreshAddresses(ctx context.Context) error {
	nodes := append([]string(nil), c.seeds...)
	for _, a := range c.knownAddresses {
		nodes = append(nodes, a.Address)
	}
	for _, i := range rand.Perm(len(nodes)) {
		reply, err := c.fetchAddresses(ctx, nodes[i])
		if err == nil && len(reply.Addresses) > 0 {
			c.knownAddresses = reply.Addresses
			c.addressExpiry = time.Now().Add(time.Duration(reply.TTLSeconds * float64(time.Second)))
			return nil
		}
	}
	return ErrNoAddress
}

func (c *Client) fetchAddresses(ctx context.Context, node string) (byhttp.AddressList, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/v1/addresses", nil)
	if err != nil {
		return byhttp.AddressList{}, merry.Wrap(err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return byhttp.AddressList{}, merry.Wrap(err)
	}
	defer bywire.DrainAndClose(resp.Body)
	return bywire.ReadJSON[byhttp.AddressList](resp.Body)
}

// pickAddress returns a random known address, in the preferred failure domain if
// it has any. The caller must hold mu.
func (c *Client) pickAddress() string {
	var candidates []byhttp.Address
	for _, a := range c.knownAddresses {
		if a.Domain == c.domain {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		candidates = c.knownAddresses
	}
	return candidates[rand.IntN(len(candidates))].Address
}

// forgetAddress removes an address that failed and expires the cache, so that
// the next call fetches the addresses again.
func (c *Client) forgetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.currentAddress == addr {
		c.currentAddress = ""
	}
	c.addressExpiry = time.Time{}
	var remaining []byhttp.Address
	for _, a := range c.knownAddresses {
		if a.Address != addr {
			remaining = append(remaining, a)
		}
	}
	c.knownAddresses = remaining
}

// send makes one request to the current address and returns that address with
// the response.
func (c *Client) send(ctx context.Context, method, path string, body []byte, header map[string]string) (*http.Response, string, error) {
	addr, err := c.address(ctx)
	if err != nil {
		return nil, "", err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, addr, merry.Wrap(err)
	}
	for name, value := range header {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if c.tenant != "" {
		req.Header.Set(bywire.HeaderTenant, c.tenant)
	}
	if c.class != "" {
		req.Header.Set(bywire.HeaderClass, c.class)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		c.forgetAddress(addr)
		return nil, addr, merry.Wrap(err)
	}
	return resp, addr, nil
}

// CallError is an error response of the system.
type CallError struct{ Detail byhttp.ErrorDetail }

// Error implements error.
func (e *CallError) Error() string { return string(e.Detail.Type) + ": " + e.Detail.Cause }

// callError returns the error in the body of a response.
func callError(resp *http.Response) error {
	body, err := bywire.ReadJSON[byhttp.ErrorBody](resp.Body)
	if err != nil || body.Error.Type == "" {
		return merry.Errorf("the node returned status %d without an error body", resp.StatusCode)
	}
	return &CallError{Detail: body.Error}
}

// retryDelay returns how long to wait before the next attempt, and whether the
// error is retryable.
func retryDelay(err error) (time.Duration, bool) {
	var call *CallError
	if !errors.As(err, &call) {
		return reconnectDelay, true
	}
	retryable := call.Detail.Type == burdockyard.OutcomeNotRun || call.Detail.Type == burdockyard.OutcomeFailed
	return time.Duration(call.Detail.RetryAfterMs) * time.Millisecond, retryable && call.Detail.RetryAfterMs > 0
}

// retry calls attempt until it succeeds, returns an error that is not retryable,
// has too many connection failures, or ctx ends. Retries that the system asked
// for are limited only by ctx.
func retry(ctx context.Context, attempt func() error) error {
	connectionFailures := 0
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		delay, retryable := retryDelay(err)
		if delay == reconnectDelay {
			connectionFailures++
		}
		if !retryable || connectionFailures > maxConnectionFailures {
			return err
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Service        string
	Method         string
	Path           string // with a leading slash
	IdempotencyKey string // idempotency key, may be empty
	Body           []byte
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status int
	Body   []byte
}

// CallService calls a plain service. With a key, a retry after a lost connection
// is safe: the system replays the first response.
func (c *Client) CallService(ctx context.Context, call ServiceCall) (ServiceResponse, error) {
	var response ServiceResponse
	err := retry(ctx, func() error {
		resp, addr, err := c.send(ctx, call.Method, "/svc/"+call.Service+call.Path, call.Body, map[string]string{bywire.HeaderIdempotencyKey: call.IdempotencyKey})
		if err != nil {
			return err
		}
		defer bywire.DrainAndClose(resp.Body)
		if resp.Header.Get("Retry-After") != "" || resp.StatusCode >= http.StatusInternalServerError {
			return callError(resp)
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, bywire.MaxBodyBytes))
		if err != nil {
			c.forgetAddress(addr)
			return merry.Wrap(err)
		}
		response = ServiceResponse{Status: resp.StatusCode, Body: body}
		return nil
	})
	return response, err
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

func milliseconds(d time.Duration) string { return strconv.Itoa(int(d.Milliseconds())) }
