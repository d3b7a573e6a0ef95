package byentry

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/bymember"
	"burdockyard/core/byreach"
	"burdockyard/core/byrole"
	"burdockyard/io/bymem"
	"burdockyard/platform"
	"burdockyard/platform/bystub"
)

// roleTestNode is one node with stub engines. The node's background loops do not run.
type roleTestNode struct {
	node    *Node
	runners map[string]*bystub.Runner
	spec    *burdockyard.ServiceSpec
}

func newRoleTestNode(t *testing.T, table burdockyard.Table, name string) *roleTestNode {
	t.Helper()
	tn := &roleTestNode{
		node:    New(Settings{Node: burdockyard.NodeID(name), Domain: "a", ClaimTTL: 3 * time.Second, ReloadableSettings: ReloadableSettings{Capacity: 1}}, Platform{Table: table, Protocol: platform.Protocol{}, Engines: platform.EngineProtocol{}}),
		runners: map[string]*bystub.Runner{},
		spec:    &burdockyard.ServiceSpec{Name: "llm", Model: &burdockyard.ModelSpec{Slots: 12, RoleChangeTime: time.Second}},
	}
	tn.node.routes.Update(&burdockyard.RouteConfig{Version: 1, Services: map[string]*burdockyard.ServiceSpec{"llm": tn.spec}})
	var all []burdockyard.Instance
	for _, id := range []string{"p1", "p2", "d1", "d2", "d3"} {
		stage, role := "decode", burdockyard.RoleDecode
		if id[0] == 'p' {
			stage, role = "prefill", burdockyard.RolePrefill
		}
		r := bystub.NewRunner(bystub.RunnerConfig{ID: id, Service: "llm", Stage: stage, StageChangeTime: time.Hour})
		srv := httptest.NewServer(r)
		t.Cleanup(srv.Close)
		tn.runners[id] = r
		all = append(all, burdockyard.Instance{ID: burdockyard.EndpointID(id), Addr: strings.TrimPrefix(srv.URL, "http://"), Service: "llm", Domain: "a", Slots: 12, Role: role, Sequence: 1})
	}
	tn.node.fleet.Apply(all, nil, time.Now())
	return tn
}

func (tn *roleTestNode) changeRole(role burdockyard.Role) {
	tn.node.roles.changeRole(context.Background(), byrole.New(tn.node.clock), tn.spec, tn.node.fleet.Usable("llm"), role)
}

func (tn *roleTestNode) usableIDs() []string {
	var ids []string
	for _, e := range tn.node.fleet.Usable("llm") {
		ids = append(ids, string(e.ID))
	}
	return ids
}

// TestRoleChange checks that one engine gets one order with a fencing number, and
// that neither the ordering node nor its peers use the engine during the change.
func TestRoleChange(t *testing.T) {
	tn := newRoleTestNode(t, bymem.NewTable(), "n1")
	tn.changeRole(burdockyard.RolePrefill)
	got := tn.runners["d1"].Orders()
	zero := 0
	want := bystub.RunnerOrder{Stage: "prefill", Holder: "n1", Fence: 1, Expected: &zero}
	if len(got) != 1 || got[0].Stage != want.Stage || got[0].Holder != want.Holder || got[0].Fence != want.Fence || *got[0].Expected != 0 {
		t.Fatalf("orders to d1 are %+v, want one equal to %+v", got, want)
	}
	if usable := tn.usableIDs(); !slices.Equal(usable, []string{"d2", "d3", "p1", "p2"}) {
		t.Errorf("usable engines during the role change of d1 are %v, want all but d1", usable)
	}
	peer := newRoleTestNode(t, bymem.NewTable(), "n2")
	peer.node.peers.handleHeartbeat(bymember.Heartbeat{Member: burdockyard.Member{Node: "n1", Incarnation: "1", Addr: "10.0.0.1:1"}, Domain: "a", Seq: 1, HeldEngines: tn.node.roles.renewHolds()})
	if usable := peer.usableIDs(); !slices.Equal(usable, []string{"d2", "d3", "p1", "p2"}) {
		t.Errorf("usable engines on a peer during the role change of d1 are %v, want all but d1", usable)
	}
	tn.changeRole(burdockyard.RolePrefill) // d1 is on hold, so the next order goes to d2
	if n, m := len(tn.runners["d1"].Orders()), len(tn.runners["d2"].Orders()); n != 1 || m != 1 {
		t.Errorf("d1 and d2 got %d and %d orders, want one each", n, m)
	}
}

