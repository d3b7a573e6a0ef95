// Package byplatform implements the client of the platform's table service,
// object store and VM list. It speaks the HTTP protocol of the platform
// stand-in.
//
// # Usage
//
//	p := byplatform.New("http://10.0.0.1:7000")
//	rows, err := p.Table().Get(ctx, "manifest/current")
package byplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/io/bywire"
)

// DefaultTimeout limits the duration of one platform call unless WithTimeout is
// given.
const DefaultTimeout = 2 * time.Second

// GetRowsRequest is the body of a request for table rows by key.
type GetRowsRequest struct {
	Keys []string `json:"keys"`
}

// RowsReply is the response to a GetRowsRequest: one row for each key, in the
// order of the keys.
type RowsReply struct {
	Rows []burdockyard.Row `json:"rows"`
}

// VMsReply is the response to a request for the VM list.
type VMsReply struct {
	VMs []burdockyard.VM `json:"vms"`
}

// Platform is a client of one platform. Its methods may be called from several
// goroutines.
type Platform struct {
	baseURL string
	client  *http.Client
	timeout time.Duration
}

// Option configures a Platform.
type Option func(*Platform)

// WithTimeout limits the duration of one platform call.
func WithTimeout(d time.Duration) Option { return func(p *Platform) { p.timeout = d } }

// New returns a client of the platform at baseURL, which includes the scheme.
func New(baseURL string, opts ...Option) *Platform {
	p := &Platform{baseURL: baseURL, client: bywire.NewClient(), timeout: DefaultTimeout}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Table returns the client of the table service.
func (p *Platform) Table() burdockyard.Table { return table{p} }

// Objects returns the client of the object store.
func (p *Platform) Objects() burdockyard.ObjectStore { return objects{p} }

// send makes one HTTP request and returns the body of the response if its status
// is 200. It never retries, because only the caller can decide what to do when
// the outcome is unknown.
func (p *Platform) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, p.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	defer bywire.DrainAndClose(resp.Body)
	data, err := io.ReadAll(io.LimitReader(resp.Body, bywire.MaxBodyBytes))
	if err != nil {
		return nil, merry.Prepend(err, "platform answer cut")
	}
	return data, statusError(resp.StatusCode, data)
}

func transportError(err error) error {
	if bywire.NotSent(err) {
		return merry.Prepend(burdockyard.ErrUnavailable, err.Error())
	}
	return merry.Prepend(err, "calling the platform")
}

func statusError(status int, body []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return burdockyard.ErrConflict
	case http.StatusNotFound:
		return burdockyard.ErrNotFound
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return burdockyard.ErrUnavailable
	default:
		return merry.Errorf("platform returned status %d, expected 200: %.200s", status, body)
	}
}

func postJSON[Req, Resp any](ctx context.Context, p *Platform, path string, req Req) (Resp, error) {
	var resp Resp
	body, err := json.Marshal(req)
	if err != nil {
		return resp, merry.Wrap(err)
	}
	data, err := p.send(ctx, http.MethodPost, path, body)
	if err != nil {
		return resp, err
	}
	return bywire.ReadJSON[Resp](bytes.NewReader(data))
}

type table struct{ p *Platform }

func (t table) Get(ctx context.Context, keys ...string) ([]burdockyard.Row, error) {
	reply, err := postJSON[GetRowsRequest, RowsReply](ctx, t.p, "/v1/table/get", GetRowsRequest{Keys: keys})
	if err == nil && len(reply.Rows) != len(keys) {
		return nil, merry.Errorf("platform returned %d rows for %d keys, expected one row for each key", len(reply.Rows), len(keys))
	}
	return reply.Rows, err
}

func (t table) Commit(ctx context.Context, txn burdockyard.Txn) error {
	_, err := postJSON[burdockyard.Txn, struct{}](ctx, t.p, "/v1/table/commit", txn)
	return err
}

type objects struct{ p *Platform }

func (o objects) Put(ctx context.Context, key string, data []byte) error {
	_, err := o.p.send(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(key), data)
	return err
}

func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	return o.p.send(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(key), nil)
}

// VMs implements burdockyard.VMList by fetching the platform's VM list.
func (p *Platform) VMs(ctx context.Context) ([]burdockyard.VM, error) {
	data, err := p.send(ctx, http.MethodGet, "/v1/vms", nil)
	if err != nil {
		return nil, err
	}
	reply, err := bywire.ReadJSON[VMsReply](bytes.NewReader(data))
	return reply.VMs, err
}

// SetVM tells the platform stand-in that a VM exists, or that it has been removed.
func (p *Platform) SetVM(ctx context.Context, vm burdockyard.VM, removed bool) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return merry.Wrap(err)
	}
	_, err = p.send(ctx, http.MethodPost, "/admin/vms?gone="+strconv.FormatBool(removed), body)
	return err
}

// Faults selects the faults that the platform stand-in injects.
type Faults struct {
	Outage              bool          `json:"outage"`       // refuse every table, object and VM list call
	DropCommitResponses int           `json:"lose_answers"` // number of commits to apply without sending a response
	Delay               time.Duration `json:"delay"`        // added to each of those calls; in nanoseconds on the wire
}

// SetFaults replaces the faults that the platform stand-in injects.
func (p *Platform) SetFaults(ctx context.Context, f Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return merry.Wrap(err)
	}
	_, err = p.send(ctx, http.MethodPost, "/admin/faults", body)
	return err
}
