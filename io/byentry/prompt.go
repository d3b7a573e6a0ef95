package byentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/byplace"
	"burdockyard/io/byforward"
	"burdockyard/io/bylog"
)

const (
	// maxPrefillResponseBytes limits the size of an engine's response to a
	// prefill-only request.
	maxPrefillResponseBytes = 16 << 10
	// maxPlanAttempts limits how often engines are selected for one request.
	maxPlanAttempts = 4
)

// serveStream handles a request whose response is an event stream.
func (c *call) serveStream(ctx context.Context) {
	if c.info.Prompt == nil || c.service.Model == nil {
		c.serveStreamWithoutPrompt(ctx)
		return
	}
	relay := newRelay(c)
	last, lastErr := notRun, error(nil)
	for range maxPlanAttempts {
		plan, ok := c.planPrompt(relay.resume() != "")
		if !ok {
			break
		}
		if !relay.started && plan.Predict > c.patience() {
			c.log("too late to start", bylog.Millis("predict_ms", plan.Predict), bylog.Millis("wait_ms", plan.Wait))
			if c.sends == 0 {
				c.refuse(reasonOverload, plan.Predict-c.patience())
				return
			}
			break
		}
		last, lastErr = c.executePlan(ctx, plan, relay)
		if last == answered {
			return
		}
		if !c.mayRepeat(last) {
			break
		}
	}
	c.endStream(relay, last, lastErr)
}

// endStream ends a request that cannot continue on another endpoint. If the
// response has begun, it panics with http.ErrAbortHandler.
func (c *call) endStream(relay *relay, last outcome, err error) {
	if !relay.started {
		c.finish(last, err)
		return
	}
	c.failure.close()
	c.finished(bylog.EndCut, bylog.Int("events", relay.events), bylog.Err(err))
	panic(http.ErrAbortHandler) // so that the caller detects the truncated response
}

// planPrompt selects the engines for the prompt, and returns false if there are none.
// A resumed stream needs a single engine that does both prefill and decode.
func (c *call) planPrompt(resumed bool) (byplace.Plan, bool) {
	sameDomain, otherDomain := c.node.peers.count()
	need := byplace.Need{
		Prompt: c.info.Prompt, Model: c.service.Model, Domain: c.node.settings.Domain,
		Nodes: 1 + sameDomain + otherDomain, Draw: rand.IntN, Direct: resumed,
	}
	return c.node.ledger.PlanPrompt(need, c.usable())
}

// executePlan runs the prefill and the decode on the planned engines.
func (c *call) executePlan(ctx context.Context, plan byplace.Plan, relay *relay) (outcome, error) {
	n := c.node
	c.planned = plan
	attempt := burdockyard.Attempt{Priority: -1, Resume: relay.resume()}
	work := byplace.Work{Read: plan.Read, Streams: 1, Long: c.info.Prompt != nil && byplace.Long(c.info.Prompt)}
	var stored *storedPrompt
	if plan.Reader == nil {
		attempt.Fetch = plan.Source
	} else {
		work.Read = 0
		var o outcome
		var err error
		if stored, o, err = c.prefillPrompt(ctx, plan); o != answered {
			return o, err
		}
		defer stored.release(n)
		n.ledger.NoteRead(plan.Runner.ID, c.info.Prompt)
		attempt.Memory = n.platform.Protocol.MemorySource(stored.endpoint.Addr, stored.memory.Handle)
	}
	flight := n.ledger.Begin(plan.Runner.ID, work)
	defer flight.Done()
	resp, o, err := c.send(ctx, plan.Runner, attempt)
	if o != notRun {
		c.tries++
	}
	if o != answered {
		if o == broken && stored != nil {
			stored.maybeFetched = true // the engine may have fetched the KV cache
		}
		return o, err
	}
	if stored != nil {
		stored.maybeFetched = true
	}
	defer resp.Close()
	return c.forwardStream(plan, resp, relay, flight)
}

// forwardStream forwards the event stream of resp to the caller.
func (c *call) forwardStream(plan byplace.Plan, resp *byforward.Response, relay *relay, flight *byplace.Flight) (outcome, error) {
	n := c.node
	if resp.Status >= http.StatusInternalServerError {
		a, o, err := c.take(plan.Runner, resp)
		if o != answered {
			return o, err
		}
		c.keepFailure(a)
		return broken, burdockyard.ErrInterrupted
	}
	sent := n.clock.Now()
	onFirstByte := func() {
		took, tokens := time.Duration(0), 0
		if p := c.info.Prompt; p != nil {
			tokens = p.Input
			if plan.Reader == nil {
				took = n.clock.Now().Sub(sent)
				n.ledger.NoteRead(plan.Runner.ID, p)
			}
		}
		flight.ReadDone(took)
		n.metrics.RouteFirstByte(c.route.Name).Update(n.clock.Now().Sub(c.began).Seconds())
		c.log("first event", bylog.Str("endpoint", string(plan.Runner.ID)), bylog.Millis("predict_ms", plan.Predict),
			bylog.Millis("wait_ms", plan.Wait), bylog.Int("cached", plan.Cached), bylog.Str("reader", readerID(plan)),
			bylog.Str("source", plan.Source), bylog.Int("tokens", tokens))
	}
	err := relay.pass(resp, onFirstByte)
	switch {
	case err == nil:
		n.report(plan.Runner, byfleet.Succeeded, nil)
		c.finished(bylog.EndAnswered, bylog.Int("status", resp.Status), bylog.Str("endpoint", string(plan.Runner.ID)),
			bylog.Int("events", relay.events), bylog.Millis("max_gap_ms", relay.maxGap))
		return answered, nil
	case c.gone() || c.left() <= 0 || errors.Is(err, errCallerLeft):
		return abandoned, err
	default:
		n.report(plan.Runner, byfleet.Failed, err)
		return broken, err
	}
}

