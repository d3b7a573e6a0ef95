package bylease

import (
	"context"
	"time"

	"burdockyard"
)

// Prove looks for evidence that former holders can no longer send orders, and
// strikes those off the fence row once their last order must have arrived.
//
// Time alone proves nothing: a process paused between its last check and its
// write sends when it wakes, however long that takes. What does prove it is
// its own word, another process at its address, a refused connection there, or its
// VM gone from the list. The list lags, and a VM that is too new for it is missing as
// well. So a VM counts as gone if it was seen on the list before, or if it stays
// off for longer than the list lags: a former holder is no new VM.
func (k *Keeper) Prove(ctx context.Context, former burdockyard.FormerHolders, vms burdockyard.VMList) error {
	k.turn <- struct{}{}
	defer func() { <-k.turn }()
	k.mu.Lock()
	members := append([]burdockyard.Member(nil), k.fence.Former...)
	held, fence := k.held, k.row.Fence
	k.mu.Unlock()
	if !held || len(members) == 0 {
		return nil
	}
	gone := k.goneFromList(ctx, vms, members)
	for _, m := range members {
		if gone[m.Addr] || yielded(ctx, former, m, k.shard, fence-1) {
			k.recordProof(m)
		}
	}
	return k.strikeProved(ctx)
}

func yielded(ctx context.Context, former burdockyard.FormerHolders, m burdockyard.Member, shard burdockyard.ShardID, fence uint64) bool {
	ok, err := former.Yield(ctx, m, shard, fence)
	return err == nil && ok
}

// Yield gives the lease up if it is held under the fence or an older one: a
// newer holder asks, so it is lost already. The caller must then make sure that
// no order is on its way before it tells the newer holder so.
func (k *Keeper) Yield(fence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held && k.row.Fence <= fence {
		k.held = false
		k.rowVersion = 0
	}
}

func (k *Keeper) goneFromList(ctx context.Context, vms burdockyard.VMList, members []burdockyard.Member) map[string]bool {
	list, err := vms.VMs(ctx)
	if err != nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	present := map[string]bool{}
	for _, vm := range list {
		present[vm.Addr] = true
	}
	gone := map[string]bool{}
	for _, m := range members {
		gone[m.Addr] = k.noteListed(m.Addr, present[m.Addr])
	}
	return gone
}

// noteListed reports whether an address has left the VM list: it was on it, or
// has not come onto it for longer than the list lags. The caller holds mu.
func (k *Keeper) noteListed(addr string, present bool) bool {
	if present {
		k.listed[addr] = true
		delete(k.absentSince, addr)
		return false
	}
	now := k.clock.Now()
	since, known := k.absentSince[addr]
	if !known {
		k.absentSince[addr] = now
		since = now
	}
	return k.listed[addr] || now.Sub(since) >= ListLag
}

func (k *Keeper) recordProof(m burdockyard.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := string(m.Incarnation)
	if _, ok := k.provedAt[key]; !ok {
		k.provedAt[key] = k.clock.Now()
	}
}

func (k *Keeper) strikeProved(ctx context.Context) error {
	next, version, found := k.withoutProved()
	if !found {
		return nil
	}
	err := k.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: FenceKey(k.shard), Version: version}},
		Writes: []burdockyard.Write{{Key: FenceKey(k.shard), Value: encode(next)}},
	})
	if err != nil {
		return k.reloadFence(ctx, next.Fence, err)
	}
	k.setFence(next, version+1)
	return nil
}

// withoutProved returns the fence row without the proved holders, and whether
// there are any.
func (k *Keeper) withoutProved() (fenceRow, uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	next := fenceRow{Fence: k.fence.Fence}
	for _, m := range k.fence.Former {
		if !k.provedFor(m, now) {
			next.Former = append(next.Former, m)
		}
	}
	return next, k.fenceVersion, k.held && len(next.Former) < len(k.fence.Former)
}

func (k *Keeper) provedFor(m burdockyard.Member, now time.Time) bool {
	at, ok := k.provedAt[string(m.Incarnation)]
	return ok && now.Sub(at) >= k.transit
}

func (k *Keeper) setFence(fence fenceRow, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fence, k.fenceVersion = fence, version
}

// reloadFence reads the fence row again after a write of unknown outcome.
func (k *Keeper) reloadFence(ctx context.Context, held uint64, cause error) error {
	rows, err := k.table.Get(ctx, FenceKey(k.shard))
	if err != nil {
		return cause
	}
	fence, err := decode[fenceRow](rows[0])
	if err != nil {
		return err
	}
	if fence.Fence != held {
		k.lose()
		return cause
	}
	k.setFence(fence, rows[0].Version)
	return nil
}
