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
	"burdockyard/core/byplace"
	"burdockyard/core/byroutes"
	"burdockyard/io/bylog"
)

const (
	// bodyMemoryFraction is the part of the memory that bodies in work may take.
	bodyMemoryFraction = 0.25
	// chunkedBodyReserve is what a body of unknown length counts until it is read.
	chunkedBodyReserve = 64 << 10
	// defaultDeadline is the time of a request that names none.
	defaultDeadline = 30 * time.Second
	// patienceTimes and leastPatience tell when callers give a stream up that has
	// not begun: after four objectives, eight pauses or two seconds.
	startTimeoutObjectives = 4
	startTimeoutGaps       = 8
	minStartTimeout        = 2 * time.Second
	// retryAfterDivisor is the part of the time left that a refusal may ask for.
	retryAfterDivisor = 3
	// minRetryAfter keeps callers from coming back before anything has changed.
	minRetryAfter = 50 * time.Millisecond
	// notReadyRetryAfter is how long a node takes to learn its configuration.
	notReadyRetryAfter = 500 * time.Millisecond
)

// call is one request in work.
type call struct {
	node          *Node
	r             *http.Request
	w             http.ResponseWriter
	info          burdockyard.RequestInfo
	route         *burdockyard.Route
	service       *burdockyard.ServiceSpec
	configVersion uint64 // of the configuration that the route is from
	path          string // with the query, as the caller sent it
	body          []byte
	began         time.Time
	deadline      time.Time // the caller's deadline or the route's timeout
	tries         int       // endpoints to which it was sent and that may have run it
	sends         int       // all sends, also those that were refused
	tried         map[burdockyard.EndpointID]bool
	failure       *bufferedResponse // an endpoint's own, nil if none has failed
	planned       byplace.Plan      // the newest one, for the log
}

// ServeHTTP implements http.Handler.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.openRequests.Add(1)
	defer n.openRequests.Add(-1)
	if n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{node: n, r: r, w: w, began: n.clock.Now(), tried: map[burdockyard.EndpointID]bool{}}
	table := n.routes.Current()
	if table == nil {
		c.deadline = c.began.Add(defaultDeadline)
		c.refuse(reasonNoConfiguration, notReadyRetryAfter)
		return
	}
	if status, cause := c.resolve(table); status != 0 {
		c.reject(status, cause)
		return
	}
	size := max(r.ContentLength, 0)
	if r.ContentLength < 0 {
		size = chunkedBodyReserve
	}
	defer func() { n.bodyBytes.Add(-size) }()
	if n.bodyBytes.Add(size) > int64(bodyMemoryFraction*float64(n.tuning.Load().MemoryBytes)) {
		c.refuse(reasonMemory, notReadyRetryAfter)
		return
	}
	if status, cause := c.readBody(int64(table.Limits().BodyBytes)); status != 0 {
		c.reject(status, cause)
		return
	}
	if r.ContentLength < 0 {
		n.bodyBytes.Add(int64(len(c.body)) - size)
		size = int64(len(c.body))
	}
	n.retryBudgets.forService(c.service.Name).Earn()
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.route.Kind == burdockyard.KindStream {
		c.serveStream(ctx)
		return
	}
	c.serveCall(ctx)
}

// resolve finds out what the request is. A status other than 0 rejects it.
func (c *call) resolve(table *byroutes.Table) (status int, cause string) {
	limits := table.Limits()
	if limits.HeaderBytes > 0 && headerSize(c.r) > limits.HeaderBytes {
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
	if c.route = table.Match(c.r.Host, path); c.route == nil {
		return http.StatusNotFound, "no route for " + c.r.Host + path
	}
	c.configVersion = table.Version()
	info, err := c.node.platform.Protocol.DecodeRequest(c.r.Header)
	if err != nil {
		return http.StatusBadRequest, err.Error()
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
	c.deadline = c.began.Add(timeout)
	if limits.BodyBytes > 0 && c.r.ContentLength > int64(limits.BodyBytes) {
		return http.StatusRequestEntityTooLarge, "the body is too long"
	}
	return 0, ""
}

// defaultMaxConns bounds the connections to an endpoint of a service that the
// configuration does not describe.
const defaultMaxConns = 32

func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI)
	for key, values := range r.Header {
		for _, v := range values {
			size += len(key) + len(v) + len(": \r\n")
		}
	}
	return size
}

func (c *call) readBody(limit int64) (status int, cause string) {
	if c.r.ContentLength == 0 {
		return 0, ""
	}
	// A caller that stops sending must not hold its request for ever. The limit is
	// lifted afterwards, since net/http reads on to notice that a caller leaves.
	controller := http.NewResponseController(c.w)
	if err := controller.SetReadDeadline(c.deadline); err != nil {
		return http.StatusInternalServerError, "the connection has no deadline"
	}
	var err error
	if c.r.ContentLength > 0 {
		c.body = make([]byte, c.r.ContentLength)
		_, err = io.ReadFull(c.r.Body, c.body)
	} else {
		c.body, err = io.ReadAll(io.LimitReader(c.r.Body, limit+1))
	}
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "the body did not arrive in time"
	case err != nil:
		return http.StatusBadRequest, "the body ends early"
	case limit > 0 && int64(len(c.body)) > limit:
		return http.StatusRequestEntityTooLarge, "the body is too long"
	}
	return 0, ""
}

