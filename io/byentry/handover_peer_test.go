package byentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/core/bymember"
	"burdockyard/core/byreach"
	"burdockyard/io/bypeer"
	"burdockyard/platform/bystub"
)

// addFakePeer makes a node believe that there is another node which reaches the endpoints
// of the service "app", until the test ends. The other node is the handler h.
func (c *testCluster) addFakePeer(n *testNode, name string, h http.HandlerFunc) (callerAddr string) {
	srv := httptest.NewServer(h)
	conn, err := net.Dial("udp4", n.settings.PeerAddr)
	if err != nil {
		c.t.Fatal(err)
	}
	hb := bymember.Heartbeat{
		Member:     burdockyard.Member{Node: burdockyard.NodeID(name), Incarnation: "1", Addr: strings.TrimPrefix(srv.URL, "http://")},
		CallerAddr: "127.0.0.1:" + strings.TrimPrefix(name, "p"), Domain: "other", Ready: true, Capacity: 0.4, Reach: byreach.Peer{Reached: []string{"app"}},
	}
	stop := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		for {
			hb.Seq++
			data, err := bypeer.MarshalDatagram(bypeer.Datagram{Heartbeat: hb})
			if err != nil {
				return err
			}
			_, _ = conn.Write(data) // a lost datagram is followed by others
			select {
			case <-time.After(50 * time.Millisecond):
			case <-stop:
				return nil
			}
		}
	})
	c.t.Cleanup(func() {
		close(stop)
		if err := group.Wait(); err != nil {
			c.t.Error(err)
		}
		srv.CloseClientConnections()
		srv.Close()
	})
	return hb.CallerAddr
}

// newCutNode returns a cluster with one node that is cut off from its runners.
func newCutNode(t *testing.T, opts ...func(*testCluster)) (*testCluster, *testNode) {
	c := newTestCluster(t)
	for _, opt := range opts {
		opt(c)
	}
	c.publishConfig(3, nil)
	c.addRunner(bystub.RunnerConfig{ID: "app-1", Service: "app", Zone: "a"})
	c.addRunner(bystub.RunnerConfig{ID: "app-2", Service: "app", Zone: "a"})
	n := c.startNodeWithPaths("n1")
	c.waitReady(n)
	if err := n.paths.Cut(bystub.CutReset); err != nil {
		t.Fatal(err)
	}
	return c, n
}

// TestOutcomeOfHandoverIsToldTruthfully checks for each way in which other nodes may
// respond what the caller gets and how often the request is handed over. Otherwise a
// request that may have run would be sent again or reported as not run.
func TestOutcomeOfHandoverIsToldTruthfully(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	notRun := func(cause string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			token, _, _ := strings.Cut(r.Header.Get("Burdock-Handover"), " ")
			w.Header().Set("Burdock-Not-Run", token+" "+cause)
			w.Header().Set("Retry-After", "0.25")
			http.Error(w, "not run", http.StatusServiceUnavailable)
		}
	}
	answer := func(status int, stamp string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Response-Stamp", stamp)
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "body") // fails only if the node has disconnected
		}
	}
	half := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "half") // fails only if the node has disconnected
		panic(http.ErrAbortHandler)
	}
	forged := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Burdock-Not-Run", "0 peer_full")
		w.WriteHeader(http.StatusInternalServerError)
	}
	for _, tt := range []struct {
		name, path string
		peer       http.HandlerFunc
		status     int
		handovers  int32
		retryAfter bool
	}{
		{"unsafe, served", "/book/1?a=%2F", answer(200, "s"), 200, 1, false},
		{"unsafe, failed by the endpoint", "/book/1?a=%2F", answer(500, "s"), 500, 1, false},
		{"unsafe, response lost", "/book/1?a=%2F", abort, 502, 1, false},
		{"unsafe, response cut", "/book/1?a=%2F", half, 502, 1, false},
		{"safe, response lost", "/read/1?a=%2F", abort, 502, 2, false},
		{"unsafe, both nodes are full", "/book/1?a=%2F", notRun("peer_full"), 503, 2, true},
		{"unsafe, both nodes take it for invalid", "/book/1?a=%2F", notRun("rejected"), 503, 2, true},
		{"unsafe, both nodes know no endpoint", "/book/1?a=%2F", notRun("no_endpoint"), 503, 2, true},
		{"unsafe, endpoints are full", "/book/1?a=%2F", notRun("endpoints_full"), 503, 1, true},
		{"unsafe, an endpoint names the refusal", "/book/1?a=%2F", forged, 500, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c, n := newCutNode(t)
			var handovers atomic.Int32
			var peers []string
			for _, name := range []string{"p1", "p2"} {
				peers = append(peers, c.addFakePeer(n, name, func(w http.ResponseWriter, r *http.Request) {
					body, err := io.ReadAll(r.Body)
					left, errLeft := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
					if err != nil || errLeft != nil || left <= 0 || left > 1500 || r.RequestURI != tt.path || r.Method != "POST" || r.Host != "h.example" || string(body) != "x" || r.Header.Get("X-Own") != "kept" || r.Header.Get("X-Kv-Source") != "" {
						t.Errorf("a node got %s %s of host %s with header %v and body %q, want the caller's request", r.Method, r.RequestURI, r.Host, r.Header, body)
					}
					handovers.Add(1)
					tt.peer(w, r)
				}))
			}
			c.waitUntil("the node knows the others", func() bool {
				known := n.directoryAddrs()
				return slices.Contains(known, peers[0]) && slices.Contains(known, peers[1])
			})
			started := time.Now()
			got := n.call("POST", tt.path, "x", "X-Deadline-Ms: 1500", "X-Own: kept", "X-Kv-Source: forged")
			if got.status != tt.status || got.err != nil || (got.header.Get("Retry-After") != "") != tt.retryAfter || got.header.Get("Burdock-Not-Run") != "" && tt.name != "unsafe, an endpoint names the refusal" {
				t.Errorf("got response %+v, want status %d, Retry-After: %v", got, tt.status, tt.retryAfter)
			}
			if took := time.Since(started); took > time.Second {
				t.Errorf("the response took %v, want at most 1 s", took)
			}
			if handovers.Load() != tt.handovers {
				t.Errorf("the request was handed over %d times, want %d", handovers.Load(), tt.handovers)
			}
			if c.totalRuns() != 0 {
				t.Errorf("%d requests have run at the runners, want none", c.totalRuns())
			}
		})
	}
}

