package byentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"burdockyard"
	"burdockyard/core/bymember"
	"burdockyard/core/byturn"
	"burdockyard/io/bylog"
	"burdockyard/io/bypeer"
)

// A node has only what its peers relay until it reads the store by itself, and relayed readings get
// lost: a node that lacks one rejects those that build on it. While it hears that peers go by a newer
// configuration, or while the store turns it away, it asks other nodes for what it lacks. They
// need not read the store themselves, as each of them has what reached any of its peers. The
// store is read only for what no peer has brought: it answers with whole rows.

// askRank is the rank at whose maximum age a node asks its peers while the store fails it.
// Asking costs so little that nodes need not take turns.
const askRank = 1

// followPeers asks peers for what has changed in the table while the store fails this node or
// peers have more, until ctx is done.
func (w *tableWatcher) followPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.ask:
		}
		if !w.isStoreFailing() {
			sleep(ctx, fraction(w.bound(), byturn.AskShare(rand.Float64())))
		}
		for asking := byturn.BeginAsking(); ctx.Err() == nil && asking.Goes(w.isStoreFailing(), w.isBehind()); {
			lacks := w.lacksChange()
			isRecent := !lacks && !w.isBehind() && w.age() < w.maxAge(askRank)
			asking.Record(isRecent || w.askPeers(ctx, lacks))
			sleep(ctx, fraction(w.bound(), asking.Wait()))
		}
	}
}

// isStoreFailing reports whether the last store call of this node failed.
func (w *tableWatcher) isStoreFailing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeFailing
}

// isBehind reports whether peers go by more than this node has.
func (w *tableWatcher) isBehind() bool { return w.behind != nil && w.behind() }

// lacksChange reports whether the copy is taken to lack a change that it counts as known.
func (w *tableWatcher) lacksChange() bool {
	if w.lackDue == nil {
		return false
	}
	due, ok := w.lackDue(fraction(w.bound(), byturn.LackShare(0, 1)))
	return ok && due <= 0
}

// askPeers asks a node of this failure domain, and one of another, for what this node lacks. It
// returns true if that made the copy more recent. whole means that the copy may lack a change
// before its version.
func (w *tableWatcher) askPeers(ctx context.Context, whole bool) bool {
	ctx, cancel := context.WithTimeout(ctx, w.bound())
	defer cancel()
	before, versionBefore := w.readAt(), w.mirror.Version()
	for _, h := range w.node.peersToAsk(w.isBehind()) {
		rows, after := w.mirror.Rows()
		q := bypeer.Question{Table: w.table, After: after, Base: largestRow(changesOf(rows))}
		if whole {
			q.After.Number = 0
		}
		// The peer's copy cannot be more recent than its answer says, however long that was on
		// its way.
		askedAt := w.node.clock.Now()
		r, bytes, err := w.node.relayClients.Read(ctx, h.Member.Addr, q)
		took := w.node.clock.Now().Sub(askedAt)
		if err != nil {
			log := bylog.Logger.Debug
			if errors.Is(err, burdockyard.ErrMalformed) {
				log = bylog.Logger.Warn
			}
			log(w.log, "could not read a table from a peer", bylog.Str("table", w.table), bylog.Str("peer", string(h.Member.Node)), bylog.Int("bytes", bytes), bylog.Millis("took_ms", took), bylog.Err(err))
			continue
		}
		requestedAt := askedAt.Add(-r.Age)
		if r.ChangedSince.Number > 0 && len(r.Changes) == 0 {
			w.applyConfirmation(bypeer.Confirmation{ChangedSince: q.After, Version: r.Version}, requestedAt, string(h.Member.Node))
		} else {
			r.Changes = w.redacted(r.Changes)
			w.applyReading(r, requestedAt, string(h.Member.Node))
		}
		if w.readAt().After(before) || w.mirror.Version().Compare(versionBefore) > 0 {
			if whole {
				w.onWholeRead()
			}
			if len(r.Changes) > 0 {
				w.log.Info("changes read from a peer", bylog.Str("table", w.table), bylog.Str("peer", string(h.Member.Node)), bylog.Int("rows", len(r.Changes)),
					bylog.Int("after", int(q.After.Number)), bylog.Int("version", int(r.Version.Number)), bylog.Int("bytes", bytes), bylog.Millis("took_ms", took))
			}
			return true
		}
	}
	return false
}

// peersToAsk returns a random node of this failure domain and one of another, as far as there
// are any. If this node is behind, they go by a newer configuration.
func (n *Node) peersToAsk(behind bool) []bymember.Heartbeat {
	var peers []bymember.Heartbeat
	alive := n.view.Alive()
	if behind {
		own := n.configVersion()
		alive = slices.DeleteFunc(alive, func(h bymember.Heartbeat) bool { return h.Generation <= own })
	}
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
	if w := n.watcherOf(table); w != nil {
		return w.readingSince(after)
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
