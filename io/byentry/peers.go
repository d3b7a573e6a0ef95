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
	// tellEvery is the shortest interval between two heartbeats. It applies while
	// the load of long prompts changes.
	tellEvery = 20 * time.Millisecond
	// beatEvery is the base interval of periodic heartbeats. Each receiving peer
	// lengthens the interval, up to longestBeat: by nearBeat in the same failure
	// domain and by farBeat in others. The same domain gets heartbeats more often
	// because its nodes prefer the same engines.
	beatEvery = 20 * time.Millisecond
	// nearBeat is added to the interval for each peer in the same failure domain.
	nearBeat = 2 * time.Millisecond
	// farBeat is added to the interval for each peer in another failure domain.
	farBeat = 6 * time.Millisecond
	// longestBeat is the longest interval between two heartbeats.
	longestBeat = 500 * time.Millisecond
	// rescanEvery is the interval between two scans of the node table. A starting
	// node sends heartbeats to every node that it finds there, so later scans rarely
	// find anything new.
	rescanEvery = time.Minute
	// reachableFor is how long after its last heartbeat a node is still returned to
	// callers.
	reachableFor = 1200 * time.Millisecond
	// forgetAfter is how long after its last heartbeat a node still gets heartbeats
	// from this node. Its row is removed afterwards.
	forgetAfter = 2 * time.Minute
	// leaveTimeout limits the removal of this node's row.
	leaveTimeout = 300 * time.Millisecond
	// maxAddresses limits the number of addresses in a directory response.
	maxAddresses = 64
)

// nodeRow is the JSON value of a row in the node table.
type nodeRow struct {
	Incarnation burdockyard.Incarnation `json:"incarnation"`
	Addr        string                  `json:"addr"` // address for heartbeats and calls from other nodes
	Domain      string                  `json:"domain"`
}

// peers exchanges heartbeats with the other nodes and tracks which of them are
// known. mu is a leaf lock.
type peers struct {
	node   *Node
	gossip *bygossip.Gossip

	mu    sync.Mutex
	known map[burdockyard.NodeID]*peer
	heard map[burdockyard.NodeID]bool // nodes that were reachable at the last noteHeard
}

// peer is another node, known from its heartbeats or from the node table.
type peer struct {
	addr  netip.AddrPort
	far   bool      // whether the node is in another failure domain
	since time.Time // time of the last heartbeat, or else of the first discovery in the table
}

func newPeers(n *Node) *peers {
	return &peers{node: n, known: map[burdockyard.NodeID]*peer{}, heard: map[burdockyard.NodeID]bool{}}
}

// listen opens the socket for heartbeats.
func (p *peers) listen() error {
	bad := func(err error) { p.node.log.members.Debug("could not send or decode a heartbeat", bylog.Err(err)) }
	g, err := bygossip.Listen(p.node.settings.PeerAddr, p.hear, bygossip.WithBad(bad))
	p.gossip = g
	return err
}

// hear applies a heartbeat of another node.
func (p *peers) hear(b bymember.Heartbeat) {
	n := p.node
	if b.Member.Node == n.self.Node {
		return
	}
	p.learn(b.Member.Node, b.Member.Addr, b.Domain, true)
	n.view.Hear(b)
	n.ledger.Hear(b.Member.Node, b.Loads, b.Reads)
	for _, id := range b.Holds {
		n.fleet.Hold(id, holdFor)
	}
}

// learn records a node and its address. Only a heartbeat (heard) refreshes the
// node's time, because a row in the table may outlive its node.
func (p *peers) learn(id burdockyard.NodeID, addr, domain string, heard bool) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		p.node.log.members.Debug("peer has an invalid address", bylog.Str("peer", string(id)), bylog.Err(err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[id]
	if known == nil || known.addr != at {
		known = &peer{addr: at, since: p.node.clock.Now()}
		p.known[id] = known
		p.node.log.members.Info("node found", bylog.Str("peer", string(id)), bylog.Str("addr", addr))
	}
	known.far = domain != p.node.settings.Domain
	if heard {
		known.since = p.node.clock.Now()
	}
}

// present reports whether a peer still gets heartbeats from this node. The caller
// must hold p.mu.
func (p *peers) present(known *peer) bool {
	return p.node.clock.Now().Sub(known.since) < forgetAfter
}

// register writes this node's row, retrying until it succeeds, and then scans the
// node table periodically until ctx ends.
func (p *peers) register(ctx context.Context) error {
	for !p.write(ctx) && ctx.Err() == nil {
		sleep(ctx, retryPause)
	}
	for ctx.Err() == nil {
		pause := rescanEvery
		if err := p.findOthers(ctx); err != nil {
			pause = longPause
		}
		sleep(ctx, pause)
	}
	return nil
}

// rowKey returns the key of this node's row.
func (p *peers) rowKey() string { return nodeTable + "/" + string(p.node.self.Node) }

// write writes this node's row, and reports whether that succeeded. The write is
// unconditional: no other node writes the row, and a delayed write by an earlier
// process of this node holds the same address.
func (p *peers) write(ctx context.Context) bool {
	value, err := json.Marshal(nodeRow{Incarnation: p.node.self.Incarnation, Addr: p.node.self.Addr, Domain: p.node.settings.Domain})
	if err == nil {
		err = p.node.platform.Table.Commit(ctx, burdockyard.Txn{Writes: []burdockyard.Write{{Key: p.rowKey(), Value: value}}})
	}
	if err != nil {
		p.node.log.members.Debug("could not write the row of this node; will retry", bylog.Err(err))
	}
	return err == nil
}

// leave deletes this node's row.
func (p *peers) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	err := p.node.platform.Table.Commit(ctx, burdockyard.Txn{Writes: []burdockyard.Write{{Key: p.rowKey(), Delete: true}}})
	if err != nil {
		p.node.log.members.Warn("could not delete the row of this node", bylog.Err(err))
	}
}

