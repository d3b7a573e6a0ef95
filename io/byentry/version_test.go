package byentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

// newVersionCluster starts nodes and two decode engines of each of two versions, and waits
// until nodes pass on the events of running streams.
func newVersionCluster(t *testing.T, nodes int) *testCluster {
	c := newTestCluster(t)
	c.publishConfig(3, nil)
	for i := range 2 {
		for _, version := range []string{"v1", "v2"} {
			c.addRunner(bystub.RunnerConfig{ID: fmt.Sprint("d", i, "-", version), Version: version, Service: "llm", Zone: "a", Stage: "decode", Slots: 24, EventsPerStream: 6, EventInterval: 10 * time.Millisecond})
		}
	}
	c.firstStart = true
	for i := range nodes {
		c.startNode(fmt.Sprint("n", i))
	}
	c.firstStart = false
	for _, n := range c.nodes {
		c.waitReady(n)
	}
	c.waitStreaming(c.nodes...)
	return c
}

// versionsOf returns the versions of the runners that have run one of the requests.
func (c *testCluster) versionsOf(ids ...string) map[string]bool {
	versions := map[string]bool{}
	for id, r := range c.runners {
		for _, run := range r.Runs() {
			for _, want := range ids {
				if run.ID == want {
					_, version, _ := strings.Cut(id, "-")
					versions[version] = true
				}
			}
		}
	}
	return versions
}

// fill makes the runner that has run the request refuse the next one, and no other runner.
func (c *testCluster) fill(requestID string) {
	for _, r := range c.runners {
		r.SetFaults(bystub.RunnerFaults{})
		for _, run := range r.Runs() {
			if run.ID == requestID {
				r.SetFaults(bystub.RunnerFaults{Shed: 1})
			}
		}
	}
}

// waitSplit waits until a record of versions is in force, so that streams are not held. The
// nodes must have started as those of a new system.
func (c *testCluster) waitSplit() {
	c.t.Helper()
	c.waitUntil("a record of versions is in force", func() bool { return strings.Contains(c.logs.String(), "split of versions") })
}

// waitStreaming waits until each node passes on the events of a stream while it is running.
func (c *testCluster) waitStreaming(nodes ...*testNode) {
	c.t.Helper()
	for i, n := range nodes {
		c.waitUntil("events are passed on while the stream is running", func() bool {
			begun := time.Now()
			if err := n.readEvents(fmt.Sprint("wait-", requestCount.Add(1)), ownPrompt(900+i), 1); err != nil {
				return false
			}
			first := time.Since(begun)
			begun = time.Now()
			err := n.readEvents(fmt.Sprint("wait-", requestCount.Add(1)), ownPrompt(900+i), 6)
			return err == nil && time.Since(begun) > first+25*time.Millisecond
		})
	}
}

// ownPrompt returns the header of a prompt that shares no part with others, so that no
// engine is preferred for its cache.
func ownPrompt(i int) string { return fmt.Sprintf("X-Prompt-Prefix: %x:92,%x:290", 0x7000+i, 0xa000+i) }

// readEvents sends a short prompt, reads the given number of events, and leaves.
func (n *testNode) readEvents(id, prompt string, events int) error {
	conn, err := net.Dial("tcp4", n.settings.CallerAddr)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST /quick/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n%s\r\n%s\r\nContent-Length: 1\r\n\r\nx", id, prompt, shortTokens); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	if err != nil {
		return err
	}
	lines := bufio.NewReader(resp.Body)
	for events > 0 {
		line, err := lines.ReadString('\n')
		if err != nil {
			return err
		}
		if line == "\n" {
			events--
		}
	}
	return nil
}

