package byentry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/bymirror"
	"burdockyard/core/byturn"
	"burdockyard/io/bylog"
	"burdockyard/io/bypeer"
)

// The store limits the call rate of all nodes together, so one node per failure
// domain polls it and relays the changes to the others. There is no elected leader:
// each node polls the store once its copy exceeds a maximum age that grows with the
// node's rank, and a relayed reading refreshes the copy like a poll of its own. If
// the first node loses its connection to the store or to its peers, the copy of the
// second node reaches its maximum age shortly afterwards. A node that the store turns away
// asks its peers; see followPeers.
//
// Endpoints count up a number in their rows about once a second. Peers are not told of
// changes in which nothing else is new: a datagram tells them that their copy is still
// up to date.
const (
	// drainMaxAgeShare is the maximum age of the first node's copy of the instance
	// table, as a fraction of the time within which all nodes must stop sending
	// requests to a leaving endpoint.
	drainMaxAgeShare = 0.25
	// configMaxAgeShare is the maximum age of the first node's copy of the
	// configuration table, as a fraction of the time within which all nodes must apply
	// a new configuration.
	configMaxAgeShare = 0.35
	// baseRetryDelay is the delay after a failed store call on the first node. It is
	// multiplied by the rank plus one, up to maxRetryDelay.
	baseRetryDelay = 200 * time.Millisecond
	// maxRetryDelay is the longest delay after a failed store call.
	maxRetryDelay = 1500 * time.Millisecond
	// restoringNodes is the number of nodes in a failure domain that write the records of the
	// quarantine again after the store has been restored from an older copy.
	restoringNodes = 2
	// minAgeCheckInterval is the shortest interval between two checks of a copy's age.
	minAgeCheckInterval = 20 * time.Millisecond
)

// tableWatcher keeps a local copy of one store table up to date. mu is a leaf lock.
type tableWatcher struct {
	node        *Node
	table       string
	bound       func() time.Duration // returns the time within which a change must take effect on all nodes
	maxAgeShare float64              // maximum age of the copy on the node of rank 0, as a fraction of bound
	log         bylog.Logger
	mirror      *bymirror.Mirror
	apply       func(d bymirror.Delta, requestedAt time.Time)
	isRoutine   func(before, after burdockyard.Row) bool        // whether peers need not be told of a change; nil if of none
	onCopy      func(burdockyard.StoreVersion)                  // called with the version whose rows apply has seen; nil if not needed
	onReading   func(burdockyard.StoreVersion, time.Time)       // called after a reading of this node was applied, with when it was requested
	proofDue    func(rank int) time.Duration                    // returns the time until this node must read the store to prove how recent its copy is; nil if it need not
	lagDue      func(after time.Duration) (time.Duration, bool) // returns how long this node may wait after its peers knew more than it does, less the time for which they have; false if they do not; nil if that cannot be told
	behind      func() bool                                     // reports whether peers go by more than this node has; nil if that cannot be told
	onPoll      func()                                          // called after each reading of changes; nil if not needed
	lackDue     func(after time.Duration) (time.Duration, bool) // returns how long this node may wait, as lagDue does, until its copy is taken to lack a change that it counts as known; nil if that cannot be told
	onWholeRead func()                                          // called after the whole table was read on that account
	redact      func(burdockyard.Row) burdockyard.Row           // removes what this process must not keep; nil if rows hold nothing such

	// applying keeps the copy from being ahead of what apply has seen. It is held while
	// rows are applied, and taken before all other locks.
	applying sync.Mutex

	mu           sync.Mutex
	waitsSince   time.Time // since when this node waits for the first reading of a peer; zero if it does not wait
	requestedAt  time.Time // when the newest reading was requested from the store, by this node or another
	readBy       string    // who has requested it: the node itself, a peer, or ownDomainPeer
	storeFailing bool      // whether the last store call of this node failed

	ask  chan struct{} // receives when store calls begin to fail, or peers are known to have more
	wake chan struct{} // receives when peers are known to have more
}

