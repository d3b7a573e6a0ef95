package bysoak

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"burdockyard/io/bydrill"
)

const (
	// limitTime is how long a runner names a limit.
	limitTime = 8 * time.Second
	// limitWindow, limitFactor and limitSlack are the guarantee on a runner that names a
	// limit: in any limitWindow, it gets at most limitFactor times what the limit allows
	// and limitSlack more, counted over nodes that were told limitNewsTime before.
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitSlack    = 5
	limitNewsTime = 500 * time.Millisecond
)

// limitSpan is a time in which a runner names a limit.
type limitSpan struct {
	runner    *runner
	perSecond float64
	from, to  time.Time
}

// runLimits makes runners name limits, one at a time, until the end of the fault period.
func (s *soak) runLimits(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 3))
	for end := time.Now().Add(s.cfg.FaultPeriod); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration(rng.Int64N(int64(time.Second))))
		live := s.liveRunners()
		span := &limitSpan{runner: live[rng.IntN(len(live))], perSecond: []float64{0.5, 3, 5.9, 12}[rng.IntN(4)], from: time.Now()}
		s.logEvent("runner %s names a limit of %g a second", span.runner.id, span.perSecond)
		endDisturbance := span.runner.disturbances.begin()
		span.runner.stub.NameLimit(strconv.FormatFloat(span.perSecond, 'g', -1, 64))
		sleep(ctx, limitTime)
		span.runner.stub.NameLimit("")
		endDisturbance()
		span.to = time.Now()
		s.logEvent("runner %s names no limit any more", span.runner.id)
		s.mu.Lock()
		s.limits = append(s.limits, span)
		s.mu.Unlock()
	}
}

// checkLimits checks that runners that name a limit do not get more than it allows.
func (s *soak) checkLimits() {
	sentTo := s.nodesByRequest()
	for _, span := range s.limits {
		told := map[*node]time.Time{} // when the runner first received a request of a node, and so told it of the limit
		var counted []time.Time
		for _, a := range span.runner.stub.ReceivedRequests() {
			n := sentTo[a.ID]
			if n == nil || a.At.Before(span.from) || a.At.After(span.to) {
				continue
			}
			if !n.disturbances.isCalm(a.At) {
				delete(told, n)
				continue
			}
			if told[n].IsZero() {
				told[n] = a.At
			}
			// A prompt may be read or run for a while before the response tells the node.
			if a.At.Sub(told[n]) >= limitNewsTime+maxServiceTime {
				counted = append(counted, a.At)
			}
		}
		allowed := int(math.Floor(limitFactor*limitWindow.Seconds()*span.perSecond)) + limitSlack
		if most := bydrill.MostInWindow(counted, limitWindow); most > allowed {
			s.history.addViolation("limits: %s got %d requests in %v under a limit of %g a second, allowed %d", span.runner.id, most, limitWindow, span.perSecond, allowed)
		}
	}
}

// maxServiceTime is the longest time until a runner responds to a request.
const maxServiceTime = 100 * time.Millisecond
