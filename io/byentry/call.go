package byentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/bymemory"
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
	outcomeAnswered  outcome = iota // the endpoint sent a response that can be passed to the caller
	outcomeNotRun                   // the endpoint certainly did not run the request; another one may get it
	outcomeUnknown                  // the endpoint may have run the request and there is no complete response
	outcomeAbandoned                // the caller has disconnected or the deadline has passed
)

// send sends the request to an endpoint and classifies the result.
func (c *call) send(ctx context.Context, e byfleet.Endpoint, a burdockyard.Attempt) (*byforward.Response, outcome, error) {
	n := c.node
	// The key may have been taken away since the request came.
	c.authorize()
	if c.denial != "" || !n.fleet.AcceptsWork(e.ID) || c.isQuarantined() || !c.takeReservation(e) {
		c.dropReservation()
		c.tried[e.ID] = true
		return nil, outcomeNotRun, burdockyard.ErrNotStarted
	}
	a.ExpectedEndpoint, a.Deadline = e.ID, c.timeLeft()
	a.ChecksKeys, a.Workspace = c.checksKeys, c.workspaceName()
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
	endWait := n.reach.BeginWait(e.Service)
	sendCtx, keepWaiting := ctx, func() {}
	if c.handedOver == nil && (c.route.Idempotent() || a.PrefillOnly) {
		sendCtx, keepWaiting = n.linkWaits.begin(ctx, e.Service)
	}
	resp, err := n.forwarder.Send(sendCtx, byforward.Target{Addr: e.Addr, MaxConns: n.endpointConnLimit(c.service)}, req)
	keepWaiting() // also while the body is read
	endWait()
	if err != nil {
		c.warn("send failed", append(c.attemptFields(e, a), bylog.Str("addr", e.Addr), bylog.Err(err))...)
		return nil, c.classifySendError(ctx, e, attemptAction(a), err), err
	}
	n.metrics.EndpointLatency(c.service.Name, attemptAction(a)).Update(n.clock.Now().Sub(sentAt).Seconds())
	n.recordContact(e)
	info := n.observeResponse(e, resp.Status, resp.Header)
	n.loadTracker.RecordLoadReport(e.ID, info.Load)
	if !info.WrongEndpoint {
		n.recordLimit(e, info.Limit, sentAt)
	}
	switch {
	case info.WrongEndpoint:
		n.reportResult(e, byfleet.WrongEndpoint, nil)
	case info.NotRun:
		n.reportResult(e, byfleet.Shed, nil)
	case resp.Status >= http.StatusInternalServerError || info.Unproven:
		n.reportResult(e, byfleet.Failed, nil)
	}
	if info.NotRun {
		c.drainBody(resp)
		isDoubtful := c.isDoubtful(resp)
		resp.Close()
		if isDoubtful {
			n.reportResult(e, byfleet.Failed, nil)
			c.warn("refusal not believed", append(c.attemptFields(e, a), bylog.Int("status", resp.Status))...)
			return nil, outcomeUnknown, burdockyard.ErrRequestMismatch
		}
		c.endpointRefused = true
		c.log("endpoint refused", append(c.attemptFields(e, a), bylog.Int("status", resp.Status))...)
		return nil, outcomeNotRun, burdockyard.ErrNotStarted
	}
	if info.Unproven {
		// Callers take the status for a promise that the request has not run.
		c.drainBody(resp)
		resp.Close()
		c.warn("endpoint failed", bylog.Str("endpoint", string(e.ID)), bylog.Int("status", resp.Status))
		return nil, outcomeUnknown, burdockyard.ErrInterrupted
	}
	return resp, outcomeAnswered, nil
}

// observeResponse decodes the header of an endpoint's response, and records what the
// endpoint tells of itself there: that it is about to end, or wants a rest.
func (n *Node) observeResponse(e byfleet.Endpoint, status int, h http.Header) burdockyard.ResponseInfo {
	info := n.platform.Protocol.DecodeResponse(status, h)
	if info.WrongEndpoint {
		return info // it may be another endpoint that tells
	}
	if info.Leaving && n.fleet.MarkLeaving(e.ID, e.BornMS) {
		n.log.fleet.Info("endpoint leaves", bylog.Str("endpoint", string(e.ID)), bylog.Str("told_by", string(e.ID)))
		n.peers.sendSoon()
	}
	if info.RetryAfter > 0 {
		n.fleet.Rest(e.ID, info.RetryAfter)
		n.log.fleet.Info("endpoint rests", bylog.Str("endpoint", string(e.ID)), bylog.Millis("rest_ms", info.RetryAfter))
	}
	return info
}

