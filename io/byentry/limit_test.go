package byentry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

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
