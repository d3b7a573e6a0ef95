package byversion_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/byversion"
)

const (
	testMaxAge   = 2 * time.Second
	testLifetime = 3 * time.Second
	service      = "llm"
)

// testClock is a clock that a test advances.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func newTable(c burdockyard.Clock) *byversion.Table {
	return byversion.New(c, func() time.Duration { return testMaxAge })
}

func requestID(i int) burdockyard.RequestID { return burdockyard.RequestID(fmt.Sprint("request-", i)) }

// A change of weights that moved all IDs would make the version of every open stream unknown.
func TestChangedWeightsMoveFewIDs(t *testing.T) {
	const ids = 4000
	for _, c := range []struct {
		name          string
		before, after map[string]int
		want          float64 // share of the IDs that have to move
	}{
		{"same", map[string]int{"v1": 4, "v2": 5}, map[string]int{"v1": 4, "v2": 5}, 0},
		{"one endpoint more", map[string]int{"v1": 4, "v2": 5}, map[string]int{"v1": 4, "v2": 6}, 1.0/6 - 1.0/9*4/10},
		{"version added", map[string]int{"v1": 4}, map[string]int{"v1": 4, "v2": 1}, 0.2},
		{"version gone", map[string]int{"v1": 4, "v2": 1}, map[string]int{"v1": 4}, 0.2},
		{"many endpoints", map[string]int{"v1": 100, "v2": 28}, map[string]int{"v1": 99, "v2": 29}, 0.04},
	} {
		t.Run(c.name, func(t *testing.T) {
			before, after := byversion.SplitByCapacity(c.before), byversion.SplitByCapacity(c.after)
			moved := 0
			for i := range ids {
				a, okA := before.VersionOf(requestID(i))
				b, okB := after.VersionOf(requestID(i))
				if !okA || !okB {
					t.Fatal("an ID has no version")
				}
				if a != b {
					moved++
				}
			}
			if got := float64(moved) / ids; got > c.want+0.05 {
				t.Errorf("%.3f of the IDs move, want at most %.3f", got, c.want+0.05)
			}
		})
	}
}

// A version that got far more streams than its share of the endpoints would be overloaded.
func TestSplitFollowsWeights(t *testing.T) {
	const ids = 20000
	weights := map[string]int{"v1": 9, "v1.1": 3, "": 4, "gone": 0}
	s := byversion.SplitByCapacity(weights)
	count := map[string]int{}
	for i := range ids {
		v, _ := s.VersionOf(requestID(i))
		count[v]++
	}
	for v, w := range weights {
		if got, want := float64(count[v])/ids, float64(w)/16; got < want-0.03 || got > want+0.03 {
			t.Errorf("version %q gets %.3f of the IDs, want %.3f", v, got, want)
		}
	}
}

// A node that guessed the version of a stream would join the texts of two versions.
func TestUnknownVersionIsRefused(t *testing.T) {
	one := byversion.NewSplit(map[string]int{"v1": 4})
	two := byversion.NewSplit(map[string]int{"v1": 2, "v2": 2})
	for _, c := range []struct {
		name      string
		record    byversion.Record
		storeEra  uint64
		age       time.Duration // of the last reading
		heard     uint64        // number of the record that a peer names
		wantKnown float64       // share of the streams whose version is known
		wantBegin float64       // share of the new streams that may begin where they should run
	}{
		{"one version", byversion.Record{Seq: 1, Services: map[string]byversion.State{service: {Active: one}}}, 0, 0, 0, 1, 1},
		{"one version, store away", byversion.Record{Seq: 1, Services: map[string]byversion.State{service: {Active: one}}}, 0, time.Minute, 1, 1, 1},
		{"one version, store away, peer knows more", byversion.Record{Seq: 1, Services: map[string]byversion.State{service: {Active: one}}}, 0, time.Minute, 2, 0, 0},
		{"two versions", byversion.Record{Seq: 1, Services: map[string]byversion.State{service: {Active: two}}}, 0, 0, 0, 1, 1},
		{"two versions, old reading", byversion.Record{Seq: 1, Services: map[string]byversion.State{service: {Active: two}}}, 0, testMaxAge + 1, 0, 0, 0},
		{"announced", byversion.Record{Seq: 2, Services: map[string]byversion.State{service: {Active: one, Next: two, NextSince: 2}}}, 0, 0, 0, 0.5, 1},
		{"switched", byversion.Record{Seq: 3, Services: map[string]byversion.State{service: {Active: two, Formers: []byversion.Former{{Split: one, RetiredBy: 3}}}}}, 0, 0, 0, 0.5, 1},
		{"lost records", byversion.Record{Seq: 3, Services: map[string]byversion.State{service: {Active: one, UnknownSince: 3}}}, 0, 0, 0, 0, 0},
		{"restored store", byversion.Record{Seq: 3, Services: map[string]byversion.State{service: {Active: one}}}, 1, 0, 0, 0, 0},
		{"no record of the service", byversion.Record{Seq: 3}, 0, 0, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := &testClock{now: time.Unix(1_000_000, 0)}
			table := newTable(clock)
			table.Apply(c.record, true, c.storeEra, clock.now)
			table.Hear(0, c.heard)
			clock.now = clock.now.Add(c.age)
			const ids = 2000
			known, begin := 0, 0
			for i := range ids {
				if _, err := table.VersionOf(service, requestID(i)); err == nil {
					known++
				} else if !errors.Is(err, byversion.ErrUnknownVersion) {
					t.Fatalf("got the error %v, want ErrUnknownVersion", err)
				}
				if v, ok := table.Preferred(service, requestID(i)); ok && table.MayBegin(service, requestID(i), v) {
					begin++
				}
			}
			for _, got := range []struct {
				what string
				n    int
				want float64
			}{{"known", known, c.wantKnown}, {"may begin", begin, c.wantBegin}} {
				if share := float64(got.n) / ids; share < got.want-0.05 || share > got.want+0.05 {
					t.Errorf("%s: a share of %.3f, want %.3f", got.what, share, got.want)
				}
			}
		})
	}
}
