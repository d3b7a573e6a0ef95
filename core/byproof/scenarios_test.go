package byproof

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"burdockyard"
	"burdockyard/core/bymanifest"
)

var scenarios = []scenario{
	{"conflicting orders", 1, 2, ordersScript, noCheck},
	{"planned change", 2, 2, changeScript, checkNoInterruptedStreams},
	{"lost authority", 3, 2, authorityScript, noCheck},
	{"whole answer", 4, 2, answerScript, noCheck},
	{"not run is true", 5, 2, notRunScript, checkBookings},
	{"bookings", 6, 2, bookingScript, checkBookings},
	{"leaving endpoint", 7, 2, drainScript, checkDrained},
	{"graceful stop", 8, 2, stopScript, checkStop},
	{"manifest", 9, 3, manifestScript, checkManifestHistory},
}

func noCheck(*sim) {}

// withRole returns the base spec with every engine in the role.
func withRole(role string) bymanifest.Spec {
	spec := baseSpec()
	for i := range spec.Engines {
		spec.Engines[i].Role = role
	}
	return spec
}

// ordersScript publishes one role after another, faster than engines reach them.
func ordersScript(s *sim) {
	for _, role := range []string{"decode", "prefill"} {
		s.publish(withRole(role), bymanifest.AnyGeneration)
		time.Sleep(5 * time.Second)
	}
}

// authorityScript pauses the lease holder in the middle of a change, long enough
// for another node to take over, and publishes the next changes meanwhile.
func authorityScript(s *sim) {
	s.publish(withRole("decode"), bymanifest.AnyGeneration)
	time.Sleep(500 * time.Millisecond)
	for _, n := range s.allNodes() {
		for _, sh := range n.shards {
			if _, held := sh.keeper.Grant(); held {
				n.proc.pause(leaseTTL + leaseMargin + 2*time.Second)
			}
		}
	}
	time.Sleep(time.Second)
	s.publish(withRole("prefill"), bymanifest.AnyGeneration)
	time.Sleep(12 * time.Second)
	s.publish(withRole("mixed"), bymanifest.AnyGeneration)
	time.Sleep(12 * time.Second)
}

// changeScript changes every engine's role, drains one engine and returns it to
// service, gives it another address, and withdraws the other engine, while long
// answers and bookings run.
func changeScript(s *sim) {
	for i := range 2 {
		s.startStreamCaller(i, 20)
	}
	s.startBookingCaller(0, "k", "body")
	time.Sleep(500 * time.Millisecond)
	s.publish(withRole("decode"), bymanifest.AnyGeneration)
	time.Sleep(time.Second)
	s.setEndpointState("e1", bymanifest.StateDrained)
	time.Sleep(6 * time.Second)
	s.setEndpointState("e1", bymanifest.StateServing)
	time.Sleep(2 * time.Second)
	newEngine(s.environment, "e1", "127.0.0.1:5", true)
	s.startStreamCaller(2, 20)
	s.startStreamCaller(3, 20)
	time.Sleep(500 * time.Millisecond)
	s.setEndpointAddress("e1", "127.0.0.1:5")
	s.startBookingCaller(1, "k2", "body")
	time.Sleep(time.Second)
	s.setEndpointState("e2", bymanifest.StateWithdrawn)
	time.Sleep(4 * time.Second)
}

// checkNoInterruptedStreams records a violation if an order ended an open stream.
// It skips faults that kill, pause or partition a node or crash an engine: the
// holder can't know of every open stream then, and the answer continues elsewhere,
// which its caller checks.
func checkNoInterruptedStreams(s *sim) {
	for _, f := range s.plannedFaults {
		if !slices.Contains([]faultKind{lostAnswer, platformOutage, slowStore, lateDuplicate, racingOperator}, f.kind) {
			return
		}
	}
	for _, e := range s.engines {
		e.mu.Lock()
		if e.interruptedStreams > 0 {
			s.recordViolation("orders ended %d open streams at engine %s, want none", e.interruptedStreams, e.id)
		}
		e.mu.Unlock()
	}
}

// answerScript crashes an engine in the middle of answers.
func answerScript(s *sim) {
	for i := range 3 {
		s.startStreamCaller(i, 15)
	}
	time.Sleep(1200 * time.Millisecond)
	for _, e := range s.engines {
		if e.id == "e1" {
			e.crash()
		}
	}
	time.Sleep(3 * time.Second)
}

// notRunScript makes bookings under different keys, one after another.
func notRunScript(s *sim) {
	for i := range 6 {
		s.startBookingCaller(i, fmt.Sprintf("k%d", i), "body")
		time.Sleep(400 * time.Millisecond)
	}
}

