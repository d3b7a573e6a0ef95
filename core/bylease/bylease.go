// Package bylease keeps the lease of one shard: which process may give orders
// to the shard's engines.
//
// # Usage
//
//	k := bylease.New(table, clock, "quote/north-a/0", self)
//	for each tick { k.Step(ctx); k.Prove(ctx, peers, vms) }
//	if g, ok := k.Grant(); ok { … send orders with g.Fence() … }
//	k.Release(ctx) // on a planned stop, after the last order was answered
//
// # Rows
//
// lease/<shard> changes with every renewal. fence/<shard> changes only when the
// holder changes or a former holder is proved stopped. Orders are committed
// under a check of the fence row, so that a renewal never makes one fail while a
// takeover always does.
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
	// DefaultTTL is how long a renewal lasts, counted from before it was sent.
	DefaultTTL = 6 * time.Second
	// DefaultMargin is added to the TTL by a process that waits to take over.
	DefaultMargin = 2 * time.Second
	// ListLag bounds how late the VM list tells of a VM that has started.
	ListLag = time.Minute
	// renewBelow is the part of the TTL, in percent, below which a lease is renewed.
	renewBelow = 70
	// DefaultTransit bounds how long an order may still be on its way to an
	// engine after its sender stopped.
	DefaultTransit = 5 * time.Second
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
	Fence  uint64               `json:"fence"`
	Former []burdockyard.Member `json:"former,omitempty"` // not proved stopped
}

// LeaseKey returns the key of the shard's lease row.
func LeaseKey(shard burdockyard.ShardID) string { return "lease/" + string(shard) }

// FenceKey returns the key of the shard's fence row.
func FenceKey(shard burdockyard.ShardID) string { return "fence/" + string(shard) }

// Grant is the authority over a shard as it was when it was read.
type Grant struct {
	shard        burdockyard.ShardID
	fence        uint64
	fenceVersion uint64
	settled      bool
}

// Fence returns the holder's fencing number.
func (g Grant) Fence() uint64 { return g.fence }

// Settled reports whether every former holder is proved unable to send.
func (g Grant) Settled() bool { return g.settled }

// Check returns the condition under which a write belongs to this grant.
func (g Grant) Check() burdockyard.Check {
	return burdockyard.Check{Key: FenceKey(g.shard), Version: g.fenceVersion}
}

// Keeper holds or waits for one shard's lease. Its methods may be called from
// several goroutines.
//
// turn is held over calls of the table, so that two steps never cross. mu
// guards the fields below it, is taken after turn and never held over a call:
// Grant and Yield must answer at once while the table is slow.
type Keeper struct {
	table   burdockyard.Table
	clock   burdockyard.Clock
	shard   burdockyard.ShardID
	self    burdockyard.Member
	ttl     time.Duration
	margin  time.Duration
	transit time.Duration
	turn    chan struct{}

	mu           sync.Mutex
	held         bool
	until        time.Time
	row          leaseRow
	rowVersion   uint64
	fence        fenceRow
	fenceVersion uint64
	watchedSince time.Time
	listed       map[string]bool      // former holders' addresses seen on the VM list
	absentSince  map[string]time.Time // those that are not on it
	provedAt     map[string]time.Time // incarnation to the time of proof
}

// Option sets an optional part of a Keeper.
type Option func(*Keeper)

// WithTTL sets how long a renewal lasts and how much longer a taker waits.
func WithTTL(ttl, margin time.Duration) Option {
	return func(k *Keeper) { k.ttl, k.margin = ttl, margin }
}

// WithTransit sets the bound on an order's way to an engine.
func WithTransit(d time.Duration) Option {
	return func(k *Keeper) { k.transit = d }
}

// New returns a Keeper that holds nothing yet.
func New(table burdockyard.Table, clock burdockyard.Clock, shard burdockyard.ShardID, self burdockyard.Member, opts ...Option) *Keeper {
	k := &Keeper{
		table: table, clock: clock, shard: shard, self: self,
		ttl: DefaultTTL, margin: DefaultMargin, transit: DefaultTransit, turn: make(chan struct{}, 1),
		listed: map[string]bool{}, absentSince: map[string]time.Time{}, provedAt: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Grant returns the authority held now, if any.
func (k *Keeper) Grant() (Grant, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held || !k.clock.Now().Before(k.until) {
		return Grant{}, false
	}
	return Grant{
		shard: k.shard, fence: k.row.Fence, fenceVersion: k.fenceVersion,
		settled: len(k.fence.Former) == 0,
	}, true
}

// Step renews the lease if it is held and otherwise watches it, taking it over
// once it has lapsed. The error tells why nothing was gained; the next Step
// tries again.
func (k *Keeper) Step(ctx context.Context) error {
	k.turn <- struct{}{}
	defer func() { <-k.turn }()
	k.mu.Lock()
	held, row, version := k.held, k.row, k.rowVersion
	early := held && k.until.Sub(k.clock.Now()) > k.ttl*renewBelow/100
	k.mu.Unlock()
	if early {
		return nil
	}
	if held {
		return k.renew(ctx, row, version)
	}
	return k.watch(ctx)
}

func (k *Keeper) renew(ctx context.Context, row leaseRow, version uint64) error {
	sent := k.clock.Now()
	next := row
	next.Renewals++
	err := k.commitLease(ctx, next, version)
	switch {
	case err == nil:
		k.renewed(next, version+1, sent)
		return nil
	case errors.Is(err, burdockyard.ErrConflict):
		k.lose()
		return err
	case errors.Is(err, burdockyard.ErrUnavailable):
		return err
	default:
		return k.settleRenewal(ctx, sent, row, next)
	}
}

// settleRenewal reads back a renewal whose answer was lost.
func (k *Keeper) settleRenewal(ctx context.Context, sent time.Time, row, next leaseRow) error {
	rows, err := k.table.Get(ctx, LeaseKey(k.shard))
	if err != nil {
		return err
	}
	got, err := decode[leaseRow](rows[0])
	if err != nil {
		return err
	}
	switch {
	case got == next:
		k.renewed(next, rows[0].Version, sent)
	case got != row:
		k.lose()
	}
	return nil
}

// renewed takes a renewal in, unless the lease was yielded meanwhile.
func (k *Keeper) renewed(row leaseRow, version uint64, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held {
		return
	}
	k.row, k.rowVersion = row, version
	k.until = sent.Add(k.ttl)
}

func (k *Keeper) commitLease(ctx context.Context, next leaseRow, version uint64) error {
	return k.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: LeaseKey(k.shard), Version: version}},
		Writes: []burdockyard.Write{{Key: LeaseKey(k.shard), Value: encode(next)}},
	})
}

