package byentry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"burdockyard/platform/bystub"
)

// directoryAddrs returns the addresses that a node tells callers to connect to.
func (n *testNode) directoryAddrs() []string {
	resp, err := http.Get("http://" + n.settings.DirectoryAddr + "/-/resolve?name=h.example&region=r&zone=a")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil
	}
	return answer.Addresses
}

// TestLeavingEndpointGetsNoMoreRequests checks that an endpoint gets no request once it
// has announced its end in a response, though its entry is still ready, and that other
// nodes learn of it from the node that got the response.
func TestLeavingEndpointGetsNoMoreRequests(t *testing.T) {
	t.Parallel()
	c, n := newPlainServiceCluster(t)
	other := c.startNode("n2")
	c.waitReady(other)
	c.waitUntil("the nodes know each other", func() bool { return len(n.directoryAddrs()) == 2 && len(other.directoryAddrs()) == 2 })
	leaving := c.runners["app-1"]
	leaving.SetFaults(bystub.RunnerFaults{Leaving: true})
	c.waitUntil("the node has passed on a response of the leaving endpoint", func() bool {
		n.call("GET", "/read/1", "")
		return leaving.Arrivals() > 0
	})
	time.Sleep(time.Second) // in which the other node hears of it
	before := leaving.Arrivals()
	for i := range 60 {
		if got := []*testNode{n, other}[i%2].call("GET", "/read/1", ""); got.status != 200 {
			t.Errorf("got response %+v, want status 200 of the other endpoint", got)
		}
	}
	if after := leaving.Arrivals(); after != before {
		t.Errorf("the leaving endpoint got %d of 60 requests, want 0", after-before)
	}
}

