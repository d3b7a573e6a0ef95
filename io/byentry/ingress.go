package byentry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/bymemory"
	"burdockyard/core/byplace"
	"burdockyard/core/byquarantine"
	"burdockyard/core/byroutes"
	"burdockyard/core/byworkspace"
	"burdockyard/io/bylog"
)

const (
	// defaultDeadline is the time limit of a request without a deadline of its own.
	defaultDeadline = 30 * time.Second
	// startTimeoutObjectives, startTimeoutGaps and minStartTimeout determine when
	// callers abandon a stream that has not started: after the longest of four times
	// the route's latency objective, eight times its maximum gap, and two seconds.
	startTimeoutObjectives = 4
	startTimeoutGaps       = 8
	minStartTimeout        = 2 * time.Second
	// retryAfterDivisor limits the retry delay that a refusal asks for to a third
	// of the request's remaining time.
	retryAfterDivisor = 3
	// minRetryAfter keeps callers from retrying before anything has changed.
	minRetryAfter = 50 * time.Millisecond
	// notReadyRetryAfter is about the time in which a new node learns its
	// configuration. Refusals for lack of memory ask for the same delay.
	notReadyRetryAfter = 500 * time.Millisecond
)

// call is a request in progress.
type call struct {
	node            *Node
	r               *http.Request
	w               http.ResponseWriter
	info            burdockyard.RequestInfo
	route           *burdockyard.Route
	service         *burdockyard.ServiceSpec
	configVersion   uint64 // version of the configuration that contains the route
	path            string // path and query as the caller sent them
	body            []byte
	held            *bymemory.Holding // memory of the body
	startedAt       time.Time
	deadline        time.Time                       // earlier of the caller's deadline and the route's timeout
	possibleRuns    int                             // number of sends after which the endpoint may have run the request
	sends           int                             // number of all sends, including those that the endpoint refused
	tried           map[burdockyard.EndpointID]bool // endpoints that are not selected again
	endpointFailure *bufferedResponse               // latest 5xx response of an endpoint, nil if there is none
	backup          *byfleet.Endpoint               // engine that gets copies of the KV cache of the run in progress, nil if none does
	lastPlan        byplace.Plan                    // latest plan, for the log
	keys            []byquarantine.Key              // what the request shares with others
	trial           bool                            // whether the request is a trial of a quarantined key
	onlySend        bool                            // whether the request must not be sent more than once
	reserved        *byfleet.Endpoint               // endpoint that a later request may be sent to, nil if none
	lastProof       endProof                        // for the endpoint whose connection has broken last
	quarantined     bool                            // whether one of the keys was quarantined after the request was admitted
	version         string                          // version of the endpoints' software at which a stream should run
	hasVersion      bool                            // whether version is set
	versionBound    bool                            // whether the stream must not go on at any other version
	handedOver      *handover                       // set if another node has handed the request over
	linkFailures    int                             // number of attempts that failed for want of a link
	endpointRefused bool                            // whether an endpoint has refused the request
	counted         bool                            // whether the request counts as begun, for the report of usage
	checksKeys      bool                            // whether the system checks keys, so that endpoints do not get them
	workspace       *burdockyard.Workspace          // workspace that the caller belongs to; nil if the request needs no key
	denial          byworkspace.Cause               // why the request must not run here, as of the last call of authorize; empty if it may
}

// ServeHTTP implements http.Handler.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) { n.serveRequest(w, r, nil) }

