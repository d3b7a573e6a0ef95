// Package bygossip exchanges heartbeats, and digests of them, between nodes in UDP
// datagrams.
//
// The next heartbeat makes up for a lost one, so datagrams are neither acknowledged
// nor retransmitted. A datagram costs far less than a remote call, so nodes can
// afford to report every prompt that they send to an engine.
//
// # Usage
//
//	g, err := bygossip.Listen("10.0.0.7:7660", clock, onDatagram)
//	group.Go(func() error { return g.Run(ctx) })
//	g.Send(bypeer.Datagram{Heartbeat: heartbeat}, addrs)
//
// With each datagram, onDatagram gets the time at which the socket was last found empty.
// The datagram has arrived after that.
package bygossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/core/byarrival"
	"burdockyard/io/bypeer"
)

// maxDatagram is the size of the receive buffer, in bytes. No UDP datagram is
// larger.
const maxDatagram = 64 << 10

// Gossip sends and receives heartbeats on one UDP socket.
type Gossip struct {
	conn       *net.UDPConn
	raw        syscall.RawConn
	clock      burdockyard.Clock
	onDatagram func(d bypeer.Datagram, emptyAt time.Time)
	onError    func(error)
	onRead     func()
	emptyAt    time.Time // when the socket was last found empty; only Run uses it
	done       chan struct{}
}

// Option sets an optional parameter of a Gossip.
type Option func(*Gossip)

// WithErrorHandler sets a function that gets every error in encoding, sending,
// receiving or decoding a datagram. It must be safe for concurrent use. By default
// errors are discarded.
func WithErrorHandler(f func(error)) Option { return func(g *Gossip) { g.onError = f } }

// WithReadHandler sets a function that Run calls at least every byarrival.MaxGap, and
// before it reads the clock for a datagram.
func WithReadHandler(f func()) Option { return func(g *Gossip) { g.onRead = f } }

// Listen opens a UDP socket at addr, an IPv4 address and port. Run calls onDatagram for
// every datagram received, with the time by clock at which the socket was last empty.
func Listen(addr string, clock burdockyard.Clock, onDatagram func(d bypeer.Datagram, emptyAt time.Time), opts ...Option) (*Gossip, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, merry.Prepend(err, "parse gossip address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addrPort))
	if err != nil {
		return nil, merry.Prepend(err, "open gossip socket")
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return nil, merry.Prepend(err, "open gossip socket")
	}
	g := &Gossip{conn: conn, raw: raw, clock: clock, onDatagram: onDatagram, onError: func(error) {}, onRead: func() {}, done: make(chan struct{})}
	for _, opt := range opts {
		opt(g)
	}
	return g, nil
}

// Done returns a channel that is closed once Run has returned.
func (g *Gossip) Done() <-chan struct{} { return g.done }

// Run receives heartbeats until ctx is done, then closes the socket. It must be called
// only once.
func (g *Gossip) Run(ctx context.Context) error {
	defer close(g.done)
	stop := context.AfterFunc(ctx, func() { g.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	g.emptyAt = g.clock.Now()
	for {
		n, err := g.read(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		g.onRead()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			g.onError(err)
			continue
		}
		d, err := bypeer.UnmarshalDatagram(buf[:n])
		if err != nil {
			g.onError(err)
			continue
		}
		g.onDatagram(d, g.emptyAt)
	}
}

// read reads one datagram into buf. It returns os.ErrDeadlineExceeded if none comes for
// byarrival.MaxGap.
func (g *Gossip) read(buf []byte) (n int, err error) {
	if err := g.conn.SetReadDeadline(time.Now().Add(byarrival.MaxGap)); err != nil {
		return 0, err
	}
	rawErr := g.raw.Read(func(fd uintptr) bool {
		// The clock is read first: a datagram may arrive right after the call.
		now := g.clock.Now()
		for {
			n, err = syscall.Read(int(fd), buf)
			if err != syscall.EINTR {
				break
			}
		}
		if err == syscall.EAGAIN {
			g.emptyAt = now
			return false // wait until the socket is readable
		}
		return true
	})
	if rawErr != nil {
		return 0, rawErr
	}
	return n, err
}

// Send sends a datagram to each address. One that cannot be sent is reported to the
// error handler and otherwise treated as lost.
func (g *Gossip) Send(d bypeer.Datagram, addrs []netip.AddrPort) {
	data, err := bypeer.MarshalDatagram(d)
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
