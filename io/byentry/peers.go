package byentry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"burdockyard"
	"burdockyard/core/byarrival"
	"burdockyard/core/bydigest"
	"burdockyard/core/bymember"
	"burdockyard/core/byreach"
	"burdockyard/io/bygossip"
	"burdockyard/io/bylog"
	"burdockyard/io/bypeer"
)

const (
	// nodeTable is the store table with one row per node, from which a starting
	// node discovers the others.
	nodeTable = "nodes"
	// minHeartbeatInterval is the shortest interval between two heartbeats. It applies
	// while the load of long prompts changes.
	minHeartbeatInterval = 20 * time.Millisecond
	// baseHeartbeatInterval is the base interval of periodic heartbeats. Each receiving
	// peer lengthens it, up to maxHeartbeatInterval: by sameDomainPeerInterval in the
	// same failure domain and by otherDomainPeerInterval in others. The same domain
	// gets heartbeats more often because its nodes prefer the same engines.
	baseHeartbeatInterval = 20 * time.Millisecond
	// sameDomainPeerInterval is added to the heartbeat interval for each peer in the
	// same failure domain.
	sameDomainPeerInterval = 2 * time.Millisecond
	// otherDomainPeerInterval is added to the heartbeat interval for each peer in
	// another failure domain.
	otherDomainPeerInterval = 6 * time.Millisecond
	// maxHeartbeatInterval is the longest interval between two heartbeats.
	maxHeartbeatInterval = 500 * time.Millisecond
	// nodeScanInterval is the interval between two scans of the node table. A starting
	// node sends heartbeats to every node that it finds there, so later scans rarely
	// find anything new.
	nodeScanInterval = time.Minute
	// registrationTime is the time over which the nodes spread their first writes to the
	// node table when the whole system starts. The store limits the writes to one part.
	registrationTime = 1500 * time.Millisecond
	// firstScanSpread is the time over which the nodes then spread their scans of the
	// node table, the largest VMs first. A node that has heard of others by then needs
	// no scan.
	firstScanSpread = 3 * time.Second
	// unreachableAfter is how long after its last heartbeat a node counts as
	// unreachable, and its address is no longer returned to callers.
	unreachableAfter = 1200 * time.Millisecond
	// forgetAfter is how long after its last heartbeat a node still gets heartbeats
	// from this node. Its row is removed afterwards.
	forgetAfter = 2 * time.Minute
	// deregisterTimeout limits the removal of this node's row.
	deregisterTimeout = 300 * time.Millisecond
	// maxDirectoryAddresses limits the number of addresses in a directory response.
	maxDirectoryAddresses = 64
	// maxNodeRowBytes limits the size of a row in the node table.
	maxNodeRowBytes = 4 << 10
)

// nodeRow is the JSON value of a row in the node table.
type nodeRow struct {
	Incarnation burdockyard.Incarnation `json:"incarnation"`
	Addr        string                  `json:"addr"` // address for heartbeats and relayed table readings from other nodes
	Domain      string                  `json:"domain"`
	Capacity    float64                 `json:"capacity"` // as in bymember.Heartbeat
}

// decodeNodeRow decodes a row of the node table. Other writers have access to it.
func decodeNodeRow(row burdockyard.Row) (nodeRow, error) {
	var r nodeRow
	if len(row.Value) > maxNodeRowBytes {
		return r, fmt.Errorf("%d bytes; expected at most %d", len(row.Value), maxNodeRowBytes)
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, err
	}
	if addr, err := netip.ParseAddrPort(r.Addr); err != nil || addr.Port() == 0 {
		return r, errors.New("addr is not an IP address and a port")
	}
	return r, nil
}