func (k *Keeper) lose() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = false
	k.rowVersion = 0
}

func (k *Keeper) watch(ctx context.Context) error {
	rows, err := k.table.Get(ctx, LeaseKey(k.shard), FenceKey(k.shard))
	if err != nil {
		return err
	}
	row, err := decode[leaseRow](rows[0])
	if err != nil {
		return err
	}
	fence, err := decode[fenceRow](rows[1])
	if err != nil {
		return err
	}
	lapsed := k.unchangedFor(rows[0].Version) >= k.ttl+k.margin
	if rows[0].Exists() && !row.Released && !lapsed {
		return nil
	}
	return k.take(ctx, rows, row, fence)
}

// unchangedFor returns how long this process has seen the lease row at a version.
func (k *Keeper) unchangedFor(version uint64) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if k.watchedSince.IsZero() || version != k.rowVersion {
		k.rowVersion = version
		k.watchedSince = now
	}
	return now.Sub(k.watchedSince)
}

// take moves the lease to this process.
//
// The former holder joins the fence row's list unless it released the lease or
// is this very process. Without the list, a chain of takeovers would forget all
// but the last holder: A is paused, B takes over and crashes, C proves B
// stopped and orders an engine that ignores fencing numbers, then A wakes in
// the middle of its send.
func (k *Keeper) take(ctx context.Context, rows []burdockyard.Row, row leaseRow, fence fenceRow) error {
	next := leaseRow{Holder: k.self, Fence: row.Fence + 1}
	nextFence := fenceRow{Fence: next.Fence, Former: without(fence.Former, k.self)}
	if rows[0].Exists() && !row.Released && row.Holder != k.self {
		nextFence.Former = append(nextFence.Former, row.Holder)
	}
	sent := k.clock.Now()
	err := k.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{
			{Key: LeaseKey(k.shard), Version: rows[0].Version},
			{Key: FenceKey(k.shard), Version: rows[1].Version},
		},
		Writes: []burdockyard.Write{
			{Key: LeaseKey(k.shard), Value: encode(next)},
			{Key: FenceKey(k.shard), Value: encode(nextFence)},
		},
	})
	if err != nil && !errors.Is(err, burdockyard.ErrConflict) && !errors.Is(err, burdockyard.ErrUnavailable) {
		return k.settleTake(ctx, sent, next)
	}
	if err != nil {
		return err
	}
	k.hold(sent, next, rows[0].Version+1, nextFence, rows[1].Version+1)
	return nil
}

// settleTake reads back a takeover whose answer was lost.
func (k *Keeper) settleTake(ctx context.Context, sent time.Time, next leaseRow) error {
	rows, err := k.table.Get(ctx, LeaseKey(k.shard), FenceKey(k.shard))
	if err != nil {
		return err
	}
	got, err := decode[leaseRow](rows[0])
	if err != nil {
		return err
	}
	fence, err := decode[fenceRow](rows[1])
	if err != nil {
		return err
	}
	if got == next {
		k.hold(sent, next, rows[0].Version, fence, rows[1].Version)
	}
	return nil
}

func (k *Keeper) hold(sent time.Time, row leaseRow, version uint64, fence fenceRow, fenceVersion uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = true
	k.until = sent.Add(k.ttl)
	k.row, k.rowVersion = row, version
	k.fence, k.fenceVersion = fence, fenceVersion
	clear(k.provedAt)
	clear(k.absentSince)
}

// Release gives the lease back, so that another process may take it at once.
// The caller must have no order on its way.
func (k *Keeper) Release(ctx context.Context) error {
	k.turn <- struct{}{}
	defer func() { <-k.turn }()
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

func without(members []burdockyard.Member, m burdockyard.Member) []burdockyard.Member {
	var kept []burdockyard.Member
	for _, x := range members {
		if x != m {
			kept = append(kept, x)
		}
	}
	return kept
}

func decode[T any](row burdockyard.Row) (T, error) {
	var v T
	if !row.Exists() {
		return v, nil
	}
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, merry.Prependf(err, "row %s", row.Key)
	}
	return v, nil
}

func encode[T any](v T) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain structs of strings and numbers always encode
	}
	return b
}
