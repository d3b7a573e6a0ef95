package byentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
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
	if !c.chooseVersion() {
		return
	}
	if c.info.Prompt == nil || c.service.Model == nil {
		c.serveStreamWithoutPrompt(ctx)
		return
	}
	relay := newEventRelay(c)
	last, lastErr := outcomeNotRun, error(nil)
	for attempt := range maxPlanAttempts {
		plan, ok := c.planPrompt(relay.resumeID() != "")
		if attempt == 0 && c.handedOver == nil {
			c.node.scaling.countPrompt(c.service, c.info.Prompt, plan, ok)
		}
		if !ok {
			break
		}
		if !relay.headerSent && plan.PredictedTTFT > c.startTimeLeft() {
			if c.hasVersion && !c.versionBound {
				c.hasVersion = false // engines of another version may be idle
				continue
			}
			c.log("too late to start", bylog.Millis("predict_ms", plan.PredictedTTFT), bylog.Millis("wait_ms", plan.QueueTime))
			if c.sends == 0 {
				c.refuse(reasonOverload, plan.PredictedTTFT-c.startTimeLeft())
				return
			}
			break
		}
		last, lastErr = c.executePlan(ctx, plan, relay)
		if last == outcomeUnknown && c.backup != nil {
			last, lastErr = c.continueFromBackup(ctx, plan.DecodeEngine, relay)
		}
		if last == outcomeAnswered {
			return
		}
		if !relay.headerSent && c.lacksLink() || !c.takeRetry(last) {
			break
		}
	}
	if !relay.headerSent && c.handOverInstead(ctx, last) {
		return
	}
	c.endStream(relay, last, lastErr)
}

// endStream ends a request that cannot continue on another endpoint. If the response
// to the caller has begun, it does not return.
func (c *call) endStream(relay *eventRelay, last outcome, err error) {
	if !relay.headerSent {
		c.sendFinalResponse(last, err)
		return
	}
	c.endpointFailure.close()
	c.recordEnd(bylog.OutcomeInterrupted, bylog.Int("events", relay.eventCount), bylog.Err(err))
	c.abort()
}

// planPrompt selects the engines for the prompt, and returns false if there are none.
// A resumed stream needs a single engine that does both prefill and decode.
func (c *call) planPrompt(resumed bool) (byplace.Plan, bool) {
	sameDomain, otherDomain := c.node.peers.countByDomain()
	request := byplace.PlacementRequest{
		Prompt: c.info.Prompt, Model: c.service.Model, Domain: c.node.settings.Domain,
		Nodes: 1 + sameDomain + otherDomain, RandIntN: rand.IntN, DecodeOnly: resumed || c.onlySend,
	}
	return c.node.loadTracker.PlanPrompt(request, c.untriedEndpoints())
}

// executePlan runs the prefill and the decode on the planned engines.
func (c *call) executePlan(ctx context.Context, plan byplace.Plan, relay *eventRelay) (outcome, error) {
	n := c.node
	c.lastPlan = plan
	attempt := burdockyard.Attempt{Priority: -1, LastEventID: relay.resumeID()}
	work := byplace.Work{Streams: 1, HasLongPrompt: c.info.Prompt != nil && byplace.IsLongPrompt(c.info.Prompt)}
	var stored *storedPrompt
	if plan.PrefillEngine == nil {
		attempt.PrefixSource = plan.PrefixSource
		work = plan.PrefillWork(c.info.Prompt)
		work.Streams = 1
	} else {
		if !c.reserve(plan.DecodeEngine) {
			c.tried[plan.DecodeEngine.ID] = true
			return outcomeNotRun, burdockyard.ErrNotStarted
		}
		defer c.dropReservation()
		var o outcome
		var err error
		if stored, o, err = c.prefillPrompt(ctx, plan); o != outcomeAnswered {
			return o, err
		}
		defer stored.release(n)
		n.loadTracker.RecordPrefill(plan.DecodeEngine.ID, c.info.Prompt)
		if c.isQuarantined() {
			return outcomeNotRun, burdockyard.ErrNotStarted
		}
		attempt.KVSource = n.platform.Protocol.KVSource(stored.endpoint.Addr, stored.prefilled.Handle)
	}
	if c.backup = c.planBackup(plan.DecodeEngine); c.backup != nil {
		attempt.BackupTo = c.backup.Addr
	}
	inFlight := n.loadTracker.Begin(plan.DecodeEngine.ID, work)
	defer inFlight.Done()
	resp, o, err := c.send(ctx, plan.DecodeEngine, attempt)
	if o != outcomeNotRun {
		c.possibleRuns++
	}
	if o != outcomeAnswered {
		if o == outcomeUnknown {
			c.countLostStart(plan.DecodeEngine)
		}
		if o == outcomeUnknown && stored != nil {
			stored.maybeFetched = true // the engine may have fetched the KV cache
		}
		return o, err
	}
	if stored != nil {
		stored.maybeFetched = true
	}
	defer resp.Close()
	return c.forwardStream(ctx, plan, resp, relay, inFlight)
}

