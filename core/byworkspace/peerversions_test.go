package byworkspace_test

import (
	"testing"
	"time"

	"burdockyard/core/byworkspace"
)

// TestReadingsOfRestoredStoreProveNothing guards against keys that are believed again although
// they were taken away, because the store has lost the change and a node that has not read it
// takes its readings for a proof.
func TestReadingsOfRestoredStoreProveNothing(t *testing.T) {
	const lapse = 4500 * time.Millisecond
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	// event is a reading, or a heartbeat of a peer that goes by a version.
	type event struct {
		at      float64
		version uint64 // of the peer; 0 for a reading
		own     uint64 // version that the node goes by
	}
	for _, tt := range []struct {
		name   string
		events []event
		hears  float64 // when the node begins to hear its peers
		now    float64
		own    uint64
		want   float64 // proved up to then; -1: nothing
	}{
		{"first reading, peers not heard", []event{{1, 0, 10}}, 9, 1.5, 10, -1},
		{"first reading, peers go by the same", []event{{1, 0, 10}, {1.2, 10, 10}}, 1.2, 1.5, 10, 1},
		{"first reading, peers go by a newer version", []event{{1, 0, 10}, {1.2, 13, 10}, {2, 0, 10}}, 1.2, 2.5, 10, -1},
		{"peers are heard before the first reading", []event{{0.2, 13, 0}, {1, 0, 10}, {2, 0, 10}}, 0.2, 2.5, 10, -1},
		{"the newer version is read", []event{{1, 0, 10}, {1.2, 13, 10}, {2, 0, 13}}, 1.2, 2.5, 13, 2},
		{"peers are never heard", []event{{1, 0, 10}, {2, 0, 10}, {3, 0, 10}}, 99, 3.5, 10, 3},
		{"a running node hears of a change", []event{{1, 0, 10}, {2, 0, 10}, {2.5, 13, 10}, {3, 0, 10}, {4, 0, 10}}, 1, 4.5, 10, 2},
		{"a node wakes", []event{{1, 0, 10}, {9, 0, 10}}, 0, 9.1, 10, -1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var p byworkspace.PeerVersions
			var proven time.Time
			events := tt.events
			for now := 0.0; now < tt.now; now += 0.05 {
				if tt.name == "a node wakes" && now > 2 && now < 9 {
					continue
				}
				for len(events) > 0 && events[0].at <= now {
					e := events[0]
					if events = events[1:]; e.version > 0 {
						p.Hear(e.version, e.own, proven)
					} else {
						proven = at(e.at)
					}
				}
				hears := now >= tt.hears && (tt.name != "a node wakes" || now < 9)
				p.Observe(at(now), proven, hears, lapse)
			}
			want := time.Time{}
			if tt.want >= 0 {
				want = at(tt.want)
			}
			if got := p.Limit(proven, tt.own, lapse); !got.Equal(want) {
				t.Errorf("proved up to %v, want %v", got.Sub(start), want.Sub(start))
			}
		})
	}
}
