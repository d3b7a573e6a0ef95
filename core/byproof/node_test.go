package byproof

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"burdockyard"
	"burdockyard/core/bybooking"
	"burdockyard/core/bycommit"
	"burdockyard/core/bydrain"
	"burdockyard/core/bylease"
	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
	"burdockyard/core/byorder"
	"burdockyard/core/byroute"
	"burdockyard/core/byserve"
)

// mutant disables mechanisms of a node on purpose, to check that a scenario
// detects it. The zero value changes nothing.
type mutant struct {
	table             func(burdockyard.Table) burdockyard.Table
	endpoints         func(burdockyard.EndpointClients) burdockyard.EndpointClients
	formerHolders     func(burdockyard.FormerHolderClient) burdockyard.FormerHolderClient
	target            func(*byorder.Target)
	skipDrainGate     bool // orders don't wait until the engine has no open streams
	keepFirstManifest bool // the node routes by its first manifest forever
	killOnStop        bool // a planned stop kills the process
	acceptAnyManifest bool // the node accepts a peer's manifest of any generation
}

// node is one process built from the production packages, with the same periodic
// loops as a production node.
type node struct {
	w                 *environment
	proc              *process
	mutant            mutant
	self              burdockyard.Member
	currentFollower   atomic.Pointer[bymanifest.Follower]
	firstManifest     atomic.Pointer[bymanifest.Manifest]
	view              *bymember.View
	desk              *bybooking.Executor
	server            *byserve.Server
	gate              *bydrain.Drainer
	leaving           atomic.Bool
	heartbeatSeq      atomic.Uint64
	stopping          atomic.Bool
	highestGeneration atomic.Uint64 // highest manifest generation that was in force
	loops             sync.WaitGroup

	mu     sync.Mutex
	shards map[burdockyard.ShardID]*shardControl
}

type shardControl struct {
	keeper *bylease.Keeper
	orders *byorder.Controller
}

func startNode(w *environment, name burdockyard.NodeID, m mutant) *node {
	proc := newProcess(name)
	self := burdockyard.Member{Node: name, Incarnation: burdockyard.NewIncarnation(), Addr: string(name)}
	n := &node{w: w, proc: proc, mutant: m, self: self, shards: map[burdockyard.ShardID]*shardControl{}}
	clock := burdockyard.SystemClock{}
	n.resetFollower()
	n.view = bymember.New(clock, self)
	n.desk = bybooking.New(bycommit.New(n.table()), clock, self, bybooking.WithClaimantClient(peers{n}), bybooking.WithAttemptLimit(10*time.Second))
	router := byroute.New(byroute.WithRand(rand.New(rand.NewPCG(1, 2))))
	n.server = byserve.New(clock, n.endpoints(), n.manifest, byserve.WithBookings(n.desk),
		byserve.WithRouter(router), byserve.WithFreshness(n.isManifestFresh))
	n.gate = bydrain.New(clock, router.OpenCalls)
	w.mu.Lock()
	w.nodes[self.Addr] = n
	w.mu.Unlock()
	n.loop(bymember.HeartbeatInterval, n.exchangeHeartbeats)
	n.loop(time.Second, n.followManifest)
	n.loop(time.Second, n.controlShards)
	n.loop(time.Second, func() { n.desk.Sweep(proc.ctx) })
	n.loops.Go(func() { _ = n.server.Run(proc.ctx) })
	return n
}

func (n *node) resetFollower() {
	n.currentFollower.Store(bymanifest.NewFollower(n.table(), objects{platform{n.w, n.proc}}, burdockyard.SystemClock{}))
}

func (n *node) follower() *bymanifest.Follower { return n.currentFollower.Load() }

func (n *node) isManifestFresh() bool { return n.mutant.keepFirstManifest || n.follower().Fresh() }

func (n *node) table() burdockyard.Table {
	if n.mutant.table != nil {
		return n.mutant.table(platform{n.w, n.proc})
	}
	return platform{n.w, n.proc}
}

func (n *node) endpoints() burdockyard.EndpointClients {
	if n.mutant.endpoints != nil {
		return n.mutant.endpoints(endpoints{n.w, n.proc})
	}
	return endpoints{n.w, n.proc}
}

func (n *node) loop(every time.Duration, f func()) {
	n.loops.Go(func() {
		for n.proc.ctx.Err() == nil {
			if n.proc.waitWhilePaused() == nil {
				f()
			}
			select {
			case <-time.After(every):
			case <-n.proc.ctx.Done():
			}
		}
	})
}