// peers exchanges heartbeats with the other nodes and tracks which of them are
// known. mu is a leaf lock.
type peers struct {
	node   *Node
	gossip *bygossip.Gossip
	send   func(d bypeer.Datagram, addrs []netip.AddrPort) // Gossip.Send, except in tests

	scanned    atomic.Bool   // whether the node table has been read
	eraChanged chan struct{} // has an element once the store has been restored
	wake       chan struct{} // has an element once there is news for which peers must not wait

	mu        sync.Mutex
	known     map[burdockyard.NodeID]*peer
	reachable map[burdockyard.NodeID]bool // nodes that were reachable at the last call of logReachability
	topology  topology                    // latest result of currentTopology

	relay relayState

	oddRows oddRows // used by registerLoop only
}

// peer is another node, known from its heartbeats or from the node table.
type peer struct {
	addr          netip.AddrPort
	domain        string
	inOtherDomain bool      // whether the node is in another failure domain
	capacity      float64   // as in bymember.Heartbeat
	leaving       bool      // whether the node is shutting down
	lastSeen      time.Time // time of the last heartbeat, or else of the first discovery in the table
}

func newPeers(n *Node) *peers {
	return &peers{
		node: n, eraChanged: make(chan struct{}, 1), wake: make(chan struct{}, 1), known: map[burdockyard.NodeID]*peer{}, reachable: map[burdockyard.NodeID]bool{},
		relay: relayState{aggregator: bydigest.New(n.clock, n.settings.Domain), echoes: map[burdockyard.NodeID]time.Time{}},
	}
}

// listen opens the socket for heartbeats.
func (p *peers) listen() error {
	onError := func(err error) { p.node.log.members.Debug("could not send or decode a heartbeat", bylog.Err(err)) }
	onDatagram := func(d bypeer.Datagram, emptyAt time.Time) {
		p.handleDatagram(d.Aged(byarrival.DatagramWait(p.node.clock.Now(), emptyAt)))
	}
	g, err := bygossip.Listen(p.node.settings.PeerAddr, p.node.clock, onDatagram, bygossip.WithErrorHandler(onError), bygossip.WithReadHandler(p.node.observePauses))
	p.gossip, p.send = g, g.Send
	return err
}

// handleDatagram applies a datagram of another node.
func (p *peers) handleDatagram(d bypeer.Datagram) {
	if d.Heartbeat.Seq > 0 {
		p.handleHeartbeat(d.Heartbeat)
	}
	p.handleRelayed(d)
	p.node.duties.handleDatagram(d)
	for _, c := range d.Confirmations {
		p.node.applyConfirmation(c, d.Heartbeat.Member.Node)
	}
	if d.AgeQuery != 0 {
		p.answerAgeQuery(d)
	}
	if r := d.AgeReply; r.Nonce != 0 && r.Table == p.node.configWatcher.table {
		p.node.freshness.RecordReply(r.Nonce, r.Version, r.Age)
	}
}

// handleHeartbeat applies a heartbeat of another node. One that is not newer than
// those before it is ignored: it may have come by a detour.
func (p *peers) handleHeartbeat(h bymember.Heartbeat) {
	n := p.node
	if h.Member.Node == n.self.Node || !n.view.RecordHeartbeat(h) {
		return
	}
	if h.Ready {
		n.records.known.Store(true) // its heartbeats name the quarantined requests
	}
	n.peerVersions.Hear(h.Generation, n.configVersion(), n.freshness.ProvenAt())
	if own := n.configVersion(); own > 0 && h.Ready {
		if n.configLag.Hear(h.Generation, own, n.clock.Now()) {
			n.configWatcher.wakeUp()
		}
	}
	info := peer{domain: h.Domain, capacity: h.Capacity, leaving: h.Leaving, lastSeen: n.clock.Now().Add(-h.Waited)}
	p.recordNode(h.Member.Node, info, h.Member.Addr, true)
	if h.Waited < unreachableAfter {
		n.loadTracker.RecordPeerLoad(h.Member.Node, h.Loads, h.CachedParts)
	}
	if h.Waited < holdRenewalTTL {
		for _, id := range h.HeldEngines {
			n.fleet.Hold(id, holdRenewalTTL-h.Waited)
		}
	}
	for _, e := range h.LeavingEndpoints {
		if n.fleet.MarkLeaving(e.ID, e.BornMS) {
			n.log.fleet.Info("endpoint leaves", bylog.Str("endpoint", string(e.ID)), bylog.Str("told_by", string(h.Member.Node)))
		}
	}
	for _, service := range h.Reach.Lost {
		n.reach.Doubt(service)
	}
	n.versions.table.Hear(h.SplitEra, h.SplitSeq)
	n.versions.table.Merge(h.StreamStarts)
	n.mergeLimits(h.Limits)
	n.applyQuarantineChange(n.quarantine.Merge(h.Quarantine), string(h.Member.Node))
	n.mergeSuspicions(h.Suspicions)
	if p.relay.active.Load() {
		p.relay.aggregator.RecordHeartbeat(h)
	}
}