func newTableWatcher(n *Node, table string, bound func() time.Duration, share float64, log bylog.Logger, apply func(bymirror.Delta, time.Time)) *tableWatcher {
	return &tableWatcher{node: n, table: table, bound: bound, maxAgeShare: share, log: log, mirror: bymirror.New(), apply: apply, ask: make(chan struct{}, 1), wake: make(chan struct{}, 1)}
}

// waitForPeers makes the first poll wait as if there had been a reading at the given
// time.
func (w *tableWatcher) waitForPeers(since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitsSince = since
}

// age returns the time since the newest reading was requested, or the bound if there
// has been none. At the first start of the whole system, the time until the first
// reading counts from when all nodes should have registered.
func (w *tableWatcher) age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.requestedAt.IsZero() && w.waitsSince.IsZero():
		return w.bound()
	case w.requestedAt.IsZero():
		return w.node.clock.Now().Sub(w.waitsSince)
	}
	return w.node.clock.Now().Sub(w.requestedAt)
}

// readAt returns when the newest reading was requested, or the zero time if there has been
// none.
func (w *tableWatcher) readAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requestedAt
}

// ownDomainPeer stands for the sender of a relayed reading, which does not name it.
const ownDomainPeer = "peer"

// recordRequest records when a reading was requested, and by whom, unless a newer one is
// known.
func (w *tableWatcher) recordRequest(requestedAt time.Time, by string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if requestedAt.After(w.requestedAt) {
		w.requestedAt, w.readBy = requestedAt, by
	}
}

// copyFields returns the log fields that tell how recent the copy is, and by whose word.
func (w *tableWatcher) copyFields() []bylog.Field {
	version := w.mirror.Version()
	w.mu.Lock()
	requestedAt, by := w.requestedAt, w.readBy
	w.mu.Unlock()
	fields := []bylog.Field{bylog.Int("store_era", int(version.Era)), bylog.Int("store_version", int(version.Number)), bylog.Str("read_by", by)}
	if !requestedAt.IsZero() {
		fields = append(fields, bylog.Millis("read_age_ms", w.node.clock.Now().Sub(requestedAt)))
	}
	return fields
}

// maxAge returns the age of the copy at which a node of the given rank polls the
// store.
func (w *tableWatcher) maxAge(rank int) time.Duration {
	return fraction(w.bound(), w.maxAgeShare+byturn.RankShare(rank))
}

// fraction returns the given fraction of d.
func fraction(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

// domainSize returns the number of known nodes of this failure domain, this one included.
func (n *Node) domainSize() int {
	sameDomain, _ := n.peers.countByDomain()
	return sameDomain + 1
}

// rank returns this node's rank, from 0, among the nodes of its failure domain.
func (w *tableWatcher) rank() int {
	n := w.node
	return n.view.RankByCapacity("reader", n.settings.Domain, n.reloadableSettings.Load().Capacity)
}

// run polls the store whenever the copy exceeds its maximum age, until ctx is done.
func (w *tableWatcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		rank, nodes := w.rank(), w.node.domainSize()
		read := w.poll
		left := w.maxAge(rank) - w.age()
		if w.proofDue != nil {
			left = min(left, w.proofDue(rank))
		}
		if w.lagDue != nil {
			if due, ok := w.lagDue(fraction(w.bound(), byturn.LagShare(rank, nodes))); ok {
				left = min(left, due)
			}
		}
		if w.lackDue != nil {
			if due, ok := w.lackDue(fraction(w.bound(), byturn.LackShare(rank, nodes))); ok {
				left = min(left, due)
				if due <= 0 {
					read = w.readWhole
				}
			}
		}
		if left > 0 {
			w.sleepUntilWoken(ctx, max(left, minAgeCheckInterval))
			continue
		}
		if err := read(ctx); err != nil {
			sleep(ctx, min(baseRetryDelay*time.Duration(1+rank), maxRetryDelay))
		}
	}
	return nil
}

