package bylease

import (
	"context"
	"errors"
	"time"

	"burdockyard"
)

// Prove looks for evidence that former holders can no longer send orders, and
// strikes those off the fence row once their last order must have arrived.
//
// Time alone proves nothing: a process paused between its last check and its
// write sends when it wakes, however long that takes. What does prove it is
// another process at its address, a refused connection there, or its VM gone
// from the list. The list lags, and a VM that is too new for it is missing as
// well, so only a VM that was seen on it can be seen to be gone.
func (k *Keeper) Prove(ctx context.Context, probe burdockyard.PeerProbe, vms burdockyard.VMList) error {
	k.mu.Lock()
	former := append([]burdockyard.Member(nil), k.fence.Former...)
	held := k.held
	k.mu.Unlock()
	if !held || len(former) == 0 {
		return nil
	}
	gone := k.goneFromList(ctx, vms, former)
	for _, m := range former {
		if gone[m.Addr] || stopped(ctx, probe, m) {
			k.recordProof(m)
		}
	}
	return k.strikeProved(ctx)
}

func stopped(ctx context.Context, probe burdockyard.PeerProbe, m burdockyard.Member) bool {
	inc, err := probe.Incarnation(ctx, m.Addr)
	if errors.Is(err, burdockyard.ErrNotFound) {
		return true
	}
	return err == nil && inc != m.Incarnation
}

func (k *Keeper) goneFromList(ctx context.Context, vms burdockyard.VMList, former []burdockyard.Member) map[string]bool {
	list, err := vms.VMs(ctx)
	if err != nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := map[string]bool{}
	for _, vm := range list {
		now[vm.Addr] = true
		k.listed[vm.Addr] = true
	}
	gone := map[string]bool{}
	for _, m := range former {
		gone[m.Addr] = k.listed[m.Addr] && !now[m.Addr]
	}
	return gone
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
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	next := fenceRow{Fence: k.fence.Fence}
	for _, m := range k.fence.Former {
		if !k.provedFor(m, now) {
			next.Former = append(next.Former, m)
		}
	}
	if !k.held || len(next.Former) == len(k.fence.Former) {
		return nil
	}
	err := k.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: FenceKey(k.shard), Version: k.fenceVersion}},
		Writes: []burdockyard.Write{{Key: FenceKey(k.shard), Value: encode(next)}},
	})
	if err != nil {
		return k.reloadFence(ctx, err)
	}
	k.fence = next
	k.fenceVersion++
	return nil
}

func (k *Keeper) provedFor(m burdockyard.Member, now time.Time) bool {
	at, ok := k.provedAt[string(m.Incarnation)]
	return ok && now.Sub(at) >= k.transit
}

// reloadFence reads the fence row again after a write of unknown outcome.
func (k *Keeper) reloadFence(ctx context.Context, cause error) error {
	rows, err := k.table.Get(ctx, FenceKey(k.shard))
	if err != nil {
		return cause
	}
	fence, err := decode[fenceRow](rows[0])
	if err != nil {
		return err
	}
	if fence.Fence != k.row.Fence {
		k.lose(k.clock.Now())
		return cause
	}
	k.fence, k.fenceVersion = fence, rows[0].Version
	return nil
}
