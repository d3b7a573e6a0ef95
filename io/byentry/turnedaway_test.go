package byentry

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/core/bymember"
)

// closedStore turns all calls away.
type closedStore struct{ burdockyard.Registry }

func (closedStore) Scan(context.Context, string) (burdockyard.Snapshot, error) {
	return burdockyard.Snapshot{}, burdockyard.ErrUnavailable
}

func (closedStore) Changes(context.Context, string, burdockyard.StoreVersion, time.Duration) (burdockyard.Snapshot, error) {
	return burdockyard.Snapshot{}, burdockyard.ErrUnavailable
}

const turnedAwayBound = time.Second

// storeOfConfig returns a store whose configuration has the given version.
func storeOfConfig(config uint64) *feedStore {
	row := burdockyard.Row{Key: "op/config", Value: fmt.Append(nil, config), Version: config, Era: 1}
	return &feedStore{row: row, version: burdockyard.StoreVersion{Era: 1, Number: config + 1}}
}

// newConfigNode returns a node that follows the configuration of a store, and its peer address.
func newConfigNode(t *testing.T, name burdockyard.NodeID, store burdockyard.Registry) (n *Node, addr string) {
	decode := func(value []byte) (*burdockyard.RouteConfig, error) {
		c := &burdockyard.RouteConfig{}
		_, err := fmt.Sscan(string(value), &c.Version)
		return c, err
	}
	n = New(Settings{Node: name, Domain: "a", PeerAddr: "127.0.0.1:1", ReloadableSettings: ReloadableSettings{ConfigBound: turnedAwayBound}},
		Platform{Registry: store, ConfigTable: "op", ConfigKey: "op/config", DecodeConfig: decode})
	srv := httptest.NewServer(n.peerCallHandler())
	t.Cleanup(srv.Close)
	return n, strings.TrimPrefix(srv.URL, "http://")
}

// startReader returns a node that has read the configuration of a store, and its peer address.
func startReader(t *testing.T, name burdockyard.NodeID, store *feedStore) (n *Node, addr string) {
	n, addr = newConfigNode(t, name, store)
	if err := n.configWatcher.poll(t.Context()); err != nil || n.configVersion() != store.row.Version {
		t.Fatalf("poll returned %v and version %d is in force, want %d", err, n.configVersion(), store.row.Version)
	}
	return n, addr
}

// runUntilConfig runs loops of a node, which hears of its peers meanwhile, until it goes by a
// version of the configuration, and returns how long that took.
func runUntilConfig(t *testing.T, n *Node, version uint64, peers []bymember.Heartbeat, loops ...func(context.Context) error) time.Duration {
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	for _, loop := range loops {
		group.Go(func() error { return loop(ctx) })
	}
	begun := time.Now()
	for seq := uint64(1); n.configVersion() != version && time.Since(begun) < 2*turnedAwayBound; seq++ {
		for _, h := range peers {
			h.Seq, h.Ready = seq, true
			n.peers.handleHeartbeat(h)
		}
		time.Sleep(turnedAwayBound / 50)
	}
	took := time.Since(begun)
	time.Sleep(turnedAwayBound / 20) // for what follows the reading
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	return took
}

func peerHeartbeat(name burdockyard.NodeID, domain, addr string, config uint64) bymember.Heartbeat {
	return bymember.Heartbeat{Member: burdockyard.Member{Node: name, Incarnation: "1", Addr: addr}, Domain: domain, Generation: config}
}

// TestNodeTurnedAwayByTheStoreFollowsItsPeers guards against the failure that a node which the
// store turns away goes by an old configuration until the next change, since the relayed reading
// with the last one was lost, or by none, since it has been restarted.
func TestNodeTurnedAwayByTheStoreFollowsItsPeers(t *testing.T) {
	_, addr := startReader(t, "n1", storeOfConfig(7))
	late, _ := startReader(t, "n2", storeOfConfig(5))
	late.platform.Registry = closedStore{}
	restarted, _ := newConfigNode(t, "n3", closedStore{})
	peers := []bymember.Heartbeat{peerHeartbeat("n1", "a", addr, 0)}
	for _, n := range []*Node{late, restarted} {
		took := runUntilConfig(t, n, 7, peers, n.configWatcher.run, n.configWatcher.followPeers)
		if n.configVersion() != 7 || took > turnedAwayBound {
			t.Errorf("%s: version %d is in force after %v, want 7 within %v", n.self.Node, n.configVersion(), took, turnedAwayBound)
		}
	}
}

// TestReaderThatLagsRelaysTheChange guards against the failure that a node which hears of a newer
// configuration reads it without telling its peers, so that those that the store turns away go
// by the old one until the next change.
func TestReaderThatLagsRelaysTheChange(t *testing.T) {
	store := storeOfConfig(5)
	n, _ := startReader(t, "n1", store)
	other, addr := startReader(t, "n2", storeOfConfig(5))
	*store = *storeOfConfig(7)
	peers := []bymember.Heartbeat{peerHeartbeat("n2", "a", addr, 5), peerHeartbeat("n3", "b", "127.0.0.1:1", 7)}
	took := runUntilConfig(t, n, 7, peers, n.configWatcher.run)
	if n.configVersion() != 7 || other.configVersion() != 7 || took > turnedAwayBound {
		t.Errorf("version %d is in force after %v, and %d at the peer; want 7 at both within %v", n.configVersion(), took, other.configVersion(), turnedAwayBound)
	}
}
