// Package byorder sends orders to the engines of a shard. Each engine has at
// most one pending order, and each order is stored before it is sent.
//
// # Usage
//
//	c := byorder.New(table, clock, keeper, endpoints)
//	err := c.Reconcile(ctx, target) // once a tick for each engine of the shard
//
// # Row
//
// The row engine/<id> holds the engine's last order: its sequence number, the
// fencing number of the lease holder that sends it, the requested state, and
// whether the engine has concluded it. Until then the order is pending. A pending
// order is never replaced. It is resent unchanged until the engine answers. An
// order contains the complete requested state, so a duplicate has no effect.
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

// fenceShift is the number of low bits of an order's fencing number that hold its
// sequence number. The bits above hold the fencing number of the lease holder.
const fenceShift = 32

// record is the JSON value of the row engine/<id>.
type record struct {
	Seq         uint64                  `json:"seq"`
	Fence       uint64                  `json:"fence"`
	ID          string                  `json:"id"`
	State       burdockyard.EngineState `json:"state"`
	Concluded   bool                    `json:"concluded"`
	Incarnation burdockyard.Incarnation `json:"incarnation,omitempty"` // incarnation of the engine that concluded the order
}

// RowKey returns the key of an engine's order row.
func RowKey(id burdockyard.EndpointID) string { return "engine/" + string(id) }

// Target is the desired state of an engine.
type Target struct {
	Engine          burdockyard.EndpointID
	Addr            string
	EnforcesFencing bool // whether the engine rejects orders with an outdated fencing number
	State           burdockyard.EngineState
}

// GrantSource is the source of the lease grant that allows this process to send
// orders.
type GrantSource interface {
	// Grant returns the current grant, and false if the process holds none.
	Grant() (bylease.Grant, bool)
}

// Controller sends the orders of one shard. Reconcile may be called concurrently
// for different engines.
type Controller struct {
	table           burdockyard.Table
	clock           burdockyard.Clock
	grantSource     GrantSource
	engines         burdockyard.EndpointClients
	maxOrderTransit time.Duration

	drainer Drainer

	mu             sync.Mutex
	cachedRows     map[burdockyard.EndpointID]cachedRow // concluded rows, to save reads of the table
	inFlight       int                                  // number of orders being sent
	inTransitUntil map[burdockyard.EndpointID]time.Time // time until which an earlier order may still arrive
	onConcluded    func(burdockyard.Order)
}

// Drainer drains an engine before an order interrupts its service.
type Drainer interface {
	// Ready starts to drain the engine, unless it is draining already, and reports
	// whether it is drained.
	Ready(id burdockyard.EndpointID) bool
	// Release stops draining the engine, so that it gets new calls again.
	Release(id burdockyard.EndpointID)
}

type noopDrainer struct{}

func (noopDrainer) Ready(burdockyard.EndpointID) bool { return true }
func (noopDrainer) Release(burdockyard.EndpointID)    {}

// Option is an optional setting for [New].
type Option func(*Controller)

// WithMaxOrderTransit sets the limit on how long an order can be in transit to an
// engine after its send has ended.
func WithMaxOrderTransit(d time.Duration) Option {
	return func(c *Controller) { c.maxOrderTransit = d }
}

// WithDrainer sets what drains an engine before an order interrupts its service.
// Without it, engines are not drained.
func WithDrainer(d Drainer) Option { return func(c *Controller) { c.drainer = d } }

// WithConcludedFunc sets a function that is called for every concluded order, once
// the table holds the conclusion.
func WithConcludedFunc(f func(burdockyard.Order)) Option {
	return func(c *Controller) { c.onConcluded = f }
}

