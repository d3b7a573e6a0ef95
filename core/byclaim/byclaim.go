// Package byclaim lets one node at a time give an order to an engine.
//
// # Usage
//
//	claims := byclaim.New(table, clock, self, byclaim.WithTTL(3*time.Second))
//	claim, err := claims.Take(ctx, engine) // ErrClaimed: ask again later
//	if claims.Holds(claim) { … send one order with claim.Fence() … }
//
// # Why no standing lease
//
// A lease as of core/bylease is renewed all the time, by one node for each shard
// of each service, and pays off where orders come every few seconds. Here an
// order is a rare thing, a few in an hour, while every call of the store is
// counted for all nodes together. So the right is taken anew for each order, by
// one conditional write, and simply lapses.
//
// # Row
//
// orders/<engine> holds the last claim: its holder and its fencing number, which
// rises by one with each claim and is never used again. An engine that checks
// fencing numbers refuses an order that was overtaken. For one that doesn't,
// another node waits until the row has stood unchanged for twice the time that a
// claim lasts, since a row's age can be told only from watching it.
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
	// DefaultTTL is how long a claim lasts, counted from before it was written.
	DefaultTTL = 3 * time.Second
	// maxClockDivergence is the most by which the wall clock may run ahead of the monotonic
	// one while a claim is held. A suspended VM's monotonic clock stands still.
	maxClockDivergence = 200 * time.Millisecond
)

// ErrClaimed tells that another node may still hold the claim.
var ErrClaimed = errors.New("another node may still order this engine")

// tableName is the table of the rows.
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
	requestedAt time.Time // before it was written
}

// Engine returns the engine that may be ordered.
func (c Claim) Engine() burdockyard.EndpointID { return c.engine }

// Fence returns the fencing number of the order.
func (c Claim) Fence() uint64 { return c.fence }

// observation is a row of another holder as this node saw it first.
type observation struct {
	version uint64
	since   time.Time
}

// Claims takes claims for one node. mu is a leaf lock.
type Claims struct {
	store burdockyard.Table
	clock burdockyard.Clock
	self  burdockyard.Member
	ttl   time.Duration

	mu       sync.Mutex
	observed map[burdockyard.EndpointID]observation
}

// Option sets an optional part of Claims.
type Option func(*Claims)

// WithTTL sets how long a claim lasts.
func WithTTL(d time.Duration) Option { return func(c *Claims) { c.ttl = d } }

// New returns Claims that hold nothing.
func New(store burdockyard.Table, clock burdockyard.Clock, self burdockyard.Member, opts ...Option) *Claims {
	c := &Claims{store: store, clock: clock, self: self, ttl: DefaultTTL, observed: map[burdockyard.EndpointID]observation{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Take claims an engine. It returns ErrClaimed while another node may hold it,
// ErrConflict if one was faster, and any other error of the store; in each case
// nothing may be sent.
func (c *Claims) Take(ctx context.Context, engine burdockyard.EndpointID) (Claim, error) {
	key := tableName + "/" + string(engine)
	row, previous, err := c.read(ctx, key)
	if err != nil {
		return Claim{}, err
	}
	if row.Exists() && previous.Holder != c.self.Node && c.unchangedDuration(engine, row.Version) < 2*c.ttl {
		return Claim{}, merry.Wrap(ErrClaimed)
	}
	next := claimRow{Holder: c.self.Node, Incarnation: c.self.Incarnation, Fence: previous.Fence + 1}
	value, err := json.Marshal(next)
	if err != nil {
		return Claim{}, merry.Wrap(err)
	}
	requestedAt := c.clock.Now()
	err = c.store.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: key, Version: row.Version}},
		Writes: []burdockyard.Write{{Key: key, Value: value}},
	})
	if errors.Is(err, burdockyard.ErrConflict) || errors.Is(err, burdockyard.ErrUnavailable) {
		return Claim{}, err
	}
	if err != nil {
		// Unknown whether it was written, and a late write may still come. Only a
		// row that shows this claim proves that it holds.
		_, stored, readErr := c.read(ctx, key)
		if readErr != nil || stored != next {
			return Claim{}, errors.Join(err, readErr)
		}
	}
	return Claim{engine: engine, fence: next.Fence, requestedAt: requestedAt}, nil
}

func (c *Claims) read(ctx context.Context, key string) (burdockyard.Row, claimRow, error) {
	var r claimRow
	rows, err := c.store.Get(ctx, key)
	if err != nil {
		return burdockyard.Row{}, r, err
	}
	if rows[0].Exists() {
		if err := json.Unmarshal(rows[0].Value, &r); err != nil {
			return rows[0], r, fmt.Errorf("row %s: %w", key, err)
		}
	}
	return rows[0], r, nil
}

// unchangedDuration returns how long this node has seen a row at a version.
func (c *Claims) unchangedDuration(engine burdockyard.EndpointID, version uint64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if w, ok := c.observed[engine]; !ok || w.version != version {
		c.observed[engine] = observation{version, now}
	}
	return now.Sub(c.observed[engine].since)
}

// Holds reports whether a claim still allows an order to be sent. It is asked
// right before the send. A process that was paused between the two is stopped by
// the fencing number alone.
func (c *Claims) Holds(claim Claim) bool {
	now := c.clock.Now()
	monotonic := now.Sub(claim.requestedAt)
	wall := now.Round(0).Sub(claim.requestedAt.Round(0)) // without the monotonic reading
	return claim.fence > 0 && monotonic < c.ttl/2 && wall-monotonic < maxClockDivergence
}