func (c *call) left() time.Duration { return c.deadline.Sub(c.node.clock.Now()) }

// patience is how much longer the caller waits for a stream to begin.
func (c *call) patience() time.Duration {
	startTimeout := max(minStartTimeout, startTimeoutObjectives*c.route.Objective, startTimeoutGaps*c.route.MaxGap)
	return min(c.left(), c.began.Add(startTimeout).Sub(c.node.clock.Now()))
}

// reject answers a request that is wrong in itself.
func (c *call) reject(status int, cause string) {
	c.finished(bylog.EndRejected, bylog.Int("status", status), bylog.Str("cause", cause))
	if status == http.StatusRequestEntityTooLarge || status == http.StatusBadRequest || status == http.StatusRequestTimeout {
		c.w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	http.Error(c.w, cause, status)
}

// reason is why a request was refused or failed, as logs and callers are told.
type reason string

const (
	reasonNoConfiguration reason = "no_configuration" // this node knows none yet
	reasonMemory          reason = "memory"           // bodies fill the memory set aside for them
	reasonOverload        reason = "overload"         // it would start after its caller has left
	reasonNoEndpoint      reason = "no_endpoint"      // the service has none that may get work
	reasonEndpointsFull   reason = "endpoints_full"   // those that were asked refused
	reasonNoAnswer        reason = "no_answer"        // sent, and no whole answer came
	reasonEndpointFailed  reason = "endpoint_failed"  // one may have run it, the others refused
)

// refuse answers a request that has not run and never will, with the time to
// come back.
func (c *call) refuse(cause reason, retryAfter time.Duration) {
	retryAfter = min(max(retryAfter, minRetryAfter), c.left()/retryAfterDivisor)
	c.finished(bylog.EndRefused, bylog.Str("cause", string(cause)), bylog.Millis("back_ms", retryAfter))
	if retryAfter > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(c.w, "not run: "+string(cause), http.StatusServiceUnavailable)
}

// fail answers a request that may have run.
func (c *call) fail(cause reason, err error) {
	status := http.StatusBadGateway
	if c.left() <= 0 || errors.Is(err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	c.finished(bylog.EndFailed, bylog.Int("status", status), bylog.Str("cause", string(cause)), bylog.Err(err))
	http.Error(c.w, "outcome unknown: "+string(cause), status)
}

// gone reports whether the caller has left.
func (c *call) gone() bool { return c.r.Context().Err() != nil }

// finished logs and counts the end of a request.
func (c *call) finished(outcome string, fields ...bylog.Field) {
	kind := burdockyard.RouteKind("none")
	if c.route != nil {
		kind = c.route.Kind
	}
	c.node.metrics.Request(kind, strings.ReplaceAll(outcome, " ", "_")).Inc()
	if outcome == bylog.EndAnswered {
		c.node.metrics.RouteWhole(c.route.Name).Update(c.node.clock.Now().Sub(c.began).Seconds())
	}
	if outcome == bylog.EndFailed || outcome == bylog.EndCut {
		c.warn(outcome, fields...)
		return
	}
	c.log(outcome, fields...)
}

// log writes one line on a decision about the request.
func (c *call) log(message string, fields ...bylog.Field) {
	c.node.log.calls.Info(message, c.addRequestFields(fields)...)
}

// warn writes one line on what went wrong with the request, which the log keeps
// before lines on requests that went well.
func (c *call) warn(message string, fields ...bylog.Field) {
	c.node.log.calls.Warn(message, c.addRequestFields(fields)...)
}

// addRequestFields adds what each line tells, and the age of what decisions rest on.
func (c *call) addRequestFields(fields []bylog.Field) []bylog.Field {
	fields = append(fields, bylog.Str("request", string(c.info.ID)), bylog.Int("sends", c.sends),
		bylog.Millis("after_ms", c.node.clock.Now().Sub(c.began)), bylog.Millis("registry_age_ms", c.node.fleet.Age()))
	if c.route != nil {
		fields = append(fields, bylog.Str("route", c.route.Name), bylog.Int("config", int(c.configVersion)))
	}
	return fields
}

// usable returns the endpoints of the service that were not tried yet.
func (c *call) usable() []byfleet.Endpoint {
	all := c.node.fleet.Usable(c.service.Name)
	if len(c.tried) == 0 {
		return all
	}
	untried := all[:0]
	for _, e := range all {
		if !c.tried[e.ID] {
			untried = append(untried, e)
		}
	}
	return untried
}
