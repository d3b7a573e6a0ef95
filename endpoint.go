package burdockyard

import "context"

// Role is the share of work that an engine takes.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"   // prompts and output
	RolePrefill Role = "prefill" // long prompts first
	RoleDecode  Role = "decode"  // output first
)

// EngineState is the absolute state that an order asks for and a report tells of.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     Role     `json:"role"`
	Serving  bool     `json:"serving"` // false: accept no new work
}

// Order asks an engine for an absolute state. Sending the same order again is
// idempotent.
type Order struct {
	ID      string      `json:"id"`
	Engine  EndpointID  `json:"engine"`
	Fencing uint64      `json:"fencing"` // rises with each holder and each order; see core/byorder
	State   EngineState `json:"state"`
}

// EngineReport is what an engine says of itself. It may lie well in the past.
type EngineReport struct {
	Incarnation   Incarnation `json:"incarnation"`
	State         EngineState `json:"state"`
	LastOrder     string      `json:"last_order"`
	Changing      bool        `json:"changing"` // a role or model change is under way
	PrefillTokens int         `json:"prefill_tokens"`
	Streams       int         `json:"streams"`
}

// Token is one piece of an engine's answer.
type Token struct {
	Index  int    // position in the answer, from 0
	Text   string // as the caller sees it
	Finish string // why the answer ends here, empty before the last token
}

// GenerateRequest asks an engine for an answer.
type GenerateRequest struct {
	ID       RequestID
	Chat     bool
	Body     []byte // the caller's JSON, continuation already added
	Priority int    // larger runs first
	From     int    // index of the first token the engine will produce
}

// TokenStream is an answer in progress. Next returns io.EOF after the last
// token of a whole answer and ErrInterrupted if the answer ended early.
type TokenStream interface {
	Incarnation() Incarnation
	Next() (Token, error)
	Close() error
}

// Engine is a model engine.
type Engine interface {
	// Generate starts an answer. ErrNotStarted means that nothing ran.
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	// Resume continues a stream at a token index. ErrStreamGone means that the
	// engine does not know it, any more or at all.
	Resume(ctx context.Context, id RequestID, from int) (TokenStream, error)
	// Cancel ends a stream that nobody reads any more.
	Cancel(ctx context.Context, id RequestID) error
	// Report returns the engine's lagging view of itself.
	Report(ctx context.Context) (EngineReport, error)
	// Order asks for a state and returns the engine's report once it accepted it.
	Order(ctx context.Context, order Order) (EngineReport, error)
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	ID     RequestID
	Method string
	Path   string // with the query
	Header map[string][]string
	Body   []byte
	Key    string // the caller's idempotency key, empty if none
}

// ServiceResponse is a plain service's whole answer.
type ServiceResponse struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Service is one endpoint of a plain service.
type Service interface {
	// Call sends the request once. ErrNotStarted means that it did not run.
	Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error)
}

// Endpoints finds the client of an endpoint by its address.
type Endpoints interface {
	Engine(addr string) Engine
	Service(addr string) Service
}