// findOthers scans the node table: it records the nodes found there, removes rows
// of lost nodes, and restores this node's own row if it is missing.
func (p *peers) findOthers(ctx context.Context) error {
	snap, err := p.node.platform.Registry.Scan(ctx, nodeTable)
	if err != nil {
		p.node.log.members.Debug("could not scan the node table; will retry", bylog.Err(err))
		return err
	}
	own := false
	for _, row := range snap.Rows {
		var r nodeRow
		if err := json.Unmarshal(row.Value, &r); err != nil {
			p.node.log.members.Warn("row of a node has an invalid value", bylog.Str("row", row.Key), bylog.Err(err))
			continue
		}
		id := burdockyard.NodeID(row.Key[len(nodeTable)+1:])
		if id == p.node.self.Node {
			own = true
			continue
		}
		p.learn(id, r.Addr, r.Domain, false)
		if p.gone(id) {
			p.removeRow(ctx, row)
		}
	}
	if !own && !p.node.leaving.Load() {
		p.write(ctx) // a peer that got no heartbeats from this node has removed the row
	}
	return nil
}

// gone reports whether this node should remove the row of the given node: the node
// has sent no heartbeat for forgetAfter, and this node ranks first in its own
// failure domain. So one node per failure domain removes the row.
func (p *peers) gone(id burdockyard.NodeID) bool {
	p.mu.Lock()
	known := p.known[id]
	silent := known != nil && !p.present(known)
	p.mu.Unlock()
	n := p.node
	return silent && n.view.RankByCapacity("nodes", n.settings.Domain, n.tuning.Load().Capacity) == 0
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

// tellLoop sends periodic heartbeats until ctx ends. While the load of long prompts
// changes, it sends one to all peers at every tick.
func (p *peers) tellLoop(ctx context.Context) error {
	var lastNear, lastFar time.Time
	return every(ctx, tellEvery, func(context.Context) {
		now := p.node.clock.Now()
		near, far := p.count()
		toFar := now.Sub(lastFar) >= min(beatEvery+time.Duration(far)*farBeat, longestBeat)
		toNear := toFar || now.Sub(lastNear) >= min(beatEvery+time.Duration(near)*nearBeat, longestBeat)
		switch {
		case toFar || p.node.ledger.Urgent():
			p.tell(toFar, true)
		case toNear:
			p.tell(false, false)
		}
		if toNear {
			lastNear = now
		}
		if toFar {
			lastFar = now
		}
	})
}

// noteHeard logs the peers that became unreachable or reachable since the last call.
func (p *peers) noteHeard() {
	beats := p.node.view.HeardWithin(reachableFor)
	p.mu.Lock()
	was := p.heard
	p.heard = make(map[burdockyard.NodeID]bool, len(beats))
	for _, b := range beats {
		p.heard[b.Member.Node] = true
	}
	now := p.heard
	p.mu.Unlock()
	for id := range now {
		if !was[id] {
			p.node.log.members.Info("peer regained", bylog.Str("peer", string(id)))
		}
	}
	for id := range was {
		if !now[id] {
			p.node.log.members.Warn("peer lost", bylog.Str("peer", string(id)), bylog.Millis("silent_ms", reachableFor))
		}
	}
}

// count returns the number of peers that get heartbeats, in this failure domain
// (near) and in others (far).
func (p *peers) count() (near, far int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.known {
		switch {
		case !p.present(known):
		case known.far:
			far++
		default:
			near++
		}
	}
	return near, far
}

// tell sends one heartbeat. If full is set, it reports the load of all endpoints
// that this node uses, otherwise only what has changed. If far is not set, it goes
// only to peers in the same failure domain.
func (p *peers) tell(full, far bool) {
	n := p.node
	loads, reads := n.ledger.Digest(full, far)
	beat := bymember.Heartbeat{
		Member: n.self, CallerAddr: n.settings.FrontAddr, Domain: n.settings.Domain,
		Leaving: n.leaving.Load(), Ready: n.ready(), Capacity: n.tuning.Load().Capacity,
		Seq: n.beatSeq.Add(1), Loads: loads, Reads: reads, Holds: n.roles.told(),
	}
	if t := n.routes.Current(); t != nil {
		beat.Generation = t.Version()
	}
	p.mu.Lock()
	addrs := make([]netip.AddrPort, 0, len(p.known))
	for _, known := range p.known {
		if p.present(known) && (far || !known.far) {
			addrs = append(addrs, known.addr)
		}
	}
	p.mu.Unlock()
	p.gossip.Send(beat, addrs)
}

// lookup returns the addresses to which callers may connect, and how long callers
// may cache them. It considers this node and the peers that are reachable, ready and
// not leaving.
func (n *Node) lookup(_, domain string) ([]string, time.Duration) {
	var nodes []bymember.Heartbeat
	if n.ready() {
		nodes = append(nodes, bymember.Heartbeat{
			Member: n.self, CallerAddr: n.settings.FrontAddr, Domain: n.settings.Domain, Capacity: n.tuning.Load().Capacity,
		})
	}
	for _, b := range n.view.HeardWithin(reachableFor) {
		if b.Ready && !b.Leaving {
			nodes = append(nodes, b)
		}
	}
	var addrs []string
	for _, b := range bymember.Answer(nodes, domain, maxAddresses) {
		addrs = append(addrs, b.CallerAddr)
	}
	return addrs, n.tuning.Load().AnswerTTL
}
