package bysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"burdockyard/platform/bystub"
)

const (
	// versionedEventInterval is the time between two events of a stream while versions
	// change. Streams are long enough then to be broken off.
	versionedEventInterval = 50 * time.Millisecond
	// versionedDecodeRunners is the number of decode runners that stay while versions
	// change, and maxRunners bounds all runners that are there at a time.
	versionedDecodeRunners = 6
	maxRunners             = 24
	// leaveDelay is the time from the start of the new runners of a release until the
	// old ones announce that they leave.
	leaveDelay = time.Second
	// releaseStep is the time between two runners of a release that goes one by one.
	releaseStep = 400 * time.Millisecond
	// releasePause is the shortest time between the starts of two releases.
	releasePause = 8 * time.Second
	// versionPause and longVersionPause are the longest times between two troubles, one of
	// which a run keeps to.
	versionPause     = 1500 * time.Millisecond
	longVersionPause = 6 * time.Second
)

// life is a time in which a runner was ready with one version of its software.
type life struct {
	version  string
	from, to time.Time // to is zero before the end
}

// hasVersions reports whether the run has runners of several versions.
func (s *soak) hasVersions() bool {
	return s.cfg.Trouble == Versions || s.cfg.Trouble == FaultsVersions || s.cfg.Trouble == Wakes
}

// stayingDecodeRunners returns the decode runners that are there to stay.
func (s *soak) stayingDecodeRunners() []*runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.runners), func(r *runner) bool { return r.leaving || r.ended || r.stub.Stage() != "decode" })
}

// releases counts versions and decode runners.
type releases struct {
	version, runners int
	next             time.Time      // when the next release may start
	running          sync.WaitGroup // releases in progress
}

// runVersions releases new versions of the decode runners and breaks streams off, in
// series and overlapping, until the end of the fault period.
func (s *soak) runVersions(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 5))
	rel := &releases{version: 1, runners: versionedDecodeRunners}
	defer rel.running.Wait()
	pause := []time.Duration{versionPause, longVersionPause}[rng.IntN(2)]
	s.release(ctx, rel, rng)
	for end := time.Now().Add(s.cfg.FaultPeriod); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration(rng.Int64N(int64(pause))))
		switch rng.IntN(8) {
		case 0, 1:
			s.release(ctx, rel, rng)
		case 2, 3, 4:
			for _, r := range s.randomDecodeRunners(rng, 1+rng.IntN(3)) {
				downTime := time.Duration(300+rng.IntN(1200)) * time.Millisecond
				s.logEvent("runner %s crashes for %v", r.id, downTime)
				s.crashFor(ctx, r, downTime, func() { s.restartRunner(r) })
			}
		case 5:
			both := s.randomDecodeRunners(rng, 2)
			version := both[0].stub.Version()
			s.logEvent("runner %s starts again as %s", both[1].id, version)
			s.crashFor(ctx, both[1], 200*time.Millisecond, func() { s.restartRunnerAs(both[1], version) })
		case 6:
			s.killAllNodes(ctx, time.Duration(100+rng.IntN(1500))*time.Millisecond)
		case 7:
			s.disturbStore(ctx, rel, rng)
		}
	}
}

// disturbStore takes the store away for some seconds or restores it from a copy of that
// age. All nodes may be killed, or a version released, meanwhile.
func (s *soak) disturbStore(ctx context.Context, rel *releases, rng *rand.Rand) {
	duration := time.Duration(500+rng.IntN(3000)) * time.Millisecond
	endDisturbance := s.storeDisturbances.begin()
	defer endDisturbance()
	isAway := rng.IntN(2) == 0
	old := s.store.Copy()
	if isAway {
		s.logEvent("store is away for %v", duration)
		s.store.SetFaults(bystub.StoreFaults{Down: true})
	}
	sleep(ctx, time.Duration(rng.Int64N(int64(duration))))
	switch rng.IntN(3) {
	case 0:
		s.killAllNodes(ctx, 100*time.Millisecond)
	case 1:
		s.release(ctx, rel, rng)
	}
	sleep(ctx, time.Duration(rng.Int64N(int64(duration))))
	if isAway {
		s.store.SetFaults(bystub.StoreFaults{})
		return
	}
	s.logEvent("store is restored from an older copy")
	s.restoreStore(old)
}

// randomDecodeRunners returns up to n decode runners.
func (s *soak) randomDecodeRunners(rng *rand.Rand, n int) []*runner {
	staying := s.stayingDecodeRunners()
	rng.Shuffle(len(staying), func(i, j int) { staying[i], staying[j] = staying[j], staying[i] })
	return staying[:min(n, len(staying))]
}