// manifest returns the manifest that routing and control use.
func (n *node) manifest() *bymanifest.Manifest {
	m := n.follower().Current()
	if n.mutant.keepFirstManifest {
		n.firstManifest.CompareAndSwap(nil, m)
		return n.firstManifest.Load()
	}
	return m
}

func (n *node) acceptsCalls() bool {
	return !n.proc.isDead() && !n.leaving.Load() && n.follower().Current() != nil
}

func (n *node) heartbeat() bymember.Heartbeat {
	return bymember.Heartbeat{
		Member: n.self, Leaving: n.leaving.Load(), Generation: n.follower().Generation(), RecentlyConfirmed: n.follower().Fresh(), Seq: n.heartbeatSeq.Add(1),
		Loads: n.server.Dispatcher().Router().LocalLoads(), HeldEngines: n.gate.Draining(),
	}
}

func (n *node) exchangeHeartbeats() {
	round := time.Now()
	var generations []uint64
	for _, peer := range n.w.livePeers(n) {
		b := n.heartbeat()
		asked := time.Now()
		_ = n.w.callPeer(n, peer, func() error {
			peer.view.RecordHeartbeat(b)
			reply := peer.heartbeat()
			n.view.RecordHeartbeat(reply)
			if reply.RecentlyConfirmed {
				n.follower().Confirm(reply.Generation, asked)
			}
			generations = append(generations, reply.Generation)
			return nil
		}, func() { peer.view.RecordHeartbeat(b) })
	}
	n.follower().ConfirmByMajority(n.w.nodeCount(), generations, round)
	place := byroute.NodePosition{Nodes: len(n.view.Alive()) + 1}
	n.server.Dispatcher().Update(n.view.PeerLoads(), place, time.Now())
	n.server.Dispatcher().Router().SetDraining(append(n.view.HeldEngines(), n.gate.Draining()...))
}

func (n *node) followManifest() {
	_ = n.follower().Refresh(n.proc.ctx)
	for _, b := range n.view.Alive() {
		if b.Generation > n.follower().Generation() || n.mutant.acceptAnyManifest {
			n.fetchManifest(b)
		}
	}
	n.checkGeneration()
}

func (n *node) fetchManifest(b bymember.Heartbeat) {
	peer := n.w.node(b.Member.Addr)
	if peer == nil {
		return
	}
	wire, ok := peer.follower().Encoded()
	_ = n.w.callPeer(n, peer, func() error {
		if !ok {
			return burdockyard.ErrNotFound
		}
		if n.mutant.acceptAnyManifest {
			n.resetFollower()
		}
		return n.follower().AdoptFromPeer(n.proc.ctx, wire)
	}, func() {
		if ok {
			_ = n.follower().AdoptFromPeer(n.proc.ctx, wire)
		}
	})
}

// checkGeneration records a violation if the manifest in force has gone back to an
// older generation.
func (n *node) checkGeneration() {
	g := n.follower().Generation()
	if g < n.highestGeneration.Load() {
		n.w.recordViolation("node %s went from manifest generation %d back to %d, want no decrease", n.self.Node, n.highestGeneration.Load(), g)
	}
	n.highestGeneration.Store(max(g, n.highestGeneration.Load()))
}

func (n *node) shard(id burdockyard.ShardID) *shardControl {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.shards[id]
	if s == nil {
		clock := burdockyard.SystemClock{}
		keeper := bylease.New(n.table(), clock, id, n.self, bylease.WithTTL(leaseTTL, leaseMargin), bylease.WithMaxOrderTransit(transitBound))
		opts := []byorder.Option{byorder.WithMaxOrderTransit(transitBound)}
		if !n.mutant.skipDrainGate {
			opts = append(opts, byorder.WithDrainer(n.gate))
		}
		s = &shardControl{keeper: keeper, orders: byorder.New(n.table(), clock, keeper, n.endpoints(), opts...)}
		n.shards[id] = s
	}
	return s
}

