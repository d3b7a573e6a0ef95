package bysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// repeatTime is how long callers repeat one request on which runners crash, and
	// repeatShare the share of it among all requests.
	repeatTime  = 8 * time.Second
	repeatShare = 0.03
	// repeatCrashes and maxRepeatedArrivals are the guarantee: once the request has crashed so
	// many runners, and stableWindow later, it reaches runners at most so many times, ever.
	repeatCrashes       = 3
	maxRepeatedArrivals = 3
	// repeatPrefix begins what follows the route's prefix in the path of a repeated request.
	repeatPrefix = "repeat-"
	// killPause is the longest time between two kills of all nodes.
	killPause = 8 * time.Second
	// restoreTime is how long after a restore of the store nodes may need to write again
	// what it has lost. If requests are repeated, all nodes are not killed meanwhile.
	restoreTime = 4 * time.Second
)

// runRepeats makes callers repeat one request after the other on which runners crash, and
// kills all nodes at once from time to time, until the end of the fault period.
func (s *soak) runRepeats(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 4))
	end := time.Now().Add(s.cfg.FaultPeriod)
	nextKill := time.Now().Add(time.Duration(rng.Int64N(int64(killPause))))
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		p := s.startRepeat(ctx, rng, i)
		for until := time.Now().Add(repeatTime); time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
			if time.Now().After(nextKill) && time.Now().Before(end) && s.killAllNodes(ctx, 100*time.Millisecond) {
				nextKill = time.Now().Add(time.Duration(rng.Int64N(int64(killPause))))
			}
		}
		s.mu.Lock()
		s.repeat = record{}
		s.mu.Unlock()
		s.logEvent("%v is no longer repeated", p)
	}
}

// startRepeat makes callers repeat a new request.
func (s *soak) startRepeat(ctx context.Context, rng *rand.Rand, i int) *poison {
	repeat := []record{
		{kind: kindSafe, method: "GET", path: "/read/"},
		{kind: kindUnsafe, method: "POST", path: "/book/", body: "two vans"},
		{kind: kindResumable, method: "POST", path: "/quick/", body: "q", sharedPart: 1, sharedTokens: 92, ownTokens: 290},
		{kind: kindNonResumable, method: "POST", path: "/long/", body: "s", sharedPart: 1, sharedTokens: 13_300, ownTokens: 3_700},
	}[rng.IntN(4)]
	repeat.path += fmt.Sprint(repeatPrefix, i)
	p := &poison{path: repeat.path}
	s.mu.Lock()
	s.repeats = append(s.repeats, p) // a runner that starts from now on crashes on it
	s.mu.Unlock()
	for _, r := range s.liveRunners() {
		downTime := time.Duration(300+rng.IntN(1200)) * time.Millisecond
		s.mu.Lock()
		s.armOnRequest(ctx, r, p, downTime)
		s.mu.Unlock()
	}
	s.logEvent("%v is repeated", p)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeat = repeat
	return p
}

// repeatedRequest returns the request that callers repeat if it is its turn.
func (s *soak) repeatedRequest(rng *rand.Rand) (record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeat, s.repeat.path != "" && rng.Float64() < repeatShare
}

// killAllNodes kills all nodes at once and starts them again after downTime, unless the
// store was restored lately and requests are repeated. It reports whether it has done so.
func (s *soak) killAllNodes(ctx context.Context, downTime time.Duration) bool {
	s.mu.Lock()
	restored := len(s.repeats) > 0 && time.Since(s.restoredAt) < restoreTime
	s.mu.Unlock()
	if restored {
		return false
	}
	s.logEvent("kill all nodes")
	var exited []<-chan struct{}
	var ends []func()
	for _, n := range s.nodes {
		exited, ends = append(exited, n.exited()), append(ends, n.disturbances.begin())
		n.signal(syscall.SIGKILL)
	}
	sleep(ctx, downTime)
	for i, n := range s.nodes {
		s.restartNode(n, exited[i])
		ends[i]()
	}
	return true
}

// checkRepeats checks that repeated requests stop reaching runners.
func (s *soak) checkRepeats() {
	sentTo := s.nodesByRequest()
	for _, p := range s.repeats {
		if len(p.crashes) < repeatCrashes {
			continue
		}
		bound := p.crashes[repeatCrashes-1].Add(stableWindow)
		late := map[string]bool{} // by request ID: a retry may reach several runners
		for _, r := range s.runners {
			for _, a := range r.stub.ReceivedRequests() {
				if n := sentTo[a.ID]; n != nil && a.Path == p.path && a.At.After(bound) && n.disturbances.isCalm(a.At) {
					late[a.ID] = true
				}
			}
		}
		if len(late) > maxRepeatedArrivals {
			s.history.addViolation("repeated request: %d with path %s reach runners later than %v after the third crash; %d crashes", len(late), p.path, stableWindow, len(p.crashes))
		}
	}
}
