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

// TestRequestThatEndsWholeServiceIsStopped guards against the failure that a request ends
// endpoints without an end (BUDGET): it comes while all other endpoints of its service are
// down, so that no connection to one of them proves that the next one has ended.
func TestRequestThatEndsWholeServiceIsStopped(t *testing.T) {
	t.Parallel()
	const path, playTime = "/book/deadly", 12 * time.Second
	for _, tt := range []struct {
		name    string
		runners int
		pause   time.Duration // between two tries of one caller
		callers int           // one at each node, or one at any node
		kills   bool          // whether the node that has seen the third end is stopped right after it
	}{
		{"three endpoints", 3, 430 * time.Millisecond, 1, false},
		{"two endpoints", 2, 430 * time.Millisecond, 1, false},
		{"callers at all nodes", 3, 100 * time.Millisecond, 4, false},
		{"node stops", 3, 430 * time.Millisecond, 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newPoisonedCluster(t, 0, 0, false)
			c.downTime = time.Second
			isDeadly := func(r *http.Request) bool { return r.URL.Path == path }
			for i := range tt.runners {
				c.addCrashingRunner(bystub.RunnerConfig{ID: fmt.Sprint("app-", i), Service: "app", Zone: "a", Slots: 8, ServiceTime: 20 * time.Millisecond}, isDeadly)
			}
			for i := range 4 {
				c.startNode(fmt.Sprint("n", i))
			}
			for _, n := range c.nodes {
				c.waitReady(n)
			}
			var mu sync.Mutex // guards nodes and last
			nodes, last := c.nodes, c.nodes[0]
			end := time.Now().Add(playTime)
			var callers errgroup.Group
			for i := range tt.callers {
				callers.Go(func() error {
					rng := rand.New(rand.NewPCG(uint64(i), 69))
					for time.Now().Before(end) {
						mu.Lock()
						n := nodes[rng.IntN(len(nodes))]
						if tt.callers > 1 {
							n = nodes[i]
						}
						last = n
						mu.Unlock()
						n.call("POST", path, "two vans")
						time.Sleep(tt.pause)
					}
					return nil
				})
			}
			var sound, served atomic.Int64
			callers.Go(func() error {
				for time.Now().Before(end) {
					mu.Lock()
					n := nodes[rand.IntN(len(nodes))]
					mu.Unlock()
					if got := n.call("POST", fmt.Sprintf("/book/%d", requestCount.Add(1)), "x"); time.Until(end) < 4*time.Second {
						sound.Add(1)
						if got.status == http.StatusOK {
							served.Add(1)
						}
					}
					time.Sleep(25 * time.Millisecond)
				}
				return nil
			})
			c.waitUntil("three endpoints have ended", func() bool { return len(c.crashes()) >= 3 })
			third := c.crashes()[2]
			if tt.kills {
				mu.Lock()
				last.stop()
				nodes = nil
				for _, n := range c.nodes {
					if n != last {
						nodes = append(nodes, n)
					}
				}
				mu.Unlock()
			}
			if err := callers.Wait(); err != nil {
				t.Fatal(err)
			}
			late := c.arrivalsAfter(path, third.Add(stableWindow))
			t.Logf("%d endpoints ended, %d arrivals after the bound; of the last sound requests %d of %d are served", len(c.crashes()), late, served.Load(), sound.Load())
			if late > 3 {
				t.Errorf("the request reaches endpoints %d times later than %v after the third end, want at most 3; %d ended", late, stableWindow, len(c.crashes()))
			}
			if 10*served.Load() < 9*sound.Load() {
				t.Errorf("%d of the last %d sound requests are served, want nine tenths", served.Load(), sound.Load())
			}
		})
	}
}

