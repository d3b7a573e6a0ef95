package byentry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/bymember"
	"burdockyard/io/bypeer"
)

// feedStore is a store of one row that knows its changes.
type feedStore struct {
	burdockyard.Registry
	row     burdockyard.Row
	version burdockyard.StoreVersion
}

func (s *feedStore) Scan(context.Context, string) (burdockyard.Snapshot, error) {
	return burdockyard.Snapshot{Rows: []burdockyard.Row{s.row}, Version: s.version}, nil
}

func (s *feedStore) Changes(_ context.Context, _ string, after burdockyard.StoreVersion, _ time.Duration) (burdockyard.Snapshot, error) {
	snap := burdockyard.Snapshot{Version: s.version}
	if s.row.Version > after.Number {
		snap.Changes = []burdockyard.Change{{Row: s.row}}
	}
	return snap, nil
}

// TestNodeThatLacksAChangeFindsIt guards against the failure that a node goes by an old
// configuration until the next change, since a peer has denied the last one, as nodes of
// earlier releases may.
func TestNodeThatLacksAChangeFindsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		at := func(number uint64) burdockyard.StoreVersion { return burdockyard.StoreVersion{Era: 1, Number: number} }
		row := func(version uint64) burdockyard.Row {
			return burdockyard.Row{Key: "op/config", Value: fmt.Append(nil, version), Version: version, Era: 1}
		}
		decode := func(value []byte) (*burdockyard.RouteConfig, error) {
			c := &burdockyard.RouteConfig{}
			_, err := fmt.Sscan(string(value), &c.Version)
			return c, err
		}
		const bound = 2 * time.Second
		store := &feedStore{row: row(5), version: at(5)}
		n := New(Settings{Node: "n1", Domain: "a", PeerAddr: "10.0.0.1:1", ReloadableSettings: ReloadableSettings{ConfigBound: bound}},
			Platform{Registry: store, ConfigTable: "op", ConfigKey: "op/config", DecodeConfig: decode})
		w := n.configWatcher
		if err := w.poll(t.Context()); err != nil || n.configVersion() != 5 {
			t.Fatalf("poll returned %v and version %d is in force, want 5", err, n.configVersion())
		}
		store.row, store.version = row(7), at(8)
		n.applyConfirmation(bypeer.Confirmation{Table: "op", ChangedSince: at(5), Version: at(8)}, "n2") // it is wrong
		for seq := range uint64(20) {
			n.peers.handleHeartbeat(bymember.Heartbeat{
				Member: burdockyard.Member{Node: "n2", Incarnation: "1", Addr: "10.0.0.2:1"}, Domain: "b", Seq: seq + 1, Ready: true, Generation: 7,
			})
			time.Sleep(bound / 20)
			if w.lacksChange() {
				if err := w.readWhole(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
		}
		if n.configVersion() != 7 {
			t.Errorf("version %d is in force, want 7", n.configVersion())
		}
	})
}
