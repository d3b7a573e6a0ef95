// Package bycall is a well-behaved caller: it asks the system which address to
// use, keeps the answer for its time, resumes an answer that was cut, and comes
// back when it is told to.
//
// # Usage
//
//	c := bycall.New([]string{"10.0.0.1:8080"}, bycall.WithTenant("jadepeak"))
//	answer, err := c.Complete(ctx, bycall.Completion{Model: "quote", Prompt: "…", MaxTokens: 100}, nil)
//	resp, err := c.Service(ctx, bycall.ServiceCall{Service: "booking", Method: "POST", Path: "/dispatch", Key: key})
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
	// maxCuts bounds how often one call finds no node or loses its connection.
	maxCuts = 12
	// cutPause is the pause after a cut connection.
	cutPause = 100 * time.Millisecond
	// askTimeout bounds asking one node for addresses.
	askTimeout = 2 * time.Second
)

// ErrNoAddress means that no known node answered.
var ErrNoAddress = merry.Sentinel("no node answered")

// Client calls the system. mu is a leaf lock.
type Client struct {
	http   *http.Client
	seeds  []string
	tenant string
	class  string
	domain string

	mu        sync.Mutex
	known     []byhttp.Address
	keepUntil time.Time
	current   string
}

// Option sets an optional part of a Client.
type Option func(*Client)

// WithTenant names the tenant.
func WithTenant(t string) Option { return func(c *Client) { c.tenant = t } }

// WithClass names the class.
func WithClass(class string) Option { return func(c *Client) { c.class = class } }

// WithDomain prefers nodes of a failure domain.
func WithDomain(d string) Option { return func(c *Client) { c.domain = d } }

// New returns a Client that first asks the seeds for addresses.
func New(seeds []string, opts ...Option) *Client {
	c := &Client{http: bywire.NewClient(), seeds: seeds}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// address returns the address to use, asking for it when the last answer is old.
func (c *Client) address(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != "" && time.Now().Before(c.keepUntil) {
		return c.current, nil
	}
	if err := c.ask(ctx); err != nil && len(c.known) == 0 {
		return "", err
	}
	c.current = c.choose()
	return c.current, nil
}

// ask reads the addresses from the first node that answers.
func (c *Client) ask(ctx context.Context) error {
	nodes := append([]string(nil), c.seeds...)
	for _, a := range c.known {
		nodes = append(nodes, a.Address)
	}
	for _, i := range rand.Perm(len(nodes)) {
		reply, err := c.askOne(ctx, nodes[i])
		if err == nil && len(reply.Addresses) > 0 {
			c.known = reply.Addresses
			c.keepUntil = time.Now().Add(time.Duration(reply.KeepSeconds * float64(time.Second)))
			return nil
		}
	}
	return ErrNoAddress
}

func (c *Client) askOne(ctx context.Context, node string) (byhttp.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/v1/addresses", nil)
	if err != nil {
		return byhttp.Addresses{}, merry.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return byhttp.Addresses{}, merry.Wrap(err)
	}
	defer bywire.Discard(resp.Body)
	return bywire.ReadJSON[byhttp.Addresses](resp.Body)
}

// choose returns a random address, of the preferred failure domain if there is one.
func (c *Client) choose() string {
	var near []byhttp.Address
	for _, a := range c.known {
		if a.Domain == c.domain {
			near = append(near, a)
		}
	}
	if len(near) == 0 {
		near = c.known
	}
	return near[rand.IntN(len(near))].Address
}

// drop forgets an address that did not answer, and asks again at the next call.
func (c *Client) drop(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == addr {
		c.current = ""
	}
	c.keepUntil = time.Time{}
	var left []byhttp.Address
	for _, a := range c.known {
		if a.Address != addr {
			left = append(left, a)
		}
	}
	c.known = left
}

// send makes one request to the current address.
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
	resp, err := c.http.Do(req)
	if err != nil {
		c.drop(addr)
		return nil, addr, merry.Wrap(err)
	}
	return resp, addr, nil
}

// CallError is a final answer without a result.
type CallError struct{ Detail byhttp.ErrorDetail }

// Error implements error.
func (e *CallError) Error() string { return string(e.Detail.Type) + ": " + e.Detail.Cause }

// callError reads the error body of an answer.
func callError(resp *http.Response) error {
	body, err := bywire.ReadJSON[byhttp.ErrorBody](resp.Body)
	if err != nil || body.Error.Type == "" {
		return merry.Errorf("the node answered %d", resp.StatusCode)
	}
	return &CallError{Detail: body.Error}
}

// pauseBefore returns how long to wait before another try, and whether there
// should be one.
func pauseBefore(err error) (time.Duration, bool) {
	var call *CallError
	if !errors.As(err, &call) {
		return cutPause, true
	}
	again := call.Detail.Type == burdockyard.NotRun || call.Detail.Type == burdockyard.Failed
	return time.Duration(call.Detail.RetryAfterMs) * time.Millisecond, again && call.Detail.RetryAfterMs > 0
}

// retry calls once until it succeeds, fails for good, or the time is up. A
// refused call comes back for as long as its context lasts.
func retry(ctx context.Context, once func() error) error {
	cuts := 0
	for {
		err := once()
		if err == nil {
			return nil
		}
		pause, again := pauseBefore(err)
		if pause == cutPause {
			cuts++
		}
		if !again || cuts > maxCuts {
			return err
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Service string
	Method  string
	Path    string // with a leading slash
	Key     string // idempotency key
	Body    []byte
}

// ServiceAnswer is a service's answer.
type ServiceAnswer struct {
	Status int
	Body   []byte
}

// Service makes a call of a plain service. With a key, sending it again after a
// cut is harmless: the system replays the first answer.
func (c *Client) Service(ctx context.Context, call ServiceCall) (ServiceAnswer, error) {
	var answer ServiceAnswer
	err := retry(ctx, func() error {
		resp, addr, err := c.send(ctx, call.Method, "/svc/"+call.Service+call.Path, call.Body, map[string]string{bywire.HeaderKey: call.Key})
		if err != nil {
			return err
		}
		defer bywire.Discard(resp.Body)
		if resp.Header.Get("Retry-After") != "" || resp.StatusCode >= http.StatusInternalServerError {
			return callError(resp)
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, bywire.MaxBody))
		if err != nil {
			c.drop(addr)
			return merry.Wrap(err)
		}
		answer = ServiceAnswer{Status: resp.StatusCode, Body: body}
		return nil
	})
	return answer, err
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

func milliseconds(d time.Duration) string { return strconv.Itoa(int(d.Milliseconds())) }
