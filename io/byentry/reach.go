package byentry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/core/byfleet"
	"burdockyard/core/byreach"
	"burdockyard/io/bylog"
)

const (
	// reachCheckInterval is the time between two checks of the links to the endpoints.
	reachCheckInterval = 50 * time.Millisecond
	// reachProbeTimeout limits the probe of a link. Endpoints accept in about 1 ms.
	reachProbeTimeout = 300 * time.Millisecond
	// maxOwnDelay is how late the end of a probe's time may be noticed for its failure to
	// count.
	maxOwnDelay = 50 * time.Millisecond
)

// recordContact records a response of endpoint e.
func (n *Node) recordContact(e byfleet.Endpoint) {
	if n.reach.IsLost(e.Service) && !n.isCutOff(e.Service) {
		// A request that was sent although the links count as lost is as good as a probe.
		n.reach.RecordProbe(e.Service, e.ID, true, n.fleet.Count(e.Service))
		return
	}
	n.reach.RecordContact(e.Service, e.ID)
}

// recordLinkFailure records that an attempt at endpoint e has failed for want of a link.
func (n *Node) recordLinkFailure(e byfleet.Endpoint) {
	n.reach.RecordFailure(e.Service, e.ID, n.fleet.Count(e.Service))
}

// ownReach returns what this node states in its heartbeats.
func (n *Node) ownReach() byreach.Peer {
	reached, lost := n.reach.Statements()
	return byreach.Peer{Reached: reached, Lost: lost}
}

// isLinkFailure reports whether err, of an attempt that got no byte of a response, means
// that the connection has failed rather than that the endpoint has closed it.
func isLinkFailure(err error) bool {
	for _, failure := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EPIPE, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		if errors.Is(err, failure) {
			return true
		}
	}
	return false
}

// linkWaits holds the requests that wait for an endpoint and may be sent again. They need
// not wait any longer once the node is cut off. mu is a leaf lock.
type linkWaits struct {
	mu      sync.Mutex
	cancels map[string]map[*context.CancelFunc]struct{} // by service
}

// begin registers a request that waits for an endpoint of the service. ctx ends once the
// node is cut off, unless done is called before.
func (l *linkWaits) begin(ctx context.Context, service string) (waitCtx context.Context, done func()) {
	waitCtx, cancel := context.WithCancel(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancels == nil {
		l.cancels = map[string]map[*context.CancelFunc]struct{}{}
	}
	if l.cancels[service] == nil {
		l.cancels[service] = map[*context.CancelFunc]struct{}{}
	}
	l.cancels[service][&cancel] = struct{}{}
	return waitCtx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.cancels[service], &cancel)
	}
}

// end ends the waits of a service.
func (l *linkWaits) end(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for cancel := range l.cancels[service] {
		(*cancel)()
	}
	delete(l.cancels, service)
}

// reachMonitor probes the links to the endpoints of each service where that is due, and
// reports changes. Only the goroutine that calls check uses it.
type reachMonitor struct {
	node *Node
	lost map[string]time.Time // since when the links to a service are lost, by service; zero while they are not
}

func newReachMonitor(n *Node) *reachMonitor {
	return &reachMonitor{node: n, lost: map[string]time.Time{}}
}

// check probes the links that are due and reports what has changed since the last call.
func (m *reachMonitor) check(ctx context.Context) {
	t := m.node.routes.Current()
	if t == nil {
		return
	}
	services := t.Services()
	names := make([]string, len(services))
	for i, s := range services {
		names[i] = s.Name
	}
	m.node.reach.Keep(names)
	var probes errgroup.Group
	for _, s := range services {
		due := m.node.reach.ProbesDue(s.Name, m.node.fleet.Count(s.Name))
		if due == 0 {
			continue
		}
		endpoints := m.node.fleet.Usable(s.Name)
		for _, i := range rand.Perm(len(endpoints))[:min(due, len(endpoints))] {
			probes.Go(func() error { m.probe(ctx, endpoints[i], m.node.fleet.Count(s.Name)); return nil })
		}
	}
	_ = probes.Wait() // probes return no error
	cutOff := false
	for _, s := range services {
		m.report(s.Name, m.node.fleet.Count(s.Name))
		if m.node.isCutOff(s.Name) {
			cutOff = true
			m.node.linkWaits.end(s.Name)
		}
	}
	m.node.losesCallers.Store(cutOff)
}

// probe opens a connection to an endpoint, one of the given number.
func (m *reachMonitor) probe(ctx context.Context, e byfleet.Endpoint, endpoints int) {
	startedAt := m.node.clock.Now()
	err := m.node.forwarder.Probe(ctx, e.Addr, reachProbeTimeout)
	if ctx.Err() != nil || err != nil && m.node.clock.Now().Sub(startedAt) > reachProbeTimeout+maxOwnDelay {
		return // a node that got no processor time for a while has learned nothing
	}
	m.node.metrics.LinkProbes(e.Service).Inc()
	m.node.reach.RecordProbe(e.Service, e.ID, err == nil, endpoints)
}

// report logs whether the links to a service were lost or regained, and tells the peers.
func (m *reachMonitor) report(service string, endpoints int) {
	n := m.node
	before, known := m.lost[service]
	if !known {
		n.metrics.RegisterGauge(fmt.Sprintf(`burdock_reached_endpoints{service=%q}`, service), func() float64 {
			reached, _ := n.reach.Reached(service)
			return float64(reached)
		})
	}
	since := n.reach.LostSince(service)
	m.lost[service] = since
	if before.IsZero() == since.IsZero() {
		return
	}
	reached, failed := n.reach.Reached(service)
	fields := []bylog.Field{bylog.Str("service", service), bylog.Int("reached", reached), bylog.Int("failed", failed), bylog.Int("endpoints", endpoints)}
	if since.IsZero() {
		if n.losesCallers.Load() {
			n.fleet.ForgetFailures(service) // they were failures of the links
		}
		n.log.fleet.Info("links to endpoints regained", append(fields, bylog.Millis("lost_ms", n.clock.Now().Sub(before)))...)
	} else {
		n.log.fleet.Warn("links to endpoints lost", fields...)
	}
	n.peers.sendSoon()
}
