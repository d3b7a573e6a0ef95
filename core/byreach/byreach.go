// Package byreach decides whether a node has lost its links to the endpoints of a service.
//
// A node that reaches no endpoint cannot tell by itself whether the endpoints are gone or
// its own links are. It combines the results of its attempts with what its peers state:
// if it has lost the endpoints while a peer reaches them, its own links have failed.
//
// # Usage
//
//	t := byreach.New(clock)
//	done := t.BeginWait("quote-llm")       // before each request to an endpoint
//	t.RecordContact("quote-llm", id)       // after a response
//	t.RecordFailure("quote-llm", id, n)    // after an attempt that failed for want of a link
//	done()
//	for range t.ProbesDue("quote-llm", n)  // periodically: dial an endpoint, then
//		t.RecordProbe("quote-llm", id, ok, n)
//	reached, lost := t.Statements()        // what the heartbeats state
//
// # States
//
// The links to a service are lost once attempts at two thirds of the endpoints that were
// tried within a window have failed, and no endpoint at all has been in contact for a
// while: if some crash, the others go on answering. Then only probes, which open a
// connection and send nothing, show that the links are back: connections from before may
// live on while new ones are refused.
package byreach

import (
	"slices"
	"sync"
	"time"

	"burdockyard"
)

const (
	// window is how long the result of an attempt counts.
	window = time.Second
	// lostNumerator / lostDenominator is the share of the tried endpoints that must have
	// failed.
	lostNumerator, lostDenominator = 2, 3
	// minFailed is the number of endpoints that must have failed, if the service has that
	// many.
	minFailed = 2
	// quietAfter is the time without contact with any endpoint after which the links may
	// be lost. Requests that wait for so long lead to probes.
	quietAfter = 400 * time.Millisecond
	// minWaiting is the number of requests that must wait for that.
	minWaiting = 2
	// doubtAfter is how long ago the last contact must have been for a peer's loss to put it
	// in doubt. It is longer than a node with little traffic waits for its next request.
	doubtAfter = 5 * time.Second
	// probeInterval is the shortest time between two rounds of probes of one service.
	probeInterval = 250 * time.Millisecond
	// suspectProbes is the number of endpoints that are probed after a first probe on
	// suspicion has failed, and after one has succeeded while the links count as lost.
	suspectProbes = 3
)

// Tracker tracks the links of one node. It is safe for concurrent use; mu is a leaf lock.
type Tracker struct {
	clock burdockyard.Clock

	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	results      map[burdockyard.EndpointID]result
	lastContact  time.Time // with any endpoint
	lastFailure  time.Time // at any endpoint
	waiting      int       // requests without a response
	waitingSince time.Time // when waiting last rose from 0
	probedAt     time.Time
	confirm      bool      // whether a probe has succeeded since the links were lost, so that others follow at once
	connectedAt  time.Time // when the last probe has succeeded
	doubted      bool      // whether a peer has lost the endpoints since the last contact
	lostAt       time.Time // when the links were lost; zero while they are not
}

// result holds when the latest attempts at one endpoint had contact and failed.
type result struct {
	contactAt, failedAt time.Time
}

// New returns a Tracker without results.
func New(clock burdockyard.Clock) *Tracker {
	return &Tracker{clock: clock, services: map[string]*service{}}
}

// service returns the state of a service. The caller must hold mu.
func (t *Tracker) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{results: map[burdockyard.EndpointID]result{}}
		t.services[name] = s
	}
	return s
}

// BeginWait records that a request waits for the response of an endpoint of the service.
// The returned function records the end of that.
func (t *Tracker) BeginWait(name string) (done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	if s.waiting == 0 {
		s.waitingSince = t.clock.Now()
	}
	s.waiting++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.waiting--
	}
}

// RecordContact records a response of an endpoint.
func (t *Tracker) RecordContact(name string, id burdockyard.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	s.lastContact, s.doubted = t.clock.Now(), false
	r := s.results[id]
	r.contactAt = s.lastContact
	s.results[id] = r
}

// RecordFailure records that an attempt at an endpoint has failed for want of a link: its
// dial failed, or its connection broke before a byte of the response. endpoints is the
// number of endpoints that the service has.
func (t *Tracker) RecordFailure(name string, id burdockyard.EndpointID, endpoints int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.service(name), t.clock.Now()
	s.lastFailure = now
	r := s.results[id]
	r.failedAt = now
	s.results[id] = r
	tried, failed, _ := s.count(now)
	isQuiet := now.Sub(s.lastContact) >= quietAfter
	if s.lostAt.IsZero() && isQuiet && failed >= max(min(minFailed, endpoints), 1) && failed*lostDenominator >= tried*lostNumerator {
		s.lostAt = now
		s.confirm = false
	}
}

// RecordProbe records whether a new connection to an endpoint could be opened.
func (t *Tracker) RecordProbe(name string, id burdockyard.EndpointID, ok bool, endpoints int) {
	if !ok {
		t.RecordFailure(name, id, endpoints)
		return
	}
	t.RecordContact(name, id)
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.service(name), t.clock.Now()
	before := s.connectedAt
	s.connectedAt = now
	if s.lostAt.IsZero() {
		return
	}
	s.confirm = true
	// However many endpoints have ended, two new connections in a row show that the links
	// are there.
	if endpoints == 1 || before.After(s.lostAt) && now.Sub(before) <= window {
		s.lostAt = time.Time{}
		clear(s.results) // failures of lost links say nothing about the endpoints
		s.results[id] = result{contactAt: now}
	}
}

// Doubt records that a peer has lost the endpoints of a service. A node whose own last
// contact is not recent does not state that it reaches them until a probe has shown it:
// they may have ended for all.
func (t *Tracker) Doubt(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[name]; s != nil && t.clock.Now().Sub(s.lastContact) >= doubtAfter {
		s.doubted = true
	}
}

