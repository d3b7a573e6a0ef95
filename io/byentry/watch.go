package byentry

import (
	"context"
	"errors"
	"time"

	"burdockyard"
	"burdockyard/io/bylog"
)

const (
	// configWait is how long one call waits for a change of the configuration. It
	// bounds how long a connection that has gone silent goes unnoticed.
	configWait = 1000 * time.Millisecond
	// instancesEvery is the time between two readings of the registry. Endpoints
	// that leave must get no work 2 s after they say so.
	instancesEvery = 600 * time.Millisecond
	// retryPause follows a failed call.
	retryPause = 150 * time.Millisecond
)

// follower reads one table: whole at first, then what changes.
type follower struct {
	registry burdockyard.Registry
	table    string
	wait     time.Duration
	version  uint64
	lost     bool // the last call failed
}

// next returns the next reading.
func (f *follower) next(ctx context.Context) (burdockyard.Snapshot, bool, error) {
	if f.version == 0 {
		snap, err := f.registry.Scan(ctx, f.table)
		f.version = snap.Version
		return snap, true, err
	}
	snap, err := f.registry.Changes(ctx, f.table, f.version, f.wait)
	if errors.Is(err, burdockyard.ErrHistoryGone) {
		f.version = 0
		return f.next(ctx)
	}
	if err == nil {
		f.version = snap.Version
	}
	return snap, false, err
}

// note logs when the store is lost and when it is back.
func (f *follower) note(l bylog.Logger, err error) {
	switch {
	case err != nil && !f.lost:
		f.lost = true
		l.Warn("store lost", bylog.Str("table", f.table), bylog.Err(err))
	case err == nil && f.lost:
		f.lost = false
		l.Info("store regained", bylog.Str("table", f.table), bylog.Int("version", int(f.version)))
	}
}

func (n *Node) followConfig(ctx context.Context) error {
	f := &follower{registry: n.platform.Registry, table: n.platform.ConfigTable, wait: configWait}
	for ctx.Err() == nil {
		snap, _, err := f.next(ctx)
		f.note(n.log.config, err)
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		for _, row := range snap.Rows {
			n.offerConfig(row)
		}
		for _, c := range snap.Changes {
			if !c.Removed {
				n.offerConfig(c.Row)
			}
		}
		if n.routes.Current() == nil {
			sleep(ctx, retryPause)
		}
	}
	return nil
}

func (n *Node) offerConfig(row burdockyard.Row) {
	if row.Key != n.platform.ConfigKey {
		return
	}
	config, err := n.platform.DecodeConfig(row.Value)
	if err != nil {
		n.log.config.Warn("configuration not taken, the last one stays in force", bylog.Int("row_version", int(row.Version)), bylog.Err(err))
		return
	}
	if n.routes.Offer(config) {
		n.log.config.Info("configuration in force", bylog.Int("version", int(config.Version)), bylog.Int("routes", len(config.Routes)))
	}
}

func (n *Node) followInstances(ctx context.Context) error {
	f := &follower{registry: n.platform.Registry, table: n.platform.InstanceTable}
	for ctx.Err() == nil {
		asked := n.clock.Now()
		snap, whole, err := f.next(ctx)
		f.note(n.log.fleet, err)
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		n.takeInstances(snap, whole, asked)
		sleep(ctx, instancesEvery-n.clock.Now().Sub(asked))
	}
	return nil
}

func (n *Node) takeInstances(snap burdockyard.Snapshot, whole bool, asked time.Time) {
	var seen []burdockyard.Instance
	var removed []burdockyard.EndpointID
	add := func(row burdockyard.Row) {
		in, err := n.platform.DecodeInstance(row)
		if err != nil {
			n.log.fleet.Debug("entry names no endpoint", bylog.Str("row", row.Key), bylog.Err(err))
			return
		}
		seen = append(seen, in)
	}
	for _, row := range snap.Rows {
		add(row)
	}
	for _, c := range snap.Changes {
		if c.Removed {
			removed = append(removed, n.instanceID(c.Row))
		} else {
			add(c.Row)
		}
	}
	if whole {
		n.fleet.SeeAll(seen, asked)
	} else {
		n.fleet.Apply(seen, removed, asked)
	}
}

func (n *Node) instanceID(row burdockyard.Row) burdockyard.EndpointID {
	return burdockyard.EndpointID(row.Key[len(n.platform.InstanceTable)+1:])
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
