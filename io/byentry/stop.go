package byentry

import (
	"sync"
	"time"
)

const (
	// unsureStopShare is the share of the grace period in which a stopping node also
	// accepts requests that may take longer than the rest of the period, if those of
	// their route usually do not. Right after the stop signal, callers still connect
	// here and most responses end in time.
	unsureStopShare = 0.25
	// usualTimeFactor is applied to the longest recent response time of a route.
	usualTimeFactor = 1.5
	// responseTimeDecay is the factor by which each shorter response reduces the longest
	// response time of its route.
	responseTimeDecay = 0.99
)

// stopState is what a node knows of its own stop, and of how long requests take. mu is a
// leaf lock.
type stopState struct {
	mu        sync.Mutex
	stoppedAt time.Time                // when the node was asked to stop, zero before
	longest   map[string]time.Duration // decaying maximum of the response times, by route name
}

func newStopState() *stopState { return &stopState{longest: map[string]time.Duration{}} }

// begin records that the node was asked to stop.
func (s *stopState) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoppedAt = now
}

// recordResponse records how long a request of a route took.
func (s *stopState) recordResponse(route string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longest[route] = max(d, time.Duration(responseTimeDecay*float64(s.longest[route])))
}

// accepts reports whether a request that may take up to timeLeft will have ended before
// the node does. A node that is not stopping accepts every request.
func (s *stopState) accepts(now time.Time, route string, timeLeft, grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stoppedAt.IsZero() {
		return true
	}
	elapsed := now.Sub(s.stoppedAt)
	serveLeft := grace - shutdownReserve + serverShutdownTimeout - elapsed
	if timeLeft <= serveLeft {
		return true
	}
	usual, ok := s.longest[route]
	return ok && elapsed < fraction(grace, unsureStopShare) && time.Duration(usualTimeFactor*float64(usual)) <= serveLeft
}
