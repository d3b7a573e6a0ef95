package byentry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"burdockyard"
	"burdockyard/core/bymember"
	"burdockyard/io/bylog"
	"burdockyard/io/bypeer"
)

// Where keys must not outlive a bound, each node proves how recent its configuration is; see
// byworkspace.Freshness. The first reader of a failure domain does so by its own readings,
// the others ask it for the age of what it has read. A node that gets no such proof in time
// reads the store by itself.
const (
	// proofCheckInterval is the time between two checks of what has been proven.
	proofCheckInterval = 50 * time.Millisecond
	// queryShare is the part of the bound of revocation between two queries, as well as the
	// proven age that needs none. urgentQueryShare is the time between two queries once the
	// proven age is above urgentShare.
	queryShare       = 0.2
	urgentQueryShare = 0.05
	urgentShare      = 0.5
	// ownReadingShare is the proven age, as a part of the bound, at which the first node of
	// a failure domain reads the store for want of a proof. Nodes of higher ranks follow.
	ownReadingShare        = 0.55
	ownReadingPerRankShare = 0.01
	maxOwnReadingShare     = 0.75
	// enoughPeers is the number of peers whose versions a node must hear before it counts on
	// readings again.
	enoughPeers = 3
	// farQueryTargets is the number of nodes of other failure domains, and of the own, that
	// are asked after a query has brought nothing.
	farQueryTargets = 3
)

// configBound returns the time within which a changed configuration must be in force on all
// nodes.
func (n *Node) configBound() time.Duration {
	s := n.reloadableSettings.Load()
	if n.provesConfig() {
		return min(s.ConfigBound, s.RevokeBound)
	}
	return s.ConfigBound
}

// provesConfig reports whether the age of the configuration must be proven.
func (n *Node) provesConfig() bool {
	if n.reloadableSettings.Load().RevokeBound <= 0 {
		return false
	}
	t := n.routes.Current()
	return t != nil && t.Workspaces().ChecksKeys()
}

// configProvenAt returns a time such that the configuration contains all changes that the
// store has accepted before it. Where no bound of revocation holds, readings that peers
// relay are believed.
func (n *Node) configProvenAt() time.Time {
	if n.reloadableSettings.Load().RevokeBound > 0 {
		return n.peerVersions.Limit(n.freshness.ProvenAt(), n.configVersion(), n.keyBounds().Lapse())
	}
	return n.configWatcher.readAt()
}

// configVersion returns the version of the configuration in force, or 0 before the first one.
func (n *Node) configVersion() uint64 {
	if t := n.routes.Current(); t != nil {
		return t.Version()
	}
	return 0
}

// configLagDue returns the time until this node must read the latest changes, which is the given
// time after it has heard that peers go by a newer configuration, and false if it need not.
func (n *Node) configLagDue(after time.Duration) (time.Duration, bool) {
	return n.configLag.PollDue(n.configVersion(), n.clock.Now(), after)
}

// configLackDue returns the time until this node must take it that its copy lacks a change, which
// is the given time after it has heard that peers go by a newer configuration, and false if it
// need not.
func (n *Node) configLackDue(after time.Duration) (time.Duration, bool) {
	return n.configLag.SearchDue(n.configVersion(), n.clock.Now(), after)
}

// maxProvenAge stands for the age of a configuration of which nothing is proven.
const maxProvenAge = 24 * time.Hour

// provenAge returns the time for which the configuration may be out of date.
func (n *Node) provenAge() time.Duration {
	return min(n.clock.Now().Sub(n.configProvenAt()), maxProvenAge)
}

// isStale reports whether the configuration is too old to believe in keys.
func (n *Node) isStale() bool {
	return n.provesConfig() && n.keyBounds().IsStale(n.provenAge())
}

// hearsPeers reports whether this node has lately heard enough peers to know which version of
// the configuration the others go by.
func (n *Node) hearsPeers() bool {
	if !n.peers.scanned.Load() {
		return false // there may be peers that it does not know
	}
	ready := 0
	for _, h := range n.view.ReceivedWithin(unreachableAfter) {
		if h.Ready {
			ready++
		}
	}
	return ready >= min(enoughPeers, (1+len(n.peers.members()))/2)
}

// proofDue returns the time until this node, of a given rank among the readers of its failure
// domain, must read the store for want of another proof.
func (n *Node) proofDue(rank int) time.Duration {
	since := n.freshness.ProvenAt()
	if since.IsZero() {
		since = n.configWatcher.readAt()
	}
	bound := n.reloadableSettings.Load().RevokeBound
	if !n.provesConfig() || since.IsZero() {
		return n.configBound()
	}
	share := min(ownReadingShare+float64(rank)*ownReadingPerRankShare, maxOwnReadingShare)
	return fraction(bound, share) - n.clock.Now().Sub(since)
}