// TestStreamGoesOnAtItsVersionOnly guards against the failure that a stream holds events of
// two versions of the engines' software, within one response or over a caller's tries, and
// against a refusal of most take-ups although engines of their version serve.
func TestStreamGoesOnAtItsVersionOnly(t *testing.T) {
	t.Parallel()
	const streams = 24
	t.Run("within one response", func(t *testing.T) {
		t.Parallel()
		c := newVersionCluster(t, 1)
		joined := 0
		for i := range streams {
			for _, r := range c.runners {
				r.SetFaults(bystub.RunnerFaults{})
			}
			c.runners[fmt.Sprintf("d%d-v%d", i/2%2, 1+i%2)].SetFaults(bystub.RunnerFaults{Cut: 1})
			id := fmt.Sprint("cut-", i)
			c.nodes[0].callWithID(id, "POST", "/quick/1", "x", ownPrompt(i), shortTokens)
			if len(c.versionsOf(id)) > 1 {
				joined++
			}
		}
		if joined > 0 {
			t.Errorf("%d of %d streams go on at another version within one response, want none", joined, streams)
		}
	})
	t.Run("taken up", func(t *testing.T) {
		t.Parallel()
		c := newVersionCluster(t, 3)
		joined, goOn := 0, 0
		for i := range streams {
			first, second := fmt.Sprint("first-", i), fmt.Sprint("second-", i)
			if err := c.nodes[i%3].readEvents(first, ownPrompt(i), 2); err != nil && err != io.EOF {
				t.Fatal(err)
			}
			c.fill(first)
			got := c.nodes[(i+1)%3].callWithID(second, "POST", "/quick/1", "x", ownPrompt(i), shortTokens, "Last-Event-Id: 2", "Resumes: "+first)
			if got.status == 200 && got.err == nil {
				goOn++
			}
			if len(c.versionsOf(first, second)) > 1 {
				joined++
			}
		}
		if joined > 0 {
			t.Errorf("%d of %d streams are taken up at another version, want none", joined, streams)
		}
		if 2*goOn < streams {
			t.Errorf("%d of %d streams go on when they are taken up, want at least half", goOn, streams)
		}
	})
}

// TestStreamKeepsVersionWhenAllNodesAreKilled guards against the failure that streams are
// joined of two versions after all nodes have lost what they knew of them.
func TestStreamKeepsVersionWhenAllNodesAreKilled(t *testing.T) {
	t.Parallel()
	const streams = 24
	for _, released := range []bool{false, true} {
		t.Run(fmt.Sprint("right after a release/", released), func(t *testing.T) {
			t.Parallel()
			c := newVersionCluster(t, 3)
			for i := range streams {
				if err := c.nodes[i%3].readEvents(fmt.Sprint("first-", i), ownPrompt(i), 2); err != nil && err != io.EOF {
					t.Fatal(err)
				}
			}
			if released { // the engines of one version are replaced
				for i := range 2 {
					c.addRunner(bystub.RunnerConfig{ID: fmt.Sprint("d", i, "-v3"), Version: "v3", Service: "llm", Zone: "a", Stage: "decode", Slots: 24, EventsPerStream: 6, EventInterval: 10 * time.Millisecond})
					c.setRunnerState(fmt.Sprint("d", i, "-v1"), "draining", 2)
				}
				time.Sleep(time.Second)
			}
			killed := c.nodes
			for i := range killed { // as if they had started again
				c.startNode(fmt.Sprint("restarted-", i))
			}
			for _, n := range killed {
				n.stop()
			}
			restarted := c.nodes[len(killed):]
			for _, n := range restarted {
				c.waitReady(n)
			}
			joined, goOn, sameVersion := 0, 0, 0
			for i := range streams {
				first, second := fmt.Sprint("first-", i), fmt.Sprint("second-", i)
				if c.versionsOf(first)["v2"] || !released {
					sameVersion++
				}
				c.fill(first)
				got := restarted[i%3].callWithID(second, "POST", "/quick/1", "x", ownPrompt(i), shortTokens, "Last-Event-Id: 2", "Resumes: "+first)
				if got.status == 200 && got.err == nil {
					goOn++
				}
				if len(c.versionsOf(first, second)) > 1 {
					joined++
				}
			}
			t.Logf("%d of %d streams go on, %d of them can at their version", goOn, streams, sameVersion)
			if joined > 0 {
				t.Errorf("%d of %d streams go on at another version, want none", joined, streams)
			}
			if !released && 2*goOn < streams {
				t.Errorf("%d of %d streams go on, want at least half", goOn, streams)
			}
		})
	}
}

