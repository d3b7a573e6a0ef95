// Package bylease acquires and renews the lease of a shard. The process that
// holds the lease may send orders to the shard's engines.
//
// # Usage
//
//	k := bylease.New(table, clock, "quote/north-a/0", self)
//	for each tick { k.RenewOrAcquire(ctx); k.RemoveStoppedHolders(ctx, holders, vms) }
//	if g, ok := k.Grant(); ok { … send orders with g.Fence() … }
//	k.Release(ctx) // on a planned shutdown, after all orders have been answered
//
// # Rows
//
// The row lease/<shard> changes with every renewal. The row fence/<shard>
// changes only when the holder changes or a former holder is proved stopped.
// Orders are committed with a version check of the fence row, so a renewal never
// makes such a commit fail and a takeover always does.
package bylease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
)

const (
	// DefaultTTL is the default time for which a renewal extends the lease,
	// counted from just before the renewal is sent.
	DefaultTTL = 6 * time.Second
	// DefaultTakeoverMargin is the default time that another process waits beyond
	// the TTL before it takes over a lease that is not renewed.
	DefaultTakeoverMargin = 2 * time.Second
	// MaxVMListLag is the longest delay until a VM that has started appears on the
	// VM list.
	MaxVMListLag = time.Minute
	// renewAtPercent is the share of the TTL, in percent, at which the lease is
	// due for renewal: it is renewed once no more than this share remains.
	renewAtPercent = 70
	// DefaultMaxOrderTransit is the default limit on how long an order can be in
	// transit to an engine after its sender has stopped.
	DefaultMaxOrderTransit = 5 * time.Second
)

// leaseRow is the value of lease/<shard>.
type leaseRow struct {
	Holder   burdockyard.Member `json:"holder"`
	Fence    uint64             `json:"fence"`
	Renewals uint64             `json:"renewals"`
	Released bool               `json:"released,omitempty"`
}

// fenceRow is the value of fence/<shard>.
type fenceRow struct {
	Fence         uint64               `json:"fence"`
	FormerHolders []burdockyard.Member `json:"former,omitempty"` // former holders not yet proved stopped
}

// LeaseKey returns the key of the shard's lease row.
func LeaseKey(shard burdockyard.ShardID) string { return "lease/" + string(shard) }

// FenceKey returns the key of the shard's fence row.
func FenceKey(shard burdockyard.ShardID) string { return "fence/" + string(shard) }

// Grant is the authority over a shard at the moment when Keeper.Grant returned
// it.
type Grant struct {
	shard                burdockyard.ShardID
	fence                uint64
	fenceVersion         uint64
	formerHoldersStopped bool
}

// Fence returns the holder's fencing number.
func (g Grant) Fence() uint64 { return g.fence }

// FormerHoldersStopped reports whether every former holder is proved unable to
// send further orders.
func (g Grant) FormerHoldersStopped() bool { return g.formerHoldersStopped }

// FenceCheck returns the transaction check that makes a write fail once the fence
// row has changed, as it does when another process takes over the lease.
func (g Grant) FenceCheck() burdockyard.Check {
	return burdockyard.Check{Key: FenceKey(g.shard), Version: g.fenceVersion}
}

