package byentry

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"burdockyard"
	"burdockyard/core/bydigest"
	"burdockyard/core/bymember"
	"burdockyard/io/bypeer"
)

// In a fleet of more than maxDirectPeers, heartbeats go through relays; see package
// bydigest. There is no elected relay: each node ranks the nodes of a failure domain
// that it hears of, and sends to the first ones. Two of them relay at the same time,
// the second one less often, so that the loss of one costs little and need not be
// noticed at once.
const (
	// maxDirectPeers is the largest number of peers to which a node sends its
	// heartbeats itself. The cost of direct heartbeats grows with its square.
	maxDirectPeers = 32
	// relaysPerDomain is the number of relays in each failure domain.
	relaysPerDomain = 2
	// secondRelayFactor is how much longer the rounds of the second relay are.
	secondRelayFactor = 4
	// changeInterval is the shortest interval between two heartbeats to the relays that
	// report changes for which peers need not be told at once.
	changeInterval = 50 * time.Millisecond
	// relayWarmUp is how long a new relay waits before it sends sums. Until then it may
	// not have heard of the work of all nodes.
	relayWarmUp = 2 * maxHeartbeatInterval
	// relayLossTimeout is the time without news from any relay after which a node sends
	// its heartbeats to the nodes of its failure domain itself.
	relayLossTimeout = unreachableAfter
	// topologyTTL is how long a computed topology is used.
	topologyTTL = 200 * time.Millisecond
	// maxRelayedPerDatagram and maxLoadsPerDatagram limit the size of a datagram to a
	// few kilobytes.
	maxRelayedPerDatagram = 30
	maxAlivePerDatagram   = 500
	maxLoadsPerDatagram   = 200
)

// topology is a summary of the known peers.
type topology struct {
	computedAt  time.Time
	sameDomain  int // number of members of this failure domain, without this node
	reachable   int // number of those that were heard lately
	otherDomain int // number of members of other failure domains
	ownRank     int // rank of this node among the reachable nodes of its domain, in the order of bydigest.Compare

	domainAddrs []netip.AddrPort // all members of this failure domain, without this node
	relays      []netip.AddrPort // relays of this domain, without this node
	otherRelays []netip.AddrPort // relays of the other domains
}

// relayState is what a node needs as a relay, and to notice the loss of relays.
type relayState struct {
	aggregator *bydigest.Aggregator
	active     atomic.Bool // whether this node is a relay
	since      time.Time   // when it became one; only the heartbeat loop uses it

	// peers.mu guards the rest.
	echoes   map[burdockyard.NodeID]time.Time // when a relay last passed on a heartbeat of this node
	lastSums time.Time                        // when sums of a relay were last applied
}

// currentTopology returns a summary of the known peers that is at most topologyTTL old.
func (p *peers) currentTopology() topology {
	now := p.node.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.topology.computedAt.IsZero() && now.Sub(p.topology.computedAt) < topologyTTL {
		return p.topology
	}
	t := topology{computedAt: now}
	type candidate struct {
		bydigest.Candidate
		addr netip.AddrPort
	}
	byDomain := map[string][]candidate{}
	for id, known := range p.known {
		if now.Sub(known.lastSeen) >= forgetAfter {
			continue
		}
		if known.inOtherDomain {
			t.otherDomain++
		} else {
			t.sameDomain++
			if now.Sub(known.lastSeen) < unreachableAfter {
				t.reachable++
			}
			t.domainAddrs = append(t.domainAddrs, known.addr)
		}
		if now.Sub(known.lastSeen) < unreachableAfter && !known.leaving {
			byDomain[known.domain] = append(byDomain[known.domain], candidate{bydigest.Candidate{Node: id, Capacity: known.capacity}, known.addr})
		}
	}
	own := bydigest.Candidate{Node: p.node.self.Node, Capacity: p.node.reloadableSettings.Load().Capacity}
	for domain, candidates := range byDomain {
		slices.SortFunc(candidates, func(a, b candidate) int { return bydigest.Compare(a.Candidate, b.Candidate) })
		for i, c := range candidates {
			if domain == p.node.settings.Domain && bydigest.Compare(c.Candidate, own) < 0 {
				t.ownRank++
			}
			if i >= relaysPerDomain {
				continue
			}
			if domain == p.node.settings.Domain {
				t.relays = append(t.relays, c.addr)
			} else {
				t.otherRelays = append(t.otherRelays, c.addr)
			}
		}
	}
	p.topology = t
	return t
}

