// Package byhttp is the HTTP API that a node offers to callers: OpenAI-style
// completions, calls of plain services, node addresses, health and metrics.
//
// # Usage
//
//	h := byhttp.New(config)
//	http.ListenAndServe(addr, h)
//
// # Headers
//
// X-Tenant names the tenant; it may be omitted if the manifest has only one.
// X-Class names the class and defaults to the first one of the manifest.
// X-Deadline-Ms is how many milliseconds the caller waits for the complete
// response. Last-Event-ID resumes a stream, and Idempotency-Key identifies a
// call that must not run twice.
package byhttp

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/urfave/negroni/v3"

	"burdockyard"
	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
	"burdockyard/core/byserve"
	"burdockyard/core/bystream"
	"burdockyard/io/bylog"
	"burdockyard/io/bymetrics"
	"burdockyard/io/bywire"
)

// Config holds the dependencies and settings of the handler.
type Config struct {
	Server     *byserve.Server
	Signer     *bystream.TokenSigner
	Manifest   func() *bymanifest.Manifest
	Ready      func() error              // returns why the node cannot serve callers, or nil
	Heartbeat  func() bymember.Heartbeat // returns this node's own heartbeat
	Members    *bymember.View            // heartbeats of the other nodes
	Metrics    *bymetrics.Metrics
	Log        bylog.Logger
	AddressTTL time.Duration // how long callers may cache the addresses of the nodes
}

// Handler is the HTTP handler for the callers of one node. It is safe for
// concurrent use.
type Handler struct {
	config    Config
	handler   http.Handler
	openCalls atomic.Int64
}

