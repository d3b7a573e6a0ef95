package bysoak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"burdockyard/platform"
	"burdockyard/platform/bystub"
)

const settingsEnvVar = platform.SettingsEnvVar

// injectFaults starts random faults during the configured FaultPeriod, and waits
// until all have ended. Faults overlap: each ends after its own duration, regardless
// of later ones.
func (s *soak) injectFaults(ctx context.Context) {
	var pendingEnds sync.WaitGroup
	defer pendingEnds.Wait()
	end := time.Now().Add(s.cfg.FaultPeriod)
	for time.Now().Before(end) && ctx.Err() == nil {
		duration := time.Duration(300+s.rng.IntN(2500)) * time.Millisecond
		endFault := s.startFault(duration)
		pendingEnds.Go(func() {
			sleep(ctx, duration)
			endFault()
		})
		sleep(ctx, time.Duration(100+s.rng.IntN(900))*time.Millisecond)
	}
}

// startFault starts a random fault and returns the function that ends it.
// duration is the time until the caller ends it.
func (s *soak) startFault(duration time.Duration) func() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	live := s.liveRunners()
	r := live[s.rng.IntN(len(live))]
	noop := func() {}
	switch s.rng.IntN(19) {
	case 0, 1:
		sig, action := syscall.SIGKILL, "kill"
		if s.rng.IntN(2) == 0 {
			sig, action = syscall.SIGTERM, "stop"
		}
		s.logEvent("%s %s", action, n.name)
		exited := n.exited()
		endDisturbance := n.disturbances.begin()
		n.signal(sig)
		return func() {
			s.restartNode(n, exited)
			endDisturbance()
		}
	case 2:
		s.logEvent("freeze %s for %v", n.name, duration)
		endDisturbance := n.disturbances.begin()
		n.signal(syscall.SIGSTOP)
		return func() {
			n.signal(syscall.SIGCONT)
			endDisturbance()
		}
	case 3:
		s.logEvent("reload %s", n.name)
		n.signal(syscall.SIGHUP)
		return noop
	case 4:
		mode := proxyMode(1 + s.rng.IntN(int(modeCount)-1))
		s.logEvent("store %v for %s, %v", mode, n.name, duration)
		n.storeProxy.setMode(mode)
		return disturb(&n.storeCuts, func() { n.storeProxy.setMode(modeForward) })
	case 5:
		f := []bystub.StoreFaults{{Down: true}, {Slow: 300 * time.Millisecond}, {Lose: 3}, {Lose: 2, LateBy: time.Second}}[s.rng.IntN(4)]
		s.logEvent("store %+v for %v", f, duration)
		s.store.SetFaults(f)
		return disturb(&s.storeDisturbances, func() { s.store.SetFaults(bystub.StoreFaults{}) })
	case 6:
		s.logEvent("store forgets its history")
		s.store.TrimFeed()
		return disturb(&s.storeDisturbances, noop)
	case 7:
		mode := proxyMode(1 + s.rng.IntN(int(modeCount)-1))
		s.logEvent("runner %s %v for %v", r.id, mode, duration)
		r.proxy.setMode(mode)
		return disturb(&r.disturbances, func() { r.proxy.setMode(modeForward) })
	case 8:
		f := []bystub.RunnerFaults{{Shed: 20}, {Error: 20}, {Lose: 5}, {Cross: 3}, {Extra: 5}, {Cut: 3}, {Silent: 2}}[s.rng.IntN(7)]
		s.logEvent("runner %s %+v", r.id, f)
		r.stub.SetFaults(f)
		return disturb(&r.disturbances, func() { r.stub.SetFaults(bystub.RunnerFaults{}) })
	case 9:
		s.logEvent("runner %s leaves for %v", r.id, duration)
		s.publishEntry(r, "draining")
		return disturb(&r.disturbances, func() { s.restartRunner(r) })
	case 10:
		s.logEvent("entry of %s lapses for %v", r.id, duration)
		s.store.Remove("servers", r.id)
		return disturb(&r.disturbances, func() { s.publishEntry(r, "ready") })
	case 11:
		s.logEvent("forged entry with the address of %s", r.id)
		s.store.Set("servers", "forged", r.stub.StoreEntry(r.proxy.addr(), "ready", 1))
		return func() { s.store.Remove("servers", "forged") }
	case 12:
		s.logEvent("store is restored from a copy, %v old", duration)
		old := s.store.Copy()
		return disturb(&s.storeDisturbances, func() { s.restoreStore(old) })
	case 13:
		s.logEvent("runner %s tells that it leaves for %v", r.id, duration)
		r.stub.SetFaults(bystub.RunnerFaults{Leaving: true})
		return disturb(&r.disturbances, func() {
			r.stub.SetFaults(bystub.RunnerFaults{})
			s.restartRunner(r)
		})
	case 14:
		f := bystub.RunnerFaults{Shed: 20, RetryAfter: []string{"0.4", "2", "soon", "1e300"}[s.rng.IntN(4)]}
		s.logEvent("runner %s %+v", r.id, f)
		r.stub.SetFaults(f)
		return disturb(&r.disturbances, func() {
			r.stub.SetFaults(bystub.RunnerFaults{})
			s.restartRunner(r) // so that no node keeps an absurdly long rest
		})
	case 15:
		f := bystub.RunnerFaults{Endless: []string{"line", "head", "body", "trailer"}[s.rng.IntN(4)]}
		s.logEvent("runner %s %+v", r.id, f)
		r.stub.SetFaults(f)
		return disturb(&r.disturbances, func() { r.stub.SetFaults(bystub.RunnerFaults{}) })
	default:
		s.logEvent("configuration %d", s.publishConfig())
		return noop
	}
}