// handleRelayed applies what a relay passes on. Its sums are applied only if it has
// lately passed on a heartbeat of this node too: a relay that does not hear the nodes
// of its domain would report their work as done.
func (p *peers) handleRelayed(d bypeer.Datagram) {
	n := p.node
	for _, h := range d.Relayed {
		if h.Member == n.self {
			p.recordEcho(d.Heartbeat)
			continue
		}
		p.handleHeartbeat(h)
	}
	for _, hash := range d.Alive {
		if hash == n.selfHash {
			p.recordEcho(d.Heartbeat)
			continue
		}
		p.handleAlive(hash, d.Heartbeat)
	}
	isRelay := p.relay.active.Load()
	for _, digest := range d.Digests {
		switch {
		case digest.Domain == "" && !isRelay && p.isHeardBy(d.Heartbeat.Member.Node):
			n.loadTracker.RecordFleetLoad(digest.Loads, digest.CachedParts)
		case digest.Domain != "" && isRelay && digest.Domain != n.settings.Domain:
			n.loadTracker.RecordPeerLoad(domainSum(digest.Domain), digest.Loads, digest.CachedParts)
			p.relay.aggregator.RecordDigest(digest)
		}
	}
}

// handleAlive records that a relay, whose heartbeat is given, has heard a member.
func (p *peers) handleAlive(hash uint64, relay bymember.Heartbeat) {
	id, ok := p.node.view.RecordAlive(hash, relay.Waited)
	if !ok {
		return // the relay will repeat the member's heartbeat
	}
	p.mu.Lock()
	if known, at := p.known[id], p.node.clock.Now().Add(-relay.Waited); known != nil && at.After(known.lastSeen) {
		known.lastSeen = at
	}
	p.mu.Unlock()
	if p.relay.active.Load() && relay.Domain != p.node.settings.Domain {
		p.relay.aggregator.RecordAlive(id, relay.Waited)
	}
}

// recordEcho records that a relay, whose heartbeat is given, has passed on a heartbeat of
// this node.
func (p *peers) recordEcho(relay bymember.Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relay.echoes[relay.Member.Node] = p.node.clock.Now().Add(-relay.Waited)
}

// isHeardBy reports whether a relay has lately passed on a heartbeat of this node. If
// so, it records that sums of a relay arrive.
func (p *peers) isHeardBy(relay burdockyard.NodeID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.node.clock.Now()
	for id, at := range p.relay.echoes {
		if now.Sub(at) >= relayLossTimeout {
			delete(p.relay.echoes, id)
		}
	}
	_, ok := p.relay.echoes[relay]
	if ok {
		p.relay.lastSums = now
	}
	return ok
}

// hasLostRelays reports whether no sums have come for relayLossTimeout.
func (p *peers) hasLostRelays() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.clock.Now().Sub(p.relay.lastSums) >= relayLossTimeout
}

// domainSum returns the name under which a relay records the sums of another failure
// domain. No node has a name with a slash at its end.
func domainSum(domain string) burdockyard.NodeID { return burdockyard.NodeID(domain + "/") }

