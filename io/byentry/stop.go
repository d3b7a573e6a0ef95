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
	// meanWeight is the weight of the newest response time in the mean of its route.
	meanWeight = 0.1
	// responseTimeDecay is the factor by which each shorter response reduces the longest
	// response time of its route.
	responseTimeDecay = 0.99
)

// serveTime returns the time from the stop signal until requests in progress end.
func serveTime(grace time.Duration) time.Duration {
	return grace - shutdownReserve + serverShutdownTimeout - finalResponseTime
}

// stopState is what a node knows of its own stop, and of how long requests take. mu is a
// leaf lock.
type stopState struct {
	mu        sync.Mutex
	stoppedAt time.Time                // when the node was asked to stop, zero before
	responses map[string]responseTimes // by route name
}

// responseTimes summarizes the response times of a route.
type responseTimes struct {
	longest time.Duration // decaying maximum
	mean    time.Duration // moving average
	samples int
}

func newStopState() *stopState { return &stopState{responses: map[string]responseTimes{}} }

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
	r := s.responses[route]
	if r.samples++; r.samples == 1 {
		r.mean = d
	}
	r.mean += time.Duration(meanWeight * float64(d-r.mean))
	r.longest = max(d, time.Duration(responseTimeDecay*float64(r.longest)))
	s.responses[route] = r
}

// meanResponseTime returns the mean response time of a route, and from how many
// responses it is known.
func (s *stopState) meanResponseTime(route string) (mean time.Duration, samples int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.responses[route]
	return r.mean, r.samples
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
	serveLeft := serveTime(grace) - elapsed
	if timeLeft <= serveLeft {
		return true
	}
	usual, ok := s.responses[route]
	return ok && elapsed < fraction(grace, unsureStopShare) && time.Duration(usualTimeFactor*float64(usual.longest)) <= serveLeft
}
