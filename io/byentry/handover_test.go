package byentry_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

// cutRequest is a kind of request in the tests of nodes that are cut off.
type cutRequest struct {
	name, method, path, body string
	header                   []string
	repeatable               bool // whether the request may run more than once
}

var cutRequests = []cutRequest{
	{"safe", "GET", "/read/7?x=%2F", "", nil, true},
	{"unsafe", "POST", "/book/7?x=%2F", "two vans", nil, false},
	{"resumable stream", "POST", "/quick/7", "x", []string{shortPrompt, shortTokens}, true},
	{"long prompt", "POST", "/long/7", "x", []string{longPrompt, longTokens}, false},
}

// isServed reports whether got is the whole response of a runner to the request id.
func (r cutRequest) isServed(got reply, id string) bool {
	if got.err != nil || got.status != 200 || !strings.HasPrefix(got.header.Get("X-Response-Stamp"), "stamp-") || !strings.HasSuffix(got.header.Get("X-Response-Stamp"), id) {
		return false
	}
	if strings.HasPrefix(got.body, "id: 1\n") {
		return strings.Count(got.body, "data: piece") == cutEvents && strings.Count(got.body, id) == cutEvents
	}
	return got.body == fmt.Sprintf("%s %s %s %d", r.method, r.path, id, len(r.body))
}

// cutEvents is the number of events of each stream.
const cutEvents = 3

// cutTraffic sends all kinds of requests to nodes, and counts which are served. mu guards
// the counts.
type cutTraffic struct {
	c    *testCluster
	stop chan struct{}

	mu      sync.Mutex
	sent    map[string]*cutCount // by node and kind of request, of those sent while counting
	from    time.Time            // when counting began; zero while it is off
	refused map[string]string    // what was answered 429 or 503, by request ID
	kinds   map[string]cutRequest
}

type cutCount struct{ served, sent int }

// startCutTraffic sends requests to the nodes until the test calls the returned function.
func (c *testCluster) startCutTraffic(nodes []*testNode, interval time.Duration) (*cutTraffic, func()) {
	tr := &cutTraffic{c: c, stop: make(chan struct{}), sent: map[string]*cutCount{}, refused: map[string]string{}, kinds: map[string]cutRequest{}}
	var group errgroup.Group
	for _, n := range nodes {
		for _, r := range cutRequests {
			group.Go(func() error {
				ticker := time.NewTicker(interval)
				defer ticker.Stop()
				for {
					select {
					case <-ticker.C:
						group.Go(func() error { tr.send(n, r); return nil })
					case <-tr.stop:
						return nil
					}
				}
			})
		}
	}
	return tr, func() {
		close(tr.stop)
		_ = group.Wait() // its goroutines return no error
	}
}

func (tr *cutTraffic) send(n *testNode, r cutRequest) reply {
	id := fmt.Sprint("cut", requestCount.Add(1))
	tr.mu.Lock()
	tr.kinds[id] = r
	counts := !tr.from.IsZero()
	tr.mu.Unlock()
	got := n.callWithID(id, r.method, r.path, r.body, append([]string{"X-Deadline-Ms: 2000"}, r.header...)...)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	served := r.isServed(got, id)
	if got.status == 200 && got.err == nil && !served {
		tr.c.t.Errorf("%s at %s got %+v, want the whole response of a runner", r.name, n.settings.Node, got)
	}
	if got.status == 503 || got.status == 429 {
		tr.refused[id] = fmt.Sprintf("%s at %s: %s", r.name, n.settings.Node, got.body)
	}
	if !counts {
		return got
	}
	key := string(n.settings.Node) + " " + r.name
	if tr.sent[key] == nil {
		tr.sent[key] = &cutCount{}
	}
	tr.sent[key].sent++
	if served {
		tr.sent[key].served++
	} else {
		tr.c.t.Logf("%s %s was not served: %+v", key, id, got)
	}
	return got
}

// count turns counting on or off.
func (tr *cutTraffic) count(on bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.from = (time.Time{}); on {
		tr.from = time.Now()
	}
}