// serveRequest serves a request of a caller, or one that another node hands over.
func (n *Node) serveRequest(w http.ResponseWriter, r *http.Request, h *handover) {
	n.syncClock()
	n.openRequests.Add(1)
	defer n.openRequests.Add(-1)
	if n.stopping.Load() || h == nil && (n.losesCallers.Load() || n.isStale()) {
		w.Header().Set("Connection", "close")
	}
	c := &call{node: n, r: r, w: w, startedAt: n.clock.Now(), tried: map[burdockyard.EndpointID]bool{}, handedOver: h}
	table := n.routes.Current()
	if table == nil || !n.records.known.Load() {
		c.deadline = c.startedAt.Add(defaultDeadline)
		c.refuse(reasonNoConfiguration, notReadyRetryAfter)
		return
	}
	if status, cause := c.resolve(table); status != 0 {
		c.reject(status, cause)
		return
	}
	if c.authorize(); c.denial != "" && !c.mayHandOverStale() {
		c.refuseUnauthorized()
		return
	}
	if !c.holdBody() {
		return
	}
	defer func() { c.held.Release() }()
	if status, cause := c.readBody(int64(table.Limits().MaxBodyBytes)); status != 0 {
		if status == http.StatusServiceUnavailable {
			c.refuseUnread()
			return
		}
		c.reject(status, cause)
		return
	}
	if !n.stop.accepts(n.clock.Now(), c.route.Name, c.timeLeft(), n.reloadableSettings.Load().Grace) {
		c.refuse(reasonStopping, minRetryAfter)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeLeft())
	defer cancel()
	defer context.AfterFunc(n.serving, cancel)()
	if h != nil {
		done, ok := c.takeOver()
		defer done()
		if !ok {
			return
		}
	} else if c.denial != "" || n.isCutOff(c.service.Name) && len(c.peers()) > 0 {
		c.handOver(ctx)
		return
	}
	if !c.passQuarantine() {
		return
	}
	n.retryBudgets.forService(c.service.Name).Deposit()
	if c.route.Kind == burdockyard.KindStream {
		c.serveStream(ctx)
		return
	}
	c.serveCall(ctx)
}

// resolve determines the route, service and deadline of the request. A status other
// than 0 means that the request is to be rejected.
func (c *call) resolve(table *byroutes.Table) (status int, cause string) {
	limits := table.Limits()
	if limits.MaxHeaderBytes > 0 && headerSize(c.r) > limits.MaxHeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge, "the header is too long"
	}
	c.path = c.r.RequestURI
	if i := strings.Index(c.path, "://"); i > 0 && !strings.HasPrefix(c.path, "/") {
		afterScheme := c.path[i+len("://"):]
		c.path = "/"
		if j := strings.IndexByte(afterScheme, '/'); j >= 0 {
			c.path = afterScheme[j:]
		}
	}
	path, _, _ := strings.Cut(c.path, "?")
	c.configVersion = table.Version()
	if c.route = table.Match(c.r.Host, path); c.route == nil {
		return http.StatusNotFound, "no route for " + c.r.Host + path
	}
	info, err := c.node.platform.Protocol.DecodeRequest(c.r.Header)
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	if h := c.handedOver; h != nil && h.hasKey {
		info.Key, info.HasKey = h.key, true
	}
	c.info = info
	name := byroutes.PickService(c.route, rand.Float64())
	if c.service = table.Service(name); c.service == nil {
		c.service = &burdockyard.ServiceSpec{Name: name, MaxConns: defaultMaxConns}
	}
	timeout := defaultDeadline
	if info.Deadline > 0 {
		timeout = info.Deadline
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.startedAt.Add(timeout)
	if limits.MaxBodyBytes > 0 && c.r.ContentLength > int64(limits.MaxBodyBytes) {
		return http.StatusRequestEntityTooLarge, "the body is too long"
	}
	return 0, ""
}

// defaultMaxConns is the maximum number of connections to an endpoint, over all
// nodes, for a service that the configuration does not describe.
const defaultMaxConns = 32

// headerSize returns the size of the request header as sent on the wire, in bytes.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI)
	for key, values := range r.Header {
		for _, v := range values {
			size += len(key) + len(v) + len(": \r\n")
		}
	}
	return size
}

