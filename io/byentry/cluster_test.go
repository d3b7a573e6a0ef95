package byentry_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/io/byentry"
	"burdockyard/io/bylog"
	"burdockyard/platform"
	"burdockyard/platform/bystub"
)

// waitLimit limits how long a test waits for a condition. It is generous, so that
// only a hanging test reaches it.
const waitLimit = 20 * time.Second

// testCluster runs a stub store, stub runners and nodes in the test process, on
// loopback addresses.
type testCluster struct {
	t              *testing.T
	store          *bystub.Store
	addr           string // address of the store
	runners        map[string]*bystub.Runner
	addrs          map[string]string       // addresses of the runners, by ID
	listeners      map[string]net.Listener // listeners of all handlers, by address
	nodes          []*testNode
	grace          time.Duration // ReloadableSettings.Grace of each node
	memoryBytes    int64         // ReloadableSettings.MemoryBytes of each node
	maxBodyBytes   int           // largest request body that the configuration allows, in bytes
	maxConnections int           // largest number of connections to one endpoint that the configuration allows
	firstStart     bool          // Settings.FirstSystemStart of each node
	tenants        []tenant      // workspaces of the configuration; nil if it checks no keys
	revokeBound    time.Duration // ReloadableSettings.RevokeBound of each node
	logs           syncBuffer    // log output of all nodes
	api            *bystub.API   // the platform's API; nil if there is none
	apiAddr        string        // its address
	logOutput      io.Writer     // where nodes write their logs; nil means logs
	asksNoPeers    bool          // whether the nodes that are started do not ask peers for what they lack
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// testNode is a running node, and the means to stop it.
type testNode struct {
	settings byentry.Settings
	stop     context.CancelFunc
	group    *errgroup.Group
	paths    *bystub.Paths // links of the node to the runners, nil if it reaches them directly
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	c := &testCluster{t: t, store: bystub.NewStore(), runners: map[string]*bystub.Runner{}, addrs: map[string]string{}, listeners: map[string]net.Listener{}, grace: 1800 * time.Millisecond, memoryBytes: 256 << 20, maxBodyBytes: 65536, maxConnections: 50}
	c.addr = c.serveHandler(c.store)
	return c
}

// serveHandler serves a handler until the test ends, and returns its address.
func (c *testCluster) serveHandler(h http.Handler) string {
	srv := httptest.NewServer(h)
	c.t.Cleanup(func() {
		srv.CloseClientConnections() // otherwise Close waits for requests that never get a response
		srv.Close()
	})
	addr := strings.TrimPrefix(srv.URL, "http://")
	c.listeners[addr] = srv.Listener
	return addr
}

// addRunner starts a bystub.Runner and registers it in the store as ready.
func (c *testCluster) addRunner(cfg bystub.RunnerConfig) *bystub.Runner {
	r := bystub.NewRunner(cfg)
	c.runners[cfg.ID] = r
	c.addrs[cfg.ID] = c.serveHandler(r)
	c.setRunnerState(cfg.ID, "ready", 1)
	return r
}

// setRunnerState writes the registry entry of a runner.
func (c *testCluster) setRunnerState(id, state string, sequence int) {
	c.store.Set("servers", id, c.runners[id].StoreEntry(c.addrs[id], state, sequence))
}

// publishConfig publishes a configuration with a safe, an unsafe and two streaming
// routes. If change is not nil, it may modify the routes first.
func (c *testCluster) publishConfig(version int, change func(routes []map[string]any)) {
	routes := []map[string]any{
		{"name": "read", "host": "h.example", "prefix": "/read/", "kind": "safe", "timeoutMs": 2000, "targetLatencyMs": 100, "attempts": 2, "service": "app"},
		{"name": "book", "host": "h.example", "prefix": "/book/", "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 100, "attempts": 1, "service": "app"},
		{"name": "quick", "host": "h.example", "prefix": "/quick/", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300,
			"targetGapMs": 150, "attempts": 2, "service": "llm", "stickySessions": true, "resumable": true},
		{"name": "long", "host": "h.example", "prefix": "/long/", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 600,
			"targetGapMs": 150, "attempts": 1, "service": "llm", "stickySessions": true},
	}
	if change != nil {
		change(routes)
	}
	config := map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "app", "healthPath": "/health", "maxConnections": c.maxConnections},
			{"name": "llm", "healthPath": "/health", "maxConnections": c.maxConnections, "engine": map[string]any{
				"slots": 12, "kvCapacityTokens": 360000, "kvTokenBytes": 131072, "linkMbps": 740000.0, "handleTtlS": 5.0, "stageSwitchS": 3.0, "backups": true}},
		},
		"limits": map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": c.maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if c.tenants != nil {
		config["tenants"] = c.tenants
	}
	data, err := json.Marshal(config)
	if err != nil {
		c.t.Fatal(err)
	}
	c.store.Set("op", "config", data)
}

// nodeIP returns a loopback address that no other test or process uses. The ports
// used on it lie below the ephemeral port range.
func nodeIP() string {
	const perBlock, blocks = 254, 2
	pid, n := os.Getpid(), int(nodesStarted.Add(1))-1
	if n >= perBlock*blocks {
		panic("more nodes than addresses")
	}
	return fmt.Sprintf("127.%d.%d.%d", 64+64*(n/perBlock)+pid>>8&63, pid&255, 1+n%perBlock)
}

