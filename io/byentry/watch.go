package byentry

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/core/bymirror"
	"burdockyard/io/bylog"
	"burdockyard/io/bypeer"
)

// Calls of the store are limited for all nodes together, so that one node of each
// failure domain reads and passes on what has changed. Nobody is appointed: each
// node reads by itself once its copy is older than its patience, which grows with
// its rank, and a reading that it hears of counts like one of its own. If the
// first node is cut off, from the store or from its peers, the second one's
// patience ends a moment later.
const (
	// drainShare and configShare are the patience of the first node of a failure
	// domain, as parts of the time in which an endpoint's leaving and a new
	// configuration must have effect everywhere.
	drainShare  = 0.25
	configShare = 0.35
	// secondShare is how much longer the second node waits, and stepShare each
	// further one, up to lastShare, as parts of the same time. The rest is left for
	// a slow store and for work that is on its way.
	secondShare = 0.15
	stepShare   = 0.025
	lastShare   = 0.3
	// retryPause follows a failed call, longer on nodes of a higher rank.
	retryPause = 200 * time.Millisecond
	longPause  = 1500 * time.Millisecond
	// lookEvery is the least time between two looks at a copy's age.
	lookEvery = 20 * time.Millisecond
	// relayWorkers is how many nodes are told at a time.
	relayWorkers = 8
)

// watch follows one table of the store. mu is a leaf lock.
type watch struct {
	node   *Node
	table  string
	bound  func() time.Duration // in which a change must have effect
	share  float64              // of the bound between two readings, on the node that reads first
	log    bylog.Logger
	mirror *bymirror.Mirror
	apply  func(d bymirror.Delta, asked time.Time)

	mu    sync.Mutex
	asked time.Time // when the newest reading was asked for
	lost  bool      // the last call failed
}

func newWatch(n *Node, table string, bound func() time.Duration, share float64, log bylog.Logger, apply func(bymirror.Delta, time.Time)) *watch {
	return &watch{node: n, table: table, bound: bound, share: share, log: log, mirror: bymirror.New(), apply: apply}
}

func (w *watch) age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asked.IsZero() {
		return w.bound()
	}
	return w.node.clock.Now().Sub(w.asked)
}

func (w *watch) note(asked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if asked.After(w.asked) {
		w.asked = asked
	}
}

