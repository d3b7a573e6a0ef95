package bylease

import (
	"context"
	"time"

	"burdockyard"
)

// Prove looks for proof that former holders can no longer send orders. It removes
// a proved holder from the fence row once the transit limit has passed, so that
// its last order must have arrived. Prove does nothing if the lease is not held.
//
// Elapsed time alone is no proof: a process that is paused between its last check
// and its write sends the order when it resumes, however long the pause was. Any
// of these is proof: the process itself says that it has given up the lease,
// another process runs at its address, its address refuses connections, or its VM
// is gone from the VM list. The list lags, so a VM that started recently is
// missing from it too. A VM therefore counts as gone only if it was on the list
// before, or if it stays missing for at least ListLag, because a former holder's
// VM is not that new.
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

// yielded reports whether the process m is proved to have given up the lease. An
// error proves nothing.
func yielded(ctx context.Context, former burdockyard.FormerHolders, m burdockyard.Member, shard burdockyard.ShardID, fence uint64) bool {
	ok, err := former.Yield(ctx, m, shard, fence)
	return err == nil && ok
}

// Yield gives up the lease if it is held under the given fencing number or an
// older one. A newer holder requests this, so the lease is already lost. Before
// confirming to the newer holder, the caller must make sure that no order is in
// transit. Yield does no I/O.
func (k *Keeper) Yield(fence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held && k.row.Fence <= fence {
		k.held = false
		k.rowVersion = 0
	}
}

// goneFromList returns, by address, which members' VMs count as gone. It returns
// nil if the VM list cannot be read.
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

// noteListed records whether an address is on the VM list, and reports whether
// its VM counts as gone: the address is missing, and it was on the list before or
// has been missing for at least ListLag. The caller must hold mu.
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

// recordProof records that m is proved stopped, keeping the time of the first
// proof.
func (k *Keeper) recordProof(m burdockyard.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := string(m.Incarnation)
	if _, ok := k.provedAt[key]; !ok {
		k.provedAt[key] = k.clock.Now()
	}
}

// strikeProved removes from the fence row the former holders that were proved
// stopped longer ago than the transit limit.
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

// withoutProved returns the fence row without the holders that strikeProved
// removes, the version of the current fence row, and whether the lease is held
// and there is a holder to remove.
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

// provedFor reports whether m was proved stopped at least the transit limit ago.
// The caller must hold mu.
func (k *Keeper) provedFor(m burdockyard.Member, now time.Time) bool {
	at, ok := k.provedAt[string(m.Incarnation)]
	return ok && now.Sub(at) >= k.transit
}

func (k *Keeper) setFence(fence fenceRow, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fence, k.fenceVersion = fence, version
}

// reloadFence reads the fence row after a failed write. It gives up the lease and
// returns cause if the row no longer holds the fencing number under which this
// process holds the lease.
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