// release starts to replace half or all of the decode runners by runners of a new version,
// which start beside the old ones. The old ones announce that they leave, drain and end,
// one by one or together. It does nothing within releasePause of the last release, and does
// not wait for the end.
func (s *soak) release(ctx context.Context, rel *releases, rng *rand.Rand) {
	if time.Now().Before(rel.next) {
		return
	}
	rel.next = time.Now().Add(releasePause)
	old := s.stayingDecodeRunners()
	if rng.IntN(2) == 0 {
		old = old[:(len(old)+1)/2]
	}
	if len(s.liveRunners())+len(old) > maxRunners {
		return
	}
	step := time.Duration(rng.IntN(2)) * releaseStep
	drainTime := time.Duration(1000+rng.IntN(1500)) * time.Millisecond
	rel.version++
	s.logEvent("release of v%d at %d decode runners, one every %v", rel.version, len(old), step)
	for i, r := range old {
		rel.runners++
		s.mu.Lock()
		r.leaving = true
		s.mu.Unlock()
		c := s.decodeRunner(rel.runners, fmt.Sprint("v", rel.version))
		downTime := time.Duration(300+rng.IntN(1200)) * time.Millisecond
		rel.running.Go(func() {
			sleep(ctx, time.Duration(i)*step)
			if _, err := s.startRunner(ctx, c, downTime); err != nil {
				s.history.addViolation("runner %s does not start: %v", c.ID, err)
				return
			}
			sleep(ctx, leaveDelay)
			s.logEvent("runner %s leaves", r.id)
			s.publishEntry(r, "draining")
			sleep(ctx, drainTime)
			s.endRunner(r)
		})
	}
}

// armRunner makes a runner that has started crash on what the others crash on.
func (s *soak) armRunner(ctx context.Context, r *runner, downTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.poison; p != nil {
		r.stub.CrashOn(bystub.HasPromptPart(p.hash), func() { s.crashRunner(ctx, r, p, downTime) })
	}
	for _, p := range s.repeats {
		s.armOnRequest(ctx, r, p, downTime)
	}
}

// armOnRequest makes a runner crash on a whole request, unless it does already. The caller
// must hold mu.
func (s *soak) armOnRequest(ctx context.Context, r *runner, p *poison, downTime time.Duration) {
	if !r.armed[p] {
		r.armed[p] = true
		r.stub.CrashAlsoOn(func(req *http.Request) bool { return req.URL.Path == p.path }, func() { s.crashRunner(ctx, r, p, downTime) })
	}
}

// endRunner ends a runner for good and removes its entry.
func (s *soak) endRunner(r *runner) {
	s.logEvent("runner %s ends", r.id)
	s.mu.Lock()
	r.ended = true
	s.mu.Unlock()
	s.publishEntry(r, "")
	r.proxy.end()
}

// restartRunnerAs gives the runner a new process with another version and publishes its
// entry.
func (s *soak) restartRunnerAs(r *runner, version string) {
	s.mu.Lock()
	r.stub.RestartAs(version)
	r.seq = 0
	s.mu.Unlock()
	s.publishEntry(r, "ready")
}

// recordState records since when the runner is ready with its version, or that it is no
// longer. The caller must hold mu.
func (r *runner) recordState(state string) {
	version := r.stub.Version()
	last := len(r.lives) - 1
	isOpen := last >= 0 && r.lives[last].to.IsZero()
	if isOpen && state == "ready" && r.lives[last].version == version {
		return
	}
	if isOpen {
		r.lives[last].to = time.Now()
	}
	if state == "ready" {
		r.lives = append(r.lives, life{version: version, from: time.Now()})
	}
}

// serves returns the version with which the runner served undisturbed from one time to
// another, or "" if it did not. It counts from stableWindow after its start.
func (r *runner) serves(from, to time.Time) string {
	for _, l := range r.lives {
		if !from.Before(l.from.Add(stableWindow)) && (l.to.IsZero() || to.Before(l.to)) && r.disturbances.isCalm(from) && r.disturbances.isCalm(to) {
			return l.version
		}
	}
	return ""
}

// servingVersions returns the versions with which two or more decode runners served from
// one time to another.
func (s *soak) servingVersions(from, to time.Time) []string {
	count := map[string]int{}
	var versions []string
	for _, r := range s.runners {
		if r.stub.Stage() != "decode" {
			continue
		}
		if v := r.serves(from, to); v != "" {
			if count[v]++; count[v] == 2 {
				versions = append(versions, v)
			}
		}
	}
	return versions
}
