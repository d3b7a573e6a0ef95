package byentry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"burdockyard"
)

// callers follows the connections of callers, to close those that are idle for
// too long. net/http fixes its own limit when a connection becomes idle; the
// configuration may change it meanwhile. mu is a leaf lock.
type callers struct {
	clock burdockyard.Clock

	mu    sync.Mutex
	conns map[net.Conn]callerConn
}

type callerConn struct {
	state http.ConnState
	since time.Time
}

func newCallers(clock burdockyard.Clock) *callers {
	return &callers{clock: clock, conns: map[net.Conn]callerConn{}}
}

// track is the ConnState hook of the callers' server.
func (c *callers) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	c.conns[conn] = callerConn{state, c.clock.Now()}
}

// closeIdle closes the connections that are idle for longer than the limits allow.
func (c *callers) closeIdle(limits burdockyard.Limits) {
	if limits.IdleTimeout <= 0 {
		return
	}
	var old []net.Conn
	c.mu.Lock()
	for conn, s := range c.conns {
		if s.state == http.StateIdle && c.clock.Now().Sub(s.since) > limits.IdleTimeout {
			old = append(old, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range old {
		conn.Close()
	}
}
