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

// RoundRobin sends each call to the node's next engine, which serves first come
// first served.
func RoundRobin() PolicyMaker {
	return PolicyMaker{"round robin", func() policy { return &direct{pick: nextEngine} }}
}

// LeastRequests sends each call to the engine with the fewest calls of the node.
func LeastRequests() PolicyMaker {
	return PolicyMaker{"least requests", func() policy { return &direct{pick: fewestCalls} }}
}

// direct sends every call to an engine at once.
type direct struct {
	s    *sim
	rnd  *rand.Rand
	pick func(*direct, int) int
	next []int   // engine by node
	open [][]int // calls by node and engine
}

func (p *direct) begin(s *sim, rnd *rand.Rand) {
	p.s, p.rnd = s, rnd
	p.next = make([]int, s.d.Nodes)
	p.open = make([][]int, s.d.Nodes)
	for i := range p.open {
		p.next[i] = rnd.IntN(s.d.Engines)
		p.open[i] = make([]int, s.d.Engines)
	}
}

func nextEngine(p *direct, node int) int {
	p.next[node] = (p.next[node] + 1) % p.s.d.Engines
	return p.next[node]
}

func fewestCalls(p *direct, node int) int {
	best := p.rnd.IntN(p.s.d.Engines)
	for i, n := range p.open[node] {
		if n < p.open[node][best] {
			best = i
		}
	}
	return best
}

func (p *direct) offer(c *Call) {
	i := p.pick(p, c.node)
	p.open[c.node][i]++
	p.s.start(c, burdockyard.EndpointID(engineName(i)), 0, func(_, last bool) {
		if last {
			p.open[c.node][i]--
		}
	})
}

func (p *direct) move(c *Call, _ burdockyard.EndpointID) { p.offer(c) }

// Options switch parts of the policy off, to show what each earns.
type Options struct {
	Name     string
	Admit    []byadmit.Option
	Route    []byroute.Option
	Priority bool // engines get the class's priority
}

// Burdock is the policy of a node.
func Burdock() PolicyMaker { return BurdockWith(Options{Name: "burdockyard", Priority: true}) }

// BurdockWith is the policy of a node with parts switched off.
func BurdockWith(o Options) PolicyMaker {
	return PolicyMaker{o.Name, func() policy { return &burdock{options: o} }}
}

// burdock runs the nodes' own decisions.
type burdock struct {
	options Options
	s       *sim
	nodes   []*byserve.Dispatcher[*Call]
	digests []map[burdockyard.EndpointID]bymember.Load
}

func (p *burdock) begin(s *sim, rnd *rand.Rand) {
	p.s = s
	manifest := func() *bymanifest.Manifest { return s.manifest }
	fresh := func() bool { return true }
	for range s.d.Nodes {
		random := byroute.WithRand(rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64())))
		router := byroute.New(append([]byroute.Option{random}, p.options.Route...)...)
		admit := append([]byadmit.Option{byadmit.WithRand(rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64())))}, p.options.Admit...)
		p.nodes = append(p.nodes, byserve.NewDispatcher[*Call](router, manifest, fresh, admit...))
	}
	p.digests = make([]map[burdockyard.EndpointID]bymember.Load, s.d.Nodes)
	for i := range p.nodes {
		phase := time.Duration(rnd.Int64N(int64(beatEvery)))
		s.after(phase, func() { p.beat(i) })
	}
	s.after(pumpEvery, p.pumpAll)
}

// beat hands a node's digest out and takes the others' last ones in.
func (p *burdock) beat(i int) {
	if i == p.s.deadNode {
		p.digests[i] = nil
		return
	}
	own := map[burdockyard.EndpointID]bymember.Load{}
	for _, l := range p.nodes[i].Router().LocalLoads() {
		own[l.Engine] = l
	}
	p.digests[i] = own
	if p.s.now >= p.s.silent {
		p.nodes[i].Update(p.peerLoads(i), p.place(i), p.s.clock())
	}
	p.noteSlow(i)
	p.s.after(beatEvery, func() { p.beat(i) })
}

// place returns a node's place. The others know that a node is dead once its
// heartbeats have been missing for long enough.
func (p *burdock) place(i int) byroute.NodePosition {
	dead := p.s.deadNode
	if dead < 0 || p.s.now < p.s.fault.At+bymember.SuspectAfter {
		return byroute.NodePosition{Index: i, Nodes: len(p.nodes)}
	}
	if i > dead {
		i--
	}
	return byroute.NodePosition{Index: i, Nodes: len(p.nodes) - 1}
}

func (p *burdock) peerLoads(i int) map[burdockyard.EndpointID]bymember.Load {
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

func (p *burdock) noteSlow(i int) {
	if len(p.nodes[i].Router().SlowEngines()) == 0 {
		return
	}
	if p.s.noticed == 0 {
		p.s.noticed = p.s.now
	}
	p.s.restored = p.s.now + beatEvery
}

func (p *burdock) offer(c *Call) {
	now := p.s.clock()
	call := byserve.AdmissionCall(p.s.d.Model, c.Class, burdockyard.Tenant(c.Tenant.Name), c.Tenant.Weight, c.Work(), now)
	_, refusal := p.nodes[c.node].Offer(byserve.PendingCall[*Call]{Model: p.s.d.Model.Name, Call: call, Work: c.Work(), Value: c}, now)
	if refusal != nil {
		p.s.refuse(c, refusal.RetryAfter())
		return
	}
	p.pump(c.node)
}

func (p *burdock) pumpAll() {
	for i, n := range p.nodes {
		if n.NumWaiting() == 0 {
			continue
		}
		for _, r := range n.Expire(p.s.clock()) {
			p.s.refuse(r.Value, r.Refusal.RetryAfter())
		}
		p.pump(i)
	}
	p.s.after(pumpEvery, p.pumpAll)
}

func (p *burdock) pump(i int) {
	for _, st := range p.nodes[i].StartReady(p.s.d.Model.Name, p.s.clock()) {
		p.run(i, st.Value, st)
	}
}

// run sends a started call to its engine.
func (p *burdock) run(i int, c *Call, st byserve.StartedCall[*Call]) {
	c.flight = st.InFlight
	p.s.start(c, st.Choice.Engine.ID(), p.priority(c), func(first, last bool) {
		c.flight.RecordToken(p.s.clock())
		if last {
			c.flight.End()
		}
		if last || first {
			p.pump(i)
		}
	})
}

func (p *burdock) move(c *Call, lost burdockyard.EndpointID) {
	c.flight.End()
	n := p.nodes[c.node]
	n.Router().Avoid(lost, p.s.clock())
	tried := map[burdockyard.EndpointID]bool{lost: true}
	if st, ok := n.StartElsewhere(p.s.d.Model.Name, c.Work(), tried, p.s.clock()); ok {
		p.run(c.node, c, st)
	}
}

func (p *burdock) priority(c *Call) int {
	if !p.options.Priority {
		return 0
	}
	return byserve.EnginePriority(c.Class, c.Work())
}
