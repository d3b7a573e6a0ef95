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