// Keep forgets all services but the given ones.
func (t *Tracker) Keep(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.services {
		if !slices.Contains(names, name) {
			delete(t.services, name)
		}
	}
}

// count returns the number of endpoints that were tried lately, of those at which the
// latest attempt failed, and of those at which any attempt failed. It removes results that
// no longer count.
func (s *service) count(now time.Time) (tried, failed, anyFailed int) {
	for id, r := range s.results {
		hasContact, hasFailure := now.Sub(r.contactAt) <= window, now.Sub(r.failedAt) <= window
		if !hasContact && !hasFailure {
			delete(s.results, id)
			continue
		}
		if hasFailure {
			anyFailed++
		}
		if hasFailure && !r.contactAt.After(r.failedAt) {
			failed++
		}
	}
	return len(s.results), failed, anyFailed
}

// isDoubtful reports whether attempts at several endpoints fail though there may be
// contact, as when old connections live on and new ones are refused.
func (s *service) isDoubtful(now time.Time) bool {
	tried, _, anyFailed := s.count(now)
	return anyFailed >= minFailed || anyFailed > 0 && anyFailed*lostDenominator >= tried*lostNumerator
}

// HasFailedWithin reports whether an attempt at any endpoint of the service has failed for
// want of a link in the last d.
func (t *Tracker) HasFailedWithin(name string, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s != nil && t.clock.Now().Sub(s.lastFailure) < d
}

// IsLost reports whether the links to the service are lost.
func (t *Tracker) IsLost(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s != nil && !s.lostAt.IsZero()
}

// LostSince returns when the links to the service were lost, or the zero time if they are
// not.
func (t *Tracker) LostSince(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[name]; s != nil {
		return s.lostAt
	}
	return time.Time{}
}

// IsQuiet reports whether no endpoint of the service has been in contact lately.
func (t *Tracker) IsQuiet(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s == nil || t.clock.Now().Sub(s.lastContact) >= quietAfter
}

// Reached returns the number of endpoints of the service with which there has been contact
// lately, and the number of those at which attempts have failed since.
func (t *Tracker) Reached(name string) (reached, failed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return 0, 0
	}
	tried, failed, _ := s.count(t.clock.Now())
	return tried - failed, failed
}

// Statements returns the services whose endpoints the node reaches as far as it knows, and
// those that it has lost, both in order. A service of which it has no result, or of which
// attempts at several endpoints fail, is in neither.
func (t *Tracker) Statements() (reached, lost []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		switch {
		case !s.lostAt.IsZero():
			lost = append(lost, name)
		case !s.lastContact.IsZero() && !s.doubted && !s.isDoubtful(t.clock.Now()):
			reached = append(reached, name)
		}
	}
	slices.Sort(reached)
	slices.Sort(lost)
	return reached, lost
}

// ProbesDue returns how many endpoints of the service to probe now, and counts these
// probes as made. Links are probed while they are lost, and if requests wait without a
// byte from any endpoint, or a peer has lost the endpoints. What is known of a service
// without endpoints is forgotten.
func (t *Tracker) ProbesDue(name string, endpoints int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.services[name], t.clock.Now()
	if s != nil && endpoints == 0 {
		s.lostAt, s.lastContact, s.doubted = time.Time{}, time.Time{}, false
		clear(s.results)
	}
	if s == nil || endpoints == 0 {
		return 0
	}
	probes := 1
	switch isQuiet := now.Sub(s.lastContact) >= quietAfter && now.Sub(s.waitingSince) >= quietAfter; {
	case !s.lostAt.IsZero() && s.confirm:
		s.confirm = false
		probes = suspectProbes
	case now.Sub(s.probedAt) < probeInterval:
		return 0
	case !s.lostAt.IsZero():
	case s.waiting >= minWaiting && isQuiet:
		if _, failed, _ := s.count(now); failed > 0 {
			probes = suspectProbes
		}
	case s.doubted:
	default:
		return 0
	}
	s.probedAt = now
	return min(probes, endpoints)
}

// Peer is what another node states in its heartbeats.
type Peer struct {
	Reached, Lost []string // as returned by Statements
}

// IsCutOff reports whether the node's own links to the service have failed: they are lost
// while some peer reaches the endpoints. If nobody reaches these, the fault is theirs.
func (t *Tracker) IsCutOff(name string, peers []Peer) bool {
	return t.IsLost(name) && slices.ContainsFunc(peers, func(p Peer) bool { return p.Reaches(name) })
}

// Reaches reports whether the peer states that it reaches the endpoints of a service.
func (p Peer) Reaches(name string) bool { return slices.Contains(p.Reached, name) }

// Pick returns the index of one of the weights, each with a probability in proportion to
// it, given u in [0, 1). It returns false if none is positive.
func Pick(weights []float64, u float64) (int, bool) {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	last, ok := 0, false
	left := u * total
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		if last, ok = i, true; left < w {
			break
		}
		left -= w
	}
	return last, ok
}

// Directed returns those of the nodes to which callers should be directed: the ones that
// have lost no service which another of them reaches, or all if there are none such.
func Directed[T any](nodes []T, statement func(T) Peer) []T {
	reached := map[string]bool{}
	hasLost := false
	for _, n := range nodes {
		p := statement(n)
		hasLost = hasLost || len(p.Lost) > 0
		for _, name := range p.Reached {
			reached[name] = true
		}
	}
	if !hasLost {
		return nodes
	}
	var directed []T
	for _, n := range nodes {
		if !slices.ContainsFunc(statement(n).Lost, func(name string) bool { return reached[name] }) {
			directed = append(directed, n)
		}
	}
	if len(directed) == 0 {
		return nodes
	}
	return directed
}
