package byquarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/byquarantine"
)

// TestSuspectedEndsHoldOnlyTheRequest guards against requests that go on to end endpoints
// while their ends are not proved, and against others that are refused for a mere suspicion.
func TestSuspectedEndsHoldOnlyTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := byquarantine.New(burdockyard.SystemClock{}, "n1")
		request, path := byquarantine.RequestKey(1), byquarantine.PathKey(9)
		end := func(i uint64) byquarantine.End {
			return byquarantine.End{Request: i, Endpoint: i, Keys: keys(path, request)}
		}
		q.RecordEnd(end(1))
		time.Sleep(time.Second)
		q.RecordEnd(end(2))
		time.Sleep(time.Second)
		q.SetSuspected([]byquarantine.End{end(3)})
		if d := q.Admit(keys(path, request)); d.Admitted || d.Trial || d.Wait <= 0 {
			t.Errorf("got decision %+v on a request with two proved ends and a suspected one, want it held", d)
		}
		if !q.IsQuarantined(keys(path, request)) {
			t.Error("a held request may go on to another endpoint")
		}
		if d := q.Admit(keys(path, byquarantine.RequestKey(2))); !d.Admitted {
			t.Errorf("got decision %+v on another request with the path, want it admitted", d)
		}
		q.SetSuspected(nil) // it was wrong
		if d := q.Admit(keys(path, request)); !d.Admitted {
			t.Errorf("got decision %+v after the suspicion was dropped, want the request admitted", d)
		}
	})
}

// TestLateEndCountsUnlessAnsweredSince guards against ends that peers never learn of because
// they were proved late, and against those that count although the input was answered since.
func TestLateEndCountsUnlessAnsweredSince(t *testing.T) {
	for _, answered := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			q, peer := byquarantine.New(burdockyard.SystemClock{}, "n1"), byquarantine.New(burdockyard.SystemClock{}, "n2")
			request := byquarantine.RequestKey(1)
			for i := range uint64(3) {
				time.Sleep(time.Second)
				if answered {
					q.RecordAnswer(keys(request))
				}
				q.RecordEnd(byquarantine.End{Request: i, Endpoint: i, Keys: keys(request), Age: 5 * time.Second})
				peer.Merge(q.News())
			}
			for name, node := range map[string]*byquarantine.Quarantine{"node": q, "peer": peer} {
				if got := node.IsQuarantined(keys(request)); got == answered {
					t.Errorf("answered %t: the %s has quarantined the request: %t", answered, name, got)
				}
			}
		})
	}
}
