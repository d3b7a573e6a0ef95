package byentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockyard/platform/bystub"
)

// lostTime is the time within which a connection may end without a response if the node
// has not read the request, as the users state it.
const lostTime = 200 * time.Millisecond

// TestStoppingNodeCutsNoResponse stops a node under load. Callers that still use its
// address get either a complete response or a refusal that tells them to come back, and
// none of the refused requests has run.
func TestStoppingNodeCutsNoResponse(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name, path  string
		serviceTime time.Duration
		header      []string
	}{
		{"quick calls", "/book/1", 20 * time.Millisecond, nil},
		{"calls as long as their deadline", "/book/1", 1500 * time.Millisecond, nil},
		{"streams", "/long/1", 900 * time.Millisecond, []string{longPrompt, longTokens, "X-Deadline-Ms: 5000"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t)
			c.grace = 6 * time.Second
			c.publishConfig(3, nil)
			c.addRunner(bystub.RunnerConfig{ID: "app-1", Service: "app", Zone: "a", ServiceTime: tt.serviceTime})
			c.addRunner(bystub.RunnerConfig{ID: "llm-1", Service: "llm", Zone: "a", Stage: "decode", EventsPerStream: 3, EventInterval: tt.serviceTime})
			n := c.startNode("n1")
			c.waitReady(n)
			ended := make(chan struct{})
			time.AfterFunc(300*time.Millisecond, func() {
				n.stop()
				_ = n.group.Wait() // reported at the end of the test
				close(ended)
			})
			var mu sync.Mutex
			statuses, refused, unread := map[int]int{}, map[string]bool{}, []string{}
			var callers sync.WaitGroup
			for i := range 4 {
				callers.Go(func() {
					for j := 0; ; j++ {
						select {
						case <-ended:
							return
						default:
						}
						id := fmt.Sprintf("%s-%d-%d", tt.name, i, j)
						sentAt := time.Now()
						got := n.callWithID(id, "POST", tt.path, "x", tt.header...)
						mu.Lock()
						switch {
						case got.err != nil && got.status == 0 && time.Since(sentAt) < lostTime:
							unread = append(unread, id) // the connection was not accepted, or closed before the node read the request
						case got.err != nil || got.status != 200 && got.status != 503:
							t.Errorf("request %s got response %+v after %v, want a complete response or status 503", id, got, time.Since(sentAt))
						case got.status == 503 && (got.header.Get("Retry-After") == "" || !got.closesConnection):
							t.Errorf("request %s got response %+v, want Retry-After and a closed connection", id, got)
						case got.status == 503:
							refused[id] = true
							fallthrough
						default:
							statuses[got.status]++
						}
						mu.Unlock()
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			callers.Wait()
			for _, r := range c.runners {
				for _, run := range r.Runs() {
					if refused[run.ID] {
						t.Errorf("request %s has run, want it not run since it was refused", run.ID)
					}
					if slices.Contains(unread, run.ID) {
						t.Errorf("request %s has run, want a response", run.ID)
					}
				}
			}
			for _, id := range unread {
				if strings.Contains(c.logs.String(), `"`+id+`"`) {
					t.Errorf("request %s got no response, want one since the node has read it", id)
				}
			}
			if statuses[200] == 0 {
				t.Errorf("got statuses %v, want some requests served", statuses)
			}
			t.Logf("statuses: %v", statuses)
		})
	}
}

// TestLateRequestOfStopGetsResponse guards against the failure that requests which come late
// in the grace period of a stop, on connections from before, are taken and cut without a
// response, and against requests that are cut since they last longer than the period.
func TestLateRequestOfStopGetsResponse(t *testing.T) {
	t.Parallel()
	const grace = 8 * time.Second
	newNode := func(t *testing.T, serviceTime time.Duration) (*testCluster, *testNode) {
		c := newTestCluster(t)
		c.grace = grace
		c.publishConfig(3, func(routes []map[string]any) {
			for _, r := range routes {
				r["timeoutMs"] = 15_000
			}
		})
		c.addRunner(bystub.RunnerConfig{ID: "app-1", Service: "app", Zone: "a", ServiceTime: serviceTime})
		n := c.startNode("n1")
		c.waitReady(n)
		return c, n
	}
	// check checks the response that a caller gets to a request that it has sent whole.
	check := func(t *testing.T, c *testCluster, id string, resp *http.Response, err error) {
		t.Helper()
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			t.Errorf("request %s got no complete response: %v", id, err)
			return
		}
		runs := c.runners["app-1"].Runs()
		if hasRun := slices.ContainsFunc(runs, func(r bystub.Run) bool { return r.ID == id }); hasRun && resp.StatusCode == http.StatusServiceUnavailable {
			t.Errorf("request %s was refused and has run", id)
		}
		t.Logf("request %s: status %d", id, resp.StatusCode)
	}
	t.Run("late", func(t *testing.T) {
		t.Parallel()
		c, n := newNode(t, 700*time.Millisecond)
		stoppedAt := time.Now()
		n.stop()
		time.Sleep(time.Until(stoppedAt.Add(5500 * time.Millisecond))) // connections younger than 5 s stay open
		var callers sync.WaitGroup
		for i := range 14 {
			conn, err := net.Dial("tcp4", n.settings.CallerAddr)
			if err != nil {
				t.Fatal(err)
			}
			callers.Go(func() {
				defer conn.Close()
				// The last ones come when the node is about to close.
				time.Sleep(time.Until(stoppedAt.Add(5700*time.Millisecond + time.Duration(i)*70*time.Millisecond)))
				id := fmt.Sprint("late-", i)
				if _, err := fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 780\r\nContent-Length: 1\r\n\r\nx", id); err != nil {
					return // the connection was closed before
				}
				resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
				received := c.runners["app-1"].ReceivedRequests()
				if err != nil && !slices.ContainsFunc(received, func(a bystub.Arrival) bool { return a.ID == id }) {
					return // the request has crossed the end of the connection
				}
				check(t, c, id, resp, err)
			})
		}
		callers.Wait()
	})
	t.Run("longer than the grace period", func(t *testing.T) {
		t.Parallel()
		c, n := newNode(t, 20*time.Second)
		var callers sync.WaitGroup
		for _, path := range []string{"/book/1", "/read/1", "/book/body"} {
			callers.Go(func() {
				id := "long" + path
				conn, err := net.Dial("tcp4", n.settings.CallerAddr)
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 15000\r\nContent-Length: 10\r\n\r\n", path, id)
				if path != "/book/body" { // the body of that one does not arrive
					_, _ = io.WriteString(conn, "ten bytes.")
				}
				resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
				check(t, c, id, resp, err)
			})
		}
		time.Sleep(200 * time.Millisecond)
		n.stop()
		callers.Wait()
	})
}
