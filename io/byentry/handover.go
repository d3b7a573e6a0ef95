package byentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/bymember"
	"burdockyard/core/byreach"
	"burdockyard/core/byworkspace"
	"burdockyard/io/byforward"
	"burdockyard/io/bylog"
)

// A node that has lost its links to the endpoints of a service hands requests over to a
// node that reaches them. It sends the request to the address for other nodes, with a
// header that callers cannot use, since their address does not read it. The other node
// serves it like a caller's request, but never hands it on.

const (
	// headerHandover marks a request that a node hands over. Its value is a random token,
	// the time in milliseconds for which the request has waited, and the number of its
	// possible runs.
	headerHandover = "Burdock-Handover"
	// headerNotRun marks the response of a node that has not run a request that was handed
	// over to it. Its value is the token of the handover, which endpoints do not know, and
	// the reason.
	headerNotRun = "Burdock-Not-Run"
	// headerKeyHash holds the hash of the caller's key, which is not sent itself.
	headerKeyHash = "Burdock-Key"
	// maxHandovers is the number of nodes to which a request is handed, one after the
	// other, while it has not run.
	maxHandovers = 2
	// handoversPerCore is the number of requests in progress that a node takes over from
	// others, for each core that it may use, and minHandovers the least such number.
	handoversPerCore = 400
	minHandovers     = 8
	// sameDomainPreference is how much more often a node of the same failure domain gets a
	// request than one of equal capacity in another domain.
	sameDomainPreference = 3
	// setAsideTime is how long an endpoint that could not be connected to may be set aside.
	setAsideTime = 2 * time.Second
	// maxPeerConns limits the open connections to another node for requests.
	maxPeerConns = 256
)

// handover is what a node tells about a request that it hands over.
type handover struct {
	token        string
	waited       time.Duration // since the request arrived
	possibleRuns int
	key          burdockyard.KeyHash // hash of the caller's key
	hasKey       bool                // whether key is set
}

// String returns the value of headerHandover.
func (h handover) String() string {
	return h.token + " " + strconv.FormatInt(h.waited.Milliseconds(), 10) + " " + strconv.Itoa(h.possibleRuns)
}

// maxWaited limits the waiting time that another node states.
const maxWaited = time.Hour

// parseHandover parses the value of headerHandover. What cannot be read counts as 0.
func parseHandover(text string) *handover {
	token, rest, _ := strings.Cut(text, " ")
	waited, runs, _ := strings.Cut(rest, " ")
	ms, errWaited := strconv.ParseInt(waited, 10, 64)
	n, errRuns := strconv.Atoi(runs)
	h := &handover{token: token}
	if errWaited == nil && ms > 0 {
		h.waited = min(time.Duration(min(ms, maxWaited.Milliseconds()))*time.Millisecond, maxWaited)
	}
	if errRuns == nil && n > 0 {
		h.possibleRuns = n
	}
	return h
}

// peerHandler returns the handler of the address for other nodes.
func (n *Node) peerHandler() http.Handler {
	calls := n.peerCallHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := r.Header.Get(headerHandover)
		n.observePauses()
		if text == "" {
			calls.ServeHTTP(w, r)
			return
		}
		h := parseHandover(text)
		if key, err := burdockyard.ParseKeyHash(r.Header.Get(headerKeyHash)); err == nil {
			h.key, h.hasKey = key, true
		}
		r.Header.Del(headerHandover)
		r.Header.Del(headerKeyHash)
		n.serveRequest(w, r, h)
	})
}

// takeOver reports whether this node serves a request that another node hands over to it.
// Otherwise it refuses the request. done must be called once the request has ended.
func (c *call) takeOver() (done func(), ok bool) {
	n := c.node
	limit := max(int64(handoversPerCore*n.reloadableSettings.Load().Capacity), minHandovers)
	taken := n.handoversTaken.Add(1)
	done = func() { n.handoversTaken.Add(-1) }
	switch {
	case taken > limit:
		c.refuse(reasonPeerFull, endpointsFullRetryAfter)
	case n.reach.IsLost(c.service.Name):
		c.refuse(reasonNoLink, noEndpointRetryAfter)
	default:
		n.metrics.Handovers(c.service.Name, "taken").Inc()
		c.possibleRuns = c.handedOver.possibleRuns
		return done, true
	}
	n.metrics.Handovers(c.service.Name, "refused").Inc()
	return done, false
}

// peersReaching returns the nodes that reach the endpoints of a service and take requests.
func (n *Node) peersReaching(service string) []bymember.Heartbeat {
	return n.peersTaking(func(h bymember.Heartbeat) bool { return h.Reach.Reaches(service) })
}

// peersTaking returns the eligible nodes that take requests.
func (n *Node) peersTaking(eligible func(bymember.Heartbeat) bool) []bymember.Heartbeat {
	return slices.DeleteFunc(n.view.ReceivedWithin(unreachableAfter), func(h bymember.Heartbeat) bool {
		return !h.Ready || h.Leaving || !eligible(h)
	})
}

