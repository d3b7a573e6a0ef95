package byentry_test

import (
	"fmt"
	"testing"

	"burdockyard/platform/bystub"
)

// newRestoreCluster returns a cluster with the endpoints app-1 to app-3 of a plain
// service and a node that is ready, and a copy of its store.
func newRestoreCluster(t *testing.T) (*testCluster, *testNode, bystub.StoreCopy) {
	c := newTestCluster(t)
	c.publishConfig(3, nil)
	for i := range 3 {
		c.addRunner(bystub.RunnerConfig{ID: fmt.Sprint("app-", i+1), Service: "app", Zone: "a"})
	}
	n := c.startNode("n1")
	c.waitReady(n)
	return c, n, c.store.Copy()
}

// addRoute publishes a configuration with one more route.
func (c *testCluster) addRoute(version int, prefix string) {
	c.publishConfig(version, func(routes []map[string]any) {
		routes[0]["prefix"] = prefix
	})
}

// TestChangesAfterRestoreAreSeen restores the store from an older copy. Versions that
// the node has seen are given out again, and the changes that bear them must take
// effect all the same.
func TestChangesAfterRestoreAreSeen(t *testing.T) {
	t.Parallel()
	c, n, old := newRestoreCluster(t)
	for i := range 40 {
		c.setRunnerState("app-1", "ready", 2+i)
	}
	c.addRoute(4, "/second/")
	c.waitUntil("the second configuration is in force", func() bool { return n.call("GET", "/second/1", "").status == 200 })
	c.store.Restore(old)
	c.addRoute(5, "/third/")
	c.waitUntil("a configuration written after the restore is in force", func() bool { return n.call("GET", "/third/1", "").status == 200 })
	c.store.Restore(old)
	c.addRoute(6, "/fourth/")
	c.waitUntil("a configuration written after a second restore is in force", func() bool { return n.call("GET", "/fourth/1", "").status == 200 })
}

// TestEndpointThatLeftStaysOutAfterRestore restores the store from a copy in which
// endpoints that have since left are still ready. They must get no requests.
func TestEndpointThatLeftStaysOutAfterRestore(t *testing.T) {
	t.Parallel()
	c, n, old := newRestoreCluster(t)
	c.setRunnerState("app-1", "draining", 9)
	c.store.Remove("servers", "app-2")
	c.addRoute(4, "/second/")
	c.waitUntil("the node has seen the changes", func() bool {
		for range 20 {
			if got := n.call("GET", "/second/1", ""); got.status != 200 || got.header.Get("X-Response-Stamp")[:11] != "stamp-app-3" {
				return false
			}
		}
		return true
	})
	c.store.Restore(old)
	c.addRoute(5, "/third/")
	c.waitUntil("the node has seen the new era", func() bool { return n.call("GET", "/third/1", "").status == 200 })
	before := len(c.runners["app-1"].Runs()) + len(c.runners["app-2"].Runs())
	for range 50 {
		n.call("GET", "/third/1", "")
	}
	if after := len(c.runners["app-1"].Runs()) + len(c.runners["app-2"].Runs()); after != before {
		t.Errorf("endpoints that had left ran %d of 50 requests after the store was restored, want 0", after-before)
	}
}
