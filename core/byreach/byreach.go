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
// tried within a window have failed, with no contact since. Then only probes, which open a
// connection and send nothing, show that they are back: connections from before may live
// on while new ones are refused.
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
	// suspectAfter is how long requests wait without a byte from any endpoint until the
	// links are probed.
	suspectAfter = 400 * time.Millisecond
	// minWaiting is the number of requests that must wait for that.
	minWaiting = 2
	// probeInterval is the shortest time between two rounds of probes of one service.
	probeInterval = 250 * time.Millisecond
	// suspectProbes is the number of endpoints that are probed on suspicion, and after a
	// probe has succeeded while the links count as lost.
	suspectProbes = 3
	// quietAfter is how long there must have been no contact for a failed dial to count
	// as a sign that further ones will fail too.
	quietAfter = 500 * time.Millisecond
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
	waiting      int       // requests without a response
	waitingSince time.Time // when waiting last rose from 0
	probedAt     time.Time
	confirm      bool      // whether a probe has succeeded since the links were lost, so that others follow at once
	lostAt       time.Time // when the links were lost; zero while they are not
}

// result is the latest result at one endpoint.
type result struct {
	at     time.Time
	failed bool
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
	s.lastContact = t.clock.Now()
	s.results[id] = result{at: s.lastContact}
}

// RecordFailure records that an attempt at an endpoint has failed for want of a link: its
// dial failed, or its connection broke before a byte of the response. endpoints is the
// number of endpoints that the service has.
func (t *Tracker) RecordFailure(name string, id burdockyard.EndpointID, endpoints int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.service(name), t.clock.Now()
	s.results[id] = result{at: now, failed: true}
	if s.lostAt.IsZero() && s.mostFail(now, endpoints) {
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
	s := t.service(name)
	if s.lostAt.IsZero() {
		return
	}
	s.confirm = true
	if !s.mostFail(t.clock.Now(), endpoints) {
		s.lostAt = time.Time{}
	}
}

// mostFail reports whether the latest results at most endpoints that were tried are
// failures. It removes results that no longer count.
func (s *service) mostFail(now time.Time, endpoints int) bool {
	failed := 0
	for id, r := range s.results {
		switch {
		case now.Sub(r.at) > window:
			delete(s.results, id)
		case r.failed:
			failed++
		}
	}
	return failed >= max(min(minFailed, endpoints), 1) && failed*lostDenominator >= len(s.results)*lostNumerator
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
	s, now := t.services[name], t.clock.Now()
	if s == nil {
		return 0, 0
	}
	for id, r := range s.results {
		switch {
		case now.Sub(r.at) > window:
			delete(s.results, id)
		case r.failed:
			failed++
		default:
			reached++
		}
	}
	return reached, failed
}

// Statements returns the services whose endpoints the node reaches as far as it knows, and
// those that it has lost, both in order. A service of which it has no result is in
// neither.
func (t *Tracker) Statements() (reached, lost []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		switch {
		case !s.lostAt.IsZero():
			lost = append(lost, name)
		case !s.lastContact.IsZero():
			reached = append(reached, name)
		}
	}
	slices.Sort(reached)
	slices.Sort(lost)
	return reached, lost
}

// ProbesDue returns how many endpoints of the service to probe now, and counts these
// probes as made. Links are probed while they are lost, and if requests wait without a
// byte from any endpoint. An endpoint count of 0 makes no probe due.
func (t *Tracker) ProbesDue(name string, endpoints int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.services[name], t.clock.Now()
	if s == nil || endpoints == 0 {
		return 0
	}
	probes := 1
	switch isQuiet := now.Sub(s.lastContact) >= suspectAfter && now.Sub(s.waitingSince) >= suspectAfter; {
	case !s.lostAt.IsZero() && s.confirm:
		s.confirm = false
		probes = suspectProbes
	case now.Sub(s.probedAt) < probeInterval:
		return 0
	case !s.lostAt.IsZero():
	case s.waiting >= minWaiting && isQuiet:
		probes = suspectProbes
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
