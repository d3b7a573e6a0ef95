// Package bylab simulates a deployment in virtual time to measure its admission
// and routing policy. It runs the decision code of core that a node runs, with
// emulated engines and seeded arrivals, and compares it with simple baselines
// on the same seeds.
//
// # Usage
//
//	d := bylab.Jadepeak
//	r := bylab.Run(d, bylab.ShiftingMix(d, 0.9), bylab.Burdock(), seed)
//	fmt.Println(r.Goodput(), r.TimeToFirstToken(0.99, 0, time.Hour))
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
	// networkDelay is the one-way delay between a node and an engine.
	networkDelay = 500 * time.Microsecond
	// digestInterval is how often each node publishes its load digest and reads
	// those of its peers.
	digestInterval = 500 * time.Millisecond
	// dispatchInterval is how often a node checks its queues when no event
	// triggers a dispatch.
	dispatchInterval = 10 * time.Millisecond
	// maxRetries is how many times a refused caller retries.
	maxRetries = 3
)

// Deployment describes the size and the call classes of one simulated deployment.
type Deployment struct {
	Name    string
	Model   bymanifest.ModelSpec
	Engines int
	Nodes   int
	Tenants []bymanifest.TenantSpec
	Short   bymanifest.ClassSpec
	Long    bymanifest.ClassSpec
}

var modelSpec = bymanifest.ModelSpec{Name: "m", Version: "1", PrefillRate: 24000, DecodeRate: 2400, MaxStreams: 32, MaxPrompt: 131072}

// Jadepeak and Bluebonnet are the deployments that the requirements describe, at
// the sizes given there.
var (
	Jadepeak = Deployment{
		Name: "Jadepeak", Model: modelSpec, Engines: 14, Nodes: 8,
		Tenants: []bymanifest.TenantSpec{{Name: "jadepeak", Weight: 1}},
		Short:   bymanifest.ClassSpec{Name: "question", Priority: 2, FirstToken: 360 * time.Millisecond, Deadline: 30 * time.Second, MaxQueued: 512},
		Long:    bymanifest.ClassSpec{Name: "survey", FirstToken: 20 * time.Second, Deadline: 300 * time.Second, MaxQueued: 128},
	}
	Bluebonnet = Deployment{
		Name: "Bluebonnet", Model: modelSpec, Engines: 9, Nodes: 7,
		Tenants: []bymanifest.TenantSpec{{Name: "one", Weight: 1}, {Name: "two", Weight: 1}, {Name: "three", Weight: 1}},
		Short:   bymanifest.ClassSpec{Name: "picker", Priority: 2, FirstToken: 360 * time.Millisecond, Deadline: 30 * time.Second, MaxQueued: 512},
		Long:    bymanifest.ClassSpec{Name: "plan", FirstToken: 20 * time.Second, Deadline: 300 * time.Second, MaxQueued: 128},
	}
)

// manifest returns a manifest of the deployment with all engines in one failure
// domain.
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

// engineName returns a name that sorts by index, from eaa to ezz.
func engineName(i int) string { return "e" + string(rune('a'+i/26)) + string(rune('a'+i%26)) }

// Call is one simulated call and the record of its progress. Times are virtual,
// measured from the start of the run.
type Call struct {
	ArrivalTime  time.Duration // first arrival
	Tenant       bymanifest.TenantSpec
	Class        bymanifest.ClassSpec
	PromptTokens int // tokens
	OutputTokens int // tokens
	PrefixHashes []uint64

	node           int
	tryStartedAt   time.Duration // arrival of the latest try
	firstTokenAt   time.Duration // 0 until the first token is received
	lastTokenAt    time.Duration
	finishedAt     time.Duration   // 0 until the last token is received
	tokenGaps      []time.Duration // between consecutive tokens
	producedTokens int
	flight         *byroute.InFlightCall
	refusals       int
	retries        int
	onToken        func(first, last bool)
}

// Work returns the work that the call requires of an engine.
func (c *Call) Work() byroute.Work {
	return byroute.Work{PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens, PrefixHashes: c.PrefixHashes}
}

// InTime reports whether the answer was complete by the class's deadline and its
// first token met firstTokenLimit. Both are counted from the try that was served.
func (c *Call) InTime() bool {
	if c.finishedAt == 0 {
		return false
	}
	return c.firstTokenAt-c.tryStartedAt <= c.firstTokenLimit() && c.finishedAt-c.tryStartedAt <= c.Class.Deadline
}

// firstTokenLimit returns the longest time to the first token that counts as in
// time: the class's limit or 1.5 times the prefill time of the prompt on an idle
// engine, whichever is longer.
func (c *Call) firstTokenLimit() time.Duration {
	prefillLimit := time.Duration(float64(c.PromptTokens) / float64(modelSpec.PrefillRate) * 1.5 * float64(time.Second))
	return max(c.Class.FirstToken, prefillLimit)
}

