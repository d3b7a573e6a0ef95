package byfleet_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
)

func instance(id string) burdockyard.Instance {
	return burdockyard.Instance{ID: burdockyard.EndpointID(id), Addr: "10.0.0.1:80", Service: "app", Slots: 4, Sequence: 5}
}

func usableIDs(f *byfleet.Fleet) []string {
	var ids []string
	for _, e := range f.Usable("app") {
		ids = append(ids, string(e.ID))
	}
	return ids
}

func expectUsable(t *testing.T, f *byfleet.Fleet, condition string, want ...string) {
	t.Helper()
	if got := usableIDs(f); !slices.Equal(got, want) {
		t.Errorf("%s: Usable returned %v, want %v", condition, got, want)
	}
}

func newFleetWith(ids ...string) *byfleet.Fleet {
	f := byfleet.New(burdockyard.SystemClock{})
	var instances []burdockyard.Instance
	for _, id := range ids {
		instances = append(instances, instance(id))
	}
	f.Apply(instances, nil, time.Now())
	return f
}

func TestDrainingEndpointIsNotUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith("a", "b")
		draining := instance("a")
		draining.Draining = true
		f.Apply([]burdockyard.Instance{draining}, nil, time.Now())
		expectUsable(t, f, "a is draining", "b")
		if f.AcceptsWork("a") {
			t.Error("a queued request may be sent to a draining endpoint, want it refused")
		}
		f.Apply(nil, []burdockyard.EndpointID{"b"}, time.Now())
		expectUsable(t, f, "b's entry was removed")
	})
}

// TestEntriesSurviveStoreOutage guards against losing endpoints whose entries
// expired while the store was unavailable. They write their entries back within
// 2 s of its recovery.
func TestEntriesSurviveStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith("a", "b")
		time.Sleep(8 * time.Second)
		expectUsable(t, f, "during a store outage the last known state is used", "a", "b")
		f.Apply(nil, []burdockyard.EndpointID{"a", "b"}, time.Now())
		expectUsable(t, f, "expired entries are kept right after an outage", "a", "b")
		time.Sleep(time.Second)
		f.Apply([]burdockyard.Instance{instance("a")}, nil, time.Now())
		time.Sleep(1100 * time.Millisecond)
		f.Apply(nil, nil, time.Now())
		expectUsable(t, f, "an entry that is not written back within 2 s is removed", "a")
	})
}

func TestConsecutiveFailuresCauseBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith("a", "b")
		for range 3 {
			f.Report("a", byfleet.Failed)
			expectUsable(t, f, "fewer failures than the threshold, as a healthy service has", "a", "b")
		}
		f.Report("a", byfleet.Failed)
		expectUsable(t, f, "four consecutive failures", "b")
		f.Report("b", byfleet.Unreachable)
		expectUsable(t, f, "all endpoints are in backoff: they are used rather than none", "a", "b")
		time.Sleep(2100 * time.Millisecond)
		expectUsable(t, f, "after the longest backoff", "a", "b")
	})
}

// TestSilentEndpointBacksOffAtOnce guards against sending request after request to
// an endpoint that accepts work and never responds. Each request that is given up
// lowers its apparent load, so that it would be chosen for the next one.
func TestSilentEndpointBacksOffAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith("a", "b")
		f.Report("a", byfleet.NoAnswer)
		expectUsable(t, f, "one request without an answer before its deadline", "a", "b")
		if s := f.Report("a", byfleet.Silent); s != byfleet.Suspended {
			t.Errorf("Report(Silent) returned %v, want the endpoint suspended", s)
		}
		expectUsable(t, f, "a gave no response for far longer than predicted", "b")
		time.Sleep(2100 * time.Millisecond)
		expectUsable(t, f, "after the backoff", "a", "b")
		if s := f.Report("a", byfleet.Succeeded); s != byfleet.Restored {
			t.Errorf("Report returned %v for the first success, want the endpoint restored", s)
		}
		if s := f.Report("a", byfleet.Succeeded); s != byfleet.Unchanged {
			t.Errorf("Report returned %v for the second success, want no change", s)
		}
	})
}