// wakeUp makes run and followPeers check what is due.
func (w *tableWatcher) wakeUp() {
	notify(w.wake)
	notify(w.ask)
}

// notify sends to a channel with room for one value, unless it holds one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleepUntilWoken waits for d, until wakeUp is called, or until ctx is done.
func (w *tableWatcher) sleepUntilWoken(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.wake:
	case <-ctx.Done():
	}
}

// poll reads the store once, applies the result, and relays it to the other nodes of
// this failure domain. It reads the whole table if the store no longer keeps the
// changes since the last reading.
func (w *tableWatcher) poll(ctx context.Context) error {
	requestedAt := w.node.clock.Now()
	from := w.mirror.Version()
	changes, version, err := w.fetch(ctx, from)
	if errors.Is(err, burdockyard.ErrHistoryGone) {
		from = burdockyard.StoreVersion{}
		changes, version, err = w.fetch(ctx, from)
	}
	w.recordStoreCall(err)
	if err != nil {
		return err
	}
	isFirst := w.mirror.Version() == burdockyard.StoreVersion{}
	relay, ok := w.applyOwnReading(changes, from, version, requestedAt)
	if !ok {
		return nil // the copy has reached a newer era in the meantime
	}
	if w.onReading != nil {
		w.onReading(version, requestedAt)
	}
	if w.onPoll != nil {
		w.onPoll()
	}
	switch {
	case isFirst && !w.isAwaited():
		// Peers that have no copy either are about to read the store themselves. If each
		// starting node sent the whole table to all others, their links would be full for
		// longer than reading it takes.
	case relay.Whole:
		w.relayToPeers(ctx, w.fullReading(requestedAt), requestedAt)
	case len(relay.Changes) > 0:
		w.relayToPeers(ctx, bypeer.TableReading{Table: w.table, ChangedSince: relay.ChangedSince, Version: version, Changes: relay.Changes}, requestedAt)
	default:
		// Each confirmation starts at the last reading that was relayed, so that a lost one
		// leaves no gap.
		w.node.peers.sendConfirmation(bypeer.Confirmation{
			Table: w.table, ChangedSince: relay.ChangedSince, Version: version, Age: w.node.clock.Now().Sub(requestedAt),
		})
	}
	return nil
}

// applyOwnReading applies a reading of this node: the whole table if from is zero, otherwise
// the changes since then. It returns what the peers are to be told, and false as
// applyReading does.
func (w *tableWatcher) applyOwnReading(changes []burdockyard.Change, from, version burdockyard.StoreVersion, requestedAt time.Time) (bymirror.Relay, bool) {
	w.applying.Lock()
	defer w.applying.Unlock()
	if from.Number == 0 {
		d, ok := w.mirror.ApplyScan(rowsOf(changes), version)
		if ok {
			w.applyDelta(d, version, requestedAt, string(w.node.self.Node))
		}
		return bymirror.Relay{Whole: true}, ok
	}
	d, relay, ok := w.mirror.ReadChanges(changes, w.changesToRelay(changes), from, version)
	if ok {
		w.applyDelta(d, version, requestedAt, string(w.node.self.Node))
	}
	return relay, ok
}

// readWhole reads the whole table, since the copy may lack a change before its version, which a
// reading of later changes does not bring. Peers that lack it as well read for themselves.
func (w *tableWatcher) readWhole(ctx context.Context) error {
	requestedAt := w.node.clock.Now()
	changes, version, err := w.fetch(ctx, burdockyard.StoreVersion{})
	w.recordStoreCall(err)
	if err != nil {
		return err
	}
	before := w.copyFields()
	if _, ok := w.applyOwnReading(changes, burdockyard.StoreVersion{}, version, requestedAt); ok && w.onReading != nil {
		w.onReading(version, requestedAt)
	}
	w.onWholeRead()
	w.log.Warn("peers go by a newer configuration, the whole table was read", before...)
	return nil
}