// disturb begins a disturbance and returns a function that ends the fault behind it and
// the disturbance.
func disturb(d *disturbances, endFault func()) func() {
	endDisturbance := d.begin()
	return func() {
		endFault()
		endDisturbance()
	}
}

// restartRunner gives the runner a new process and publishes its entry.
func (s *soak) restartRunner(r *runner) {
	s.mu.Lock()
	r.stub.Restart()
	r.seq = 0
	s.mu.Unlock()
	s.publishEntry(r, "ready")
}

// restoreStore replaces the rows of the store by an older copy.
func (s *soak) restoreStore(old bystub.StoreCopy) {
	s.store.Restore(old)
	s.mu.Lock()
	s.restoredAt = time.Now()
	s.mu.Unlock()
	s.rewriteRows()
}

// rewriteRows does what runners and the operator do after the store was restored: they
// write again what they wrote last, under the next sequence numbers.
func (s *soak) rewriteRows() {
	s.mu.Lock()
	states := map[*runner]string{}
	for _, r := range s.runners {
		states[r] = r.state
	}
	s.mu.Unlock()
	for r, state := range states {
		s.publishEntry(r, state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Set("op", "config", s.encodeConfig())
}

// restartNode waits until exited, the channel of the node's process at the start
// of the fault, is closed, and then starts the node again. It kills the process
// if it takes too long to exit. Faults overlap, so two of them may wait for the
// same process; only the first of them starts the next one.
func (s *soak) restartNode(n *node, exited <-chan struct{}) {
	n.restart.Lock()
	defer n.restart.Unlock()
	if n.exited() != exited {
		return
	}
	select {
	case <-exited:
	case <-time.After(stopGrace + time.Second):
		n.signal(syscall.SIGKILL)
		<-exited
	}
	if err := s.startNode(n); err != nil {
		s.history.addViolation("node %s does not start again: %v", n.name, err)
	}
}

// endAllFaults ends all faults and restarts the nodes whose process has exited.
func (s *soak) endAllFaults() {
	s.store.SetFaults(bystub.StoreFaults{})
	for _, r := range s.liveRunners() {
		r.proxy.setMode(modeForward)
		r.stub.SetFaults(bystub.RunnerFaults{})
		s.publishEntry(r, "ready")
	}
	s.store.Remove("servers", "forged")
	for _, n := range s.nodes {
		n.storeProxy.setMode(modeForward)
		n.signal(syscall.SIGCONT)
		if exited := n.exited(); isClosed(exited) {
			s.restartNode(n, exited)
		}
	}
	s.logEvent("healed")
}

// isClosed reports whether c is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// publishConfig writes the next configuration to the store and returns its version.
// Each version has a route of its own, which shows callers whether a node acts
// on that version.
func (s *soak) publishConfig() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	s.store.Set("op", "config", s.encodeConfig())
	return s.configVersion
}

// hashPrime makes neighbouring numbers look unlike each other.
const hashPrime = 2654435761

// encodeConfig returns the current configuration. The caller must hold mu.
func (s *soak) encodeConfig() []byte {
	routes := []bystub.Route{
		{Name: "read", Prefix: "/read/", Kind: "safe", Service: "app", Attempts: 2},
		{Name: "book", Prefix: "/book/", Kind: "unsafe", Service: "app", Attempts: 1},
		{Name: "quick", Prefix: "/quick/", Kind: "streaming", Service: "llm", Attempts: 2, Resumable: true},
		{Name: "long", Prefix: "/long/", Kind: "streaming", Service: "llm", Attempts: 1},
		{Name: "version", Prefix: fmt.Sprintf("/version-%d/", s.configVersion), Kind: "safe", Service: "app", Attempts: 2},
		{Name: "endless", Prefix: "/endless/", Kind: "safe", Service: endlessService, Attempts: 2},
		{Name: "endless-once", Prefix: "/endless-once/", Kind: "unsafe", Service: endlessService, Attempts: 1},
		{Name: "endless-stream", Prefix: "/endless-stream/", Kind: "streaming", Service: endlessService, Attempts: 2, Resumable: true},
	}
	for i := range s.cfg.Routes {
		routes = append(routes, bystub.Route{Name: fmt.Sprintf("unused-%d", i), Prefix: fmt.Sprintf("/%x/", uint32(i+1)*hashPrime), Kind: "safe", Service: "app", Attempts: 1})
	}
	return bystub.EncodeConfig(s.configVersion, routes...)
}