// TestRestartsBehindPartitionBlameNoInput guards against ends that count although links had
// failed: all links of all nodes are reset and refuse connections under requests with one
// path, and one endpoint after the other restarts meanwhile for another reason.
func TestRestartsBehindPartitionBlameNoInput(t *testing.T) {
	t.Parallel()
	c := newPoisonedCluster(t, 0, 0, false)
	for i := range 4 {
		c.addCrashingRunner(bystub.RunnerConfig{ID: fmt.Sprint("app-", i), Service: "app", Zone: "a", Slots: 16, ServiceTime: 300 * time.Millisecond},
			func(*http.Request) bool { return false })
	}
	c.startNodesWithPaths(3)
	for i := range 4 {
		var calls errgroup.Group
		for _, n := range c.nodes {
			for range 4 {
				calls.Go(func() error { n.call("POST", "/book/same", "x"); return nil })
			}
		}
		time.Sleep(150 * time.Millisecond) // all are in progress
		for _, how := range []bystub.Cut{bystub.CutRefuse, bystub.CutReset} {
			for _, n := range c.nodes {
				if err := n.paths.Cut(how); err != nil {
					t.Fatal(err)
				}
			}
		}
		time.Sleep(400 * time.Millisecond)
		c.processes[fmt.Sprint("app-", i)].Crash(300 * time.Millisecond)
		time.Sleep(600 * time.Millisecond)
		for _, n := range c.nodes {
			if err := n.paths.Heal(); err != nil {
				t.Fatal(err)
			}
		}
		_ = calls.Wait() // returns no error
		time.Sleep(3 * time.Second)
	}
	logs := c.logs.String()
	if got := strings.Count(logs, "suspected end settled"); got < 12 {
		t.Errorf("%d suspected ends are settled, want at least 12", got)
	}
	if strings.Contains(logs, `"result":"ended"`) || strings.Contains(logs, `"ended":true`) {
		t.Error("an endpoint counts as ended, want none")
	}
	if strings.Contains(logs, "input quarantined") {
		t.Error("the path is quarantined, want it free")
	}
}

// TestHeldRequestIsServedAfterPartition guards against sound requests that stay held after links
// have come back: the same request breaks off at all endpoints in three partitions in a row, and
// its caller comes again after the last one, as a held request is told to.
func TestHeldRequestIsServedAfterPartition(t *testing.T) {
	t.Parallel()
	c := newPoisonedCluster(t, 0, 0, false)
	for i := range 4 {
		c.addRunner(bystub.RunnerConfig{ID: fmt.Sprint("app-", i), Service: "app", Zone: "a", Slots: 16, ServiceTime: 300 * time.Millisecond})
	}
	c.startNodesWithPaths(3)
	for range 3 {
		var calls errgroup.Group
		for _, n := range c.nodes {
			for range 4 {
				calls.Go(func() error { n.call("POST", "/book/same", "x"); return nil })
			}
		}
		time.Sleep(150 * time.Millisecond) // all are in progress
		for _, how := range []bystub.Cut{bystub.CutRefuse, bystub.CutReset} {
			for _, n := range c.nodes {
				if err := n.paths.Cut(how); err != nil {
					t.Fatal(err)
				}
			}
		}
		time.Sleep(400 * time.Millisecond)
		for _, n := range c.nodes {
			if err := n.paths.Heal(); err != nil {
				t.Fatal(err)
			}
		}
		_ = calls.Wait() // returns no error
	}
	time.Sleep(time.Second) // as Retry-After tells
	for i, n := range c.nodes {
		if got := n.call("POST", "/book/same", "x"); got.status != http.StatusOK {
			t.Errorf("node %d: a second after the partition, the request gets %d, want 200", i, got.status)
		}
	}
	if got := strings.Count(c.logs.String(), `attempt broke off`); got < 9 {
		t.Errorf("%d attempts broke off, want at least 9", got)
	}
}

