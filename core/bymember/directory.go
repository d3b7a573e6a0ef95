package bymember

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// SelectNodes selects the nodes, at most limit, whose addresses the directory
// returns to callers of a failure domain.
//
// Callers pick one of the returned addresses at random and close connections to
// nodes that a newer answer omits. So listing a node several times would not give
// it a larger share, and the selection must be stable over time. Instead, capacity
// decides in how many domains a node is returned: always in its own, and elsewhere
// by weighted rendezvous hashing of domain and node, so that a node of half the
// capacity is returned in half as many other domains. The same order decides which
// nodes are cut off at the limit; ordered by name, the first nodes of a large fleet
// would get all callers.
func SelectNodes(nodes []Heartbeat, domain string, limit int) []Heartbeat {
	largest := 0.0
	for _, hb := range nodes {
		largest = max(largest, hb.Capacity)
	}
	var candidates []candidate
	for _, hb := range nodes {
		c := candidate{hb, hb.Domain == domain, uniformHash(domain, hb)}
		if c.sameDomain || largest == 0 || c.uniform <= hb.Capacity/largest {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) < min(minNodes, len(nodes)) {
		candidates = candidates[:0]
		for _, hb := range nodes {
			candidates = append(candidates, candidate{hb, hb.Domain == domain, uniformHash(domain, hb)})
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

// minNodes is the least number of nodes to return, if that many exist, so that
// callers have an alternative when a node fails.
const minNodes = 4

// candidate is a node that SelectNodes may select.
type candidate struct {
	heartbeat  Heartbeat
	sameDomain bool    // whether the node is in the callers' failure domain
	uniform    float64 // hash of domain and node in (0, 1]; every node computes the same
}

// orderKey returns the key by which candidates are sorted, lowest first. Each
// candidate comes first with a probability proportional to its capacity. A VM of
// unknown capacity comes last.
func (c candidate) orderKey() float64 {
	return -math.Log(c.uniform) / max(c.heartbeat.Capacity, minCapacity)
}

// minCapacity is the capacity assumed for a VM that reports none, as a share of a
// core.
const minCapacity = 1e-3

// uniformHash maps domain and node to a number that is uniform in (0, 1].
func uniformHash(domain string, hb Heartbeat) float64 {
	h := xxhash.Sum64String(domain + "\x00" + string(hb.Member.Node))
	return (float64(h>>11) + 1) / (1 << 53)
}
