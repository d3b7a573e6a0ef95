package byentry

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/bymember"
	"burdockyard/io/bygossip"
	"burdockyard/io/bylog"
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
)

// nodeRow is the JSON value of a row in the node table.
type nodeRow struct {
	Incarnation burdockyard.Incarnation `json:"incarnation"`
	Addr        string                  `json:"addr"` // address for heartbeats and relayed table readings from other nodes
	Domain      string                  `json:"domain"`
}

// peers exchanges heartbeats with the other nodes and tracks which of them are
// known. mu is a leaf lock.
type peers struct {
	node   *Node
	gossip *bygossip.Gossip

	mu        sync.Mutex
	known     map[burdockyard.NodeID]*peer
	reachable map[burdockyard.NodeID]bool // nodes that were reachable at the last call of logReachability
}

// peer is another node, known from its heartbeats or from the node table.
type peer struct {
	addr          netip.AddrPort
	inOtherDomain bool      // whether the node is in another failure domain
	lastSeen      time.Time // time of the last heartbeat, or else of the first discovery in the table
}

func newPeers(n *Node) *peers {
	return &peers{node: n, known: map[burdockyard.NodeID]*peer{}, reachable: map[burdockyard.NodeID]bool{}}
}

// listen opens the socket for heartbeats.
func (p *peers) listen() error {
	onError := func(err error) { p.node.log.members.Debug("could not send or decode a heartbeat", bylog.Err(err)) }
	g, err := bygossip.Listen(p.node.settings.PeerAddr, p.handleHeartbeat, bygossip.WithErrorHandler(onError))
	p.gossip = g
	return err
}

// handleHeartbeat applies a heartbeat of another node.
func (p *peers) handleHeartbeat(h bymember.Heartbeat) {
	n := p.node
	if h.Member.Node == n.self.Node {
		return
	}
	p.recordNode(h.Member.Node, h.Member.Addr, h.Domain, true)
	n.view.RecordHeartbeat(h)
	n.loadTracker.RecordPeerLoad(h.Member.Node, h.Loads, h.CachedParts)
	for _, id := range h.HeldEngines {
		n.fleet.Hold(id, holdRenewalTTL)
	}
}

// recordNode records a node and its address. Only a heartbeat refreshes the
// node's lastSeen, because a row in the table may outlive its node.
func (p *peers) recordNode(id burdockyard.NodeID, addr, domain string, fromHeartbeat bool) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		p.node.log.members.Debug("peer has an invalid address", bylog.Str("peer", string(id)), bylog.Err(err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[id]
	if known == nil || known.addr != addrPort {
		known = &peer{addr: addrPort, lastSeen: p.node.clock.Now()}
		p.known[id] = known
		p.node.log.members.Info("node found", bylog.Str("peer", string(id)), bylog.Str("addr", addr))
	}
	known.inOtherDomain = domain != p.node.settings.Domain
	if fromHeartbeat {
		known.lastSeen = p.node.clock.Now()
	}
}

// isActive reports whether a peer still gets heartbeats from this node. mu must be
// held.
func (p *peers) isActive(known *peer) bool {
	return p.node.clock.Now().Sub(known.lastSeen) < forgetAfter
}

// registerLoop writes this node's row, retrying until it succeeds, and then scans
// the node table periodically until ctx is done.
func (p *peers) registerLoop(ctx context.Context) error {
	for !p.writeRow(ctx) && ctx.Err() == nil {
		sleep(ctx, baseRetryDelay)
	}
	for ctx.Err() == nil {
		delay := nodeScanInterval
		if err := p.scanNodes(ctx); err != nil {
			delay = maxRetryDelay
		}
		sleep(ctx, delay)
	}
	return nil
}

// rowKey returns the key of this node's row.
func (p *peers) rowKey() string { return nodeTable + "/" + string(p.node.self.Node) }

// writeRow writes this node's row, and reports whether that succeeded. The write is
// unconditional: no other node writes the row, and a delayed write by an earlier
// process of this node holds the same address.
func (p *peers) writeRow(ctx context.Context) bool {
	value, err := json.Marshal(nodeRow{Incarnation: p.node.self.Incarnation, Addr: p.node.self.Addr, Domain: p.node.settings.Domain})
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
		var r nodeRow
		if err := json.Unmarshal(row.Value, &r); err != nil {
			p.node.log.members.Warn("row of a node has an invalid value", bylog.Str("row", row.Key), bylog.Err(err))
			continue
		}
		id := burdockyard.NodeID(row.Key[len(nodeTable)+1:])
		if id == p.node.self.Node {
			registered = true
			continue
		}
		p.recordNode(id, r.Addr, r.Domain, false)
		if p.shouldRemoveRow(id) {
			p.removeRow(ctx, row)
		}
	}
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
		Checks: []burdockyard.Check{{Key: row.Key, Version: row.Version}},
		Writes: []burdockyard.Write{{Key: row.Key, Delete: true}},
	})
	if err != nil {
		p.node.log.members.Debug("could not delete the row of a lost node; will retry", bylog.Str("row", row.Key), bylog.Err(err))
		return
	}
	p.node.log.members.Info("deleted the row of a lost node", bylog.Str("row", row.Key))
}