// TestEndpointThatAsksForRestGetsIt checks that nothing reaches an endpoint for the time
// in the Retry-After header of its refusal, and that callers are told at once when to
// come back if all endpoints rest.
func TestEndpointThatAsksForRestGetsIt(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		header string
		rest   time.Duration // time for which nothing may arrive
	}{
		{"1", time.Second},
		{"1.5", 1500 * time.Millisecond},
		{"0", 0},
		{"-3", 0},
		{"soon", 0},
		{"Fri, 04 Dec 2026 12:00:00 GMT", 0}, // the platform's protocol has seconds only
		{"1e300", 2 * time.Second},
	} {
		t.Run(tt.header, func(t *testing.T) {
			t.Parallel()
			c, n := newPlainServiceCluster(t)
			c.setFaults(bystub.RunnerFaults{Shed: 1 << 30, RetryAfter: tt.header})
			arrivals := func() int { return c.runners["app-1"].Arrivals() + c.runners["app-2"].Arrivals() }
			n.call("GET", "/read/1", "")
			start, before := time.Now(), arrivals()
			for time.Since(start) < tt.rest-100*time.Millisecond {
				sentAt := time.Now()
				got := n.call("GET", "/read/1", "")
				wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				left := min((tt.rest - time.Since(start)).Seconds(), 2.0/3) // a third of the route's timeout
				if got.status != 503 || err != nil || wait < left-0.1 || time.Since(sentAt) > 500*time.Millisecond {
					t.Fatalf("got response %+v after %v, want status 503 at once with Retry-After of at least %.2f s", got, time.Since(sentAt), left)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if after := arrivals(); after != before {
				t.Errorf("%d requests reached the endpoints while they rested, want 0", after-before)
			}
			if tt.header != "1e300" {
				c.waitUntil("the endpoints get requests again", func() bool { n.call("GET", "/read/1", ""); return arrivals() > before })
			}
		})
	}
}

// callAndDiscard sends a request and discards the body of the response, which may be
// long. It returns the status, or 0 if there is no response.
func (n *testNode) callAndDiscard(path string) int {
	req, err := http.NewRequest("POST", "http://"+n.settings.CallerAddr+path, strings.NewReader("x"))
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	for _, h := range []string{"X-Request-Id: " + fmt.Sprint("r", requestCount.Add(1)), "X-Deadline-Ms: 1500", shortPrompt, shortTokens} {
		key, value, _ := strings.Cut(h, ": ")
		req.Header.Set(key, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil && strings.HasPrefix(resp.Header.Get("X-Response-Stamp"), bystub.EndlessStamp) {
		return -1 // bytes without end must not look like a complete response
	}
	return resp.StatusCode
}

// TestBytesWithoutEndAreCut checks that bytes without end, which are no response, cost
// a node neither memory nor the time until the deadline, and that other callers are
// served.
func TestBytesWithoutEndAreCut(t *testing.T) {
	for _, where := range []string{"line", "head", "body", "trailer"} {
		for _, path := range []string{"/read/1", "/book/1", "/quick/1"} {
			t.Run(fmt.Sprint(where, path), func(t *testing.T) {
				c, n := newPlainServiceCluster(t)
				c.addRunner(bystub.RunnerConfig{ID: "llm-1", Service: "llm", Zone: "a", Stage: "decode", EventsPerStream: 2, EventInterval: time.Millisecond})
				c.waitUntil("streams are served", func() bool { return n.call("POST", "/quick/1", "x", shortPrompt, shortTokens).status == 200 })
				for _, id := range []string{"app-1", "llm-1"} {
					c.runners[id].SetFaults(bystub.RunnerFaults{Endless: where})
				}
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				start := time.Now()
				for range 2 {
					if status := n.callAndDiscard(path); status == 503 || status == -1 {
						t.Errorf("got status %d, want neither a promise that the request has not run (503) nor a complete response (-1)", status)
					}
				}
				runtime.ReadMemStats(&after)
				if took := time.Since(start); where != "body" && took > time.Second {
					t.Errorf("2 requests took %v, want at most 1 s", took)
				}
				if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 16<<20 {
					t.Errorf("the heap has grown by %d bytes, want at most 16 MB", grown)
				}
				c.waitUntil("callers of the sound endpoint are served", func() bool { return n.call("GET", "/read/2", "").status == 200 })
			})
		}
	}
}

// TestSlowStreamIsNotCut checks that a stream with long pauses reaches its caller
// completely.
func TestSlowStreamIsNotCut(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.publishConfig(3, nil)
	c.addRunner(bystub.RunnerConfig{ID: "llm-1", Service: "llm", Zone: "a", Stage: "decode", EventsPerStream: 4, EventInterval: 900 * time.Millisecond})
	n := c.startNode("n1")
	c.waitReady(n)
	for _, path := range []string{"/quick/1", "/long/1"} {
		got := n.call("POST", path, "x", shortPrompt, shortTokens, "X-Deadline-Ms: 5000")
		if got.err != nil || got.status != 200 || strings.Count(got.body, "data: piece") != 4 {
			t.Errorf("%s: got response %+v, want 4 events", path, got)
		}
	}
}

// TestStalledStreamEnds checks that a stream whose engine sends a byte now and then, but
// no complete event, ends at the caller's deadline on both sides.
func TestStalledStreamEnds(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.publishConfig(3, nil)
	engine := c.addRunner(bystub.RunnerConfig{ID: "llm-1", Service: "llm", Zone: "a", Stage: "decode", EventsPerStream: 2})
	n := c.startNode("n1")
	c.waitReady(n)
	engine.SetFaults(bystub.RunnerFaults{Drip: 9})
	for _, path := range []string{"/quick/1", "/long/1"} {
		start := time.Now()
		got := n.call("POST", path, "x", shortPrompt, shortTokens, "X-Deadline-Ms: 800")
		if took := time.Since(start); took > 1300*time.Millisecond || got.status == 200 && got.err == nil {
			t.Errorf("%s: got response %+v after %v, want a failure within half a second after the deadline", path, got, took)
		}
	}
	c.waitUntil("the engine has noticed that nobody reads", func() bool {
		for _, run := range engine.Runs() {
			if !run.Ended {
				return false
			}
		}
		return true
	})
}