// readerID returns the ID of the prefill engine, or "" if the decode engine does
// the prefill itself.
func readerID(p byplace.Plan) string {
	if p.Reader == nil {
		return ""
	}
	return string(p.Reader.ID)
}

// storedPrompt is a prompt whose KV cache an engine stores for another engine to
// fetch.
type storedPrompt struct {
	endpoint     byfleet.Endpoint
	memory       burdockyard.PromptMemory
	maybeFetched bool
}

// prefillPrompt runs the prefill on the plan's prefill engine, which stores the KV
// cache. A failure or timeout yields notRun, because a prefill is not an execution
// of the request.
func (c *call) prefillPrompt(ctx context.Context, plan byplace.Plan) (*storedPrompt, outcome, error) {
	n := c.node
	e := *plan.Reader
	flight := n.ledger.Begin(e.ID, byplace.Work{Read: plan.Read})
	defer flight.Done()
	sent := n.clock.Now()
	prefillCtx, cancel := context.WithTimeout(ctx, plan.ReadLimit())
	defer cancel()
	resp, o, err := c.send(prefillCtx, e, burdockyard.Attempt{ReadOnly: true, Fetch: plan.Source, Priority: plan.First})
	timedOut := o == abandoned && prefillCtx.Err() != nil && ctx.Err() == nil && c.left() > 0
	if timedOut {
		n.report(e, byfleet.Silent, err)
		c.warn("reader is silent", bylog.Str("endpoint", string(e.ID)), bylog.Millis("limit_ms", plan.ReadLimit()), bylog.Millis("wait_ms", plan.Wait), bylog.Millis("read_ms", plan.Read))
	}
	if o == broken || timedOut {
		o = notRun // a prefill is not an execution, so another engine may get the request
	}
	if o != answered {
		return nil, o, err
	}
	defer resp.Close()
	body, err := resp.ReadAll(maxPrefillResponseBytes)
	var memory burdockyard.PromptMemory
	if err == nil && resp.Status == http.StatusOK {
		memory, err = n.platform.Protocol.DecodeMemory(body)
	}
	if err != nil || resp.Status != http.StatusOK {
		n.report(e, byfleet.Failed, err)
		c.warn("prefill failed", bylog.Str("endpoint", string(e.ID)), bylog.Int("status", resp.Status), bylog.Err(err))
		return nil, notRun, err
	}
	took := n.clock.Now().Sub(sent)
	n.metrics.PromptRead().Update(took.Seconds())
	n.metrics.PromptWait().Update(max(took-plan.Read, 0).Seconds())
	flight.ReadDone(took)
	n.ledger.NoteRead(e.ID, c.info.Prompt)
	n.report(e, byfleet.Succeeded, nil)
	c.log("prompt read", bylog.Str("endpoint", string(e.ID)), bylog.Millis("took_ms", took), bylog.Millis("wait_ms", plan.Wait),
		bylog.Millis("read_ms", plan.Read), bylog.Int("tokens", memory.Tokens), bylog.Int("cached", plan.Cached), bylog.Str("source", plan.Source))
	return &storedPrompt{endpoint: e, memory: memory}, answered, nil
}

// release frees the stored KV cache unless an engine may have fetched it. It also
// runs after the caller has disconnected, so it does not use the request's context.
func (k *storedPrompt) release(n *Node) {
	if k.maybeFetched {
		return
	}
	method, path := n.platform.Protocol.ReleaseCall(k.memory.Handle)
	req := &byforward.Request{Method: method, Path: path, Header: http.Header{}}
	if _, _, err := n.callControl(context.Background(), k.endpoint, req); err != nil {
		n.log.calls.Debug("could not free a stored prompt; it will expire on the engine", bylog.Str("endpoint", string(k.endpoint.ID)), bylog.Err(err))
	}
}

// serveStreamWithoutPrompt handles a streaming request that carries no prompt
// description or whose service has no model.
func (c *call) serveStreamWithoutPrompt(ctx context.Context) {
	relay := newRelay(c)
	last, lastErr := notRun, error(nil)
	for range maxPlanAttempts {
		e, ok := c.node.ledger.PlanCall(c.node.settings.Domain, c.usable())
		if !ok {
			break
		}
		last, lastErr = c.executePlan(ctx, byplace.Plan{Runner: e}, relay)
		if last == answered {
			return
		}
		if !c.mayRepeat(last) {
			break
		}
	}
	c.endStream(relay, last, lastErr)
}
