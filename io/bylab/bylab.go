// Package bylab measures the policy in virtual time: the decisions of core, the
// same code that a node runs, against emulated engines on seeded arrivals,
// beside simple baselines on the same seeds.
//
// # Usage
//
//	r := bylab.Run(bylab.Jadepeak, bylab.Shifts(bylab.Jadepeak, 0.9), bylab.Burdock(), seed)
//	fmt.Println(r.Goodput(), r.FirstToken(0.99))
package bylab

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"burdockyard"
	"burdockyard/core/bymanifest"
	"burdockyard/core/byroute"
	"burdockyard/core/byserve"
	"burdockyard/io/byemu"
)

const (
	// networkDelay is the time between a node and an engine, one way.
	networkDelay = 500 * time.Microsecond
	// digestInterval is how often nodes learn of each other's open work.
	digestInterval = 500 * time.Millisecond
	// dispatchInterval is how often a node looks at its queues when nothing happens.
	dispatchInterval = 10 * time.Millisecond
	// maxRetries is how often a refused caller comes back.
	maxRetries = 3
)

// Deployment is the sizes of one deployment.
type Deployment struct {
	Name    string
	Model   bymanifest.ModelSpec
	Engines int
	Nodes   int
	Tenants []bymanifest.TenantSpec
	Short   bymanifest.ClassSpec
	Long    bymanifest.ClassSpec
}

var model = bymanifest.ModelSpec{Name: "m", Version: "1", PrefillRate: 24000, DecodeRate: 2400, MaxStreams: 32, MaxPrompt: 131072}

// Jadepeak and Bluebonnet are the deployments at the brief's sizes.
var (
	Jadepeak = Deployment{
		Name: "Jadepeak", Model: model, Engines: 14, Nodes: 8,
		Tenants: []bymanifest.TenantSpec{{Name: "jadepeak", Weight: 1}},
		Short:   bymanifest.ClassSpec{Name: "question", Priority: 2, FirstToken: 360 * time.Millisecond, Deadline: 30 * time.Second, Queue: 512},
		Long:    bymanifest.ClassSpec{Name: "survey", FirstToken: 20 * time.Second, Deadline: 300 * time.Second, Queue: 128},
	}
	Bluebonnet = Deployment{
		Name: "Bluebonnet", Model: model, Engines: 9, Nodes: 7,
		Tenants: []bymanifest.TenantSpec{{Name: "one", Weight: 1}, {Name: "two", Weight: 1}, {Name: "three", Weight: 1}},
		Short:   bymanifest.ClassSpec{Name: "picker", Priority: 2, FirstToken: 360 * time.Millisecond, Deadline: 30 * time.Second, Queue: 512},
		Long:    bymanifest.ClassSpec{Name: "plan", FirstToken: 20 * time.Second, Deadline: 300 * time.Second, Queue: 128},
	}
)

// manifest describes the deployment's engines.
func (d Deployment) manifest() *bymanifest.Manifest {
	s := bymanifest.Spec{
		Name: d.Name, Models: []bymanifest.ModelSpec{d.Model}, Tenants: d.Tenants,
		Classes: []bymanifest.ClassSpec{d.Short, d.Long},
	}
	for i := range d.Engines {
		s.Engines = append(s.Engines, bymanifest.EngineSpec{Name: engineName(i), Model: d.Model.Name, Domain: "a", Role: "mixed"})
	}
	return bymanifest.New(s, 1)
}

func engineName(i int) string { return "e" + string(rune('a'+i/26)) + string(rune('a'+i%26)) }

// Call is one caller's call.
type Call struct {
	At     time.Duration // of arrival
	Tenant bymanifest.TenantSpec
	Class  bymanifest.ClassSpec
	Prompt int // tokens
	Output int // tokens
	Prefix []uint64

	node           int
	tryStartedAt   time.Duration // of the last try
	firstTokenAt   time.Duration // of the first token; 0 if none
	lastTokenAt    time.Duration
	finishedAt     time.Duration // of the last token; 0 if not whole
	tokenGaps      []time.Duration
	producedTokens int // tokens
	flight         *byroute.Flight
	refusals       int
	retries        int
	onToken        func(first, last bool)
}