// isAwaited reports whether peers wait for the first reading of this node, as they do
// when the whole system starts for the first time.
func (w *tableWatcher) isAwaited() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.waitsSince.IsZero()
}

// fetch returns the changes since the version from, or the whole table if from is
// zero, and the version read.
func (w *tableWatcher) fetch(ctx context.Context, from burdockyard.StoreVersion) ([]burdockyard.Change, burdockyard.StoreVersion, error) {
	registry := w.node.platform.Registry
	if from.Number > 0 {
		snap, err := registry.Changes(ctx, w.table, from, 0)
		return w.redacted(snap.Changes), snap.Version, err
	}
	snap, err := registry.Scan(ctx, w.table)
	return w.redacted(changesOf(snap.Rows)), snap.Version, err
}

// redacted removes from changes, in place, what this process must not keep.
func (w *tableWatcher) redacted(changes []burdockyard.Change) []burdockyard.Change {
	if w.redact != nil {
		for i := range changes {
			changes[i].Row = w.redact(changes[i].Row)
		}
	}
	return changes
}

// applyReading applies a reading of a peer that was requested from the store at requestedAt. It
// returns false, and changes nothing, if the copy lacks changes before the
// reading or is of another era.
func (w *tableWatcher) applyReading(r bypeer.TableReading, requestedAt time.Time, by string) bool {
	w.applying.Lock()
	defer w.applying.Unlock()
	var d bymirror.Delta
	var ok bool
	if r.ChangedSince.Number == 0 {
		d, ok = w.mirror.ApplyScan(rowsOf(r.Changes), r.Version)
	} else {
		d, ok = w.mirror.ApplyChanges(r.Changes, r.ChangedSince, r.Version)
	}
	if ok {
		w.applyDelta(d, r.Version, requestedAt, by)
	}
	return ok
}

// applyDelta puts in force what a reading of a version has changed in the copy. The caller
// must hold applying.
func (w *tableWatcher) applyDelta(d bymirror.Delta, version burdockyard.StoreVersion, requestedAt time.Time, by string) {
	if d.EraChanged {
		w.log.Warn("store was restored from an older copy", bylog.Str("table", w.table), bylog.Int("era", int(version.Era)), bylog.Int("version", int(version.Number)))
	}
	w.apply(d, requestedAt)
	if bytes := bytesOf(d.Changed); bytes > 0 && w.table == w.node.platform.ConfigTable {
		w.log.Info("changes applied", bylog.Str("table", w.table), bylog.Str("read_by", by), bylog.Int("store_version", int(version.Number)), bylog.Int("row_bytes", bytes),
			bylog.Millis("read_age_ms", w.node.clock.Now().Sub(requestedAt)))
	}
	w.recordCopy()
	w.recordRequest(requestedAt, by)
	w.node.observeEra(version.Era)
}

// bytesOf returns the size of the values of rows, in bytes.
func bytesOf(rows []burdockyard.Row) int {
	n := 0
	for _, r := range rows {
		n += len(r.Value)
	}
	return n
}

// rowsOf returns the rows of changes that are a whole table.
func rowsOf(changes []burdockyard.Change) []burdockyard.Row {
	rows := make([]burdockyard.Row, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, c.Row)
	}
	return rows
}

// changesOf returns the changes that lead from an empty table to rows.
func changesOf(rows []burdockyard.Row) []burdockyard.Change {
	changes := make([]burdockyard.Change, 0, len(rows))
	for _, r := range rows {
		changes = append(changes, burdockyard.Change{Row: r})
	}
	return changes
}

// recordCopy tells how far apply has seen the table. The caller must hold applying.
func (w *tableWatcher) recordCopy() {
	if w.onCopy != nil {
		w.onCopy(w.mirror.Version())
	}
}

// applyConfirmation records that the copy is still up to date, unless it lacks changes.
func (w *tableWatcher) applyConfirmation(c bypeer.Confirmation, requestedAt time.Time, by string) {
	w.applying.Lock()
	defer w.applying.Unlock()
	if w.mirror.Confirm(c.ChangedSince, c.Version) {
		w.apply(bymirror.Delta{}, requestedAt)
		w.recordCopy()
		w.recordRequest(requestedAt, by)
	}
}

