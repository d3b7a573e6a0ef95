package byentry

import (
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/bymember"
	"burdockyard/core/byversion"
)

// fakeClock is a clock that a test advances.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// TestNodeOutOfStepTakesNoStreamUp guards against the failure that a node which was frozen, or
// is cut off from its peers and the store, takes streams up by splits that have changed
// meanwhile. A node that hears its peers must go on through an outage of the store.
func TestNodeOutOfStepTakesNoStreamUp(t *testing.T) {
	const configBound = 2 * time.Second
	for _, tt := range []struct {
		name  string
		hears []string // peers that are heard after the last reading of the store
		want  bool     // whether the version of a stream is known
	}{
		{"cut off from all peers, or frozen", nil, false},
		{"with one of three peers", []string{"n2"}, false},
		{"store away for all", []string{"n2", "n3", "n4"}, true},
		{"store away, one peer killed", []string{"n2", "n3"}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := &fakeClock{now: time.Unix(1_000_000, 0)}
			n := New(Settings{Node: "n1", Domain: "a", PeerAddr: "10.0.0.1:1", ReloadableSettings: ReloadableSettings{ConfigBound: configBound}}, Platform{}, WithClock(clock))
			seq := uint64(0)
			hear := func(peers ...string) {
				for _, peer := range peers {
					seq++
					n.peers.handleHeartbeat(bymember.Heartbeat{
						Member: burdockyard.Member{Node: burdockyard.NodeID(peer), Incarnation: "1", Addr: "10.0.0.2:1"}, Domain: "a", Seq: seq, Ready: true, SplitSeq: 1,
					})
				}
			}
			hear("n2", "n3", "n4")
			one := byversion.NewSplit(map[string]int{"v1": 4})
			n.versions.table.Apply(byversion.Record{Seq: 1, Services: map[string]byversion.State{"llm": {Active: one}}}, true, 0, clock.now)
			if v, err := n.versions.table.VersionOf("llm", "r1"); err != nil || v != "v1" {
				t.Fatalf("VersionOf returned %q, %v, want v1", v, err)
			}
			clock.now = clock.now.Add(configBound + time.Millisecond)
			hear(tt.hears...)
			if _, err := n.versions.table.VersionOf("llm", "r1"); (err == nil) != tt.want {
				t.Errorf("VersionOf returned error %v, want the version known: %v", err, tt.want)
			}
			if got := n.versions.table.MayBegin("llm", "r1", "v1"); got != tt.want {
				t.Errorf("MayBegin returned %v, want %v", got, tt.want)
			}
		})
	}
}