// New returns a Controller that sends orders only while grantSource returns a
// grant.
func New(table burdockyard.Table, clock burdockyard.Clock, grantSource GrantSource, engines burdockyard.EndpointClients, opts ...Option) *Controller {
	c := &Controller{
		table: table, clock: clock, grantSource: grantSource, engines: engines,
		maxOrderTransit: bylease.DefaultMaxOrderTransit,
		inTransitUntil:  map[burdockyard.EndpointID]time.Time{},
		onConcluded:     func(burdockyard.Order) {},
		drainer:         noopDrainer{},
		cachedRows:      map[burdockyard.EndpointID]cachedRow{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// NoneInTransit reports whether no order of this process can still be in transit.
// Only then may its lease be released.
func (c *Controller) NoneInTransit() bool {
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

// Reconcile takes one step towards an engine's target state: it resends the
// pending order, or stores and sends the next one if the engine needs one. The
// errors ErrNoAuthority, ErrFormerHolderUnproven, ErrEngineBusy and
// ErrOrderPending tell why no order was sent or concluded.
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
		return burdockyard.ErrOrderPending
	}
	if interruptsService(report.State, t.State) && !c.drainer.Ready(t.Engine) {
		return burdockyard.ErrEngineBusy
	}
	return c.startOrder(ctx, grant, t, row, rec)
}

// requireGrant returns the current grant if it allows an order to the target's
// engine. An engine that ignores fencing numbers gets orders only once every
// former lease holder is proved unable to send.
func (c *Controller) requireGrant(t Target) (bylease.Grant, error) {
	grant, ok := c.grantSource.Grant()
	if !ok {
		return grant, burdockyard.ErrNoAuthority
	}
	if !t.EnforcesFencing && !grant.FormerHoldersStopped() {
		return grant, burdockyard.ErrFormerHolderUnproven
	}
	return grant, nil
}

// cachedRow is a concluded row, valid under one fencing number. No other process
// writes the row while this one holds the lease under that number, so an engine
// that needs no order costs no read of the table.
type cachedRow struct {
	fence   uint64
	version uint64
	rec     record
}

func (c *Controller) cacheRow(id burdockyard.EndpointID, row cachedRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cachedRows[id] = row
}

func (c *Controller) takeCachedRow(grant bylease.Grant, id burdockyard.EndpointID) (cachedRow, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row, ok := c.cachedRows[id]
	delete(c.cachedRows, id) // Reconcile stores it again if no order is needed
	return row, ok && row.fence == grant.Fence()
}

func (c *Controller) readRow(ctx context.Context, grant bylease.Grant, id burdockyard.EndpointID) (burdockyard.Row, record, error) {
	var rec record
	if cached, ok := c.takeCachedRow(grant, id); ok {
		return burdockyard.Row{Key: RowKey(id), Version: cached.version}, cached.rec, nil
	}
	rows, err := c.table.Get(ctx, RowKey(id))
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

// needsOrder reports whether the target state differs from the last order, or
// the engine has restarted and so lost the last order.
func needsOrder(t Target, row burdockyard.Row, rec record, report burdockyard.EngineReport) bool {
	if !row.Exists() || !reflect.DeepEqual(rec.State, t.State) {
		return true
	}
	return report.Incarnation != rec.Incarnation
}

// interruptsService reports whether the change of state stops the engine from
// serving, temporarily or permanently. An engine without a model does not serve
// yet.
func interruptsService(from, to burdockyard.EngineState) bool {
	if from.Model == "" {
		return false
	}
	return !to.Serving || from.Model != to.Model || from.Version != to.Version || from.Role != to.Role
}

// endDrain stops draining an engine that serves and has no change in progress.
func (c *Controller) endDrain(t Target, report burdockyard.EngineReport) {
	if !report.Changing && report.State.Serving {
		c.drainer.Release(t.Engine)
	}
}

// startOrder stores the next order, then sends it.
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

// resendOrder sends a pending order again. If a former lease holder stored it,
// resendOrder first stores it under the current fencing number.
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

// writeRecord writes the row, provided that the grant is still valid and the row
// has the given version, and returns the row's new version.
func (c *Controller) writeRecord(ctx context.Context, grant bylease.Grant, id burdockyard.EndpointID, version uint64, rec record) (uint64, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	err = c.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{grant.FenceCheck(), {Key: RowKey(id), Version: version}},
		Writes: []burdockyard.Write{{Key: RowKey(id), Value: value}},
	})
	if err != nil {
		return 0, err // the outcome may be unknown; the next Reconcile reads the row
	}
	return version + 1, nil
}

// sendOrder sends the order to the engine and marks it concluded once the engine
// has answered.
//
// The order's fencing number combines the holder's fencing number with the
// order's sequence number. With the former alone, a duplicate of order 7 that was
// delayed on the network would still be accepted after order 8 of the same
// holder.
//
// The order is counted as in flight before the grant is checked for the last
// time. When a newer holder asks this process to yield, the grant is withdrawn
// first and the count is read afterwards. So either the order is seen in the
// count or it is never sent.
func (c *Controller) sendOrder(ctx context.Context, grant bylease.Grant, t Target, version uint64, rec record) error {
	order := burdockyard.Order{
		ID: rec.ID, Engine: t.Engine, Fencing: rec.Fence<<fenceShift | rec.Seq, State: rec.State,
	}
	c.startSend()
	if latest, ok := c.grantSource.Grant(); !ok || latest.Fence() != grant.Fence() {
		c.endSend(t, burdockyard.ErrNotStarted)
		return burdockyard.ErrNoAuthority
	}
	report, err := c.engines.Engine(t.Addr).Order(ctx, order)
	c.endSend(t, err)
	if err != nil {
		return errors.Join(burdockyard.ErrOrderPending, err)
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

// endSend records until when a copy of the order may still arrive. An order that
// got no answer may still be in transit. At an engine that ignores fencing numbers
// a copy of an answered order matters too, since the network may deliver it twice.
// An order that was rejected as stale or not sent leaves no copy in transit.
func (c *Controller) endSend(t Target, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if errors.Is(err, burdockyard.ErrStaleOrder) || errors.Is(err, burdockyard.ErrNotStarted) {
		return
	}
	if err != nil || !t.EnforcesFencing {
		c.inTransitUntil[t.Engine] = c.clock.Now().Add(c.maxOrderTransit)
	}
}

func (c *Controller) mayBeInTransit(id burdockyard.EndpointID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Before(c.inTransitUntil[id])
}
