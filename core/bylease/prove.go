package bylease

import (
	"context"
	"time"

	"burdockyard"
)

// RemoveStoppedHolders looks for proof that former holders can no longer send
// orders. It removes such a holder from the fence row once the transit limit (see
// [WithMaxOrderTransit]) has passed since the proof, so that the holder's last
// order must have arrived. RemoveStoppedHolders does nothing if the lease is not
// held.
//
// Elapsed time alone is no proof: a process that is paused between its last check
// and its write sends the order when it resumes, however long the pause was. Any
// of these is proof: the process itself says that it has given up the lease,
// another process runs at its address, its address refuses connections, or its VM
// is gone from the VM list. The list lags, so a VM that started recently is
// missing from it too. A VM therefore counts as gone only if it was on the list
// before, or if it stays missing for at least MaxVMListLag, because a former
// holder's VM is not that new.
func (k *Keeper) RemoveStoppedHolders(ctx context.Context, holders burdockyard.FormerHolderClient, vms burdockyard.VMList) error {
	k.tableLock <- struct{}{}
	defer func() { <-k.tableLock }()
	k.mu.Lock()
	members := append([]burdockyard.Member(nil), k.fence.FormerHolders...)
	held, fence := k.held, k.row.Fence
	k.mu.Unlock()
	if !held || len(members) == 0 {
		return nil
	}
	gone := k.goneFromVMList(ctx, vms, members)
	for _, m := range members {
		if gone[m.Addr] || hasYielded(ctx, holders, m, k.shard, fence-1) {
			k.recordProvedStopped(m)
		}
	}
	return k.removeProvedHolders(ctx)
}

// hasYielded reports whether the process m is proved to be unable to send orders
// under the given fencing number or an older one. An error proves nothing.
func hasYielded(ctx context.Context, holders burdockyard.FormerHolderClient, m burdockyard.Member, shard burdockyard.ShardID, fence uint64) bool {
	ok, err := holders.Yield(ctx, m, shard, fence)
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

// goneFromVMList returns, by address, which members' VMs count as gone. It
// returns nil if the VM list cannot be read.
func (k *Keeper) goneFromVMList(ctx context.Context, vms burdockyard.VMList, members []burdockyard.Member) map[string]bool {
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
		gone[m.Addr] = k.updateVMPresence(m.Addr, present[m.Addr])
	}
	return gone
}

// updateVMPresence records whether an address is on the VM list, and reports
// whether its VM counts as gone: the address is missing, and it was on the list
// before or has been missing for at least MaxVMListLag. The caller must hold mu.
func (k *Keeper) updateVMPresence(addr string, present bool) bool {
	if present {
		k.seenOnVMList[addr] = true
		delete(k.missingSince, addr)
		return false
	}
	now := k.clock.Now()
	since, known := k.missingSince[addr]
	if !known {
		k.missingSince[addr] = now
		since = now
	}
	return k.seenOnVMList[addr] || now.Sub(since) >= MaxVMListLag
}

// recordProvedStopped records that m is proved stopped, keeping the time of the
// first proof.
func (k *Keeper) recordProvedStopped(m burdockyard.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := string(m.Incarnation)
	if _, ok := k.provedStoppedAt[key]; !ok {
		k.provedStoppedAt[key] = k.clock.Now()
	}
}

// removeProvedHolders removes from the fence row the former holders that were
// proved stopped at least the transit limit ago.
func (k *Keeper) removeProvedHolders(ctx context.Context) error {
	next, version, found := k.fenceWithoutProved()
	if !found {
		return nil
	}
	err := k.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: FenceKey(k.shard), Version: version}},
		Writes: []burdockyard.Write{{Key: FenceKey(k.shard), Value: encodeRow(next)}},
	})
	if err != nil {
		return k.reloadFence(ctx, next.Fence, err)
	}
	k.setFence(next, version+1)
	return nil
}

// fenceWithoutProved returns the fence row without the holders that
// removeProvedHolders removes, the version of the current fence row, and whether
// the lease is held and there is a holder to remove.
func (k *Keeper) fenceWithoutProved() (fenceRow, uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	next := fenceRow{Fence: k.fence.Fence}
	for _, m := range k.fence.FormerHolders {
		if !k.isRemovable(m, now) {
			next.FormerHolders = append(next.FormerHolders, m)
		}
	}
	return next, k.fenceVersion, k.held && len(next.FormerHolders) < len(k.fence.FormerHolders)
}

// isRemovable reports whether m was proved stopped at least the transit limit
// ago. The caller must hold mu.
func (k *Keeper) isRemovable(m burdockyard.Member, now time.Time) bool {
	at, ok := k.provedStoppedAt[string(m.Incarnation)]
	return ok && now.Sub(at) >= k.maxOrderTransit
}

func (k *Keeper) setFence(fence fenceRow, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fence, k.fenceVersion = fence, version
}

// reloadFence reads the fence row after a failed write. It gives up the lease and
// returns cause if the row no longer holds the fencing number under which this
// process holds the lease.
func (k *Keeper) reloadFence(ctx context.Context, heldFence uint64, cause error) error {
	rows, err := k.table.Get(ctx, FenceKey(k.shard))
	if err != nil {
		return cause
	}
	fence, err := decodeRow[fenceRow](rows[0])
	if err != nil {
		return err
	}
	if fence.Fence != heldFence {
		k.loseLease()
		return cause
	}
	k.setFence(fence, rows[0].Version)
	return nil
}
