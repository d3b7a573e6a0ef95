package byentry_test

import (
	"testing"
	"time"

	"burdockyard"
	"burdockyard/io/byentry"
	"burdockyard/platform"
	"burdockyard/platform/bystub"
)

// testDuties are the duties of nodes in clusters with an API.
var testDuties = byentry.DutySettings{Reports: true, CallsPerS: 50, Lease: 600 * time.Millisecond, UsageWindow: time.Second, UsageDeadline: 4 * time.Second}

// platformAPI returns the client of the cluster's API.
func (c *testCluster) platformAPI() burdockyard.PlatformAPI {
	if c.api == nil {
		return nil
	}
	return platform.NewAPI(c.apiAddr)
}

// TestUsageIsReportedOnce lets callers of a workspace use three nodes while the platform loses
// answers and carries out calls late, and the holder of the duty stops: each request is
// reported once, and each window with one content.
func TestUsageIsReportedOnce(t *testing.T) {
	c := newKeyedCluster(t)
	c.api = bystub.NewAPI()
	c.apiAddr = c.serveHandler(c.api)
	c.api.SetFaults(bystub.APIFaults{Lose: 3, LateBy: time.Second})
	var nodes []*testNode
	for _, name := range []string{"n1", "n2", "n3"} {
		nodes = append(nodes, c.startNode(name))
	}
	for _, n := range nodes {
		c.waitReady(n)
	}
	want := int64(0)
	send := func(nodes []*testNode, times int) {
		for i := range times {
			for _, n := range nodes {
				path, header := "/read/1", []string{keyNorth}
				if i%2 == 0 {
					path, header = "/quick/1", append(header, shortPrompt, shortTokens)
				}
				if r := n.call("GET", path, "", header...); r.status != 200 {
					t.Errorf("status %d, error %v", r.status, r.err)
				}
				want++
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	reported := func() (sum int64) {
		for _, n := range c.api.Usage("north") {
			sum += n
		}
		return sum
	}
	send(nodes, 20)
	c.waitUntil("the usage is reported", func() bool { return reported() >= want })
	nodes[0].stop() // by name the first of equal nodes, so it holds the duty
	send(nodes[1:], 20)
	c.waitUntil("another node reports the usage", func() bool { return reported() >= want })
	time.Sleep(2 * testDuties.UsageWindow)
	if got := reported(); got != want {
		t.Errorf("%d requests are reported, want %d", got, want)
	}
	if v := c.api.Violations(); len(v) > 0 {
		t.Errorf("broken rules: %v", v)
	}
}

// TestLostResponseIsCounted lets a runner lose the response to a stream that it has run: it is
// reported like one that its caller got.
func TestLostResponseIsCounted(t *testing.T) {
	c := newKeyedCluster(t)
	c.api = bystub.NewAPI()
	c.apiAddr = c.serveHandler(c.api)
	n := c.startNode("n1")
	c.waitReady(n)
	c.waitUntil("the node reports usage", func() bool { return len(c.api.Usage("north")) > 0 })
	c.setFaults(bystub.RunnerFaults{Lose: 1})
	if r := n.call("POST", "/quick/1", "", keyNorth, shortPrompt, shortTokens); r.status != 502 {
		t.Fatalf("status %d, want 502 for a lost response", r.status)
	}
	c.waitUntil("the stream is reported", func() bool {
		sum := int64(0)
		for _, n := range c.api.Usage("north") {
			sum += n
		}
		return sum == 1
	})
}

// TestFirstWindowIsReported guards against the loss of what began before any node held the
// duty: nodes start at any moment of a window.
func TestFirstWindowIsReported(t *testing.T) {
	for _, offset := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(offset.String(), func(t *testing.T) {
			c := newKeyedCluster(t)
			c.api = bystub.NewAPI()
			c.apiAddr = c.serveHandler(c.api)
			time.Sleep(time.Until(time.Now().Truncate(testDuties.UsageWindow).Add(testDuties.UsageWindow + offset)))
			n := c.startNode("n1")
			c.waitReady(n)
			if r := n.call("GET", "/read/1", "", keyNorth); r.status != 200 {
				t.Fatalf("status %d, error %v", r.status, r.err)
			}
			c.waitUntil("the request is reported", func() bool {
				for _, count := range c.api.Usage("north") {
					if count == 1 {
						return true
					}
				}
				return false
			})
		})
	}
}