// What an attempt asks of an endpoint, as written to the log and the metrics.
const (
	actionRead = "read" // prefill the prompt only
	actionRun  = "run"  // run the request
)

// attemptAction returns what an attempt asks of an endpoint.
func attemptAction(a burdockyard.Attempt) string {
	if a.PrefillOnly {
		return actionRead
	}
	return actionRun
}

// attemptFields returns log fields for the endpoint, what the attempt asks of it, and
// the times predicted by the plan.
func (c *call) attemptFields(e byfleet.Endpoint, a burdockyard.Attempt) []bylog.Field {
	fields := []bylog.Field{bylog.Str("endpoint", string(e.ID)), bylog.Str("asked_to", attemptAction(a))}
	if p := c.lastPlan; p.PredictedTTFT > 0 {
		fields = append(fields, bylog.Millis("predict_ms", p.PredictedTTFT), bylog.Millis("wait_ms", p.QueueTime), bylog.Millis("read_ms", p.PrefillTime), bylog.Int("cached", p.CachedTokens))
	}
	return fields
}

// classifySendError returns the outcome of a send that failed and reports the failure
// to the fleet.
func (c *call) classifySendError(ctx context.Context, e byfleet.Endpoint, action string, err error) outcome {
	if c.callerGone() {
		return outcomeAbandoned
	}
	if errors.Is(err, burdockyard.ErrNotStarted) {
		c.sends-- // no byte of the request was sent
		c.node.limits.Return(e.ID, e.BornMS)
		if !errors.Is(err, byforward.ErrConnectionLimit) {
			if ctx.Err() == nil && c.timeLeft() > 0 { // otherwise the request has ended, and the endpoint may be sound
				c.node.reportResult(e, dialResult(err), err)
				c.linkFailures++
				c.node.recordLinkFailure(e)
			}
		}
		return outcomeNotRun
	}
	if ctx.Err() != nil || c.timeLeft() <= 0 {
		c.node.reportResult(e, byfleet.NoAnswer, err)
		return outcomeAbandoned
	}
	c.node.reportResult(e, byfleet.Unreachable, err)
	if isLinkFailure(err) {
		c.linkFailures++
		c.node.recordLinkFailure(e)
	}
	c.attemptBroke(ctx, e, action, 0, false, err)
	return outcomeUnknown
}

// dialResult returns the result of an attempt for which no connection could be opened.
func dialResult(err error) byfleet.Result {
	if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
		return byfleet.NoConnection
	}
	return byfleet.Unreachable
}

// drainTime is how long the rest of a refusal is waited for, in order to reuse its connection.
const drainTime = 50 * time.Millisecond

// drainBody reads and discards the rest of a response so that its connection can be
// reused. It does not hold up the request.
func (c *call) drainBody(resp *byforward.Response) {
	if err := resp.Discard(maxBufferedBody, drainTime); err != nil {
		c.node.log.calls.Debug("refusal body not read to its end", bylog.Str("request", string(c.info.ID)), bylog.Err(err))
	}
}

// isDoubtful reports whether a refusal may be a copy of an earlier one, although it carries
// the ID of the request: the endpoint repeats refusals on its connection, or another
// response to the request follows.
func (c *call) isDoubtful(resp *byforward.Response) bool {
	decode := c.node.platform.Protocol.DecodeResponse
	for _, earlier := range resp.Copies() {
		if decode(earlier.Status, earlier.Header).NotRun {
			return true
		}
	}
	next, found := resp.Next()
	if !found {
		return false
	}
	info := decode(next.Status, next.Header)
	return !info.NotRun && (info.ID == c.info.ID || next.Header == nil)
}