// TestWrongEndpointIsSuspendedUntilRestart checks that an endpoint whose entry holds
// the address of another endpoint gets no work until it restarts.
func TestWrongEndpointIsSuspendedUntilRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith("a", "b")
		f.Report("a", byfleet.WrongEndpoint)
		expectUsable(t, f, "another endpoint answered at a's address", "b")
		restarted := instance("a")
		restarted.Sequence = 1
		f.Apply([]burdockyard.Instance{restarted}, nil, time.Now())
		expectUsable(t, f, "a restarted", "a", "b")
	})
}

// TestShedsCauseBackoff guards against idle engines that refuse all work: the less
// an endpoint accepts, the less loaded it looks, so that without a backoff it
// attracts all requests.
func TestShedsCauseBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith("a", "b")
		f.Report("a", byfleet.Shed)
		expectUsable(t, f, "a shed a request", "b")
		time.Sleep(60 * time.Millisecond)
		expectUsable(t, f, "after the backoff for one shed request", "a", "b")
		for range 20 {
			f.Report("a", byfleet.Shed)
		}
		time.Sleep(110 * time.Millisecond)
		expectUsable(t, f, "requests that were sent together and shed count once", "a", "b")
		attempts := 0
		for range 100 {
			if slices.Contains(usableIDs(f), "a") {
				attempts++
				f.Report("a", byfleet.Shed)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if attempts > 9 {
			t.Errorf("an endpoint that shed everything for 5 s got %d requests one after the other, want at most 9", attempts)
		}
		time.Sleep(time.Second)
		f.Report("a", byfleet.Succeeded)
		f.Report("a", byfleet.Shed)
		time.Sleep(60 * time.Millisecond)
		expectUsable(t, f, "a success resets the backoff", "a", "b")
		f.Report("a", byfleet.Shed)
		f.Report("b", byfleet.Shed)
		expectUsable(t, f, "all endpoints are in backoff: one of them may have capacity again", "a", "b")
	})
}

// TestEntriesOfRestoredStore checks what an entry means that a store restored from an
// older copy brings back, or that its endpoint has written since.
func TestEntriesOfRestoredStore(t *testing.T) {
	entryOf := func(sequence uint64, bornMS int64, draining bool) burdockyard.Instance {
		in := instance("a")
		in.Sequence, in.BornMS, in.Draining = sequence, bornMS, draining
		return in
	}
	for _, tt := range []struct {
		name     string
		before   burdockyard.Instance // known before the restore
		removed  bool                 // whether the entry was removed before the restore
		restored []burdockyard.Instance
		usable   bool
	}{
		{"draining endpoint, ready in the copy", entryOf(9, 100, true), false, []burdockyard.Instance{entryOf(4, 100, false)}, false},
		{"the same without start time", entryOf(9, 0, true), false, []burdockyard.Instance{entryOf(4, 0, false)}, false},
		{"ready endpoint, older entry in the copy", entryOf(9, 100, false), false, []burdockyard.Instance{entryOf(4, 100, false)}, true},
		{"removed endpoint in the copy", entryOf(9, 100, false), true, []burdockyard.Instance{entryOf(4, 100, false)}, false},
		{"removed endpoint in the copy, with a number that was not heard before", entryOf(9, 100, false), true, []burdockyard.Instance{entryOf(12, 100, false)}, false},
		{"removed endpoint that has written again", entryOf(9, 100, false), true, []burdockyard.Instance{entryOf(4, 100, false), entryOf(10, 100, false)}, true},
		{"removed after draining, has written again", entryOf(9, 100, true), true, []burdockyard.Instance{entryOf(4, 100, false), entryOf(10, 100, false)}, false},
		{"later process of a draining endpoint", entryOf(9, 100, true), false, []burdockyard.Instance{entryOf(1, 200, false)}, true},
		{"earlier process in the copy", entryOf(2, 200, true), false, []burdockyard.Instance{entryOf(30, 100, false)}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := byfleet.New(burdockyard.SystemClock{})
				f.Apply([]burdockyard.Instance{tt.before}, nil, time.Now())
				if tt.removed {
					f.Apply(nil, []burdockyard.EndpointID{"a"}, time.Now())
				}
				f.RecordRestore()
				for _, in := range tt.restored {
					f.Apply([]burdockyard.Instance{in}, nil, time.Now())
				}
				if got := len(f.Usable("app")) == 1; got != tt.usable {
					t.Errorf("usable is %t, want %t", got, tt.usable)
				}
			})
		})
	}
}

