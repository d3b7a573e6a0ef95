// Package byorder gives orders to the engines of a shard, at most one open
// order for each engine, each written down before it is sent.
//
// # Usage
//
//	c := byorder.New(table, clock, keeper, endpoints)
//	err := c.Reconcile(ctx, target) // once a tick for each engine of the shard
//
// # Row
//
// engine/<id> holds the last order: its sequence, the fence of the holder that
// sends it, the state asked for, and whether the engine has concluded it. An
// open order is never replaced. It is sent again, the same, until the engine
// answers; an order is an absolute state, so a second copy does nothing.
package byorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/core/bylease"
)

// fenceShift places the holder's fence above the order's sequence.
const fenceShift = 32

// record is the value of engine/<id>.
type record struct {
	Seq         uint64                  `json:"seq"`
	Fence       uint64                  `json:"fence"`
	ID          string                  `json:"id"`
	State       burdockyard.EngineState `json:"state"`
	Concluded   bool                    `json:"concluded"`
	Incarnation burdockyard.Incarnation `json:"incarnation,omitempty"` // engine that concluded it
}

// Key returns the key of an engine's order row.
func Key(id burdockyard.EndpointID) string { return "engine/" + string(id) }

// Target is the state that an engine should reach.
type Target struct {
	Engine  burdockyard.EndpointID
	Addr    string
	Fencing bool // the engine refuses old fencing numbers
	State   burdockyard.EngineState
}

// Authority tells which grant this process holds.
type Authority interface {
	Grant() (bylease.Grant, bool)
}

// Controller sends the orders of one shard.
type Controller struct {
	table      burdockyard.Table
	clock      burdockyard.Clock
	authority  Authority
	engines    burdockyard.Endpoints
	maxTransit time.Duration

	drainer Gate

	mu             sync.Mutex
	cachedRows     map[burdockyard.EndpointID]cachedRow // rows that this holder wrote last
	inFlight       int                                  // orders on their way
	inTransitUntil map[burdockyard.EndpointID]time.Time // no next order before this time
	onConcluded    func(burdockyard.Order)
}

// Gate tells when an engine is empty enough to be taken away.
type Gate interface {
	// Ready reports whether the engine is empty, and keeps new work from it.
	Ready(id burdockyard.EndpointID) bool
	// Release lets the engine get work again.
	Release(id burdockyard.EndpointID)
}

type noopDrainer struct{}

func (noopDrainer) Ready(burdockyard.EndpointID) bool { return true }
func (noopDrainer) Release(burdockyard.EndpointID)    {}

// Option sets an optional part of a Controller.
type Option func(*Controller)

// WithTransit sets the bound on an order's way to an engine.
func WithTransit(maxTransit time.Duration) Option {
	return func(c *Controller) { c.maxTransit = maxTransit }
}

// WithGate waits for an engine to be empty before an order takes it away.
func WithGate(d Gate) Option { return func(c *Controller) { c.drainer = d } }

// WithObserver calls f for every order that an engine concluded.
func WithObserver(f func(burdockyard.Order)) Option {
	return func(c *Controller) { c.onConcluded = f }
}

