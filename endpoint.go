package burdockyard

import "context"

// Role is the kind of work that an engine serves first: prefill, decode or both.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"   // both prefill and decode
	RolePrefill Role = "prefill" // long prompts take precedence
	RoleDecode  Role = "decode"  // output takes precedence
)

// EngineState is the complete state of an engine, as an order requests it or a
// report describes it.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     Role     `json:"role"`
	Serving  bool     `json:"serving"` // whether the engine accepts new work
}

// Order requests a complete state of an engine, so sending the same order again
// is idempotent.
type Order struct {
	ID      string      `json:"id"`
	Engine  EndpointID  `json:"engine"`
	Fencing uint64      `json:"fencing"` // fencing token; increases with each lease holder and each order, see core/byorder
	State   EngineState `json:"state"`
}

// EngineReport is the state that an engine reports. It may be well out of date.
type EngineReport struct {
	Incarnation   Incarnation `json:"incarnation"`
	State         EngineState `json:"state"`
	LastOrder     string      `json:"last_order"`
	Changing      bool        `json:"changing"` // whether a role or model change is in progress
	PrefillTokens int         `json:"prefill_tokens"`
	Streams       int         `json:"streams"`
}

// Token is one token of an engine's response.
type Token struct {
	Index        int    // position in the response, from 0
	Text         string // text that is sent to the caller
	FinishReason string // reason why the response ends; empty except in the last token
}

// GenerateRequest is a call to an engine to generate output.
type GenerateRequest struct {
	ID         RequestID
	Chat       bool   // whether this is a chat completion
	Body       []byte // caller's JSON, to which the output so far has been added for a continuation
	Priority   int    // requests of a higher priority run first
	StartIndex int    // index that the first generated token gets
}

// TokenStream is a response in progress. Next returns io.EOF after the last token
// of a complete response and ErrInterrupted if the response ended early.
type TokenStream interface {
	Incarnation() Incarnation
	Next() (Token, error)
	Close() error
}

// Engine is the client of a model engine.
type Engine interface {
	// Generate starts a response. ErrNotStarted means that the engine did not start
	// the request.
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	// Resume reconnects to a stream of the engine from a token index on.
	// ErrStreamGone means that the engine has discarded the stream or never had it.
	Resume(ctx context.Context, id RequestID, from int) (TokenStream, error)
	// Cancel ends a stream that is no longer read.
	Cancel(ctx context.Context, id RequestID) error
	// Report returns the engine's state, which may be out of date.
	Report(ctx context.Context) (EngineReport, error)
	// Order sends an order and returns the engine's report once the engine has
	// accepted it.
	Order(ctx context.Context, order Order) (EngineReport, error)
}

// ServiceRequest is one call to a service that serves no model.
type ServiceRequest struct {
	ID             RequestID
	Method         string
	Path           string // path with the query string
	Header         map[string][]string
	Body           []byte
	IdempotencyKey string // caller's idempotency key; empty if the caller sent none
}

// ServiceResponse is the complete response to a ServiceRequest.
type ServiceResponse struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Service is the client of one endpoint of a service that serves no model.
type Service interface {
	// Call sends the request once. ErrNotStarted means that it did not run.
	Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error)
}

// EndpointClients returns the client of an endpoint for its host:port address.
type EndpointClients interface {
	Engine(addr string) Engine
	Service(addr string) Service
}
