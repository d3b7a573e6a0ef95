package byentry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/byplace"
	"burdockyard/io/byforward"
	"burdockyard/io/bylog"
)

const (
	// maxSends is the maximum number of endpoints to which one request is sent, even
	// if all of them report that they have not run it.
	maxSends = 3
	// maxBufferedBody is the size in bytes up to which a response body is read
	// completely before the caller gets a byte. A response that is cut off within it
	// can still be replaced by another endpoint's.
	maxBufferedBody = 256 << 10
	// unsafeMaxIdle is the maximum idle time of a connection that is used for a
	// request which must not run twice. If the endpoint has just closed the
	// connection, the outcome of the request is unknown.
	unsafeMaxIdle = time.Second
	// noEndpointRetryAfter is the retry delay for a service without endpoints.
	noEndpointRetryAfter = 300 * time.Millisecond
	// endpointsFullRetryAfter is the time after which an endpoint at capacity is
	// expected to accept a request again.
	endpointsFullRetryAfter = 120 * time.Millisecond
)

// outcome is the result of sending a request to one endpoint.
type outcome int

const (
	answered  outcome = iota // the endpoint sent a response that can be passed to the caller
	notRun                   // the endpoint certainly did not run the request; another one may get it
	broken                   // the endpoint may have run the request and there is no complete response
	abandoned                // the caller has disconnected or the deadline has passed
)

// send sends the request to an endpoint and classifies the result.
func (c *call) send(ctx context.Context, e byfleet.Endpoint, a burdockyard.Attempt) (*byforward.Response, outcome, error) {
	n := c.node
	if !n.fleet.MayGet(e.ID) {
		c.tried[e.ID] = true
		return nil, notRun, burdockyard.ErrNotStarted
	}
	a.Expect, a.Deadline = e.ID, c.left()
	req := &byforward.Request{
		ID: c.info.ID, Method: c.r.Method, Path: c.path, Host: c.r.Host, Body: c.body, Deadline: c.deadline,
		Header: n.platform.Protocol.EncodeRequest(c.r.Header, a),
	}
	if !c.route.Idempotent() {
		req.MaxIdle = unsafeMaxIdle
	}
	c.sends++
	c.tried[e.ID] = true
	sentAt := n.clock.Now()
	resp, err := n.forward.Send(ctx, byforward.Target{Addr: e.Addr, MaxConns: n.endpointConnLimit(c.service)}, req)
	if err != nil {
		c.warn("send failed", append(c.attemptFields(e, a), bylog.Str("addr", e.Addr), bylog.Err(err))...)
		return nil, c.classifySendError(ctx, e, err), err
	}
	n.metrics.Hop(c.service.Name, attemptAction(a)).Update(n.clock.Now().Sub(sentAt).Seconds())
	info := n.platform.Protocol.DecodeAnswer(resp.Status, resp.Header)
	n.ledger.Observe(e.ID, info.Load)
	switch {
	case info.Other:
		n.report(e, byfleet.Stranger, nil)
	case info.NotRun:
		n.report(e, byfleet.Shed, nil)
	case resp.Status >= http.StatusInternalServerError:
		n.report(e, byfleet.Failed, nil)
	}
	if info.NotRun {
		c.log("endpoint refused", append(c.attemptFields(e, a), bylog.Int("status", resp.Status))...)
		c.drainBody(resp)
		return nil, notRun, burdockyard.ErrNotStarted
	}
	return resp, answered, nil
}

// attemptAction returns what an attempt asks of an endpoint, as written to the log
// and the metrics: "read" to prefill a prompt only, "run" to run the request.
func attemptAction(a burdockyard.Attempt) string {
	if a.ReadOnly {
		return "read"
	}
	return "run"
}

