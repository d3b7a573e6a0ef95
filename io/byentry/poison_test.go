package byentry_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockyard/platform/bystub"
)

const (
	poisonPart = "bad1"
	// engineDownTime is how long an engine is away after a crash.
	engineDownTime = 600 * time.Millisecond
)

// poisonedCluster is a cluster whose decode engines crash when they begin to answer a
// prompt that contains poisonPart.
type poisonedCluster struct {
	*testCluster
	processes map[string]*bystub.Process

	mu       sync.Mutex
	sequence int
}

func newPoisonedCluster(t *testing.T, nodes, engines int) *poisonedCluster {
	c := &poisonedCluster{testCluster: newTestCluster(t), processes: map[string]*bystub.Process{}, sequence: 1}
	c.publishConfig(3, nil)
	for i := range engines {
		c.addCrashingEngine(fmt.Sprint("d-", i+1))
	}
	c.addRunner(bystub.RunnerConfig{ID: "p-1", Service: "llm", Zone: "a", Stage: "prefill", ServiceTime: 5 * time.Millisecond})
	for i := range nodes {
		c.startNode(fmt.Sprint("n", i+1))
	}
	for _, n := range c.nodes {
		c.waitReady(n)
	}
	return c
}

// addCrashingEngine starts a decode engine that crashes on poisonPart.
func (c *poisonedCluster) addCrashingEngine(id string) {
	r := bystub.NewRunner(bystub.RunnerConfig{ID: id, Service: "llm", Zone: "a", Stage: "decode", EventsPerStream: 6, EventInterval: 20 * time.Millisecond})
	p, err := bystub.StartProcess(r, func() { c.publishEntry(id) })
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(p.Close)
	r.CrashOn(poisonPart, func() { p.Crash(engineDownTime) })
	c.runners[id], c.addrs[id], c.processes[id] = r, p.Addr(), p
	c.publishEntry(id)
}

// publishEntry registers the present process of an engine.
func (c *poisonedCluster) publishEntry(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	c.setRunnerState(id, "ready", c.sequence)
}

// prompt returns the headers of a prompt whose first part is shared by all prompts of the
// test and whose last part is its own.
func prompt(poisoned bool) []string {
	parts := fmt.Sprintf("7c1e:92,%x:200", 1<<20+requestCount.Add(1))
	if poisoned {
		parts = fmt.Sprintf("7c1e:92,%s:40,%x:200", poisonPart, 1<<20+requestCount.Add(1))
	}
	return []string{"X-Prompt-Prefix: " + parts, "X-Token-Usage: 382,40", "X-Deadline-Ms: 1500"}
}

// TestEndOfEngineIsLogged checks that the log names the engine that has ended under a
// request, and what the request's prompt shares with others.
func TestEndOfEngineIsLogged(t *testing.T) {
	t.Parallel()
	c := newPoisonedCluster(t, 1, 1)
	c.nodes[0].call("POST", "/long/1", "x", prompt(true)...)
	c.waitUntil("the end of the engine is logged", func() bool {
		for _, line := range strings.Split(c.logs.String(), "\n") {
			if strings.Contains(line, "attempt broke off") && strings.Contains(line, `"endpoint":"d-1"`) && strings.Contains(line, `"ended":true`) && strings.Contains(line, `"parts":"7c1e,bad1"`) {
				return true
			}
		}
		return false
	})
}
