package byentry

import (
	"context"
	"testing"

	"burdockyard"
	"burdockyard/core/bymirror"
	"burdockyard/platform"
)

// TestRowWithShortKeyEndsNoProcess guards against the failure that a node ends because the
// key of a row, read by itself or relayed by a peer, does not begin with its table.
func TestRowWithShortKeyEndsNoProcess(t *testing.T) {
	store := &nodeTableStore{rows: map[string]burdockyard.Row{}}
	n := New(Settings{Node: "n1", Domain: "a", PeerAddr: "10.0.0.1:1"},
		Platform{Registry: store, Table: store, InstanceTable: platform.InstanceTable, DecodeInstance: platform.DecodeInstance})
	for _, key := range []string{"", "/", "/x", "n", "servers", "nodes"} {
		store.rows[key] = burdockyard.Row{Key: key, Value: []byte("{}"), Version: 1}
		n.applyInstances(bymirror.Delta{Changed: []burdockyard.Row{store.rows[key]}, Removed: []string{key}}, n.clock.Now())
	}
	if err := n.peers.scanNodes(context.Background()); err != nil || n.fleet.Len() != 0 {
		t.Errorf("scanNodes returned %v and the fleet has %d endpoints, want no error and none", err, n.fleet.Len())
	}
}
