package byentry

import (
	"fmt"
	"testing"
	"time"

	"burdockyard"
)

// TestStartingNodesQueryDifferentEngines guards against overloading single engines
// when all nodes of a large fleet start at once: each query takes up time of the
// engine, so no engine may be queried by more than half of the nodes.
func TestStartingNodesQueryDifferentEngines(t *testing.T) {
	const nodes = 60
	queries := map[burdockyard.EndpointID]int{}
	for range nodes {
		n := New(Settings{Node: "n", Domain: "a"}, Platform{})
		n.routes.Update(&burdockyard.RouteConfig{Version: 1, Services: map[string]*burdockyard.ServiceSpec{"llm": {Name: "llm", Model: &burdockyard.ModelSpec{Slots: 12}}}})
		var all []burdockyard.Instance
		for i := range 240 {
			role := burdockyard.RolePrefill
			if i >= 120 {
				role = burdockyard.RoleDecode
			}
			all = append(all, burdockyard.Instance{ID: burdockyard.EndpointID(fmt.Sprintf("e%03d", i)), Service: "llm", Domain: string(rune('a' + i%3)), Role: role, Sequence: 1})
		}
		n.fleet.Apply(all, nil, time.Now())
		engines := n.enginesToQuery()
		if len(engines) != maxCacheQueries {
			t.Fatalf("got %d engines to query, want %d", len(engines), maxCacheQueries)
		}
		for _, e := range engines {
			if e.Role != burdockyard.RolePrefill {
				t.Errorf("decode engine %s is queried, want only prefill engines", e.ID)
			}
			queries[e.ID]++
		}
	}
	for id, n := range queries {
		if n > nodes/2 {
			t.Errorf("%s is queried by %d of %d nodes, want at most half", id, n, nodes)
		}
	}
}