// checkTruth fails the test if a request that must not run twice has, or if one that was
// answered as not run has run.
func (tr *cutTraffic) checkTruth() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	runs := map[string]int{}
	for _, r := range tr.c.runners {
		for _, run := range r.Runs() {
			runs[run.ID]++
			if kind, ok := tr.kinds[run.ID]; !ok || run.Path != kind.path || run.DeadlineMS <= 0 || run.DeadlineMS > 2000 {
				tr.c.t.Errorf("a runner ran %+v, want a request that was sent, with its path and at most its deadline", run)
			}
		}
	}
	for id, n := range runs {
		if kind := tr.kinds[id]; n > 1 && !kind.repeatable {
			tr.c.t.Errorf("%s request %s has run %d times, want once", kind.name, id, n)
		}
		if what := tr.refused[id]; what != "" && !tr.kinds[id].repeatable {
			tr.c.t.Errorf("request %s was answered as not run and has run: %s", id, what)
		}
	}
}

// newCutCluster returns a cluster of two services with several runners each, and nodes that
// have links of their own.
func newCutCluster(t *testing.T, nodes int) (*testCluster, []*testNode) {
	c := newTestCluster(t)
	c.publishConfig(3, nil)
	for i := range 3 {
		c.addRunner(bystub.RunnerConfig{ID: fmt.Sprint("app-", i), Service: "app", Zone: "a", Slots: 50, ServiceTime: 10 * time.Millisecond})
	}
	for i := range 4 {
		stage := []string{"prefill", "decode"}[i%2]
		c.addRunner(bystub.RunnerConfig{ID: fmt.Sprint("llm-", i), Service: "llm", Zone: "a", Stage: stage, Slots: 50, EventsPerStream: cutEvents, EventInterval: 10 * time.Millisecond, ServiceTime: 10 * time.Millisecond})
	}
	var list []*testNode
	for i := range nodes {
		list = append(list, c.startNodeWithPaths(fmt.Sprint("n", i)))
	}
	for _, n := range list {
		c.waitReady(n)
		c.waitUntil("the nodes know each other", func() bool { return len(n.directoryAddrs()) == nodes })
	}
	return c, list
}

