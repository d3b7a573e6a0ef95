package bysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"burdockyard/platform/bystub"
)

const (
	// minCutTime and maxCutTime bound how long a failure domain is cut off.
	minCutTime = 5 * time.Second
	maxCutTime = 10 * time.Second
	// cutPause is the longest time between two troubles while nodes are cut off.
	cutPause = 1500 * time.Millisecond
	// silenceTime is how long a sound runner falls silent.
	silenceTime = 1500 * time.Millisecond
	// maxFailedTries, and one in failedTriesDivisor of all first tries, may fail at nodes that
	// are cut off, whatever the others serve.
	maxFailedTries     = 10
	failedTriesDivisor = 50
)

// domain is a failure domain whose nodes have paths of their own to the runners. Nodes of
// one domain pass readings of the store on to each other, so they share the paths.
type domain struct {
	name  string
	paths *bystub.Paths
	addr  string // where its nodes read the store

	// soak.mu guards the field below.
	cuts []span
}

// span is a time; to is zero before its end.
type span struct{ from, to time.Time }

// covers reports whether t is in the span, or in the given time behind it.
func (s span) covers(t time.Time, behind time.Duration) bool {
	return !t.Before(s.from) && (s.to.IsZero() || t.Before(s.to.Add(behind)))
}

// silence is a time in which a runner was silent.
type silence struct {
	runner *runner
	span   span
}

// failedDial is a connection that a caller could not open.
type failedDial struct {
	node *node
	at   time.Time
}

// recordFailedDial records that a caller could not connect to a node.
func (s *soak) recordFailedDial(n *node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedDials = append(s.failedDials, failedDial{n, time.Now()})
}

// cuttableDomain returns the failure domain of node i and the address of its store. The
// first two nodes share a domain, and each other one has its own.
func (s *soak) cuttableDomain(ctx context.Context, i int) (name, storeAddr string, err error) {
	name = fmt.Sprint("z", max(i, 1))
	if i == 1 {
		return name, s.domains[0].addr, nil
	}
	paths := bystub.NewPaths(s.store)
	if storeAddr, err = serveHTTP(ctx, paths); err != nil {
		return "", "", err
	}
	s.domains = append(s.domains, &domain{name: name, paths: paths, addr: storeAddr})
	return name, storeAddr, nil
}

// runCuts cuts failure domains off from all runners, in series and overlapping, until the
// end of the fault period. Meanwhile nodes and runners end, runners fall silent, and the
// store is away.
func (s *soak) runCuts(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 6))
	var pending sync.WaitGroup
	defer pending.Wait()
	live := s.liveRunners()
	for _, r := range live {
		if strings.HasPrefix(r.id, "app-") { // one at a time, while no node is cut off
			s.silenceRunner(ctx, r)
		}
	}
	s.cutDomains(ctx, &pending, rng)
	for end := time.Now().Add(s.cfg.FaultPeriod); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration(rng.Int64N(int64(cutPause))))
		r, n := live[rng.IntN(len(live))], s.nodes[rng.IntN(len(s.nodes))]
		duration := time.Duration(300+rng.IntN(1500)) * time.Millisecond
		switch rng.IntN(15) {
		case 0, 1, 2, 3:
			s.cutDomains(ctx, &pending, rng)
		case 4, 5, 6:
			pending.Go(func() { s.silenceRunner(ctx, r) })
		case 7, 8:
			s.logEvent("runner %s crashes for %v", r.id, duration)
			s.crashFor(ctx, r, duration, func() { s.restartRunner(r) })
		case 9, 10:
			sig := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[rng.IntN(2)]
			s.logEvent("%v for %s", sig, n.name)
			exited := n.exited()
			endFault := disturb(&n.disturbances, func() { s.restartNode(n, exited) })
			n.signal(sig)
			pending.Go(func() {
				sleep(ctx, duration)
				endFault()
			})
		case 11:
			s.logEvent("store is away for %v", duration)
			s.store.SetFaults(bystub.StoreFaults{Down: true})
			endFault := disturb(&s.storeDisturbances, func() { s.store.SetFaults(bystub.StoreFaults{}) })
			sleep(ctx, duration)
			endFault()
		default:
			s.logEvent("configuration %d", s.publishConfig())
		}
	}
}

// cutDomains cuts off one failure domain or all but one, of those that are whole, or all.
func (s *soak) cutDomains(ctx context.Context, pending *sync.WaitGroup, rng *rand.Rand) {
	var whole []*domain
	s.mu.Lock()
	for _, i := range rng.Perm(len(s.domains)) {
		if d := s.domains[i]; len(d.cuts) == 0 || !d.cuts[len(d.cuts)-1].to.IsZero() {
			whole = append(whole, d)
		}
	}
	s.mu.Unlock()
	count := []int{1, 1, len(whole) - 1, len(whole) - 1, len(whole)}[rng.IntN(5)]
	how := []bystub.Cut{bystub.CutHang, bystub.CutReset, bystub.CutRefuse}[rng.IntN(3)]
	duration := minCutTime + time.Duration(rng.Int64N(int64(maxCutTime-minCutTime)))
	if count < 1 || len(whole) < 2 {
		return
	}
	for _, d := range whole[:count] {
		s.logEvent("%s is cut off from all runners, %s, for %v", d.name, how, duration)
		s.mu.Lock()
		d.cuts = append(d.cuts, span{from: time.Now()})
		s.mu.Unlock()
		if err := d.paths.Cut(how); err != nil {
			s.history.addViolation("%s can't be cut off: %v", d.name, err)
		}
		pending.Go(func() {
			sleep(ctx, duration)
			s.healDomain(d)
		})
	}
}