// Keeper holds the lease of one shard or waits to acquire it. Its methods are
// safe for concurrent use.
//
// tableLock is a channel used as a lock. It is held during calls to the table and
// serializes the methods that make them. mu guards the fields below it. It is
// acquired after tableLock and never held during I/O, because Grant and Yield
// must return at once even while the table is slow.
type Keeper struct {
	table           burdockyard.Table
	clock           burdockyard.Clock
	shard           burdockyard.ShardID
	self            burdockyard.Member
	ttl             time.Duration
	margin          time.Duration
	maxOrderTransit time.Duration
	tableLock       chan struct{}

	mu              sync.Mutex
	held            bool      // whether this process holds the lease; it is valid only before validUntil
	validUntil      time.Time // when the lease expires unless it is renewed
	row             leaseRow
	rowVersion      uint64 // version of the lease row when last written, or last observed while waiting
	fence           fenceRow
	fenceVersion    uint64
	unchangedSince  time.Time            // when the lease row was first observed at rowVersion
	seenOnVMList    map[string]bool      // addresses of former holders that were seen on the VM list
	missingSince    map[string]time.Time // address of a former holder to the time since which the VM list lacks it
	provedStoppedAt map[string]time.Time // incarnation of a former holder to the time when it was proved stopped
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithTTL sets the time for which a renewal extends the lease, and the time that
// another process waits beyond it before taking over.
func WithTTL(ttl, margin time.Duration) Option {
	return func(k *Keeper) { k.ttl, k.margin = ttl, margin }
}

// WithMaxOrderTransit sets the limit on how long an order can be in transit to an
// engine after its sender has stopped.
func WithMaxOrderTransit(d time.Duration) Option {
	return func(k *Keeper) { k.maxOrderTransit = d }
}

// New returns a Keeper that does not hold the lease yet.
func New(table burdockyard.Table, clock burdockyard.Clock, shard burdockyard.ShardID, self burdockyard.Member, opts ...Option) *Keeper {
	k := &Keeper{
		table: table, clock: clock, shard: shard, self: self,
		ttl: DefaultTTL, margin: DefaultTakeoverMargin, maxOrderTransit: DefaultMaxOrderTransit, tableLock: make(chan struct{}, 1),
		seenOnVMList: map[string]bool{}, missingSince: map[string]time.Time{}, provedStoppedAt: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Grant returns the current authority over the shard, and false if this process
// does not hold a valid lease. It does no I/O.
func (k *Keeper) Grant() (Grant, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held || !k.clock.Now().Before(k.validUntil) {
		return Grant{}, false
	}
	return Grant{
		shard: k.shard, fence: k.row.Fence, fenceVersion: k.fenceVersion,
		formerHoldersStopped: len(k.fence.FormerHolders) == 0,
	}, true
}

// RenewOrAcquire renews the lease if this process holds it and the renewal is
// due. If this process does not hold it, RenewOrAcquire observes the lease row and
// takes the lease over if it is absent, released or expired. It is called
// periodically. A call that returns an error did not extend the authority of this
// process; the next call retries.
func (k *Keeper) RenewOrAcquire(ctx context.Context) error {
	k.tableLock <- struct{}{}
	defer func() { <-k.tableLock }()
	k.mu.Lock()
	held, row, version := k.held, k.row, k.rowVersion
	renewalNotDue := held && k.validUntil.Sub(k.clock.Now()) > k.ttl*renewAtPercent/100
	k.mu.Unlock()
	if renewalNotDue {
		return nil
	}
	if held {
		return k.renew(ctx, row, version)
	}
	return k.takeOverIfExpired(ctx)
}

func (k *Keeper) renew(ctx context.Context, row leaseRow, version uint64) error {
	sentAt := k.clock.Now()
	next := row
	next.Renewals++
	err := k.commitLease(ctx, next, version)
	switch {
	case err == nil:
		k.recordRenewal(next, version+1, sentAt)
		return nil
	case errors.Is(err, burdockyard.ErrConflict):
		k.loseLease()
		return err
	case errors.Is(err, burdockyard.ErrUnavailable):
		return err
	default:
		return k.resolveRenewal(ctx, sentAt, row, next)
	}
}

// resolveRenewal resolves a renewal of unknown outcome by reading the lease row.
func (k *Keeper) resolveRenewal(ctx context.Context, sentAt time.Time, row, next leaseRow) error {
	rows, err := k.table.Get(ctx, LeaseKey(k.shard))
	if err != nil {
		return err
	}
	got, err := decodeRow[leaseRow](rows[0])
	if err != nil {
		return err
	}
	switch {
	case got == next:
		k.recordRenewal(next, rows[0].Version, sentAt)
	case got != row:
		k.loseLease()
	}
	return nil
}

// recordRenewal records a successful renewal, unless the lease was yielded
// meanwhile.
func (k *Keeper) recordRenewal(row leaseRow, version uint64, sentAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held {
		return
	}
	k.row, k.rowVersion = row, version
	k.validUntil = sentAt.Add(k.ttl)
}

func (k *Keeper) commitLease(ctx context.Context, next leaseRow, version uint64) error {
	return k.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: LeaseKey(k.shard), Version: version}},
		Writes: []burdockyard.Write{{Key: LeaseKey(k.shard), Value: encodeRow(next)}},
	})
}

func (k *Keeper) loseLease() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = false
	k.rowVersion = 0
}