// heartbeatLoop sends periodic heartbeats until ctx is done. While the load of long
// prompts changes, it sends one to all peers at every tick.
func (p *peers) heartbeatLoop(ctx context.Context) error {
	var lastToSameDomain, lastToAllDomains time.Time
	return runEvery(ctx, minHeartbeatInterval, func(context.Context) {
		now := p.node.clock.Now()
		sameDomain, otherDomain := p.countByDomain()
		toAllDomains := now.Sub(lastToAllDomains) >= min(baseHeartbeatInterval+time.Duration(otherDomain)*otherDomainPeerInterval, maxHeartbeatInterval)
		toSameDomain := toAllDomains || now.Sub(lastToSameDomain) >= min(baseHeartbeatInterval+time.Duration(sameDomain)*sameDomainPeerInterval, maxHeartbeatInterval)
		switch {
		case toAllDomains || p.node.loadTracker.HasUrgentChange():
			p.sendHeartbeat(toAllDomains, true)
		case toSameDomain:
			p.sendHeartbeat(false, false)
		}
		if toSameDomain {
			lastToSameDomain = now
		}
		if toAllDomains {
			lastToAllDomains = now
		}
	})
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
	for id := range after {
		if !before[id] {
			p.node.log.members.Info("peer regained", bylog.Str("peer", string(id)))
		}
	}
	for id := range before {
		if !after[id] {
			p.node.log.members.Warn("peer lost", bylog.Str("peer", string(id)), bylog.Millis("silent_ms", unreachableAfter))
		}
	}
}

// countByDomain returns how many peers in this failure domain and in others get
// heartbeats from this node.
func (p *peers) countByDomain() (sameDomain, otherDomain int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.known {
		switch {
		case !p.isActive(known):
		case known.inOtherDomain:
			otherDomain++
		default:
			sameDomain++
		}
	}
	return sameDomain, otherDomain
}

// sendHeartbeat sends one heartbeat. If full is set, it reports the load of all
// endpoints that this node uses, otherwise only what has changed. If allDomains is
// not set, it goes only to peers in the same failure domain.
func (p *peers) sendHeartbeat(full, allDomains bool) {
	n := p.node
	loads, cachedParts := n.loadTracker.LocalLoads(full, allDomains)
	heartbeat := bymember.Heartbeat{
		Member: n.self, CallerAddr: n.settings.CallerAddr, Domain: n.settings.Domain,
		Leaving: n.stopping.Load(), Ready: n.ready(), Capacity: n.reloadableSettings.Load().Capacity,
		Seq: n.heartbeatSeq.Add(1), Loads: loads, CachedParts: cachedParts, HeldEngines: n.roles.renewHolds(),
	}
	if t := n.routes.Current(); t != nil {
		heartbeat.Generation = t.Version()
	}
	p.mu.Lock()
	addrs := make([]netip.AddrPort, 0, len(p.known))
	for _, known := range p.known {
		if p.isActive(known) && (allDomains || !known.inOtherDomain) {
			addrs = append(addrs, known.addr)
		}
	}
	p.mu.Unlock()
	p.gossip.Send(heartbeat, addrs)
}

// directoryAddresses returns the addresses to which callers may connect, and how long
// callers may cache them. It considers this node and the peers that are reachable,
// ready and not leaving.
func (n *Node) directoryAddresses(_, domain string) ([]string, time.Duration) {
	var nodes []bymember.Heartbeat
	if n.ready() {
		nodes = append(nodes, bymember.Heartbeat{
			Member: n.self, CallerAddr: n.settings.CallerAddr, Domain: n.settings.Domain, Capacity: n.reloadableSettings.Load().Capacity,
		})
	}
	for _, h := range n.view.ReceivedWithin(unreachableAfter) {
		if h.Ready && !h.Leaving {
			nodes = append(nodes, h)
		}
	}
	var addrs []string
	for _, h := range bymember.SelectNodes(nodes, domain, maxDirectoryAddresses) {
		addrs = append(addrs, h.CallerAddr)
	}
	return addrs, n.reloadableSettings.Load().AnswerTTL
}
