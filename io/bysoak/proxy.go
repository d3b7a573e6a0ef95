package bysoak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// mode is how a proxy treats its connections.
type mode int

const (
	pass   mode = iota // forward data in both directions
	delay              // delay each chunk of data by proxyDelay
	reset              // reset open and new connections
	silent             // keep connections open but forward no data
	oneWay             // forward no data from the target
	modes              // number of modes
)

// proxyDelay is how long a proxy in mode delay holds back each chunk of data.
const proxyDelay = 150 * time.Millisecond

// String returns the verb phrase for the mode in a fault plan.
func (m mode) String() string {
	return []string{"passes", "is slow", "resets", "is silent", "is cut one way"}[m]
}

// proxy forwards TCP connections to a target. mu guards the fields below it.
type proxy struct {
	l      net.Listener
	target string

	mu      sync.Mutex
	mode    mode
	changed chan struct{} // closed and replaced when the mode is set
	conns   map[net.Conn]struct{}
}

// newProxy starts a proxy to target on a free loopback port. When ctx is done,
// it stops listening and resets its connections.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // the listener is closed at the end of the run
			}
			group.Go(func() error { p.serve(ctx, c); return nil })
		}
	})
	context.AfterFunc(ctx, func() {
		l.Close()
		p.set(reset)
	})
	return p, nil
}

func (p *proxy) addr() string { return p.l.Addr().String() }

// set changes the mode. The mode reset also resets the open connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == reset {
		for c := range p.conns {
			abort(c)
		}
	}
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without the option, Close still ends the connection
	}
	c.Close()
}

// serve connects to the target and forwards data between it and c until both
// directions have ended.
func (p *proxy) serve(ctx context.Context, c net.Conn) {
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		abort(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[out] = struct{}{}, struct{}{}
	refuse := p.mode == reset
	p.mu.Unlock()
	if refuse {
		abort(c)
	}
	var group errgroup.Group
	group.Go(func() error { p.copy(ctx, out, c, false); return nil })
	group.Go(func() error { p.copy(ctx, c, out, true); return nil })
	_ = group.Wait() // the functions return no error
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copy forwards data until reading or writing fails. back means that the data
// comes from the target.
func (p *proxy) copy(ctx context.Context, to, from net.Conn, back bool) {
	defer to.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.hold(ctx, back)
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				abort(to)
			}
			return
		}
	}
}

// hold blocks while the mode forbids forwarding in the given direction, or until
// ctx is done.
func (p *proxy) hold(ctx context.Context, back bool) {
	for {
		p.mu.Lock()
		m, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case m == delay:
			pause(ctx, proxyDelay)
			return
		case m != silent && (m != oneWay || !back):
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// serve runs an HTTP server for h on a free loopback port until ctx is done, and
// returns its address.
func serve(ctx context.Context, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	var group errgroup.Group
	group.Go(func() error { return srv.Serve(l) })
	context.AfterFunc(ctx, func() { srv.Close() })
	return l.Addr().String(), nil
}

// Ports of a node on its own loopback address. They are below the range that the
// kernel assigns to outgoing connections, and no other process uses the address,
// so a node finds them free at each start.
const (
	frontPort = 20001 + iota
	readyPort
	directoryPort
	peerPort
)

// loopback returns the loopback address of node i, which is derived from this
// process's id so that concurrent runs use different addresses.
func loopback(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&127, pid&255, 1+i)
}