// takeOverIfExpired reads the lease and takes it over if it is absent, released
// or expired.
//
// Expiry is measured on this process's own clock, as the time for which the row
// has not changed, so clocks of different machines need not agree.
func (k *Keeper) takeOverIfExpired(ctx context.Context) error {
	rows, err := k.table.Get(ctx, LeaseKey(k.shard), FenceKey(k.shard))
	if err != nil {
		return err
	}
	row, err := decodeRow[leaseRow](rows[0])
	if err != nil {
		return err
	}
	fence, err := decodeRow[fenceRow](rows[1])
	if err != nil {
		return err
	}
	expired := k.unchangedFor(rows[0].Version) >= k.ttl+k.margin
	if rows[0].Exists() && !row.Released && !expired {
		return nil
	}
	return k.takeOver(ctx, rows, row, fence)
}

// unchangedFor returns for how long this process has observed the lease row at
// the given version.
func (k *Keeper) unchangedFor(version uint64) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if k.unchangedSince.IsZero() || version != k.rowVersion {
		k.rowVersion = version
		k.unchangedSince = now
	}
	return now.Sub(k.unchangedSince)
}

// takeOver transfers the lease to this process.
//
// It adds the former holder to the list in the fence row, unless that holder
// released the lease or is this process itself. Without the list, only the last
// holder would be known after several takeovers: A is paused while sending an
// order, B takes over and crashes, C proves B stopped and sends an order to an
// engine that ignores fencing numbers, then A resumes and completes its send.
func (k *Keeper) takeOver(ctx context.Context, rows []burdockyard.Row, row leaseRow, fence fenceRow) error {
	next := leaseRow{Holder: k.self, Fence: row.Fence + 1}
	nextFence := fenceRow{Fence: next.Fence, FormerHolders: removeMember(fence.FormerHolders, k.self)}
	if rows[0].Exists() && !row.Released && row.Holder != k.self {
		nextFence.FormerHolders = append(nextFence.FormerHolders, row.Holder)
	}
	sentAt := k.clock.Now()
	err := k.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{
			{Key: LeaseKey(k.shard), Version: rows[0].Version},
			{Key: FenceKey(k.shard), Version: rows[1].Version},
		},
		Writes: []burdockyard.Write{
			{Key: LeaseKey(k.shard), Value: encodeRow(next)},
			{Key: FenceKey(k.shard), Value: encodeRow(nextFence)},
		},
	})
	if err != nil && !errors.Is(err, burdockyard.ErrConflict) && !errors.Is(err, burdockyard.ErrUnavailable) {
		return k.resolveTakeover(ctx, sentAt, next)
	}
	if err != nil {
		return err
	}
	k.recordTakeover(sentAt, next, rows[0].Version+1, nextFence, rows[1].Version+1)
	return nil
}

// resolveTakeover resolves a takeover of unknown outcome by reading both rows.
func (k *Keeper) resolveTakeover(ctx context.Context, sentAt time.Time, next leaseRow) error {
	rows, err := k.table.Get(ctx, LeaseKey(k.shard), FenceKey(k.shard))
	if err != nil {
		return err
	}
	got, err := decodeRow[leaseRow](rows[0])
	if err != nil {
		return err
	}
	fence, err := decodeRow[fenceRow](rows[1])
	if err != nil {
		return err
	}
	if got == next {
		k.recordTakeover(sentAt, next, rows[0].Version, fence, rows[1].Version)
	}
	return nil
}

// recordTakeover records a successful takeover.
func (k *Keeper) recordTakeover(sentAt time.Time, row leaseRow, version uint64, fence fenceRow, fenceVersion uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = true
	k.validUntil = sentAt.Add(k.ttl)
	k.row, k.rowVersion = row, version
	k.fence, k.fenceVersion = fence, fenceVersion
	clear(k.provedStoppedAt)
	clear(k.missingSince)
}

// Release releases the lease, so that another process can take it over without
// waiting for it to expire. The caller must have no order in transit.
func (k *Keeper) Release(ctx context.Context) error {
	k.tableLock <- struct{}{}
	defer func() { <-k.tableLock }()
	k.mu.Lock()
	held, next, version := k.held, k.row, k.rowVersion
	k.held = false
	k.mu.Unlock()
	if !held {
		return nil
	}
	next.Released = true
	return k.commitLease(ctx, next, version)
}

func removeMember(members []burdockyard.Member, m burdockyard.Member) []burdockyard.Member {
	var kept []burdockyard.Member
	for _, x := range members {
		if x != m {
			kept = append(kept, x)
		}
	}
	return kept
}

func decodeRow[T any](row burdockyard.Row) (T, error) {
	var v T
	if !row.Exists() {
		return v, nil
	}
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, merry.Prependf(err, "row %s", row.Key)
	}
	return v, nil
}

func encodeRow[T any](v T) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: structs of strings, numbers and booleans always encode
	}
	return b
}
