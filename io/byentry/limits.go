package byentry

import (
	"strconv"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/bylimit"
	"burdockyard/io/bylog"
)

// recordLimit records what an endpoint says about its limit in the response to a request
// that was sent at sentAt.
func (n *Node) recordLimit(e byfleet.Endpoint, limit burdockyard.RateLimit, sentAt time.Time) {
	if limit.Named {
		n.metrics.LimitedResponses(e.Service).Inc()
	}
	if n.limits.Observe(e.ID, e.BornMS, limit, sentAt) {
		n.log.fleet.Info("endpoint names a limit", bylog.Str("endpoint", string(e.ID)), bylog.Bool("named", limit.Named),
			bylog.Str("per_second", strconv.FormatFloat(limit.PerSecond, 'g', -1, 64)))
		n.peers.sendSoon()
	}
}

// mergeLimits applies what a peer tells of the limits of endpoints.
func (n *Node) mergeLimits(statements []bylimit.Statement) {
	n.limits.Merge(statements, n.fleet.BornMS)
}

// reserve takes the right to send one request to an endpoint for c.send. It returns
// false if the limit of the endpoint does not allow one now.
func (c *call) reserve(e byfleet.Endpoint) bool {
	if !c.node.limits.TryTake(e.ID, e.BornMS) {
		return false
	}
	c.reserved = &e
	return true
}

// takeReservation reports whether there is a right to send one request to an endpoint:
// either it was reserved, or the limit of the endpoint allows one now.
func (c *call) takeReservation(e byfleet.Endpoint) bool {
	if c.reserved != nil && c.reserved.ID == e.ID {
		c.reserved = nil
		return true
	}
	return c.node.limits.TryTake(e.ID, e.BornMS)
}

// dropReservation gives a reservation back that was not used.
func (c *call) dropReservation() {
	if c.reserved != nil {
		c.node.limits.Return(c.reserved.ID, c.reserved.BornMS)
		c.reserved = nil
	}
}

// withinLimits returns those of the endpoints whose limits allow a request now. It
// changes the given slice.
func (n *Node) withinLimits(endpoints []byfleet.Endpoint) []byfleet.Endpoint {
	if n.limits.Len() == 0 {
		return endpoints
	}
	allowed := endpoints[:0]
	for _, e := range endpoints {
		if n.limits.Wait(e.ID, e.BornMS) == 0 {
			allowed = append(allowed, e)
		}
	}
	return allowed
}

// timeToLimit returns the time until the first endpoint of the service that could run the
// request takes one again, or zero if their limits do not stand in the way.
func (c *call) timeToLimit() time.Duration {
	var least time.Duration
	for _, e := range c.node.fleet.Usable(c.service.Name) {
		if e.Role == burdockyard.RolePrefill {
			continue
		}
		wait := c.node.limits.Wait(e.ID, e.BornMS)
		if wait == 0 {
			return 0
		}
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}