// Work returns what the call asks of an engine.
func (c *Call) Work() byroute.Work {
	return byroute.Work{PromptTokens: c.Prompt, OutputTokens: c.Output, Prefix: c.Prefix}
}

// InTime reports whether the answer was whole by its deadline, and began within
// the class's time, counted from the try that was served.
func (c *Call) InTime() bool {
	if c.finishedAt == 0 {
		return false
	}
	return c.firstTokenAt-c.tryStartedAt <= c.firstTokenLimit() && c.finishedAt-c.tryStartedAt <= c.Class.Deadline
}

// firstTokenLimit is the class's time to the first token, or what the prompt alone
// needs of an idle engine if that is longer, with half as much again.
func (c *Call) firstTokenLimit() time.Duration {
	alone := time.Duration(float64(c.Prompt) / float64(model.PrefillRate) * 1.5 * float64(time.Second))
	return max(c.Class.FirstToken, alone)
}

// Slowdown makes engines slow for a while.
type Slowdown struct {
	From, To time.Duration
	Engines  int
	Factor   float64
}

// Workload is a list of calls and what happens meanwhile.
type Workload struct {
	Name  string
	Calls func(rnd *rand.Rand) []*Call
	Slow  Slowdown
	Fault Fault
}

// Fault is something that breaks at a time.
type Fault struct {
	At      time.Duration
	Node    bool          // a node is killed; its callers go to another
	Engine  bool          // an engine is lost; its answers go on elsewhere
	Silence time.Duration // nodes hear nothing of each other for so long
}

// event is something that happens at a time. seq keeps equal times in order.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// engine is an emulated engine and the calls on it.
type engine struct {
	emulator *byemu.Engine
	calls    map[*byemu.Stream]*Call
	busy     bool
	lost     bool
}

// simulation is one run. It is used by one goroutine.
type simulation struct {
	d               Deployment
	manifest        *bymanifest.Manifest
	now             time.Duration
	seq             int
	events          eventQueue
	engines         map[burdockyard.EndpointID]*engine
	policy          policy
	calls           []*Call
	unfinished      int
	fault           Fault
	deadNode        int           // no caller is sent there; -1 for none
	digestsResumeAt time.Duration // until when nodes hear nothing of each other
	slowDetectedAt  time.Duration // first time that a slow engine was weighted down
	slowRestoredAt  time.Duration // last time that one was
}

// epoch is the beginning of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *simulation) wallTime() time.Time { return epoch.Add(s.now) }

func (s *simulation) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: do})
}

// policy decides where and when calls start.
type policy interface {
	init(*simulation, *rand.Rand)
	submit(*Call)
	// failOver goes on with a call whose engine is lost.
	failOver(c *Call, lost burdockyard.EndpointID)
}

// PolicyMaker makes a fresh policy for a run.
type PolicyMaker struct {
	Name      string
	newPolicy func() policy
}

// Run runs a workload to its end.
func Run(d Deployment, w Workload, p PolicyMaker, seed uint64) *Result {
	rnd := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{d: d, manifest: d.manifest(), engines: map[burdockyard.EndpointID]*engine{}, policy: p.newPolicy(), deadNode: -1, fault: w.Fault}
	for _, e := range s.manifest.Engines() {
		s.engines[e.ID()] = &engine{emulator: byemu.New(emulatorConfig(d.Model)), calls: map[*byemu.Stream]*Call{}}
	}
	s.calls = w.Calls(rnd)
	s.unfinished = len(s.calls)
	s.policy.init(s, rand.New(rand.NewPCG(seed, 2)))
	for _, c := range s.calls {
		c.node = rnd.IntN(d.Nodes)
		s.schedule(c.At, func() { s.arrive(c) })
	}
	s.scheduleSlowdown(w.Slow)
	s.scheduleFault(w.Fault)
	s.runEvents()
	return &Result{Deployment: d, Workload: w, calls: s.calls, slowDetectedAt: s.slowDetectedAt, slowRestoredAt: s.slowRestoredAt}
}

func emulatorConfig(m bymanifest.ModelSpec) byemu.Config {
	return byemu.Config{PrefillRate: m.PrefillRate, DecodeRate: m.DecodeRate, MaxStreams: m.MaxStreams, Role: burdockyard.RoleMixed}
}

