package byentry

import (
	"reflect"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/byquarantine"
)

// TestRecordRowKeepsAll guards against the failure that what speaks against a verdict gets lost in
// the store, and that a node cannot tell a key without companions from one whose companions an
// earlier release did not store.
func TestRecordRowKeepsAll(t *testing.T) {
	for _, companions := range [][]byquarantine.Key{nil, {}, {0xbad1, byquarantine.RequestKey(9)}} {
		r := byquarantine.Record{Key: 7, Ends: 5, LastEnd: time.UnixMilli(4000), LastTrial: time.UnixMilli(5000), Companions: companions, LastAnswer: time.UnixMilli(3000)}
		value, err := encodeRecord(r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeRecord(burdockyard.Row{Key: recordKey(7), Value: value})
		if err != nil || !reflect.DeepEqual(got, r) {
			t.Errorf("row %s is read as %+v, %v, want %+v", value, got, err, r)
		}
	}
}
