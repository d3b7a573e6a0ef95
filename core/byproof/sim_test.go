package byproof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/bymanifest"
	"burdockyard/core/byroute"
	"burdockyard/core/byserve"
	"burdockyard/core/bystream"
	"burdockyard/io/byemu"
)

const (
	// livenessBound is the time within which the system must reach the published
	// state after the last fault has ended.
	livenessBound = 60 * time.Second
	// drainBound is the "few seconds" after which a draining endpoint must get no
	// new work.
	drainBound     = 4 * time.Second
	warmUpDuration = 4 * time.Second
)

var nodeNames = []burdockyard.NodeID{"n1", "n2", "n3"}

// scenario tests one promise with a script of operations.
type scenario struct {
	name    string
	promise int
	nodes   int
	script  func(*sim)
	check   func(*sim)
}

// sim is the simulation of one run of a scenario.
type sim struct {
	*environment
	mutant             mutant
	plannedFaults      []fault
	callers            sync.WaitGroup
	acceptedGeneration uint64 // highest generation accepted
	replies            []bookingReply
	interruptedAnswers int // number of answers that ended because their node died
	published          []publishAttempt
	drainedAt          time.Time
}

// bookingReply is the final answer to one booking attempt.
type bookingReply struct {
	key  string
	id   burdockyard.RequestID
	body string
	err  error
	from time.Time
	to   time.Time
}

// publishAttempt is one operator's attempt to change the manifest, and its result.
type publishAttempt struct {
	from, to time.Time
	expect   uint64
	got      uint64
	err      error
}

func baseSpec() bymanifest.Spec {
	return bymanifest.Spec{
		Name:   "proof",
		Models: []bymanifest.ModelSpec{{Name: "m", Version: "v1", PrefillRate: 10000, DecodeRate: 1000, MaxStreams: 16, MaxPrompt: 100000}},
		Engines: []bymanifest.EngineSpec{
			{Name: "e1", Address: "127.0.0.1:1", Model: "m", Domain: "a", Role: "mixed", EnforcesFencing: true},
			{Name: "e2", Address: "127.0.0.1:2", Model: "m", Domain: "a", Role: "mixed", EnforcesFencing: false},
		},
		Services: []bymanifest.ServiceSpec{{
			Name:       "booking",
			Endpoints:  []bymanifest.ServiceEndpoint{{Name: "s1", Address: "127.0.0.1:3", Domain: "a"}, {Name: "s2", Address: "127.0.0.1:4", Domain: "a"}},
			Repeatable: []bymanifest.RepeatableCall{{Method: "GET", Path: "/slots"}},
		}},
		Classes: []bymanifest.ClassSpec{{Name: "c", FirstToken: 30 * time.Second, Deadline: 120 * time.Second, MaxQueued: 100}},
		Tenants: []bymanifest.TenantSpec{{Name: "t", Weight: 1}},
	}
}

// simulate runs a scenario under faults. It returns the violations, the number of
// calls counted and the number of faults that fired.
func simulate(t *testing.T, sc scenario, m mutant, faults ...fault) (violations []string, calls, fired int) {
	synctest.Test(t, func(t *testing.T) {
		s := &sim{environment: newEnvironment(faults), mutant: m, plannedFaults: faults}
		s.run(sc)
		violations, calls, fired = s.violations, s.calls, s.faultsFired
	})
	return violations, calls, fired
}

func (s *sim) run(sc scenario) {
	spec := baseSpec()
	for _, e := range spec.Engines {
		newEngine(s.environment, burdockyard.EndpointID(e.Name), e.Address, e.EnforcesFencing)
	}
	for _, e := range spec.Services[0].Endpoints {
		newService(s.environment, e.Address)
	}
	s.racingPublish = func() { s.publish(withRole("mixed"), bymanifest.AnyGeneration) }
	s.publish(spec, bymanifest.AnyGeneration)
	for _, name := range nodeNames[:sc.nodes] {
		startNode(s.environment, name, s.mutant)
	}
	stopMonitor := s.startMonitor()
	time.Sleep(warmUpDuration)
	s.setFaultsEnabled(true)
	sc.script(s)
	s.setFaultsEnabled(false)
	s.callers.Wait()
	s.waitUntilSettled()
	sc.check(s)
	close(stopMonitor)
	for _, n := range s.allNodes() {
		n.proc.kill()
	}
	s.background.Wait()
	time.Sleep(5 * time.Minute) // lets the timers of abandoned answers expire
}

func (s *sim) allNodes() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*node
	for _, name := range nodeNames {
		if n := s.nodes[string(name)]; n != nil {
			list = append(list, n)
		}
	}
	return list
}

// startMonitor restarts dead nodes, and records a violation if a shard has more
// than one holder, until the returned channel is closed.
func (s *sim) startMonitor() chan struct{} {
	stop := make(chan struct{})
	s.background.Go(func() {
		deadSince := map[*node]time.Time{}
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			s.checkLeases()
			for _, n := range s.allNodes() {
				s.restartIfDead(n, deadSince)
			}
		}
	})
	return stop
}