// TestTakenUpStreamIsLogged checks that the log names the stream that a caller takes up, and
// the version at which it goes on.
func TestTakenUpStreamIsLogged(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.firstStart = true
	c.publishConfig(3, nil)
	c.addRunner(bystub.RunnerConfig{ID: "d-v7", Version: "v7", Service: "llm", Zone: "a", Stage: "decode", Slots: 24, EventsPerStream: 6, EventInterval: 10 * time.Millisecond})
	n := c.startNode("n0")
	c.waitReady(n)
	c.waitStreaming(n)
	if err := n.readEvents("first", ownPrompt(1), 2); err != nil {
		t.Fatal(err)
	}
	if got := n.callWithID("second", "POST", "/quick/1", "x", ownPrompt(1), shortTokens, "Last-Event-Id: 2", "Resumes: first"); got.status != 200 {
		t.Fatalf("the take-up got %+v, want status 200", got)
	}
	for _, want := range []string{`"began":"first","last_event":"2","version":"v7","known":true,"request":"second"`, `"version":"v7"`} {
		c.waitUntil("the log has "+want, func() bool { return strings.Contains(c.logs.String(), want) })
	}
}

// TestStreamIsNotTakenUpAtReplacedEndpoint guards against the failure that a stream goes on
// at an endpoint that has started again under its ID, at another version, since the plan was made.
func TestStreamIsNotTakenUpAtReplacedEndpoint(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.firstStart = true
	c.publishConfig(3, nil)
	cfg := bystub.RunnerConfig{ID: "d", Version: "v1", Service: "llm", Zone: "a", Stage: "decode", Slots: 24, EventsPerStream: 6, EventInterval: 10 * time.Millisecond}
	replacedSoon := make(chan struct{})
	c.addRunner(cfg).CrashOn(func(*http.Request) bool { <-replacedSoon; return false }, nil) // only delays the first event
	n := c.startNode("n0")
	c.waitReady(n)
	c.waitSplit()
	done := make(chan reply, 1)
	var group errgroup.Group
	group.Go(func() error {
		done <- n.callWithID("second", "POST", "/quick/1", "x", ownPrompt(1), shortTokens, "Last-Event-Id: 2", "Resumes: first")
		return nil
	})
	c.waitUntil("the take-up runs", func() bool { return len(c.runners["d"].Runs()) > 0 })
	cfg.Version = "v2"
	replaced := bystub.NewRunner(cfg)
	replaced.Restart()
	c.store.Set("servers", "d", replaced.StoreEntry(c.addrs["d"], "ready", 1))
	time.Sleep(time.Second) // within which nodes read the entry
	close(replacedSoon)
	got := <-done
	if got.status == 200 && strings.Contains(got.body, "id:") {
		t.Errorf("the take-up got %q, want no event of an endpoint that was replaced", got.body)
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// TestHeldStreamBeginsAgain guards against the failure that the events of a held stream whose
// engine broke off are joined with those of an engine of another version.
func TestHeldStreamBeginsAgain(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t) // its first record leaves the versions of streams unknown for a while
	c.publishConfig(3, nil)
	for _, version := range []string{"v1", "v2"} {
		c.addRunner(bystub.RunnerConfig{ID: "d-" + version, Version: version, Service: "llm", Zone: "a", Stage: "decode", Slots: 24, EventsPerStream: 6, EventInterval: 10 * time.Millisecond})
	}
	n := c.startNode("n0")
	c.waitReady(n)
	c.waitUntil("the first record is written", func() bool { return strings.Contains(c.logs.String(), `"unknown":true`) })
	rejoined, whole := 0, 0
	const streams = 8
	for i := range streams {
		c.runners["d-v1"].SetFaults(bystub.RunnerFaults{Cut: 1})
		id := fmt.Sprint("held-", i)
		if got := n.callWithID(id, "POST", "/quick/1", "x", ownPrompt(i), shortTokens); got.status == 200 && strings.Count(got.body, "id: ") == 6 {
			whole++
		}
		for _, r := range c.runners {
			for _, run := range r.Runs() {
				if run.ID == id && run.LastEventID != "" {
					rejoined++
				}
			}
		}
	}
	if !strings.Contains(c.logs.String(), "stream held") {
		t.Fatal("no stream was held")
	}
	if rejoined > 0 || whole != streams {
		t.Errorf("%d of %d streams are whole, %d runs go on with events that were held; want all and none", whole, streams, rejoined)
	}
}
