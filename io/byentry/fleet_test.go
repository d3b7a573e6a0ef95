package byentry

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/byplace"
	"burdockyard/core/byquarantine"
	"burdockyard/io/bypeer"
)

// emulatedFleet runs the heartbeat loops of many nodes in virtual time. Datagrams are
// delivered by function calls, so that no socket is opened.
type emulatedFleet struct {
	t      *testing.T
	nodes  []*Node
	byAddr map[netip.AddrPort]*Node

	mu       sync.Mutex     // guards the fields below
	received map[*Node]int  // number of datagrams
	bytes    map[*Node]int  // sizes of the received datagrams
	sentOut  int            // bytes to other failure domains
	deaf     map[*Node]bool // nodes that get no datagrams
	mute     map[*Node]bool // nodes whose datagrams are lost
}

// latency is the time that a datagram takes.
const latency = time.Millisecond

// newEmulatedFleet starts nodes in the given number of failure domains. Every
// twentieth VM has four times the capacity of the others. prepare is called with each node
// before it starts.
func newEmulatedFleet(t *testing.T, nodes, domains int, prepare ...func(*Node)) *emulatedFleet {
	f := &emulatedFleet{
		t: t, byAddr: map[netip.AddrPort]*Node{}, received: map[*Node]int{}, bytes: map[*Node]int{},
		deaf: map[*Node]bool{}, mute: map[*Node]bool{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	for i := range nodes {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7660)
		capacity := 0.2
		if i/domains%20 == 0 {
			capacity = 0.8
		}
		n := New(Settings{
			Node: burdockyard.NodeID(fmt.Sprintf("front-%s-%d", domainName(i%domains), i)), Domain: domainName(i % domains),
			CallerAddr: fmt.Sprintf("10.0.%d.%d:8144", i>>8, i&255), PeerAddr: addr.String(),
			ReloadableSettings: ReloadableSettings{Capacity: capacity},
		}, Platform{})
		n.peers.send = func(d bypeer.Datagram, addrs []netip.AddrPort) { f.deliver(n, d, addrs) }
		for _, p := range prepare {
			p(n)
		}
		f.nodes = append(f.nodes, n)
		f.byAddr[addr] = n
	}
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			if other != n {
				n.peers.recordNode(other.self.Node, peer{domain: other.settings.Domain, capacity: other.reloadableSettings.Load().Capacity}, other.self.Addr, false)
			}
		}
		group.Go(func() error { return n.peers.heartbeatLoop(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return f
}

func domainName(i int) string { return string(rune('a' + i)) }

// deliver is the send function of a node.
func (f *emulatedFleet) deliver(from *Node, d bypeer.Datagram, addrs []netip.AddrPort) {
	data, err := bypeer.MarshalDatagram(d)
	if err != nil {
		f.t.Error(err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mute[from] {
		return
	}
	for _, addr := range addrs {
		to := f.byAddr[addr]
		if to == nil || f.deaf[to] {
			continue
		}
		f.received[to]++
		f.bytes[to] += len(data)
		if to.settings.Domain != from.settings.Domain {
			f.sentOut += len(data)
		}
		time.AfterFunc(latency, func() {
			got, err := bypeer.UnmarshalDatagram(data)
			if err != nil {
				f.t.Error(err)
				return
			}
			to.peers.handleDatagram(got)
		})
	}
}

// relayOf returns the node of a failure domain that ranks first.
func (f *emulatedFleet) relayOf(domain string) *Node {
	for _, n := range f.nodes {
		if n.settings.Domain == domain && n.peers.relay.active.Load() && n.peers.currentTopology().ownRank == 0 {
			return n
		}
	}
	f.t.Fatalf("failure domain %s has no relay", domain)
	return nil
}

// streamsSeenBy returns the number of streams that a node takes for open at an engine.
func (f *emulatedFleet) streamsSeenBy(n *Node, engine burdockyard.EndpointID) int {
	streams, _ := n.loadTracker.OpenStreams(engine)
	return streams
}

// countAware returns how many nodes without a fault take the given number of streams
// for open.
func (f *emulatedFleet) countAware(engine burdockyard.EndpointID, streams int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	aware := 0
	for _, n := range f.nodes {
		if !f.deaf[n] && !f.mute[n] && f.streamsSeenBy(n, engine) == streams {
			aware++
		}
	}
	return aware
}

// TestHeartbeatCostDoesNotGrowWithFleet compares the datagrams that a node gets per
// second in fleets of 9 and of 295 idle nodes. The larger fleet may cost a node at most
// twice as much.
func TestHeartbeatCostDoesNotGrowWithFleet(t *testing.T) {
	perNode := map[int]float64{}
	for _, size := range []int{9, 295} {
		synctest.Test(t, func(t *testing.T) {
			f := newEmulatedFleet(t, size, min(size/3, 5))
			time.Sleep(3 * time.Second)
			f.mu.Lock()
			clear(f.received)
			clear(f.bytes)
			f.sentOut = 0
			f.mu.Unlock()
			time.Sleep(2 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			total, bytes := 0, 0
			for _, n := range f.nodes {
				total += f.received[n]
				bytes += f.bytes[n]
				if same, other := n.peers.countByDomain(); same+other != size-1 || len(n.view.ReceivedWithin(unreachableAfter)) != size-1 {
					t.Errorf("%s hears of %d peers, want %d", n.self.Node, len(n.view.ReceivedWithin(unreachableAfter)), size-1)
				}
			}
			perNode[size] = float64(total) / float64(size) / 2
			t.Logf("%d nodes: each gets %.0f datagrams and %d bytes a second; %d bytes a second between failure domains", size, perNode[size], bytes/size/2, f.sentOut/2)
		})
	}
	if perNode[295] > 2*perNode[9] {
		t.Errorf("a node of 295 gets %.0f datagrams a second and one of 9 gets %.0f, want at most twice as many", perNode[295], perNode[9])
	}
}

// TestLoadReachesFleetThroughRelays follows the work of one node at one engine: all
// others learn of it, also when a relay is lost, does not hear anything, or is not
// heard, and they learn of its end.
func TestLoadReachesFleetThroughRelays(t *testing.T) {
	const size = 120
	for _, tt := range []struct {
		name  string
		fault func(f *emulatedFleet, relay *Node)
	}{
		{"no fault", func(*emulatedFleet, *Node) {}},
		{"relay lost", func(f *emulatedFleet, relay *Node) { f.deaf[relay], f.mute[relay] = true, true }},
		{"relay does not hear", func(f *emulatedFleet, relay *Node) { f.deaf[relay] = true }},
		{"relay is not heard", func(f *emulatedFleet, relay *Node) { f.mute[relay] = true }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newEmulatedFleet(t, size, 4)
				time.Sleep(3 * time.Second)
				relay := f.relayOf("a")
				worker := f.nodes[size-4] // in the domain of the relay
				if worker == relay || worker.settings.Domain != "a" {
					t.Fatal("the worker is the relay or in another failure domain")
				}
				healthy := size
				f.mu.Lock()
				tt.fault(f, relay)
				f.mu.Unlock()
				if f.deaf[relay] || f.mute[relay] {
					healthy--
				}
				work := worker.loadTracker.Begin("e1", byplace.Work{PrefillTime: 200 * time.Millisecond, Streams: 1})
				time.Sleep(maxHeartbeatInterval)
				if got := f.countAware("e1", 1); got != healthy {
					t.Errorf("%d of %d nodes know of the stream after %v", got, healthy, maxHeartbeatInterval)
				}
				// A relay that has not heard of the work for a while must not report it as ended.
				time.Sleep(3 * time.Second)
				if got := f.countAware("e1", 1); got != healthy {
					t.Errorf("%d of %d nodes know of the stream 3 s later", got, healthy)
				}
				work.Done()
				time.Sleep(maxHeartbeatInterval)
				if got := f.countAware("e1", 0); got != healthy {
					t.Errorf("%d of %d nodes know that the stream has ended", got, healthy)
				}
			})
		})
	}
}

// TestTroubleReachesFleetThroughRelays lets three nodes see the ends of engines and one
// hear a limit: all others act on both, also when a relay is lost, and so does a node that
// hears of them later.
func TestTroubleReachesFleetThroughRelays(t *testing.T) {
	const size = 120
	key := []byquarantine.Key{0xbad1}
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newEmulatedFleet(t, size, 4)
			time.Sleep(3 * time.Second)
			relay := f.relayOf("a")
			late := f.nodes[size-9]
			f.mu.Lock()
			f.deaf[relay], f.mute[relay], f.deaf[late] = lost, lost, true
			f.mu.Unlock()
			for _, n := range f.nodes {
				n.fleet.Apply([]burdockyard.Instance{{ID: "e1", Service: "s", BornMS: 7}}, nil, time.Now())
			}
			for i := range 3 {
				time.Sleep(200 * time.Millisecond)
				n := f.nodes[size-1-i]
				n.applyQuarantineChange(n.quarantine.RecordEnd(byquarantine.End{Request: uint64(i), Endpoint: uint64(i), Keys: key}), "")
			}
			worker := f.nodes[size-5]
			worker.recordLimit(byfleet.Endpoint{Instance: burdockyard.Instance{ID: "e1", BornMS: 7}}, burdockyard.RateLimit{Named: true, PerSecond: 5.9}, time.Now())
			time.Sleep(time.Second)
			count := func() (quarantined, limited int) {
				for _, n := range f.nodes {
					if n.quarantine.IsQuarantined(key) {
						quarantined++
					}
					limited += n.limits.Len()
				}
				return quarantined, limited
			}
			healthy := size - 1
			if lost {
				healthy--
			}
			if quarantined, limited := count(); quarantined < healthy || limited < healthy {
				t.Errorf("relay lost: %v: after 1 s %d nodes have quarantined the key and %d know the limit, want %d", lost, quarantined, limited, healthy)
			}
			f.mu.Lock()
			f.deaf[late] = false
			f.mu.Unlock()
			time.Sleep(6 * time.Second)
			if !late.quarantine.IsQuarantined(key) || late.limits.Len() != 1 {
				t.Errorf("relay lost: %v: a node that was cut off does not know of the key or the limit 6 s later", lost)
			}
		})
	}
}