// healDomain ends the cut of a failure domain.
func (s *soak) healDomain(d *domain) {
	if err := d.paths.Heal(); err != nil {
		s.history.addViolation("%s can't be healed: %v", d.name, err)
	}
	s.logEvent("%s reaches the runners again", d.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	d.cuts[len(d.cuts)-1].to = time.Now()
}

// silenceRunner makes a runner fall silent for silenceTime. Its connections live on.
func (s *soak) silenceRunner(ctx context.Context, r *runner) {
	s.logEvent("runner %s is silent for %v", r.id, silenceTime)
	from := time.Now()
	r.proxy.setMode(modeBlock)
	sleep(ctx, silenceTime)
	r.proxy.setMode(modeForward)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silences = append(s.silences, silence{r, span{from, time.Now()}})
}

// domainOf returns the failure domain of a node.
func (s *soak) domainOf(n *node) *domain {
	for _, d := range s.domains {
		if d.name == n.domain {
			return d
		}
	}
	return nil
}

// isWhole reports whether a failure domain has not been cut off at t or in the
// stableWindow before it.
func (d *domain) isWhole(t time.Time) bool {
	for _, c := range d.cuts {
		if c.covers(t, stableWindow) {
			return false
		}
	}
	return true
}

// checkCuts checks that the callers of nodes that are cut off from all runners are served
// about as often as others, at the first try, from stableWindow after the cut. It returns
// the shares over all cuts.
func (s *soak) checkCuts() (cutOff, others Share) {
	type try struct {
		node   *node
		at     time.Time
		served bool
	}
	var tries []try
	byName := s.nodesByRequest()
	for _, r := range s.history.records {
		if r.kind != kindVersionProbe && r.resumes == "" {
			tries = append(tries, try{byName[r.id], r.sent, r.isServed()})
		}
	}
	for _, f := range s.failedDials {
		tries = append(tries, try{f.node, f.at, false})
	}
	starts := map[time.Time]bool{}
	for _, d := range s.domains {
		for _, c := range d.cuts {
			cut, other := Share{}, Share{}
			for _, t := range tries {
				if !c.covers(t.at, 0) || t.at.Before(c.from.Add(stableWindow)) || !s.isInTouch(t.node, t.at) {
					continue
				}
				share := &cut
				if s.domainOf(t.node) != d {
					if !s.domainOf(t.node).isWhole(t.at) {
						continue
					}
					share = &other
				}
				share.All++
				if t.served {
					share.Part++
				}
			}
			checkCutShares(&s.history, d.name, cut, other)
			cutOff.Part, cutOff.All = cutOff.Part+cut.Part, cutOff.All+cut.All
			if !starts[c.from.Truncate(100*time.Millisecond)] { // domains that are cut off together have the same others
				others.Part, others.All = others.Part+other.Part, others.All+other.All
			}
			starts[c.from.Truncate(100*time.Millisecond)] = true
		}
	}
	return cutOff, others
}

// checkCutShares compares the share of the first tries that are served at nodes that are
// cut off with that at the others.
func checkCutShares(h *history, name string, cut, others Share) {
	failed := cut.All - cut.Part
	if 3*cut.Part*others.All < 2*others.Part*cut.All && failed > maxFailedTries+(cut.All+others.All)/failedTriesDivisor {
		h.addViolation("cuts: %s, cut off from all runners, serves %v first tries, the others %v", name, cut, others)
	}
}

// checkSilences checks that bookings which were in progress at a runner that fell silent are
// answered, and returns the share that was.
func (s *soak) checkSilences() (answered Share) {
	byID := map[string]record{}
	for _, r := range s.history.records {
		byID[r.id] = r
	}
	byName := s.nodesByRequest()
	for _, silence := range s.silences {
		for _, a := range silence.runner.stub.ReceivedRequests() {
			r, n := byID[a.ID], byName[a.ID]
			if n == nil || r.kind != kindUnsafe || !strings.HasPrefix(a.Path, "/book/") || !silence.span.covers(r.sent, 0) ||
				!n.disturbances.isCalm(r.finished) || !s.domainOf(n).isWhole(r.finished) || !silence.runner.disturbances.isCalm(r.finished) {
				continue
			}
			answered.All++
			if r.status == 200 && r.complete {
				answered.Part++
				continue
			}
			s.history.addViolation("silence: %s reaches %s, which is silent for %v, and gets status %d", r.id, silence.runner.id, silenceTime, r.status)
		}
	}
	return answered
}
