package byentry

import (
	"context"
	"math/rand/v2"

	"burdockyard"
	"burdockyard/core/bymember"
	"burdockyard/io/bylog"
	"burdockyard/io/bypeer"
)

// The store may turn some nodes away while it serves the others. Such a node has only what its
// peers relay, and relayed readings get lost: a node that lacks one rejects those that build on
// it. It therefore asks other nodes for what it lacks. They need not read the store themselves,
// as each of them has what reached any of its peers.
const (
	// askRank is the rank at whose maximum age a node asks its peers. Asking costs so little
	// that nodes need not take turns.
	askRank = 1
	// minAskShare and maxAskShare are the shortest and the longest time between two questions,
	// as fractions of the bound. It doubles while they bring nothing: then the store serves
	// nobody, and all nodes ask.
	minAskShare = 0.1
	maxAskShare = 0.4
)

// followPeers asks peers for what has changed in the table while the store fails this node,
// until ctx is done.
func (w *tableWatcher) followPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.storeLost:
		}
		for share := minAskShare; ctx.Err() == nil && w.isStoreFailing(); {
			lacks := w.lacksChange()
			switch {
			case !lacks && w.age() < w.maxAge(askRank):
				share = minAskShare
			case w.askPeers(ctx, lacks):
				share = minAskShare
			default:
				share = min(2*share, maxAskShare)
			}
			sleep(ctx, fraction(w.bound(), share))
		}
	}
}

// isStoreFailing reports whether the last store call of this node failed.
func (w *tableWatcher) isStoreFailing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeFailing
}

// lacksChange reports whether the copy is taken to lack a change that it counts as known.
func (w *tableWatcher) lacksChange() bool {
	if w.lackDue == nil {
		return false
	}
	due, ok := w.lackDue()
	return ok && due <= 0
}

// askPeers asks a node of this failure domain, and one of another, for what this node lacks. It
// returns true if that made the copy more recent. whole means that the copy may lack a change
// before its version.
func (w *tableWatcher) askPeers(ctx context.Context, whole bool) bool {
	before := w.readAt()
	for _, h := range w.node.peersToAsk() {
		after := w.mirror.Version()
		if whole {
			after = burdockyard.StoreVersion{}
		}
		// The peer's copy cannot be more recent than its answer says, however long that was on
		// its way.
		askedAt := w.node.clock.Now()
		r, err := w.node.relayClients.Read(ctx, h.Member.Addr, w.table, after)
		if err != nil {
			w.log.Debug("could not read a table from a peer", bylog.Str("table", w.table), bylog.Str("peer", string(h.Member.Node)), bylog.Err(err))
			continue
		}
		requestedAt := askedAt.Add(-r.Age)
		if r.ChangedSince.Number > 0 && len(r.Changes) == 0 {
			w.applyConfirmation(bypeer.Confirmation{ChangedSince: after, Version: r.Version}, requestedAt, string(h.Member.Node))
		} else {
			r.Changes = w.redacted(r.Changes)
			w.applyReading(r, requestedAt, string(h.Member.Node))
		}
		if w.readAt().After(before) {
			if whole {
				w.onWholeRead()
			}
			if len(r.Changes) > 0 {
				w.log.Info("changes read from a peer", bylog.Str("table", w.table), bylog.Str("peer", string(h.Member.Node)), bylog.Int("rows", len(r.Changes)),
					bylog.Int("after", int(after.Number)), bylog.Int("version", int(r.Version.Number)))
			}
			return true
		}
	}
	return false
}

// peersToAsk returns a random node of this failure domain and one of another, as far as there
// are any.
func (n *Node) peersToAsk() []bymember.Heartbeat {
	var peers []bymember.Heartbeat
	alive := n.view.Alive()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	for _, own := range []bool{true, false} {
		for _, h := range alive {
			if (h.Domain == n.settings.Domain) == own && !h.Leaving {
				peers = append(peers, h)
				break
			}
		}
	}
	return peers
}

// readingForPeer returns what this node has read of a table that a copy of the given version
// lacks.
func (n *Node) readingForPeer(table string, after burdockyard.StoreVersion) bypeer.TableReading {
	for _, w := range n.watchers {
		if w.table == table {
			return w.readingSince(after)
		}
	}
	return bypeer.TableReading{Table: table}
}

// readingSince returns what a copy of the given version lacks. Its Version is zero if this node
// has no copy.
func (w *tableWatcher) readingSince(after burdockyard.StoreVersion) bypeer.TableReading {
	r := bypeer.TableReading{Table: w.table}
	requestedAt := w.readAt() // read first: rows that come in meanwhile are more recent
	if requestedAt.IsZero() {
		return r
	}
	r.Changes, r.ChangedSince, r.Version = w.mirror.ChangesSince(after)
	r.Age = w.node.clock.Now().Sub(requestedAt)
	return r
}
