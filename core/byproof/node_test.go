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
	skipDrain         bool // orders don't wait until the engine has no open streams
	keepFirstManifest bool // the node routes by its first manifest forever
	killOnStop        bool // a planned stop kills the process
	acceptAnyManifest bool // the node accepts a peer's manifest of any generation
}

// node is one process built from the production packages, with the same periodic
// loops as a production node.
type node struct {
	env               *environment
	proc              *process
	mutant            mutant
	self              burdockyard.Member
	currentFollower   atomic.Pointer[bymanifest.Follower]
	firstManifest     atomic.Pointer[bymanifest.Manifest]
	view              *bymember.View
	executor          *bybooking.Executor
	server            *byserve.Server
	drainer           *bydrain.Drainer
	leaving           atomic.Bool
	heartbeatSeq      atomic.Uint64
	stopping          atomic.Bool
	highestGeneration atomic.Uint64 // highest generation of any current manifest so far
	loops             sync.WaitGroup

	mu     sync.Mutex
	shards map[burdockyard.ShardID]*shardControl
}

type shardControl struct {
	keeper     *bylease.Keeper
	controller *byorder.Controller
}

func startNode(env *environment, name burdockyard.NodeID, m mutant) *node {
	proc := newProcess(name)
	self := burdockyard.Member{Node: name, Incarnation: burdockyard.NewIncarnation(), Addr: string(name)}
	n := &node{env: env, proc: proc, mutant: m, self: self, shards: map[burdockyard.ShardID]*shardControl{}}
	clock := burdockyard.SystemClock{}
	n.resetFollower()
	n.view = bymember.New(clock, self)
	n.executor = bybooking.New(bycommit.New(n.table()), clock, self, bybooking.WithClaimantClient(peers{n}), bybooking.WithAttemptLimit(10*time.Second))
	router := byroute.New(byroute.WithRand(rand.New(rand.NewPCG(1, 2))))
	n.server = byserve.New(clock, n.endpoints(), n.manifest, byserve.WithBookings(n.executor),
		byserve.WithRouter(router), byserve.WithFreshness(n.isManifestFresh))
	n.drainer = bydrain.New(clock, router.OpenCalls)
	env.mu.Lock()
	env.nodes[self.Addr] = n
	env.mu.Unlock()
	n.loop(bymember.HeartbeatInterval, n.exchangeHeartbeats)
	n.loop(time.Second, n.followManifest)
	n.loop(time.Second, n.controlShards)
	n.loop(time.Second, func() { n.executor.Sweep(proc.ctx) })
	n.loops.Go(func() { _ = n.server.Run(proc.ctx) })
	return n
}

func (n *node) resetFollower() {
	n.currentFollower.Store(bymanifest.NewFollower(n.table(), objects{platform{n.env, n.proc}}, burdockyard.SystemClock{}))
}

func (n *node) follower() *bymanifest.Follower { return n.currentFollower.Load() }

func (n *node) isManifestFresh() bool { return n.mutant.keepFirstManifest || n.follower().Fresh() }

func (n *node) table() burdockyard.Table {
	if n.mutant.table != nil {
		return n.mutant.table(platform{n.env, n.proc})
	}
	return platform{n.env, n.proc}
}

func (n *node) endpoints() burdockyard.EndpointClients {
	if n.mutant.endpoints != nil {
		return n.mutant.endpoints(endpoints{n.env, n.proc})
	}
	return endpoints{n.env, n.proc}
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
		Loads: n.server.Dispatcher().Router().LocalLoads(), HeldEngines: n.drainer.Draining(),
	}
}

func (n *node) exchangeHeartbeats() {
	roundStart := time.Now()
	var generations []uint64
	for _, peer := range n.env.livePeers(n) {
		heartbeat := n.heartbeat()
		askedAt := time.Now()
		_ = n.env.callPeer(n, peer, func() error {
			peer.view.RecordHeartbeat(heartbeat)
			reply := peer.heartbeat()
			n.view.RecordHeartbeat(reply)
			if reply.RecentlyConfirmed {
				n.follower().Confirm(reply.Generation, askedAt)
			}
			generations = append(generations, reply.Generation)
			return nil
		}, func() { peer.view.RecordHeartbeat(heartbeat) })
	}
	n.follower().ConfirmByMajority(n.env.nodeCount(), generations, roundStart)
	position := byroute.NodePosition{Nodes: len(n.view.Alive()) + 1}
	n.server.Dispatcher().Update(n.view.PeerLoads(), position, time.Now())
	n.server.Dispatcher().Router().SetDraining(append(n.view.HeldEngines(), n.drainer.Draining()...))
}

