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

// proxyMode is how a proxy treats its connections.
type proxyMode int

const (
	modeForward      proxyMode = iota // forward data in both directions
	modeDelay                         // delay each chunk of data by proxyDelay
	modeReset                         // reset open and new connections
	modeBlock                         // keep connections open but forward no data
	modeBlockReplies                  // forward no data from the target
	modeCount                         // number of modes
)

// proxyDelay is how long a proxy in modeDelay holds back each chunk of data.
const proxyDelay = 150 * time.Millisecond

// String returns the verb phrase for the mode in a fault plan.
func (m proxyMode) String() string {
	return []string{"passes", "is slow", "resets", "is silent", "is cut one way"}[m]
}

// proxy forwards TCP connections to a target. mu guards the fields below it.
type proxy struct {
	address  string
	target   string
	group    errgroup.Group
	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	ended    bool         // whether connections are refused for good
	mode     proxyMode
	changed  chan struct{} // closed and replaced when the mode is set
	conns    map[net.Conn]struct{}
}

// startProxy starts a proxy to target on a free loopback port. When ctx is done,
// it stops listening and resets its connections.
func startProxy(ctx context.Context, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	p.accept(ctx, l)
	context.AfterFunc(ctx, func() {
		p.close()
		p.setMode(modeReset)
	})
	return p, nil
}

// accept makes the proxy accept connections on l, unless it has ended.
func (p *proxy) accept(ctx context.Context, l net.Listener) {
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		l.Close()
		return
	}
	p.listener = l
	p.mu.Unlock()
	p.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // the listener is closed by a crash and at the end of the run
			}
			p.group.Go(func() error { p.forwardConn(ctx, c); return nil })
		}
	})
}

// close makes the proxy refuse new connections. It reports false if it does already.
func (p *proxy) close() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return false
	}
	p.listener.Close()
	p.listener = nil
	return true
}

// crash closes all connections and refuses new ones for downTime, as if the process of the
// target had ended. Then it calls restarted and accepts connections again. It reports false
// if connections are refused already.
func (p *proxy) crash(ctx context.Context, downTime time.Duration, restarted func()) bool {
	if !p.close() {
		return false
	}
	p.closeConns()
	p.group.Go(func() error {
		sleep(ctx, downTime)
		for ctx.Err() == nil && !p.hasEnded() {
			l, err := net.Listen("tcp4", p.address)
			if err == nil {
				restarted()
				p.accept(ctx, l)
				return nil
			}
			sleep(ctx, 10*time.Millisecond) // another connection may use the port for a moment
		}
		return nil
	})
	return true
}

// end closes all connections and refuses new ones for good.
func (p *proxy) end() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.close()
	p.closeConns()
}

func (p *proxy) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *proxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}

func (p *proxy) addr() string { return p.address }

// setMode changes the mode. modeReset also resets the open connections.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == modeReset {
		for c := range p.conns {
			closeWithReset(c)
		}
	}
}

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without the option, Close still ends the connection
	}
	c.Close()
}

// forwardConn connects to the target and forwards data between it and c until
// both directions have ended.
func (p *proxy) forwardConn(ctx context.Context, c net.Conn) {
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		closeWithReset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[out] = struct{}{}, struct{}{}
	refuse := p.mode == modeReset
	p.mu.Unlock()
	if refuse {
		closeWithReset(c)
	}
	var group errgroup.Group
	group.Go(func() error { p.forward(ctx, out, c, false); return nil })
	group.Go(func() error { p.forward(ctx, c, out, true); return nil })
	_ = group.Wait() // the functions return no error
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, out)
	p.mu.Unlock()
}

// forward forwards data until reading or writing fails. fromTarget says whether
// the data comes from the target.
func (p *proxy) forward(ctx context.Context, to, from net.Conn, fromTarget bool) {
	defer to.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.waitToForward(ctx, fromTarget)
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				closeWithReset(to)
			}
			return
		}
	}
}

// waitToForward blocks until the mode allows forwarding in the given direction,
// or until ctx is done. In modeDelay it waits for proxyDelay.
func (p *proxy) waitToForward(ctx context.Context, fromTarget bool) {
	for {
		p.mu.Lock()
		m, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case m == modeDelay:
			sleep(ctx, proxyDelay)
			return
		case m != modeBlock && (m != modeBlockReplies || !fromTarget):
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// serveHTTP runs an HTTP server for h on a free loopback port until ctx is done, and
// returns its address.
func serveHTTP(ctx context.Context, h http.Handler) (string, error) {
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
	callerPort = 20001 + iota
	readyPort
	directoryPort
	peerPort
)

// nodeIP returns the loopback address of node i, which is derived from this
// process's id so that concurrent runs use different addresses.
func nodeIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&127, pid&255, 1+i)
}
