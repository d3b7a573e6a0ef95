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
	// leaseCandidates is the number of nodes that try to take one shard's lease.
	leaseCandidates = 2
	// maxConcurrentReconciles limits the shards that are reconciled concurrently,
	// and the engines within one shard.
	maxConcurrentReconciles = 16
	// openOrderPollInterval is the time between checks for unanswered orders while
	// leases are released.
	openOrderPollInterval = 50 * time.Millisecond
	// openOrderTimeout limits the release of all leases, including the wait for
	// unanswered orders.
	openOrderTimeout = 15 * time.Second
)

// shardState is this node's state for one shard.
type shardState struct {
	keeper    *bylease.Keeper
	orders    *byorder.Controller
	leaseHeld bool // whether the lease was held at the last reconciliation, to log changes
}

// shardController holds the leases of shards and sends orders to their engines.
// Shards are reconciled concurrently, each by one goroutine at a time. mu guards
// the maps only and is never held during an RPC or platform call.
type shardController struct {
	node    *Node
	stopped chan struct{} // closed once run has returned

	mu        sync.Mutex
	shards    map[burdockyard.ShardID]*shardState
	lastRoles map[burdockyard.EndpointID]burdockyard.Role // role in this node's last concluded order to each engine
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
		bylease.WithTTL(n.settings.LeaseTTL, n.settings.LeaseMargin), bylease.WithMaxOrderTransit(n.settings.OrderTransit))
	orders := byorder.New(n.platform.Table(), n.clock, keeper, n.endpoints,
		byorder.WithMaxOrderTransit(n.settings.OrderTransit), byorder.WithDrainer(n.drainer), byorder.WithConcludedFunc(c.orderConcluded))
	return &shardState{keeper: keeper, orders: orders}
}

func (c *shardController) orderConcluded(o burdockyard.Order) {
	c.node.metrics.Orders().Inc()
	if c.recordRole(o) {
		c.node.metrics.RoleChanges().Inc()
	}
	c.node.logs.orders.Info("order concluded", bylog.Str("engine", string(o.Engine)), bylog.Str("order", o.ID),
		bylog.Str("role", string(o.State.Role)), bylog.Str("model", o.State.Model))
}

// recordRole stores the role of a concluded order and reports whether it differs
// from the role of this node's previous order to the engine. It reports false for
// the first order.
func (c *shardController) recordRole(o burdockyard.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, known := c.lastRoles[o.Engine]
	c.lastRoles[o.Engine] = o.State.Role
	return known && last != o.State.Role
}

// reconcileShard renews the shard's lease or tries to take it, and sends orders to
// the shard's engines while the lease is held. A node that neither holds the lease
// nor is one of its candidates does nothing.
func (c *shardController) reconcileShard(ctx context.Context, sh bymanifest.Shard) {
	s := c.getOrCreateState(sh.ID)
	_, held := s.keeper.Grant()
	if !held && c.node.members.Rank(string(sh.ID), sh.Domain, c.node.settings.Domain) >= leaseCandidates {
		return
	}
	if err := s.keeper.RenewOrAcquire(ctx); err != nil {
		c.node.logs.leases.Debug("lease could not be renewed or taken over", bylog.Str("shard", string(sh.ID)), bylog.Err(err))
	}
	grant, held := s.keeper.Grant()
	c.recordLeaseChange(sh.ID, s, held, grant)
	if !held {
		c.releaseEngines(sh)
		return
	}
	if err := s.keeper.RemoveStoppedHolders(ctx, c.node.clients, c.node.platform); err != nil {
		c.node.logs.leases.Debug("former lease holders could not be removed from the fence row", bylog.Str("shard", string(sh.ID)), bylog.Err(err))
	}
	c.reconcileEngines(ctx, sh, s)
}

// releaseEngines lets the engines of the shard get new work again if this node
// was draining them. The new lease holder itself drains the engines that need it.
func (c *shardController) releaseEngines(sh bymanifest.Shard) {
	for _, e := range sh.Engines {
		c.node.drainer.Release(e.ID())
	}
}

func (c *shardController) recordLeaseChange(id burdockyard.ShardID, s *shardState, held bool, g bylease.Grant) {
	if held == s.leaseHeld {
		return
	}
	s.leaseHeld = held
	change := "lost"
	if held {
		change = "gained"
	}
	c.node.metrics.LeaseChanges(change).Inc()
	c.node.logs.leases.Info("lease "+change, bylog.Str("shard", string(id)), bylog.Int("fence", int(g.Fence())))
}

func (c *shardController) reconcileEngines(ctx context.Context, sh bymanifest.Shard, s *shardState) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentReconciles)
	for _, e := range sh.Engines {
		group.Go(func() error {
			err := s.orders.Reconcile(ctx, byorder.Target{
				Engine: e.ID(), Addr: e.Addr(), EnforcesFencing: e.EnforcesFencing(), State: e.State(),
			})
			if err != nil && !errors.Is(err, burdockyard.ErrFormerHolderUnproven) && !errors.Is(err, burdockyard.ErrEngineBusy) {
				c.node.logs.orders.Debug("engine has not reached its target state", bylog.Str("engine", string(e.ID())), bylog.Err(err))
			}
			return nil // the next reconciliation retries
		})
	}
	_ = group.Wait()
}

// releaseLeases waits for run to return and then releases every lease whose orders
// have all been answered. The other leases expire, and their next holder requires
// proof that this process has stopped.
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
		for !s.orders.NoneInTransit() && ctx.Err() == nil {
			time.Sleep(openOrderPollInterval)
		}
		if s.orders.NoneInTransit() {
			_ = s.keeper.Release(ctx) // if the table is unavailable, the lease expires instead
		}
	}
}

// yieldLease gives up the shard's lease if it is held under fence or an older one.
// It reports whether no order under that lease can be sent any more.
func (c *shardController) yieldLease(id burdockyard.ShardID, fence uint64) bool {
	c.mu.Lock()
	s := c.shards[id]
	c.mu.Unlock()
	if s == nil {
		return true // this process never held the lease
	}
	s.keeper.Yield(fence)
	return s.orders.NoneInTransit()
}

func (c *shardController) status() []*bypeerpb.ShardStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	var statuses []*bypeerpb.ShardStatus
	for id, s := range c.shards {
		if g, ok := s.keeper.Grant(); ok {
			statuses = append(statuses, &bypeerpb.ShardStatus{Shard: string(id), Fence: g.Fence(), Settled: g.FormerHoldersStopped()})
		}
	}
	slices.SortFunc(statuses, func(a, b *bypeerpb.ShardStatus) int { return cmp.Compare(a.GetShard(), b.GetShard()) })
	return statuses
}