// recordNode records a node and its address. Only a heartbeat refreshes the
// node's lastSeen, because a row in the table may outlive its node.
func (p *peers) recordNode(id burdockyard.NodeID, info peer, addr string, fromHeartbeat bool) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		p.node.log.members.Debug("peer has an invalid address", bylog.Str("peer", string(id)), bylog.Err(err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !fromHeartbeat {
		info.lastSeen = p.node.clock.Now()
	}
	known := p.known[id]
	if known == nil || known.addr != addrPort {
		known = &peer{addr: addrPort, lastSeen: info.lastSeen}
		p.known[id] = known
		p.topology = topology{}
		p.node.log.members.Debug("node found", bylog.Str("peer", string(id)), bylog.Str("addr", addr))
	} else if !fromHeartbeat {
		return
	}
	known.domain, known.capacity, known.leaving = info.domain, info.capacity, info.leaving
	known.inOtherDomain = info.domain != p.node.settings.Domain
	if fromHeartbeat && info.lastSeen.After(known.lastSeen) {
		known.lastSeen = info.lastSeen
	}
}

// isActive reports whether a peer still gets heartbeats from this node. mu must be
// held.
func (p *peers) isActive(known *peer) bool {
	return p.node.clock.Now().Sub(known.lastSeen) < forgetAfter
}

// members returns the other nodes that count as members of the fleet and are not about to
// stop.
func (p *peers) members() []burdockyard.NodeID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []burdockyard.NodeID
	for id, known := range p.known {
		if p.isActive(known) && !known.leaving {
			ids = append(ids, id)
		}
	}
	return ids
}

// hearsMost reports whether this node has heard most members within d, counting itself.
func (p *peers) hearsMost(d time.Duration) bool {
	p.mu.Lock()
	members := 1
	for _, known := range p.known {
		if p.isActive(known) && !known.leaving {
			members++
		}
	}
	p.mu.Unlock()
	return 2*(1+p.node.view.CountWithin(d)) > members
}

// registerLoop writes this node's row, retrying until it succeeds, and then scans
// the node table periodically until ctx is done.
func (p *peers) registerLoop(ctx context.Context) error {
	startedAt := p.node.clock.Now()
	if p.node.settings.FirstSystemStart {
		sleep(ctx, rand.N(registrationTime))
	}
	for !p.writeRow(ctx) && ctx.Err() == nil {
		sleep(ctx, baseRetryDelay)
	}
	if p.node.settings.FirstSystemStart {
		share := 1 - min(p.node.reloadableSettings.Load().Capacity, 1)
		sleep(ctx, registrationTime+fraction(firstScanSpread, share)-p.node.clock.Now().Sub(startedAt))
		if len(p.node.view.Alive()) > 0 {
			p.sleepUntilEraChange(ctx, nodeScanInterval)
		}
	}
	for ctx.Err() == nil {
		delay := nodeScanInterval
		if err := p.scanNodes(ctx); err != nil {
			delay = maxRetryDelay
		}
		if p.sleepUntilEraChange(ctx, delay) {
			sleep(ctx, rand.N(registrationTime)) // all nodes write their rows again
		}
	}
	return nil
}

