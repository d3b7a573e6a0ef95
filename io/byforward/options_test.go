package byforward

import (
	"net"
	"net/http"
	"syscall"
	"testing"

	"burdockyard"
)

// TestNoKeepAliveProbes guards against a connection that waits for a response and breaks
// because a single keep-alive probe was lost while a sound endpoint was silent.
func TestNoKeepAliveProbes(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f := New(burdockyard.SystemClock{}, func(http.Header) burdockyard.RequestID { return "" })
	c, err := f.dialer.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	keepAlive := 0
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		keepAlive, optErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
	}); err != nil || optErr != nil {
		t.Fatalf("reading SO_KEEPALIVE: %v, %v", err, optErr)
	}
	if keepAlive != 0 {
		t.Errorf("SO_KEEPALIVE is %d, want 0: TCP_USER_TIMEOUT would end the connection after one lost probe", keepAlive)
	}
}