// readBody reads the body of the request. A status other than 0 means that the
// request is to be rejected. limit is in bytes; 0 means no limit.
func (c *call) readBody(limit int64) (status int, cause string) {
	if c.r.ContentLength == 0 {
		return 0, ""
	}
	// A caller that stops sending must not keep its request open forever. The read
	// deadline is removed afterwards because net/http keeps reading in order to
	// detect that the caller has disconnected.
	controller := http.NewResponseController(c.w)
	if err := controller.SetReadDeadline(time.Now().Add(c.timeLeft())); err != nil {
		return http.StatusInternalServerError, "the connection has no deadline"
	}
	stop := context.AfterFunc(c.node.serving, func() { _ = controller.SetReadDeadline(time.Now()) }) // fails only if the connection is gone
	defer stop()
	defer c.watchCut(controller)()
	var err error
	if c.r.ContentLength > 0 {
		c.body = make([]byte, c.r.ContentLength)
		_, err = io.ReadFull(c.r.Body, c.body)
	} else {
		err = c.readChunks(limit)
	}
	c.held.SetArrived()
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	switch {
	case errors.Is(err, bymemory.ErrFull) || c.held.IsCut():
		return http.StatusServiceUnavailable, string(reasonMemory)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "the body did not arrive in time"
	case err != nil:
		return http.StatusBadRequest, "the body ends early"
	case limit > 0 && int64(len(c.body)) > limit:
		return http.StatusRequestEntityTooLarge, "the body is too long"
	}
	return 0, ""
}

// timeLeft returns the time until the request's deadline.
func (c *call) timeLeft() time.Duration { return c.deadline.Sub(c.node.clock.Now()) }

// startTimeLeft returns how much longer the caller is expected to wait for the stream
// to start.
func (c *call) startTimeLeft() time.Duration {
	startTimeout := max(minStartTimeout, startTimeoutObjectives*c.route.LatencyTarget, startTimeoutGaps*c.route.TargetEventGap)
	if c.handedOver != nil {
		startTimeout -= c.handedOver.waited
	}
	return min(c.timeLeft(), c.startedAt.Add(startTimeout).Sub(c.node.clock.Now()))
}

// reject responds to an invalid request.
func (c *call) reject(status int, cause string) {
	fields := []bylog.Field{bylog.Int("status", status), bylog.Str("cause", cause)}
	if status == http.StatusNotFound {
		fields = append(fields, c.configFields()...)
	}
	c.recordEnd(bylog.OutcomeRejected, fields...)
	c.markNotRun(reasonRejected)
	if status == http.StatusRequestEntityTooLarge || status == http.StatusBadRequest || status == http.StatusRequestTimeout {
		c.w.Header().Set("Connection", "close") // the rest of the body is left unread
	}
	http.Error(c.w, cause, status)
}

// configFields returns the log fields that tell by which configuration the request is
// rejected, how recent it is, and by whose word.
func (c *call) configFields() []bylog.Field {
	n := c.node
	fields := n.configWatcher.copyFields()
	if c.route == nil { // otherwise each line about the request has it
		fields = append(fields, bylog.Int("config", int(c.configVersion)))
	}
	if n.provesConfig() {
		fields = append(fields, bylog.Millis("proven_ms", n.provenAge()))
	}
	return fields
}

// reason is why a request was refused or failed, as written to the log and to the
// response body.
type reason string

const (
	reasonNoConfiguration reason = "no_configuration"    // the node has not yet learned a configuration, or which requests end endpoints
	reasonMemory          reason = "memory"              // what the node holds uses all the memory allowed for it
	reasonStopping        reason = "stopping"            // the node would stop before the response is complete
	reasonOverload        reason = "overload"            // the stream would start after its caller has given up
	reasonNoEndpoint      reason = "no_endpoint"         // the service has no endpoint that accepts new requests
	reasonEndpointsFull   reason = "endpoints_full"      // every endpoint that was tried refused
	reasonQuarantined     reason = "quarantined"         // endpoints end under requests with the same input
	reasonVersion         reason = "version"             // the version that began the stream is not known, or no endpoint has it
	reasonLimited         reason = "limited"             // the limits that all endpoints name are used up
	reasonNoLink          reason = "no_link"             // this node could connect to no endpoint, and no other node has taken the request
	reasonPeerFull        reason = "peer_full"           // the node has taken over as many requests from others as it can bear
	reasonRejected        reason = "rejected"            // another node takes the request for invalid
	reasonNoAnswer        reason = "no_answer"           // the request was sent and no complete response arrived
	reasonEndpointFailed  reason = "endpoint_failed"     // one endpoint may have run the request, the others refused
	reasonDenied          reason = "denied"              // no workspace holds the caller's key
	reasonStale           reason = "stale_configuration" // the configuration is too old to believe in keys
)

