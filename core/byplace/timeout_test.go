package byplace

import (
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/bymember"
)

// TestBusyEngineIsNotSilent answers a burst of long prompts from many nodes, in which
// prefills take far longer than any node predicts: an engine that goes on to end
// prefills, of this node or of a peer, is not silent. A dark one is.
func TestBusyEngineIsNotSilent(t *testing.T) {
	part := []bymember.CachedPart{{Engine: "p", PartID: 7, Tokens: 13_300}}
	for _, tc := range []struct {
		name string
		work func(*LoadTracker)
		want bool
	}{
		{"dark", func(*LoadTracker) {}, false},
		{"a peer prefilled there", func(t *LoadTracker) { t.RecordPeerLoad("n2", nil, part) }, true},
		{"relays report a prefill there", func(t *LoadTracker) { t.RecordFleetLoad(nil, part) }, true},
		{"this node prefilled there", func(t *LoadTracker) {
			attempt := t.Begin("p", Work{PrefillTime: time.Second})
			attempt.PrefillDone(time.Second)
			attempt.Done()
		}, true},
		{"an attempt of this node failed there", func(t *LoadTracker) { t.Begin("p", Work{PrefillTime: time.Second}).Done() }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := NewLoadTracker(burdockyard.SystemClock{})
				tracker.RecordPeerLoad("n2", []bymember.Load{{Engine: "p", PrefillTokens: 9_000}}, part)
				time.Sleep(time.Millisecond)
				sentAt := time.Now()
				time.Sleep(time.Second)
				tc.work(tracker)
				if got := tracker.HasPrefilledSince("p", sentAt); got != tc.want {
					t.Errorf("HasPrefilledSince is %t, want %t", got, tc.want)
				}
			})
		})
	}
}