// attemptFields returns log fields for the endpoint, what the attempt asks of it, and
// the times predicted by the plan.
func (c *call) attemptFields(e byfleet.Endpoint, a burdockyard.Attempt) []bylog.Field {
	fields := []bylog.Field{bylog.Str("endpoint", string(e.ID)), bylog.Str("asked_to", attemptAction(a))}
	if p := c.planned; p.Predict > 0 {
		fields = append(fields, bylog.Millis("predict_ms", p.Predict), bylog.Millis("wait_ms", p.Wait), bylog.Millis("read_ms", p.Read), bylog.Int("cached", p.Cached))
	}
	return fields
}

// classifySendError returns the outcome of a send that failed and reports the failure
// to the fleet.
func (c *call) classifySendError(ctx context.Context, e byfleet.Endpoint, err error) outcome {
	if c.gone() {
		return abandoned
	}
	if errors.Is(err, burdockyard.ErrNotStarted) {
		c.sends-- // no byte of the request was sent
		if !errors.Is(err, byforward.ErrNoConnection) {
			c.node.report(e, byfleet.Unreachable, err)
		}
		return notRun
	}
	if ctx.Err() != nil || c.left() <= 0 {
		c.node.report(e, byfleet.NoAnswer, err)
		return abandoned
	}
	c.node.report(e, byfleet.Unreachable, err)
	return broken
}

// drainBody reads and discards the rest of a response so that its connection can be
// reused.
func (c *call) drainBody(resp *byforward.Response) {
	if _, err := resp.ReadAll(maxBufferedBody); err != nil {
		c.node.log.calls.Debug("refusal body not read to its end", bylog.Str("request", string(c.info.ID)), bylog.Err(err))
	}
	resp.Close()
}

// endpointConnLimit returns the maximum number of connections to one endpoint from
// this node. It divides the service's limit among all nodes.
func (n *Node) endpointConnLimit(s *burdockyard.ServiceSpec) int {
	near, far := n.peers.count()
	return max(s.MaxConns/(1+near+far), minConns)
}

// minConns is the number of connections to one endpoint that every node may open,
// even if its share of the service's limit is smaller.
const minConns = 2

// report passes the result of an attempt to the fleet and logs if the endpoint is set
// aside or regained because of it.
func (n *Node) report(e byfleet.Endpoint, r byfleet.Result, err error) {
	switch n.fleet.Report(e.ID, r) {
	case byfleet.Aside:
		n.log.fleet.Info("endpoint set aside", bylog.Str("endpoint", string(e.ID)), bylog.Str("addr", e.Addr),
			bylog.Str("result", r.String()), bylog.Err(err))
	case byfleet.Back:
		n.log.fleet.Info("endpoint regained", bylog.Str("endpoint", string(e.ID)), bylog.Str("addr", e.Addr))
	}
}

// mayRepeat reports whether the request may be sent to another endpoint after the
// given outcome. If so, it takes the retry from the service's budget.
func (c *call) mayRepeat(o outcome) bool {
	switch {
	case o == abandoned || c.gone() || c.left() <= 0 || c.sends >= maxSends:
		return false
	case o == notRun && c.sends == 0:
		return len(c.tried) < maxSends // no byte was sent yet, so this takes nothing from the retry budget
	case o == broken && (!c.route.Idempotent() || c.tries >= c.route.Attempts):
		return false
	}
	return c.node.retryBudgets.forService(c.service.Name).Spend()
}

// serveCall serves a request whose response is not a stream.
func (c *call) serveCall(ctx context.Context) {
	last := notRun
	var lastErr error
	for {
		e, ok := c.node.ledger.PlanCall(c.node.settings.Domain, c.usable())
		if !ok {
			break
		}
		inFlight := c.node.ledger.Begin(e.ID, byplace.Work{Streams: 1})
		resp, o, err := c.send(ctx, e, burdockyard.Attempt{Priority: -1})
		if o != notRun {
			c.tries++
		}
		var a *bufferedResponse
		if o == answered {
			a, o, err = c.take(e, resp)
		}
		inFlight.Done()
		last, lastErr = o, err
		if o == answered && a.status < http.StatusInternalServerError {
			c.failure.close()
			c.writeResponse(a)
			return
		}
		if o == answered {
			c.keepFailure(a)
			last = broken
		}
		if !c.mayRepeat(last) {
			break
		}
	}
	c.finish(last, lastErr)
}

