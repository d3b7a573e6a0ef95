package bysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// settleSplits is the time until streams may be taken up at their version after the first
	// start of all nodes.
	settleSplits = 10 * time.Second
	// minFreeze is longer than the time until streams begin at runners of a new version, and
	// maxFreeze bounds the time for which a node is frozen.
	minFreeze = 6 * time.Second
	maxFreeze = 6600 * time.Millisecond
	// releaseDelay is the time from the begin of the freeze to the release. The other nodes
	// count the node as lost by the time at which they write the next splits.
	releaseDelay = 1300 * time.Millisecond
	// drainTime is the time from the announcement of a runner that it leaves to its end.
	drainTime = 2 * time.Second
	// maxTurnedAway bounds the time after a freeze for which the store turns the node away.
	maxTurnedAway = 3 * time.Second
	// wakePause is the longest time between two freezes.
	wakePause = 2 * time.Second
	// wakingBreakOffShare replaces breakOffShare, so that enough streams are taken up while a
	// node wakes.
	wakingBreakOffShare = 0.5
)

// releaseAtOnce replaces half of the decode runners at one moment, so that streams begin at
// the new version after the shortest time. It does not wait until the old ones have ended.
func (s *soak) releaseAtOnce(ctx context.Context, rel *releases) {
	rel.version++
	old := s.stayingDecodeRunners()
	old = old[:len(old)/2]
	s.logEvent("release of v%d at %d decode runners at once", rel.version, len(old))
	for range old {
		rel.runners++
		c := s.decodeRunner(rel.runners, fmt.Sprint("v", rel.version))
		if _, err := s.startRunner(ctx, c, 0); err != nil {
			s.history.addViolation("runner %s does not start: %v", c.ID, err)
		}
	}
	for _, r := range old {
		s.mu.Lock()
		r.leaving = true
		s.mu.Unlock()
		s.publishEntry(r, "draining")
		rel.running.Go(func() {
			sleep(ctx, drainTime)
			s.endRunner(r)
		})
	}
}

// runWakes freezes one node after another until the end of the fault period. During the
// freeze, a new version of the runners is released. The store may turn the node away until
// some time after it wakes.
func (s *soak) runWakes(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 7))
	rel := &releases{version: 1, runners: versionedDecodeRunners}
	defer rel.running.Wait()
	sleep(ctx, settleSplits)
	for end := time.Now().Add(s.cfg.FaultPeriod); time.Now().Before(end) && ctx.Err() == nil; {
		n := s.nodes[rng.IntN(len(s.nodes))]
		freeze := minFreeze + time.Duration(rng.Int64N(int64(maxFreeze-minFreeze)))
		s.logEvent("freeze %s for %v", n.name, freeze)
		endFreeze := n.disturbances.begin()
		endTurnedAway := func() {}
		if rng.IntN(4) > 0 {
			mode := []proxyMode{modeReset, modeBlock, modeBlockReplies}[rng.IntN(3)]
			s.logEvent("store %v for %s", mode, n.name)
			n.storeProxy.setMode(mode)
			endTurnedAway = disturb(&n.storeCuts, func() { n.storeProxy.setMode(modeForward) })
		}
		n.signal(syscall.SIGSTOP)
		sleep(ctx, releaseDelay)
		s.releaseAtOnce(ctx, rel)
		sleep(ctx, freeze-releaseDelay)
		n.signal(syscall.SIGCONT)
		s.logEvent("%s wakes", n.name)
		endFreeze()
		sleep(ctx, time.Duration(rng.Int64N(int64(maxTurnedAway))))
		endTurnedAway()
		sleep(ctx, time.Duration(rng.Int64N(int64(wakePause))))
	}
}