// sleepUntilEraChange waits for d, until the store has been restored from an older
// copy, which may lack rows of nodes, or until ctx is done. It reports whether the store
// has been restored.
func (p *peers) sleepUntilEraChange(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.eraChanged:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// rowKey returns the key of this node's row.
func (p *peers) rowKey() string { return nodeTable + "/" + string(p.node.self.Node) }

// writeRow writes this node's row, and reports whether that succeeded. The write is
// unconditional: no other node writes the row, and a delayed write by an earlier
// process of this node holds the same address.
func (p *peers) writeRow(ctx context.Context) bool {
	value, err := json.Marshal(nodeRow{Incarnation: p.node.self.Incarnation, Addr: p.node.self.Addr, Domain: p.node.settings.Domain, Capacity: p.node.reloadableSettings.Load().Capacity})
	if err == nil {
		err = p.node.platform.Table.Commit(ctx, burdockyard.Txn{Writes: []burdockyard.Write{{Key: p.rowKey(), Value: value}}})
	}
	if err != nil {
		p.node.log.members.Debug("could not write the row of this node; will retry", bylog.Err(err))
	}
	return err == nil
}

// deregister deletes this node's row.
func (p *peers) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	err := p.node.platform.Table.Commit(ctx, burdockyard.Txn{Writes: []burdockyard.Write{{Key: p.rowKey(), Delete: true}}})
	if err != nil {
		p.node.log.members.Warn("could not delete the row of this node", bylog.Err(err))
	}
}

// scanNodes scans the node table: it records the nodes found there, removes rows
// of lost nodes, and restores this node's own row if it is missing.
func (p *peers) scanNodes(ctx context.Context) error {
	snap, err := p.node.platform.Registry.Scan(ctx, nodeTable)
	if err != nil {
		p.node.log.members.Debug("could not scan the node table; will retry", bylog.Err(err))
		return err
	}
	registered := false
	for _, row := range snap.Rows {
		r, err := decodeNodeRow(row)
		if err != nil {
			if p.oddRows.isNew(row) {
				p.node.log.members.Warn("row of a node has an invalid value", bylog.Str("row", row.Key), bylog.Err(err))
			}
			continue
		}
		id := burdockyard.NodeID(strings.TrimPrefix(row.Key, nodeTable+"/"))
		if id == p.node.self.Node {
			registered = true
			continue
		}
		p.recordNode(id, peer{domain: r.Domain, capacity: r.Capacity}, r.Addr, false)
		if p.shouldRemoveRow(id) {
			p.removeRow(ctx, row)
		}
	}
	p.scanned.Store(true)
	if !registered && !p.node.stopping.Load() {
		p.writeRow(ctx) // a peer that got no heartbeats from this node has removed the row
	}
	return nil
}

// shouldRemoveRow reports whether this node should remove the row of the given node.
// It should if that node has sent no heartbeat for forgetAfter and this node ranks
// first in its own failure domain. So one node per failure domain removes the row.
func (p *peers) shouldRemoveRow(id burdockyard.NodeID) bool {
	p.mu.Lock()
	known := p.known[id]
	silent := known != nil && !p.isActive(known)
	p.mu.Unlock()
	n := p.node
	return silent && n.view.RankByCapacity("nodes", n.settings.Domain, n.reloadableSettings.Load().Capacity) == 0
}

// removeRow deletes a row unless it has been rewritten since it was read.
func (p *peers) removeRow(ctx context.Context, row burdockyard.Row) {
	err := p.node.platform.Table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: row.Key, Version: row.Version, Era: row.Era}},
		Writes: []burdockyard.Write{{Key: row.Key, Delete: true}},
	})
	if err != nil {
		p.node.log.members.Debug("could not delete the row of a lost node; will retry", bylog.Str("row", row.Key), bylog.Err(err))
		return
	}
	p.node.log.members.Info("deleted the row of a lost node", bylog.Str("row", row.Key))
}