// bookingScript makes each booking through both nodes at once, and then reuses a
// key with another body.
func bookingScript(s *sim) {
	for i := range 3 {
		key := fmt.Sprintf("k%d", i)
		s.startBookingCaller(0, key, "body")
		s.startBookingCaller(1, key, "body")
		time.Sleep(600 * time.Millisecond)
	}
	s.startBookingCaller(0, "k0", "another body")
	time.Sleep(500 * time.Millisecond)
}

// checkBookings compares the answers to bookings with the effects at the services.
func checkBookings(s *sim) {
	effects := map[string]int{}
	ran := map[burdockyard.RequestID]bool{}
	for _, svc := range s.services {
		svc.mu.Lock()
		for key, n := range svc.effects {
			effects[key] += n
		}
		for id := range svc.executed {
			ran[id] = true
		}
		svc.mu.Unlock()
	}
	for key, n := range effects {
		if n > 1 {
			s.recordViolation("booking %s ran %d times, want at most once", key, n)
		}
	}
	answers := map[string]string{}
	for _, r := range s.replies {
		var call *burdockyard.CallError
		switch {
		case r.err == nil && effects[r.key] == 0:
			s.recordViolation("booking %s was confirmed but did not run", r.key)
		case r.err == nil && answers[r.key] != "" && answers[r.key] != r.body:
			s.recordViolation("booking %s was answered with %q and with %q, want the same answer", r.key, answers[r.key], r.body)
		case r.err == nil:
			answers[r.key] = r.body
		case errors.As(r.err, &call) && call.Outcome() == burdockyard.OutcomeNotRun && ran[r.id]:
			s.recordViolation("booking %s was refused as not run, but ran", r.key)
		case errors.As(r.err, &call) && call.Outcome() == burdockyard.OutcomeUnknown && len(s.plannedFaults) == 0:
			s.recordViolation("booking %s has an unknown outcome in a run without faults: %v", r.key, r.err)
		}
	}
	s.checkBookingHistory(effects)
}

// drainScript drains an engine while new calls keep arriving.
func drainScript(s *sim) {
	for i := range 12 {
		s.startStreamCaller(i, 3)
		time.Sleep(300 * time.Millisecond)
		if i == 3 {
			s.setEndpointState("e1", bymanifest.StateDrained)
			s.drainedAt = time.Now()
		}
	}
	time.Sleep(drainBound)
	for i := range 8 {
		s.startStreamCaller(i, 3)
		time.Sleep(300 * time.Millisecond)
	}
}

// checkDrained records a violation if a node decided to send work to the drained
// engine later than drainBound after the drain. It doesn't compare the time of
// arrival: a call whose process was paused between the decision and the write
// arrives later, and only the engine can refuse it, once it has its order.
func checkDrained(s *sim) {
	for _, e := range s.engines {
		e.mu.Lock()
		for _, at := range e.sendDecisions {
			if e.id == "e1" && at.Sub(s.drainedAt) > drainBound {
				s.recordViolation("engine e1 got new work that was sent %s after the drain, want none that late", at.Sub(s.drainedAt))
			}
		}
		e.mu.Unlock()
	}
}

// stopScript stops a node and drains an endpoint of the service while answers and
// bookings run.
func stopScript(s *sim) {
	for i := range 4 {
		s.startStreamCaller(i, 15)
	}
	s.startBookingCaller(0, "k0", "body")
	time.Sleep(700 * time.Millisecond)
	n := s.waitForNode(0)
	s.callers.Go(n.stop)
	s.setEndpointState("s1", bymanifest.StateDrained)
	s.startBookingCaller(1, "k1", "body")
	time.Sleep(200 * time.Millisecond)
	s.callers.Go(n.stop) // a second stop while the first is in progress
	time.Sleep(5 * time.Second)
}

func checkStop(s *sim) {
	killed := slices.ContainsFunc(s.plannedFaults, func(f fault) bool { return f.kind == killBefore || f.kind == killAfter })
	paused := slices.ContainsFunc(s.plannedFaults, func(f fault) bool { return f.kind == pauseBefore || f.kind == pauseAfter })
	if s.interruptedAnswers > 0 && !killed && !paused {
		s.recordViolation("planned stop interrupted %d answers, want none", s.interruptedAnswers)
	}
	checkBookings(s)
}

// manifestScript publishes from two operators at once, and then with an outdated
// expected generation.
func manifestScript(s *sim) {
	s.callers.Go(func() { s.publish(withRole("decode"), s.newestGeneration()) })
	s.callers.Go(func() { s.publish(withRole("mixed"), s.newestGeneration()) })
	time.Sleep(3 * time.Second)
	s.publish(withRole("decode"), 1)
	s.publish(withRole("mixed"), bymanifest.AnyGeneration)
	time.Sleep(4 * time.Second)
}
