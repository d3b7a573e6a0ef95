package burdockyard

import "time"

// RouteKind is the kind of a route. It determines how often a request may run.
type RouteKind string

// The kinds of routes.
const (
	KindSafe   RouteKind = "safe"   // requests may run more than once
	KindUnsafe RouteKind = "unsafe" // requests run at most once
	KindStream RouteKind = "stream" // responses are server-sent events; requests run at most once unless the route is resumable
)

// Share is the proportion of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int // weight relative to the other shares of the route
}

// Route describes how requests to one host under one path prefix are served.
type Route struct {
	Name           string
	Host           string
	Prefix         string // path prefix; begins and ends with a slash
	Kind           RouteKind
	Timeout        time.Duration // limit for the duration of a request
	LatencyTarget  time.Duration // target for the time to the response, or to its first event
	TargetEventGap time.Duration // target for the time between two events of a stream
	MaxAttempts    int           // largest number of endpoints that one request may be sent to
	Priority       int           // 0 is the most urgent
	HasPrompt      bool          // whether requests describe their prompt in headers
	Resumable      bool          // whether a stream may be continued by another endpoint
	Public         bool          // whether requests need no key
	Shares         []Share
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// ModelSpec describes the engines of a service that serves a model.
type ModelSpec struct {
	Slots            int           // requests that one engine can run at once
	KVCapacityTokens int           // KV cache capacity of one engine, in tokens
	KVTokenBytes     int           // KV cache size of one token, in bytes
	LinkMbps         float64       // bandwidth between two engines, in Mbit/s
	KVHandleTTL      time.Duration // how long an engine keeps a KV cache that has not been fetched
	Backups          bool          // whether engines can send copies of a KV cache to another engine while it grows
	RoleChangeTime   time.Duration // how long an engine is unavailable while its role changes
}

// ServiceSpec describes a service. Model is nil if it serves no model.
type ServiceSpec struct {
	Name       string
	HealthPath string
	MaxConns   int // limit for connections to one endpoint, summed over all nodes
	Model      *ModelSpec
	Scaling    *ScalingSpec // nil if the number of endpoints is not the system's to choose
}

// ScalingSpec bounds how many endpoints of a service may be ordered, and states what they
// cost. Endpoints are lasting or spot; spot endpoints are cheaper, and all of a failure
// domain may be reclaimed at once.
type ScalingSpec struct {
	Min, Max     int                // endpoints in each failure domain, both kinds together
	BootTime     time.Duration      // from the order of an endpoint until it serves
	SpotPrice    float64            // price of a spot endpoint relative to a lasting one; 0 if there are none
	DomainPrices map[string]float64 // price of a lasting endpoint per second, by failure domain
}

// Workspace is a customer's account. Callers prove with a key that they belong to it.
type Workspace struct {
	Name        string
	Keys        []KeyHash
	Priority    int // takes precedence over the route's if HasPriority is set
	HasPriority bool
}

// Limits bounds the size of callers' requests and how long a caller may take.
type Limits struct {
	MaxHeaderBytes int           // largest size of a request's headers
	MaxBodyBytes   int           // largest size of a request's body
	HeaderTimeout  time.Duration // longest time that a caller may take to send the headers
	IdleTimeout    time.Duration // longest time that a connection may stay idle
}

// RouteConfig is one version of the routing configuration. It is immutable.
type RouteConfig struct {
	Version    uint64
	Routes     []*Route
	Services   map[string]*ServiceSpec
	Limits     Limits
	ChecksKeys bool // whether requests on routes that are not public need a key
	Workspaces []Workspace
}

// Instance is the registry's entry for one endpoint.
type Instance struct {
	ID         EndpointID
	Addr       string // host:port
	Service    string
	Domain     string
	Version    string // version of the endpoint's software; empty if it does not tell
	Slots      int
	Draining   bool          // whether the endpoint is draining
	WarmUpLeft time.Duration // remaining time of the slow phase after its start
	Role       Role          // empty if the service serves no model
	Sequence   uint64        // sequence number of the entry, which the endpoint counts up from its start
	BornMS     int64         // start of the endpoint's process, as a Unix time in milliseconds; 0 if it does not tell
	Spot       bool          // whether the platform may reclaim the endpoint
	LeavesIn   time.Duration // time until a draining endpoint ends; 0 if it does not tell
}

// PromptPart is one part of a prompt. Requests that have a part of the same ID can
// share its KV cache.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Prompt describes a request for a model.
type Prompt struct {
	Model           string
	Parts           []PromptPart // parts in order; the last one is unique to this request
	InputTokens     int          // length of the whole prompt, in tokens
	MaxOutputTokens int          // largest length of the response, in tokens
}
