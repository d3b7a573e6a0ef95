package byentry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/io/bylog"
	"burdockyard/platform/bystub"
)

// newPlainServiceCluster returns a cluster with two runners of a plain service and one
// node that is ready.
func newPlainServiceCluster(t *testing.T) (*testCluster, *testNode) {
	c := newTestCluster(t)
	c.publishConfig(3, nil)
	c.addRunner(bystub.RunnerConfig{ID: "app-1", Service: "app", Zone: "a"})
	c.addRunner(bystub.RunnerConfig{ID: "app-2", Service: "app", Zone: "a"})
	n := c.startNode("n1")
	c.waitReady(n)
	return c, n
}

// totalRuns returns the number of requests that all runners have run.
func (c *testCluster) totalRuns() int {
	n := 0
	for _, r := range c.runners {
		n += len(r.Runs())
	}
	return n
}

// setFaults makes every runner fail as described by f.
func (c *testCluster) setFaults(f bystub.RunnerFaults) {
	for _, r := range c.runners {
		r.SetFaults(f)
	}
}

// TestRequestIsForwardedUnchanged checks that the path, query and body reach the
// runner, that its response headers reach the caller, and that a caller cannot set
// the header that only a node may set.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	c, n := newPlainServiceCluster(t)
	got := n.call("POST", "/book/van/7?slate=1&b=%2F", "two vans", "X-Kv-Source: 10.0.0.1:1/h")
	if got.status != 200 || !strings.HasPrefix(got.body, "POST /book/van/7?slate=1&b=%2F r") || !strings.HasSuffix(got.body, " 8") {
		t.Errorf("got response %+v, want status 200 with the method, path, query and body size that were sent", got)
	}
	if !strings.HasPrefix(got.header.Get("X-Response-Stamp"), "stamp-app-") {
		t.Errorf("got header %v, want X-Response-Stamp of a runner", got.header)
	}
	for _, r := range c.runners {
		for _, run := range r.Runs() {
			if run.DeadlineMS <= 0 || run.DeadlineMS > 2000 || run.KVSource != "" {
				t.Errorf("runner got %+v, want a deadline in (0, 2000] ms and no KV source", run)
			}
		}
	}
}

// TestFaultsDetermineStatusAndRuns checks for each kind of failure the status that the
// caller gets and how often the request runs.
func TestFaultsDetermineStatusAndRuns(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		faults  bystub.RunnerFaults // injected into every runner
		status  int
		minRuns int
		maxRuns int
	}{
		{"unsafe, all at capacity", "/book/1", bystub.RunnerFaults{Shed: 9}, 503, 0, 0},
		{"unsafe, no fault", "/book/1", bystub.RunnerFaults{}, 200, 1, 1},
		{"unsafe, response lost", "/book/1", bystub.RunnerFaults{Lose: 9}, 502, 1, 1},
		{"unsafe, all fail", "/book/1", bystub.RunnerFaults{Error: 9}, 500, 1, 1},
		{"unsafe, response to another request", "/book/1", bystub.RunnerFaults{Cross: 9}, 502, 1, 1},
		{"safe, response lost", "/read/1", bystub.RunnerFaults{Lose: 9}, 502, 2, 2},
		{"safe, all fail", "/read/1", bystub.RunnerFaults{Error: 9}, 500, 2, 2},
		{"safe, response to another request", "/read/1", bystub.RunnerFaults{Cross: 9}, 502, 2, 2},
		{"safe, all at capacity", "/read/1", bystub.RunnerFaults{Shed: 9}, 503, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, n := newPlainServiceCluster(t)
			c.setFaults(tt.faults)
			got := n.call("POST", tt.path, "x")
			if got.status != tt.status || got.err != nil {
				t.Errorf("got response %+v, want status %d", got, tt.status)
			}
			if (got.status == 503) != (got.header.Get("Retry-After") != "") {
				t.Errorf("got Retry-After %q with status %d, want it exactly with status 503", got.header.Get("Retry-After"), got.status)
			}
			if runs := c.totalRuns(); runs < tt.minRuns || runs > tt.maxRuns {
				t.Errorf("got %d runs, want %d to %d", runs, tt.minRuns, tt.maxRuns)
			}
		})
	}
}