// Slowdown slows the first EngineCount engines by Factor between From and To.
type Slowdown struct {
	From, To    time.Duration
	EngineCount int
	Factor      float64
}

// Workload generates calls, with an optional slowdown and fault during the run.
type Workload struct {
	Name     string
	Calls    func(rnd *rand.Rand) []*Call
	Slowdown Slowdown
	Fault    Fault
}

// Fault is a failure injected at a point in time. The zero value injects none.
type Fault struct {
	At           time.Duration
	KillsNode    bool          // kills a node; its callers go to the next one
	LosesEngine  bool          // removes an engine; its answers continue on other engines
	DigestOutage time.Duration // how long nodes receive no digests from each other
}

// event is a scheduled function. seq orders events that have the same time, so
// that a seed always gives the same run.
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

// engine is an emulated engine and the calls that run on it.
type engine struct {
	emulator *byemu.Engine
	calls    map[*byemu.Stream]*Call
	busy     bool
	lost     bool
}

// simulation is the state of one run. It is not safe for concurrent use.
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
	deadNode        int           // callers are redirected from this node; -1 for none
	digestsResumeAt time.Duration // nodes receive no digests before this time
	slowDetectedAt  time.Duration // first time that a node reduced the weight of a slow engine
	slowRestoredAt  time.Duration // end of the last digest interval with a reduced weight; 0 if none
}

// epoch is the wall time at which virtual time starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *simulation) wallTime() time.Time { return epoch.Add(s.now) }

func (s *simulation) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: run})
}

// policy decides on which engine and when each call starts.
type policy interface {
	init(*simulation, *rand.Rand)
	submit(*Call)
	// failOver continues a call on another engine after its engine was lost.
	failOver(c *Call, lost burdockyard.EndpointID)
}

// PolicyFactory creates a new policy for each run.
type PolicyFactory struct {
	Name      string
	newPolicy func() policy
}

// Run simulates a workload until every call has finished or given up. The same
// arguments always give the same result.
func Run(d Deployment, w Workload, p PolicyFactory, seed uint64) *Result {
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
		s.schedule(c.ArrivalTime, func() { s.arrive(c) })
	}
	s.scheduleSlowdown(w.Slowdown)
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

func (s *simulation) scheduleSlowdown(slowdown Slowdown) {
	if slowdown.EngineCount == 0 {
		return
	}
	set := func(factor float64) {
		for i := range slowdown.EngineCount {
			s.engines[burdockyard.EndpointID(engineName(i))].emulator.SetSlowdown(factor)
		}
	}
	s.schedule(slowdown.From, func() { set(slowdown.Factor) })
	s.schedule(slowdown.To, func() { set(1) })
}

func (s *simulation) scheduleFault(f Fault) {
	if f.At == 0 {
		return
	}
	s.schedule(f.At, func() {
		if f.KillsNode {
			s.deadNode = 0
		}
		if f.LosesEngine {
			s.failEngine(burdockyard.EndpointID(engineName(0)))
		}
		s.digestsResumeAt = s.now + f.DigestOutage
	})
}

// failEngine removes an engine for the rest of the run. Its calls fail over and
// keep the tokens that they already produced. They do so in the order of s.calls,
// because the order of a map would differ between runs.
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

// sendToEngine sends a call to an engine after the network delay. onToken is
// called for each of its tokens.
func (s *simulation) sendToEngine(c *Call, id burdockyard.EndpointID, priority int, onToken func(first, last bool)) {
	c.onToken = onToken
	s.schedule(networkDelay, func() {
		e := s.engines[id]
		if e.lost {
			s.schedule(networkDelay, func() { s.policy.failOver(c, id) })
			return
		}
		st := &byemu.Stream{PromptTokens: c.PromptTokens + c.producedTokens, PrefixHashes: c.PrefixHashes, OutputTokens: c.OutputTokens - c.producedTokens, Priority: priority}
		e.calls[st] = c
		e.emulator.Add(st)
		s.iterate(e)
	})
}

// iterate runs iterations of an engine for as long as it has work.
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
	last := c.producedTokens == c.OutputTokens
	if last {
		c.finishedAt = at
		delete(e.calls, st)
		s.unfinished--
	}
	c.onToken(first, last)
}

// refuse ends a try. The caller retries after retryAfter, up to maxRetries times.
func (s *simulation) refuse(c *Call, retryAfter time.Duration) {
	c.refusals++
	if c.retries == maxRetries {
		s.unfinished--
		return
	}
	c.retries++
	s.schedule(retryAfter, func() { s.arrive(c) })
}

// Capacity returns an upper bound on the calls per second of the given size in
// tokens: every engine runs full batches and full chunks and is never idle.
func (d Deployment) Capacity(prompt, output int) float64 {
	perCall := byserve.Cost(d.Model, byroute.Work{PromptTokens: prompt, OutputTokens: output}).Seconds()
	perCall += byemu.IterationOverheadSeconds(prompt, output, d.Model.MaxStreams)
	return float64(d.Engines) / perCall
}