// refuse responds to a request that has not run and will not run, and tells the
// caller when to retry.
func (c *call) refuse(cause reason, retryAfter time.Duration) {
	c.refuseFor(cause, min(max(retryAfter, minRetryAfter), c.timeLeft()/retryAfterDivisor))
}

// refuseFor is like refuse, but does not limit the retry delay to the time that the
// request has left.
func (c *call) refuseFor(cause reason, retryAfter time.Duration) {
	fields := []bylog.Field{bylog.Str("cause", string(cause)), bylog.Millis("back_ms", retryAfter)}
	switch cause {
	case reasonStale:
		fields = append(fields, bylog.Millis("proven_ms", c.node.provenAge()))
	case reasonQuarantined:
		fields = append(fields, c.quarantineFields()...)
	}
	c.recordEnd(bylog.OutcomeRefused, fields...)
	if retryAfter > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	c.markNotRun(cause)
	http.Error(c.w, "not run: "+string(cause), http.StatusServiceUnavailable)
}

// fail responds to a request that may have run.
func (c *call) fail(cause reason, err error) {
	status := http.StatusBadGateway
	if c.timeLeft() <= 0 || errors.Is(err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	c.recordEnd(bylog.OutcomeFailed, bylog.Int("status", status), bylog.Str("cause", string(cause)), bylog.Err(err))
	http.Error(c.w, "outcome unknown: "+string(cause), status)
}

// callerGone reports whether the caller has disconnected.
func (c *call) callerGone() bool { return c.r.Context().Err() != nil }

// recordEnd logs the end of a request and updates the metrics.
func (c *call) recordEnd(outcome string, fields ...bylog.Field) {
	kind := burdockyard.RouteKind("none")
	if c.route != nil {
		kind = c.route.Kind
	}
	c.node.metrics.Requests(kind, strings.ReplaceAll(outcome, " ", "_")).Inc()
	if outcome == bylog.OutcomeAnswered {
		c.node.stop.recordResponse(c.route.Name, c.node.clock.Now().Sub(c.startedAt))
		c.node.metrics.RouteResponseTime(c.route.Name).Update(c.node.clock.Now().Sub(c.startedAt).Seconds())
	}
	if outcome == bylog.OutcomeFailed || outcome == bylog.OutcomeInterrupted {
		c.warn(outcome, fields...)
		return
	}
	c.log(outcome, fields...)
}

// log logs a decision about the request.
func (c *call) log(message string, fields ...bylog.Field) {
	c.node.log.calls.Info(message, c.addRequestFields(fields)...)
}

// warn logs a problem with the request. The log keeps such a line in preference to
// those of successful requests.
func (c *call) warn(message string, fields ...bylog.Field) {
	c.node.log.calls.Warn(message, c.addRequestFields(fields)...)
}

// addRequestFields adds the fields that every line about a request has, among them
// the age of the endpoint registry on which decisions are based.
func (c *call) addRequestFields(fields []bylog.Field) []bylog.Field {
	fields = append(fields, bylog.Str("request", string(c.info.ID)), bylog.Int("sends", c.sends),
		bylog.Millis("after_ms", c.node.clock.Now().Sub(c.startedAt)), bylog.Millis("registry_age_ms", c.node.fleet.RegistryAge()))
	if c.route != nil {
		fields = append(fields, bylog.Str("route", c.route.Name), bylog.Int("config", int(c.configVersion)))
	}
	if c.workspace != nil {
		fields = append(fields, bylog.Str("workspace", c.workspace.Name), bylog.Int("priority", c.priority()))
	}
	return fields
}

// untriedEndpoints returns the endpoints of the service that may get the request and
// have not been tried yet.
func (c *call) untriedEndpoints() []byfleet.Endpoint {
	all := c.node.withinLimits(c.node.fleet.Usable(c.service.Name))
	if len(c.tried) == 0 {
		return c.withVersion(all)
	}
	untried := all[:0]
	for _, e := range all {
		if !c.tried[e.ID] {
			untried = append(untried, e)
		}
	}
	return c.withVersion(untried)
}
