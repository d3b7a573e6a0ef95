// Package byclaim grants the right to send an order to an engine to one node at a
// time.
//
// # Usage
//
//	claimer := byclaim.New(table, clock, self, byclaim.WithTTL(3*time.Second))
//	claim, err := claimer.Acquire(ctx, engine) // ErrClaimed: try again later
//	if claimer.IsValid(claim) { … send one order with claim.Fence() … }
//
// # Why claims are not leases
//
// A lease of core/bylease is renewed continuously, by one node for each shard of
// each service, which pays off where orders are sent every few seconds. Here a few
// orders are sent in an hour, and store calls are counted for all nodes together.
// A claim is therefore acquired for each order with one conditional write, and
// expires without a release.
//
// # Row
//
// orders/<engine> holds the last claim: its holder and its fencing number, which
// increases with each claim and is never reused. An engine that checks
// fencing numbers refuses an order whose number is outdated. For an engine that
// does not, another node waits until it has seen the row unchanged for twice the
// lifetime of a claim. It has to watch the row because the row does not tell its
// age.
//
// # Eras of the store
//
// A store that is restored from an older copy loses the newest claims, and with them
// fencing numbers that engines have seen. So the era is part of the fencing number,
// claims of an older era are no longer valid, and after a change of the era, or the
// start of the process, no claim is granted for twice the lifetime of a claim: the
// holder of a lost one may not know of its loss yet.
package byclaim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
)

const (
	// DefaultTTL is the default lifetime of a claim, counted from just before its
	// row is written.
	DefaultTTL = 3 * time.Second
	// maxClockDivergence bounds how far the wall clock may advance beyond the
	// monotonic clock while a claim is held. A larger difference is taken for a
	// suspension of the VM, during which its monotonic clock stands still.
	maxClockDivergence = 200 * time.Millisecond
)

// eraBits is the number of low bits of a fencing number that count the claims of one
// era. The era is in the bits above.
const eraBits = 20

// ErrClaimed means that another node may still hold a claim on the engine.
var ErrClaimed = errors.New("another node may still order this engine")

// tableName is the name of the table that holds the claims.
const tableName = "orders"

// claimRow is the value of orders/<engine>.
type claimRow struct {
	Holder      burdockyard.NodeID      `json:"holder"`
	Incarnation burdockyard.Incarnation `json:"incarnation"`
	Fence       uint64                  `json:"fence"`
}

// Claim is the right to send one order to one engine.
type Claim struct {
	engine      burdockyard.EndpointID
	fence       uint64
	era         uint64    // of the store when the claim was written
	requestedAt time.Time // when the write of the row was requested
}

// Engine returns the engine that the order may be sent to.
func (c Claim) Engine() burdockyard.EndpointID { return c.engine }

// Fence returns the fencing number of the order.
func (c Claim) Fence() uint64 { return c.fence }

// observation records when this node first saw a version of a row that another node
// holds.
type observation struct {
	version uint64
	since   time.Time
}

// Claimer acquires claims for one node. It is safe for concurrent use. No other lock
// is taken while mu is held.
type Claimer struct {
	store burdockyard.Table
	clock burdockyard.Clock
	self  burdockyard.Member
	ttl   time.Duration

	mu       sync.Mutex
	observed map[burdockyard.EndpointID]observation
	era      uint64    // newest era of the store that this node has seen
	eraSince time.Time // when it was first seen, zero if none has been seen
}

// Option configures a Claimer.
type Option func(*Claimer)

// WithTTL sets the lifetime of a claim.
func WithTTL(d time.Duration) Option { return func(c *Claimer) { c.ttl = d } }

