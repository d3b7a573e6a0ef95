package byforward_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/io/byforward"
	"burdockyard/platform/bystub"
)

const (
	// soundSilence is how long a sound endpoint may fall silent and go on.
	soundSilence = 1500 * time.Millisecond
	// deadNoticedWithin is the target for noticing that an endpoint acknowledges nothing
	// any more.
	deadNoticedWithin = 3 * time.Second
)

// startSilentEndpoint serves connections with serve, on a host that can fall silent.
func startSilentEndpoint(t *testing.T, serve func(net.Conn)) *bystub.SilentListener {
	t.Helper()
	l, err := bystub.ListenSilently()
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error { defer c.Close(); serve(c); return nil })
		}
	})
	t.Cleanup(func() { l.Close() })
	return l
}

// respond answers requests on c until it ends.
func respond(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(withLength, "%s", req.Header.Get("X-Request-Id"))); err != nil {
			return
		}
	}
}

// sendCount numbers the requests: a connection does not carry two of one ID.
var sendCount atomic.Int64

func sendUntil(f *byforward.Forwarder, addr string, body []byte, deadline time.Duration) error {
	id := fmt.Sprint("r", sendCount.Add(1))
	resp, err := f.Send(context.Background(), byforward.Target{Addr: addr, MaxConns: 4}, &byforward.Request{
		ID: burdockyard.RequestID(id), Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{"X-Request-Id": {id}}, Body: body, Deadline: time.Now().Add(deadline)})
	if err != nil {
		return err
	}
	defer resp.Close()
	_, err = resp.ReadAll(1 << 20)
	return err
}

// TestSilentEndpointKeepsItsRequests guards against connections that break because a
// sound endpoint was silent for a moment: the outcome of their requests would be unknown.
func TestSilentEndpointKeepsItsRequests(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name string
		body int // size of the request body that is sent during the silence
	}{
		{"short request", 0},
		{"long request", 48 << 10},
		{"request beyond the buffers", 8 << 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			l := startSilentEndpoint(t, respond)
			f := newForwarder()
			if err := sendUntil(f, l.Addr().String(), nil, time.Second); err != nil { // opens a connection
				t.Fatal(err)
			}
			if err := l.Silence(); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			var group errgroup.Group
			group.Go(func() error { return sendUntil(f, l.Addr().String(), make([]byte, tt.body), 20*time.Second) })
			time.Sleep(soundSilence)
			if err := l.Wake(); err != nil {
				t.Fatal(err)
			}
			if err := group.Wait(); err != nil {
				t.Errorf("request during a silence of %v: got error %v after %v, want a response", soundSilence, err, time.Since(start))
			}
			if took := time.Since(start); took > deadNoticedWithin {
				t.Errorf("response came after %v, want it within %v", took, deadNoticedWithin)
			}
		})
	}
}

// TestFullEndpointKeepsItsRequests guards against connections that break because an
// endpoint does not read for a moment, so that its receive window is closed.
func TestFullEndpointKeepsItsRequests(t *testing.T) {
	t.Parallel()
	const notReading = soundSilence + 300*time.Millisecond // the kernel counts from its first probe of the window
	l := startSilentEndpoint(t, func(c net.Conn) {
		time.Sleep(notReading)
		respond(c)
	})
	raw, err := l.Listener.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if err := sendUntil(newForwarder(), l.Addr().String(), make([]byte, 16<<20), 20*time.Second); err != nil {
		t.Errorf("request to an endpoint that does not read for %v: got error %v after %v, want a response", notReading, err, time.Since(start))
	}
}

// TestDeadEndpointIsNoticed guards against requests that wait for a host that
// acknowledges nothing any more until their deadline, however far away.
func TestDeadEndpointIsNoticed(t *testing.T) {
	t.Parallel()
	for _, body := range []int{0, 48 << 10, 8 << 20} {
		l := startSilentEndpoint(t, respond)
		f := newForwarder()
		if err := sendUntil(f, l.Addr().String(), nil, time.Second); err != nil {
			t.Fatal(err)
		}
		if err := l.Silence(); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		err := sendUntil(f, l.Addr().String(), make([]byte, body), 20*time.Second)
		if took := time.Since(start); !errors.Is(err, burdockyard.ErrInterrupted) || took <= soundSilence || took > deadNoticedWithin {
			t.Errorf("request with a body of %d bytes: got error %v after %v, want ErrInterrupted after %v to %v", body, err, took, soundSilence, deadNoticedWithin)
		}
	}
}
