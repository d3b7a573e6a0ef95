package byproof

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/bymanifest"
	"burdockyard/io/bypage"
)

// lossCase is a way in which a shard loses its lease holder.
type lossCase struct {
	name    string
	inflict func(s *sim, holder *node)
}

var lossCases = []lossCase{
	{"stopped on purpose", func(s *sim, n *node) { s.background.Go(n.stop) }},
	{"killed, started again after 2 s", func(_ *sim, n *node) { n.proc.kill() }},
	{"paused for 12 s", func(_ *sim, n *node) { n.proc.pause(pauseDuration) }},
	{"paused for 60 s", func(_ *sim, n *node) { n.proc.pause(time.Minute) }},
	{"cut off from the platform for 12 s", func(_ *sim, n *node) { n.proc.partition(toPlatform) }},
	{"cut off from platform and peers for 12 s", func(_ *sim, n *node) { n.proc.partition(toPlatform); n.proc.partition(toPeers) }},
	{"VM lost, off the list after 10 s", func(s *sim, n *node) { s.loseVM(n, 10*time.Second) }},
	{"VM lost, off the list at once", func(s *sim, n *node) { s.loseVM(n, 0) }},
}

// measureRegain returns how long after the loss each engine reaches the state that
// was published at the moment of the loss.
func measureRegain(t *testing.T, l lossCase) (fencing, ignoring time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		s := &sim{environment: newEnvironment(nil)}
		s.run(scenario{nodes: 2, script: func(s *sim) {
			lost := time.Now()
			l.inflict(s, s.holder())
			s.publish(withRole("decode"), bymanifest.AnyGeneration)
			fencing = s.waitForRole("127.0.0.1:1", "decode").Sub(lost)
			ignoring = s.waitForRole("127.0.0.1:2", "decode").Sub(lost)
		}, check: noCheck})
		expectNoViolations(t, l.name, s.violations)
	})
	return fencing, ignoring
}

func (s *sim) holder() *node {
	for _, n := range s.allNodes() {
		n.mu.Lock()
		for _, sh := range n.shards {
			if _, held := sh.keeper.Grant(); held {
				n.mu.Unlock()
				return n
			}
		}
		n.mu.Unlock()
	}
	return nil
}

// waitForRole waits until the engine has the role and returns the time at which it
// got it. It may return later than that, because the engines are waited for in
// turn, and the second may change before the first.
func (s *sim) waitForRole(addr string, role burdockyard.Role) time.Time {
	e := s.engines[addr]
	for {
		e.mu.Lock()
		at, ok := e.stateSince, e.state.Role == role
		e.mu.Unlock()
		if ok {
			return at
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// loseVM kills a node and leaves its address without an answer. The VM list drops
// the VM after lag.
func (s *sim) loseVM(n *node, lag time.Duration) {
	n.proc.partition(toPeers)
	n.proc.mu.Lock()
	n.proc.partitionedUntil[toPeers] = time.Now().Add(time.Hour)
	n.proc.vmLost = true
	n.proc.mu.Unlock()
	n.proc.kill()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmListedUntil[n.self.Addr] = time.Now().Add(lag)
}

// TestRegainControl measures how long after the loss of a shard's holder an engine
// that checks fencing numbers and one that ignores them reach a newly published
// state. The difference is the cost of the rule for engines that ignore them. A
// full run writes the table to the page at faultsPagePath.
func TestRegainControl(t *testing.T) {
	var b strings.Builder
	b.WriteString("| the holder is | engine that checks | engine that ignores |\n|---|---|---|\n")
	for _, l := range lossCases {
		fencing, ignoring := measureRegain(t, l)
		fmt.Fprintf(&b, "| %s | %.1f s | %.1f s |\n", l.name, fencing.Seconds(), ignoring.Seconds())
		if fencing > livenessBound || ignoring > time.Minute+livenessBound {
			t.Errorf("%s: got control back after %s (engine that checks) and %s (engine that ignores), want it within the bounds", l.name, fencing, ignoring)
		}
	}
	fmt.Print(b.String())
	if isFullRun() {
		if err := bypage.ReplaceSection(faultsPagePath, "regain", b.String()); err != nil {
			t.Error(err)
		}
	}
}