// TestNodeCutOffFromEndpointsStillServes guards against callers of nodes that have lost
// their links to all endpoints being served far worse than others. One of four nodes is
// whole; the links of the others hang, are reset or are refused.
func TestNodeCutOffFromEndpointsStillServes(t *testing.T) {
	t.Parallel()
	c, nodes := newCutCluster(t, 4)
	traffic, stop := c.startCutTraffic(nodes, 120*time.Millisecond)
	time.Sleep(time.Second)
	cuts := map[*testNode]bystub.Cut{nodes[1]: bystub.CutHang, nodes[2]: bystub.CutReset, nodes[3]: bystub.CutRefuse}
	for n, how := range cuts {
		if err := n.paths.Cut(how); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(3 * time.Second)
	traffic.count(true)
	time.Sleep(2500 * time.Millisecond)
	traffic.count(false)
	time.Sleep(2 * time.Second) // the deadline of the last ones, which must not be served because the links are back
	for _, n := range nodes {
		for _, addr := range n.directoryAddrs() {
			if addr == nodes[1].settings.CallerAddr || addr == nodes[2].settings.CallerAddr {
				t.Errorf("the directory of %s directs callers to a node that is cut off", n.settings.Node)
			}
		}
		// Open connections may keep a node in touch whose links refuse new ones.
		if got, isCut := traffic.send(n, cutRequests[0]), n == nodes[1] || n == nodes[2]; cuts[n] != bystub.CutRefuse && got.closesConnection != isCut {
			t.Errorf("a response of %s asks to close the connection: %v, want %v", n.settings.Node, got.closesConnection, isCut)
		}
		if status := c.getStatus(n.settings.ReadyAddr, "/-/readiness"); status != 200 {
			t.Errorf("readiness of %s: status %d, want 200", n.settings.Node, status)
		}
	}
	for n := range cuts {
		if err := n.paths.Heal(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2 * time.Second)
	stop()
	traffic.checkTruth()
	for _, r := range cutRequests {
		whole := traffic.sent["n0 "+r.name]
		if whole.served*2 < whole.sent {
			t.Errorf("%s: the whole node served %d of %d, want most", r.name, whole.served, whole.sent)
		}
		for n, how := range cuts {
			got := traffic.sent[string(n.settings.Node)+" "+r.name]
			t.Logf("%s, %s: %d of %d served; at the whole node %d of %d", how, r.name, got.served, got.sent, whole.served, whole.sent)
			if got.served*whole.sent*3 < whole.served*got.sent*2 {
				t.Errorf("%s, %s: %d of %d served, at the whole node %d of %d; want at least two thirds as often", how, r.name, got.served, got.sent, whole.served, whole.sent)
			}
		}
	}
	for n, how := range cuts {
		if got := len(n.directoryAddrs()); got != len(nodes) {
			t.Errorf("%s: the directory names %d nodes 2 s after the cut, want %d", how, got, len(nodes))
		}
		arrivals := func() (total int) {
			for _, r := range c.runners {
				total += r.Arrivals()
			}
			return total
		}
		before, log := arrivals(), c.logs.String()
		if got := n.call("POST", "/book/1", "x"); got.status != 200 || arrivals() != before+1 {
			t.Errorf("%s: got %+v and %d arrivals 2 s after the cut, want status 200 and 1", how, got, arrivals()-before)
		}
		if after := c.logs.String()[len(log):]; strings.Contains(after, "handed") {
			t.Errorf("%s: the node still hands requests over 2 s after the cut: %s", how, after)
		}
	}
}

// TestCutFromOneServiceLeavesTheOther guards against a node that hands everything over, or
// nothing, when its links to the endpoints of one of two services hang, and against one
// that takes an outage of all endpoints for a cut of its own.
func TestCutFromOneServiceLeavesTheOther(t *testing.T) {
	t.Parallel()
	c, nodes := newCutCluster(t, 3)
	traffic, stop := c.startCutTraffic(nodes, 60*time.Millisecond)
	time.Sleep(time.Second)
	setLinks := func(n *testNode, change func(*bystub.Link) error) {
		for id, addr := range c.addrs {
			l, err := n.paths.Link(addr)
			if err == nil && strings.HasPrefix(id, "app-") {
				err = change(l)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	setLinks(nodes[1], func(l *bystub.Link) error { return l.Cut(bystub.CutHang) })
	time.Sleep(2500 * time.Millisecond)
	log := len(c.logs.String())
	traffic.count(true)
	time.Sleep(time.Second)
	traffic.count(false)
	for _, line := range strings.Split(c.logs.String()[log:], "\n") {
		if strings.Contains(line, "handed over") && !strings.Contains(line, `"route":"read"`) && !strings.Contains(line, `"route":"book"`) {
			t.Fatalf("a stream was handed over though the node reaches its engines: %s", line)
		}
	}
	time.Sleep(300 * time.Millisecond) // in which the counted requests end
	// Then nobody reaches the endpoints of the service: nobody withdraws, nothing has run
	// that is reported as not run.
	for _, n := range []*testNode{nodes[0], nodes[2]} {
		setLinks(n, func(l *bystub.Link) error { return l.Cut(bystub.CutReset) })
	}
	time.Sleep(2 * time.Second)
	for _, n := range nodes {
		if got := len(n.directoryAddrs()); got != len(nodes) {
			t.Errorf("the directory of %s names %d nodes while nobody reaches the endpoints, want %d", n.settings.Node, got, len(nodes))
		}
	}
	for _, n := range nodes {
		setLinks(n, (*bystub.Link).Heal)
	}
	healed := time.Now()
	for _, n := range nodes {
		c.waitUntil("the node serves again", func() bool { return traffic.send(n, cutRequests[0]).status == 200 })
	}
	if took := time.Since(healed); took > 2*time.Second {
		t.Errorf("all nodes served again %v after their links were back, want at most 2 s", took)
	}
	stop()
	traffic.checkTruth()
	for key, got := range traffic.sent {
		if got.served*3 < got.sent*2 {
			t.Errorf("%s: %d of %d served while one node was cut off from one service, want two thirds", key, got.served, got.sent)
		}
	}
}

// TestWaitingRequestsSurviveCut guards against requests that wait until their deadline for
// an endpoint that the node no longer reaches, though they may be sent again.
func TestWaitingRequestsSurviveCut(t *testing.T) {
	t.Parallel()
	c, nodes := newCutCluster(t, 2)
	traffic, stop := c.startCutTraffic(nodes, 30*time.Millisecond)
	time.Sleep(time.Second)
	stop()
	if err := nodes[1].paths.Cut(bystub.CutHang); err != nil {
		t.Fatal(err)
	}
	traffic.count(true)
	var group errgroup.Group
	for _, r := range []cutRequest{cutRequests[0], cutRequests[2]} {
		for range 4 {
			group.Go(func() error { traffic.send(nodes[1], r); return nil })
		}
	}
	_ = group.Wait() // its goroutines return no error
	for key, got := range traffic.sent {
		if got.served != got.sent {
			t.Errorf("%s: %d of %d served that were sent right after the cut, want all", key, got.served, got.sent)
		}
	}
	traffic.checkTruth()
}
