package bysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"burdockyard/platform/bystub"
)

const (
	// stableWindow is the time after which nodes must have acted on what happened, unless
	// they were disturbed meanwhile.
	stableWindow = 3 * time.Second
	// poisonedShare is the share of the streams that are poisoned while poison is about.
	poisonedShare = 0.25
	// poisonCrashes and maxPoisonedArrivals are the guarantee on poisoned prompts: once
	// they have crashed so many runners, and stableWindow later, at most so many reach
	// runners.
	poisonCrashes       = 5
	maxPoisonedArrivals = 3
	// poisonTime is how long callers send poisoned prompts.
	poisonTime = 8 * time.Second
)

// poison is a part of prompts, or a whole request, on which runners crash. soak.mu guards
// crashes.
type poison struct {
	hash    string // of the part; empty for a whole request
	path    string // of the whole request
	crashes []time.Time
	// harmlessAt is when the runners ceased to crash on the part; zero if they have not. Later
	// prompts with it are sound, and a trial that is answered frees them.
	harmlessAt time.Time
}

func (p *poison) String() string { return p.hash + p.path }

// runPoison makes runners crash on a part of prompts for poisonTime, again and again
// until the end of the fault period.
func (s *soak) runPoison(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 2))
	for end, i := time.Now().Add(s.cfg.FaultPeriod), 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		sleep(ctx, time.Duration(rng.Int64N(int64(time.Second))))
		p := &poison{hash: fmt.Sprintf("bad%04x", i)}
		s.logEvent("runners crash on prompts with part %s", p.hash)
		s.mu.Lock()
		s.poisons, s.poison = append(s.poisons, p), p
		s.mu.Unlock()
		for _, r := range s.liveRunners() {
			downTime := time.Duration(300+rng.IntN(1200)) * time.Millisecond
			r.stub.CrashOn(bystub.HasPromptPart(p.hash), func() { s.crashRunner(ctx, r, p, downTime) })
		}
		s.recordHarmless(i - 1)
		sleep(ctx, poisonTime)
		s.mu.Lock()
		s.poison = nil
		s.mu.Unlock()
		s.logEvent("no more prompts with part %s", p.hash)
	}
	for _, r := range s.liveRunners() {
		r.stub.CrashOn(nil, nil)
	}
	s.mu.Lock()
	last := len(s.poisons) - 1
	s.mu.Unlock()
	s.recordHarmless(last)
}

// recordHarmless records that the runners crash no longer on the i-th part, if there is one.
func (s *soak) recordHarmless(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i >= 0 {
		s.poisons[i].harmlessAt = time.Now()
	}
}

// crashRunner ends the process of a runner, which starts again after downTime.
func (s *soak) crashRunner(ctx context.Context, r *runner, p *poison, downTime time.Duration) {
	s.logEvent("runner %s crashes on %v for %v", r.id, p, downTime)
	s.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	s.mu.Unlock()
	s.crashFor(ctx, r, downTime, func() { s.restartRunner(r) })
}

// crashFor ends the process of a runner and calls restarted when it starts again.
func (s *soak) crashFor(ctx context.Context, r *runner, downTime time.Duration, restarted func()) {
	endDisturbance := r.disturbances.begin()
	isDown := !r.proxy.crash(ctx, downTime, func() {
		restarted()
		endDisturbance()
	})
	if isDown {
		endDisturbance()
	}
}

// poisonedPart returns the hash of the part that makes a stream poisoned, or "" if it is
// to be sound.
func (s *soak) poisonedPart(rng *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.poison == nil || rng.Float64() >= poisonedShare {
		return ""
	}
	return s.poison.hash
}

// disturbances are the times in which a part was disturbed, such as a node that was
// stopped, frozen or restarted.
type disturbances struct {
	mu   sync.Mutex
	list []*disturbance
}

type disturbance struct{ from, to time.Time } // to is zero before the end

// begin records the begin of a disturbance and returns a function that ends it.
func (d *disturbances) begin() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := &disturbance{from: time.Now()}
	d.list = append(d.list, now)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		now.to = time.Now()
	}
}

// isCalm reports whether the part was not disturbed in the stableWindow before t.
func (d *disturbances) isCalm(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, other := range d.list {
		if !t.Before(other.from) && (other.to.IsZero() || t.Before(other.to.Add(stableWindow))) {
			return false
		}
	}
	return true
}

// nodesByRequest returns the node that each request of the callers was sent to.
func (s *soak) nodesByRequest() map[string]*node {
	byName := map[string]*node{}
	for _, n := range s.nodes {
		byName[n.name] = n
	}
	byRequest := map[string]*node{}
	for _, r := range s.history.records {
		byRequest[r.id] = byName[r.node]
	}
	return byRequest
}

// checkPoison checks that poisoned prompts stop reaching runners.
func (s *soak) checkPoison() {
	sentTo := s.nodesByRequest()
	for _, p := range s.poisons {
		if len(p.crashes) < poisonCrashes {
			continue
		}
		bound := p.crashes[poisonCrashes-1].Add(stableWindow)
		late := 0
		for _, r := range s.runners {
			for _, a := range r.stub.ReceivedRequests() {
				if n := sentTo[a.ID]; n != nil && a.HasPart(p.hash) && a.At.After(bound) && (p.harmlessAt.IsZero() || a.At.Before(p.harmlessAt)) && n.disturbances.isCalm(a.At) {
					late++
				}
			}
		}
		if late > maxPoisonedArrivals {
			s.history.addViolation("poisoned prompts: %d with part %s reach runners later than %v after the fifth crash; %d crashes", late, p.hash, stableWindow, len(p.crashes))
		}
	}
}
