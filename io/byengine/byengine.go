// Package byengine is the HTTP client of model engines and plain services.
// Engines serve OpenAI-style completions as server-sent events.
//
// # Usage
//
//	endpoints := byengine.New()
//	stream, err := endpoints.Engine("10.0.0.2:9000").Generate(ctx, req)
package byengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/io/bywire"
)

// controlTimeout is the timeout of a report, a cancellation or an order.
const controlTimeout = 3 * time.Second

// Endpoints implements burdockyard.EndpointClients: it returns clients of engines
// and services by address. All engine clients share one connection pool. Service
// clients open a connection for each call, so that the HTTP client never resends a
// call by itself.
type Endpoints struct {
	pooled   *http.Client
	unpooled *http.Client
}

// New returns Endpoints without open connections.
func New() *Endpoints {
	return &Endpoints{pooled: bywire.NewClient(), unpooled: bywire.NewUnpooledClient()}
}

// Engine implements burdockyard.EndpointClients.
func (e *Endpoints) Engine(addr string) burdockyard.Engine {
	return &engine{client: e.pooled, base: "http://" + addr}
}

// Service implements burdockyard.EndpointClients.
func (e *Endpoints) Service(addr string) burdockyard.Service {
	return &service{client: e.unpooled, base: "http://" + addr}
}

type engine struct {
	client *http.Client
	base   string
}

func (e *engine) Generate(ctx context.Context, req burdockyard.GenerateRequest) (burdockyard.TokenStream, error) {
	path := "/v1/completions"
	if req.Chat {
		path = "/v1/chat/completions"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(bywire.HeaderPriority, strconv.Itoa(req.Priority))
	r.Header.Set(bywire.HeaderFirstIndex, strconv.Itoa(req.StartIndex))
	return e.openStream(r, req.ID)
}

func (e *engine) Resume(ctx context.Context, id burdockyard.RequestID, from int) (burdockyard.TokenStream, error) {
	url := e.base + "/v1/streams/" + string(id) + "?from=" + strconv.Itoa(from)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return e.openStream(r, id)
}

// openStream sends a request and returns the token stream of the response. It
// fails with ErrRequestMismatch if the response carries another request id.
func (e *engine) openStream(r *http.Request, id burdockyard.RequestID) (burdockyard.TokenStream, error) {
	r.Header.Set(bywire.HeaderRequestID, string(id))
	resp, err := e.client.Do(r)
	if err != nil {
		if bywire.NotSent(err) {
			return nil, merry.Prepend(burdockyard.ErrNotStarted, err.Error())
		}
		return nil, merry.Prepend(burdockyard.ErrInterrupted, err.Error())
	}
	if resp.StatusCode != http.StatusOK {
		defer bywire.DrainAndClose(resp.Body)
		return nil, streamError(resp)
	}
	if got := resp.Header.Get(bywire.HeaderRequestID); got != string(id) {
		_ = resp.Body.Close() // without draining, which also closes the connection
		return nil, merry.Prependf(burdockyard.ErrRequestMismatch, "response to request %s has request id %s", id, got)
	}
	return newStream(resp, id), nil
}

func streamError(resp *http.Response) error {
	switch {
	case resp.Header.Get(bywire.HeaderNotRun) != "":
		return burdockyard.ErrNotStarted
	case resp.StatusCode == http.StatusNotFound, resp.StatusCode == http.StatusConflict:
		return burdockyard.ErrStreamGone
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return burdockyard.NewCallError(burdockyard.OutcomeInvalid, "the engine refused the request: "+string(text))
	default:
		return merry.Prependf(burdockyard.ErrInterrupted, "engine returned status %d", resp.StatusCode)
	}
}

func (e *engine) Cancel(ctx context.Context, id burdockyard.RequestID) error {
	_, err := e.callControl(ctx, http.MethodDelete, "/v1/streams/"+string(id), nil)
	return err
}

func (e *engine) Report(ctx context.Context) (burdockyard.EngineReport, error) {
	return e.callControl(ctx, http.MethodGet, "/v1/report", nil)
}

func (e *engine) Order(ctx context.Context, order burdockyard.Order) (burdockyard.EngineReport, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return burdockyard.EngineReport{}, merry.Wrap(err)
	}
	return e.callControl(ctx, http.MethodPost, "/v1/orders", body)
}

// callControl sends a report, cancel or order request, each of which is answered
// with the engine's report.
func (e *engine) callControl(ctx context.Context, method, path string, body []byte) (burdockyard.EngineReport, error) {
	var report burdockyard.EngineReport
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, e.base+path, bytes.NewReader(body))
	if err != nil {
		return report, merry.Wrap(err)
	}
	resp, err := e.client.Do(r)
	if err != nil {
		if bywire.NotSent(err) {
			return report, merry.Prepend(burdockyard.ErrNotStarted, err.Error())
		}
		return report, merry.Wrap(err)
	}
	defer bywire.DrainAndClose(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		return bywire.ReadJSON[burdockyard.EngineReport](resp.Body)
	case http.StatusConflict:
		return report, burdockyard.ErrStaleOrder
	case http.StatusNotFound:
		return report, burdockyard.ErrStreamGone
	default:
		return report, merry.Errorf("engine returned status %d", resp.StatusCode)
	}
}

type service struct {
	client *http.Client
	base   string
}

func (s *service) Call(ctx context.Context, req burdockyard.ServiceRequest) (burdockyard.ServiceResponse, error) {
	var out burdockyard.ServiceResponse
	r, err := http.NewRequestWithContext(ctx, req.Method, s.base+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return out, errors.Join(burdockyard.ErrNotStarted, err)
	}
	for name, values := range req.Header {
		r.Header[name] = values
	}
	r.Header.Set(bywire.HeaderRequestID, string(req.ID))
	if req.IdempotencyKey != "" {
		r.Header.Set(bywire.HeaderIdempotencyKey, req.IdempotencyKey)
	}
	resp, err := s.client.Do(r)
	if err != nil {
		if bywire.NotSent(err) {
			return out, merry.Prepend(burdockyard.ErrNotStarted, err.Error())
		}
		return out, merry.Prepend(burdockyard.ErrInterrupted, err.Error())
	}
	defer resp.Body.Close()
	return readResponse(resp, req.ID)
}

func readResponse(resp *http.Response, id burdockyard.RequestID) (burdockyard.ServiceResponse, error) {
	var out burdockyard.ServiceResponse
	if got := resp.Header.Get(bywire.HeaderRequestID); got != "" && got != string(id) {
		return out, merry.Prependf(burdockyard.ErrRequestMismatch, "response to request %s has request id %s", id, got)
	}
	if resp.Header.Get(bywire.HeaderNotRun) != "" {
		return out, burdockyard.ErrNotStarted
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, bywire.MaxBodyBytes))
	if err != nil {
		return out, merry.Prepend(burdockyard.ErrInterrupted, err.Error())
	}
	out = burdockyard.ServiceResponse{Status: resp.StatusCode, Body: body, Header: map[string][]string{}}
	if ct := resp.Header.Values("Content-Type"); len(ct) > 0 {
		out.Header["Content-Type"] = ct
	}
	return out, nil
}