// sendToRelays sends a heartbeat to the relays of this failure domain if one is due,
// and returns the time until the next round. If the relays are lost, it sends to every
// node of the domain instead.
func (p *peers) sendToRelays(t topology, times *heartbeatTimes) time.Duration {
	now := times.last
	full := now.Sub(times.toAllDomains) >= maxHeartbeatInterval
	if !full && !p.node.loadTracker.HasChange() {
		return changeInterval
	}
	addrs := t.relays
	if full {
		times.toAllDomains = now
		if p.hasLostRelays() {
			addrs = t.domainAddrs
		}
	}
	p.send(bypeer.Datagram{Heartbeat: p.ownHeartbeat(full, true)}, addrs)
	return changeInterval
}

// sendAsRelay passes on what has changed since the last round, and returns the time
// until the next round.
func (p *peers) sendAsRelay(t topology, times *heartbeatTimes) time.Duration {
	n, now := p.node, times.last
	if !p.relay.active.Swap(true) {
		p.relay.since = now
	}
	interval := bydigest.RoundInterval(len(t.domainAddrs)+len(t.otherRelays), n.reloadableSettings.Load().Capacity)
	if t.ownRank > 0 {
		interval *= secondRelayFactor
	}
	// An urgent change of this node's own work does not make the round come earlier.
	if left := interval - now.Sub(times.toSameDomain); left > minHeartbeatInterval/2 {
		return left
	}
	times.toSameDomain = now
	full := now.Sub(times.toAllDomains) >= maxHeartbeatInterval
	if full {
		times.toAllDomains = now
	}
	own := p.ownHeartbeat(full, true)
	if t.reachable == 0 && t.sameDomain > 0 {
		// Either all others are gone or their heartbeats do not arrive. What this node
		// has to tell is only its own work.
		p.relay.since = now
		p.send(bypeer.Datagram{Heartbeat: own}, append(slices.Clone(t.domainAddrs), t.otherRelays...))
		return interval
	}
	p.relay.aggregator.RecordHeartbeat(own)
	sameDomain, otherDomains := p.relay.aggregator.Take(full)
	own.Loads, own.CachedParts = nil, nil // they are part of the digests
	withDigest := now.Sub(p.relay.since) >= relayWarmUp
	p.sendBundle(own, sameDomain, withDigest, t.domainAddrs)
	p.sendBundle(own, otherDomains, withDigest, t.otherRelays)
	return interval
}

// sendBundle sends a bundle in as many datagrams as it needs.
func (p *peers) sendBundle(own bymember.Heartbeat, b bydigest.Bundle, withDigest bool, addrs []netip.AddrPort) {
	heartbeats := slices.DeleteFunc(b.Heartbeats, func(h bymember.Heartbeat) bool { return h.Member.Node == own.Member.Node })
	loads, parts := b.Digest.Loads, b.Digest.CachedParts
	if !withDigest {
		loads, parts = nil, nil
	}
	alive := b.Alive
	for first := true; first || len(heartbeats)+len(loads)+len(parts)+len(alive) > 0; first = false {
		d := bypeer.Datagram{Heartbeat: own}
		d.Alive, alive = cut(alive, maxAlivePerDatagram)
		d.Relayed, heartbeats = cut(heartbeats, maxRelayedPerDatagram)
		digest := bydigest.Digest{Domain: b.Digest.Domain}
		digest.Loads, loads = cut(loads, maxLoadsPerDatagram)
		digest.CachedParts, parts = cut(parts, maxLoadsPerDatagram)
		if withDigest {
			d.Digests = []bydigest.Digest{digest}
		}
		p.send(d, addrs)
	}
}

// sendConfirmation tells the nodes of this failure domain that their copy of a table is
// still up to date.
func (p *peers) sendConfirmation(c bypeer.Confirmation) {
	p.send(bypeer.Datagram{Heartbeat: p.sender(), Confirmations: []bypeer.Confirmation{c}}, p.currentTopology().domainAddrs)
}

// cut splits s after at most n elements.
func cut[T any](s []T, n int) (head, tail []T) {
	n = min(n, len(s))
	return s[:n], s[n:]
}
