package bylab

import (
	"math/rand/v2"
	"time"

	"burdockyard"
	"burdockyard/core/byadmit"
	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
	"burdockyard/core/byroute"
	"burdockyard/core/byserve"
)

// RoundRobin returns a baseline in which each node sends calls to the engines in
// turn and engines serve them in order of arrival.
func RoundRobin() PolicyFactory {
	return PolicyFactory{"round robin", func() policy { return &immediatePolicy{pick: nextEngine} }}
}

// LeastRequests returns a baseline in which each node sends a call to the engine
// that has the fewest open calls of that node.
func LeastRequests() PolicyFactory {
	return PolicyFactory{"least requests", func() policy { return &immediatePolicy{pick: fewestCalls} }}
}

// immediatePolicy sends every call to an engine on arrival, without a queue.
type immediatePolicy struct {
	s          *simulation
	rnd        *rand.Rand
	pick       func(*immediatePolicy, int) int
	lastPicked []int   // engine index by node
	openCalls  [][]int // number of calls by node and engine
}

func (p *immediatePolicy) init(s *simulation, rnd *rand.Rand) {
	p.s, p.rnd = s, rnd
	p.lastPicked = make([]int, s.d.Nodes)
	p.openCalls = make([][]int, s.d.Nodes)
	for i := range p.openCalls {
		p.lastPicked[i] = rnd.IntN(s.d.Engines)
		p.openCalls[i] = make([]int, s.d.Engines)
	}
}

func nextEngine(p *immediatePolicy, node int) int {
	p.lastPicked[node] = (p.lastPicked[node] + 1) % p.s.d.Engines
	return p.lastPicked[node]
}

func fewestCalls(p *immediatePolicy, node int) int {
	best := p.rnd.IntN(p.s.d.Engines)
	for i, n := range p.openCalls[node] {
		if n < p.openCalls[node][best] {
			best = i
		}
	}
	return best
}

func (p *immediatePolicy) submit(c *Call) {
	i := p.pick(p, c.node)
	p.openCalls[c.node][i]++
	p.s.sendToEngine(c, burdockyard.EndpointID(engineName(i)), 0, func(_, last bool) {
		if last {
			p.openCalls[c.node][i]--
		}
	})
}

func (p *immediatePolicy) failOver(c *Call, _ burdockyard.EndpointID) { p.submit(c) }

// PolicyOptions disables parts of the policy, to measure what each contributes.
type PolicyOptions struct {
	Name           string
	Admit          []byadmit.Option
	Route          []byroute.Option
	EnginePriority bool // sends the priority of a call to the engine; false sends 0
}

// Burdock returns the policy that a node runs.
func Burdock() PolicyFactory {
	return BurdockWith(PolicyOptions{Name: "burdockyard", EnginePriority: true})
}

// BurdockWith returns the policy that a node runs, with some parts disabled.
func BurdockWith(o PolicyOptions) PolicyFactory {
	return PolicyFactory{o.Name, func() policy { return &nodePolicy{options: o} }}
}

// nodePolicy runs the dispatcher and router that a node runs, once for each
// simulated node.
type nodePolicy struct {
	options PolicyOptions
	s       *simulation
	nodes   []*byserve.Dispatcher[*Call]
	digests []map[burdockyard.EndpointID]bymember.Load
}

func (p *nodePolicy) init(s *simulation, rnd *rand.Rand) {
	p.s = s
	manifest := func() *bymanifest.Manifest { return s.manifest }
	manifestIsFresh := func() bool { return true }
	for range s.d.Nodes {
		random := byroute.WithRand(rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64())))
		router := byroute.New(append([]byroute.Option{random}, p.options.Route...)...)
		admit := append([]byadmit.Option{byadmit.WithRand(rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64())))}, p.options.Admit...)
		p.nodes = append(p.nodes, byserve.NewDispatcher[*Call](router, manifest, manifestIsFresh, admit...))
	}
	p.digests = make([]map[burdockyard.EndpointID]bymember.Load, s.d.Nodes)
	for i := range p.nodes {
		phase := time.Duration(rnd.Int64N(int64(digestInterval)))
		s.schedule(phase, func() { p.exchangeDigests(i) })
	}
	s.schedule(dispatchInterval, p.dispatchAll)
}