// TestHandoverStopsWithItsCaller checks that events of a stream that is handed over arrive
// as they are sent, that its engine stops half a second after the caller has left, and
// that the node which serves it does not hand it on.
func TestHandoverStopsWithItsCaller(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.firstStart = true // otherwise streams are held until the first record of versions has lasted
	c.publishConfig(3, nil)
	engine := c.addRunner(bystub.RunnerConfig{ID: "llm-1", Service: "llm", Zone: "a", Stage: "decode", EventsPerStream: 40, EventInterval: 100 * time.Millisecond})
	whole, cut := c.startNodeWithPaths("whole"), c.startNodeWithPaths("cut")
	for _, n := range []*testNode{whole, cut} {
		c.waitReady(n)
		c.waitUntil("the nodes know each other", func() bool { return len(n.directoryAddrs()) == 2 })
	}
	c.waitUntil("the whole node reaches the engine", func() bool {
		conn, _ := startStream(t, whole)
		return conn.Close() == nil
	})
	c.waitSplit()
	time.Sleep(500 * time.Millisecond) // in which the other node hears of it
	if err := cut.paths.Cut(bystub.CutReset); err != nil {
		t.Fatal(err)
	}
	before := len(engine.Runs())
	started := time.Now()
	conn, br := startStream(t, cut)
	if line, err := br.ReadString('\n'); err != nil || line != "id: 1\n" || time.Since(started) > 2*time.Second {
		t.Fatalf("got line %q and error %v after %v, want the first event while the stream goes on", line, err, time.Since(started))
	}
	conn.Close()
	left := time.Now()
	c.waitUntil("the engine has stopped", func() bool {
		runs := engine.Runs()
		return len(runs) == before+1 && runs[before].Ended && runs[before].Disconnected
	})
	if took := time.Since(left); took > 500*time.Millisecond {
		t.Errorf("the engine stopped %v after the caller had left, want at most 0.5 s", took)
	}
	// Both nodes are cut off: nobody serves, and the request is not passed around.
	if err := whole.paths.Cut(bystub.CutReset); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		if got := cut.call("POST", "/quick/1", "x", shortPrompt, shortTokens); got.status != 503 || got.header.Get("Retry-After") == "" {
			t.Errorf("got response %+v, want status 503 with Retry-After", got)
		}
	}
	if handed := strings.Count(c.logs.String(), `"message":"calls: handed over"`); handed > 6 {
		t.Errorf("6 requests were handed over %d times, want at most once each", handed)
	}
}

// startStream sends a request for a stream and returns its connection, and a reader at the
// beginning of the first event.
func startStream(t *testing.T, n *testNode) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp4", n.settings.CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "POST /quick/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: s%d\r\nX-Deadline-Ms: 4500\r\n%s\r\n%s\r\nContent-Length: 1\r\n\r\nx", requestCount.Add(1), shortPrompt, shortTokens)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got response %+v and error %v, want status 200", resp, err)
	}
	return conn, bufio.NewReader(resp.Body)
}