// endpointConnLimit returns the maximum number of connections to one endpoint from
// this node. It divides the service's limit among all nodes.
func (n *Node) endpointConnLimit(s *burdockyard.ServiceSpec) int {
	sameDomain, otherDomain := n.peers.countByDomain()
	return max(s.MaxConns/(1+sameDomain+otherDomain), minEndpointConns)
}

// minEndpointConns is the number of connections to one endpoint that every node may
// open, even if its share of the service's limit is smaller.
const minEndpointConns = 2

// reportResult passes the result of an attempt to the fleet, and logs if the
// fleet suspends or restores the endpoint because of it.
func (n *Node) reportResult(e byfleet.Endpoint, r byfleet.Result, err error) {
	switch n.fleet.Report(e.ID, r) {
	case byfleet.Suspended:
		n.log.fleet.Info("endpoint set aside", bylog.Str("endpoint", string(e.ID)), bylog.Str("addr", e.Addr),
			bylog.Str("result", r.String()), bylog.Err(err))
	case byfleet.Restored:
		n.log.fleet.Info("endpoint regained", bylog.Str("endpoint", string(e.ID)), bylog.Str("addr", e.Addr))
	}
}

// takeRetry reports whether the request may be sent to another endpoint after the
// given outcome. If so, it takes the retry from the service's budget.
func (c *call) takeRetry(o outcome) bool {
	switch {
	case c.denial != "" || c.isQuarantined() || c.onlySend:
		return false
	case o == outcomeAbandoned || c.callerGone() || c.timeLeft() <= 0 || c.sends >= maxSends:
		return false
	case o == outcomeNotRun && c.sends == 0:
		return len(c.tried) < maxSends // no byte was sent yet, so this takes nothing from the retry budget
	case o == outcomeUnknown && (!c.route.Idempotent() || c.possibleRuns >= c.route.MaxAttempts):
		return false
	}
	return c.node.retryBudgets.forService(c.service.Name).TryWithdraw()
}

// serveCall serves a request whose response is not a stream.
func (c *call) serveCall(ctx context.Context) {
	last := outcomeNotRun
	var lastErr error
	for {
		e, ok := c.node.loadTracker.PlanCall(c.node.settings.Domain, c.untriedEndpoints())
		if !ok {
			break
		}
		inFlight, sentAt := c.node.loadTracker.Begin(e.ID, byplace.Work{Streams: 1}), c.node.clock.Now()
		resp, o, err := c.send(ctx, e, burdockyard.Attempt{Priority: -1})
		if o != outcomeNotRun {
			c.possibleRuns++
			c.countBegun()
		}
		var buffered *bufferedResponse
		if o == outcomeAnswered {
			if buffered, o, err = c.readResponse(ctx, e, resp); err == nil && resp.IsSelfDelimited() {
				c.recordAnswer()
			}
		}
		inFlight.Done()
		c.node.scaling.countCall(c.service, e, c.node.clock.Now().Sub(sentAt))
		last, lastErr = o, err
		if o == outcomeAnswered && buffered.status < http.StatusInternalServerError {
			c.endpointFailure.close()
			c.writeResponse(buffered)
			if !resp.IsSelfDelimited() {
				c.recordUnframedAnswer(ctx, e)
			}
			return
		}
		if o == outcomeAnswered {
			c.keepFailure(buffered)
			last = outcomeUnknown
		}
		if c.lacksLink() || !c.takeRetry(last) {
			break
		}
	}
	if c.handOverInstead(ctx, last) {
		return
	}
	c.sendFinalResponse(last, lastErr)
}

// keepFailure stores a 5xx response of an endpoint. The caller gets it if no other
// endpoint serves the request.
func (c *call) keepFailure(buffered *bufferedResponse) {
	c.warn("endpoint failed", bylog.Str("endpoint", string(buffered.endpoint)), bylog.Int("status", buffered.status))
	c.endpointFailure.close()
	c.endpointFailure = buffered
}

