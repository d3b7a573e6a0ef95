package byentry_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

// tenant is a workspace of the configuration, as the operator writes it.
type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
}

const (
	keyNorth   = "X-Api-Key: secret-of-north"
	keySouth   = "X-Api-Key: secret-of-south"
	keyUnknown = "X-Api-Key: secret-of-nobody"
)

// newKeyedCluster returns a cluster with runners of both services and the workspaces north
// and south. The route of unsafe requests is public.
func newKeyedCluster(t *testing.T, options ...func(*bystub.RunnerConfig)) *testCluster {
	c := newTestCluster(t)
	c.tenants = []tenant{{"north", []string{"secret-of-north", "secret-of-both"}}, {"south", []string{"secret-of-south", "secret-of-both"}}}
	c.publishConfig(3, publicBooking)
	for _, cfg := range []bystub.RunnerConfig{
		{ID: "app-1", Service: "app", Zone: "a", Slots: 50},
		{ID: "app-2", Service: "app", Zone: "a", Slots: 50},
		{ID: "p-1", Service: "llm", Zone: "a", Stage: "prefill", Slots: 12},
		{ID: "d-1", Service: "llm", Zone: "a", Stage: "decode", Slots: 12, EventsPerStream: cutEvents},
		{ID: "d-2", Service: "llm", Zone: "a", Stage: "decode", Slots: 12, EventsPerStream: cutEvents},
	} {
		for _, option := range options {
			option(&cfg)
		}
		c.addRunner(cfg)
	}
	return c
}

func publicBooking(routes []map[string]any) { routes[1]["public"] = true }

// checkArrivals checks that the runners have got the request want times or more, as one of
// the given workspace and without a key.
func (c *testCluster) checkArrivals(id, workspace string, want int) {
	c.t.Helper()
	got := 0
	for name, r := range c.runners {
		for _, a := range r.ReceivedRequests() {
			if a.ID != id {
				continue
			}
			if got++; a.Key != "" || a.Tenant != workspace {
				c.t.Errorf("%s: runner %s got key %q and workspace %q, want no key and %q", id, name, a.Key, a.Tenant, workspace)
			}
		}
	}
	if got < want || want == 0 && got > 0 {
		c.t.Errorf("%s: runners got %d requests, want %d", id, got, want)
	}
}

// arrivals returns the number of requests with the given ID that the runners have got.
func (c *testCluster) arrivals(id string) int {
	got := 0
	for _, r := range c.runners {
		for _, a := range r.ReceivedRequests() {
			if a.ID == id {
				got++
			}
		}
	}
	return got
}

// checkNoKeysInLogs checks that no node has logged a key.
func (c *testCluster) checkNoKeysInLogs() {
	c.t.Helper()
	if strings.Contains(c.logs.String(), "secret-of-") {
		c.t.Error("the logs contain a key")
	}
}

// TestRequestsRunForTheWorkspaceOfTheirKey checks what callers with each kind of key get,
// and what runners are told, whatever the caller claims.
func TestRequestsRunForTheWorkspaceOfTheirKey(t *testing.T) {
	c := newKeyedCluster(t)
	n := c.startNode("n1")
	c.waitReady(n)
	for _, tt := range []struct {
		name, method, path string
		header             []string
		status             int
		workspace          string
		arrivals           int // fewest requests that runners get
	}{
		{"safe", "GET", "/read/1", []string{keyNorth}, 200, "north", 1},
		{"forged", "GET", "/read/1", []string{keySouth, "x-tenant-id: north", "X-Tenant-Id: east"}, 200, "south", 1},
		{"listed in Connection", "GET", "/read/1", []string{keySouth, "X-Tenant-Id: north", "Connection: x-api-key, x-tenant-id"}, 200, "south", 1},
		{"same key twice", "GET", "/read/1", []string{keyNorth, keyNorth}, 200, "north", 1},
		{"stream", "POST", "/quick/1", []string{keyNorth, shortPrompt, shortTokens}, 200, "north", 1},
		{"long prompt, read by another engine", "POST", "/long/1", []string{keySouth, longPrompt, longTokens}, 200, "south", 2},
		{"public without a key", "POST", "/book/1", nil, 200, "", 1},
		{"public with a key", "POST", "/book/1", []string{keyNorth, "X-Tenant-Id: north"}, 200, "", 1},
		{"no key", "GET", "/read/1", []string{"X-Tenant-Id: north"}, 401, "", 0},
		{"empty key", "GET", "/read/1", []string{"X-Api-Key: "}, 401, "", 0},
		{"unknown key", "GET", "/read/1", []string{keyUnknown}, 401, "", 0},
		{"key of two workspaces", "GET", "/read/1", []string{"X-Api-Key: secret-of-both"}, 401, "", 0},
		{"two keys", "GET", "/read/1", []string{keyNorth, keySouth}, 401, "", 0},
		{"4 KiB", "GET", "/read/1", []string{keyUnknown + strings.Repeat("k", 4096)}, 401, "", 0},
		{"the hash of a key", "GET", "/read/1", []string{"Burdock-Key: d3b07384d113edec49eaa6238ad5ff00"}, 401, "", 0},
	} {
		id := strings.ReplaceAll(tt.name, " ", "-")
		got := n.callWithID(id, tt.method, tt.path, "x", tt.header...)
		if got.status != tt.status || got.err != nil || got.status == 401 && !strings.Contains(got.body, "API key") {
			t.Errorf("%s: got response %+v, want status %d", tt.name, got, tt.status)
		}
		c.checkArrivals(id, tt.workspace, tt.arrivals)
	}
	c.waitUntil("the shared key is logged", func() bool { return strings.Contains(c.logs.String(), "key of two workspaces") })
	c.checkNoKeysInLogs()
}

