package bypeer

import (
	"reflect"
	"testing"
	"time"

	"burdockyard/core/byquarantine"
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
