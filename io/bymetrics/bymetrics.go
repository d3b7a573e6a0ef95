// Package bymetrics counts and times what a node does, for /metrics.
//
// # Usage
//
//	m := bymetrics.New()
//	m.FirstToken("jadepeak", "short").Update(0.21)
//	m.Refusal(burdockyard.NotRun).Inc()
//	m.WritePrometheus(w)
package bymetrics

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"burdockyard"
)

// Metrics is one node's set of metrics. Tenants and classes come from the
// manifest, so that callers cannot make new ones.
type Metrics struct{ set *metrics.Set }

// New returns an empty set.
func New() *Metrics { return &Metrics{set: metrics.NewSet()} }

// WritePrometheus writes every metric in the Prometheus text format.
func (m *Metrics) WritePrometheus(w io.Writer) { m.set.WritePrometheus(w) }

func (m *Metrics) histogram(name string, tenant burdockyard.Tenant, class string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`%s{tenant=%q,class=%q}`, name, tenant, class))
}

// FirstToken is the time to the first token, in seconds.
func (m *Metrics) FirstToken(t burdockyard.Tenant, class string) *metrics.Histogram {
	return m.histogram("burdock_first_token_seconds", t, class)
}

// BetweenTokens is the time between two tokens, in seconds.
func (m *Metrics) BetweenTokens(t burdockyard.Tenant, class string) *metrics.Histogram {
	return m.histogram("burdock_between_tokens_seconds", t, class)
}

// QueueWait is the time in the admission queue, in seconds.
func (m *Metrics) QueueWait(t burdockyard.Tenant, class string) *metrics.Histogram {
	return m.histogram("burdock_queue_wait_seconds", t, class)
}

// Whole is the time of a whole answer, in seconds.
func (m *Metrics) Whole(t burdockyard.Tenant, class string) *metrics.Histogram {
	return m.histogram("burdock_whole_answer_seconds", t, class)
}

// Refusal counts calls that got no answer, by outcome.
func (m *Metrics) Refusal(o burdockyard.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_refusals_total{type=%q}`, string(o)))
}

// Retry counts calls that were sent to another endpoint.
func (m *Metrics) Retry() *metrics.Counter {
	return m.set.GetOrCreateCounter("burdock_retries_total")
}

// Hedge counts second copies of idempotent calls.
func (m *Metrics) Hedge() *metrics.Counter {
	return m.set.GetOrCreateCounter("burdock_hedges_total")
}

// RoleChange counts orders that changed an engine's role.
func (m *Metrics) RoleChange() *metrics.Counter {
	return m.set.GetOrCreateCounter("burdock_role_changes_total")
}

// Order counts orders that an engine concluded.
func (m *Metrics) Order() *metrics.Counter {
	return m.set.GetOrCreateCounter("burdock_orders_total")
}

// LeaseChange counts leases gained and lost.
func (m *Metrics) LeaseChange(change string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_lease_changes_total{change=%q}`, change))
}

// Request counts requests of an entry node by the kind of their route and what
// the caller got.
func (m *Metrics) Request(kind burdockyard.RouteKind, outcome string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_requests_total{kind=%q,outcome=%q}`, string(kind), outcome))
}

// RouteFirstByte is the time to an answer or its first event, in seconds. Routes
// come from the configuration, so that callers cannot make new ones.
func (m *Metrics) RouteFirstByte(route string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`burdock_route_first_byte_seconds{route=%q}`, route))
}

// PromptRead is the time in which an engine read a prompt, waiting included, in
// seconds.
func (m *Metrics) PromptRead() *metrics.Histogram {
	return m.set.GetOrCreateHistogram("burdock_prompt_read_seconds")
}

// RouteWhole is the time from a request's arrival to the end of its whole answer.
func (m *Metrics) RouteWhole(route string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`burdock_route_whole_seconds{route=%q}`, route))
}

// Hop is the time from a send to an endpoint of a service to the header of its
// answer, for a prompt to be read or a request to be run.
func (m *Metrics) Hop(service, operation string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`burdock_hop_seconds{service=%q,asked_to=%q}`, service, operation))
}

// PromptWait is the time that a prompt waited at a reading engine, without its own
// reading as predicted.
func (m *Metrics) PromptWait() *metrics.Histogram {
	return m.set.GetOrCreateHistogram("burdock_prompt_wait_seconds")
}

// StoreCall counts calls of the platform's store by table and outcome.
func (m *Metrics) StoreCall(table, outcome string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_store_calls_total{table=%q,outcome=%q}`, table, outcome))
}

// Gauge serves a number that is read when it is asked for.
func (m *Metrics) Gauge(name string, read func() float64) { m.set.GetOrCreateGauge(name, read) }
