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
	// network is the time between a node and an engine, one way.
	network = 500 * time.Microsecond
	// beatEvery is how often nodes learn of each other's open work.
	beatEvery = 500 * time.Millisecond
	// pumpEvery is how often a node looks at its queues when nothing happens.
	pumpEvery = 10 * time.Millisecond
	// maxReturns is how often a refused caller comes back.
	maxReturns = 3
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

	node      int
	began     time.Duration // of the last try
	first     time.Duration // of the first token; 0 if none
	lastToken time.Duration
	ended     time.Duration // of the last token; 0 if not whole
	gaps      []time.Duration
	made      int // tokens
	flight    *byroute.InFlightCall
	refused   int
	returns   int
	onToken   func(first, last bool)
}

// Work returns what the call asks of an engine.
func (c *Call) Work() byroute.Work {
	return byroute.Work{PromptTokens: c.Prompt, OutputTokens: c.Output, PrefixHashes: c.Prefix}
}

// InTime reports whether the answer was whole by its deadline, and began within
// the class's time, counted from the try that was served.
func (c *Call) InTime() bool {
	if c.ended == 0 {
		return false
	}
	return c.first-c.began <= c.firstLimit() && c.ended-c.began <= c.Class.Deadline
}

// firstLimit is the class's time to the first token, or what the prompt alone
// needs of an idle engine if that is longer, with half as much again.
func (c *Call) firstLimit() time.Duration {
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
	do  func()
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
	emu   *byemu.Engine
	calls map[*byemu.Stream]*Call
	busy  bool
	lost  bool
}

// sim is one run. It is used by one goroutine.
type sim struct {
	d        Deployment
	manifest *bymanifest.Manifest
	now      time.Duration
	seq      int
	events   eventQueue
	engines  map[burdockyard.EndpointID]*engine
	policy   policy
	calls    []*Call
	left     int
	fault    Fault
	deadNode int           // no caller is sent there; -1 for none
	silent   time.Duration // until when nodes hear nothing of each other
	noticed  time.Duration // first time that a slow engine was weighted down
	restored time.Duration // last time that one was
}

// epoch is the beginning of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, do: do})
}

// policy decides where and when calls start.
type policy interface {
	begin(*sim, *rand.Rand)
	offer(*Call)
	// move goes on with a call whose engine is lost.
	move(c *Call, lost burdockyard.EndpointID)
}

// PolicyMaker makes a fresh policy for a run.
type PolicyMaker struct {
	Name string
	make func() policy
}

// Run runs a workload to its end.
func Run(d Deployment, w Workload, p PolicyMaker, seed uint64) *Result {
	rnd := rand.New(rand.NewPCG(seed, 1))
	s := &sim{d: d, manifest: d.manifest(), engines: map[burdockyard.EndpointID]*engine{}, policy: p.make(), deadNode: -1, fault: w.Fault}
	for _, e := range s.manifest.Engines() {
		s.engines[e.ID()] = &engine{emu: byemu.New(emulated(d.Model)), calls: map[*byemu.Stream]*Call{}}
	}
	s.calls = w.Calls(rnd)
	s.left = len(s.calls)
	s.policy.begin(s, rand.New(rand.NewPCG(seed, 2)))
	for _, c := range s.calls {
		c.node = rnd.IntN(d.Nodes)
		s.after(c.At, func() { s.arrive(c) })
	}
	s.slowDown(w.Slow)
	s.breakDown(w.Fault)
	s.loop()
	return &Result{Deployment: d, Workload: w, calls: s.calls, noticed: s.noticed, restored: s.restored}
}

func emulated(m bymanifest.ModelSpec) byemu.Config {
	return byemu.Config{PrefillRate: m.PrefillRate, DecodeRate: m.DecodeRate, MaxStreams: m.MaxStreams, Role: burdockyard.RoleMixed}
}

func (s *sim) loop() {
	for len(s.events) > 0 && s.left > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

func (s *sim) arrive(c *Call) {
	c.began = s.now
	if c.node == s.deadNode {
		c.node = (c.node + 1) % s.d.Nodes
	}
	s.policy.offer(c)
}

func (s *sim) slowDown(w Slowdown) {
	if w.Engines == 0 {
		return
	}
	set := func(factor float64) {
		for i := range w.Engines {
			s.engines[burdockyard.EndpointID(engineName(i))].emu.SetSlowdown(factor)
		}
	}
	s.after(w.From, func() { set(w.Factor) })
	s.after(w.To, func() { set(1) })
}

func (s *sim) breakDown(f Fault) {
	if f.At == 0 {
		return
	}
	s.after(f.At, func() {
		if f.Node {
			s.deadNode = 0
		}
		if f.Engine {
			s.loseEngine(burdockyard.EndpointID(engineName(0)))
		}
		s.silent = s.now + f.Silence
	})
}

// loseEngine ends an engine for good. Its answers go on elsewhere from the
// tokens that they have.
func (s *sim) loseEngine(id burdockyard.EndpointID) {
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
		s.after(network, func() { s.policy.move(c, id) })
	}
}

// start sends a call to an engine. onToken hears of each of its tokens.
func (s *sim) start(c *Call, id burdockyard.EndpointID, priority int, onToken func(first, last bool)) {
	c.onToken = onToken
	s.after(network, func() {
		e := s.engines[id]
		if e.lost {
			s.after(network, func() { s.policy.move(c, id) })
			return
		}
		st := &byemu.Stream{PromptTokens: c.Prompt + c.made, PrefixHashes: c.Prefix, OutputTokens: c.Output - c.made, Priority: priority}
		e.calls[st] = c
		e.emu.Add(st)
		s.iterate(e)
	})
}

// iterate lets an engine go on while it has work.
func (s *sim) iterate(e *engine) {
	if e.busy || e.lost {
		return
	}
	d, produced := e.emu.Iterate()
	if d == 0 {
		return
	}
	e.busy = true
	s.after(d, func() {
		e.busy = false
		if e.lost {
			return
		}
		for _, st := range produced {
			s.token(e, st)
		}
		s.iterate(e)
	})
}

func (s *sim) token(e *engine, st *byemu.Stream) {
	c := e.calls[st]
	at := s.now + network
	first := c.first == 0
	if first {
		c.first = at
	} else {
		c.gaps = append(c.gaps, at-c.lastToken)
	}
	c.lastToken = at
	c.made++
	last := c.made == c.Output
	if last {
		c.ended = at
		delete(e.calls, st)
		s.left--
	}
	c.onToken(first, last)
}

// refuse ends a try. The caller comes back when it was told to, a few times.
func (s *sim) refuse(c *Call, retryAfter time.Duration) {
	c.refused++
	if c.returns == maxReturns {
		s.left--
		return
	}
	c.returns++
	s.after(retryAfter, func() { s.arrive(c) })
}

// Capacity returns the calls per second of a kind that the engines' own rates
// allow: whole batches and whole chunks, with nothing idle.
func (d Deployment) Capacity(prompt, output int) float64 {
	perCall := byserve.Cost(d.Model, byroute.Work{PromptTokens: prompt, OutputTokens: output}).Seconds()
	perCall += byemu.IterationOverheadSeconds(prompt, output, d.Model.MaxStreams)
	return float64(d.Engines) / perCall
}