// controlShards does one round of a node's control loop for every shard: it renews
// the lease and, if the node holds it, sends orders to the shard's engines.
func (n *node) controlShards() {
	m := n.manifest()
	if m == nil || n.stopping.Load() {
		return
	}
	var former burdockyard.FormerHolderClient = peers{n}
	if n.mutant.formerHolders != nil {
		former = n.mutant.formerHolders(former)
	}
	for _, sh := range m.Shards() {
		s := n.shard(sh.ID)
		_ = s.keeper.RenewOrAcquire(n.proc.ctx)
		if _, held := s.keeper.Grant(); !held {
			for _, e := range sh.Engines {
				n.gate.Release(e.ID())
			}
			continue
		}
		_ = s.keeper.RemoveStoppedHolders(n.proc.ctx, former, platform{n.w, n.proc})
		var orders sync.WaitGroup
		for _, e := range sh.Engines {
			t := byorder.Target{Engine: e.ID(), Addr: e.Addr(), EnforcesFencing: e.EnforcesFencing(), State: e.State()}
			if n.mutant.target != nil {
				n.mutant.target(&t)
			}
			orders.Go(func() { _ = s.orders.Reconcile(n.proc.ctx, t) })
		}
		orders.Wait()
	}
}

func (n *node) yieldShard(id burdockyard.ShardID, fence uint64) bool {
	n.mu.Lock()
	s := n.shards[id]
	n.mu.Unlock()
	if s == nil {
		return true
	}
	s.keeper.Yield(fence)
	return s.orders.NoneInTransit()
}

// stop performs a planned stop: it waits at most 60 s for the open calls to end,
// then releases the leases of shards without orders in progress, then ends the
// process.
func (n *node) stop() {
	if n.mutant.killOnStop {
		n.proc.kill()
		return
	}
	n.leaving.Store(true)
	n.stopping.Store(true)
	deadline := time.Now().Add(60 * time.Second)
	for time.Now().Before(deadline) && (n.openCalls() > 0 || !n.desk.IsIdle()) {
		time.Sleep(200 * time.Millisecond)
	}
	n.mu.Lock()
	shards := n.shards
	n.mu.Unlock()
	for _, s := range shards {
		if s.orders.NoneInTransit() {
			_ = s.keeper.Release(n.proc.ctx)
		}
	}
	n.proc.kill()
}

func (n *node) openCalls() int {
	open := 0
	for _, l := range n.server.Dispatcher().Router().LocalLoads() {
		open += l.Streams
	}
	return open + n.server.Dispatcher().NumWaiting()
}

// peers is one node's client of the other nodes.
type peers struct{ n *node }

func (x peers) Yield(_ context.Context, m burdockyard.Member, shard burdockyard.ShardID, fence uint64) (ok bool, err error) {
	peer := x.n.w.node(m.Addr)
	if peer != nil && peer.proc.isVMLost() {
		time.Sleep(callTimeout)
		return false, errReplyLost
	}
	if peer == nil || peer.proc.isDead() || peer.self.Incarnation != m.Incarnation {
		return true, nil // the connection is refused, or another process answers
	}
	err = x.n.w.callPeer(x.n, peer, func() error {
		ok = peer.yieldShard(shard, fence)
		return nil
	}, func() { peer.yieldShard(shard, fence) })
	return ok, err
}

func (x peers) SendState(_ context.Context, m burdockyard.Member, attempt string) (s bybooking.SendState, err error) {
	peer := x.n.w.node(m.Addr)
	if peer == nil || peer.proc.isDead() || peer.self.Incarnation != m.Incarnation {
		return bybooking.SendUnknown, burdockyard.ErrNotFound
	}
	err = x.n.w.callPeer(x.n, peer, func() error {
		s = peer.desk.LocalSendState(attempt)
		return nil
	}, nil)
	return s, err
}

func (w *environment) node(addr string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[addr]
}

func (w *environment) nodeCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.nodes)
}

func (w *environment) livePeers(n *node) []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*node
	for _, name := range nodeNames {
		if o := w.nodes[string(name)]; o != nil && o != n && !o.proc.isDead() {
			list = append(list, o)
		}
	}
	return list
}

// callPeer makes a call between two nodes, subject to the injected faults. The
// call times out if the receiver is dead, paused or partitioned from its peers.
func (w *environment) callPeer(from, to *node, do func() error, repeatEffect func()) error {
	return w.call(from.proc, toPeers, "", func() error {
		if to.proc.isPartitioned(toPeers) || to.proc.isDead() || to.proc.isPaused() {
			time.Sleep(callTimeout)
			return errReplyLost
		}
		return do()
	}, repeatEffect)
}

func (p *process) isVMLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vmLost
}

func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.pausedUntil)
}