// heartbeatLoop sends heartbeats until ctx is done.
func (p *peers) heartbeatLoop(ctx context.Context) error {
	timer := time.NewTimer(minHeartbeatInterval)
	defer timer.Stop()
	var rounds heartbeatTimes
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-p.wake:
			rounds.toAllDomains = time.Time{} // the next heartbeat is a full one, to all
		case <-p.node.loadTracker.Urgent():
			if left := minHeartbeatInterval - p.node.clock.Now().Sub(rounds.last); left > 0 {
				timer.Reset(left)
				continue
			}
		}
		timer.Reset(p.sendRound(&rounds))
	}
}

// sendSoon makes the heartbeat loop send a full heartbeat without delay.
func (p *peers) sendSoon() {
	select {
	case p.wake <- struct{}{}:
	default: // it is about to
	}
}

// heartbeatTimes holds when the last heartbeats of several kinds were sent.
type heartbeatTimes struct {
	last, toSameDomain, toAllDomains time.Time
}

// sendRound sends the heartbeats that are due, and returns the time until the next
// round.
func (p *peers) sendRound(times *heartbeatTimes) time.Duration {
	t := p.currentTopology()
	times.last = p.node.clock.Now()
	switch {
	case t.sameDomain+t.otherDomain <= maxDirectPeers:
		p.relay.active.Store(false)
		return p.sendDirectly(t, times)
	case t.ownRank < relaysPerDomain && !p.node.stopping.Load():
		return p.sendAsRelay(t, times)
	default:
		p.relay.active.Store(false)
		return p.sendToRelays(t, times)
	}
}

// sendDirectly sends heartbeats to the peers themselves. While the load of long
// prompts changes, it sends one to all of them in every round.
func (p *peers) sendDirectly(t topology, times *heartbeatTimes) time.Duration {
	now := times.last
	toAllDomains := now.Sub(times.toAllDomains) >= min(baseHeartbeatInterval+time.Duration(t.otherDomain)*otherDomainPeerInterval, maxHeartbeatInterval)
	toSameDomain := toAllDomains || now.Sub(times.toSameDomain) >= min(baseHeartbeatInterval+time.Duration(t.sameDomain)*sameDomainPeerInterval, maxHeartbeatInterval)
	switch {
	case toAllDomains || p.node.loadTracker.HasUrgentChange():
		p.sendHeartbeat(toAllDomains, true)
	case toSameDomain:
		p.sendHeartbeat(false, false)
	}
	if toSameDomain {
		times.toSameDomain = now
	}
	if toAllDomains {
		times.toAllDomains = now
	}
	return minHeartbeatInterval
}

// logReachability logs the peers that became unreachable or reachable since the last
// call.
func (p *peers) logReachability() {
	heartbeats := p.node.view.ReceivedWithin(unreachableAfter)
	p.mu.Lock()
	before := p.reachable
	p.reachable = make(map[burdockyard.NodeID]bool, len(heartbeats))
	for _, h := range heartbeats {
		p.reachable[h.Member.Node] = true
	}
	after := p.reachable
	p.mu.Unlock()
	p.logPeers("peer regained", bylog.Logger.Info, after, before)
	p.logPeers("peer lost", bylog.Logger.Warn, before, after, bylog.Millis("silent_ms", unreachableAfter))
}

// maxPeersLogged is the largest number of peers that are logged one by one at a time.
// When a large fleet starts, each node hears of all others at once.
const maxPeersLogged = 8

