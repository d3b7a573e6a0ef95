package byentry_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

// metric returns the sum of the values of a node's metric over its labels.
func (c *testCluster) metric(n *testNode, name string) float64 {
	resp, err := http.Get("http://" + n.settings.MetricsAddr + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	sum := 0.0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		label, value, ok := strings.Cut(lines.Text(), " ")
		if series, _, _ := strings.Cut(label, "{"); ok && series == name {
			var v float64
			if _, err := fmt.Sscan(value, &v); err == nil {
				sum += v
			}
		}
	}
	return sum
}

// addSource registers an endpoint of the plain service whose responses have size bytes. It
// returns the longest time for which the endpoint could not write.
func (c *testCluster) addSource(id string, size int) (longest *atomic.Int64) {
	longest = &atomic.Int64{}
	r := bystub.NewRunner(bystub.RunnerConfig{ID: id, Service: "app", Zone: "a"})
	c.runners[id] = r
	c.addrs[id] = c.serveHandler(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/-/") || req.URL.Path == "/health" {
			r.ServeHTTP(w, req)
			return
		}
		w.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
		piece := make([]byte, 16<<10)
		for sent := 0; sent < size; sent += len(piece) {
			start := time.Now()
			if _, err := w.Write(piece); err != nil {
				return
			}
			longest.Store(max(longest.Load(), int64(time.Since(start))))
		}
	}))
	c.setRunnerState(id, "ready", 1)
	return longest
}

// readSlowly sends a request and reads the response at bytesPerS, or nothing at 0, until
// its end or for the given time.
func (n *testNode) readSlowly(bytesPerS int, length time.Duration) error {
	conn, err := net.Dial("tcp4", n.settings.CallerAddr)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "GET /read/slow HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: s%d\r\nX-Deadline-Ms: 2000\r\n\r\n", requestCount.Add(1)); err != nil {
		return err
	}
	buf := make([]byte, max(bytesPerS/10, 1))
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if bytesPerS == 0 {
			continue
		}
		if _, err := conn.Read(buf); err != nil {
			return err
		}
	}
	return nil
}

// TestSlowCallersAreCutBeforeEndpoints answers callers who read nothing, or 1 KB/s, beside
// others: the endpoint is never kept waiting for two seconds, the slow callers are cut off
// and what the node holds stays within its limit, while the others are served.
func TestSlowCallersAreCutBeforeEndpoints(t *testing.T) {
	t.Parallel()
	for _, bytesPerS := range []int{0, 1000} {
		t.Run(fmt.Sprint(bytesPerS), func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t)
			c.memoryBytes = 16 << 20
			c.publishConfig(3, nil)
			longest := c.addSource("app-1", 4<<20)
			n := c.startNode("n1")
			c.waitReady(n)
			var most, served atomic.Int64
			const slow, quick, rounds = 4, 2, 4
			var group errgroup.Group
			for range slow {
				group.Go(func() error { return ignoreEnd(n.readSlowly(bytesPerS, 4*time.Second)) })
			}
			for range quick {
				group.Go(func() error {
					for range rounds {
						time.Sleep(400 * time.Millisecond)
						if got := n.call("GET", "/read/quick", ""); got.status == 200 && len(got.body) == 4<<20 {
							served.Add(1)
						} else {
							t.Logf("a quick caller got status %d, %d bytes, %v", got.status, len(got.body), got.err)
						}
						most.Store(max(most.Load(), int64(c.metric(n, "burdock_held_bytes"))))
					}
					return nil
				})
			}
			if err := group.Wait(); err != nil {
				t.Fatal(err)
			}
			limit := int64(c.metric(n, "burdock_held_bytes_limit"))
			if served.Load() < quick*rounds || most.Load() > limit {
				t.Errorf("%d of %d requests of quick callers are served with %d of %d bytes held, want all and no more than the limit", served.Load(), quick*rounds, most.Load(), limit)
			}
			if got := time.Duration(longest.Load()); got > 2*time.Second {
				t.Errorf("the endpoint waited %v for a write, want less than 2 s", got)
			}
			if cut := c.metric(n, "burdock_slow_callers_cut_total"); cut != slow || !strings.Contains(c.logs.String(), "slow caller cut off") {
				t.Errorf("%g slow callers are cut off, want %d and a log line for each", cut, slow)
			}
			c.waitUntil("all is released", func() bool { return c.metric(n, "burdock_held_bytes") < 1<<20 })
		})
	}
}

// ignoreEnd returns nil for the errors of a connection that was cut off.
func ignoreEnd(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || err != nil && strings.Contains(err.Error(), "reset") {
		return nil
	}
	return err
}

// TestEndlessBodiesAreRefused answers bodies in chunks without end: they are refused while
// a small request is still served, and their callers get the refusal.
func TestEndlessBodiesAreRefused(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.memoryBytes, c.maxBodyBytes = 32<<20, 64<<20
	c.publishConfig(3, nil)
	c.addRunner(bystub.RunnerConfig{ID: "app-1", Service: "app", Zone: "a"})
	n := c.startNode("n1")
	c.waitReady(n)
	var group errgroup.Group
	for i := range 6 {
		group.Go(func() error {
			conn, err := net.Dial("tcp4", n.settings.CallerAddr)
			if err != nil {
				return err
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // without it, reading fails later
			fmt.Fprintf(conn, "POST /read/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: e%d\r\nX-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n", i)
			answered := make(chan error, 1)
			group.Go(func() error {
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil && (resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "") {
					err = fmt.Errorf("got status %d, want 503 with Retry-After", resp.StatusCode)
				}
				answered <- err
				return nil
			})
			piece := append([]byte("10000\r\n"), append(make([]byte, 64<<10), "\r\n"...)...)
			for {
				select {
				case err := <-answered:
					return err
				default:
				}
				if _, err := conn.Write(piece); err != nil {
					return <-answered
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		if got := n.call("POST", "/book/1", "x"); got.status != 200 {
			t.Errorf("got status %d for a small request, want 200", got.status)
		}
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
