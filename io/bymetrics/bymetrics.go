// Package bymetrics defines the metrics that a node serves at /metrics.
//
// # Usage
//
//	m := bymetrics.New()
//	m.TimeToFirstToken("jadepeak", "short").Update(0.21)
//	m.Refusals(burdockyard.OutcomeNotRun).Inc()
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

// TimeToFirstToken returns the histogram of the time to the first token, in seconds.
func (m *Metrics) TimeToFirstToken(t burdockyard.Tenant, class string) *metrics.Histogram {
	return m.histogram("burdock_first_token_seconds", t, class)
}

// InterTokenLatency returns the histogram of the time between two tokens, in seconds.
func (m *Metrics) InterTokenLatency(t burdockyard.Tenant, class string) *metrics.Histogram {
	return m.histogram("burdock_between_tokens_seconds", t, class)
}

// QueueWait returns the histogram of the time in the admission queue, in seconds.
func (m *Metrics) QueueWait(t burdockyard.Tenant, class string) *metrics.Histogram {
	return m.histogram("burdock_queue_wait_seconds", t, class)
}

// ResponseTime returns the histogram of the time to a complete response, in seconds.
func (m *Metrics) ResponseTime(t burdockyard.Tenant, class string) *metrics.Histogram {
	return m.histogram("burdock_whole_answer_seconds", t, class)
}

// Refusals returns the counter of calls that ended without a response, by outcome.
func (m *Metrics) Refusals(o burdockyard.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_refusals_total{type=%q}`, string(o)))
}

// Retries returns the counter of calls that were retried at another endpoint.
func (m *Metrics) Retries() *metrics.Counter {
	return m.set.GetOrCreateCounter("burdock_retries_total")
}

// Hedges returns the counter of second copies of idempotent calls that were sent to
// another endpoint.
func (m *Metrics) Hedges() *metrics.Counter {
	return m.set.GetOrCreateCounter("burdock_hedges_total")
}

// RoleChanges returns the counter of orders that changed an engine's role.
func (m *Metrics) RoleChanges() *metrics.Counter {
	return m.set.GetOrCreateCounter("burdock_role_changes_total")
}

// Orders returns the counter of orders that an engine concluded.
func (m *Metrics) Orders() *metrics.Counter {
	return m.set.GetOrCreateCounter("burdock_orders_total")
}

// LeaseChanges returns the counter of leases gained or lost. change is "gained" or
// "lost".
func (m *Metrics) LeaseChanges(change string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_lease_changes_total{change=%q}`, change))
}

// Requests returns the counter of an entry node's requests, by the kind of their
// route and the outcome for the caller.
func (m *Metrics) Requests(kind burdockyard.RouteKind, outcome string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_requests_total{kind=%q,outcome=%q}`, string(kind), outcome))
}

// RouteTimeToFirstByte returns the histogram of the time to a response or its first
// event, in seconds. Routes come from the configuration, so callers cannot create
// new series.
func (m *Metrics) RouteTimeToFirstByte(route string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`burdock_route_first_byte_seconds{route=%q}`, route))
}

// PrefillTime returns the histogram of the time that an engine took to prefill a
// prompt, including the wait before it, in seconds.
func (m *Metrics) PrefillTime() *metrics.Histogram {
	return m.set.GetOrCreateHistogram("burdock_prompt_read_seconds")
}

// PromptTokens returns the counter of tokens of prefilled prompts of a service, by where
// the plan found them: "cached" at the engine, "fetched" from another engine, or "read".
func (m *Metrics) PromptTokens(service, from string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_prompt_tokens_total{service=%q,from=%q}`, service, from))
}

// PrefixFetches returns the counter of prefills before which an engine of a service
// fetched tokens from another one.
func (m *Metrics) PrefixFetches(service string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_prefix_fetches_total{service=%q}`, service))
}

// PrefillTimeouts returns the counter of prefills of a service that were given up because the engine
// did not respond in time.
func (m *Metrics) PrefillTimeouts(service string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_prefill_timeouts_total{service=%q}`, service))
}

// RouteResponseTime returns the histogram of the time from a request's arrival to the
// end of its complete response, in seconds.
func (m *Metrics) RouteResponseTime(route string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`burdock_route_whole_seconds{route=%q}`, route))
}

// EndpointLatency returns the histogram of the time from sending a request to an
// endpoint of a service to receiving the response header, in seconds. action is
// "read" if the endpoint only prefills the prompt and "run" if it runs the request.
func (m *Metrics) EndpointLatency(service, action string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`burdock_hop_seconds{service=%q,asked_to=%q}`, service, action))
}

// Pauses returns the counter of times at which the process stood still for a quarter of a
// second or more.
func (m *Metrics) Pauses() *metrics.Counter {
	return m.set.GetOrCreateCounter("burdock_pauses_total")
}

