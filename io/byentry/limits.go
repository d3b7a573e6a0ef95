package byentry

import (
	"strconv"
	"sync"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/io/bylog"
)

// namedLimits holds the limits that endpoints have named last. mu is a leaf lock.
type namedLimits struct {
	mu    sync.Mutex
	limit map[burdockyard.EndpointID]burdockyard.RateLimit
}

// recordLimit logs if an endpoint names another limit than before.
func (n *Node) recordLimit(e byfleet.Endpoint, limit burdockyard.RateLimit) {
	n.namedLimits.mu.Lock()
	before := n.namedLimits.limit[e.ID]
	n.namedLimits.limit[e.ID] = limit
	n.namedLimits.mu.Unlock()
	if before != limit {
		n.log.fleet.Info("endpoint names a limit", bylog.Str("endpoint", string(e.ID)), bylog.Bool("named", limit.Named),
			bylog.Str("per_second", strconv.FormatFloat(limit.PerSecond, 'g', -1, 64)))
	}
	if limit.Named {
		n.metrics.LimitedResponses(string(e.ID)).Inc()
	}
}