// exchangeDigests publishes the digest of node i and passes the latest digests of
// its peers to its dispatcher, unless a fault blocks digests.
func (p *nodePolicy) exchangeDigests(i int) {
	if i == p.s.deadNode {
		p.digests[i] = nil
		return
	}
	own := map[burdockyard.EndpointID]bymember.Load{}
	for _, l := range p.nodes[i].Router().LocalLoads() {
		own[l.Engine] = l
	}
	p.digests[i] = own
	if p.s.now >= p.s.digestsResumeAt {
		p.nodes[i].Update(p.peerLoads(i), p.position(i), p.s.wallTime())
	}
	p.recordSlowEngines(i)
	p.s.schedule(digestInterval, func() { p.exchangeDigests(i) })
}

// position returns the position of a node among the live ones. A dead node no longer
// counts once its heartbeats have been missing for bymember.SuspectAfter.
func (p *nodePolicy) position(i int) byroute.NodePosition {
	dead := p.s.deadNode
	if dead < 0 || p.s.now < p.s.fault.At+bymember.SuspectAfter {
		return byroute.NodePosition{Index: i, Nodes: len(p.nodes)}
	}
	if i > dead {
		i--
	}
	return byroute.NodePosition{Index: i, Nodes: len(p.nodes) - 1}
}

func (p *nodePolicy) peerLoads(i int) map[burdockyard.EndpointID]bymember.Load {
	sum := map[burdockyard.EndpointID]bymember.Load{}
	for j, digest := range p.digests {
		if j == i {
			continue
		}
		for id, l := range digest {
			x := sum[id]
			x.PrefillTokens += l.PrefillTokens
			x.LongPromptTokens += l.LongPromptTokens
			x.Streams += l.Streams
			sum[id] = x
		}
	}
	return sum
}

func (p *nodePolicy) recordSlowEngines(i int) {
	if len(p.nodes[i].Router().SlowEngines()) == 0 {
		return
	}
	if p.s.slowDetectedAt == 0 {
		p.s.slowDetectedAt = p.s.now
	}
	p.s.slowRestoredAt = p.s.now + digestInterval
}

func (p *nodePolicy) submit(c *Call) {
	now := p.s.wallTime()
	call := byserve.AdmissionCall(p.s.d.Model, c.Class, burdockyard.Tenant(c.Tenant.Name), c.Tenant.Weight, c.Work(), now)
	_, refusal := p.nodes[c.node].Offer(byserve.PendingCall[*Call]{Model: p.s.d.Model.Name, Call: call, Work: c.Work(), Value: c}, now)
	if refusal != nil {
		p.s.refuse(c, refusal.RetryAfter())
		return
	}
	p.dispatchQueued(c.node)
}

func (p *nodePolicy) dispatchAll() {
	for i, n := range p.nodes {
		if n.NumWaiting() == 0 {
			continue
		}
		for _, r := range n.Expire(p.s.wallTime()) {
			p.s.refuse(r.Value, r.Refusal.RetryAfter())
		}
		p.dispatchQueued(i)
	}
	p.s.schedule(dispatchInterval, p.dispatchAll)
}

func (p *nodePolicy) dispatchQueued(i int) {
	for _, st := range p.nodes[i].StartReady(p.s.d.Model.Name, p.s.wallTime()) {
		p.sendStarted(i, st.Value, st)
	}
}

// sendStarted sends a call that the dispatcher started to its engine.
func (p *nodePolicy) sendStarted(i int, c *Call, st byserve.StartedCall[*Call]) {
	c.flight = st.InFlight
	p.s.sendToEngine(c, st.Choice.Engine.ID(), p.priority(c), func(first, last bool) {
		c.flight.RecordToken(p.s.wallTime())
		if last {
			c.flight.End()
		}
		if last || first {
			p.dispatchQueued(i)
		}
	})
}

func (p *nodePolicy) failOver(c *Call, lost burdockyard.EndpointID) {
	c.flight.End()
	n := p.nodes[c.node]
	n.Router().Avoid(lost, p.s.wallTime())
	tried := map[burdockyard.EndpointID]bool{lost: true}
	if st, ok := n.StartElsewhere(p.s.d.Model.Name, c.Work(), tried, p.s.wallTime()); ok {
		p.sendStarted(c.node, c, st)
	}
}

func (p *nodePolicy) priority(c *Call) int {
	if !p.options.EnginePriority {
		return 0
	}
	return byserve.EnginePriority(c.Class, c.Work())
}