// forwardStream forwards the event stream of resp to the caller.
func (c *call) forwardStream(ctx context.Context, plan byplace.Plan, resp *byforward.Response, relay *eventRelay, inFlight *byplace.InFlightAttempt) (outcome, error) {
	n := c.node
	if resp.Status >= http.StatusInternalServerError {
		buffered, o, err := c.readResponse(ctx, plan.DecodeEngine, resp)
		if o != outcomeAnswered {
			return o, err
		}
		c.keepFailure(buffered)
		return outcomeUnknown, burdockyard.ErrInterrupted
	}
	sentAt, eventsBefore := n.clock.Now(), relay.eventCount
	onFirstByte := func() {
		if resp.Status == http.StatusOK {
			c.countBegun()
		}
		took, tokens := time.Duration(0), 0
		if p := c.info.Prompt; p != nil {
			tokens = p.InputTokens
			if plan.PrefillEngine == nil {
				took = n.clock.Now().Sub(sentAt)
				n.loadTracker.RecordPrefill(plan.DecodeEngine.ID, p)
				c.countPromptTokens(plan)
			}
		}
		inFlight.PrefillDone(took)
		n.metrics.RouteTimeToFirstByte(c.route.Name).Update(n.clock.Now().Sub(c.startedAt).Seconds())
		c.log("first event", bylog.Str("endpoint", string(plan.DecodeEngine.ID)), bylog.Str("version", plan.DecodeEngine.Version), bylog.Millis("predict_ms", plan.PredictedTTFT),
			bylog.Millis("wait_ms", plan.QueueTime), bylog.Int("cached", plan.CachedTokens), bylog.Str("reader", prefillEngineID(plan)),
			bylog.Str("source", plan.PrefixSource), bylog.Int("tokens", tokens))
	}
	err := relay.forwardResponse(resp, plan.DecodeEngine, onFirstByte)
	switch {
	case err == nil:
		n.reportResult(plan.DecodeEngine, byfleet.Succeeded, nil)
		c.recordEnd(bylog.OutcomeAnswered, bylog.Int("status", resp.Status), bylog.Str("endpoint", string(plan.DecodeEngine.ID)),
			bylog.Int("events", relay.eventCount), bylog.Millis("max_gap_ms", relay.maxGap))
		return outcomeAnswered, nil
	case c.callerGone() || c.timeLeft() <= 0 || errors.Is(err, errCallerDisconnected):
		return outcomeAbandoned, err
	default:
		n.reportResult(plan.DecodeEngine, byfleet.Failed, err)
		c.attemptBroke(ctx, plan.DecodeEngine, actionRun, relay.eventCount-eventsBefore, relay.answerBegun, err)
		c.countLostStart(plan.DecodeEngine)
		relay.dropHeld()
		return outcomeUnknown, err
	}
}

// prefillEngineID returns the ID of the prefill engine, or "" if the decode engine does
// the prefill itself.
func prefillEngineID(p byplace.Plan) string {
	if p.PrefillEngine == nil {
		return ""
	}
	return string(p.PrefillEngine.ID)
}

// storedPrompt is a prompt whose KV cache an engine stores for another engine to
// fetch.
type storedPrompt struct {
	endpoint     byfleet.Endpoint
	prefilled    burdockyard.PrefilledPrompt
	maybeFetched bool
}

