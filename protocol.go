package burdockyard

import (
	"context"
	"net/http"
	"time"
)

// RequestInfo holds what the headers of a caller's request contain.
type RequestInfo struct {
	ID          RequestID
	Deadline    time.Duration // time left from now; zero if the caller set none
	Prompt      *Prompt       // description of the prompt; nil if there is none
	LastEventID string        // ID of the last event that the caller has received; empty if none
	Key         KeyHash       // hash of the caller's key
	HasKey      bool          // whether the caller has sent a key, and only one
	Resumes     RequestID     // ID of the request that brought the first event of the stream that the caller takes up; empty if it names none
}

// Attempt holds what the system adds to a request when it sends it to an endpoint.
type Attempt struct {
	ExpectedEndpoint EndpointID    // endpoint that is to run the request; any other at the address rejects it
	Deadline         time.Duration // time left
	PrefillOnly      bool          // whether the engine only prefills the prompt and keeps its KV cache
	KVSource         string        // source of the prompt's KV cache, see Protocol.KVSource; empty if none
	BackupTo         string        // address of an engine that gets copies of the KV cache as it grows; empty if none
	PrefixSource     string        // address of an engine that has a prefix of the prompt in its KV cache; empty if none
	Priority         int           // 0 is the most urgent; a negative value leaves the engine's default
	LastEventID      string        // ID of the event after which to continue; empty to begin at the start
	ChecksKeys       bool          // whether the system checks keys: the caller's key and workspace are then not passed on
	Workspace        string        // workspace that the caller belongs to; only used if ChecksKeys is set, empty on public routes
}

// LoadReport is the load that an endpoint reports along with a response.
type LoadReport struct {
	Reported bool    // whether the endpoint reported its load
	Running  int     // requests that are running
	Waiting  int     // requests that are queued
	Slots    int     // requests that can run at once
	Slowdown float64 // ratio of the current to the usual duration of work
}

// RateLimit is what an endpoint that is in need names in its responses: how many
// requests it takes from all nodes together, for as long as it says so.
type RateLimit struct {
	Named     bool    // whether the response names a limit
	PerSecond float64 // requests per second, from 0; NaN if the limit cannot be read
}

// ResponseInfo holds what the headers of an endpoint's response contain.
type ResponseInfo struct {
	ID            RequestID // ID of the request that the response belongs to; empty if it carries none
	NotRun        bool      // whether the endpoint reports that the request has not run
	Unproven      bool      // whether the status tells callers that the request has not run, though the endpoint does not say so
	WrongEndpoint bool      // whether the address now belongs to another endpoint
	Leaving       bool      // whether the endpoint is about to end and wants no new requests
	// RetryAfter is how long an endpoint that has refused the request wants no requests
	// from this node; zero if it does not tell.
	RetryAfter time.Duration
	Limit      RateLimit
	Load       LoadReport
}

// PrefilledPrompt is the KV cache of a prompt that one engine has prefilled and
// keeps for another engine to fetch.
type PrefilledPrompt struct {
	Handle string // name of the KV cache at the engine that keeps it
	Tokens int    // length of the prompt
}

// Protocol translates between the wire formats of callers and endpoints and the
// types of this package. It makes no decisions.
type Protocol interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(h http.Header) (RequestInfo, error)
	// EncodeRequest returns the headers of a request to an endpoint: the caller's,
	// without those that only the system may set, plus those of the attempt.
	EncodeRequest(caller http.Header, a Attempt) http.Header
	// DecodeResponse decodes the status and headers of an endpoint's response.
	DecodeResponse(status int, h http.Header) ResponseInfo
	// ResponseHeaders returns those headers of an endpoint's response that are
	// passed on to the caller.
	ResponseHeaders(h http.Header) http.Header
	// DecodePrefilledPrompt decodes the body of the response to a request that was
	// sent with Attempt.PrefillOnly.
	DecodePrefilledPrompt(body []byte) (PrefilledPrompt, error)
	// KVSource returns the value of Attempt.KVSource for a KV cache, from its handle
	// and the address of the engine that keeps it. The handle of a copy that an engine
	// got by Attempt.BackupTo is the ID of the request.
	KVSource(addr, handle string) string
	// ReleaseCall returns the method and path of the request that frees a kept KV
	// cache.
	ReleaseCall(handle string) (method, path string)
}

// RoleOrder is an order to an engine to change its role.
type RoleOrder struct {
	Role     Role
	Holder   NodeID // node that gives the order
	Fence    uint64 // fencing token; increases with each order to the engine
	Sequence int    // RoleReport.Sequence that the order is based on; the engine rejects the order if it has changed
}

// RoleReport is the role that an engine reports. It may be several hundred
// milliseconds out of date.
type RoleReport struct {
	Role     Role
	Busy     bool // whether the engine is carrying out an order
	Sequence int  // number of orders that the engine has accepted since it started
}

// EngineProtocol translates the control requests of an engine. Their headers carry
// the engine's ID, so that an engine that has been restarted at the same address
// rejects them.
type EngineProtocol interface {
	// ReportCall returns the request for a RoleReport.
	ReportCall(id EndpointID) (method, path string, h http.Header)
	// DecodeReport decodes the body of the response to a ReportCall.
	DecodeReport(body []byte) (RoleReport, error)
	// OrderCall returns the request that gives a RoleOrder.
	OrderCall(id EndpointID, o RoleOrder) (method, path string, h http.Header, body []byte)
	// DecodeOrder returns nil if the status of a response means that the order has
	// been or will be carried out, and otherwise the reason why not.
	DecodeOrder(status int) error
	// CacheCall returns the request for the prompt parts in the engine's KV cache.
	CacheCall(id EndpointID) (method, path string, h http.Header)
	// DecodeCache decodes the body of the response to a CacheCall.
	DecodeCache(body []byte) ([]PromptPart, error)
}

// Change is a change of one row of a table.
type Change struct {
	Row     Row  // row after the change; only Key and Version count if it was removed
	Removed bool // whether the row was removed
}

// Snapshot is the result of a read of a table: all its rows, or the changes since a
// version.
type Snapshot struct {
	Rows      []Row         // all rows, set by Registry.Scan
	Changes   []Change      // changes, set by Registry.Changes
	Version   StoreVersion  // store version that the read is complete up to
	StoreTime time.Duration // time of the store's own clock
}

// Registry is the part of the platform's store from which the system reads the
// configuration, the endpoints and the other nodes.
type Registry interface {
	// Scan returns all rows of a table.
	Scan(ctx context.Context, table string) (Snapshot, error)
	// Changes returns the changes of a table after a version. If there are none, it
	// waits for one, at most for wait. After ErrHistoryGone, which it also returns in
	// another era than that of the version, the caller must Scan.
	Changes(ctx context.Context, table string, after StoreVersion, wait time.Duration) (Snapshot, error)
}