var nodesStarted atomic.Int64

// startNode starts a Node, which is stopped when the test ends.
func (c *testCluster) startNode(name string) *testNode { return c.startNodeAt(name, "a", c.addr) }

// startNodeWithPaths starts a Node that has a link of its own to each runner, which the
// test may cut. It is the only node of its failure domain, since nodes of one domain pass
// readings of the registry on to each other.
func (c *testCluster) startNodeWithPaths(name string) *testNode {
	paths := bystub.NewPaths(c.store)
	c.t.Cleanup(paths.Close)
	n := c.startNodeAt(name, "domain-of-"+name, c.serveHandler(paths))
	n.paths = paths
	return n
}

// startNodeAt starts a Node in a failure domain that reads the store at an address.
func (c *testCluster) startNodeAt(name, domain, storeAddr string) *testNode {
	store := platform.NewStore(storeAddr)
	ip := nodeIP()
	s := byentry.Settings{
		Node: burdockyard.NodeID(name), Domain: domain, FirstSystemStart: c.firstStart, ReloadableSettings: byentry.ReloadableSettings{
			Capacity: 0.4, MemoryBytes: c.memoryBytes, Grace: c.grace, DrainBound: 2 * time.Second, ConfigBound: 2 * time.Second,
			RetryRatio: 0.2, RetrySlack: 50, AnswerTTL: time.Second, RevokeBound: c.revokeBound,
		},
		CallerAddr: ip + ":20001", ReadyAddr: ip + ":20002", DirectoryAddr: ip + ":20003", PeerAddr: ip + ":20004", MetricsAddr: ip + ":20005",
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{settings: s, stop: stop, group: &errgroup.Group{}}
	out := c.logOutput
	if out == nil {
		out = &c.logs
	}
	if c.api != nil {
		s.Duties = testDuties
	}
	node := byentry.New(s, byentry.Platform{
		API: c.platformAPI(), Registry: store, Table: store, Protocol: platform.Protocol{}, Engines: platform.EngineProtocol{},
		ConfigTable: platform.ConfigTable, ConfigKey: platform.ConfigKey, InstanceTable: platform.InstanceTable,
		DecodeConfig: platform.DecodeConfig, RedactRow: platform.RedactConfigRow, DecodeInstance: platform.DecodeInstance,
		NewDirectory: func(lookup func(host, domain string) ([]string, time.Duration)) http.Handler {
			return platform.NewDirectoryHandler(func(q platform.DirectoryQuery) ([]string, time.Duration) { return lookup(q.Host, q.Domain) })
		},
		NewReadiness: platform.NewReadinessHandler,
	}, byentry.WithLog(bylog.New(out, "debug", name)))
	if c.asksNoPeers {
		node.AskNoPeers()
	}
	n.group.Go(func() error { return node.Run(ctx) })
	c.nodes = append(c.nodes, n)
	c.t.Cleanup(func() {
		stop()
		if err := n.group.Wait(); err != nil {
			c.t.Errorf("node %s: Run returned %v, want no error", name, err)
		}
	})
	return n
}

// waitReady waits until a node's readiness check succeeds.
func (c *testCluster) waitReady(n *testNode) {
	c.t.Helper()
	c.waitUntil("the node is ready", func() bool { return c.getStatus(n.settings.ReadyAddr, "/-/readiness") == http.StatusOK })
}

// waitUntil polls a condition, and fails the test if it does not hold within
// waitLimit.
func (c *testCluster) waitUntil(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitLimit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// getStatus sends a GET request and returns the status code of the response, or 0 if
// there is none.
func (c *testCluster) getStatus(addr, path string) int {
	resp, err := http.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// reply is the response to a caller's request. err is not nil if there is no complete
// response.
type reply struct {
	status           int
	header           http.Header
	body             string
	closesConnection bool // whether the node asked to close the connection
	err              error
}

var requestCount atomic.Int64

// call sends a request with a new request ID, on a connection of its own.
func (n *testNode) call(method, path, body string, header ...string) reply {
	return n.callWithID(fmt.Sprint("r", requestCount.Add(1)), method, path, body, header...)
}

// callWithID sends a request with the given request ID, on a connection of its own.
// Unless header contains X-Deadline-Ms, the request has a deadline of 3000 ms.
func (n *testNode) callWithID(id, method, path, body string, header ...string) reply {
	conn, err := net.Dial("tcp4", n.settings.CallerAddr)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	req := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n", method, path, id)
	all := strings.Join(header, "\r\n")
	if !strings.Contains(all, "X-Deadline-Ms") {
		header = append(header, "X-Deadline-Ms: 3000")
	}
	for _, h := range header {
		req += h + "\r\n"
	}
	if body != "" && !strings.Contains(all, "Content-Length") {
		req += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, req+"\r\n"+body); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), closesConnection: resp.Close, err: err}
}

const (
	longPrompt  = "X-Prompt-Prefix: 5c1e:13300,91bd:3700"
	longTokens  = "X-Token-Usage: 17000,100"
	shortPrompt = "X-Prompt-Prefix: 7c1e:92,a1bd:290"
	shortTokens = "X-Token-Usage: 382,40"
)