// logPeers logs the peers that are in the first set and not in the second one.
func (p *peers) logPeers(message string, log func(bylog.Logger, string, ...bylog.Field), in, notIn map[burdockyard.NodeID]bool, fields ...bylog.Field) {
	var ids []burdockyard.NodeID
	for id := range in {
		if !notIn[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids[:min(len(ids), maxPeersLogged)] {
		log(p.node.log.members, message, append([]bylog.Field{bylog.Str("peer", string(id))}, fields...)...)
	}
	if more := len(ids) - maxPeersLogged; more > 0 {
		log(p.node.log.members, message+", and more", append([]bylog.Field{bylog.Int("peers", more)}, fields...)...)
	}
}

// countByDomain returns how many peers in this failure domain and in others count as
// members of the fleet.
func (p *peers) countByDomain() (sameDomain, otherDomain int) {
	t := p.currentTopology()
	return t.sameDomain, t.otherDomain
}

// sendHeartbeat sends one heartbeat. If full is set, it reports the load of all
// endpoints that this node uses, otherwise only what has changed. If allDomains is
// not set, it goes only to peers in the same failure domain.
func (p *peers) sendHeartbeat(full, allDomains bool) {
	heartbeat := p.ownHeartbeat(full, allDomains)
	p.mu.Lock()
	addrs := make([]netip.AddrPort, 0, len(p.known))
	for _, known := range p.known {
		if p.isActive(known) && (allDomains || !known.inOtherDomain) {
			addrs = append(addrs, known.addr)
		}
	}
	p.mu.Unlock()
	p.send(bypeer.Datagram{Heartbeat: heartbeat}, addrs)
}

// ownHeartbeat returns this node's next heartbeat. See LoadTracker.LocalLoads for the
// parameters.
func (p *peers) ownHeartbeat(allLoads, toAllPeers bool) bymember.Heartbeat {
	n := p.node
	loads, cachedParts := n.loadTracker.LocalLoads(allLoads, toAllPeers)
	heartbeat := bymember.Heartbeat{
		Member: n.self, CallerAddr: n.settings.CallerAddr, Domain: n.settings.Domain,
		Leaving: n.stopping.Load(), Ready: n.ready(), Capacity: n.reloadableSettings.Load().Capacity,
		Seq: n.heartbeatSeq.Add(1), Loads: loads, CachedParts: cachedParts, HeldEngines: n.roles.renewHolds(),
		LeavingEndpoints: n.fleet.Leaving(), Quarantine: n.quarantine.News(), Suspicions: n.suspects.News(), Limits: n.limits.Statements(),
	}
	heartbeat.SplitEra, heartbeat.SplitSeq = n.versions.table.Number()
	heartbeat.StreamStarts = n.versions.table.News()
	heartbeat.Reach, heartbeat.HeldDuties = n.ownReach(), n.duties.held()
	heartbeat.UnixMS = n.usage.wallTime()
	if t := n.routes.Current(); t != nil {
		heartbeat.Generation = t.Version()
		heartbeat.ChecksKeys = t.Workspaces().ChecksKeys()
		heartbeat.Stale = n.isStale()
	}
	return heartbeat
}

// directoryAddresses returns the addresses to which callers may connect, and how long
// callers may cache them. It considers this node and the peers that are reachable,
// ready and not leaving, and names nodes that have lost their links to endpoints, or cannot
// decide about keys, only if there are no others.
func (n *Node) directoryAddresses(_, domain string) ([]string, time.Duration) {
	var nodes []bymember.Heartbeat
	if n.ready() {
		nodes = append(nodes, bymember.Heartbeat{
			Member: n.self, CallerAddr: n.settings.CallerAddr, Domain: n.settings.Domain, Capacity: n.reloadableSettings.Load().Capacity,
			Reach: n.ownReach(), Stale: n.isStale(),
		})
	}
	for _, h := range n.view.ReceivedWithin(unreachableAfter) {
		if h.Ready && !h.Leaving {
			nodes = append(nodes, h)
		}
	}
	if slices.ContainsFunc(nodes, func(h bymember.Heartbeat) bool { return !h.Stale }) {
		nodes = slices.DeleteFunc(nodes, func(h bymember.Heartbeat) bool { return h.Stale })
	}
	nodes = byreach.Directed(nodes, func(h bymember.Heartbeat) byreach.Peer { return h.Reach })
	var addrs []string
	for _, h := range bymember.SelectNodes(nodes, domain, maxDirectoryAddresses) {
		addrs = append(addrs, h.CallerAddr)
	}
	return addrs, n.reloadableSettings.Load().AnswerTTL
}
