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
	// candidates is how many nodes stand for one shard's lease.
	candidates = 2
	// controlWorkers is how many shards and engines are worked on at a time.
	controlWorkers = 16
	// quietPoll and quietLimit bound the wait for orders on their way.
	quietPoll  = 50 * time.Millisecond
	quietLimit = 15 * time.Second
)

// shard is this node's part in one shard.
type shard struct {
	keeper *bylease.Keeper
	orders *byorder.Controller
	held   bool // as of the last step, for the log
}

// control holds leases and gives orders. Workers step the shards side by side;
// each shard is stepped by one worker at a time. mu guards the maps only and is
// never held over a call.
type control struct {
	n       *Node
	stopped chan struct{}

	mu     sync.Mutex
	shards map[burdockyard.ShardID]*shard
	roles  map[burdockyard.EndpointID]burdockyard.Role // last ordered by this node
}

func newControl(n *Node) *control {
	return &control{n: n, stopped: make(chan struct{}), shards: map[burdockyard.ShardID]*shard{}, roles: map[burdockyard.EndpointID]burdockyard.Role{}}
}

func (c *control) run(ctx context.Context) error {
	defer close(c.stopped)
	return every(ctx, controlEvery, c.step)
}

func (c *control) step(ctx context.Context) {
	m := c.n.follower.Current()
	if m == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(controlWorkers)
	for _, sh := range m.Shards() {
		group.Go(func() error {
			c.stepShard(ctx, sh)
			return nil
		})
	}
	_ = group.Wait()
}

func (c *control) shard(id burdockyard.ShardID) *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shards[id]
	if s == nil {
		s = c.newShard(id)
		c.shards[id] = s
	}
	return s
}

func (c *control) newShard(id burdockyard.ShardID) *shard {
	n := c.n
	keeper := bylease.New(n.platform.Table(), n.clock, id, n.self,
		bylease.WithTTL(n.settings.LeaseTTL, n.settings.LeaseSlack), bylease.WithTransit(n.settings.Transit))
	orders := byorder.New(n.platform.Table(), n.clock, keeper, n.endpoints,
		byorder.WithTransit(n.settings.Transit), byorder.WithGate(n.gate), byorder.WithObserver(c.concluded))
	return &shard{keeper: keeper, orders: orders}
}

func (c *control) concluded(o burdockyard.Order) {
	c.n.metrics.Order().Inc()
	if c.changesRole(o) {
		c.n.metrics.RoleChange().Inc()
	}
	c.n.logs.orders.Info("order concluded", bylog.Str("engine", string(o.Engine)), bylog.Str("order", o.ID),
		bylog.Str("role", string(o.State.Role)), bylog.Str("model", o.State.Model))
}

// changesRole notes an order's role, and reports whether it is another than the
// last that this node ordered the engine.
func (c *control) changesRole(o burdockyard.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, known := c.roles[o.Engine]
	c.roles[o.Engine] = o.State.Role
	return known && last != o.State.Role
}

// stepShard keeps or watches the lease, and gives orders while it is held.
func (c *control) stepShard(ctx context.Context, sh bymanifest.Shard) {
	s := c.shard(sh.ID)
	_, holds := s.keeper.Grant()
	if !holds && c.n.view.Rank(string(sh.ID), sh.Domain, c.n.settings.Domain) >= candidates {
		return
	}
	if err := s.keeper.Step(ctx); err != nil {
		c.n.logs.leases.Debug("lease not renewed or taken", bylog.Str("shard", string(sh.ID)), bylog.Err(err))
	}
	grant, holds := s.keeper.Grant()
	c.noteChange(sh.ID, s, holds, grant)
	if !holds {
		c.releaseHolds(sh)
		return
	}
	if err := s.keeper.Prove(ctx, c.n.clients, c.n.platform); err != nil {
		c.n.logs.leases.Debug("former holder not struck off", bylog.Str("shard", string(sh.ID)), bylog.Err(err))
	}
	c.giveOrders(ctx, sh, s)
}

// releaseHolds drops what this node kept from work while it held the lease. The
// new holder holds for itself what it is about to take away.
func (c *control) releaseHolds(sh bymanifest.Shard) {
	for _, e := range sh.Engines {
		c.n.gate.Release(e.ID())
	}
}

func (c *control) noteChange(id burdockyard.ShardID, s *shard, holds bool, g bylease.Grant) {
	if holds == s.held {
		return
	}
	s.held = holds
	change := "lost"
	if holds {
		change = "gained"
	}
	c.n.metrics.LeaseChange(change).Inc()
	c.n.logs.leases.Info("lease "+change, bylog.Str("shard", string(id)), bylog.Int("fence", int(g.Fence())))
}

func (c *control) giveOrders(ctx context.Context, sh bymanifest.Shard, s *shard) {
	var group errgroup.Group
	group.SetLimit(controlWorkers)
	for _, e := range sh.Engines {
		group.Go(func() error {
			err := s.orders.Reconcile(ctx, byorder.Target{
				Engine: e.ID(), Addr: e.Addr(), Fencing: e.Fencing(), State: e.State(),
			})
			if err != nil && !errors.Is(err, burdockyard.ErrUnproven) && !errors.Is(err, burdockyard.ErrBusy) {
				c.n.logs.orders.Debug("engine not in its state yet", bylog.Str("engine", string(e.ID())), bylog.Err(err))
			}
			return nil // the next step tries again
		})
	}
	_ = group.Wait()
}

// release gives every lease back whose orders have all been answered. The
// others lapse, and their next holder asks for proof that this process stopped.
func (c *control) release(ctx context.Context) {
	<-c.stopped
	c.mu.Lock()
	shards := make([]*shard, 0, len(c.shards))
	for _, s := range c.shards {
		shards = append(shards, s)
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, quietLimit)
	defer cancel()
	for _, s := range shards {
		for !s.orders.Quiet() && ctx.Err() == nil {
			time.Sleep(quietPoll)
		}
		if s.orders.Quiet() {
			_ = s.keeper.Release(ctx) // lapses instead if the table is down
		}
	}
}

// yield gives up a lease under an old fence, and reports whether no order under
// it can still be sent.
func (c *control) yield(id burdockyard.ShardID, fence uint64) bool {
	c.mu.Lock()
	s := c.shards[id]
	c.mu.Unlock()
	if s == nil {
		return true // this process never held it
	}
	s.keeper.Yield(fence)
	return s.orders.Quiet()
}

func (c *control) status() []*bypeerpb.ShardStatus {
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
