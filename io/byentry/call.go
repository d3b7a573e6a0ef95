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
	// maxSends bounds the endpoints to which one request is sent, also where all
	// of them said that they have not run it.
	maxSends = 3
	// maxBufferedBody is the size up to which an answer is read whole before the
	// caller gets a byte, so that one which breaks off can be replaced.
	maxBufferedBody = 256 << 10
	// unsafeMaxIdle is how long a connection may have been idle that is used for a
	// request which may run only once: an endpoint that has just closed it leaves
	// the outcome unknown.
	unsafeMaxIdle = time.Second
	// noEndpointRetryAfter is how soon a service without endpoints is worth asking again.
	noEndpointRetryAfter = 300 * time.Millisecond
	// endpointsFullRetryAfter is how soon an endpoint that was full has a place again.
	endpointsFullRetryAfter = 120 * time.Millisecond
)

// outcome is what came of one send.
type outcome int

const (
	answered  outcome = iota // an answer that can be delivered
	notRun                   // certainly not run; another endpoint may get it
	broken                   // it may have run, and there is no whole answer
	abandoned                // the caller has left or the time is up
)

// send sends the request to an endpoint and sorts what comes back.
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

// attemptAction is the word for what an attempt asks of an endpoint.
func attemptAction(a burdockyard.Attempt) string {
	if a.ReadOnly {
		return "read"
	}
	return "run"
}

// attemptFields tells what an endpoint was asked for, and what was predicted of it.
func (c *call) attemptFields(e byfleet.Endpoint, a burdockyard.Attempt) []bylog.Field {
	fields := []bylog.Field{bylog.Str("endpoint", string(e.ID)), bylog.Str("asked_to", attemptAction(a))}
	if p := c.planned; p.Predict > 0 {
		fields = append(fields, bylog.Millis("predict_ms", p.Predict), bylog.Millis("wait_ms", p.Wait), bylog.Millis("read_ms", p.Read), bylog.Int("cached", p.Cached))
	}
	return fields
}

func (c *call) classifySendError(ctx context.Context, e byfleet.Endpoint, err error) outcome {
	if c.gone() {
		return abandoned
	}
	if errors.Is(err, burdockyard.ErrNotStarted) {
		c.sends-- // nothing has left
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

// drainBody reads the rest of an answer that is not delivered, to keep its connection.
func (c *call) drainBody(resp *byforward.Response) {
	if _, err := resp.ReadAll(maxBufferedBody); err != nil {
		c.node.log.calls.Debug("refusal cut off", bylog.Str("request", string(c.info.ID)), bylog.Err(err))
	}
	resp.Close()
}

// endpointConnLimit is how many connections to one endpoint this node may hold, so that
// all nodes together stay within the service's limit.
func (n *Node) endpointConnLimit(s *burdockyard.ServiceSpec) int {
	near, far := n.peers.count()
	return max(s.MaxConns/(1+near+far), minConns)
}

// minConns lets every node hold this many connections to an endpoint.
const minConns = 2

// report tells the fleet what came of an attempt.
func (n *Node) report(e byfleet.Endpoint, r byfleet.Result, err error) {
	switch n.fleet.Report(e.ID, r) {
	case byfleet.Aside:
		n.log.fleet.Info("endpoint set aside", bylog.Str("endpoint", string(e.ID)), bylog.Str("addr", e.Addr),
			bylog.Str("result", r.String()), bylog.Err(err))
	case byfleet.Back:
		n.log.fleet.Info("endpoint regained", bylog.Str("endpoint", string(e.ID)), bylog.Str("addr", e.Addr))
	}
}

// mayRepeat reports whether the request may be sent to one more endpoint after
// an outcome, and pays for it.
func (c *call) mayRepeat(o outcome) bool {
	switch {
	case o == abandoned || c.gone() || c.left() <= 0 || c.sends >= maxSends:
		return false
	case o == notRun && c.sends == 0:
		return len(c.tried) < maxSends // nothing has left yet, so it costs nothing
	case o == broken && (!c.route.Idempotent() || c.tries >= c.route.Attempts):
		return false
	}
	return c.node.retryBudgets.forService(c.service.Name).Spend()
}

// serveCall serves a request of a plain service.
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

// keepFailure keeps an endpoint's own failure, which the caller gets if no other
// endpoint does better.
func (c *call) keepFailure(a *bufferedResponse) {
	c.warn("endpoint failed", bylog.Str("endpoint", string(a.endpoint)), bylog.Int("status", a.status))
	c.failure.close()
	c.failure = a
}

// finish gives the final answer to a request that has got none.
func (c *call) finish(last outcome, err error) {
	switch {
	case c.gone():
		c.failure.close()
		c.finished(bylog.EndLeft)
	case c.failure != nil:
		c.writeResponse(c.failure)
	case last == notRun && c.tries > 0:
		c.fail(reasonEndpointFailed, err) // an earlier send may have run
	case last == notRun && len(c.tried) == 0:
		c.refuse(reasonNoEndpoint, noEndpointRetryAfter)
	case last == notRun:
		c.refuse(reasonEndpointsFull, endpointsFullRetryAfter)
	default:
		c.fail(reasonNoAnswer, err)
	}
}

// bufferedResponse is an endpoint's answer, read as far as maxBufferedBody.
type bufferedResponse struct {
	endpoint burdockyard.EndpointID
	status   int
	header   http.Header
	body     []byte
	unread   *byforward.Response // what is still to be read, nil if nothing is
}

// close ends an answer that is not delivered.
func (a *bufferedResponse) close() {
	if a != nil && a.unread != nil {
		a.unread.Close()
	}
}

// take reads an answer. One that breaks off is an outcome that may be repeated,
// since the caller has not got a byte of it.
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

// writeResponse passes an answer on.
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
		panic(http.ErrAbortHandler) // the caller must not take it for a whole one
	}
	c.finished(bylog.EndAnswered, bylog.Int("status", a.status), bylog.Str("endpoint", string(a.endpoint)))
}