// TestFailedSendIsRetriedElsewhere checks that another runner gets a request that one
// runner has refused, and a failed request that may run more than once.
func TestFailedSendIsRetriedElsewhere(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		faults     bystub.RunnerFaults
	}{
		{"safe, one fails", "/read/1", bystub.RunnerFaults{Error: 1}},
		{"safe, one response lost", "/read/1", bystub.RunnerFaults{Lose: 1}},
		{"unsafe, one at capacity", "/book/1", bystub.RunnerFaults{Shed: 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, n := newPlainServiceCluster(t)
			c.runners["app-1"].SetFaults(tt.faults)
			for range 6 {
				if got := n.call("POST", tt.path, "x"); got.status != 200 {
					t.Errorf("got response %+v, want status 200", got)
				}
			}
		})
	}
}

// TestEachSendIsLogged checks that the log names every endpoint to which a request was
// sent and why that endpoint did not complete it.
func TestEachSendIsLogged(t *testing.T) {
	c, n := newPlainServiceCluster(t)
	c.setFaults(bystub.RunnerFaults{Error: 1})
	if got := n.callWithID("twice", "GET", "/read/1", ""); got.status != 500 {
		t.Errorf("got response %+v, want status 500", got)
	}
	for _, id := range []string{"app-1", "app-2"} {
		c.waitUntil("the failure of "+id+" is logged", func() bool {
			for _, line := range strings.Split(c.logs.String(), "\n") {
				if strings.Contains(line, `"endpoint":"`+id+`","status":500,"request":"twice"`) && strings.Contains(line, "endpoint failed") {
					return true
				}
			}
			return false
		})
	}
}

// blockingWriter is a log output that blocks, like a pipe that nobody reads, until
// closed is closed.
type blockingWriter struct{ release chan struct{} }