// isCutOff reports whether this node's own links to the endpoints of a service have failed.
func (n *Node) isCutOff(service string) bool {
	return n.reach.IsLost(service) && len(n.peersReaching(service)) > 0
}

// lacksLink reports whether further attempts at endpoints are in vain because this node's
// links have failed, as far as it knows, while a peer could serve the request.
func (c *call) lacksLink() bool {
	n, service := c.node, c.service.Name
	if c.handedOver != nil || !n.reach.IsLost(service) && (c.linkFailures == 0 || !n.reach.IsQuiet(service)) {
		return false
	}
	return len(c.peers()) > 0
}

// handOverInstead hands the request over to a peer if this node could not serve it for
// want of a link or of a recent configuration, and reports whether it did. last is the outcome of the last attempt.
func (c *call) handOverInstead(ctx context.Context, last outcome) bool {
	switch {
	case c.handedOver != nil || c.trial || c.onlySend || c.callerGone() || c.timeLeft() <= 0 || c.isQuarantined():
		return false
	case c.denial != "" && !c.mayHandOverStale():
		return false
	case c.denial == "" && !c.onlyLinksFailed() && !c.lacksLink() || len(c.peers()) == 0:
		return false
	case (last != outcomeNotRun || c.possibleRuns > 0) && (!c.route.Idempotent() || !c.takeRetry(last)):
		return false
	}
	c.handOver(ctx)
	return true
}

// onlyLinksFailed reports whether the request could not be served for want of a link, and
// not because an endpoint refused it.
func (c *call) onlyLinksFailed() bool {
	return !c.endpointRefused && (c.linkFailures > 0 || c.endpointsSetAside())
}

// endpointsSetAside reports whether no endpoint could be tried because those that could
// serve the request were set aside when this node could not connect to them.
func (c *call) endpointsSetAside() bool {
	_, rests := c.node.fleet.RestLeft(c.service.Name)
	return len(c.tried) == 0 && !rests && c.timeToLimit() == 0 && c.node.reach.HasFailedWithin(c.service.Name, setAsideTime)
}

// handOver serves the request through other nodes. It always responds to the caller.
func (c *call) handOver(ctx context.Context) {
	last, lastErr := outcomeNotRun, error(nil)
	relay := newEventRelay(c)
	relay.passesOn = true
	tried := map[burdockyard.NodeID]bool{}
	for range maxHandovers {
		peer, ok := c.pickPeer(tried)
		if !ok {
			break
		}
		tried[peer.Member.Node] = true
		last, lastErr = c.sendToPeer(ctx, peer, relay)
		if last == outcomeAnswered {
			c.endpointFailure.close()
			return
		}
		if last == outcomeUnknown {
			c.possibleRuns++
		}
		if relay.headerSent || last == outcomeAbandoned || last == outcomeUnknown && !c.takeRetry(last) {
			break
		}
	}
	if relay.headerSent || last != outcomeNotRun || c.possibleRuns > 0 || c.callerGone() {
		c.endStream(relay, last, lastErr)
		return
	}
	if c.denial != "" {
		c.refuseUnauthorized()
		return
	}
	c.refuse(reasonNoLink, noEndpointRetryAfter)
}

// pickPeer picks a node that reaches the endpoints of the service and has not been tried,
// at random in proportion to capacity. It prefers nodes of this failure domain.
func (c *call) pickPeer(tried map[burdockyard.NodeID]bool) (bymember.Heartbeat, bool) {
	peers := c.peers()
	// Nodes that know the configuration which this node went by come first. The others
	// are about to learn it.
	upToDate := slices.DeleteFunc(slices.Clone(peers), func(h bymember.Heartbeat) bool { return h.Generation < c.configVersion })
	if peer, ok := c.pickAmong(upToDate, tried); ok {
		return peer, true
	}
	return c.pickAmong(peers, tried)
}

// pickAmong implements pickPeer for the given nodes.
func (c *call) pickAmong(peers []bymember.Heartbeat, tried map[burdockyard.NodeID]bool) (bymember.Heartbeat, bool) {
	weights := make([]float64, len(peers))
	for i, h := range peers {
		if tried[h.Member.Node] {
			continue
		}
		if weights[i] = max(h.Capacity, 0.01); h.Domain == c.node.settings.Domain {
			weights[i] *= sameDomainPreference
		}
	}
	i, ok := byreach.Pick(weights, rand.Float64())
	if !ok {
		return bymember.Heartbeat{}, false
	}
	return peers[i], true
}