func (s *simulation) runEvents() {
	for len(s.events) > 0 && s.unfinished > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *simulation) arrive(c *Call) {
	c.tryStartedAt = s.now
	if c.node == s.deadNode {
		c.node = (c.node + 1) % s.d.Nodes
	}
	s.policy.submit(c)
}

func (s *simulation) scheduleSlowdown(w Slowdown) {
	if w.Engines == 0 {
		return
	}
	set := func(factor float64) {
		for i := range w.Engines {
			s.engines[burdockyard.EndpointID(engineName(i))].emulator.SetSlow(factor)
		}
	}
	s.schedule(w.From, func() { set(w.Factor) })
	s.schedule(w.To, func() { set(1) })
}

func (s *simulation) scheduleFault(f Fault) {
	if f.At == 0 {
		return
	}
	s.schedule(f.At, func() {
		if f.Node {
			s.deadNode = 0
		}
		if f.Engine {
			s.failEngine(burdockyard.EndpointID(engineName(0)))
		}
		s.digestsResumeAt = s.now + f.Silence
	})
}

// failEngine ends an engine for good. Its answers go on elsewhere from the
// tokens that they have.
func (s *simulation) failEngine(id burdockyard.EndpointID) {
	e := s.engines[id]
	e.lost = true
	calls := e.calls
	e.calls = map[*byemu.Stream]*Call{}
	var ordered []*Call
	for _, c := range s.calls {
		for _, lost := range calls {
			if lost == c {
				ordered = append(ordered, c)
			}
		}
	}
	for _, c := range ordered {
		s.schedule(networkDelay, func() { s.policy.failOver(c, id) })
	}
}

// sendToEngine sends a call to an engine. onToken hears of each of its tokens.
func (s *simulation) sendToEngine(c *Call, id burdockyard.EndpointID, priority int, onToken func(first, last bool)) {
	c.onToken = onToken
	s.schedule(networkDelay, func() {
		e := s.engines[id]
		if e.lost {
			s.schedule(networkDelay, func() { s.policy.failOver(c, id) })
			return
		}
		st := &byemu.Stream{Prompt: c.Prompt + c.producedTokens, Prefix: c.Prefix, Output: c.Output - c.producedTokens, Priority: priority}
		e.calls[st] = c
		e.emulator.Add(st)
		s.iterate(e)
	})
}

// iterate lets an engine go on while it has work.
func (s *simulation) iterate(e *engine) {
	if e.busy || e.lost {
		return
	}
	d, produced := e.emulator.Iterate()
	if d == 0 {
		return
	}
	e.busy = true
	s.schedule(d, func() {
		e.busy = false
		if e.lost {
			return
		}
		for _, st := range produced {
			s.recordToken(e, st)
		}
		s.iterate(e)
	})
}

func (s *simulation) recordToken(e *engine, st *byemu.Stream) {
	c := e.calls[st]
	at := s.now + networkDelay
	first := c.firstTokenAt == 0
	if first {
		c.firstTokenAt = at
	} else {
		c.tokenGaps = append(c.tokenGaps, at-c.lastTokenAt)
	}
	c.lastTokenAt = at
	c.producedTokens++
	last := c.producedTokens == c.Output
	if last {
		c.finishedAt = at
		delete(e.calls, st)
		s.unfinished--
	}
	c.onToken(first, last)
}

// refuse ends a try. The caller comes back when it was told to, a few times.
func (s *simulation) refuse(c *Call, retryAfter time.Duration) {
	c.refusals++
	if c.retries == maxRetries {
		s.unfinished--
		return
	}
	c.retries++
	s.schedule(retryAfter, func() { s.arrive(c) })
}

// Capacity returns the calls per second of a kind that the engines' own rates
// allow: whole batches and whole chunks, with nothing idle.
func (d Deployment) Capacity(prompt, output int) float64 {
	perCall := byserve.Cost(d.Model, byroute.Work{PromptTokens: prompt, OutputTokens: output}).Seconds()
	perCall += byemu.FixedSeconds(prompt, output, d.Model.MaxStreams)
	return float64(d.Engines) / perCall
}
