package bymember_test

import (
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/bymember"
)

func heartbeat(node, domain string, seq uint64, capacity float64) bymember.Heartbeat {
	return bymember.Heartbeat{Member: burdockyard.Member{Node: burdockyard.NodeID(node), Incarnation: "i"}, Domain: domain, Seq: seq, Capacity: capacity}
}

// TestRankByCapacity checks that the largest VMs of a failure domain rank first,
// and that a VM no longer counts once it is leaving or its heartbeats stop.
func TestRankByCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := bymember.New(burdockyard.SystemClock{}, burdockyard.Member{Node: "n1"})
		rank := func() int { return v.RankByCapacity("reader", "a", 0.4) }
		v.RecordHeartbeat(heartbeat("small", "a", 1, 0.2))
		v.RecordHeartbeat(heartbeat("far", "b", 1, 0.8))
		if r := rank(); r != 0 {
			t.Errorf("rank is %d with a smaller VM and a VM of another domain; want 0", r)
		}
		v.RecordHeartbeat(heartbeat("large", "a", 1, 0.8))
		if r := rank(); r != 1 {
			t.Errorf("rank is %d with a larger VM; want 1", r)
		}
		leaving := heartbeat("large", "a", 2, 0.8)
		leaving.Leaving = true
		v.RecordHeartbeat(leaving)
		if r := rank(); r != 0 {
			t.Errorf("rank is %d while the larger VM is leaving; want 0", r)
		}
		v.RecordHeartbeat(heartbeat("other", "a", 1, 0.8))
		time.Sleep(bymember.SuspectAfter + time.Millisecond)
		if r := rank(); r != 0 {
			t.Errorf("rank is %d after the heartbeats of the other VM stopped; want 0", r)
		}
	})
}

func TestReceivedWithin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := bymember.New(burdockyard.SystemClock{}, burdockyard.Member{Node: "n1"})
		v.RecordHeartbeat(heartbeat("a", "a", 1, 1))
		time.Sleep(time.Second)
		v.RecordHeartbeat(heartbeat("b", "a", 1, 1))
		if n := len(v.ReceivedWithin(900 * time.Millisecond)); n != 1 {
			t.Errorf("heartbeats of %d nodes received within 0.9 s; want 1", n)
		}
		if n := len(v.Alive()); n != 2 {
			t.Errorf("%d nodes alive; want 2", n)
		}
	})
}
