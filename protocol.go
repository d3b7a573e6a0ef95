package burdockyard

import (
	"context"
	"net/http"
	"time"
)

// RequestInfo is what a caller's headers say of a request.
type RequestInfo struct {
	ID       RequestID
	Deadline time.Duration // from now; zero if the caller named none
	Prompt   *Prompt       // nil if none is described
	Resume   string        // id of the last event that the caller has, empty if none
}

// Attempt is what the system adds to a request that it sends to an endpoint.
type Attempt struct {
	Expect   EndpointID    // any other endpoint at the address refuses
	Deadline time.Duration // time left
	ReadOnly bool          // read the prompt and keep its memory, without running
	Memory   string        // where the engine fetches the prompt's memory from
	Fetch    string        // address of an engine that keeps a part of the prompt
	Priority int           // 0 first; negative leaves the engine's default
	Resume   string        // continue after this event, empty from the start
}

// LoadReport is what an endpoint says of itself beside an answer.
type LoadReport struct {
	Known    bool
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64 // time that work takes now over what it usually takes
}

// AnswerInfo is what the headers of an endpoint's answer say.
type AnswerInfo struct {
	ID     RequestID // of the request that it answers, empty if it names none
	NotRun bool      // the endpoint says that the request has not run
	Other  bool      // another endpoint lives at the address
	Load   LoadReport
}

// PromptMemory is a prompt that an engine has read and keeps for another one.
type PromptMemory struct {
	Handle string
	Tokens int
}

// Protocol translates between callers, endpoints and the product's own types.
// It decides nothing.
type Protocol interface {
	// DecodeRequest reads the headers of a caller's request.
	DecodeRequest(h http.Header) (RequestInfo, error)
	// EncodeRequest returns the headers of a request to an endpoint: the caller's,
	// without those that only the system may set, and those of the attempt.
	EncodeRequest(caller http.Header, a Attempt) http.Header
	// DecodeAnswer reads the headers of an endpoint's answer.
	DecodeAnswer(status int, h http.Header) AnswerInfo
	// AnswerHeaders returns the headers of an endpoint's answer that the caller gets.
	AnswerHeaders(h http.Header) http.Header
	// DecodeMemory reads the answer to a ReadOnly request.
	DecodeMemory(body []byte) (PromptMemory, error)
	// MemorySource names a kept prompt for Attempt.Memory.
	MemorySource(addr, handle string) string
	// ReleaseCall returns method and path of the call that frees a kept prompt.
	ReleaseCall(handle string) (method, path string)
}

// RoleOrder asks an engine to change its role.
type RoleOrder struct {
	Role     Role
	Holder   NodeID // that gives the order
	Fence    uint64 // rises with each order to the engine
	Sequence int    // of the engine's last order, as it reported; another one refuses
}

// RoleReport is what an engine says of its role. It may be some hundred
// milliseconds old.
type RoleReport struct {
	Role     Role
	Busy     bool // with an order
	Sequence int  // orders accepted since its start
}

// EngineProtocol translates the calls of an engine's controls. The headers name the
// engine, so that a restarted one at the address refuses.
type EngineProtocol interface {
	// ReportCall asks an engine for a RoleReport.
	ReportCall(id EndpointID) (method, path string, h http.Header)
	DecodeReport(body []byte) (RoleReport, error)
	// OrderCall gives a RoleOrder.
	OrderCall(id EndpointID, o RoleOrder) (method, path string, h http.Header, body []byte)
	// DecodeOrder tells from an answer's status whether the order is or was carried
	// out (nil), and if not, why.
	DecodeOrder(status int) error
	// CacheCall asks an engine which parts of prompts it keeps.
	CacheCall(id EndpointID) (method, path string, h http.Header)
	DecodeCache(body []byte) ([]PromptPart, error)
}

// Change is one row of a table that changed.
type Change struct {
	Row     Row
	Removed bool
}

// Snapshot is the state of a table at one moment, or what has changed in it.
type Snapshot struct {
	Rows    []Row    // set by Scan
	Changes []Change // set by Changes
	Version uint64   // of the store at that moment
	Now     time.Duration
}

// Registry is the part of the platform's store that the system reads to learn
// about its surroundings.
type Registry interface {
	// Scan reads a whole table.
	Scan(ctx context.Context, table string) (Snapshot, error)
	// Changes returns what has changed in a table after a version, at once or as
	// soon as there is something, for at most wait. ErrHistoryGone asks for a Scan.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Snapshot, error)
}
