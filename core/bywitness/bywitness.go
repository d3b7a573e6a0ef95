// Package bywitness decides whether the process of an endpoint has ended, from what
// several nodes find when they open new connections.
//
// A refused connection alone proves nothing: the links of a node may refuse all new
// connections while the endpoints work on, also on requests of this node. So a node that
// is refused asks peers as witnesses. A witness that is refused as well counts only if it
// reaches another endpoint, since its own links may have failed at the same time.
//
// # Usage
//
//	if own != bywitness.Refused { … the endpoint may be at work … }
//	for _, peer := range bywitness.Select(peers, domain, 2, rand.Shuffle) {
//		findings = append(findings, ask(peer)) // there: bywitness.Find(endpoint, others)
//	}
//	ended := bywitness.HasEnded(own, findings)
//
// A node without peers is its own witness.
package bywitness

import (
	"slices"

	"burdockyard"
	"burdockyard/core/bymember"
)

// Connection is the result of opening a new connection to an endpoint.
type Connection int

// The results of opening a connection.
const (
	NoAnswer Connection = iota // nothing came back in time, or the error tells nothing
	Refused
	Accepted
	NotTold // the node that has tried does not tell
)

// String returns the result as it appears in logs.
func (c Connection) String() string {
	return [...]string{"no answer", "refused", "accepted", "not told"}[c]
}

// Finding is what one node has found out about an endpoint.
type Finding int

// The findings of a node.
const (
	Unproved Finding = iota // the node cannot tell, or has not answered in time
	Ended
	Alive
)

// String returns the finding as it appears in logs.
func (f Finding) String() string { return [...]string{"unproved", "ended", "alive"}[f] }

// Probe is a connection to an endpoint that a node has opened for comparison.
type Probe struct {
	Endpoint burdockyard.EndpointID
	Result   Connection
}

// Report is the finding of one node and what it rests on.
type Report struct {
	Finding    Finding
	Connection Connection // to the endpoint in question
	Others     []Probe    // connections to other endpoints; empty if none was needed
}

// String returns the report as it appears in logs.
func (r Report) String() string {
	if r.Connection == NotTold {
		return r.Finding.String()
	}
	text := r.Connection.String()
	for i, o := range r.Others {
		separator := ", "
		if i == 0 {
			separator = "; "
		}
		text += separator + string(o.Endpoint) + " " + o.Result.String()
	}
	return r.Finding.String() + " (" + text + ")"
}

// Find returns the finding of a node, given the results of connections to the endpoint in
// question and to a sample of the other endpoints that the node knows.
func Find(endpoint Connection, others []Connection) Finding {
	switch {
	case endpoint == Accepted:
		return Alive
	case endpoint == Refused && (len(others) == 0 || slices.Contains(others, Accepted)):
		return Ended
	}
	return Unproved
}

// HasEnded reports whether the process of an endpoint has ended, given the result of this
// node's own connection and the findings of the witnesses.
func HasEnded(own Connection, findings []Finding) bool {
	return own == Refused && slices.Contains(findings, Ended) && !slices.Contains(findings, Alive)
}

// MayHaveEnded reports whether the process of an endpoint may have ended although HasEnded
// does not hold: this node is refused, and no witness reaches the endpoint.
func MayHaveEnded(own Connection, findings []Finding) bool {
	return own == Refused && !slices.Contains(findings, Alive)
}

// Select returns up to n peers to ask as witnesses. It prefers peers outside the failure
// domain of this node, each in a domain of its own, as the nodes of one domain may lose
// their links together. shuffle is like rand.Shuffle.
func Select(peers []bymember.Heartbeat, ownDomain string, n int, shuffle func(n int, swap func(i, j int))) []bymember.Heartbeat {
	var candidates []bymember.Heartbeat
	for _, p := range peers {
		if p.Ready && !p.Leaving {
			candidates = append(candidates, p)
		}
	}
	shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	seen := map[string]bool{ownDomain: true}
	var preferred, others []bymember.Heartbeat
	for _, p := range candidates {
		if seen[p.Domain] {
			others = append(others, p)
		} else {
			seen[p.Domain] = true
			preferred = append(preferred, p)
		}
	}
	slices.SortStableFunc(others, func(a, b bymember.Heartbeat) int {
		return boolToInt(a.Domain == ownDomain) - boolToInt(b.Domain == ownDomain)
	})
	all := append(preferred, others...)
	return all[:min(n, len(all))]
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