// TestRoleChangeByTwoNodes guards against an engine that gets orders from two nodes.
// Both nodes may consider themselves responsible while they see different peers, and
// the claim in the store must let only one of them send an order.
func TestRoleChangeByTwoNodes(t *testing.T) {
	table := bymem.NewTable()
	a, b := newRoleTestNode(t, table, "n1"), newRoleTestNode(t, table, "n2")
	a.changeRole(burdockyard.RolePrefill)
	b.changeRole(burdockyard.RolePrefill)
	if n := len(a.runners["d1"].Orders()); n != 1 {
		t.Errorf("d1 got %d orders from the first node, want 1", n)
	}
	for id, r := range b.runners {
		if n := len(r.Orders()); n != 0 {
			t.Errorf("%s got %d orders from the second node, want none", id, n)
		}
	}
	if _, waits := b.node.roles.pending["llm"]; !waits {
		t.Error("the second node has no engine pending, want it to wait until the claim expires")
	}
}

// TestRoleChangeRefused checks that no order is sent to an engine that already has
// the role, and that an order meant for another engine at the same address is not
// accepted.
func TestRoleChangeRefused(t *testing.T) {
	tn := newRoleTestNode(t, bymem.NewTable(), "n1")
	e, ok := tn.node.roles.pickEngine(tn.node.fleet.Usable("llm"), burdockyard.RolePrefill)
	if !ok || e.ID != "d1" {
		t.Fatalf("pickEngine returned engine %q, want d1", e.ID)
	}
	claim, err := tn.node.roles.claims.Acquire(context.Background(), e.ID)
	if err != nil {
		t.Fatal(err)
	}
	if err := tn.node.roles.sendOrder(context.Background(), claim, e, burdockyard.RoleDecode); err == nil {
		t.Error("order to an engine that already has the role returned no error, want an error")
	}
	e.ID = "another"
	if err := tn.node.roles.sendOrder(context.Background(), claim, e, burdockyard.RolePrefill); err == nil {
		t.Error("order to an engine whose address belongs to another one returned no error, want an error")
	}
	if n := len(tn.runners["d1"].Orders()); n != 0 {
		t.Errorf("d1 accepted %d orders, want none", n)
	}
}

// TestCutOffNodeOrdersNoEngine guards against role changes that nobody orders, because the
// node that ranks first has lost its links to the engines, or that two nodes order.
func TestCutOffNodeOrdersNoEngine(t *testing.T) {
	whole, cut := byreach.Peer{Reached: []string{"llm"}}, byreach.Peer{Lost: []string{"llm"}}
	for _, tt := range []struct {
		own, peer byreach.Peer
		want      string // which of the two is responsible: this node, the peer, or the one that ranks first
	}{{whole, whole, "first"}, {whole, cut, "this"}, {cut, whole, "peer"}, {cut, cut, "first"}} {
		for _, peer := range []string{"n1", "n2", "n3", "n4", "n5"} {
			n := newRoleTestNode(t, bymem.NewTable(), "n0").node
			n.records.known.Store(true)
			n.versions.table.Confirm(n.clock.Now())
			n.view.RecordHeartbeat(bymember.Heartbeat{Member: burdockyard.Member{Node: burdockyard.NodeID(peer), Incarnation: "1"}, Seq: 1, Ready: true, Reach: tt.peer})
			if len(tt.own.Lost) == 0 {
				n.reach.RecordContact("llm", "p1")
			} else {
				n.reach.RecordFailure("llm", "p1", 2)
				n.reach.RecordFailure("llm", "p2", 2)
			}
			isFirst := n.view.Rank("roles/llm", "", "a") == 0
			if got, want := n.roles.isResponsible("llm"), tt.want == "this" || tt.want == "first" && isFirst; got != want {
				t.Errorf("with statement %+v and %+v of peer %s, the node is responsible: %v, want %v", tt.own, tt.peer, peer, got, want)
			}
		}
	}
}
