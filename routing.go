package burdockyard

import "time"

// RouteKind says how often a request of a route may run.
type RouteKind string

// The kinds of a route.
const (
	KindSafe   RouteKind = "safe"   // may run more than once
	KindUnsafe RouteKind = "unsafe" // runs at most once
	KindStream RouteKind = "stream" // server-sent events; once unless the route is resumable
)

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  int // relative to the other shares of the route
}

// Route tells what happens to requests of one host below one path prefix.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      RouteKind
	Timeout   time.Duration // longest time that a request may be kept waiting
	Objective time.Duration // time to the answer, or to its first event
	MaxGap    time.Duration // longest pause between events that is still in time
	Attempts  int           // endpoints that one request may be sent to
	Priority  int           // 0 is the most urgent
	Prompted  bool          // requests carry a description of their prompt
	Resumable bool          // a stream may go on at another endpoint
	Shares    []Share
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// ModelSpec describes the engines of a service that serves a model.
type ModelSpec struct {
	Slots       int
	CacheTokens int     // memory of one engine
	TokenBytes  int     // memory of one token
	LinkMbps    float64 // between engines
	HandleTTL   time.Duration
	RoleChange  time.Duration // how long an engine is away when its role changes
}

// ServiceSpec describes a service. Model is nil for a plain one.
type ServiceSpec struct {
	Name       string
	HealthPath string
	MaxConns   int // to one endpoint, from all nodes together
	Model      *ModelSpec
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteConfig is one version of the routing configuration. It is immutable.
type RouteConfig struct {
	Version  uint64
	Routes   []*Route
	Services map[string]*ServiceSpec
	Limits   Limits
}

// Instance is what the registry says of one endpoint.
type Instance struct {
	ID       EndpointID
	Addr     string // host:port
	Service  string
	Domain   string
	Slots    int
	Leaving  bool
	Cold     time.Duration // for how much longer it is slow after its start
	Role     Role          // empty for a plain service
	Sequence uint64        // of the entry; a lower one means a new start
}

// PromptPart is one piece of a prompt. Requests with equal ids share it.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Prompt describes a request for a model.
type Prompt struct {
	Model  string
	Parts  []PromptPart // in order; the last one belongs to this request alone
	Input  int          // tokens of the whole prompt
	Output int          // most tokens of the answer
}