// TestSoundRepeatsOutliveKillsOfWholeService guards against sound requests that stay refused,
// because all endpoints of their service were killed together again and again while they ran.
func TestSoundRepeatsOutliveKillsOfWholeService(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		runners  int
		unframed bool // whether answers end with their connection
	}{{2, false}, {3, false}, {3, true}} {
		t.Run(fmt.Sprint(tt.runners, " endpoints, unframed ", tt.unframed), func(t *testing.T) {
			t.Parallel()
			c := newPoisonedCluster(t, 0, 0, false)
			for i := range tt.runners {
				c.addCrashingRunner(bystub.RunnerConfig{ID: fmt.Sprint("app-", i), Service: "app", Zone: "a", Slots: 16, ServiceTime: 60 * time.Millisecond, Unframed: tt.unframed},
					func(*http.Request) bool { return false })
			}
			for i := range 4 {
				c.startNode(fmt.Sprint("n", i))
			}
			for _, n := range c.nodes {
				c.waitReady(n)
			}
			const kills, interval, rest = 5, 1800 * time.Millisecond, 6 * time.Second
			end := time.Now().Add(kills*interval + rest)
			var sent, served atomic.Int64 // in the last half of the rest
			var callers errgroup.Group
			for i := range 12 {
				callers.Go(func() error {
					for time.Now().Before(end) {
						late := time.Until(end) < rest/2
						got := c.nodes[rand.IntN(len(c.nodes))].call("POST", fmt.Sprint("/book/", i), "x")
						if late {
							sent.Add(1)
							if got.status == http.StatusOK {
								served.Add(1)
							}
						}
						time.Sleep(30 * time.Millisecond)
					}
					return nil
				})
			}
			for range kills {
				time.Sleep(interval)
				for _, p := range c.processes {
					p.Crash(engineDownTime)
				}
			}
			_ = callers.Wait() // returns no error
			t.Logf("%d of the last %d requests are served", served.Load(), sent.Load())
			if sent.Load() == 0 || served.Load() < sent.Load() {
				t.Errorf("%d of the last %d sound requests are served, want all", served.Load(), sent.Load())
			}
		})
	}
}

// TestPartThatEndsAllEnginesIsStopped guards against the failure that prompts with one part end
// engines without an end, as all other engines are down each time (BUDGET), and against sound
// prompts with the same first part that stay refused (LOST).
func TestPartThatEndsAllEnginesIsStopped(t *testing.T) {
	t.Parallel()
	for _, engines := range []int{2, 3} {
		t.Run(fmt.Sprint(engines, " engines"), func(t *testing.T) {
			t.Parallel()
			c := newPoisonedCluster(t, 0, 0, false)
			c.downTime = time.Second
			c.store.Remove("servers", "p-1") // the prefill engine, which would be up all the while
			for i := range engines {
				c.addCrashingEngine(fmt.Sprint("d-", i), false)
			}
			for i := range 3 {
				c.startNode(fmt.Sprint("n", i))
			}
			for _, n := range c.nodes {
				c.waitReady(n)
			}
			call := func(poisoned bool) reply {
				return c.nodes[rand.IntN(len(c.nodes))].call("POST", "/long/1", "x", prompt(poisoned)...)
			}
			end := time.Now().Add(15 * time.Second)
			var callers errgroup.Group
			callers.Go(func() error {
				for time.Now().Before(end) {
					call(true)
					time.Sleep(430 * time.Millisecond)
				}
				return nil
			})
			var sent, served int // in the last 4 s
			for time.Now().Before(end) {
				if got := call(false); time.Until(end) < 4*time.Second {
					sent++
					if got.status == http.StatusOK {
						served++
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			_ = callers.Wait() // returns no error
			crashes := c.crashes()
			last := crashes[min(len(crashes), 5)-1] // the fifth, or the last one
			late := 0
			for _, r := range c.runners {
				for _, a := range r.ReceivedRequests() {
					if len(crashes) >= 5 && a.HasPart(poisonPart) && a.At.After(last.Add(stableWindow)) {
						late++
					}
				}
			}
			t.Logf("%d crashes, %d poisoned requests reached engines after the bound, %d of %d sound ones begin", len(crashes), late, served, sent)
			if late > 3 {
				t.Errorf("%d requests with the part reach engines later than %v after the fifth crash, want at most 3; %d crashes", late, stableWindow, len(crashes))
			}
			if 2*served < sent {
				t.Errorf("%d of %d sound requests with the same first part begin, want at least half", served, sent)
			}
		})
	}
}