// patience is the age from which on this node reads by itself.
func (w *watch) patience(rank int) time.Duration {
	share := w.share
	if rank > 0 {
		share += min(secondShare+float64(rank-1)*stepShare, lastShare)
	}
	return part(w.bound(), share)
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

func (w *watch) rank() int {
	n := w.node
	return n.view.RankByCapacity("reader", n.settings.Domain, n.tuning.Load().Capacity)
}

// run reads whenever the copy is too old, until ctx ends.
func (w *watch) run(ctx context.Context) error {
	for ctx.Err() == nil {
		rank := w.rank()
		if left := w.patience(rank) - w.age(); left > 0 {
			sleep(ctx, max(left, lookEvery))
			continue
		}
		if err := w.read(ctx); err != nil {
			sleep(ctx, min(retryPause*time.Duration(1+rank), longPause))
		}
	}
	return nil
}

// read reads the store once and passes on what it has learnt.
func (w *watch) read(ctx context.Context) error {
	asked := w.node.clock.Now()
	from := w.mirror.Version()
	changes, version, err := w.fetch(ctx, from)
	if errors.Is(err, burdockyard.ErrHistoryGone) {
		from = 0
		changes, version, err = w.fetch(ctx, 0)
	}
	w.noteStore(err)
	if err != nil {
		return err
	}
	r := bypeer.Reading{Table: w.table, From: from, Version: version, Changes: changes}
	w.take(r, asked)
	w.pass(ctx, r, asked)
	return nil
}

// fetch returns what has changed since a version, or the whole table after 0.
func (w *watch) fetch(ctx context.Context, from uint64) ([]burdockyard.Change, uint64, error) {
	registry := w.node.platform.Registry
	if from > 0 {
		snap, err := registry.Changes(ctx, w.table, from, 0)
		return snap.Changes, snap.Version, err
	}
	snap, err := registry.Scan(ctx, w.table)
	changes := make([]burdockyard.Change, 0, len(snap.Rows))
	for _, row := range snap.Rows {
		changes = append(changes, burdockyard.Change{Row: row})
	}
	return changes, snap.Version, err
}

// take brings the copy up to a reading that was asked for at a time. It returns
// false if changes before the reading are missing.
func (w *watch) take(r bypeer.Reading, asked time.Time) bool {
	var d bymirror.Delta
	ok := true
	if r.From == 0 {
		rows := make([]burdockyard.Row, 0, len(r.Changes))
		for _, c := range r.Changes {
			rows = append(rows, c.Row)
		}
		d = w.mirror.Whole(rows, r.Version)
	} else {
		d, ok = w.mirror.Advance(r.Changes, r.From, r.Version)
	}
	if ok {
		w.apply(d, asked)
		w.note(asked)
	}
	return ok
}

// pass tells the other nodes of this failure domain. One that lacks earlier
// changes gets the whole table.
func (w *watch) pass(ctx context.Context, r bypeer.Reading, asked time.Time) {
	n := w.node
	var group errgroup.Group
	group.SetLimit(relayWorkers)
	for _, b := range n.view.Alive() {
		if b.Domain != n.settings.Domain {
			continue
		}
		group.Go(func() error {
			r := r
			r.Age = n.clock.Now().Sub(asked)
			has, err := n.relays.Tell(ctx, b.Member.Addr, r)
			if err == nil && has < r.From {
				_, err = n.relays.Tell(ctx, b.Member.Addr, w.whole(asked))
			}
			if err != nil {
				w.log.Debug("reading not passed on", bylog.Str("peer", string(b.Member.Node)), bylog.Err(err))
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		w.log.Debug("readings not passed on", bylog.Err(err))
	}
}

func (w *watch) whole(asked time.Time) bypeer.Reading {
	rows, version := w.mirror.Rows()
	r := bypeer.Reading{Table: w.table, Version: version, Age: w.node.clock.Now().Sub(asked)}
	for _, row := range rows {
		r.Changes = append(r.Changes, burdockyard.Change{Row: row})
	}
	return r
}

// noteStore logs when the store is lost and when it is back.
func (w *watch) noteStore(err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	w.node.metrics.StoreCall(w.table, outcome).Inc()
	w.mu.Lock()
	was := w.lost
	w.lost = err != nil
	w.mu.Unlock()
	switch {
	case err != nil && !was:
		w.log.Warn("store lost", bylog.Str("table", w.table), bylog.Err(err))
	case err == nil && was:
		w.log.Info("store regained", bylog.Str("table", w.table), bylog.Int("version", int(w.mirror.Version())))
	}
}

// takeRelayed takes in what another node has read.
func (n *Node) takeRelayed(r bypeer.Reading) uint64 {
	for _, w := range n.watches {
		if w.table == r.Table {
			w.take(r, n.clock.Now().Add(-r.Age))
			return w.mirror.Version()
		}
	}
	return 0
}

func (n *Node) applyConfig(d bymirror.Delta, _ time.Time) {
	for _, row := range d.Changed {
		if row.Key != n.platform.ConfigKey {
			continue
		}
		config, err := n.platform.DecodeConfig(row.Value)
		if err != nil {
			n.log.config.Warn("configuration not taken, the last one stays in force", bylog.Int("row_version", int(row.Version)), bylog.Err(err))
			continue
		}
		if n.routes.Offer(config) {
			n.log.config.Info("configuration in force", bylog.Int("version", int(config.Version)), bylog.Int("routes", len(config.Routes)))
		}
	}
}

func (n *Node) applyInstances(d bymirror.Delta, asked time.Time) {
	var seen []burdockyard.Instance
	var removed []burdockyard.EndpointID
	for _, row := range d.Changed {
		in, err := n.platform.DecodeInstance(row)
		if err != nil {
			n.log.fleet.Debug("entry names no endpoint", bylog.Str("row", row.Key), bylog.Err(err))
			removed = append(removed, n.instanceID(row.Key))
			continue
		}
		seen = append(seen, in)
	}
	for _, key := range d.Removed {
		removed = append(removed, n.instanceID(key))
	}
	n.fleet.Apply(seen, removed, asked)
}

func (n *Node) instanceID(key string) burdockyard.EndpointID {
	return burdockyard.EndpointID(key[len(n.platform.InstanceTable)+1:])
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
