package byentry

import (
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
)

// TestLossOfLinksReachesFleet guards against callers and requests being sent to nodes that
// are cut off: in fleets of 9 and 295, all nodes learn within a second which of them have
// lost their links, through relays too.
func TestLossOfLinksReachesFleet(t *testing.T) {
	for _, tt := range []struct{ nodes, cut int }{{9, 4}, {295, 200}} {
		synctest.Test(t, func(t *testing.T) {
			f := newEmulatedFleet(t, tt.nodes, min(tt.nodes/3, 5))
			for _, n := range f.nodes {
				n.reach.RecordContact("s", "e0")
			}
			time.Sleep(2 * time.Second)
			f.mu.Lock()
			clear(f.received)
			clear(f.bytes)
			f.mu.Unlock()
			for _, n := range f.nodes[:tt.cut] {
				for _, e := range []burdockyard.EndpointID{"e1", "e2", "e3"} {
					n.reach.RecordFailure("s", e, 5)
				}
				n.peers.sendSoon()
			}
			time.Sleep(time.Second)
			f.mu.Lock()
			total, bytes := 0, 0
			for _, n := range f.nodes {
				total += f.received[n]
				bytes += f.bytes[n]
			}
			f.mu.Unlock()
			t.Logf("%d of %d nodes cut off: each node got %d datagrams and %d bytes in the second after", tt.cut, tt.nodes, total/tt.nodes, bytes/tt.nodes)
			for i, n := range f.nodes {
				reaching, lost := 0, 0
				for _, h := range n.view.ReceivedWithin(unreachableAfter) {
					if h.Reach.Reaches("s") {
						reaching++
					}
					if len(h.Reach.Lost) > 0 {
						lost++
					}
				}
				wantReaching, wantLost := tt.nodes-tt.cut, tt.cut
				if i < tt.cut {
					wantLost--
				} else {
					wantReaching--
				}
				if reaching != wantReaching || lost != wantLost {
					t.Fatalf("of %d nodes, %s knows %d that reach the endpoints and %d that do not; want %d and %d", tt.nodes, n.self.Node, reaching, lost, wantReaching, wantLost)
				}
			}
		})
	}
}

// FuzzHandoverHeader checks that no value of the header with which nodes hand requests over
// yields a negative or endless waiting time, and that a node reads what it has written.
func FuzzHandoverHeader(f *testing.F) {
	for _, text := range []string{"", "x", "1d 250 1", "t -5 -1", "t 9223372036854775807 9223372036854775807", "t 1e9 nan", "t  1"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		h := parseHandover(text)
		if h.waited < 0 || h.waited > maxWaited || h.possibleRuns < 0 {
			t.Errorf("%q yields %+v, want a waiting time from 0 to %v and no negative number of runs", text, h, maxWaited)
		}
		if again := parseHandover(h.String()); *again != *h {
			t.Errorf("%q yields %+v, and that yields %+v; want the same", text, h, again)
		}
	})
}
