package byentry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

// repeatedRequest is a request on which each runner crashes that begins to run it. Its
// caller sends it again and again.
type repeatedRequest struct {
	method, path, body string
	header             []string
}

// isPoisoned returns a function that reports whether a request that a runner has got is
// an attempt of p.
func (p repeatedRequest) isPoisoned(req *http.Request) bool {
	return req.RequestURI == p.path
}

// newRepeatCluster starts nodes, four endpoints of each service, and a prefill engine.
// The endpoints crash on the given request.
func newRepeatCluster(t *testing.T, nodes int, p repeatedRequest) *poisonedCluster {
	c := newPoisonedCluster(t, 0, 0, false)
	for i := range 4 {
		c.addCrashingRunner(bystub.RunnerConfig{ID: fmt.Sprint("app-", i), Service: "app", Zone: "a", ServiceTime: 5 * time.Millisecond}, p.isPoisoned)
		c.addCrashingRunner(bystub.RunnerConfig{ID: fmt.Sprint("d-", i), Service: "llm", Zone: "a", Stage: "decode", EventsPerStream: 6, EventInterval: 20 * time.Millisecond}, p.isPoisoned)
	}
	for i := range nodes {
		c.startNode(fmt.Sprint("n", i))
	}
	for _, n := range c.nodes {
		c.waitReady(n)
	}
	return c
}

// arrivalsAfter returns how many attempts of the given path, without a query, have reached
// runners after t.
func (c *poisonedCluster) arrivalsAfter(path string, t time.Time) int {
	count := 0
	for _, r := range c.runners {
		for _, a := range r.ReceivedRequests() {
			if a.Path == path && a.Query == "" && a.At.After(t) {
				count++
			}
		}
	}
	return count
}

// TestRequestThatEndsEndpointsIsStopped guards against the failure that one request, sent
// again and again at any node, ends each endpoint that begins to run it: from 3 s after
// the third end on it may reach endpoints three times, ever, even if all nodes restart.
func TestRequestThatEndsEndpointsIsStopped(t *testing.T) {
	t.Parallel()
	prompt := []string{"X-Prompt-Prefix: 7c1e:92,4d2:40,51f:200", "X-Token-Usage: 332,40"}
	for _, tt := range []struct {
		name     string
		request  repeatedRequest
		restarts bool // whether all nodes restart at once after the third end
		together bool // whether the request comes to all nodes in the same moment
	}{
		{"safe", repeatedRequest{"GET", "/read/shelf", "", nil}, false, false},
		{"unsafe", repeatedRequest{"POST", "/book/shelf", "two vans", nil}, true, false},
		{"short prompt", repeatedRequest{"POST", "/quick/1", "x", prompt}, true, false},
		{"long prompt", repeatedRequest{"POST", "/long/1", "x", []string{"X-Prompt-Prefix: 5c1e:13300,91bd:3700", longTokens}}, false, false},
		{"at all nodes at once", repeatedRequest{"GET", "/read/shelf", "", nil}, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := tt.request
			c := newRepeatCluster(t, 3, p)
			var mu sync.Mutex // guards nodes
			nodes := c.nodes
			current := func() []*testNode {
				mu.Lock()
				defer mu.Unlock()
				return nodes
			}
			end := time.Now().Add(12 * time.Second)
			var callers errgroup.Group
			var sound, served atomic.Int64
			for i := range 4 { // callers of sound requests with the same path but the query, or the same parts of a prompt
				callers.Go(func() error {
					rng := rand.New(rand.NewPCG(uint64(i), 31))
					for time.Now().Before(end) {
						n := current()[rng.IntN(len(current()))]
						header := p.header
						if len(header) > 0 {
							header = append([]string{strings.Replace(header[0], ":200", fmt.Sprintf(":200,%x:1", requestCount.Add(1)), 1)}, header[1:]...)
						}
						if got := n.call(p.method, fmt.Sprintf("%s?sound=%d", p.path, requestCount.Add(1)), p.body, header...); got.status == 200 {
							served.Add(1)
						}
						sound.Add(1)
						time.Sleep(time.Duration(20+rng.IntN(60)) * time.Millisecond)
					}
					return nil
				})
			}
			callers.Go(func() error {
				rng := rand.New(rand.NewPCG(9, 31))
				for time.Now().Before(end) {
					targets := []*testNode{current()[rng.IntN(len(current()))]}
					if tt.together {
						targets = current()
					}
					var repeats errgroup.Group
					for _, n := range targets {
						repeats.Go(func() error { n.call(p.method, p.path, p.body, p.header...); return nil })
					}
					if err := repeats.Wait(); err != nil {
						return err
					}
					time.Sleep(time.Duration(300+rng.IntN(300)) * time.Millisecond)
				}
				return nil
			})
			c.waitUntil("three endpoints have ended", func() bool { return len(c.crashes()) >= 3 })
			third := c.crashes()[2]
			if tt.restarts {
				time.Sleep(time.Until(third.Add(stableWindow)))
				for _, n := range current() {
					n.stop()
				}
				for _, n := range current() { // no node starts before the last one has ended
					if err := n.group.Wait(); err != nil {
						t.Fatal(err)
					}
				}
				restarted := []*testNode{}
				for i := range 3 {
					restarted = append(restarted, c.startNode(fmt.Sprint("n", i)))
				}
				for _, n := range restarted {
					c.waitReady(n)
				}
				mu.Lock()
				nodes = restarted
				mu.Unlock()
			}
			if err := callers.Wait(); err != nil {
				t.Fatal(err)
			}
			late := c.arrivalsAfter(p.path, third.Add(stableWindow))
			t.Logf("%d endpoints ended, %d arrivals after the bound, %d of %d sound requests served", len(c.crashes()), late, served.Load(), sound.Load())
			if late > 3 {
				t.Errorf("the request reaches endpoints %d times later than %v after the third end, want at most 3; %d ended", late, stableWindow, len(c.crashes()))
			}
			if 4*served.Load() < 3*sound.Load() && !tt.restarts {
				t.Errorf("%d of %d sound requests are served, want at least three quarters", served.Load(), sound.Load())
			}
		})
	}
}