// LinkProbes returns the counter of connections that were opened to endpoints of a service
// only to find out whether this node reaches them.
func (m *Metrics) LinkProbes(service string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_link_probes_total{service=%q}`, service))
}

// Handovers returns the counter of requests to a service that pass between two nodes,
// because one of them has lost its links to the endpoints: "sent" by that one, "taken" or
// "refused" by the other.
func (m *Metrics) Handovers(service, outcome string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_handovers_total{service=%q,outcome=%q}`, service, outcome))
}

// LimitedResponses returns the counter of responses in which an endpoint of a service
// names a limit of requests.
func (m *Metrics) LimitedResponses(service string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_limited_responses_total{service=%q}`, service))
}

// StreamsTakenUp returns the counter of streams of a service that callers have taken up, by
// whether the version that began them was known.
func (m *Metrics) StreamsTakenUp(service string, known bool) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_streams_taken_up_total{service=%q,version_known="%t"}`, service, known))
}

// StreamsHeld returns the counter of streams of a service whose callers got no event before
// the last one.
func (m *Metrics) StreamsHeld(service string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_streams_held_total{service=%q}`, service))
}

// BrokenByEnd returns the counter of attempts that broke off because the process of
// their endpoint has ended.
func (m *Metrics) BrokenByEnd(service string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_broken_by_end_total{service=%q}`, service))
}

// SuspectedEnds returns the counter of ends of endpoints that could not be proved when they
// were noticed, by how they were settled later.
func (m *Metrics) SuspectedEnds(result string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_suspected_ends_total{result=%q}`, result))
}

// PrefillWait returns the histogram of the time that a prompt waited at the engine
// that prefilled it, in seconds: the measured time less the predicted time of its
// own prefill.
func (m *Metrics) PrefillWait() *metrics.Histogram {
	return m.set.GetOrCreateHistogram("burdock_prompt_wait_seconds")
}

// KeyRefusals returns the counter of requests that were refused because of their key, by
// cause. It counts each refusal of a node that decided, also for a request that another
// node then serves.
func (m *Metrics) KeyRefusals(cause string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_key_refusals_total{cause=%q}`, cause))
}

// StoreCalls returns the counter of calls to the platform's store, by table and
// outcome.
func (m *Metrics) StoreCalls(table, outcome string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_store_calls_total{table=%q,outcome=%q}`, table, outcome))
}

// Relays returns the counter of readings relayed to peers, by table and outcome.
func (m *Metrics) Relays(table, outcome string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_relays_total{table=%q,outcome=%q}`, table, outcome))
}

// DutyHolder returns the name of the gauge of whether this node holds a duty towards the
// platform.
func DutyHolder(duty string) string { return fmt.Sprintf(`burdock_duty_holder{duty=%q}`, duty) }

// DutyCalls returns the counter of calls to the platform's API by duty and outcome.
func (m *Metrics) DutyCalls(duty, outcome string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_duty_calls_total{duty=%q,outcome=%q}`, duty, outcome))
}

// UsageWindows returns the counter of windows of usage by what became of their report:
// "reported", "late" or "left_out".
func (m *Metrics) UsageWindows(result string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_usage_windows_total{result=%q}`, result))
}

// RegisterGauge registers a gauge whose value is read by calling read each time the
// metrics are written.
func (m *Metrics) RegisterGauge(name string, read func() float64) { m.set.GetOrCreateGauge(name, read) }

// EndpointsWanted returns the gauge of the endpoints of a service that the load asks for,
// by failure domain and kind, as the holder of the duty sees it.
func (m *Metrics) EndpointsWanted(service, domain, kind string) *metrics.Gauge {
	return m.endpoints("burdock_endpoints_wanted", service, domain, kind)
}

// EndpointsPresent returns the gauge of the endpoints of a service that do not drain.
func (m *Metrics) EndpointsPresent(service, domain, kind string) *metrics.Gauge {
	return m.endpoints("burdock_endpoints_present", service, domain, kind)
}

func (m *Metrics) endpoints(name, service, domain, kind string) *metrics.Gauge {
	return m.set.GetOrCreateGauge(fmt.Sprintf(`%s{service=%q,domain=%q,kind=%q}`, name, service, domain, kind), nil)
}

// ScaleOrders returns the counter of orders of endpoints of a service, by outcome: "done",
// "refused", "unavailable" or "unknown".
func (m *Metrics) ScaleOrders(service, outcome string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_scale_orders_total{service=%q,outcome=%q}`, service, outcome))
}

// SlowCallersCut returns the counter of callers that were cut off because they did not read
// their responses, by cause: "memory", "endpoint" or "deadline".
func (m *Metrics) SlowCallersCut(cause string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`burdock_slow_callers_cut_total{cause=%q}`, cause))
}
