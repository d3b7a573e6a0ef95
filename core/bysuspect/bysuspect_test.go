package bysuspect_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/byquarantine"
	"burdockyard/core/bysuspect"
)

// world is a clock, and a registry in which tests set the fates of processes.
type world struct {
	now    time.Time
	readAt time.Time
	fates  map[burdockyard.EndpointID]byfleet.Fate
}

func newWorld() *world {
	now := time.Unix(1000, 0)
	return &world{now: now, readAt: now, fates: map[burdockyard.EndpointID]byfleet.Fate{}}
}

func (w *world) Now() time.Time    { return w.now }
func (w *world) ReadAt() time.Time { return w.readAt }
func (w *world) Fate(id burdockyard.EndpointID, _ int64, _ string) byfleet.Fate {
	return w.fates[id]
}

// pass lets time pass, with the registry read all the while.
func (w *world) pass(d time.Duration) { w.now, w.readAt = w.now.Add(d), w.now.Add(d) }

var (
	first  = bysuspect.Process{ID: "i-1", BornMS: 10, Addr: "10.0.0.1:80"}
	second = bysuspect.Process{ID: "i-2", BornMS: 20, Addr: "10.0.0.2:80"}
)

func suspicion(request uint64, refused ...bysuspect.Process) bysuspect.Suspicion {
	return bysuspect.Suspicion{Process: first, Refused: refused, End: byquarantine.End{Request: request, Endpoint: first.Hash(), Keys: []byquarantine.Key{7}}}
}

// TestOnlyLaterFactsSettleSuspicions guards against ends that count although links had failed,
// and against real ones that never count.
func TestOnlyLaterFactsSettleSuspicions(t *testing.T) {
	const open = bysuspect.Result(0)
	for _, tt := range []struct {
		name string
		then func(w *world, r *bysuspect.Tracker)
		want bysuspect.Result
	}{
		{"nothing is known", func(w *world, _ *bysuspect.Tracker) { w.pass(5 * time.Second) }, open},
		{"nothing is known for long", func(w *world, _ *bysuspect.Tracker) { w.pass(time.Minute) }, bysuspect.NotSettled},
		{"both are replaced", func(w *world, _ *bysuspect.Tracker) {
			w.fates["i-1"], w.fates["i-2"] = byfleet.Replaced, byfleet.Replaced
		}, bysuspect.Ended},
		{"both are replaced and accept connections", func(w *world, r *bysuspect.Tracker) {
			r.RecordAccepted(first)
			r.RecordAccepted(second)
			w.pass(time.Second)
			w.fates["i-1"], w.fates["i-2"] = byfleet.Replaced, byfleet.Replaced
			w.pass(10 * time.Second)
		}, bysuspect.Ended},
		{"the other one is still refused", func(w *world, r *bysuspect.Tracker) {
			w.fates["i-1"] = byfleet.Replaced
			w.pass(5 * time.Second)
			r.RecordRefused(second)
		}, open},
		{"it is replaced, but the links had failed", func(w *world, r *bysuspect.Tracker) {
			w.fates["i-1"] = byfleet.Replaced
			r.RecordAccepted(second)
			w.pass(3 * time.Second)
		}, bysuspect.LinksFailed},
		{"its entry may not have been read yet", func(w *world, r *bysuspect.Tracker) {
			r.RecordAccepted(first)
			w.now = w.now.Add(10 * time.Second) // no reading since
		}, open},
		{"it accepts connections", func(w *world, r *bysuspect.Tracker) {
			r.RecordAccepted(first)
			w.pass(3 * time.Second)
		}, bysuspect.Alive},
		{"it accepts connections, and is replaced much later", func(w *world, r *bysuspect.Tracker) {
			r.RecordAccepted(first)
			w.pass(3 * time.Second)
			r.Settle()
			w.fates["i-1"], w.fates["i-2"] = byfleet.Replaced, byfleet.Replaced
		}, open},
		{"it leaves", func(w *world, _ *bysuspect.Tracker) { w.fates["i-1"] = byfleet.Leaving }, bysuspect.Leaving},
		{"both entries are gone, both are refused", func(w *world, r *bysuspect.Tracker) {
			w.fates["i-1"], w.fates["i-2"] = byfleet.Gone, byfleet.Gone
			w.pass(time.Second)
			r.Settle()
			w.pass(time.Second)
			r.RecordRefused(first)
			r.RecordRefused(second)
		}, bysuspect.Ended},
		{"its entry is gone, but it serves on", func(w *world, r *bysuspect.Tracker) {
			w.fates["i-1"], w.fates["i-2"] = byfleet.Gone, byfleet.Replaced
			w.pass(time.Second)
			r.Settle()
			r.RecordAccepted(first)
			w.pass(3 * time.Second)
		}, bysuspect.Alive},
		{"its entry is gone, no connection since", func(w *world, r *bysuspect.Tracker) {
			r.RecordRefused(first)
			w.fates["i-1"], w.fates["i-2"] = byfleet.Gone, byfleet.Replaced
			w.pass(5 * time.Second)
		}, open},
		{"this node has read no entries yet", func(w *world, r *bysuspect.Tracker) {
			w.fates["i-1"], w.fates["i-2"] = byfleet.Gone, byfleet.Gone
			w.now = w.now.Add(time.Second)
			r.Settle()
			w.now = w.now.Add(time.Second)
			r.RecordRefused(first)
			r.RecordRefused(second)
		}, open},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld()
			r := bysuspect.New(w, "n1", w)
			r.Add(suspicion(1, second))
			if got := r.Settle(); len(got) != 0 {
				t.Fatalf("settled at once: %+v", got)
			}
			tt.then(w, r)
			got := open
			if all := r.Settle(); len(all) > 0 {
				got = all[0].Result
			}
			if got != tt.want {
				t.Errorf("got result %v, want %v", got, tt.want)
			}
		})
	}
}