// prefillPrompt runs the prefill on the plan's prefill engine, which stores the KV
// cache. A failure or timeout yields outcomeNotRun, because a prefill is not an
// execution of the request.
func (c *call) prefillPrompt(ctx context.Context, plan byplace.Plan) (*storedPrompt, outcome, error) {
	n := c.node
	e := *plan.PrefillEngine
	inFlight := n.loadTracker.Begin(e.ID, plan.PrefillWork(c.info.Prompt))
	defer inFlight.Done()
	sentAt := n.clock.Now()
	prefillCtx, cancel := context.WithTimeout(ctx, plan.MaxPrefillTimeout())
	defer cancel()
	defer n.cancelIfSilent(cancel, e.ID, plan.PrefillTimeout())()
	resp, o, err := c.send(prefillCtx, e, burdockyard.Attempt{PrefillOnly: true, PrefixSource: plan.PrefixSource, Priority: plan.PrefillPriority})
	timedOut := o == outcomeAbandoned && prefillCtx.Err() != nil && ctx.Err() == nil && c.timeLeft() > 0
	if timedOut {
		n.metrics.PrefillTimeouts(c.service.Name).Inc()
		n.reportResult(e, byfleet.Silent, err)
		c.warn("reader is silent", bylog.Str("endpoint", string(e.ID)), bylog.Millis("limit_ms", n.clock.Now().Sub(sentAt)), bylog.Millis("wait_ms", plan.QueueTime), bylog.Millis("read_ms", plan.PrefillTime))
	}
	if o == outcomeUnknown || timedOut {
		o = outcomeNotRun // a prefill is not an execution, so another engine may get the request
	}
	if o != outcomeAnswered {
		return nil, o, err
	}
	defer resp.Close()
	body, err := resp.ReadAll(maxPrefillResponseBytes)
	var prefilled burdockyard.PrefilledPrompt
	if err == nil && resp.Status == http.StatusOK {
		prefilled, err = n.platform.Protocol.DecodePrefilledPrompt(body)
	}
	if err != nil || resp.Status != http.StatusOK {
		n.reportResult(e, byfleet.Failed, err)
		c.warn("prefill failed", bylog.Str("endpoint", string(e.ID)), bylog.Int("status", resp.Status), bylog.Err(err))
		return nil, outcomeNotRun, err
	}
	took := n.clock.Now().Sub(sentAt)
	n.metrics.PrefillTime().Update(took.Seconds())
	n.metrics.PrefillWait().Update(max(took-plan.PrefillTime, 0).Seconds())
	inFlight.PrefillDone(took)
	n.loadTracker.RecordPrefill(e.ID, c.info.Prompt)
	c.countPromptTokens(plan)
	n.reportResult(e, byfleet.Succeeded, nil)
	c.log("prompt read", bylog.Str("endpoint", string(e.ID)), bylog.Millis("took_ms", took), bylog.Millis("wait_ms", plan.QueueTime),
		bylog.Millis("read_ms", plan.PrefillTime), bylog.Int("tokens", prefilled.Tokens), bylog.Int("cached", plan.CachedTokens), bylog.Str("source", plan.PrefixSource))
	return &storedPrompt{endpoint: e, prefilled: prefilled}, outcomeAnswered, nil
}

// cancelIfSilent calls cancel once the engine has ended no prefill for the given time from now. It
// returns a function that ends the watch.
func (n *Node) cancelIfSilent(cancel context.CancelFunc, id burdockyard.EndpointID, timeout time.Duration) (stop func()) {
	since := n.clock.Now()
	var mu sync.Mutex // guards timer and since
	var timer *time.Timer
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(timeout, func() {
		mu.Lock()
		defer mu.Unlock()
		if !n.loadTracker.HasPrefilledSince(id, since) {
			cancel()
			return
		}
		since = n.clock.Now()
		timer.Reset(timeout)
	})
	return func() { timer.Stop() }
}

// countPromptTokens counts the tokens of a prompt that was prefilled by a plan.
func (c *call) countPromptTokens(plan byplace.Plan) {
	m, service := c.node.metrics, c.service.Name
	m.PromptTokens(service, "cached").Add(plan.CachedTokens - plan.FetchedTokens)
	m.PromptTokens(service, "fetched").Add(plan.FetchedTokens)
	m.PromptTokens(service, "read").Add(max(byplace.PromptTokens(c.info.Prompt)-plan.CachedTokens, 0))
	if plan.PrefixSource != "" {
		m.PrefixFetches(service).Inc()
	}
}

// release frees the stored KV cache unless an engine may have fetched it. It also
// runs after the caller has disconnected, so it does not use the request's context.
func (p *storedPrompt) release(n *Node) {
	if p.maybeFetched {
		return
	}
	method, path := n.platform.Protocol.ReleaseCall(p.prefilled.Handle)
	req := &byforward.Request{Method: method, Path: path, Header: http.Header{}}
	if _, _, err := n.callControl(context.Background(), p.endpoint, req); err != nil {
		n.log.calls.Debug("could not free a stored prompt; it will expire on the engine", bylog.Str("endpoint", string(p.endpoint.ID)), bylog.Err(err))
	}
}

// serveStreamWithoutPrompt handles a streaming request that carries no prompt
// description or whose service has no model.
func (c *call) serveStreamWithoutPrompt(ctx context.Context) {
	relay := newEventRelay(c)
	last, lastErr := outcomeNotRun, error(nil)
	for range maxPlanAttempts {
		e, ok := c.node.loadTracker.PlanCall(c.node.settings.Domain, c.untriedEndpoints())
		if !ok {
			break
		}
		last, lastErr = c.executePlan(ctx, byplace.Plan{DecodeEngine: e}, relay)
		if last == outcomeAnswered {
			return
		}
		if !relay.headerSent && c.lacksLink() || !c.takeRetry(last) {
			break
		}
	}
	if !relay.headerSent && c.handOverInstead(ctx, last) {
		return
	}
	c.endStream(relay, last, lastErr)
}
