package byentry_test

import (
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

// TestStreamContinuesFromCopy breaks off a stream that must not run twice. If its engine
// has ended, the engine that got copies of the KV cache continues it; if the engine may
// still be at work, the caller gets a truncated response.
func TestStreamContinuesFromCopy(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name      string
		engineEnd bool // whether the engine refuses connections when it breaks the stream off
	}{
		{"the engine has ended", true},
		{"the engine still accepts connections", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t)
			c.publishConfig(3, nil)
			for _, id := range []string{"d1", "d2"} {
				c.addRunner(bystub.RunnerConfig{ID: id, Service: "llm", Zone: "a", Stage: "decode", EventsPerStream: 4, EventInterval: 30 * time.Millisecond})
			}
			n := c.startNode("n1")
			c.waitReady(n)
			call := func() reply { return n.call("POST", "/long/1", "x", shortPrompt, shortTokens) }
			lastRun := func() (string, bystub.Run) {
				for id, r := range c.runners {
					if runs := r.Runs(); len(runs) > 0 && !runs[len(runs)-1].Ended {
						return id, runs[len(runs)-1]
					}
				}
				return "", bystub.Run{}
			}
			// The duration of the route's streams is not known before some have ended.
			c.waitUntil("copies are made", func() bool {
				if got := call(); got.status != 200 || !hasEachEventOnce(4, got.body) {
					t.Fatalf("got response %+v, want 4 events", got)
				}
				for _, r := range c.runners {
					if runs := r.Runs(); len(runs) > 0 && runs[len(runs)-1].BackupTo != "" {
						return true
					}
				}
				return false
			})
			c.setFaults(bystub.RunnerFaults{Cut: 1})
			before := c.totalRuns()
			result := make(chan reply, 1)
			var group errgroup.Group
			group.Go(func() error { result <- call(); return nil })
			defer group.Wait()
			var first string
			var run bystub.Run
			c.waitUntil("an engine runs the request", func() bool { first, run = lastRun(); return first != "" })
			for id, r := range c.runners {
				if id != first {
					r.SetFaults(bystub.RunnerFaults{})
				}
			}
			if tt.engineEnd {
				c.listeners[c.addrs[first]].Close()
			}
			got := <-result
			if !tt.engineEnd {
				if got.err == nil || c.totalRuns() != before+1 {
					t.Errorf("got response %+v and %d runs, want a truncated response and one run", got, c.totalRuns()-before)
				}
				return
			}
			if got.err != nil || got.status != 200 || !hasEachEventOnce(4, got.body) {
				t.Errorf("got response %+v, want all 4 events", got)
			}
			for id, r := range c.runners {
				if id == first {
					continue
				}
				runs := r.Runs()
				second := runs[len(runs)-1]
				if second.ID != run.ID || second.LastEventID != "1" || second.KVSource != c.addrs[id]+"/"+run.ID || run.BackupTo != c.addrs[id] {
					t.Errorf("run %+v was continued as %+v, want the same request after event 1 from the copy at %s", run, second, c.addrs[id])
				}
			}
			if strings.Count(got.body, "piece 2") != 1 {
				t.Errorf("got body %q, want event 2 once", got.body)
			}
		})
	}
}
