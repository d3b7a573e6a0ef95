// Package bymetrics defines the metrics that a node serves at /metrics.
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

// Metrics is the set of metrics of one node. It is safe for concurrent use. Tenants
// and classes in labels come from the manifest, so callers cannot create new
// series.
type Metrics struct{ set *metrics.Set }

// New returns an empty Metrics.
func New() *Metrics { return &Metrics{set: metrics.NewSet()} }

// WritePrometheus writes all metrics in the Prometheus text format.
func (m *Metrics) WritePrometheus(w io.Writer) { m.set.WritePrometheus(w) }

func (m *Metrics) histogram(name string, tenant burdockyard.Tenant, class string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`%s{tenant=%q,class=%q}`, name, tenant, class))
}

// FirstToken returns the histogram of the time to the first token, in seconds.
func (m *Metrics) FirstToken(t burdockyard.Tenant, class string) *metrics.Histogram {
	return m.histogram("burdock_first_token_seconds", t, class)
}

// BetweenTokens returns the histogram of the time between two tokens, in seconds.
func (m *Metrics) BetweenTokens(t burdockyard.Tenant, class string) *metrics.Histogram {
	return m.histogram("burdock_between_tokens_seconds", t, class)
}

// QueueWait returns the histogram of the time in the admission queue, in seconds.
func (m *Metrics) QueueWait(t burdockyard.Tenant, class string) *metrics.Histogram {
	return m.histogram("burdock_queue_wait_seconds", t, class)
}

// Whole returns the histogram of the time to a complete response, in seconds.
func (m *Metrics) Whole(t burdockyard.Tenant, class string) *metrics.Histogram {
	return m.histogram("burdock_whole_answer_seconds", t, class)
}

// Refusal returns the counter of calls that ended without a response, by outcome.
func (m *Metrics) Refusal(o burdockyard.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_refusals_total{type=%q}`, string(o)))
}

// Retry returns the counter of calls that were retried at another endpoint.
func (m *Metrics) Retry() *metrics.Counter {
	return m.set.GetOrCreateCounter("burdock_retries_total")
}

// Hedge returns the counter of second copies sent of idempotent calls.
func (m *Metrics) Hedge() *metrics.Counter {
	return m.set.GetOrCreateCounter("burdock_hedges_total")
}

// RoleChange returns the counter of orders that changed an engine's role.
func (m *Metrics) RoleChange() *metrics.Counter {
	return m.set.GetOrCreateCounter("burdock_role_changes_total")
}

// Order returns the counter of orders that an engine concluded.
func (m *Metrics) Order() *metrics.Counter {
	return m.set.GetOrCreateCounter("burdock_orders_total")
}

// LeaseChange returns the counter of leases gained or lost. change is "gained" or
// "lost".
func (m *Metrics) LeaseChange(change string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_lease_changes_total{change=%q}`, change))
}

// Request returns the counter of an entry node's requests, by the kind of their
// route and the outcome for the caller.
func (m *Metrics) Request(kind burdockyard.RouteKind, outcome string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_requests_total{kind=%q,outcome=%q}`, string(kind), outcome))
}

// RouteFirstByte returns the histogram of the time to a response or its first
// event, in seconds. Routes come from the configuration, so callers cannot create
// new series.
func (m *Metrics) RouteFirstByte(route string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`burdock_route_first_byte_seconds{route=%q}`, route))
}

// PromptRead returns the histogram of the time that an engine took to prefill a
// prompt, including the wait before it, in seconds.
func (m *Metrics) PromptRead() *metrics.Histogram {
	return m.set.GetOrCreateHistogram("burdock_prompt_read_seconds")
}

// RouteWhole returns the histogram of the time from a request's arrival to the end
// of its complete response, in seconds.
func (m *Metrics) RouteWhole(route string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`burdock_route_whole_seconds{route=%q}`, route))
}

// Hop returns the histogram of the time from sending a request to an endpoint of a
// service to receiving the response headers, in seconds. operation is "read" if the
// endpoint only prefills the prompt and "run" if it runs the request.
func (m *Metrics) Hop(service, operation string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`burdock_hop_seconds{service=%q,asked_to=%q}`, service, operation))
}

// PromptWait returns the histogram of the time that a prompt waited at the engine
// that prefilled it, in seconds: the measured time less the predicted time of its
// own prefill.
func (m *Metrics) PromptWait() *metrics.Histogram {
	return m.set.GetOrCreateHistogram("burdock_prompt_wait_seconds")
}

// StoreCall returns the counter of calls to the platform's store, by table and
// outcome.
func (m *Metrics) StoreCall(table, outcome string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_store_calls_total{table=%q,outcome=%q}`, table, outcome))
}

// Gauge registers a gauge whose value is read by calling read each time the metrics
// are written.
func (m *Metrics) Gauge(name string, read func() float64) { m.set.GetOrCreateGauge(name, read) }
