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

// mode is what a proxy does with its connections.
type mode int

const (
	pass   mode = iota
	delay       // each piece of data by proxyDelay
	reset       // open connections are reset, new ones too
	silent      // nothing passes either way, connections stay open
	oneWay      // what the endpoint sends does not pass
	modes
)

// proxyDelay is how long a slow proxy keeps each piece of data.
const proxyDelay = 150 * time.Millisecond

func (m mode) String() string {
	return []string{"passes", "is slow", "resets", "is silent", "is cut one way"}[m]
}

// proxy passes TCP connections on. mu guards everything below it.
type proxy struct {
	l      net.Listener
	target string

	mu      sync.Mutex
	mode    mode
	changed chan struct{} // closed at each change of the mode
	conns   map[net.Conn]struct{}
}

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
				return nil // the run is over
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

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // it is closed in any case
	}
	c.Close()
}

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
	_ = group.Wait() // copy reports nothing
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, out)
	p.mu.Unlock()
}

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

// hold waits for as long as the mode keeps data back.
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

// serve serves a handler on a free port until ctx ends.
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

// The ports of a node on its own loopback address. They lie below those that
// the system gives to outgoing connections, and no other process uses the
// address, so that a node finds them free whenever it starts.
const (
	frontPort = 20001 + iota
	readyPort
	directoryPort
	peerPort
)

// loopback returns the address of the i-th node of this process.
func loopback(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&127, pid&255, 1+i)
}
