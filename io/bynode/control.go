package bynode

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/core/bylease"
	"burdockyard/core/bymanifest"
	"burdockyard/core/byorder"
	"burdockyard/io/bylog"
	"burdockyard/io/bypeer/bypeerpb"
)

const (
	// leaseCandidates is how many nodes stand for one shard's lease.
	leaseCandidates = 2
	// maxConcurrentReconciles is how many shards and engines are worked on at a time.
	maxConcurrentReconciles = 16
	// openOrderPollInterval and openOrderTimeout bound the wait for orders on their way.
	openOrderPollInterval = 50 * time.Millisecond
	openOrderTimeout      = 15 * time.Second
)

// shardState is this node's part in one shard.
type shardState struct {
	keeper    *bylease.Keeper
	orders    *byorder.Controller
	leaseHeld bool // as of the last step, for the log
}

// shardController holds leases and gives orders. Workers step the shards side by side;
// each shard is stepped by one worker at a time. mu guards the maps only and is
// never held over a call.
type shardController struct {
	node    *Node
	stopped chan struct{}

	mu        sync.Mutex
	shards    map[burdockyard.ShardID]*shardState
	lastRoles map[burdockyard.EndpointID]burdockyard.Role // last ordered by this node
}

func newShardController(n *Node) *shardController {
	return &shardController{node: n, stopped: make(chan struct{}), shards: map[burdockyard.ShardID]*shardState{}, lastRoles: map[burdockyard.EndpointID]burdockyard.Role{}}
}

func (c *shardController) run(ctx context.Context) error {
	defer close(c.stopped)
	return runPeriodically(ctx, shardInterval, c.reconcileShards)
}

func (c *shardController) reconcileShards(ctx context.Context) {
	m := c.node.follower.Current()
	if m == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentReconciles)
	for _, sh := range m.Shards() {
		group.Go(func() error {
			c.reconcileShard(ctx, sh)
			return nil
		})
	}
	_ = group.Wait()
}

func (c *shardController) getOrCreateState(id burdockyard.ShardID) *shardState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shards[id]
	if s == nil {
		s = c.newState(id)
		c.shards[id] = s
	}
	return s
}

func (c *shardController) newState(id burdockyard.ShardID) *shardState {
	n := c.node
	keeper := bylease.New(n.platform.Table(), n.clock, id, n.self,
		bylease.WithTTL(n.settings.LeaseTTL, n.settings.LeaseSlack), bylease.WithTransit(n.settings.Transit))
	orders := byorder.New(n.platform.Table(), n.clock, keeper, n.endpoints,
		byorder.WithTransit(n.settings.Transit), byorder.WithGate(n.gate), byorder.WithObserver(c.orderConcluded))
	return &shardState{keeper: keeper, orders: orders}
}

func (c *shardController) orderConcluded(o burdockyard.Order) {
	c.node.metrics.Order().Inc()
	if c.recordRole(o) {
		c.node.metrics.RoleChange().Inc()
	}
	c.node.logs.orders.Info("order concluded", bylog.Str("engine", string(o.Engine)), bylog.Str("order", o.ID),
		bylog.Str("role", string(o.State.Role)), bylog.Str("model", o.State.Model))
}

// recordRole notes an order's role, and reports whether it is another than the
// last that this node ordered the engine.
func (c *shardController) recordRole(o burdockyard.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, known := c.lastRoles[o.Engine]
	c.lastRoles[o.Engine] = o.State.Role
	return known && last != o.State.Role
}

// reconcileShard keeps or watches the lease, and gives orders while it is held.
func (c *shardController) reconcileShard(ctx context.Context, sh bymanifest.Shard) {
	s := c.getOrCreateState(sh.ID)
	_, holds := s.keeper.Grant()
	if !holds && c.node.members.Rank(string(sh.ID), sh.Domain, c.node.settings.Domain) >= leaseCandidates {
		return
	}
	if err := s.keeper.Step(ctx); err != nil {
		c.node.logs.leases.Debug("lease not renewed or taken", bylog.Str("shard", string(sh.ID)), bylog.Err(err))
	}
	grant, holds := s.keeper.Grant()
	c.recordLeaseChange(sh.ID, s, holds, grant)
	if !holds {
		c.releaseHolds(sh)
		return
	}
	if err := s.keeper.Prove(ctx, c.node.clients, c.node.platform); err != nil {
		c.node.logs.leases.Debug("former holder not struck off", bylog.Str("shard", string(sh.ID)), bylog.Err(err))
	}
	c.reconcileEngines(ctx, sh, s)
}

// releaseHolds drops what this node kept from work while it held the lease. The
// new holder holds for itself what it is about to take away.
func (c *shardController) releaseHolds(sh bymanifest.Shard) {
	for _, e := range sh.Engines {
		c.node.gate.Release(e.ID())
	}
}

func (c *shardController) recordLeaseChange(id burdockyard.ShardID, s *shardState, holds bool, g bylease.Grant) {
	if holds == s.leaseHeld {
		return
	}
	s.leaseHeld = holds
	change := "lost"
	if holds {
		change = "gained"
	}
	c.node.metrics.LeaseChange(change).Inc()
	c.node.logs.leases.Info("lease "+change, bylog.Str("shard", string(id)), bylog.Int("fence", int(g.Fence())))
}

func (c *shardController) reconcileEngines(ctx context.Context, sh bymanifest.Shard, s *shardState) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentReconciles)
	for _, e := range sh.Engines {
		group.Go(func() error {
			err := s.orders.Reconcile(ctx, byorder.Target{
				Engine: e.ID(), Addr: e.Addr(), Fencing: e.Fencing(), State: e.State(),
			})
			if err != nil && !errors.Is(err, burdockyard.ErrUnproven) && !errors.Is(err, burdockyard.ErrBusy) {
				c.node.logs.orders.Debug("engine not in its state yet", bylog.Str("engine", string(e.ID())), bylog.Err(err))
			}
			return nil // the next step tries again
		})
	}
	_ = group.Wait()
}

// releaseLeases gives every lease back whose orders have all been answered. The
// others lapse, and their next holder asks for proof that this process stopped.
func (c *shardController) releaseLeases(ctx context.Context) {
	<-c.stopped
	c.mu.Lock()
	shards := make([]*shardState, 0, len(c.shards))
	for _, s := range c.shards {
		shards = append(shards, s)
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, openOrderTimeout)
	defer cancel()
	for _, s := range shards {
		for !s.orders.Quiet() && ctx.Err() == nil {
			time.Sleep(openOrderPollInterval)
		}
		if s.orders.Quiet() {
			_ = s.keeper.Release(ctx) // lapses instead if the table is down
		}
	}
}

// yieldLease gives up a lease under an old fence, and reports whether no order under
// it can still be sent.
func (c *shardController) yieldLease(id burdockyard.ShardID, fence uint64) bool {
	c.mu.Lock()
	s := c.shards[id]
	c.mu.Unlock()
	if s == nil {
		return true // this process never held it
	}
	s.keeper.Yield(fence)
	return s.orders.Quiet()
}

func (c *shardController) status() []*bypeerpb.ShardStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*bypeerpb.ShardStatus
	for id, s := range c.shards {
		if g, ok := s.keeper.Grant(); ok {
			list = append(list, &bypeerpb.ShardStatus{Shard: string(id), Fence: g.Fence(), Settled: g.Settled()})
		}
	}
	slices.SortFunc(list, func(a, b *bypeerpb.ShardStatus) int { return cmp.Compare(a.GetShard(), b.GetShard()) })
	return list
}
