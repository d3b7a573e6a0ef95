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
		{"two versions, fresh reading, peer knows more", byversion.Record{Seq: 1, Services: map[string]byversion.State{service: {Active: two}}}, 0, 0, 2, 1, 1},
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

// capacity returns the argument of Propose for one service.
func capacity(endpoints map[string]int) map[string]map[string]int {
	return map[string]map[string]int{service: endpoints}
}

func lifetimes() map[string]time.Duration { return map[string]time.Duration{service: testLifetime} }

// A node that was out of touch while others changed the split does not know what a restore
// of the store has undone. If it went by its old record, streams would go on at another
// version on all nodes.
func TestRestoreBehindLaggardLeavesVersionsUnknown(t *testing.T) {
	for _, hears := range []bool{false, true} {
		t.Run(fmt.Sprint("hears of the newest record/", hears), func(t *testing.T) {
			clock := &testClock{now: time.Unix(1_000_000, 0)}
			old := byversion.Record{Era: 1, Seq: 4, Services: map[string]byversion.State{service: {Active: byversion.NewSplit(map[string]int{"v1": 4})}}}
			laggard, other := newTable(clock), newTable(clock)
			laggard.Apply(old, true, 1, clock.now)
			other.Apply(old, true, 1, clock.now)
			for !other.MayBegin(service, "s", "v2") { // a release that only the other node sees
				clock.now = clock.now.Add(200 * time.Millisecond)
				other.Confirm(clock.now)
				if next, ok := other.Propose(capacity(map[string]int{"v2": 4}), lifetimes()); ok {
					other.Apply(next, true, 1, clock.now)
				}
			}
			if hears {
				laggard.Hear(other.Number())
			}
			laggard.Apply(old, true, 2, clock.now)
			if v, err := laggard.VersionOf(service, "s"); err == nil {
				t.Errorf("the laggard takes up a stream of v2 at %s", v)
			}
			next, ok := laggard.Propose(capacity(map[string]int{"v2": 4}), lifetimes())
			if !ok {
				return
			}
			third := newTable(clock)
			third.Apply(next, true, 2, clock.now)
			if v, err := third.VersionOf(service, "s"); err == nil && v != "v2" {
				t.Errorf("by the laggard's record, a stream of v2 goes on at %s", v)
			}
		})
	}
}

// A split that became active before every older reading is too old would let a node take up
// streams without knowing of it.
func TestSplitWaitsForOldReadings(t *testing.T) {
	clock := &testClock{now: time.Unix(1_000_000, 0)}
	record := byversion.Record{Seq: 1, Services: map[string]byversion.State{service: {Active: byversion.NewSplit(map[string]int{"v1": 4, "v2": 4})}}}
	leader, follower := newTable(clock), newTable(clock)
	leader.Apply(record, true, 0, clock.now)
	announced := false
	for range 100 {
		clock.now = clock.now.Add(100 * time.Millisecond)
		leader.Confirm(clock.now)
		next, ok := leader.Propose(capacity(map[string]int{"v2": 8}), lifetimes())
		if !ok {
			continue
		}
		if !announced {
			// The follower has read just before. The reading is relayed, and looks younger.
			follower.Apply(record, true, 0, clock.now.Add(900*time.Millisecond))
			announced = true
		}
		leader.Apply(next, true, 0, clock.now)
		if next.Services[service].Next.IsZero() {
			if _, err := follower.VersionOf(service, "s"); err == nil {
				t.Error("the next split is active while a node without it takes up streams")
			}
			return
		}
	}
	t.Error("the split has not changed")
}

// Before the first record, streams may have begun at a version that has left. If they counted
// as streams of the versions that are left, they would go on at another one.
func TestFirstRecordLeavesVersionsUnknown(t *testing.T) {
	clock := &testClock{now: time.Unix(1_000_000, 0)}
	table := newTable(clock)
	table.Apply(byversion.Record{}, false, 3, clock.now)
	if !table.HasNone() {
		t.Error("the store has no record, and the table does not say so")
	}
	if v, err := table.VersionOf(service, "s"); err == nil {
		t.Errorf("without a record, a stream goes on at %s", v)
	}
	record, ok := table.Propose(capacity(map[string]int{"v2": 4}), lifetimes())
	if !ok || !table.Apply(record, true, 3, clock.now) || table.HasNone() {
		t.Fatal("the first record is not proposed")
	}
	if v, err := table.VersionOf(service, "s"); err == nil {
		t.Errorf("after the first record, a stream from before goes on at %s", v)
	}
	for range 50 { // until no stream from before can go on
		clock.now = clock.now.Add(200 * time.Millisecond)
		table.Confirm(clock.now)
		if record, ok := table.Propose(capacity(map[string]int{"v2": 4}), lifetimes()); ok {
			table.Apply(record, true, 3, clock.now)
		}
	}
	if v, err := table.VersionOf(service, "s"); err != nil || v != "v2" {
		t.Errorf("a stream goes on at %q, error %v, want v2", v, err)
	}
}

// A next split with a version that has left would hold its share of new streams for seconds
// after a release of all endpoints at once.
func TestReleaseOfAllEndpointsHoldsStreamsBriefly(t *testing.T) {
	clock := &testClock{now: time.Unix(1_000_000, 0)}
	table := newTable(clock)
	table.Apply(byversion.Record{Seq: 1, Services: map[string]byversion.State{service: {Active: byversion.NewSplit(map[string]int{"v1": 9})}}}, true, 0, clock.now)
	endpoints := map[string]int{"v1": 9, "v2": 9}
	held := 0
	for i := range 100 {
		clock.now = clock.now.Add(100 * time.Millisecond)
		table.Confirm(clock.now)
		if i == 10 {
			endpoints = map[string]int{"v2": 9}
		}
		if next, ok := table.Propose(capacity(endpoints), lifetimes()); ok {
			table.Apply(next, true, 0, clock.now)
		}
		for k := range 100 {
			version, _ := table.Preferred(service, requestID(k))
			if endpoints[version] == 0 {
				version = "v2"
			}
			if !table.MayBegin(service, requestID(k), version) {
				held++
			}
		}
	}
	// The wait for other nodes is maxAge and a second.
	if limit := 100 * 10 * 3.5; float64(held) > limit {
		t.Errorf("%.1f s of new streams are held, want at most 3.5 s", float64(held)/1000)
	}
}