func (b blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestRequestsContinueWhenLogOutputBlocks checks that requests are served when writes
// to the log output block because its reader has stopped.
func TestRequestsContinueWhenLogOutputBlocks(t *testing.T) {
	c := newTestCluster(t)
	out := blockingWriter{make(chan struct{})}
	logWriter := bylog.NewAsyncWriter(out)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return logWriter.Run(ctx) })
	t.Cleanup(func() {
		stop()
		close(out.release)
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	c.logOutput = logWriter
	c.publishConfig(3, nil)
	c.addRunner(bystub.RunnerConfig{ID: "app-1", Service: "app", Zone: "a", Slots: 100})
	n := c.startNode("n1")
	c.waitReady(n)
	for i := range 2000 {
		if got := n.call("GET", "/read/1", ""); got.status != 200 {
			t.Fatalf("request %d: got response %+v, want status 200", i, got)
		}
	}
}

// TestInvalidRequestsAreRejected checks the status of invalid requests and that no
// runner gets them.
func TestInvalidRequestsAreRejected(t *testing.T) {
	c, n := newPlainServiceCluster(t)
	tests := []struct {
		name   string
		got    func() reply
		status int
	}{
		{"no route", func() reply { return n.call("GET", "/nowhere/1", "") }, 404},
		{"long body", func() reply { return n.call("POST", "/book/1", strings.Repeat("x", 70_000)) }, 413},
		{"long header", func() reply { return n.call("GET", "/read/1", "", "X-Long: "+strings.Repeat("x", 9_000)) }, 431},
		{"malformed token usage", func() reply { return n.call("GET", "/quick/1", "", "X-Token-Usage: many", shortPrompt) }, 400},
	}
	for _, tt := range tests {
		if got := tt.got(); got.status != tt.status {
			t.Errorf("%s: got response %+v, want status %d", tt.name, got, tt.status)
		}
	}
	if c.totalRuns() != 0 {
		t.Errorf("got %d runs of rejected requests, want none", c.totalRuns())
	}
}

// TestStalledBodyTimesOut checks that a caller which stops sending in the middle of its
// body gets a response once the deadline has passed, and that nothing runs.
func TestStalledBodyTimesOut(t *testing.T) {
	c, n := newPlainServiceCluster(t)
	got := n.call("POST", "/book/1", "half", "X-Deadline-Ms: 200", "Content-Length: 4000")
	if got.status != 400 && got.status != 408 || c.totalRuns() != 0 {
		t.Errorf("got response %+v and %d runs, want status 400 or 408 and no run", got, c.totalRuns())
	}
}

// TestChunkedBodiesCountTheirActualSize checks that bodies of unknown length are charged
// with their actual size and not with the maximum. Otherwise 40 small bodies would
// exceed the memory limit and be refused.
func TestChunkedBodiesCountTheirActualSize(t *testing.T) {
	c := newTestCluster(t)
	c.maxBodyBytes = 4 << 20
	c.memoryBytes = 64 << 20 // a quarter is for bodies, enough for four of the maximum size
	c.publishConfig(3, nil)
	c.addRunner(bystub.RunnerConfig{ID: "app-1", Service: "app", Zone: "a", ServiceTime: 100 * time.Millisecond})
	n := c.startNode("n1")
	c.waitReady(n)
	var group errgroup.Group
	for i := range 40 {
		group.Go(func() error {
			req, err := http.NewRequest(http.MethodPost, "http://"+n.settings.CallerAddr+"/book/1", io.MultiReader(strings.NewReader("chunked")))
			if err != nil {
				return err
			}
			req.Host = "h.example"
			req.Header = http.Header{"X-Request-Id": {fmt.Sprint("chunked-", i)}, "X-Deadline-Ms": {"5000"}}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("got status %d, want 200", resp.StatusCode)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// TestConnectionLimitDoesNotSuspendEndpoint sends a burst that needs more connections
// than a node may open. A request that gets no connection must be refused or served
// by the other endpoint, and the limit must not count as a failure of the endpoint.
func TestConnectionLimitDoesNotSuspendEndpoint(t *testing.T) {
	c := newTestCluster(t)
	c.maxConnections = 2
	c.publishConfig(3, nil)
	for _, id := range []string{"app-1", "app-2"} {
		c.addRunner(bystub.RunnerConfig{ID: id, Service: "app", Zone: "a", ServiceTime: 150 * time.Millisecond})
	}
	n := c.startNode("n1")
	c.waitReady(n)
	statuses := make(chan int, 12)
	var group errgroup.Group
	for i := range cap(statuses) {
		group.Go(func() error {
			statuses <- n.callWithID(fmt.Sprint("burst-", i), "POST", "/book/1", "x").status
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	served := 0
	for range cap(statuses) {
		switch s := <-statuses; s {
		case 200:
			served++
		case 503:
		default:
			t.Errorf("got status %d, want 200 or 503", s)
		}
	}
	if served < 4 {
		t.Errorf("got %d of 12 requests served with four connections, want at least 4", served)
	}
	if strings.Contains(c.logs.String(), "endpoint set aside") {
		t.Error("an endpoint was suspended at the connection limit, want none")
	}
}

// TestNodeWithoutConfigurationRefuses checks that a node without a configuration refuses
// requests with Retry-After, and that its readiness check and directory say 503.
func TestNodeWithoutConfigurationRefuses(t *testing.T) {
	c := newTestCluster(t)
	n := c.startNode("n1")
	c.waitUntil("the node serves its readiness check", func() bool { return c.getStatus(n.settings.ReadyAddr, "/-/readiness") != 0 })
	got := n.call("GET", "/read/1", "")
	if got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("got response %+v without a configuration, want status 503 with Retry-After", got)
	}
	if s := c.getStatus(n.settings.ReadyAddr, "/-/readiness"); s != 503 {
		t.Errorf("got status %d of the readiness check, want 503", s)
	}
	if s := c.getStatus(n.settings.DirectoryAddr, "/-/resolve?name=h.example"); s != 503 {
		t.Errorf("got status %d of the directory, want 503", s)
	}
}

// TestOnlyNewerValidConfigurationTakesEffect checks that a node applies a newer
// configuration without a restart and ignores an older or invalid one.
func TestOnlyNewerValidConfigurationTakesEffect(t *testing.T) {
	c, n := newPlainServiceCluster(t)
	drop := func(routes []map[string]any) { routes[0]["prefix"] = "/other/" }
	c.publishConfig(9, drop)
	c.waitUntil("configuration 9 is in force", func() bool { return n.call("GET", "/other/1", "").status == 200 })
	c.publishConfig(8, nil)
	c.store.Set("op", "config", []byte(`{"version":20,"routes":[{"kind":"maybe"}]}`))
	c.publishConfig(10, func(routes []map[string]any) { drop(routes); routes[1]["prefix"] = "/mark/" })
	c.waitUntil("configuration 10 is in force", func() bool { return n.call("POST", "/mark/1", "x").status == 200 })
	if got := n.call("GET", "/read/1", ""); got.status != 404 {
		t.Errorf("got status %d on a removed route, want 404", got.status)
	}
}

// TestDrainingRunnerGetsNoNewRequests checks that a draining runner gets no new requests,
// even if the store becomes unavailable afterwards.
func TestDrainingRunnerGetsNoNewRequests(t *testing.T) {
	c, n := newPlainServiceCluster(t)
	c.setRunnerState("app-1", "draining", 2)
	before := 0
	c.waitUntil("the draining runner gets no new requests", func() bool {
		runs := len(c.runners["app-1"].Runs())
		for range 4 {
			n.call("GET", "/read/1", "")
		}
		before = len(c.runners["app-1"].Runs())
		return runs == before
	})
	c.store.SetFaults(bystub.StoreFaults{Down: true})
	for range 10 {
		if got := n.call("GET", "/read/1", ""); got.status != 200 {
			t.Errorf("got response %+v with the store unavailable, want status 200", got)
		}
	}
	if runs := len(c.runners["app-1"].Runs()); runs != before {
		t.Errorf("the draining runner got %d new requests, want none", runs-before)
	}
}

// newEngineCluster returns a cluster with a prefill engine, two decode engines that
// send the given number of events per stream, and one node that is ready.
func newEngineCluster(t *testing.T, events int) (*testCluster, *testNode) {
	c := newTestCluster(t)
	c.publishConfig(3, nil)
	c.addRunner(bystub.RunnerConfig{ID: "p", Service: "llm", Zone: "a", Stage: "prefill"})
	c.addRunner(bystub.RunnerConfig{ID: "d1", Service: "llm", Zone: "a", Stage: "decode", EventsPerStream: events, EventInterval: 2 * time.Millisecond})
	c.addRunner(bystub.RunnerConfig{ID: "d2", Service: "llm", Zone: "a", Stage: "decode", EventsPerStream: events, EventInterval: 2 * time.Millisecond})
	n := c.startNode("n1")
	c.waitReady(n)
	return c, n
}

// hasEachEventOnce reports whether body has the events 1 to events once each, and no
// others.
func hasEachEventOnce(events int, body string) bool {
	for i := 1; i <= events; i++ {
		if strings.Count(body, fmt.Sprintf("id: %d\n", i)) != 1 {
			return false
		}
	}
	return strings.Count(body, "id:") == events
}

// TestLongPromptIsHandedOff checks that a decode engine runs a long prompt with the
// KV cache that the prefill engine stores for it.
func TestLongPromptIsHandedOff(t *testing.T) {
	c, n := newEngineCluster(t, 5)
	got := n.call("POST", "/long/1", "survey", longPrompt, longTokens)
	if got.status != 200 || got.err != nil || !hasEachEventOnce(5, got.body) {
		t.Fatalf("got response %+v, want status 200 and events 1 to 5 once each", got)
	}
	for _, id := range []string{"d1", "d2"} {
		for _, run := range c.runners[id].Runs() {
			if !strings.HasPrefix(run.KVSource, c.addrs["p"]+"/p-") {
				t.Errorf("got run %+v, want the KV cache of the prefill engine as its source", run)
			}
		}
	}
	if c.totalRuns() != 1 {
		t.Errorf("got %d runs, want 1", c.totalRuns())
	}
}

// TestRefusedPrefillIsServedElsewhere checks that a long prompt is served although the
// prefill engine refuses it.
func TestRefusedPrefillIsServedElsewhere(t *testing.T) {
	c, n := newEngineCluster(t, 3)
	c.runners["p"].SetFaults(bystub.RunnerFaults{Shed: 9})
	if got := n.call("POST", "/long/1", "survey", longPrompt, longTokens); got.status != 200 || !hasEachEventOnce(3, got.body) {
		t.Errorf("got response %+v, want status 200 and events 1 to 3 once each", got)
	}
}

// TestStartedNodeLearnsPromptCaches checks that a node queries the engines' prompt
// caches when it starts. Otherwise it would have prompts prefilled again that an
// engine has in its cache.
func TestStartedNodeLearnsPromptCaches(t *testing.T) {
	c, n := newEngineCluster(t, 3)
	if got := n.call("POST", "/long/1", "survey", longPrompt, longTokens); got.status != 200 {
		t.Fatalf("got response %+v, want status 200", got)
	}
	started := c.startNode("n2")
	c.waitReady(started)
	c.waitUntil("the new node has the prompt caches of all engines", func() bool {
		learned := 0
		for _, line := range strings.Split(c.logs.String(), "\n") {
			if strings.Contains(line, `"node":"n2"`) && strings.Contains(line, "engine told what it keeps") {
				learned++
			}
		}
		return learned == 3
	})
	if got := started.callWithID("again", "POST", "/long/1", "survey", longPrompt, longTokens); got.status != 200 {
		t.Fatalf("got response %+v, want status 200", got)
	}
	for _, line := range strings.Split(c.logs.String(), "\n") {
		if strings.Contains(line, `"request":"again"`) && strings.Contains(line, "first event") && strings.Contains(line, `"cached":0`) {
			t.Errorf("the prompt was prefilled again: %s", line)
		}
	}
}

// TestSilentPrefillIsServedElsewhere checks that another engine gets a prompt, before its
// caller gives up, if the prefill engine accepts it and then sends nothing.
func TestSilentPrefillIsServedElsewhere(t *testing.T) {
	c, n := newEngineCluster(t, 3)
	c.runners["p"].SetFaults(bystub.RunnerFaults{Silent: 9})
	if got := n.call("POST", "/long/1", "survey", longPrompt, longTokens); got.status != 200 || !hasEachEventOnce(3, got.body) {
		t.Errorf("got response %+v, want status 200 and events 1 to 3 once each", got)
	}
	if c.totalRuns() != 1 {
		t.Errorf("got %d runs, want 1", c.totalRuns())
	}
}

// TestUnusedKVCacheIsReleased checks that the prefill engine is told to free the
// KV cache of a prompt if no decode engine accepts the request.
func TestUnusedKVCacheIsReleased(t *testing.T) {
	c, n := newEngineCluster(t, 3)
	c.runners["d1"].SetFaults(bystub.RunnerFaults{Shed: 9})
	c.runners["d2"].SetFaults(bystub.RunnerFaults{Shed: 9})
	got := n.call("POST", "/long/1", "survey", longPrompt, longTokens)
	if got.status != 503 || c.totalRuns() != 0 {
		t.Errorf("got response %+v and %d runs, want status 503 and no run", got, c.totalRuns())
	}
	c.waitUntil("the unused KV cache is released", func() bool {
		kept, freed := c.runners["p"].HandleCounts()
		return kept == 0 && freed > 0
	})
}

// TestOnlyResumableStreamsAreResumed checks that another engine continues a resumable
// stream that was cut off, and that the caller sees that any other stream is incomplete.
func TestOnlyResumableStreamsAreResumed(t *testing.T) {
	c, n := newEngineCluster(t, 6)
	c.runners["d1"].SetFaults(bystub.RunnerFaults{Cut: 1})
	c.runners["d2"].SetFaults(bystub.RunnerFaults{Cut: 1})
	got := n.call("POST", "/long/1", "survey", longPrompt, longTokens)
	if got.err == nil || strings.Contains(got.body, "da\n") || c.totalRuns() != 1 {
		t.Errorf("got %d runs and response %+v, want one run and an incomplete response without a partial event", c.totalRuns(), got)
	}
	for _, r := range c.runners {
		r.SetFaults(bystub.RunnerFaults{Cut: 0})
	}
	for i, id := range []string{"d1", "d2"} {
		c.runners[id].SetFaults(bystub.RunnerFaults{Cut: 1})
		got := n.call("POST", "/quick/"+fmt.Sprint(i), "q", shortPrompt, shortTokens)
		if got.err != nil || got.status != 200 || !hasEachEventOnce(6, got.body) {
			t.Errorf("got response %+v to a resumable request, want status 200 and events 1 to 6 once each", got)
		}
		c.runners[id].SetFaults(bystub.RunnerFaults{})
	}
}

// TestStreamWithoutPromptIsServed checks that a stream is served if its request does not
// describe the prompt.
func TestStreamWithoutPromptIsServed(t *testing.T) {
	c, n := newEngineCluster(t, 4)
	if got := n.call("POST", "/quick/1", "q"); got.status != 200 || got.err != nil || !hasEachEventOnce(4, got.body) {
		t.Errorf("got response %+v, want status 200 and events 1 to 4 once each", got)
	}
	if c.totalRuns() != 1 {
		t.Errorf("got %d runs, want 1", c.totalRuns())
	}
}

// TestEngineFailureIsRetriedOrReturned checks that the caller gets the engine's error
// response if no other engine serves the request, and another engine's response if the
// stream may run again.
func TestEngineFailureIsRetriedOrReturned(t *testing.T) {
	c, n := newEngineCluster(t, 4)
	c.setFaults(bystub.RunnerFaults{Error: 9})
	for _, path := range []string{"/quick/1", "/long/1"} {
		got := n.call("POST", path, "q", shortPrompt, shortTokens)
		if got.status != 500 || !strings.HasPrefix(got.header.Get("X-Response-Stamp"), "stamp-d") {
			t.Errorf("%s: got response %+v, want status 500 from a decode engine", path, got)
		}
	}
	if c.totalRuns() != 3 { // two attempts on the first path, one on the second
		t.Errorf("got %d runs, want 3", c.totalRuns())
	}
	c.setFaults(bystub.RunnerFaults{})
	c.runners["d1"].SetFaults(bystub.RunnerFaults{Error: 1})
	for range 3 {
		if got := n.call("POST", "/quick/2", "q", shortPrompt, shortTokens); got.status != 200 || !hasEachEventOnce(4, got.body) {
			t.Errorf("got response %+v, want status 200 and events 1 to 4 once each", got)
		}
	}
}

// TestCallerDisconnectClosesEngineConnection checks that a node ends the stream at the
// engine once the caller has disconnected.
func TestCallerDisconnectClosesEngineConnection(t *testing.T) {
	c, n := newEngineCluster(t, 100_000)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+n.settings.CallerAddr+"/quick/1", strings.NewReader("q"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header = http.Header{"X-Request-Id": {"leaver"}, "X-Deadline-Ms": {"30000"}, "X-Prompt-Prefix": {"1:92,2:290"}, "X-Token-Usage": {"382,40"}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	c.waitUntil("the stream has ended at the engine", func() bool {
		for _, id := range []string{"d1", "d2"} {
			for _, run := range c.runners[id].Runs() {
				if run.ID == "leaver" && run.Ended {
					return true
				}
			}
		}
		return false
	})
}

// TestStoppingNodeIsDelistedButServes checks that nodes list each other in the directory,
// and that a stopping node is removed from it while it still serves requests.
func TestStoppingNodeIsDelistedButServes(t *testing.T) {
	c, a := newPlainServiceCluster(t)
	c.grace = 4 * time.Second
	b := c.startNode("n2")
	c.waitReady(b)
	listedBy := func(n *testNode) map[string]bool {
		resp, err := http.Get("http://" + n.settings.DirectoryAddr + "/-/resolve?name=h.example&region=r&zone=a")
		if err != nil {
			return nil
		}
		defer resp.Body.Close()
		var directory struct {
			Addresses []string `json:"addresses"`
			TTLS      float64  `json:"ttlS"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&directory); err != nil || directory.TTLS <= 0 {
			return nil
		}
		set := map[string]bool{}
		for _, addr := range directory.Addresses {
			set[addr] = true
		}
		return set
	}
	c.waitUntil("both nodes list both", func() bool {
		return listedBy(a)[b.settings.CallerAddr] && listedBy(b)[a.settings.CallerAddr] && listedBy(a)[a.settings.CallerAddr]
	})
	b.stop()
	c.waitUntil("the stopping node is no longer listed", func() bool { return !listedBy(a)[b.settings.CallerAddr] && !listedBy(b)[b.settings.CallerAddr] })
	got := b.call("GET", "/read/1", "")
	if got.status != 200 || !got.closesConnection {
		t.Errorf("got response %+v from a stopping node, want status 200 and a closed connection", got)
	}
	if s := c.getStatus(b.settings.ReadyAddr, "/-/readiness"); s != 503 {
		t.Errorf("got status %d of a stopping node's readiness check, want 503", s)
	}
}

// TestMetricsAreDocumented checks that docs/OPERATIONS.md names every metric that a node
// serves.
func TestMetricsAreDocumented(t *testing.T) {
	c, n := newEngineCluster(t, 2)
	c.addRunner(bystub.RunnerConfig{ID: "app-1", Service: "app", Zone: "a"})
	for _, path := range []string{"/long/1", "/quick/1", "/read/1", "/nowhere/1"} {
		n.call("POST", path, "x", longPrompt, longTokens)
	}
	resp, err := http.Get("http://" + n.settings.MetricsAddr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	served, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	names := 0
	for line := range strings.Lines(string(served)) {
		name, _, _ := strings.Cut(line, "{")
		name, _, _ = strings.Cut(name, " ")
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		names++
		if !strings.Contains(string(page), name) {
			t.Errorf("docs/OPERATIONS.md does not name %s", name)
		}
	}
	if names < 10 {
		t.Errorf("got %d lines of metrics, want at least 10:\n%s", names, served)
	}
}
