package byentry

import (
	"bytes"
	"context"
	"maps"
	"strings"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/bymirror"
	"burdockyard/core/byquarantine"
	"burdockyard/io/bylog"
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

// TestOddRecordDoesNotStopSaving guards against the failure that no record of the
// quarantine can be written any more once another writer has written one row of the table.
func TestOddRecordDoesNotStopSaving(t *testing.T) {
	ctx := context.Background()
	for name, odd := range map[string]burdockyard.Row{
		"not JSON":       {Key: recordKey(7), Value: []byte("\xff")},
		"another type":   {Key: recordKey(7), Value: []byte(`{"ends":"3"}`)},
		"huge number":    {Key: recordKey(7), Value: []byte(`{"ends":9223372036854775807,"last_end":9223372036854775807}`)},
		"negative":       {Key: recordKey(7), Value: []byte(`{"ends":-3,"last_end":-1}`)},
		"companion":      {Key: recordKey(7), Value: []byte(`{"ends":3,"last_end":1,"companions":["7x"]}`)},
		"companions":     {Key: recordKey(7), Value: []byte(`{"ends":3,"last_end":1,"companions":["1"` + strings.Repeat(`,"1"`, byquarantine.MaxCompanions) + `]}`)},
		"nested":         {Key: recordKey(7), Value: []byte(strings.Repeat("[", 60_000))},
		"key with zeros": {Key: quarantineTable + "/007", Value: []byte(`{"ends":1,"last_end":1}`)},
		"key is no hash": {Key: quarantineTable + "/no-hash", Value: []byte(`{"ends":3}`)},
	} {
		t.Run(name, func(t *testing.T) {
			odd.Version = 5
			store := &nodeTableStore{rows: map[string]burdockyard.Row{odd.Key: odd}}
			var logs bytes.Buffer
			n := New(Settings{Node: "n1", Domain: "a", PeerAddr: "10.0.0.1:1"}, Platform{Registry: store, Table: store}, WithLog(bylog.New(&logs, "info", "n1")))
			for range 3 {
				rows, stored, err := n.records.scan(ctx)
				if err != nil || len(stored) != 0 {
					t.Fatalf("scan returned records %+v, error %v, want none", stored, err)
				}
				txn, err := saveTxn(rows, stored, []byquarantine.Record{{Key: 7, Ends: 3, LastEnd: time.Unix(9, 0)}}, n.clock.Now())
				if err != nil || len(txn.Writes) != 1 {
					t.Fatalf("saveTxn returned %+v, error %v, want one row", txn, err)
				}
				if err := (&nodeTableStore{rows: maps.Clone(store.rows)}).Commit(ctx, txn); err != nil {
					t.Errorf("the record cannot be written: %v", err)
				}
			}
			if lines := strings.Count(logs.String(), "invalid value"); lines != 1 {
				t.Errorf("the log has %d lines on the row after three readings, want 1:\n%s", lines, logs.String())
			}
		})
	}
}

// TestOddNodeRowNamesNoPeer guards against heartbeats to an address that no node can have,
// and a line in the log at each reading of an odd row.
func TestOddNodeRowNamesNoPeer(t *testing.T) {
	for _, value := range []string{"", "[]", `{"addr":"10.0.0.2:0"}`, `{"addr":"10.0.0.2:65536"}`, `{"addr":7}`, `{"capacity":1e400,"addr":"10.0.0.2:1"}`, strings.Repeat("[", 60_000)} {
		store := &nodeTableStore{rows: map[string]burdockyard.Row{"nodes/odd": {Key: "nodes/odd", Value: []byte(value), Version: 3}}}
		var logs bytes.Buffer
		n := New(Settings{Node: "n1", Domain: "a", PeerAddr: "10.0.0.1:1"}, Platform{Registry: store, Table: store}, WithLog(bylog.New(&logs, "info", "n1")))
		for range 3 {
			if err := n.peers.scanNodes(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		sameDomain, otherDomain := n.peers.countByDomain()
		if lines := strings.Count(logs.String(), "invalid value"); sameDomain+otherDomain != 0 || lines != 1 {
			t.Errorf("row %.40q: %d peers and %d lines in the log after three readings, want none and 1", value, sameDomain+otherDomain, lines)
		}
	}
}