// New returns a Claimer that acquires claims for the node self.
func New(store burdockyard.Table, clock burdockyard.Clock, self burdockyard.Member, opts ...Option) *Claimer {
	c := &Claimer{store: store, clock: clock, self: self, ttl: DefaultTTL, observed: map[burdockyard.EndpointID]observation{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Acquire claims an engine. It returns ErrClaimed while another node may hold a claim,
// ErrConflict if another claim was written at the same time, and otherwise the
// error of the store. After any error no order may be sent.
func (c *Claimer) Acquire(ctx context.Context, engine burdockyard.EndpointID) (Claim, error) {
	key := tableName + "/" + string(engine)
	row, previous, err := c.read(ctx, key)
	if err != nil {
		return Claim{}, err
	}
	if c.ObserveEra(row.Era); c.isEraNew(row.Era) {
		return Claim{}, merry.Wrap(ErrClaimed)
	}
	if row.Exists() && previous.Holder != c.self.Node && c.unchangedDuration(engine, row.Version) < 2*c.ttl {
		return Claim{}, merry.Wrap(ErrClaimed)
	}
	next := claimRow{Holder: c.self.Node, Incarnation: c.self.Incarnation, Fence: max(previous.Fence, row.Era<<eraBits) + 1}
	value, err := json.Marshal(next)
	if err != nil {
		return Claim{}, merry.Wrap(err)
	}
	requestedAt := c.clock.Now()
	err = c.store.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: key, Version: row.Version, Era: row.Era}},
		Writes: []burdockyard.Write{{Key: key, Value: value}},
	})
	if errors.Is(err, burdockyard.ErrConflict) || errors.Is(err, burdockyard.ErrUnavailable) || errors.Is(err, burdockyard.ErrEraChanged) {
		return Claim{}, err
	}
	if err != nil {
		// The write may or may not have happened, or may still happen later. Only a
		// row with this claim's value proves that the claim is held.
		storedRow, stored, readErr := c.read(ctx, key)
		if readErr != nil || stored != next || storedRow.Era != row.Era {
			return Claim{}, errors.Join(err, readErr)
		}
	}
	return Claim{engine: engine, fence: next.Fence, era: row.Era, requestedAt: requestedAt}, nil
}

func (c *Claimer) read(ctx context.Context, key string) (burdockyard.Row, claimRow, error) {
	var r claimRow
	rows, err := c.store.Get(ctx, key)
	if err != nil {
		return burdockyard.Row{}, r, err
	}
	if rows[0].Exists() {
		if err := json.Unmarshal(rows[0].Value, &r); err != nil {
			return rows[0], r, fmt.Errorf("decoding claim row %s: %w", key, err)
		}
	}
	return rows[0], r, nil
}

// ObserveEra records that this node has seen an era of the store. It returns true if the
// node has seen an older one before.
func (c *Claimer) ObserveEra(era uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.eraSince.IsZero() && era <= c.era {
		return false
	}
	changed := !c.eraSince.IsZero()
	c.era, c.eraSince = era, c.clock.Now()
	clear(c.observed) // versions of different eras can't be compared
	return changed
}

// isEraNew reports whether the era is outdated, or began so lately that claims of the
// era before it may still be acted on. A store that tells no era is never restored.
func (c *Claimer) isEraNew(era uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return era != c.era || era > 0 && c.clock.Now().Sub(c.eraSince) < 2*c.ttl
}

// unchangedDuration returns how long this node has seen the engine's row at the given
// version.
func (c *Claimer) unchangedDuration(engine burdockyard.EndpointID, version uint64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if o, ok := c.observed[engine]; !ok || o.version != version {
		c.observed[engine] = observation{version, now}
	}
	return now.Sub(c.observed[engine].since)
}

// IsValid reports whether a claim still allows an order to be sent. Callers check it
// right before they send. If the process is paused between the check and the send,
// only the fencing number prevents an outdated order.
func (c *Claimer) IsValid(claim Claim) bool {
	now := c.clock.Now()
	monotonic := now.Sub(claim.requestedAt)
	wall := now.Round(0).Sub(claim.requestedAt.Round(0)) // without the monotonic reading
	c.mu.Lock()
	outdated := claim.era != c.era
	c.mu.Unlock()
	return claim.fence > 0 && !outdated && monotonic < c.ttl/2 && wall-monotonic < maxClockDivergence
}