// prover queries peers for the age of the configuration, and logs when it becomes too old.
// Only the goroutine that calls check uses it.
type prover struct {
	node       *Node
	sentAt     time.Time // of the last query
	provenAt   time.Time // what was proven then
	vain       int       // number of queries that have brought nothing since the last one that did
	staleSince time.Time // zero while the configuration is recent enough
}

// check sends a query if one is due.
func (p *prover) check(context.Context) {
	n := p.node
	if !n.provesConfig() {
		return
	}
	n.syncClock()
	n.peerVersions.Observe(n.clock.Now(), n.freshness.ProvenAt(), n.hearsPeers(), n.keyBounds().Lapse())
	p.report()
	bound := n.reloadableSettings.Load().RevokeBound
	now, age := n.clock.Now(), n.provenAge()
	interval := fraction(bound, queryShare)
	if age >= fraction(bound, urgentShare) {
		interval = fraction(bound, urgentQueryShare)
	}
	if age < fraction(bound, queryShare) || now.Sub(p.sentAt) < interval {
		return
	}
	if provenAt := n.freshness.ProvenAt(); provenAt.After(p.provenAt) {
		p.provenAt, p.vain = provenAt, 0
	} else {
		p.vain++
	}
	p.sentAt = now
	nonce := rand.Uint64() | 1
	targets := n.queryTargets(p.vain > 0)
	n.freshness.BeginQuery(nonce)
	n.peers.send(bypeer.Datagram{Heartbeat: n.peers.sender(), AgeQuery: nonce}, targets)
}

// report logs when the configuration becomes too old to believe in keys, and when it is
// recent enough again, and tells the peers.
func (p *prover) report() {
	n := p.node
	stale := n.isStale()
	if stale == !p.staleSince.IsZero() {
		return
	}
	if stale {
		p.staleSince = n.clock.Now()
		n.log.config.Warn("configuration too old, keys are refused", bylog.Millis("proven_ms", n.provenAge()))
	} else {
		n.log.config.Info("configuration recent again, keys are believed", bylog.Millis("refused_ms", n.clock.Now().Sub(p.staleSince)))
		p.staleSince = time.Time{}
	}
	n.peers.sendSoon()
}

// queryTargets returns the nodes to ask: the first reader of this failure domain, and others
// if a query to it was in vain.
func (n *Node) queryTargets(others bool) []netip.AddrPort {
	isNear := func(h bymember.Heartbeat) bool { return h.ChecksKeys && h.Domain == n.settings.Domain }
	peers := n.view.FirstByCapacity("reader", 1, isNear)
	if others || len(peers) == 0 {
		peers = n.view.FirstByCapacity("reader", farQueryTargets, isNear)
		far := slices.DeleteFunc(n.view.Alive(), func(h bymember.Heartbeat) bool {
			return !h.ChecksKeys || h.Stale || h.Leaving || h.Domain == n.settings.Domain
		})
		rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
		peers = append(peers, far[:min(farQueryTargets, len(far))]...)
	}
	var addrs []netip.AddrPort
	for _, h := range peers {
		if addr, err := netip.ParseAddrPort(h.Member.Addr); err == nil {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// sender returns a heartbeat that only names the sender of a datagram, as its sequence number
// is 0.
func (p *peers) sender() bymember.Heartbeat {
	return bymember.Heartbeat{Member: p.node.self, Domain: p.node.settings.Domain}
}

// answerAgeQuery answers the query of a peer for the age of the configuration. The answer
// also brings the peer's copy up to the version that it speaks of, unless it lacks a change.
func (p *peers) answerAgeQuery(d bypeer.Datagram) {
	n := p.node
	addr, err := netip.ParseAddrPort(d.Heartbeat.Member.Addr)
	if err != nil {
		return
	}
	table := n.configWatcher.table
	version, age, ok := n.freshness.Statement()
	if !ok {
		return
	}
	changedAt := n.configWatcher.mirror.ChangedAt() // read last: a change since counts
	answer := bypeer.Datagram{Heartbeat: p.sender(), AgeReply: bypeer.AgeReply{Nonce: d.AgeQuery, Table: table, Version: version, Age: age}}
	if isUnchanged(changedAt, version) {
		answer.Confirmations = []bypeer.Confirmation{{Table: table, ChangedSince: changedAt, Version: version, Age: age}}
	}
	p.send(answer, []netip.AddrPort{addr})
}

// isUnchanged reports whether a table that has not changed since changedAt is the same at a
// version.
func isUnchanged(changedAt, version burdockyard.StoreVersion) bool {
	return changedAt.Number > 0 && changedAt.Era == version.Era && changedAt.Number <= version.Number
}
