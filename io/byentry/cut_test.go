package byentry_test

import (
	"strings"
	"testing"
	"time"

	"burdockyard/platform/bystub"
)

// TestLoneNodeRecoversFromCut checks for each kind of cut that a node without peers, which
// nobody can help, runs nothing and answers truthfully, and serves again once its links
// are back.
func TestLoneNodeRecoversFromCut(t *testing.T) {
	for _, how := range []bystub.Cut{bystub.CutHang, bystub.CutReset, bystub.CutRefuse} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t)
			c.publishConfig(3, nil)
			c.addRunner(bystub.RunnerConfig{ID: "app-1", Service: "app", Zone: "a"})
			c.addRunner(bystub.RunnerConfig{ID: "app-2", Service: "app", Zone: "a"})
			n := c.startNodeWithPaths("n1")
			c.waitReady(n)
			if err := n.paths.Cut(how); err != nil {
				t.Fatal(err)
			}
			for range 3 {
				if got := n.call("POST", "/book/1", "x", "X-Deadline-Ms: 2500"); got.status != 503 || got.header.Get("Retry-After") == "" {
					t.Errorf("got response %+v, want status 503 with Retry-After", got)
				}
			}
			if got := c.totalRuns(); got != 0 {
				t.Errorf("%d requests have run, want 0", got)
			}
			c.waitUntil("the log tells that the links are lost", func() bool { return strings.Contains(c.logs.String(), "links to endpoints lost") })
			if err := n.paths.Heal(); err != nil {
				t.Fatal(err)
			}
			healed := time.Now()
			c.waitUntil("the node serves again", func() bool { return n.call("GET", "/read/1", "").status == 200 })
			if took := time.Since(healed); took > 3*time.Second {
				t.Errorf("the node served again after %v, want at most 3 s", took)
			}
			c.waitUntil("the log tells that the links are back", func() bool { return strings.Contains(c.logs.String(), "links to endpoints regained") })
		})
	}
}
