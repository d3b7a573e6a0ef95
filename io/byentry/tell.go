package byentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/io/bylog"
	"burdockyard/io/bypeer"
)

const (
	// minConcurrentRelays and maxConcurrentRelays limit how many nodes a reading is relayed to
	// concurrently, and maxRelayBytes the bytes that are on their way to them. Each relay takes as
	// long as the peer needs to put the reading in force, so that small ones must not wait for it.
	minConcurrentRelays = 8
	maxConcurrentRelays = 64
	maxRelayBytes       = 1 << 20
	// minRelayTime is how long a relay is of use at least, however old its reading is. The peer
	// may have nothing newer.
	minRelayTime = 400 * time.Millisecond
)

// changesToRelay returns the changes that peers must be told of.
func (w *tableWatcher) changesToRelay(changes []burdockyard.Change) []burdockyard.Change {
	var out []burdockyard.Change
	for _, c := range changes {
		before, ok := w.mirror.Row(c.Row.Key)
		if w.isRoutine == nil || !ok || c.Removed || !w.isRoutine(before, c.Row) {
			out = append(out, c)
		}
	}
	return out
}

// relayToPeers relays a reading to the other nodes of this failure domain. A node
// that lacks earlier changes gets the whole table, unless this node is not the first
// reader of the domain: then the first one sends it, or the node reads it by itself.
func (w *tableWatcher) relayToPeers(ctx context.Context, r bypeer.TableReading, requestedAt time.Time) {
	n := w.node
	isFirstReader := w.rank() == 0
	age := func() time.Duration { return n.clock.Now().Sub(requestedAt) }
	parcel := w.parcelOf(r)
	whole := sync.OnceValue(func() *bypeer.Parcel { return w.parcelOf(w.fullReading(requestedAt)) })
	startedAt := n.clock.Now()
	var sent, failed atomic.Int64
	var group errgroup.Group
	group.SetLimit(min(max(maxRelayBytes/max(parcel.Size(), 1), minConcurrentRelays), maxConcurrentRelays))
	for _, h := range n.view.Alive() {
		if h.Domain != n.settings.Domain {
			continue
		}
		group.Go(func() error {
			callAt := n.clock.Now()
			left := max(w.bound()-age(), minRelayTime)
			peerVersion, err := n.relayClients.Send(ctx, h.Member.Addr, parcel, age, left)
			if err == nil && peerVersion.Compare(r.Version) < 0 && isFirstReader {
				_, err = n.relayClients.Send(ctx, h.Member.Addr, whole(), age, left)
			}
			if err != nil {
				failed.Add(1)
				w.log.Debug("could not relay a reading to a peer", bylog.Str("peer", string(h.Member.Node)), bylog.Millis("took_ms", n.clock.Now().Sub(callAt)), bylog.Err(err))
			} else {
				sent.Add(1)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		w.log.Debug("could not relay a reading", bylog.Err(err))
	}
	n.metrics.Relays(w.table, "done").Add(int(sent.Load()))
	n.metrics.Relays(w.table, "failed").Add(int(failed.Load()))
	if w.table == n.platform.ConfigTable {
		w.log.Info("changes relayed", bylog.Str("table", w.table), bylog.Int("store_version", int(r.Version.Number)), bylog.Int("peers", int(sent.Load())), bylog.Int("failed", int(failed.Load())),
			bylog.Millis("took_ms", n.clock.Now().Sub(startedAt)))
	}
}

// parcelOf returns a reading of this node for its peers. Most of them have the value of its largest
// row that this node had before.
func (w *tableWatcher) parcelOf(r bypeer.TableReading) *bypeer.Parcel {
	largest := largestRow(r.Changes)
	values := w.mirror.Values(largest.Key)
	var expected uint64
	for _, v := range values {
		if v.Version < largest.Version {
			expected = v.Version
			break
		}
	}
	return bypeer.NewParcel(r, largest.Key, values, expected)
}

// largestRow returns the row with the longest value among changes.
func largestRow(changes []burdockyard.Change) burdockyard.Row {
	var largest burdockyard.Row
	for _, c := range changes {
		if !c.Removed && (largest.Key == "" || len(c.Row.Value) > len(largest.Value)) {
			largest = c.Row
		}
	}
	return largest
}

// fullReading returns the whole table as a reading that was requested at requestedAt.
func (w *tableWatcher) fullReading(requestedAt time.Time) bypeer.TableReading {
	rows, version := w.mirror.Rows()
	return bypeer.TableReading{Table: w.table, Version: version, Age: w.node.clock.Now().Sub(requestedAt), Changes: changesOf(rows)}
}

// applyRelayedReading applies a reading relayed by another node. It returns the
// version of the local copy, or zero if this node does not follow the table.
func (n *Node) applyRelayedReading(r bypeer.TableReading) burdockyard.StoreVersion {
	w := n.watcherOf(r.Table)
	if w == nil {
		return burdockyard.StoreVersion{}
	}
	r.Changes = w.redacted(r.Changes) // nodes of earlier versions pass on what they have read
	w.applyReading(r, n.clock.Now().Add(-r.Age-n.guard.ConnWait()), ownDomainPeer)
	return w.mirror.Version()
}

// valuesForPeer returns the values that this node has of a row, the newest first.
func (n *Node) valuesForPeer(table, key string) []burdockyard.Row {
	if w := n.watcherOf(table); w != nil {
		return w.mirror.Values(key)
	}
	return nil
}

// watcherOf returns the watcher of a table, or nil if this node does not follow it.
func (n *Node) watcherOf(table string) *tableWatcher {
	for _, w := range n.watchers {
		if w.table == table {
			return w
		}
	}
	return nil
}