// sendToPeer hands the request over to one node and passes its response on.
func (c *call) sendToPeer(ctx context.Context, peer bymember.Heartbeat, relay *eventRelay) (outcome, error) {
	n := c.node
	header := n.platform.Protocol.EncodeRequest(c.r.Header, burdockyard.Attempt{Deadline: c.timeLeft(), Priority: -1, LastEventID: c.info.LastEventID, ChecksKeys: c.checksKeys})
	h := handover{token: strconv.FormatUint(rand.Uint64(), 36), waited: n.clock.Now().Sub(c.startedAt), possibleRuns: c.possibleRuns}
	header.Set(headerHandover, h.String())
	header.Del(headerKeyHash)
	if c.checksKeys && c.info.HasKey {
		header.Set(headerKeyHash, c.info.Key.String())
	}
	req := &byforward.Request{
		ID: c.info.ID, Method: c.r.Method, Path: c.path, Host: c.r.Host, Header: header, Body: c.body, Deadline: c.deadline,
		AllowMissingID: true, // responses of the node itself carry none
	}
	if !c.route.Idempotent() {
		req.MaxIdle = unsafeMaxIdle
	}
	n.metrics.Handovers(c.service.Name, "sent").Inc()
	c.log("handed over", bylog.Str("peer", string(peer.Member.Node)))
	resp, err := n.forwarder.Send(ctx, byforward.Target{Addr: peer.Member.Addr, MaxConns: maxPeerConns}, req)
	if err != nil {
		c.warn("handover failed", bylog.Str("peer", string(peer.Member.Node)), bylog.Err(err))
		return c.handoverOutcome(ctx, err), err
	}
	defer resp.Close()
	if cause, ok := h.notRunReason(resp.Header); ok {
		c.log("peer refused", bylog.Str("peer", string(peer.Member.Node)), bylog.Str("cause", string(cause)))
		_ = resp.Discard(maxBufferedBody, drainTime) // only to reuse the connection
		if cause.isOfNode() || c.possibleRuns > 0 {
			return outcomeNotRun, burdockyard.ErrNotStarted
		}
		if cause == reasonDenied {
			c.denial = byworkspace.CauseUnknownKey
			c.refuseUnauthorized()
			return outcomeAnswered, nil
		}
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 if it states none
		c.refuseFor(cause, time.Duration(seconds*float64(time.Second)))
		return outcomeAnswered, nil
	}
	if c.route.Kind != burdockyard.KindStream || resp.Status != http.StatusOK {
		return c.passResponseOn(ctx, peer, resp)
	}
	if err := relay.forwardResponse(resp, byfleet.Endpoint{}, func() {}); err != nil {
		if errors.Is(err, errCallerDisconnected) {
			return outcomeAbandoned, err
		}
		return c.handoverOutcome(ctx, err), err
	}
	c.recordEnd(bylog.OutcomeAnswered, bylog.Int("status", resp.Status), bylog.Str("peer", string(peer.Member.Node)), bylog.Int("events", relay.eventCount))
	return outcomeAnswered, nil
}

// handoverOutcome returns the outcome of a handover that failed.
func (c *call) handoverOutcome(ctx context.Context, err error) outcome {
	switch {
	case c.callerGone() || ctx.Err() != nil || c.timeLeft() <= 0:
		return outcomeAbandoned
	case errors.Is(err, burdockyard.ErrNotStarted):
		return outcomeNotRun
	}
	return outcomeUnknown
}

// passResponseOn passes a peer's response on that is no stream of events.
func (c *call) passResponseOn(ctx context.Context, peer bymember.Heartbeat, resp *byforward.Response) (outcome, error) {
	buffered := &bufferedResponse{
		endpoint: burdockyard.EndpointID("by " + peer.Member.Node), status: resp.Status, header: c.node.platform.Protocol.ResponseHeaders(resp.Header),
	}
	if err := c.bufferBody(buffered, resp); err != nil {
		buffered.held.Release()
		return c.handoverOutcome(ctx, err), err
	}
	c.writeResponse(buffered)
	return outcomeAnswered, nil
}

// isOfNode reports whether a node refused a request for a reason of its own, so that
// another node may serve it.
func (r reason) isOfNode() bool {
	switch r {
	case reasonPeerFull, reasonNoLink, reasonNoEndpoint, reasonMemory, reasonStopping, reasonNoConfiguration, reasonRejected, reasonStale:
		return true
	}
	return false
}

// notRunReason returns why the other node has not run the request, and false if the
// response does not say so.
func (h handover) notRunReason(header http.Header) (reason, bool) {
	token, cause, ok := strings.Cut(header.Get(headerNotRun), " ")
	return reason(cause), ok && token == h.token
}

// markNotRun tells the node that has handed the request over that it has not run.
func (c *call) markNotRun(cause reason) {
	if c.handedOver != nil && c.possibleRuns <= c.handedOver.possibleRuns {
		c.w.Header().Set(headerNotRun, c.handedOver.token+" "+string(cause))
	}
}
