package bymember_test

import (
	"fmt"
	"testing"

	"burdockyard/core/bymember"
)

func nodeNames(heartbeats []bymember.Heartbeat) map[string]bool {
	m := map[string]bool{}
	for _, hb := range heartbeats {
		m[string(hb.Member.Node)] = true
	}
	return m
}

func TestSelectNodes(t *testing.T) {
	t.Run("all VMs of equal capacity are returned", func(t *testing.T) {
		var nodes []bymember.Heartbeat
		for i := range 9 {
			nodes = append(nodes, heartbeat(fmt.Sprint("n", i), string(rune('a'+i%3)), 1, 0.4))
		}
		for _, domain := range []string{"a", "b", "c", "elsewhere"} {
			if got := len(bymember.SelectNodes(nodes, domain, 64)); got != 9 {
				t.Errorf("callers of domain %s got %d nodes; want 9", domain, got)
			}
		}
	})
	t.Run("a small VM is returned in fewer domains", func(t *testing.T) {
		var nodes []bymember.Heartbeat
		for i := range 400 {
			nodes = append(nodes, heartbeat(fmt.Sprint("n", i), "a", 1, []float64{0.8, 0.2}[i%2]))
		}
		nodes = append(nodes, heartbeat("near", "b", 1, 0.2))
		got := bymember.SelectNodes(nodes, "b", 1000)
		large, small := 0, 0
		for _, hb := range got {
			switch {
			case hb.Domain == "b":
			case hb.Capacity == 0.8:
				large++
			default:
				small++
			}
		}
		if large != 200 || small < 30 || small > 70 {
			t.Errorf("of 200 large VMs and 200 of a quarter the size in other domains, %d and %d were returned; want 200 and 30 to 70", large, small)
		}
		if !nodeNames(got)["near"] {
			t.Error("small VM of the callers' own domain was not returned")
		}
	})
	t.Run("the limit still covers all nodes across domains", func(t *testing.T) {
		var nodes []bymember.Heartbeat
		for i := range 330 {
			nodes = append(nodes, heartbeat(fmt.Sprintf("n%03d", i), fmt.Sprint("d", i/55), 1, 0.4))
		}
		returned := map[string]bool{}
		for d := range 6 {
			selected := bymember.SelectNodes(nodes, fmt.Sprint("d", d), 64)
			if len(selected) != 64 {
				t.Fatalf("%d nodes returned; want 64", len(selected))
			}
			for id := range nodeNames(selected) {
				returned[id] = true
			}
		}
		if len(returned) != 330 {
			t.Errorf("callers of all domains together got %d nodes; want all 330", len(returned))
		}
	})
	t.Run("the selection does not depend on the order of the input", func(t *testing.T) {
		nodes := []bymember.Heartbeat{heartbeat("a", "x", 1, 0.8), heartbeat("b", "y", 1, 0.2), heartbeat("c", "y", 1, 0.3), heartbeat("d", "y", 1, 0.1), heartbeat("e", "y", 1, 0.5)}
		reordered := []bymember.Heartbeat{nodes[3], nodes[1], nodes[4], nodes[0], nodes[2]}
		first, second := bymember.SelectNodes(nodes, "x", 2), bymember.SelectNodes(reordered, "x", 2)
		if len(first) != 2 || first[0].Member != second[0].Member || first[1].Member != second[1].Member {
			t.Errorf("input in two orders selected %v and %v; want the same 2 nodes", nodeNames(first), nodeNames(second))
		}
		if got := len(bymember.SelectNodes(nodes[1:], "x", 64)); got != 4 {
			t.Errorf("%d nodes returned for a domain without nodes; want all 4", got)
		}
	})
}
