package byentry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/bymemory"
)

// callerConns tracks the connections of callers in order to close those that are
// idle for too long. The idle timeout of net/http does not fit: it is fixed when a
// connection becomes idle, and the configuration may change the limit after that.
// Under mu, only the lock of memory is taken.
type callerConns struct {
	clock  burdockyard.Clock
	memory *bymemory.Budget

	mu    sync.Mutex
	conns map[net.Conn]callerConn
}

// callerConn is the state of a connection and the time at which it was entered.
type callerConn struct {
	state http.ConnState
	since time.Time
}

func newCallerConns(clock burdockyard.Clock, memory *bymemory.Budget) *callerConns {
	return &callerConns{clock: clock, memory: memory, conns: map[net.Conn]callerConn{}}
}

// track is the http.Server.ConnState hook of the server for callers.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.conns[conn]
	if state == http.StateClosed || state == http.StateHijacked {
		if known {
			delete(c.conns, conn)
			c.memory.AddOverhead(-connBytes)
		}
		return
	}
	if !known {
		c.memory.AddOverhead(connBytes)
	}
	c.conns[conn] = callerConn{state, c.clock.Now()}
}

// closeIdle closes the connections that have been idle for longer than
// limits.IdleTimeout. A timeout of 0 closes none.
func (c *callerConns) closeIdle(limits burdockyard.Limits) {
	if limits.IdleTimeout <= 0 {
		return
	}
	var expired []net.Conn
	c.mu.Lock()
	for conn, tracked := range c.conns {
		if tracked.state == http.StateIdle && c.clock.Now().Sub(tracked.since) > limits.IdleTimeout {
			expired = append(expired, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range expired {
		conn.Close()
	}
}

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// withConn is the http.Server.ConnContext hook of the server for callers.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// abort ends a response that is incomplete by closing the caller's connection. It does not
// return. A response to HTTP/1.0 has no chunks and ends with its connection, so that
// connection is reset.
func (c *call) abort() {
	if conn, ok := c.r.Context().Value(connKey{}).(*net.TCPConn); ok && !c.r.ProtoAtLeast(1, 1) {
		_ = conn.SetLinger(0) // fails only if the connection is closed already
	}
	panic(http.ErrAbortHandler)
}