// TestLateWriteDoesNotBringEndpointBack checks which entries count after an endpoint's
// entry was removed while the store has lost nothing.
func TestLateWriteDoesNotBringEndpointBack(t *testing.T) {
	for _, tt := range []struct {
		name     string
		sequence uint64
		bornMS   int64
		usable   bool
	}{
		{"a late write", 8, 100, false},
		{"the same entry again", 9, 100, true},
		{"a later entry", 10, 100, true},
		{"a later process", 1, 200, true},
		{"an earlier process", 30, 50, false},
	} {
		f := byfleet.New(burdockyard.SystemClock{})
		in := instance("a")
		in.Sequence, in.BornMS = 9, 100
		f.Apply([]burdockyard.Instance{in}, nil, time.Now())
		f.Apply(nil, []burdockyard.EndpointID{"a"}, time.Now())
		in.Sequence, in.BornMS = tt.sequence, tt.bornMS
		f.Apply([]burdockyard.Instance{in}, nil, time.Now())
		if got := len(f.Usable("app")) == 1; got != tt.usable {
			t.Errorf("%s: usable is %t, want %t", tt.name, got, tt.usable)
		}
	}
}

// TestRestartedNodeLearnsOfDepartures restores the store from a copy in which an
// endpoint that has drained and ended is ready. A node that starts then knows nothing of
// before, and must hear of it from its peers.
func TestRestartedNodeLearnsOfDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := instance("a")
		in.BornMS = 100
		draining := in
		draining.Sequence, draining.Draining = 9, true
		veteran := byfleet.New(burdockyard.SystemClock{})
		veteran.Apply([]burdockyard.Instance{draining}, nil, time.Now())
		veteran.Apply(nil, []burdockyard.EndpointID{"a"}, time.Now())
		if got := veteran.Leaving(); len(got) != 0 {
			t.Errorf("before the restore: told peers of %v, want nothing", got)
		}
		veteran.RecordRestore()
		restarted := byfleet.New(burdockyard.SystemClock{})
		restarted.Apply([]burdockyard.Instance{in}, nil, time.Now())
		expectUsable(t, restarted, "the restarted node has read the copy", "a")
		for _, e := range veteran.Leaving() {
			restarted.MarkLeaving(e.ID, e.BornMS)
		}
		expectUsable(t, restarted, "it has heard of a peer")
		time.Sleep(time.Minute)
		if got := veteran.Leaving(); len(got) != 0 {
			t.Errorf("a minute after the restore: told peers of %v, want nothing", got)
		}
	})
}

// TestLeavingEndpointGetsNoWork checks that an endpoint which has told a node that it is
// about to end gets no work until another process uses its name, whatever its entry
// says.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	f := newFleetWith("a", "b")
	born := instance("a")
	born.BornMS = 100
	f.Apply([]burdockyard.Instance{born}, nil, time.Now())
	if f.MarkLeaving("a", 99) {
		t.Error("news of an earlier process were taken")
	}
	if !f.MarkLeaving("a", 0) || f.MarkLeaving("a", 100) {
		t.Error("want the first report taken as news and the second not")
	}
	expectUsable(t, f, "a has told that it leaves", "b")
	if f.AcceptsWork("a") {
		t.Error("a queued request may be sent to a leaving endpoint, want it refused")
	}
	born.Sequence++
	f.Apply([]burdockyard.Instance{born}, nil, time.Now())
	expectUsable(t, f, "the entry is still ready", "b")
	if got := f.Leaving(); len(got) != 1 || got[0] != (byfleet.LeavingEndpoint{ID: "a", BornMS: 100}) {
		t.Errorf("Leaving returned %v, want a", got)
	}
	born.BornMS, born.Sequence = 200, 1
	f.Apply([]burdockyard.Instance{born}, nil, time.Now())
	expectUsable(t, f, "another process uses the name", "a", "b")
}

