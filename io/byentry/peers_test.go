package byentry

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/bymember"
	"burdockyard/io/bylog"
)

// nodeTableStore is an in-memory store that holds only the node table.
type nodeTableStore struct {
	burdockyard.Registry
	burdockyard.Table
	rows map[string]burdockyard.Row
}

func (s *nodeTableStore) Scan(context.Context, string) (burdockyard.Snapshot, error) {
	var snap burdockyard.Snapshot
	for _, r := range s.rows {
		snap.Rows = append(snap.Rows, r)
	}
	return snap, nil
}

func (s *nodeTableStore) Commit(_ context.Context, txn burdockyard.Txn) error {
	for _, c := range txn.Checks {
		if s.rows[c.Key].Version != c.Version {
			return burdockyard.ErrConflict
		}
	}
	for _, w := range txn.Writes {
		if w.Delete {
			delete(s.rows, w.Key)
		} else {
			s.rows[w.Key] = burdockyard.Row{Key: w.Key, Value: w.Value, Version: s.rows[w.Key].Version + 1}
		}
	}
	return nil
}

// TestLostNodesAreForgotten guards against state that accumulates for lost nodes,
// since VMs are replaced all day. A lost node must get no more heartbeats and must
// not count when the connections to an endpoint are divided among the nodes, and its
// row must be removed. A node that sends heartbeats stays.
func TestLostNodesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &nodeTableStore{rows: map[string]burdockyard.Row{}}
		n := New(Settings{Node: "n1", Domain: "a", ReloadableSettings: ReloadableSettings{Capacity: 1}, PeerAddr: "10.0.0.1:1"}, Platform{Registry: store, Table: store})
		for _, id := range []string{"lost", "alive"} {
			value, err := json.Marshal(nodeRow{Addr: "10.0.0.2:1", Domain: "a"})
			if err != nil {
				t.Fatal(err)
			}
			store.rows["nodes/"+id] = burdockyard.Row{Key: "nodes/" + id, Value: value, Version: 1}
		}
		seq := uint64(0)
		for range 6 {
			seq++
			n.peers.handleHeartbeat(bymember.Heartbeat{Member: burdockyard.Member{Node: "alive", Addr: "10.0.0.2:1"}, Domain: "a", Seq: seq})
			if err := n.peers.scanNodes(context.Background()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(30 * time.Second)
		}
		if sameDomain, otherDomain := n.peers.countByDomain(); sameDomain != 1 || otherDomain != 0 {
			t.Errorf("heartbeats go to %d nodes in this failure domain and %d in others, want 1 and 0", sameDomain, otherDomain)
		}
		if _, ok := store.rows["nodes/lost"]; ok {
			t.Error("row nodes/lost still exists, want it deleted")
		}
		for _, key := range []string{"nodes/alive", "nodes/n1"} {
			if _, ok := store.rows[key]; !ok {
				t.Errorf("row %s does not exist, want it kept", key)
			}
		}
	})
}

// TestUnreachablePeersAreLogged checks that the log has one line when a peer becomes
// unreachable and one when its heartbeats resume, rather than a line at each check.
func TestUnreachablePeersAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logs bytes.Buffer
		n := New(Settings{Node: "n1", Domain: "a", PeerAddr: "10.0.0.1:1"}, Platform{}, WithLog(bylog.New(&logs, "info", "n1")))
		expectLogged := func(why string, want ...string) {
			t.Helper()
			n.peers.logReachability()
			var got []string
			for _, line := range strings.Split(logs.String(), "\n") {
				if _, text, ok := strings.Cut(line, "members: peer "); ok {
					got = append(got, strings.TrimSuffix(text, `"}`))
				}
			}
			logs.Reset()
			if !slices.Equal(got, want) {
				t.Errorf("%s: logged %q, want %q", why, got, want)
			}
		}
		sendHeartbeat := func(seq uint64) {
			n.peers.handleHeartbeat(bymember.Heartbeat{Member: burdockyard.Member{Node: "n2", Incarnation: "1", Addr: "10.0.0.2:1"}, Domain: "a", Seq: seq})
		}
		expectLogged("alone")
		sendHeartbeat(1)
		expectLogged("after the first heartbeat", "regained")
		time.Sleep(time.Second)
		expectLogged("one second without heartbeats")
		time.Sleep(time.Second)
		expectLogged("two seconds without heartbeats", "lost")
		expectLogged("still without heartbeats")
		sendHeartbeat(2)
		expectLogged("after another heartbeat", "regained")
	})
}