func (s *sim) restartIfDead(n *node, deadSince map[*node]time.Time) {
	if !n.proc.isDead() || n.proc.isVMLost() {
		return
	}
	if deadSince[n].IsZero() {
		deadSince[n] = time.Now()
	}
	if time.Since(deadSince[n]) >= restartDelay {
		startNode(s.environment, n.self.Node, s.mutant)
	}
}

func (s *sim) checkLeases() {
	holders := map[burdockyard.ShardID]burdockyard.NodeID{}
	for _, n := range s.allNodes() {
		n.mu.Lock()
		for id, sh := range n.shards {
			if _, held := sh.keeper.Grant(); held && !n.proc.isDead() {
				if other := holders[id]; other != "" {
					s.recordViolation("shard %s has two holders, %s and %s, want at most one", id, other, n.self.Node)
				}
				holders[id] = n.self.Node
			}
		}
		n.mu.Unlock()
	}
}

// waitUntilSettled waits until the system has reached the published state, and
// records a violation if that takes longer than livenessBound.
func (s *sim) waitUntilSettled() {
	s.mu.Lock()
	end := s.lastFaultAt.Add(max(pauseDuration, partitionDuration, outageDuration))
	s.mu.Unlock()
	deadline := time.Now().Add(livenessBound)
	if end.After(time.Now()) {
		deadline = end.Add(livenessBound)
	}
	for {
		reason := s.unsettledReason()
		if reason == "" {
			return
		}
		if time.Now().After(deadline) {
			s.recordViolation("system did not settle in time: %s", reason)
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// unsettledReason returns what still differs from the published state, or "".
func (s *sim) unsettledReason() string {
	held := map[burdockyard.ShardID]bool{}
	var want *bymanifest.Manifest
	for _, n := range s.allNodes() {
		m := n.follower().Current()
		if n.proc.isVMLost() {
			continue
		}
		if n.proc.isDead() || m == nil || m.Generation() != s.newestGeneration() {
			return fmt.Sprintf("node %s is down or not on manifest generation %d", n.self.Node, s.newestGeneration())
		}
		want = m
		n.mu.Lock()
		for id, sh := range n.shards {
			_, ok := sh.keeper.Grant()
			held[id] = held[id] || ok
		}
		n.mu.Unlock()
	}
	for _, e := range want.Engines() {
		if !held[e.Shard()] {
			return fmt.Sprintf("shard %s has no holder", e.Shard())
		}
		fake := s.engineAt(e.Addr())
		fake.mu.Lock()
		got := fake.state
		fake.mu.Unlock()
		if fmt.Sprint(got) != fmt.Sprint(e.State()) {
			return fmt.Sprintf("engine %s has state %v, want %v", e.ID(), got, e.State())
		}
	}
	return ""
}

func (s *sim) engineAt(addr string) *engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[addr]
}

func (s *sim) newestGeneration() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptedGeneration
}

// operatorStores returns an operator's clients of the platform, as a process of its
// own that no earlier fault has killed, paused or partitioned. An outage or a slow
// store affects it too.
func (s *sim) operatorStores() (burdockyard.Table, burdockyard.ObjectStore) {
	p := platform{s.environment, newProcess("operator")}
	return p, objects{p}
}

// publish retries a publication until it is accepted or refused for its expected
// generation.
func (s *sim) publish(spec bymanifest.Spec, expect uint64) bymanifest.PublishResult {
	return s.changeManifest(expect, func(t burdockyard.Table, o burdockyard.ObjectStore) (bymanifest.PublishResult, error) {
		return bymanifest.Publish(context.Background(), t, o, spec, expect)
	})
}

func (s *sim) setEndpointState(id, state string) bymanifest.PublishResult {
	return s.changeManifest(bymanifest.AnyGeneration, func(t burdockyard.Table, o burdockyard.ObjectStore) (bymanifest.PublishResult, error) {
		return bymanifest.SetEndpointState(context.Background(), t, o, id, state)
	})
}

func (s *sim) setEndpointAddress(id, address string) bymanifest.PublishResult {
	return s.changeManifest(bymanifest.AnyGeneration, func(t burdockyard.Table, o burdockyard.ObjectStore) (bymanifest.PublishResult, error) {
		return bymanifest.SetEndpointAddress(context.Background(), t, o, id, address)
	})
}

func (s *sim) changeManifest(expect uint64, do func(burdockyard.Table, burdockyard.ObjectStore) (bymanifest.PublishResult, error)) bymanifest.PublishResult {
	for {
		from := time.Now()
		t, o := s.operatorStores()
		result, err := do(t, o)
		s.mu.Lock()
		s.published = append(s.published, publishAttempt{from, time.Now(), expect, result.Generation, err})
		s.acceptedGeneration = max(s.acceptedGeneration, result.Generation)
		s.mu.Unlock()
		if err == nil || errors.Is(err, bymanifest.ErrGenerationMismatch) {
			s.pushManifest(result)
			return result
		}
		time.Sleep(time.Second)
	}
}

// pushManifest sends an accepted manifest to the reachable nodes, as burdock publish
// does.
func (s *sim) pushManifest(result bymanifest.PublishResult) {
	if result.Encoded.Pointer == nil {
		return
	}
	for _, n := range s.allNodes() {
		if !n.proc.isDead() && !n.proc.isPaused() && !n.proc.isPartitioned(toPeers) {
			_ = n.follower().AdoptFromPeer(context.Background(), result.Encoded)
			n.checkGeneration()
		}
	}
}

// waitForNode waits for a node that accepts calls and returns it, trying the i-th
// node first.
func (s *sim) waitForNode(i int) *node {
	for {
		nodes := s.allNodes()
		for j := range nodes {
			if n := nodes[(i+j)%len(nodes)]; n.acceptsCalls() {
				return n
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// tokenSink is a caller's connection for one answer. It closes when the node dies.
type tokenSink struct {
	mu       sync.Mutex
	text     string
	tokens   int
	position *bystream.Position
	closed   bool
}

func (k *tokenSink) Token(t burdockyard.Token, next bystream.Position) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return errProcessDead
	}
	k.text += t.Text
	k.tokens++
	k.position = &next
	return nil
}

func (k *tokenSink) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
}

// startStreamCaller starts a caller that requests an answer and resumes it after an
// interruption. It records a violation if the answer is incomplete at the deadline
// or its text isn't the expected one.
func (s *sim) startStreamCaller(i, tokens int) {
	prompt := fmt.Sprintf("prompt %d", i)
	s.callers.Go(func() {
		k := &tokenSink{}
		deadline := time.Now().Add(outageDuration + pauseDuration + livenessBound)
		for try := i; ; try++ {
			k = &tokenSink{text: k.text, tokens: k.tokens, position: k.position}
			err := s.generate(s.waitForNode(try), k, prompt, tokens)
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				s.recordViolation("answer to %q is incomplete at the deadline: %v", prompt, err)
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
		if want := byemu.GenerateText(prompt, tokens); k.text != want {
			s.recordViolation("answer to %q is %q, want %q", prompt, k.text, want)
		}
	})
}

// generate makes one attempt at an answer, until it ends or its node dies.
func (s *sim) generate(n *node, k *tokenSink, prompt string, tokens int) error {
	call := byserve.Call{
		ID: burdockyard.NewRequestID(), Tenant: "t", TenantWeight: 1, Class: baseSpec().Classes[0], Model: "m",
		Work: byroute.Work{PromptTokens: 10, OutputTokens: tokens}, ResumeAt: k.position, DeliveredText: k.text,
		EncodeBody: func(delivered string, left int) ([]byte, error) {
			return json.Marshal(requestBody{Text: prompt + delivered, Tokens: left})
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	s.background.Go(func() { done <- n.server.Generate(ctx, call, k) })
	select {
	case err := <-done:
		return err
	case <-n.proc.ctx.Done():
		k.close()
		s.mu.Lock()
		s.interruptedAnswers++
		s.mu.Unlock()
		return errProcessDead
	}
}

// startBookingCaller starts a caller that books under a key, and retries while the
// outcome is OutcomeNotRun or there is no answer. It records a violation if that
// is still so at the deadline.
func (s *sim) startBookingCaller(i int, key, text string) {
	s.callers.Go(func() {
		deadline := time.Now().Add(outageDuration + pauseDuration + livenessBound)
		for try := i; time.Now().Before(deadline); try++ {
			r := s.bookOnce(s.waitForNode(try), key, text)
			s.mu.Lock()
			s.replies = append(s.replies, r)
			s.mu.Unlock()
			var call *burdockyard.CallError
			if r.err == nil || errors.As(r.err, &call) && call.Outcome() != burdockyard.OutcomeNotRun {
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
		s.recordViolation("booking %s got no final answer before the deadline", key)
	})
}

func (s *sim) bookOnce(n *node, key, text string) bookingReply {
	r := bookingReply{key: key, id: burdockyard.NewRequestID(), from: time.Now()}
	req := burdockyard.ServiceRequest{ID: r.id, Method: "POST", Path: "/dispatch", IdempotencyKey: key, Body: []byte(text)}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	done := make(chan struct{})
	s.background.Go(func() {
		defer close(done)
		resp, err := n.server.CallService(ctx, byserve.ServiceCall{Tenant: "t", Service: "booking", Request: req})
		r.body, r.err = string(resp.Body), err
	})
	select {
	case <-done:
	case <-n.proc.ctx.Done():
		<-done // the process is dead, so its answer is lost
		r.body, r.err = "", errProcessDead
	}
	r.to = time.Now()
	return r
}
