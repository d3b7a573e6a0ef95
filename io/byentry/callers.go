package byentry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"burdockyard"
)

// callerConns follows the connections of callers, to close those that are idle for
// too long. net/http fixes its own limit when a connection becomes idle; the
// configuration may change it meanwhile. mu is a leaf lock.
type callerConns struct {
	clock burdockyard.Clock

	mu    sync.Mutex
	conns map[net.Conn]callerConn
}

type callerConn struct {
	state http.ConnState
	since time.Time
}

func newCallerConns(clock burdockyard.Clock) *callerConns {
	return &callerConns{clock: clock, conns: map[net.Conn]callerConn{}}
}

// track is the ConnState hook of the callers' server.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	c.conns[conn] = callerConn{state, c.clock.Now()}
}

// closeIdle closes the connections that are idle for longer than the limits allow.
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