// sendFinalResponse sends the final response to a request that no endpoint has served.
func (c *call) sendFinalResponse(last outcome, err error) {
	switch {
	case c.callerGone():
		c.endpointFailure.close()
		c.recordEnd(bylog.OutcomeCallerDisconnected)
	case c.endpointFailure != nil:
		c.writeResponse(c.endpointFailure)
	case c.denial != "" && c.possibleRuns == 0:
		c.refuseUnauthorized()
	case c.quarantined && c.possibleRuns == 0:
		c.refuseFor(reasonQuarantined, c.node.quarantine.TimeToTrial(c.keys))
	case last == outcomeNotRun && c.possibleRuns > 0:
		c.fail(reasonEndpointFailed, err) // an endpoint may have run the request earlier
	case last == outcomeNotRun && c.sends == 0 && c.timeToLimit() > 0:
		c.refuse(reasonLimited, c.timeToLimit())
	case last == outcomeNotRun && len(c.tried) == 0:
		c.refuse(reasonNoEndpoint, c.retryAfterRest(noEndpointRetryAfter))
	case last == outcomeNotRun && c.handedOver != nil && c.onlyLinksFailed():
		c.refuse(reasonNoLink, noEndpointRetryAfter)
	case last == outcomeNotRun:
		c.refuse(reasonEndpointsFull, c.retryAfterRest(endpointsFullRetryAfter))
	default:
		c.fail(reasonNoAnswer, err)
	}
}

// retryAfterRest returns the retry delay for a refused request: the time until the first
// endpoint ends its rest if all of them rest, otherwise d.
func (c *call) retryAfterRest(d time.Duration) time.Duration {
	left, ok := c.node.fleet.RestLeft(c.service.Name)
	if !ok || len(c.node.fleet.Usable(c.service.Name)) > 0 {
		return d
	}
	return left
}

// bufferedResponse is an endpoint's response of which up to maxBufferedBody bytes of
// the body have been read.
type bufferedResponse struct {
	endpoint burdockyard.EndpointID
	status   int
	header   http.Header
	body     []byte
	unread   *byforward.Response // response with the rest of the body, nil if body is complete
	held     *bymemory.Holding   // memory of body
}

// close closes a response that is not passed to the caller. It may be called on nil.
func (b *bufferedResponse) close() {
	if b == nil {
		return
	}
	b.held.Release()
	if b.unread != nil {
		b.unread.Close()
	}
}

// readResponse reads up to maxBufferedBody bytes of a response's body. If the response
// is cut off, the request may be retried, since the caller has not got a byte of it.
func (c *call) readResponse(ctx context.Context, e byfleet.Endpoint, resp *byforward.Response) (*bufferedResponse, outcome, error) {
	buffered := &bufferedResponse{endpoint: e.ID, status: resp.Status, header: c.node.platform.Protocol.ResponseHeaders(resp.Header)}
	if err := c.bufferBody(buffered, resp); err != nil {
		resp.Close()
		buffered.held.Release()
		c.node.reportResult(e, byfleet.Failed, err)
		if c.callerGone() || ctx.Err() != nil || c.timeLeft() <= 0 {
			return nil, outcomeAbandoned, err
		}
		c.attemptBroke(ctx, e, actionRun, 0, false, err)
		return nil, outcomeUnknown, err
	}
	if buffered.unread == nil {
		resp.Close()
	}
	if resp.Status < http.StatusInternalServerError {
		c.node.reportResult(e, byfleet.Succeeded, nil)
	}
	return buffered, outcomeAnswered, nil
}

// writeResponse sends an endpoint's response to the caller.
func (c *call) writeResponse(buffered *bufferedResponse) {
	h := c.w.Header()
	for key, values := range buffered.header {
		h[key] = values
	}
	if buffered.unread == nil {
		h.Set("Content-Length", strconv.Itoa(len(buffered.body)))
	} else if buffered.unread.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(buffered.unread.Length, 10))
	}
	c.node.metrics.RouteTimeToFirstByte(c.route.Name).Update(c.node.clock.Now().Sub(c.startedAt).Seconds())
	c.w.WriteHeader(buffered.status)
	defer buffered.close()
	if err := c.passOn(buffered); err != nil {
		c.recordEnd(bylog.OutcomeInterrupted, bylog.Str("endpoint", string(buffered.endpoint)), bylog.Err(err))
		c.abort()
	}
	c.recordEnd(bylog.OutcomeAnswered, bylog.Int("status", buffered.status), bylog.Str("endpoint", string(buffered.endpoint)))
}
