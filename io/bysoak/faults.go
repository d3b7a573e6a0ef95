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

const settingsVariable = platform.SettingsVariable

// faults starts random faults until Config.Length has passed, and waits until
// all have ended. Faults overlap: each ends after its own duration, regardless
// of later ones.
func (s *soak) faults(ctx context.Context) {
	var healing sync.WaitGroup
	defer healing.Wait()
	end := time.Now().Add(s.cfg.Length)
	for time.Now().Before(end) && ctx.Err() == nil {
		lasts := time.Duration(300+s.rng.IntN(2500)) * time.Millisecond
		heal := s.fault(lasts)
		healing.Go(func() {
			pause(ctx, lasts)
			heal()
		})
		pause(ctx, time.Duration(100+s.rng.IntN(900))*time.Millisecond)
	}
}

// fault starts a random fault and returns the function that ends it. lasts is
// the time until the caller ends it.
func (s *soak) fault(lasts time.Duration) func() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	r := s.runners[s.rng.IntN(len(s.runners))]
	none := func() {}
	switch s.rng.IntN(14) {
	case 0, 1:
		sig, word := syscall.SIGKILL, "kill"
		if s.rng.IntN(2) == 0 {
			sig, word = syscall.SIGTERM, "stop"
		}
		s.note("%s %s", word, n.name)
		told := n.ended()
		n.signal(sig)
		return func() { s.again(n, told) }
	case 2:
		s.note("freeze %s for %v", n.name, lasts)
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	case 3:
		s.note("reload %s", n.name)
		n.signal(syscall.SIGHUP)
		return none
	case 4:
		mode := mode(1 + s.rng.IntN(int(modes)-1))
		s.note("store %v for %s, %v", mode, n.name, lasts)
		n.storeProxy.set(mode)
		return func() { n.storeProxy.set(pass) }
	case 5:
		f := []bystub.Faults{{Down: true}, {Slow: 300 * time.Millisecond}, {Lose: 3}, {Lose: 2, LateBy: time.Second}}[s.rng.IntN(4)]
		s.note("store %+v for %v", f, lasts)
		s.store.Fail(f)
		return func() { s.store.Fail(bystub.Faults{}) }
	case 6:
		s.note("store forgets its history")
		s.store.Forget()
		return none
	case 7:
		mode := mode(1 + s.rng.IntN(int(modes)-1))
		s.note("runner %s %v for %v", r.id, mode, lasts)
		r.proxy.set(mode)
		return func() { r.proxy.set(pass) }
	case 8:
		f := []bystub.RunnerFaults{{Shed: 20}, {Error: 20}, {Lose: 5}, {Cross: 3}, {Extra: 5}, {Cut: 3}, {Silent: 2}}[s.rng.IntN(7)]
		s.note("runner %s %+v", r.id, f)
		r.stub.Fail(f)
		return func() { r.stub.Fail(bystub.RunnerFaults{}) }
	case 9:
		s.note("runner %s leaves for %v", r.id, lasts)
		s.enter(r, "draining")
		return func() { s.enter(r, "ready") }
	case 10:
		s.note("entry of %s lapses for %v", r.id, lasts)
		s.store.Remove("servers", r.id)
		return func() { s.enter(r, "ready") }
	case 11:
		s.note("forged entry with the address of %s", r.id)
		s.store.Set("servers", "forged", r.stub.Entry(r.proxy.addr(), "ready", 1))
		return func() { s.store.Remove("servers", "forged") }
	default:
		s.note("configuration %d", s.publish())
		return none
	}
}

// again waits until the process that told belongs to has exited, and then starts
// the node again. It kills the process if it takes too long. Faults overlap, so
// two of them may wait for the same process; only the first of them starts the
// next one.
func (s *soak) again(n *node, told <-chan struct{}) {
	n.restart.Lock()
	defer n.restart.Unlock()
	if n.ended() != told {
		return
	}
	select {
	case <-told:
	case <-time.After(grace + time.Second):
		n.signal(syscall.SIGKILL)
		<-told
	}
	if err := s.run(n); err != nil {
		s.history.violate("node %s does not start again: %v", n.name, err)
	}
}

// heal ends all faults and restarts the nodes whose process has exited.
func (s *soak) heal() {
	s.store.Fail(bystub.Faults{})
	for _, r := range s.runners {
		r.proxy.set(pass)
		r.stub.Fail(bystub.RunnerFaults{})
		s.enter(r, "ready")
	}
	s.store.Remove("servers", "forged")
	for _, n := range s.nodes {
		n.storeProxy.set(pass)
		n.signal(syscall.SIGCONT)
		if told := n.ended(); isClosed(told) {
			s.again(n, told)
		}
	}
	s.note("healed")
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

// publish writes the next configuration to the store and returns its version.
// Each version has a route of its own, which shows callers whether a node acts
// on that version.
func (s *soak) publish() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store.Set("op", "config", bystub.EncodeConfig(s.version,
		bystub.Route{Name: "read", Prefix: "/read/", Kind: "safe", Service: "app", Attempts: 2},
		bystub.Route{Name: "book", Prefix: "/book/", Kind: "unsafe", Service: "app", Attempts: 1},
		bystub.Route{Name: "quick", Prefix: "/quick/", Kind: "streaming", Service: "llm", Attempts: 2, Resumable: true},
		bystub.Route{Name: "long", Prefix: "/long/", Kind: "streaming", Service: "llm", Attempts: 1},
		bystub.Route{Name: "version", Prefix: fmt.Sprintf("/version-%d/", s.version), Kind: "safe", Service: "app", Attempts: 2},
	))
	return s.version
}
