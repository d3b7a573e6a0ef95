package byentry_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/io/bydrill"
	"burdockyard/platform/bystub"
)

// newLimitCluster starts nodes, a prefill engine, and two decode engines.
func newLimitCluster(t *testing.T, nodes int) *testCluster {
	c := newTestCluster(t)
	c.publishConfig(3, nil)
	for _, id := range []string{"d-1", "d-2"} {
		c.addRunner(bystub.RunnerConfig{ID: id, Service: "llm", Zone: "a", Stage: "decode", Slots: 24, EventsPerStream: 3, EventInterval: 10 * time.Millisecond})
	}
	c.addRunner(bystub.RunnerConfig{ID: "p-1", Service: "llm", Zone: "a", Stage: "prefill", Slots: 24, ServiceTime: 5 * time.Millisecond})
	for i := range nodes {
		c.startNode(fmt.Sprint("n", i+1))
	}
	for _, n := range c.nodes {
		c.waitReady(n)
	}
	return c
}

// press sends prompts through all nodes for the given time, and returns how many were
// sent and how many of them were answered.
func (c *testCluster) press(length time.Duration, callers int) (sent, answered int) {
	end := time.Now().Add(length)
	results := make([][2]int, callers)
	var group errgroup.Group
	for i := range callers {
		group.Go(func() error {
			rng := rand.New(rand.NewPCG(uint64(i), 8))
			for time.Now().Before(end) {
				n := c.nodes[rng.IntN(len(c.nodes))]
				path, header := "/quick/1", []string{shortPrompt, shortTokens}
				if i%4 == 0 {
					path, header = "/long/1", []string{longPrompt, longTokens}
				}
				results[i][0]++
				if got := n.call("POST", path, "x", header...); got.status == 200 {
					results[i][1]++
				}
				time.Sleep(time.Duration(20+rng.IntN(100)) * time.Millisecond)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		c.t.Fatal(err)
	}
	for _, r := range results {
		sent, answered = sent+r[0], answered+r[1]
	}
	return sent, answered
}

// TestNamedLimitHoldsAcrossNodes guards against the failure that an endpoint gets far
// more requests than the limit that it has named: it holds for all nodes together.
func TestNamedLimitHoldsAcrossNodes(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		endpoint string
		limit    float64
	}{{"d-1", 6}, {"p-1", 2.5}, {"d-1", 0.5}} {
		t.Run(fmt.Sprint(tt.endpoint, "/", tt.limit), func(t *testing.T) {
			t.Parallel()
			c := newLimitCluster(t, 3)
			c.press(500*time.Millisecond, 8)
			r := c.runners[tt.endpoint]
			r.NameLimit(fmt.Sprint(tt.limit))
			told := time.Now().Add(500 * time.Millisecond)
			sent, answered := c.press(9*time.Second, 12)
			var counted []time.Time // since the nodes have been told
			for _, a := range r.ReceivedRequests() {
				if a.At.After(told) {
					counted = append(counted, a.At)
				}
			}
			most, allowed := bydrill.MostInWindow(counted, 4*time.Second), int(1.5*4*tt.limit+5)
			t.Logf("%d requests in 4 s at most, %d in all; %d of %d answered", most, len(counted), answered, sent)
			if most > allowed {
				t.Errorf("%s got %d requests in 4 s, want at most %d under a limit of %g a second", tt.endpoint, most, allowed, tt.limit)
			}
			if tt.limit >= 2 && float64(len(counted)) < 0.5*tt.limit*8 {
				t.Errorf("%s got %d requests in 8.5 s, want at least half of what its limit of %g a second allows", tt.endpoint, len(counted), tt.limit)
			}
			if answered < sent*9/10 {
				t.Errorf("%d of %d requests are answered, want the rest to go to the other engine", answered, sent)
			}
		})
	}
}

// TestNamedLimitIsLogged checks that the log names the limit of an endpoint, and its end.
func TestNamedLimitIsLogged(t *testing.T) {
	t.Parallel()
	c := newLimitCluster(t, 1)
	for _, step := range []struct{ limit, want string }{{"5.9", `"named":true,"per_second":"5.9"`}, {"", `"named":false`}} {
		c.runners["d-1"].NameLimit(step.limit)
		c.waitUntil("the log has "+step.want, func() bool {
			c.nodes[0].call("POST", "/quick/1", "x", shortPrompt, shortTokens)
			for _, line := range strings.Split(c.logs.String(), "\n") {
				if strings.Contains(line, "endpoint names a limit") && strings.Contains(line, `"endpoint":"d-1"`) && strings.Contains(line, step.want) {
					return true
				}
			}
			return false
		})
	}
}