// New returns a Controller that acts while authority grants it.
func New(table burdockyard.Table, clock burdockyard.Clock, authority Authority, engines burdockyard.Endpoints, opts ...Option) *Controller {
	c := &Controller{
		table: table, clock: clock, authority: authority, engines: engines,
		maxTransit:     bylease.DefaultTransit,
		inTransitUntil: map[burdockyard.EndpointID]time.Time{},
		onConcluded:    func(burdockyard.Order) {},
		drainer:        noopDrainer{},
		cachedRows:     map[burdockyard.EndpointID]cachedRow{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Quiet reports whether no order of this process can still be on its way, so
// that its lease may be released.
func (c *Controller) Quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight > 0 {
		return false
	}
	now := c.clock.Now()
	for _, until := range c.inTransitUntil {
		if now.Before(until) {
			return false
		}
	}
	return true
}

// Reconcile brings one engine a step nearer to its target: it concludes the
// open order, or writes down and sends the next. ErrNoAuthority, ErrUnproven,
// ErrBusy and ErrOrderOpen tell why nothing was sent or concluded.
func (c *Controller) Reconcile(ctx context.Context, t Target) error {
	grant, err := c.requireGrant(t)
	if err != nil {
		return err
	}
	row, rec, err := c.readRow(ctx, grant, t.Engine)
	if err != nil {
		return err
	}
	if row.Exists() && !rec.Concluded {
		return c.resendOrder(ctx, grant, t, row, rec)
	}
	report, err := c.engines.Engine(t.Addr).Report(ctx)
	if err != nil {
		return err
	}
	if !needsOrder(t, row, rec, report) {
		c.endDrain(t, report)
		c.cacheRow(t.Engine, cachedRow{grant.Fence(), row.Version, rec})
		return nil
	}
	if c.mayBeInTransit(t.Engine) {
		return burdockyard.ErrOrderOpen
	}
	if interruptsService(report.State, t.State) && !c.drainer.Ready(t.Engine) {
		return burdockyard.ErrBusy
	}
	return c.startOrder(ctx, grant, t, row, rec)
}

func (c *Controller) requireGrant(t Target) (bylease.Grant, error) {
	grant, ok := c.authority.Grant()
	if !ok {
		return grant, burdockyard.ErrNoAuthority
	}
	if !t.Fencing && !grant.Settled() {
		return grant, burdockyard.ErrUnproven
	}
	return grant, nil
}

// cachedRow is a concluded row as this process wrote it under a fence. While it
// holds the lease under the same fence nobody else writes the row, so that an
// engine which wants nothing costs no read of the table.
type cachedRow struct {
	fence   uint64
	version uint64
	rec     record
}

func (c *Controller) cacheRow(id burdockyard.EndpointID, k cachedRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cachedRows[id] = k
}

func (c *Controller) takeCachedRow(grant bylease.Grant, id burdockyard.EndpointID) (cachedRow, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.cachedRows[id]
	delete(c.cachedRows, id) // until this step has shown that it still holds
	return k, ok && k.fence == grant.Fence()
}

func (c *Controller) readRow(ctx context.Context, grant bylease.Grant, id burdockyard.EndpointID) (burdockyard.Row, record, error) {
	var rec record
	if k, ok := c.takeCachedRow(grant, id); ok {
		return burdockyard.Row{Key: Key(id), Version: k.version}, k.rec, nil
	}
	rows, err := c.table.Get(ctx, Key(id))
	if err != nil {
		return burdockyard.Row{}, rec, err
	}
	if rows[0].Exists() {
		if err := json.Unmarshal(rows[0].Value, &rec); err != nil {
			return rows[0], rec, merry.Prependf(err, "row %s", rows[0].Key)
		}
	}
	return rows[0], rec, nil
}

// needsOrder reports whether the engine is asked for something new, or has
// restarted and forgotten what it was asked.
func needsOrder(t Target, row burdockyard.Row, rec record, report burdockyard.EngineReport) bool {
	if !row.Exists() || !reflect.DeepEqual(rec.State, t.State) {
		return true
	}
	return report.Incarnation != rec.Incarnation
}

// interruptsService reports whether the engine stops serving, for a while or for good.
// An engine without a model serves nobody yet.
func interruptsService(from, to burdockyard.EngineState) bool {
	if from.Model == "" {
		return false
	}
	return !to.Serving || from.Model != to.Model || from.Version != to.Version || from.Role != to.Role
}

// endDrain lets an engine get work again once its change is over.
func (c *Controller) endDrain(t Target, report burdockyard.EngineReport) {
	if !report.Changing && report.State.Serving {
		c.drainer.Release(t.Engine)
	}
}

// startOrder writes down the next order and sends it.
func (c *Controller) startOrder(ctx context.Context, grant bylease.Grant, t Target, row burdockyard.Row, rec record) error {
	next := record{
		Seq:   rec.Seq + 1,
		Fence: grant.Fence(),
		ID:    fmt.Sprintf("%s-%d-%s", t.Engine, rec.Seq+1, burdockyard.NewRequestID()),
		State: t.State,
	}
	version, err := c.writeRecord(ctx, grant, t.Engine, row.Version, next)
	if err != nil {
		return err
	}
	return c.sendOrder(ctx, grant, t, version, next)
}

// resendOrder sends an open order again, first taking it over from a former holder.
func (c *Controller) resendOrder(ctx context.Context, grant bylease.Grant, t Target, row burdockyard.Row, rec record) error {
	version := row.Version
	if rec.Fence != grant.Fence() {
		rec.Fence = grant.Fence()
		newVersion, err := c.writeRecord(ctx, grant, t.Engine, row.Version, rec)
		if err != nil {
			return err
		}
		version = newVersion
	}
	return c.sendOrder(ctx, grant, t, version, rec)
}

// writeRecord stores the record under the grant's check and returns the row's new version.
func (c *Controller) writeRecord(ctx context.Context, grant bylease.Grant, id burdockyard.EndpointID, version uint64, rec record) (uint64, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	err = c.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{grant.Check(), {Key: Key(id), Version: version}},
		Writes: []burdockyard.Write{{Key: Key(id), Value: value}},
	})
	if err != nil {
		return 0, err // of unknown outcome: the next Reconcile reads what holds
	}
	return version + 1, nil
}

// sendOrder gives the order to the engine and concludes it once it answered.
//
// The fencing number joins the holder's fence and the order's sequence. With
// the fence alone, a copy of order 7 that was delayed on the network would
// still be accepted after order 8 of the same holder.
//
// The sendOrder is counted before the authority is checked for the last time. A
// newer holder that asks this process to yield takes the authority first and
// looks at the count afterwards, so that it finds either the count or an order
// that is never sent.
func (c *Controller) sendOrder(ctx context.Context, grant bylease.Grant, t Target, version uint64, rec record) error {
	order := burdockyard.Order{
		ID: rec.ID, Engine: t.Engine, Fencing: rec.Fence<<fenceShift | rec.Seq, State: rec.State,
	}
	c.startSend()
	if now, ok := c.authority.Grant(); !ok || now.Fence() != grant.Fence() {
		c.endSend(t, burdockyard.ErrNotStarted)
		return burdockyard.ErrNoAuthority
	}
	report, err := c.engines.Engine(t.Addr).Order(ctx, order)
	c.endSend(t, err)
	if err != nil {
		return errors.Join(burdockyard.ErrOrderOpen, err)
	}
	rec.Concluded = true
	rec.Incarnation = report.Incarnation
	if _, err := c.writeRecord(ctx, grant, t.Engine, version, rec); err != nil {
		return err
	}
	c.onConcluded(order)
	return nil
}

func (c *Controller) startSend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight++
}

// endSend notes that a copy of the order may still arrive for a while: one that
// was not answered, and at an engine that ignores fencing numbers even one that
// was, since the network may deliver it twice. A refused or unsent order leaves
// nothing on its way.
func (c *Controller) endSend(t Target, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if errors.Is(err, burdockyard.ErrStaleOrder) || errors.Is(err, burdockyard.ErrNotStarted) {
		return
	}
	if err != nil || !t.Fencing {
		c.inTransitUntil[t.Engine] = c.clock.Now().Add(c.maxTransit)
	}
}

func (c *Controller) mayBeInTransit(id burdockyard.EndpointID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Before(c.inTransitUntil[id])
}