// keepFailure stores a 5xx response of an endpoint. The caller gets it if no other
// endpoint serves the request.
func (c *call) keepFailure(a *bufferedResponse) {
	c.warn("endpoint failed", bylog.Str("endpoint", string(a.endpoint)), bylog.Int("status", a.status))
	c.failure.close()
	c.failure = a
}

// finish sends the final response to a request that no endpoint has served.
func (c *call) finish(last outcome, err error) {
	switch {
	case c.gone():
		c.failure.close()
		c.finished(bylog.EndLeft)
	case c.failure != nil:
		c.writeResponse(c.failure)
	case last == notRun && c.tries > 0:
		c.fail(reasonEndpointFailed, err) // an endpoint may have run the request earlier
	case last == notRun && len(c.tried) == 0:
		c.refuse(reasonNoEndpoint, noEndpointRetryAfter)
	case last == notRun:
		c.refuse(reasonEndpointsFull, endpointsFullRetryAfter)
	default:
		c.fail(reasonNoAnswer, err)
	}
}

// bufferedResponse is an endpoint's response of which up to maxBufferedBody bytes have
// been read.
type bufferedResponse struct {
	endpoint burdockyard.EndpointID
	status   int
	header   http.Header
	body     []byte
	unread   *byforward.Response // response with the rest of the body, nil if body is complete
}

// close closes a response that is not passed to the caller. It may be called on nil.
func (a *bufferedResponse) close() {
	if a != nil && a.unread != nil {
		a.unread.Close()
	}
}

// take reads up to maxBufferedBody bytes of a response. If the response is cut off,
// the request may be retried, since the caller has not got a byte of it.
func (c *call) take(e byfleet.Endpoint, resp *byforward.Response) (*bufferedResponse, outcome, error) {
	a := &bufferedResponse{endpoint: e.ID, status: resp.Status, header: c.node.platform.Protocol.AnswerHeaders(resp.Header)}
	var err error
	a.body, err = io.ReadAll(io.LimitReader(resp, maxBufferedBody))
	if err != nil {
		resp.Close()
		c.node.report(e, byfleet.Failed, err)
		if c.gone() || c.left() <= 0 {
			return nil, abandoned, err
		}
		return nil, broken, err
	}
	if len(a.body) == maxBufferedBody {
		a.unread = resp
	} else {
		resp.Close()
	}
	if resp.Status < http.StatusInternalServerError {
		c.node.report(e, byfleet.Succeeded, nil)
	}
	return a, answered, nil
}

// writeResponse sends an endpoint's response to the caller.
func (c *call) writeResponse(a *bufferedResponse) {
	h := c.w.Header()
	for key, values := range a.header {
		h[key] = values
	}
	if a.unread == nil {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	} else if a.unread.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.unread.Length, 10))
	}
	c.node.metrics.RouteFirstByte(c.route.Name).Update(c.node.clock.Now().Sub(c.began).Seconds())
	c.w.WriteHeader(a.status)
	_, err := c.w.Write(a.body)
	if err == nil && a.unread != nil {
		defer a.unread.Close()
		_, err = io.Copy(c.w, a.unread)
	}
	if err != nil {
		c.finished(bylog.EndCut, bylog.Str("endpoint", string(a.endpoint)), bylog.Err(err))
		panic(http.ErrAbortHandler) // closes the connection, so that the caller sees that the response is incomplete
	}
	c.finished(bylog.EndAnswered, bylog.Int("status", a.status), bylog.Str("endpoint", string(a.endpoint)))
}