// TestRetriesKeepTheWorkspace checks that each send of a request, also one that continues a
// stream, names the workspace and no key.
func TestRetriesKeepTheWorkspace(t *testing.T) {
	c := newKeyedCluster(t)
	n := c.startNode("n1")
	c.waitReady(n)
	c.setFaults(bystub.RunnerFaults{Error: 1})
	n.callWithID("twice", "GET", "/read/1", "", keyNorth)
	c.checkArrivals("twice", "north", 2)
	c.setFaults(bystub.RunnerFaults{})
	c.runners["d-1"].SetFaults(bystub.RunnerFaults{Cut: 1})
	c.runners["d-2"].SetFaults(bystub.RunnerFaults{Cut: 1})
	n.callWithID("cut", "POST", "/quick/1", "x", keyNorth, shortPrompt, shortTokens)
	c.checkArrivals("cut", "north", 2)
}

// TestKeyIsTakenAwayWhileARequestRuns checks that a request whose key is taken away before
// it is sent again gets no further send: neither its second attempt nor, after its prompt
// was read, its run.
func TestKeyIsTakenAwayWhileARequestRuns(t *testing.T) {
	for _, tt := range []struct {
		name, method, path string
		header             []string
		status             int
	}{
		{"retry", "GET", "/read/1", []string{keyNorth}, 502},
		{"long prompt", "POST", "/long/1", []string{keyNorth, longPrompt, longTokens}, 401},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newKeyedCluster(t, func(cfg *bystub.RunnerConfig) { cfg.ServiceTime = 1200 * time.Millisecond })
			n := c.startNode("n1")
			c.waitReady(n)
			for _, id := range []string{"app-1", "app-2"} {
				c.runners[id].CrashOn(func(*http.Request) bool { return true }, func() {})
			}
			replies := make(chan reply, 1)
			var group errgroup.Group
			group.Go(func() error { replies <- n.callWithID("late", tt.method, tt.path, "x", tt.header...); return nil })
			c.waitUntil("a runner has the request", func() bool { return c.arrivals("late") == 1 })
			c.tenants = c.tenants[1:]
			c.publishConfig(4, publicBooking)
			if got := <-replies; got.status != tt.status {
				t.Errorf("got response %+v, want status %d", got, tt.status)
			}
			c.checkArrivals("late", "north", 1)
			if got := c.arrivals("late"); got != 1 {
				t.Errorf("runners got %d requests, want 1", got)
			}
			if got := n.call("POST", "/quick/1", "x", keySouth, shortPrompt, shortTokens); got.status != 200 {
				t.Errorf("got response %+v to another key, want status 200", got)
			}
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestNewKeyIsServedOnceItIsKnown checks that a new key and one that moves to another
// workspace take effect.
func TestNewKeyIsServedOnceItIsKnown(t *testing.T) {
	c := newKeyedCluster(t)
	n := c.startNode("n1")
	c.waitReady(n)
	c.tenants = []tenant{{"north", []string{"secret-of-south"}}, {"east", []string{"secret-of-nobody"}}}
	c.publishConfig(4, publicBooking)
	c.waitUntil("the new key is served", func() bool { return n.call("GET", "/read/1", "", keyUnknown).status == 200 })
	n.callWithID("moved", "GET", "/read/1", "", keySouth)
	c.checkArrivals("moved", "north", 1)
	if got := n.call("GET", "/read/1", "", keyNorth); got.status != 401 {
		t.Errorf("got response %+v to a key that was taken away, want 401", got)
	}
}

// storeLink is one node's way to the store, which the test may cut.
type storeLink struct {
	store       http.Handler
	cut         atomic.Bool
	configReads atomic.Int64
}

func (l *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("table") == "op" {
		l.configReads.Add(1)
	}
	if l.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	l.store.ServeHTTP(w, r)
}

// startLinkedNode starts a node with a way of its own to the store.
func (c *testCluster) startLinkedNode(name, domain string) (*testNode, *storeLink) {
	link := &storeLink{store: c.store}
	n := c.startNodeAt(name, domain, c.serveHandler(link))
	c.waitReady(n)
	return n, link
}

// newStrictCluster returns a cluster of newKeyedCluster in which keys must not outlive a bound.
func newStrictCluster(t *testing.T) *testCluster {
	c := newKeyedCluster(t)
	c.revokeBound = 1500 * time.Millisecond
	return c
}

// TestNodeWithoutProofRefusesKeyedRequests checks that nodes which all have lost the store
// refuse keyed requests, and only these, and serve again once the store is back.
func TestNodeWithoutProofRefusesKeyedRequests(t *testing.T) {
	c := newStrictCluster(t)
	n1, link1 := c.startLinkedNode("n1", "a")
	n2, link2 := c.startLinkedNode("n2", "a")
	for _, n := range []*testNode{n1, n2} {
		c.waitUntil("the key is served", func() bool { return n.call("GET", "/read/1", "", keyNorth).status == 200 })
	}
	link1.cut.Store(true)
	link2.cut.Store(true)
	for _, n := range []*testNode{n1, n2} {
		var got reply
		c.waitUntil("the key is refused", func() bool { got = n.call("GET", "/read/1", "", keyNorth); return got.status != 200 })
		if got.status != 503 || got.header.Get("Retry-After") == "" || !got.closesConnection || !strings.Contains(got.body, "stale_configuration") {
			t.Errorf("got response %+v, want status 503 with Retry-After and a closed connection", got)
		}
		if got := n.call("GET", "/read/1", "", keyUnknown); got.status != 503 {
			t.Errorf("got response %+v to an unknown key, want 503, since it may be a new one", got)
		}
		if got := n.call("POST", "/book/1", "x"); got.status != 200 {
			t.Errorf("got response %+v on a public route, want 200", got)
		}
	}
	link1.cut.Store(false)
	for _, n := range []*testNode{n1, n2} {
		c.waitUntil("the key is served again", func() bool { return n.call("GET", "/read/1", "", keyNorth).status == 200 })
	}
	c.waitUntil("the refusals are logged", func() bool {
		return strings.Contains(c.logs.String(), "configuration too old, keys are refused") && strings.Contains(c.logs.String(), "keys are believed")
	})
}

// TestPeersProveTheConfiguration checks that a node which has lost the store serves keyed
// requests by the answers of a peer, in its own failure domain or in another one, and that
// it does not make the peer read the store more often.
func TestPeersProveTheConfiguration(t *testing.T) {
	for _, domain := range []string{"a", "b"} {
		c := newStrictCluster(t)
		n1, link1 := c.startLinkedNode("n1", "a")
		n2, link2 := c.startLinkedNode("n2", domain)
		for _, n := range []*testNode{n1, n2} {
			c.waitUntil("the key is served", func() bool { return n.call("GET", "/read/1", "", keyNorth).status == 200 })
		}
		link2.cut.Store(true)
		before := link1.configReads.Load()
		for end := time.Now().Add(2 * c.revokeBound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if got := n2.call("GET", "/read/1", "", keyNorth); got.status != 200 {
				t.Errorf("in domain %s: got response %+v, want status 200", domain, got)
			}
		}
		if got := link1.configReads.Load() - before; got > 7 {
			t.Errorf("in domain %s: the node that reaches the store read the configuration %d times in %v, want at most 7: each third of the bound", domain, got, 2*c.revokeBound)
		}
	}
}

// TestStaleNodeHandsKeyedRequestsOver checks that a node which lacks a change of the
// configuration, and knows that it may, lets a peer decide: a key that was taken away is
// denied, others are served. It does not get the change from the peer, as between nodes of
// earlier releases.
func TestStaleNodeHandsKeyedRequestsOver(t *testing.T) { testStaleNode(t, false) }

// TestStaleNodeAsksForTheChange checks the same of a node that gets the change from the peer, but
// not that the directory leaves it out, as it is not stale then.
func TestStaleNodeAsksForTheChange(t *testing.T) { testStaleNode(t, true) }

func testStaleNode(t *testing.T, asksPeers bool) {
	c := newStrictCluster(t)
	c.asksNoPeers = !asksPeers
	n1, _ := c.startLinkedNode("n1", "a")
	n2, link2 := c.startLinkedNode("n2", "b")
	for _, n := range []*testNode{n1, n2} {
		c.waitUntil("the key is served", func() bool { return n.call("GET", "/read/1", "", keyNorth).status == 200 })
	}
	link2.cut.Store(true)
	c.tenants = c.tenants[1:] // south
	c.publishConfig(4, publicBooking)
	revokedAt := time.Now()
	c.waitUntil("the node hands requests over", func() bool {
		sentAt := time.Now()
		status := n2.call("GET", "/read/1", "", keyNorth).status
		if status == 200 && sentAt.Sub(revokedAt) > c.revokeBound {
			t.Fatalf("a key was served %v after it was taken away", sentAt.Sub(revokedAt))
		}
		return status == 401
	})
	if got := n2.callWithID("by-peer", "GET", "/read/1", "", keySouth); got.status != 200 {
		t.Errorf("got response %+v to another key, want status 200", got)
	}
	c.checkArrivals("by-peer", "south", 1)
	if got := n2.callWithID("stream-by-peer", "POST", "/quick/1", "x", keySouth, shortPrompt, shortTokens); got.status != 200 {
		t.Errorf("got response %+v to a stream, want status 200", got)
	}
	c.checkArrivals("stream-by-peer", "south", 1)
	if asksPeers {
		c.checkNoKeysInLogs()
		return
	}
	c.waitUntil("the directory names only the other node", func() bool {
		resp, err := http.Get("http://" + n1.settings.DirectoryAddr + "/-/resolve?name=h.example&zone=b")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return err == nil && strings.Contains(string(body), n1.settings.CallerAddr) && !strings.Contains(string(body), n2.settings.CallerAddr)
	})
	c.checkNoKeysInLogs()
}

// TestStartedNodeBelievesNoKeyThatTheStoreHasForgotten guards against keys that were taken away
// and run again, as the store has come back from a copy that still has them and a node that
// starts reads it. Its peers go by the newer configuration.
func TestStartedNodeBelievesNoKeyThatTheStoreHasForgotten(t *testing.T) {
	t.Parallel()
	c := newKeyedCluster(t)
	c.revokeBound = 3 * time.Second
	for _, name := range []string{"n1", "n2", "n3"} {
		c.startNodeAt(name, "domain-of-"+name, c.addr)
	}
	for _, n := range c.nodes {
		c.waitReady(n)
	}
	restarted := c.nodes[2]
	c.waitUntil("the key is believed", func() bool { return restarted.call("GET", "/read/1", "", keySouth).status == 200 })
	restarted.stop()
	if err := restarted.group.Wait(); err != nil {
		t.Fatal(err)
	}
	old := c.store.Copy()
	c.tenants = c.tenants[:1]
	c.publishConfig(4, publicBooking)
	acknowledged := time.Now()
	for _, n := range c.nodes[:2] {
		c.waitUntil("the key is taken away", func() bool { return n.call("GET", "/read/1", "", keySouth).status == 401 })
	}
	time.Sleep(time.Until(acknowledged.Add(c.revokeBound)))
	c.store.Restore(old)
	n := c.startNodeAt("n3", "domain-of-n3", c.addr)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		n.callWithID("taken", "GET", "/read/1", "", keySouth)
	}
	if got := c.arrivals("taken"); got > 0 {
		t.Errorf("%d requests with a key that was taken away have run, want none", got)
	}
	c.publishConfig(4, publicBooking) // the operator writes it again
	c.waitUntil("another key is believed at the node itself", func() bool { return n.call("GET", "/read/1", "", keyNorth).status == 200 })
	if got := n.call("GET", "/read/1", "", keySouth); got.status != 401 {
		t.Errorf("got response %+v to a request with a key that was taken away, want status 401", got)
	}
}
