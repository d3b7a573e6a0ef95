package byentry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

// startNodesWithPaths starts nodes that have links of their own to each runner, and waits
// until they are ready and know each other.
func (c *testCluster) startNodesWithPaths(count int) {
	for i := range count {
		c.startNodeWithPaths(fmt.Sprint("n", i+1))
	}
	for _, n := range c.nodes {
		c.waitReady(n)
	}
	c.waitUntil("the nodes know each other", func() bool {
		for _, n := range c.nodes {
			if len(n.directoryAddrs()) != count {
				return false
			}
		}
		return true
	})
}

// TestRefusedConnectionsBlameNoInput guards against inputs that are quarantined although
// no endpoint has ended: the links of one or more nodes were reset and refused
// connections, again and again, under requests with the same path.
func TestRefusedConnectionsBlameNoInput(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ nodes, cut int }{{1, 1}, {3, 1}, {3, 2}, {3, 3}} {
		t.Run(fmt.Sprintf("%d of %d nodes cut off", tt.cut, tt.nodes), func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t)
			c.publishConfig(3, nil)
			for i := range 4 {
				c.addRunner(bystub.RunnerConfig{ID: fmt.Sprint("app-", i), Service: "app", Zone: "a", Slots: 16, ServiceTime: 300 * time.Millisecond})
			}
			c.startNodesWithPaths(tt.nodes)
			cut := c.nodes[:tt.cut]
			for range 5 {
				var calls errgroup.Group
				for _, n := range cut {
					for range 4 {
						calls.Go(func() error { n.call("POST", "/book/same", "x"); return nil })
					}
				}
				time.Sleep(150 * time.Millisecond) // all are in progress
				for _, how := range []bystub.Cut{bystub.CutRefuse, bystub.CutReset} {
					for _, n := range cut { // no connection is reset before all links refuse new ones
						if err := n.paths.Cut(how); err != nil {
							t.Fatal(err)
						}
					}
				}
				time.Sleep(400 * time.Millisecond) // longer than it takes to find out whether an endpoint has ended
				for _, n := range cut {
					if err := n.paths.Heal(); err != nil {
						t.Fatal(err)
					}
				}
				_ = calls.Wait() // returns no error
			}
			logs := c.logs.String()
			if got := strings.Count(logs, `attempt broke off`); got < 5*tt.cut {
				t.Fatalf("%d attempts broke off, want at least %d", got, 5*tt.cut)
			}
			for line := range strings.Lines(logs) {
				if strings.Contains(line, `"ended":true`) {
					t.Errorf("an endpoint counts as ended, want none: %s", line)
				}
			}
			if strings.Contains(logs, "input quarantined") {
				t.Error("the path is quarantined, want it free")
			}
		})
	}
}

// TestSecondRunNeedsWitness guards against a stream that goes on from a copy while its
// first engine may still be at work: that new connections to the engine are refused is no
// proof without a peer that finds the same, and reaches other endpoints.
func TestSecondRunNeedsWitness(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name string
		cut  func(peer *bystub.Paths, engine *bystub.Link) error // of the peer's links
		want bool                                                // whether the stream goes on
	}{
		{"the peer reaches the engine", func(*bystub.Paths, *bystub.Link) error { return nil }, false},
		{"the engine refuses the peer as well", func(_ *bystub.Paths, l *bystub.Link) error { return l.Cut(bystub.CutRefuse) }, true},
		{"the peer reaches no endpoint", func(p *bystub.Paths, _ *bystub.Link) error { return p.Cut(bystub.CutRefuse) }, false},
		{"the peer gets no answer", func(p *bystub.Paths, _ *bystub.Link) error { return p.Cut(bystub.CutHang) }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t)
			c.publishConfig(3, nil)
			for i := range 3 {
				c.addRunner(bystub.RunnerConfig{ID: fmt.Sprint("d-", i), Service: "llm", Zone: "a", Stage: "decode", EventsPerStream: 6, EventInterval: 60 * time.Millisecond})
			}
			c.startNodesWithPaths(2)
			n, peer := c.nodes[0], c.nodes[1]
			call := func() reply { return n.call("POST", "/long/1", "x", shortPrompt, shortTokens) }
			lastRun := func() (id string, run bystub.Run) {
				for i, r := range c.runners {
					if runs := r.Runs(); len(runs) > 0 && !runs[len(runs)-1].Ended {
						return i, runs[len(runs)-1]
					}
				}
				return "", run
			}
			// The duration of the route's streams is not known before some have ended.
			var warmUp errgroup.Group
			for range 25 {
				warmUp.Go(func() error { call(); return nil })
				time.Sleep(10 * time.Millisecond)
			}
			_ = warmUp.Wait() // returns no error
			before := c.totalRuns()
			result := make(chan reply, 1)
			var group errgroup.Group
			group.Go(func() error { result <- call(); return nil })
			defer group.Wait()
			var first string
			c.waitUntil("an engine runs the request", func() bool { first, _ = lastRun(); return first != "" })
			if _, run := lastRun(); run.BackupTo == "" {
				t.Fatalf("run %+v has no copy, want one", run)
			}
			time.Sleep(100 * time.Millisecond) // the caller has events
			peerLink, err := peer.paths.Link(c.addrs[first])
			if err != nil {
				t.Fatal(err)
			}
			if err := tt.cut(peer.paths, peerLink); err != nil {
				t.Fatal(err)
			}
			link, err := n.paths.Link(c.addrs[first])
			if err != nil {
				t.Fatal(err)
			}
			if err := link.Cut(bystub.CutReset); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			got := <-result
			took, runs := time.Since(start), c.totalRuns()-before
			if goesOn := got.err == nil && hasEachEventOnce(6, got.body); goesOn != tt.want || runs > 1 && !tt.want {
				t.Errorf("got response %+v after %d runs; the stream must go on: %v", got, runs, tt.want)
			}
			if limit := 500 * time.Millisecond; !tt.want && took > limit {
				t.Errorf("the stream ended %v after the cut, want at most %v", took, limit)
			}
		})
	}
}