// recordStoreCall counts a store call, and logs when calls begin to fail or succeed
// again.
func (w *tableWatcher) recordStoreCall(err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	w.node.metrics.StoreCalls(w.table, outcome).Inc()
	w.mu.Lock()
	wasFailing := w.storeFailing
	w.storeFailing = err != nil
	w.mu.Unlock()
	switch {
	case err != nil && !wasFailing:
		w.log.Warn("store lost", bylog.Str("table", w.table), bylog.Err(err))
		notify(w.ask)
	case err == nil && wasFailing:
		w.log.Info("store regained", bylog.Str("table", w.table), bylog.Int("era", int(w.mirror.Version().Era)), bylog.Int("version", int(w.mirror.Version().Number)))
	}
}

// applyConfirmation applies a confirmation that another node has sent. Its age includes the
// time for which it may have waited in the socket of this node.
func (n *Node) applyConfirmation(c bypeer.Confirmation, by burdockyard.NodeID) {
	for _, w := range n.watchers {
		if w.table == c.Table {
			w.applyConfirmation(c, n.clock.Now().Add(-c.Age), string(by))
		}
	}
}

// observeEra is called with the era of each reading. A new era means that the store may
// lack rows that this system has written.
func (n *Node) observeEra(era uint64) {
	if !n.roles.claims.ObserveEra(era) {
		return
	}
	if n.view.RankByCapacity("quarantine", n.settings.Domain, n.reloadableSettings.Load().Capacity) < restoringNodes {
		n.quarantine.MarkLost()
		n.records.saveSoon()
	}
	select {
	case n.peers.eraChanged <- struct{}{}:
	default: // the node table is about to be read anyway
	}
}

// applyConfig applies a changed configuration row. An invalid configuration is
// logged, and the previous one stays in force.
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
		if n.routes.Update(config) {
			n.log.config.Info("configuration in force", bylog.Int("version", int(config.Version)), bylog.Int("routes", len(config.Routes)))
			n.warnOfSharedKeys()
		}
	}
}

// applyInstances applies changed rows of the instance table to the fleet. A row that
// cannot be decoded removes its endpoint.
func (n *Node) applyInstances(d bymirror.Delta, requestedAt time.Time) {
	var changed []burdockyard.Instance
	var removed []burdockyard.EndpointID
	for _, row := range d.Changed {
		instance, err := n.platform.DecodeInstance(row)
		if err != nil {
			n.log.fleet.Debug("entry names no endpoint", bylog.Str("row", row.Key), bylog.Err(err))
			removed = append(removed, n.instanceID(row.Key))
			continue
		}
		changed = append(changed, instance)
	}
	for _, key := range d.Removed {
		removed = append(removed, n.instanceID(key))
	}
	if d.EraChanged {
		n.fleet.RecordRestore()
	}
	n.fleet.Apply(changed, removed, requestedAt)
}

// isRoutineUpdate reports whether an endpoint has only counted its sequence number up.
// Right after a restore of the store that is news: it shows that the endpoint lives.
func (n *Node) isRoutineUpdate(before, after burdockyard.Row) bool {
	if n.fleet.WasJustRestored() {
		return false
	}
	old, errOld := n.platform.DecodeInstance(before)
	in, errNew := n.platform.DecodeInstance(after)
	if errOld != nil || errNew != nil || in.Sequence < old.Sequence {
		return false
	}
	old.Sequence, old.LeavesIn = in.Sequence, in.LeavesIn
	return old == in
}

// instanceID returns the endpoint ID in the key of a row of the instance table.
func (n *Node) instanceID(key string) burdockyard.EndpointID {
	return burdockyard.EndpointID(strings.TrimPrefix(key, n.platform.InstanceTable+"/"))
}

// sleep waits for d, or until ctx is done.
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
