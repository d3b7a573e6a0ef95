package bygossip_test

import (
	"context"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/core/byarrival"
	"burdockyard/core/bydigest"
	"burdockyard/core/byfleet"
	"burdockyard/core/bymember"
	"burdockyard/io/bygossip"
	"burdockyard/io/bypeer"
)

func listen(t *testing.T, onDatagram func(bypeer.Datagram), onError func(error)) (*bygossip.Gossip, netip.AddrPort) {
	t.Helper()
	return listenWith(t, func(d bypeer.Datagram, _ time.Time) { onDatagram(d) }, bygossip.WithErrorHandler(onError))
}

func listenWith(t *testing.T, onDatagram func(bypeer.Datagram, time.Time), opts ...bygossip.Option) (*bygossip.Gossip, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := c.LocalAddr().String()
	c.Close()
	g, err := bygossip.Listen(addr, burdockyard.SystemClock{}, onDatagram, opts...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return g.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return g, netip.MustParseAddrPort(addr)
}

// TestHeartbeatAfterMalformedDatagram checks that all fields of a heartbeat are
// transmitted, and that a malformed datagram before it does not stop the receiver.
func TestHeartbeatAfterMalformedDatagram(t *testing.T) {
	received := make(chan bypeer.Datagram, 1)
	errs := make(chan error, 1)
	_, receiverAddr := listen(t, func(d bypeer.Datagram) { received <- d }, func(err error) { errs <- err })
	sender, _ := listen(t, func(bypeer.Datagram) {}, func(error) {})
	conn, err := net.Dial("udp4", receiverAddr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte{0xff, 0xff, 0xff}); err != nil {
		t.Fatal(err)
	}
	if err := <-errs; err == nil {
		t.Error("got no error for a malformed datagram, want an error")
	}
	heartbeat := bymember.Heartbeat{
		Member:     burdockyard.Member{Node: "n1", Incarnation: "abc", Addr: "10.0.0.1:7660"},
		CallerAddr: "10.0.0.1:8144", Domain: "a", Leaving: true, Generation: 7, Seq: 3, Ready: true, Capacity: 0.4,
		Loads:            []bymember.Load{{Engine: "e1", PrefillTokens: 900, Streams: 2, LongPromptStreams: 1}},
		LeavingEndpoints: []byfleet.LeavingEndpoint{{ID: "e2", BornMS: 1764800000123}},
		CachedParts:      []bymember.CachedPart{{Engine: "e1", PartID: 0x5c1e07a2, Tokens: 800}},
	}
	relayed := heartbeat
	relayed.Member.Node = "n2"
	want := bypeer.Datagram{
		Heartbeat: heartbeat, Relayed: []bymember.Heartbeat{relayed}, Alive: []uint64{bymember.Hash(relayed.Member)},
		Digests: []bydigest.Digest{{Domain: "a", Loads: heartbeat.Loads, CachedParts: heartbeat.CachedParts}},
		Confirmations: []bypeer.Confirmation{{
			Table: "servers", ChangedSince: burdockyard.StoreVersion{Era: 2, Number: 5}, Version: burdockyard.StoreVersion{Era: 2, Number: 9}, Age: 3 * time.Millisecond,
		}},
	}
	sender.Send(want, []netip.AddrPort{receiverAddr})
	if got := <-received; !reflect.DeepEqual(got, want) {
		t.Errorf("received datagram\n%+v, want\n%+v", got, want)
	}
}

// TestDatagramFromBeforeAPause guards against datagrams that count as new although they have
// waited in the socket while the process stood still.
func TestDatagramFromBeforeAPause(t *testing.T) {
	const pause = 400 * time.Millisecond
	type arrival struct {
		wait time.Duration
		seq  uint64
	}
	received := make(chan arrival, 3)
	resume := make(chan struct{})
	g, addr := listenWith(t, func(d bypeer.Datagram, emptyAt time.Time) {
		received <- arrival{time.Since(emptyAt), d.Heartbeat.Seq}
		<-resume // the process stands still here the first time
	})
	send := func(seq uint64) {
		g.Send(bypeer.Datagram{Heartbeat: bymember.Heartbeat{Member: burdockyard.Member{Node: "n1"}, Seq: seq}}, []netip.AddrPort{addr})
	}
	send(1)
	if got := <-received; got.wait >= pause {
		t.Errorf("the first datagram may have waited for %v, want less than %v", got.wait, pause)
	}
	send(2)
	send(3)
	time.Sleep(pause)
	close(resume)
	for want := uint64(2); want <= 3; want++ {
		if got := <-received; got.seq != want || got.wait < pause {
			t.Errorf("datagram %d may have waited for %v, want datagram %d and at least %v", got.seq, got.wait, want, pause)
		}
	}
	time.Sleep(2 * byarrival.MaxGap) // the socket is found empty meanwhile
	send(4)
	if got := <-received; got.seq != 4 || got.wait >= pause {
		t.Errorf("datagram %d may have waited for %v, want datagram 4 and less than %v", got.seq, got.wait, pause)
	}
}
