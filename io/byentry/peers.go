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
	// nodeTable holds a row for each node, by which a new one finds the others.
	nodeTable = "nodes"
	// tellEvery is the shortest time between two heartbeats, which is kept while
	// there is news of long prompts.
	tellEvery = 20 * time.Millisecond
	// beatEvery is the time between two others. It grows with each peer that they
	// go to: by nearBeat for nodes of the same failure domain, which choose among
	// the same engines first, by farBeat for the rest, up to longestBeat.
	beatEvery   = 20 * time.Millisecond
	nearBeat    = 2 * time.Millisecond
	farBeat     = 6 * time.Millisecond
	longestBeat = 500 * time.Millisecond
	// rescanEvery is the time between two looks for nodes that were not heard. Each
	// node that starts writes to all that it finds, so this is rarely needed.
	rescanEvery = time.Minute
	// reachableFor is the silence after which callers are no longer sent to a node.
	reachableFor = 1200 * time.Millisecond
	// forgetAfter is the silence after which a node is no longer told of this one,
	// and its row is removed.
	forgetAfter = 2 * time.Minute
	// leaveTimeout bounds the removal of this node's row.
	leaveTimeout = 300 * time.Millisecond
	// maxAddresses bounds an answer of the directory.
	maxAddresses = 64
)

// nodeRow is the value of a node's row.
type nodeRow struct {
	Incarnation burdockyard.Incarnation `json:"incarnation"`
	Addr        string                  `json:"addr"` // for other nodes
	Domain      string                  `json:"domain"`
}

// peers tells the other nodes of this one, and hears them. mu is a leaf lock.
type peers struct {
	node   *Node
	gossip *bygossip.Gossip

	mu    sync.Mutex
	known map[burdockyard.NodeID]*peer
	heard map[burdockyard.NodeID]bool // lately, as of the last noteHeard
}

// peer is another node, heard or found in the table of nodes.
type peer struct {
	addr  netip.AddrPort
	far   bool      // in another failure domain
	since time.Time // when it was last heard, or first found in the table
}

func newPeers(n *Node) *peers {
	return &peers{node: n, known: map[burdockyard.NodeID]*peer{}, heard: map[burdockyard.NodeID]bool{}}
}

func (p *peers) listen() error {
	bad := func(err error) { p.node.log.members.Debug("heartbeat not passed on", bylog.Err(err)) }
	g, err := bygossip.Listen(p.node.settings.PeerAddr, p.hear, bygossip.WithBad(bad))
	p.gossip = g
	return err
}

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

// learn notes a node. A row of the table may be older than the node's end, so that
// only a heartbeat proves that the node is there.
func (p *peers) learn(id burdockyard.NodeID, addr, domain string, heard bool) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		p.node.log.members.Debug("node without a readable address", bylog.Str("peer", string(id)), bylog.Err(err))
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

// present reports whether a peer is still told of this node. p.mu is held.
func (p *peers) present(known *peer) bool {
	return p.node.clock.Now().Sub(known.since) < forgetAfter
}

// register writes this node's row, and looks for the others now and then.
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

func (p *peers) rowKey() string { return nodeTable + "/" + string(p.node.self.Node) }

// write writes this node's row without a condition: the row is the node's alone,
// and a late write of an earlier process of it names the same address.
func (p *peers) write(ctx context.Context) bool {
	value, err := json.Marshal(nodeRow{Incarnation: p.node.self.Incarnation, Addr: p.node.self.Addr, Domain: p.node.settings.Domain})
	if err == nil {
		err = p.node.platform.Table.Commit(ctx, burdockyard.Txn{Writes: []burdockyard.Write{{Key: p.rowKey(), Value: value}}})
	}
	if err != nil {
		p.node.log.members.Debug("row of this node not written yet", bylog.Err(err))
	}
	return err == nil
}

// leave removes this node's row.
func (p *peers) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	err := p.node.platform.Table.Commit(ctx, burdockyard.Txn{Writes: []burdockyard.Write{{Key: p.rowKey(), Delete: true}}})
	if err != nil {
		p.node.log.members.Warn("row of this node stays", bylog.Err(err))
	}
}

func (p *peers) findOthers(ctx context.Context) error {
	snap, err := p.node.platform.Registry.Scan(ctx, nodeTable)
	if err != nil {
		p.node.log.members.Debug("list of nodes not read", bylog.Err(err))
		return err
	}
	own := false
	for _, row := range snap.Rows {
		var r nodeRow
		if err := json.Unmarshal(row.Value, &r); err != nil {
			p.node.log.members.Warn("row of a node is unreadable", bylog.Str("row", row.Key), bylog.Err(err))
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
		p.write(ctx) // a peer that had not heard this node for long has removed it
	}
	return nil
}

// gone reports whether this node is to remove the row of a node that has been
// silent for long. One node of each failure domain does so.
func (p *peers) gone(id burdockyard.NodeID) bool {
	p.mu.Lock()
	known := p.known[id]
	silent := known != nil && !p.present(known)
	p.mu.Unlock()
	n := p.node
	return silent && n.view.RankByCapacity("nodes", n.settings.Domain, n.tuning.Load().Capacity) == 0
}

// removeRow removes a row unless it was written anew meanwhile.
func (p *peers) removeRow(ctx context.Context, row burdockyard.Row) {
	err := p.node.platform.Table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: row.Key, Version: row.Version}},
		Writes: []burdockyard.Write{{Key: row.Key, Delete: true}},
	})
	if err != nil {
		p.node.log.members.Debug("row of a lost node stays for now", bylog.Str("row", row.Key), bylog.Err(err))
		return
	}
	p.node.log.members.Info("row of a lost node removed", bylog.Str("row", row.Key))
}

// tellLoop sends heartbeats: at once while there is news of long prompts, and
// now and then in any case.
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

// noteHeard logs which peers were lost or regained since it was called last.
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

// count returns how many nodes are known in this failure domain and elsewhere.
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

// tell sends one heartbeat. A full one names all endpoints that this node uses;
// without far it goes only to nodes of the same failure domain.
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

// lookup answers callers that ask where to connect: of this node and those that
// were heard lately, unless they are leaving.
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
