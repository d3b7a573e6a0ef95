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
func Answer(nodes []Heartbeat, domain string, most int) []Heartbeat {
	largest := 0.0
	for _, b := range nodes {
		largest = max(largest, b.Capacity)
	}
	var named []candidate
	for _, b := range nodes {
		c := candidate{b, b.Domain == domain, draw(domain, b)}
		if c.near || largest == 0 || c.draw <= b.Capacity/largest {
			named = append(named, c)
		}
	}
	if len(named) < min(leastNamed, len(nodes)) {
		named = named[:0]
		for _, b := range nodes {
			named = append(named, candidate{b, b.Domain == domain, draw(domain, b)})
		}
	}
	slices.SortFunc(named, func(a, b candidate) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(a.weight(), b.weight()),
			strings.Compare(string(a.beat.Member.Node), string(b.beat.Member.Node)))
	})
	chosen := make([]Heartbeat, 0, min(most, len(named)))
	for _, c := range named[:min(most, len(named))] {
		chosen = append(chosen, c.beat)
	}
	return chosen
}

// leastNamed is how many nodes an answer names at least, if there are as many:
// callers must have another one to go to when a node is lost.
const leastNamed = 4

// candidate is a node that an answer may name.
type candidate struct {
	beat Heartbeat
	near bool    // in the callers' failure domain
	draw float64 // uniform in (0, 1], the same on every node
}

// weight orders candidates so that each comes first with a probability in
// proportion to its capacity. A VM that does not know its own comes last.
func (c candidate) weight() float64 {
	return -math.Log(c.draw) / max(c.beat.Capacity, leastCapacity)
}

// leastCapacity, a share of a core, stands for one that is not known.
const leastCapacity = 1e-3

func draw(domain string, b Heartbeat) float64 {
	h := xxhash.Sum64String(domain + "\x00" + string(b.Member.Node))
	return (float64(h>>11) + 1) / (1 << 53)
}