// New returns the handler with all its routes registered.
func New(cfg Config) *Handler {
	h := &Handler{config: cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", h.completion(true))
	mux.HandleFunc("POST /v1/completions", h.completion(false))
	mux.HandleFunc("/svc/{service}/{path...}", h.service)
	mux.HandleFunc("GET /v1/addresses", h.addresses)
	mux.HandleFunc("GET /healthz", h.health)
	mux.HandleFunc("GET /readyz", h.ready)
	mux.HandleFunc("GET /metrics", h.metrics)
	mux.HandleFunc("/", h.notFound)
	recovery := negroni.NewRecovery()
	recovery.PrintStack = false
	h.handler = negroni.New(recovery, negroni.HandlerFunc(h.assignRequestID), negroni.Wrap(mux))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.handler.ServeHTTP(w, r) }

// OpenCalls returns the number of requests in progress.
func (h *Handler) OpenCalls() int { return int(h.openCalls.Load()) }

// assignRequestID is middleware that gives each request an id and counts it
// among the open calls until its handler returns.
func (h *Handler) assignRequestID(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	h.openCalls.Add(1)
	defer h.openCalls.Add(-1)
	id := burdockyard.NewRequestID()
	w.Header().Set(bywire.HeaderRequestID, string(id))
	next(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
}

type requestIDKey struct{}

func requestID(r *http.Request) burdockyard.RequestID {
	id, _ := r.Context().Value(requestIDKey{}).(burdockyard.RequestID)
	return id
}

// callerInfo holds the tenant and the class of a request, and the limits that
// apply to it.
type callerInfo struct {
	tenant       burdockyard.Tenant
	weight       int
	maxOpenCalls int // of the tenant
	class        bymanifest.ClassSpec
}

// identify reads the tenant, class and deadline headers, and returns a context
// that expires at the requested deadline or at that of the class, whichever is
// earlier. Unless it returns an error, the handler must call the cancel function.
func (h *Handler) identify(r *http.Request) (callerInfo, context.Context, context.CancelFunc, error) {
	m := h.config.Manifest()
	if m == nil {
		return callerInfo{}, nil, nil, burdockyard.NewCallError(burdockyard.OutcomeNotRun, "the node has no manifest yet", burdockyard.WithRetryAfter(time.Second))
	}
	tenant, err := findTenant(m, r.Header.Get(bywire.HeaderTenant))
	if err != nil {
		return callerInfo{}, nil, nil, err
	}
	class, ok := m.Class(r.Header.Get(bywire.HeaderClass))
	if !ok {
		return callerInfo{}, nil, nil, invalidRequest("no class " + strconv.Quote(r.Header.Get(bywire.HeaderClass)) + " is in the manifest; correct the " + bywire.HeaderClass + " header")
	}
	limit := class.Deadline
	if text := r.Header.Get(bywire.HeaderDeadlineMillis); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms <= 0 {
			return callerInfo{}, nil, nil, invalidRequest(strconv.Quote(text) + " is not a deadline; send whole milliseconds above 0 in " + bywire.HeaderDeadlineMillis)
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	return callerInfo{tenant: burdockyard.Tenant(tenant.Name), weight: tenant.Weight, maxOpenCalls: tenant.MaxOpenCalls, class: class}, ctx, cancel, nil
}

func findTenant(m *bymanifest.Manifest, name string) (bymanifest.TenantSpec, error) {
	if tenants := m.Spec().Tenants; name == "" && len(tenants) == 1 {
		return tenants[0], nil
	}
	t, ok := m.Tenant(burdockyard.Tenant(name))
	if !ok {
		return t, invalidRequest("no tenant " + strconv.Quote(name) + " is in the manifest; correct the " + bywire.HeaderTenant + " header")
	}
	return t, nil
}

func invalidRequest(cause string) error {
	return burdockyard.NewCallError(burdockyard.OutcomeInvalid, cause)
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail tells a caller whether the call may have run, why it failed and
// after how long to retry.
type ErrorDetail struct {
	Type         burdockyard.Outcome   `json:"type"`
	Cause        string                `json:"cause"`
	RequestID    burdockyard.RequestID `json:"request_id"`
	RetryAfterMs int64                 `json:"retry_after_ms,omitempty"`
}

// recordError counts and logs a failed call, and returns the error body for the
// caller and the CallError behind it. Any error but a CallError is reported as an
// internal error; its text goes to the log only.
func (h *Handler) recordError(r *http.Request, err error) (ErrorBody, *burdockyard.CallError) {
	var call *burdockyard.CallError
	if !errors.As(err, &call) {
		call = burdockyard.NewCallError(burdockyard.OutcomeFailed, "internal error", burdockyard.WithErr(err), burdockyard.WithStatus(500))
	}
	h.config.Metrics.Refusals(call.Outcome()).Inc()
	h.config.Log.Info("call got no answer", bylog.Str("request", string(requestID(r))),
		bylog.Str("type", string(call.Outcome())), bylog.Str("cause", call.Cause()), bylog.Err(call.Unwrap()))
	return ErrorBody{Error: ErrorDetail{
		Type: call.Outcome(), Cause: call.Cause(), RequestID: requestID(r),
		RetryAfterMs: call.RetryAfter().Milliseconds(),
	}}, call
}

// writeError writes an error response. Its Retry-After header is rounded up to
// whole seconds; the body has the delay in milliseconds.
func (h *Handler) writeError(w http.ResponseWriter, r *http.Request, err error) {
	body, call := h.recordError(r, err)
	if d := call.RetryAfter(); d > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((d+time.Second-1)/time.Second)))
	}
	bywire.WriteJSON(w, call.Status(), body)
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.writeError(w, r, burdockyard.NewCallError(burdockyard.OutcomeInvalid, "nothing is served at "+r.URL.Path, burdockyard.WithStatus(404)))
}

// Address is the address of a node that accepts callers.
type Address struct {
	Address string `json:"address"`
	Node    string `json:"node"`
	Domain  string `json:"domain"`
}

// AddressList is the response to GET /v1/addresses: the nodes that accept callers
// and how long a client may cache their addresses.
type AddressList struct {
	Addresses  []Address `json:"addresses"`
	TTLSeconds float64   `json:"keep_seconds"`
}

func (h *Handler) addresses(w http.ResponseWriter, _ *http.Request) {
	reply := AddressList{Addresses: []Address{}, TTLSeconds: h.config.AddressTTL.Seconds()}
	for _, heartbeat := range append(h.config.Members.Alive(), h.config.Heartbeat()) {
		if !heartbeat.Leaving && heartbeat.Generation > 0 {
			reply.Addresses = append(reply.Addresses, Address{Address: heartbeat.CallerAddr, Node: string(heartbeat.Member.Node), Domain: heartbeat.Domain})
		}
	}
	bywire.WriteJSON(w, http.StatusOK, reply)
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	bywire.WriteJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.config.Ready(); err != nil {
		bywire.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"status": err.Error()})
		return
	}
	bywire.WriteJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	h.config.Metrics.WritePrometheus(w)
}