func (n *node) followManifest() {
	_ = n.follower().Refresh(n.proc.ctx)
	for _, heartbeat := range n.view.Alive() {
		if heartbeat.Generation > n.follower().Generation() || n.mutant.acceptAnyManifest {
			n.fetchManifest(heartbeat)
		}
	}
	n.checkGeneration()
}

func (n *node) fetchManifest(heartbeat bymember.Heartbeat) {
	peer := n.env.node(heartbeat.Member.Addr)
	if peer == nil {
		return
	}
	encoded, ok := peer.follower().Encoded()
	_ = n.env.callPeer(n, peer, func() error {
		if !ok {
			return burdockyard.ErrNotFound
		}
		if n.mutant.acceptAnyManifest {
			n.resetFollower()
		}
		return n.follower().AdoptFromPeer(n.proc.ctx, encoded)
	}, func() {
		if ok {
			_ = n.follower().AdoptFromPeer(n.proc.ctx, encoded)
		}
	})
}

// checkGeneration records a violation if the current manifest has gone back to an
// older generation.
func (n *node) checkGeneration() {
	g := n.follower().Generation()
	if g < n.highestGeneration.Load() {
		n.env.recordViolation("node %s went from manifest generation %d back to %d, want no decrease", n.self.Node, n.highestGeneration.Load(), g)
	}
	n.highestGeneration.Store(max(g, n.highestGeneration.Load()))
}

func (n *node) shard(id burdockyard.ShardID) *shardControl {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.shards[id]
	if s == nil {
		clock := burdockyard.SystemClock{}
		keeper := bylease.New(n.table(), clock, id, n.self, bylease.WithTTL(leaseTTL, leaseMargin), bylease.WithMaxOrderTransit(maxOrderTransit))
		opts := []byorder.Option{byorder.WithMaxOrderTransit(maxOrderTransit)}
		if !n.mutant.skipDrain {
			opts = append(opts, byorder.WithDrainer(n.drainer))
		}
		s = &shardControl{keeper: keeper, controller: byorder.New(n.table(), clock, keeper, n.endpoints(), opts...)}
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
				n.drainer.Release(e.ID())
			}
			continue
		}
		_ = s.keeper.RemoveStoppedHolders(n.proc.ctx, former, platform{n.env, n.proc})
		var orders sync.WaitGroup
		for _, e := range sh.Engines {
			t := byorder.Target{Engine: e.ID(), Addr: e.Addr(), EnforcesFencing: e.EnforcesFencing(), State: e.State()}
			if n.mutant.target != nil {
				n.mutant.target(&t)
			}
			orders.Go(func() { _ = s.controller.Reconcile(n.proc.ctx, t) })
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
	return s.controller.NoneInTransit()
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
	for time.Now().Before(deadline) && (n.openCalls() > 0 || !n.executor.IsIdle()) {
		time.Sleep(200 * time.Millisecond)
	}
	n.mu.Lock()
	shards := n.shards
	n.mu.Unlock()
	for _, s := range shards {
		if s.controller.NoneInTransit() {
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
	peer := x.n.env.node(m.Addr)
	if peer != nil && peer.proc.isVMLost() {
		time.Sleep(callTimeout)
		return false, errReplyLost
	}
	if peer == nil || peer.proc.isDead() || peer.self.Incarnation != m.Incarnation {
		return true, nil // the connection is refused, or another process answers
	}
	err = x.n.env.callPeer(x.n, peer, func() error {
		ok = peer.yieldShard(shard, fence)
		return nil
	}, func() { peer.yieldShard(shard, fence) })
	return ok, err
}

func (x peers) SendState(_ context.Context, m burdockyard.Member, attempt string) (s bybooking.SendState, err error) {
	peer := x.n.env.node(m.Addr)
	if peer == nil || peer.proc.isDead() || peer.self.Incarnation != m.Incarnation {
		return bybooking.SendUnknown, burdockyard.ErrNotFound
	}
	err = x.n.env.callPeer(x.n, peer, func() error {
		s = peer.executor.LocalSendState(attempt)
		return nil
	}, nil)
	return s, err
}

func (env *environment) node(addr string) *node {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.nodes[addr]
}

func (env *environment) nodeCount() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return len(env.nodes)
}

func (env *environment) livePeers(n *node) []*node {
	env.mu.Lock()
	defer env.mu.Unlock()
	var list []*node
	for _, name := range nodeNames {
		if o := env.nodes[string(name)]; o != nil && o != n && !o.proc.isDead() {
			list = append(list, o)
		}
	}
	return list
}

// callPeer makes a call between two nodes, subject to the injected faults. The
// call times out if the receiver is dead, paused or partitioned from its peers.
func (env *environment) callPeer(from, to *node, do func() error, repeatEffect func()) error {
	return env.call(from.proc, toPeers, "", func() error {
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