// TestRestingEndpointGetsNothing checks that an endpoint gets no calls for the time that
// it has asked for, even if there is no other, and that the time of return is known.
func TestRestingEndpointGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith("a", "b")
		if _, ok := f.RestLeft("app"); ok {
			t.Error("RestLeft reports a resting endpoint, want none")
		}
		f.Rest("a", 3*time.Second)
		f.Rest("a", time.Second) // a shorter time does not end the longer one
		expectUsable(t, f, "a rests", "b")
		f.Rest("b", 1500*time.Millisecond)
		expectUsable(t, f, "both rest")
		if f.AcceptsWork("a") || f.AcceptsCalls("a") || !f.AcceptsCalls("c") {
			t.Error("want no calls to a resting endpoint, and calls to one that is not known")
		}
		if left, ok := f.RestLeft("app"); !ok || left != 1500*time.Millisecond {
			t.Errorf("RestLeft returned %v, %t; want 1.5s", left, ok)
		}
		time.Sleep(1500 * time.Millisecond)
		expectUsable(t, f, "the rest of b is over", "b")
		time.Sleep(1500 * time.Millisecond)
		expectUsable(t, f, "the rest of both is over", "a", "b")
		f.Rest("a", 1000*time.Hour)
		time.Sleep(6 * time.Minute)
		expectUsable(t, f, "an absurd time is limited", "a", "b")
	})
}

// TestSampleOthersIsOfTheService guards against a node that takes its links to one service
// for whole because it reaches another, or because it samples an endpoint without service.
func TestSampleOthersIsOfTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith("a", "b", "c", "d")
		other := instance("x")
		other.Service = "llm"
		draining := instance("d")
		draining.Draining = true
		f.Apply([]burdockyard.Instance{other, draining}, nil, time.Now())
		f.Report("b", byfleet.Unreachable)
		e, ok := f.Lookup("a")
		if !ok {
			t.Fatal("Lookup finds no endpoint a")
		}
		keepOrder := func(int, func(i, j int)) {}
		var got []string
		for _, o := range f.SampleOthers(e, 3, keepOrder) {
			got = append(got, string(o.ID))
		}
		if want := []string{"c", "b"}; !slices.Equal(got, want) {
			t.Errorf("sample is %v, want %v: of the service, without failures first", got, want)
		}
		lone, _ := f.Lookup("x")
		if sample := f.SampleOthers(lone, 1, keepOrder); len(sample) != 1 || sample[0].ID != "a" {
			t.Errorf("sample of a service with one endpoint is %v, want a", sample)
		}
	})
}

// TestForgottenFailuresEndBackoff guards against endpoints that get no work for seconds after
// a node has its links back, and against work for those that are full.
func TestForgottenFailuresEndBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith("a", "b", "c")
		for range 5 {
			f.Report("a", byfleet.Unreachable)
		}
		f.Report("b", byfleet.Shed)
		expectUsable(t, f, "a is unreachable and b full", "c")
		f.ForgetFailures("other")
		expectUsable(t, f, "failures of another service are forgotten", "c")
		f.ForgetFailures("app")
		expectUsable(t, f, "failures are forgotten", "a", "c")
	})
}

// TestOneHangCountsOnce guards against an endpoint that is set aside for long, and avoided
// for longer, because many requests found no connection to it in one silence.
func TestOneHangCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith("a", "b")
		f.Report("a", byfleet.Failed)
		before, _ := f.Lookup("a")
		for range 12 {
			f.Report("a", byfleet.NoConnection)
		}
		f.Report("b", byfleet.Unreachable)
		keepOrder := func(int, func(i, j int)) {}
		if got := f.Hanging(2, keepOrder); len(got) != 1 || got[0].ID != "a" {
			t.Errorf("Hanging returned %v, want a only", got)
		}
		time.Sleep(3 * time.Second)
		if got := f.Hanging(2, keepOrder); len(got) != 1 || got[0].ID != "a" {
			t.Errorf("Hanging returned %v after the backoff, want a only: its failure rate keeps requests away", got)
		}
		f.Report("b", byfleet.Unreachable)
		if s := f.RecordConnection("b"); s != byfleet.Unchanged {
			t.Errorf("RecordConnection returned %v for an endpoint that breaks connections, want no change", s)
		}
		if s := f.RecordConnection("a"); s != byfleet.Restored {
			t.Errorf("RecordConnection returned %v for an endpoint that was hanging, want it restored", s)
		}
		expectUsable(t, f, "a accepts connections again", "a")
		if after, _ := f.Lookup("a"); after.FailRate != before.FailRate {
			t.Errorf("failure rate is %v, want %v as before", after.FailRate, before.FailRate)
		}
		if got := f.Hanging(2, keepOrder); len(got) != 0 {
			t.Errorf("Hanging returned %v, want none", got)
		}
	})
}

