package bypeer

import (
	"reflect"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/bymember"
	"burdockyard/core/byquarantine"
	"burdockyard/core/bysuspect"
	"burdockyard/io/bypeer/bypeerpb"
)

// TestQuarantineNewsKeepCompanions guards against the failure that a node takes a verdict of a
// peer of an earlier release, which tells no companions, for one without companions.
func TestQuarantineNewsKeepCompanions(t *testing.T) {
	for _, companions := range [][]byquarantine.Key{nil, {}, {0xbad1}} {
		news := byquarantine.News{Quarantined: []byquarantine.Verdict{{Key: 7, Ends: 5, Age: time.Second, TrialAge: -1, Companions: companions}}}
		if got := quarantineFromProto(quarantineToProto(news)); !reflect.DeepEqual(got, news) {
			t.Errorf("news are read as %+v, want %+v", got, news)
		}
	}
	old := &bypeerpb.QuarantineNews{Quarantined: []*bypeerpb.QuarantinedKey{{Key: 7, Ends: 5, AgeMs: 1000, TrialAgeMs: -1}}}
	if got := quarantineFromProto(old); got.Quarantined[0].Companions != nil {
		t.Errorf("companions %v from a peer that tells none, want them unknown", got.Quarantined[0].Companions)
	}
}

// TestSuspicionsArriveUnchanged guards against suspected ends that a peer cannot examine as it
// lacks a part of them, and against nodes of earlier releases, which tell none.
func TestSuspicionsArriveUnchanged(t *testing.T) {
	want := bymember.Heartbeat{Member: burdockyard.Member{Node: "n1"}, Suspicions: []bysuspect.Suspicion{{
		Process: bysuspect.Process{ID: "i-1", BornMS: 10, Addr: "10.0.0.1:80"}, Refused: []bysuspect.Process{{ID: "i-2", BornMS: 20, Addr: "10.0.0.2:80"}},
		Doubted: true, End: byquarantine.End{Request: 1, Endpoint: 2, Keys: []byquarantine.Key{3, 4}, Age: time.Second},
	}}}
	if got := heartbeatFromProto(heartbeatToProto(want)); !reflect.DeepEqual(got.Suspicions, want.Suspicions) {
		t.Errorf("got suspicions %+v, want %+v", got.Suspicions, want.Suspicions)
	}
	if got := heartbeatFromProto(&bypeerpb.Heartbeat{}); len(got.Suspicions) > 0 {
		t.Errorf("got suspicions %+v of a node that tells none", got.Suspicions)
	}
}
