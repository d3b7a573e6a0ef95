package bymember

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answer chooses the nodes that callers of a failure domain are told of, at most
// most of them.
//
// Callers pick among the addresses of an answer at random and stop using a
// connection to a node that a newer answer leaves out. So the answer can't favour
// a node by naming it often, and it must not change from one moment to the next.
// Instead a node is named to more or fewer domains: those of its own always, the
// others by a weighted rendezvous of domain and node, so that of the callers
// elsewhere a node of half the capacity is told to half as many domains. Where
// the answer is full, the same order decides; in the order of names the first
// nodes of a large fleet would get all callers.
func Answer(nodes []Heartbeat, domain string, limit int) []Heartbeat {
	largest := 0.0
	for _, b := range nodes {
		largest = max(largest, b.Capacity)
	}
	var candidates []candidate
	for _, b := range nodes {
		c := candidate{b, b.Domain == domain, uniformHash(domain, b)}
		if c.sameDomain || largest == 0 || c.uniform <= b.Capacity/largest {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) < min(minNodes, len(nodes)) {
		candidates = candidates[:0]
		for _, b := range nodes {
			candidates = append(candidates, candidate{b, b.Domain == domain, uniformHash(domain, b)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.sameDomain != b.sameDomain {
			if a.sameDomain {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(a.orderKey(), b.orderKey()),
			strings.Compare(string(a.heartbeat.Member.Node), string(b.heartbeat.Member.Node)))
	})
	chosen := make([]Heartbeat, 0, min(limit, len(candidates)))
	for _, c := range candidates[:min(limit, len(candidates))] {
		chosen = append(chosen, c.heartbeat)
	}
	return chosen
}

// minNodes is how many nodes an answer names at least, if there are as many:
// callers must have another one to go to when a node is lost.
const minNodes = 4

// candidate is a node that an answer may name.
type candidate struct {
	heartbeat  Heartbeat
	sameDomain bool    // in the callers' failure domain
	uniform    float64 // uniform in (0, 1], the same on every node
}

// orderKey orders candidates so that each comes first with a probability in
// proportion to its capacity. A VM that does not know its own comes last.
func (c candidate) orderKey() float64 {
	return -math.Log(c.uniform) / max(c.heartbeat.Capacity, minCapacity)
}

// minCapacity, a share of a core, stands for one that is not known.
const minCapacity = 1e-3

func uniformHash(domain string, hb Heartbeat) float64 {
	h := xxhash.Sum64String(domain + "\x00" + string(hb.Member.Node))
	return (float64(h>>11) + 1) / (1 << 53)
}