// TestRestOutlivesEntry guards against requests to an endpoint that has asked for a rest and
// whose entry lapses meanwhile, as it does when the endpoint cannot reach the store.
func TestRestOutlivesEntry(t *testing.T) {
	for _, tt := range []struct {
		name           string
		bornMS         int64 // 0 if the endpoint does not tell
		returnedBornMS int64
		sequence       uint64
		wantsRest      bool
	}{
		{"same process", 70, 70, 6, true},
		{"same process without a start", 0, 0, 6, true},
		{"started again", 70, 90, 1, false},
		{"started again without a start", 0, 0, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetWith("b")
				a := instance("a")
				a.BornMS = tt.bornMS
				f.Apply([]burdockyard.Instance{a}, nil, time.Now())
				f.Rest("a", 10*time.Second)
				f.Apply(nil, []burdockyard.EndpointID{"a"}, time.Now())
				time.Sleep(time.Second)
				if f.AcceptsCalls("a") {
					t.Error("want no calls while the entry is missing")
				}
				a.BornMS, a.Sequence = tt.returnedBornMS, tt.sequence
				f.Apply([]burdockyard.Instance{a}, nil, time.Now())
				if f.AcceptsWork("a") == tt.wantsRest {
					t.Errorf("AcceptsWork returned %t when the entry was back, want %t", tt.wantsRest, !tt.wantsRest)
				}
				time.Sleep(10 * time.Second)
				expectUsable(t, f, "the rest is over", "a", "b")
			})
		})
	}
}

// TestFateFollowsRegistry guards against a process that counts as ended while it may live, and
// against one whose end is not seen after its address was given to another endpoint.
func TestFateFollowsRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := func(id, addr string, bornMS int64, draining bool) burdockyard.Instance {
			in := instance(id)
			in.Addr, in.BornMS, in.Draining = addr, bornMS, draining
			return in
		}
		for _, tt := range []struct {
			name    string
			then    []burdockyard.Instance
			removed []burdockyard.EndpointID
			bornMS  int64
			want    byfleet.Fate
		}{
			{"nothing has changed", nil, nil, 10, byfleet.Registered},
			{"it started again", []burdockyard.Instance{entry("a", "10.0.0.1:80", 20, false)}, nil, 10, byfleet.Replaced},
			{"it started again at another address", []burdockyard.Instance{entry("a", "10.0.0.9:80", 20, false)}, nil, 10, byfleet.Replaced},
			{"another one has its address", []burdockyard.Instance{entry("b", "10.0.0.1:80", 20, false)}, nil, 10, byfleet.Replaced},
			{"an older one has its address", []burdockyard.Instance{entry("b", "10.0.0.1:80", 5, false)}, nil, 10, byfleet.Registered},
			{"it does not tell its start", []burdockyard.Instance{entry("b", "10.0.0.1:80", 20, false)}, nil, 0, byfleet.Registered},
			{"it drains", []burdockyard.Instance{entry("a", "10.0.0.1:80", 10, true)}, nil, 10, byfleet.Leaving},
			{"it has no entry", nil, []burdockyard.EndpointID{"a"}, 10, byfleet.Gone},
			{"another one has its address, and it has no entry", []burdockyard.Instance{entry("b", "10.0.0.1:80", 20, false)}, []burdockyard.EndpointID{"a"}, 10, byfleet.Replaced},
		} {
			f := byfleet.New(burdockyard.SystemClock{})
			f.Apply([]burdockyard.Instance{entry("a", "10.0.0.1:80", tt.bornMS, false)}, nil, time.Now())
			if got := f.Fate("a", tt.bornMS, "10.0.0.1:80"); got != byfleet.Registered {
				t.Errorf("%s: fate is %v at first, want it registered", tt.name, got)
			}
			f.Apply(tt.then, tt.removed, time.Now())
			if got := f.Fate("a", tt.bornMS, "10.0.0.1:80"); got != tt.want {
				t.Errorf("%s: got fate %v, want %v", tt.name, got, tt.want)
			}
		}
	})
}
