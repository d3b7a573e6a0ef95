// Package bygossip carries heartbeats between nodes in datagrams.
//
// A heartbeat that is lost is made up for by the next one, so nothing is
// acknowledged or sent again. One datagram costs far less than a call, which lets
// nodes tell each other of every prompt that they send to an engine.
//
// # Usage
//
//	g, err := bygossip.Listen("10.0.0.7:7660", hear)
//	group.Go(func() error { return g.Run(ctx) })
//	g.Send(beat, addrs)
package bygossip

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"burdockyard/core/bymember"
	"burdockyard/io/bypeer"
)

// maxDatagram bounds a received heartbeat, in bytes: UDP carries no more.
const maxDatagram = 64 << 10

// Gossip sends and receives heartbeats on one socket.
type Gossip struct {
	conn        *net.UDPConn
	onHeartbeat func(bymember.Heartbeat)
	onError     func(error)
	done        chan struct{}
}

// Option sets an optional part of a Gossip.
type Option func(*Gossip)

// WithBad sets what is told of datagrams that cannot be read.
func WithBad(f func(error)) Option { return func(g *Gossip) { g.onError = f } }

// Listen opens the socket at host:port. hear gets every heartbeat received.
func Listen(addr string, onHeartbeat func(bymember.Heartbeat), opts ...Option) (*Gossip, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, merry.Prepend(err, "gossip address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addrPort))
	if err != nil {
		return nil, merry.Prepend(err, "gossip socket")
	}
	g := &Gossip{conn: conn, onHeartbeat: onHeartbeat, onError: func(error) {}, done: make(chan struct{})}
	for _, opt := range opts {
		opt(g)
	}
	return g, nil
}

// Done is closed once Run has returned.
func (g *Gossip) Done() <-chan struct{} { return g.done }

// Run receives until ctx ends, and closes the socket.
func (g *Gossip) Run(ctx context.Context) error {
	defer close(g.done)
	stop := context.AfterFunc(ctx, func() { g.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			g.onError(err)
			continue
		}
		heartbeat, err := bypeer.UnmarshalBeat(buf[:n])
		if err != nil {
			g.onError(err)
			continue
		}
		g.onHeartbeat(heartbeat)
	}
}

// Send sends a heartbeat to each address. A datagram that cannot be sent is
// reported and otherwise counts as lost.
func (g *Gossip) Send(hb bymember.Heartbeat, addrs []netip.AddrPort) {
	data, err := bypeer.MarshalBeat(hb)
	if err != nil {
		g.onError(err)
		return
	}
	for _, addr := range addrs {
		if _, err := g.conn.WriteToUDPAddrPort(data, addr); err != nil {
			g.onError(err)
		}
	}
}