// TestSuspicionOutlivesItsNode guards against suspicions that are lost with the node that had
// them, and against those that come back by the news of a peer after they were settled.
func TestSuspicionOutlivesItsNode(t *testing.T) {
	w := newWorld()
	origin, peer := bysuspect.New(w, "n1", w), bysuspect.New(w, "n2", w)
	origin.Add(suspicion(1))
	w.pass(time.Second)
	if !peer.Merge(origin.News()) || peer.Merge(origin.News()) {
		t.Fatal("a suspicion is not new the first time, or again the second time")
	}
	w.pass(5 * time.Second) // the origin is gone
	w.fates["i-1"] = byfleet.Replaced
	got := peer.Settle()
	if len(got) != 1 || got[0].Result != bysuspect.Ended || got[0].End.Age != 6*time.Second {
		t.Fatalf("the peer has settled %+v, want one end 6 s ago", got)
	}
	if peer.Merge(origin.News()); len(peer.Ends()) != 0 {
		t.Error("a settled suspicion is open again")
	}
}

// TestFewNodesExamineSuspicion guards against probes by all nodes of a large fleet, and
// against suspicions that nodes remember although nobody tells of them any more.
func TestFewNodesExamineSuspicion(t *testing.T) {
	w := newWorld()
	origin := bysuspect.New(w, "n0", w)
	origin.Add(suspicion(1, second))
	var peers []*bysuspect.Tracker
	probing := 0
	for i := range 295 {
		r := bysuspect.New(w, burdockyard.NodeID(string(rune('A'+i))), w)
		r.SetNodes(296)
		if r.Merge(origin.News()); len(r.Probes(8, rand.Shuffle)) > 0 {
			probing++
		}
		peers = append(peers, r)
	}
	if probing == 0 || probing > 16 {
		t.Errorf("%d of 295 peers examine a suspicion, want a few", probing)
	}
	w.pass(4 * time.Second)
	remembered := 0
	for _, r := range peers {
		r.Settle()
		remembered += len(r.Ends())
	}
	if remembered != probing {
		t.Errorf("%d peers remember a suspicion that is no longer told, want the %d that examine it", remembered, probing)
	}
}

// TestDoubtedSuspicionHoldsNothing guards against sound requests that stay held after links have
// come back, at nodes that examine the suspicion and at those that are only told of it, and
// against requests that go on to end endpoints because a later process has accepted a connection.
func TestDoubtedSuspicionHoldsNothing(t *testing.T) {
	for _, tt := range []struct {
		name string
		then func(w *world, r *bysuspect.Tracker)
		want int // number of ends that hold requests
	}{
		{"nothing accepts connections", func(w *world, r *bysuspect.Tracker) { r.RecordRefused(first) }, 1},
		{"the endpoint accepts one", func(_ *world, r *bysuspect.Tracker) { r.RecordAccepted(first) }, 0},
		{"another one that had refused accepts one", func(_ *world, r *bysuspect.Tracker) { r.RecordAccepted(second) }, 0},
		{"a later process accepts one", func(w *world, r *bysuspect.Tracker) {
			r.RecordAccepted(first)
			w.fates["i-1"] = byfleet.Replaced
		}, 1},
		{"a later process accepts one, as is read late", func(w *world, r *bysuspect.Tracker) {
			r.RecordAccepted(first)
			w.pass(500 * time.Millisecond)
			w.fates["i-1"] = byfleet.Replaced
		}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld()
			origin, told := bysuspect.New(w, "n1", w), bysuspect.New(w, "n2", w)
			told.SetNodes(1 << 20) // does not examine the suspicion
			origin.Add(suspicion(1, second))
			told.Merge(origin.News())
			tt.then(w, origin)
			w.pass(500 * time.Millisecond)
			told.Merge(origin.News())
			for name, r := range map[string]*bysuspect.Tracker{"node that examines it": origin, "node that is told": told} {
				if got := len(r.Ends()); got != tt.want {
					t.Errorf("%s: %d ends hold requests, want %d", name, got, tt.want)
				}
			}
			if len(origin.Settle()) != 0 {
				t.Error("the suspicion is settled, want it open")
			}
		})
	}
}

// TestAnswerMattersToOpenSuspicion guards against answers that are not looked at, and so do not
// speak against an end, because it has not been shown yet.
func TestAnswerMattersToOpenSuspicion(t *testing.T) {
	w := newWorld()
	r := bysuspect.New(w, "n1", w)
	r.Add(suspicion(1, second))
	r.RecordAccepted(second) // in doubt, but open
	w.pass(time.Second)
	if !r.IsSuspected([]byquarantine.Key{6, 7}) || r.IsSuspected([]byquarantine.Key{6}) {
		t.Error("want an open suspicion of requests with key 7, none of those with key 6 alone")
	}
	w.pass(time.Second)
	r.Settle()
	if r.IsSuspected([]byquarantine.Key{7}) {
		t.Error("a settled suspicion is still reported")
	}
}
