package byentry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

const (
	poisonPart = "bad1"
	// stableWindow is the time within which the fleet must have acted on the fifth crash.
	stableWindow = 3 * time.Second
	// engineDownTime is how long an engine is away after a crash.
	engineDownTime = 600 * time.Millisecond
)

// poisonedCluster is a cluster whose decode engines crash when they begin to answer a
// prompt that contains poisonPart.
type poisonedCluster struct {
	*testCluster
	processes map[string]*bystub.Process
	downTime  time.Duration // how long a runner is away after a crash

	mu       sync.Mutex
	sequence int
}

func newPoisonedCluster(t *testing.T, nodes, engines int, unframed bool) *poisonedCluster {
	c := &poisonedCluster{testCluster: newTestCluster(t), processes: map[string]*bystub.Process{}, downTime: engineDownTime, sequence: 1}
	t.Cleanup(c.printBlame)
	c.publishConfig(3, nil)
	for i := range engines {
		c.addCrashingEngine(fmt.Sprint("d-", i+1), unframed)
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
func (c *poisonedCluster) addCrashingEngine(id string, unframed bool) {
	c.addCrashingRunner(bystub.RunnerConfig{ID: id, Service: "llm", Zone: "a", Stage: "decode", EventsPerStream: 6, EventInterval: 20 * time.Millisecond, Unframed: unframed}, bystub.HasPromptPart(poisonPart))
}

// addCrashingRunner starts a runner that crashes when it begins to answer a request for
// which isPoisoned returns true.
func (c *poisonedCluster) addCrashingRunner(cfg bystub.RunnerConfig, isPoisoned func(*http.Request) bool) {
	r, id := bystub.NewRunner(cfg), cfg.ID
	p, err := bystub.StartProcess(r, func() { c.publishEntry(id) })
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(p.Close)
	r.CrashOn(isPoisoned, func() { p.Crash(c.downTime) })
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

// crashes returns the times of all crashes in order.
func (c *poisonedCluster) crashes() []time.Time {
	var all []time.Time
	for _, p := range c.processes {
		all = append(all, p.Crashes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// printBlame prints the log lines that tell which inputs the nodes blamed, and why, if the
// test has failed.
func (c *poisonedCluster) printBlame() {
	if !c.t.Failed() {
		return
	}
	for _, line := range strings.Split(c.logs.String(), "\n") {
		if blameLine.MatchString(line) {
			c.t.Log(line)
		}
	}
}

var blameLine = regexp.MustCompile(`attempt broke off|input quarantined|input is free again|trial`)

// prompt returns the headers of a prompt whose first part is shared by all prompts of the
// test and whose last part is its own.
func prompt(poisoned bool) []string {
	parts := fmt.Sprintf("7c1e:92,%x:200", 1<<20+requestCount.Add(1))
	if poisoned {
		parts = fmt.Sprintf("7c1e:92,%s:40,%x:200", poisonPart, 1<<20+requestCount.Add(1))
	}
	return []string{"X-Prompt-Prefix: " + parts, "X-Token-Usage: 382,40", "X-Deadline-Ms: 1500"}
}

// TestPromptPartThatEndsEnginesIsStopped guards against the failure that prompts with one
// part crash engine after engine: after five crashes, they must not reach any engine.
func TestPromptPartThatEndsEnginesIsStopped(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		path     string
		unframed bool // whether streams end with their connection, as they do in a crash
	}{{"/quick/", false}, {"/long/", false}, {"/quick/", true}, {"/long/", true}} {
		t.Run(fmt.Sprint(tt.path, tt.unframed), func(t *testing.T) {
			t.Parallel()
			c := newPoisonedCluster(t, 3, 4, tt.unframed)
			end := time.Now().Add(10 * time.Second)
			var callers errgroup.Group
			var mu sync.Mutex
			var soundAt []time.Time
			var soundServed []bool
			for i := range 8 {
				callers.Go(func() error {
					rng := rand.New(rand.NewPCG(uint64(i), 7))
					for time.Now().Before(end) {
						sentAt, poisoned := time.Now(), i < 2
						n := c.nodes[rng.IntN(len(c.nodes))]
						got := n.call("POST", tt.path+"1", "x", prompt(poisoned)...)
						if poisoned && got.status == 200 && got.err == nil && got.body == "" {
							t.Error("the empty answer of an engine that has crashed looks complete")
						}
						if !poisoned {
							mu.Lock()
							soundAt = append(soundAt, sentAt)
							soundServed = append(soundServed, got.status == 200)
							mu.Unlock()
						}
						time.Sleep(time.Duration(50+rng.IntN(150)) * time.Millisecond)
					}
					return nil
				})
			}
			if err := callers.Wait(); err != nil {
				t.Fatal(err)
			}
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
			sent, served := 0, 0
			for i, at := range soundAt {
				if at.After(last.Add(2 * stableWindow)) {
					sent++
					if soundServed[i] {
						served++
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

// TestPathThatEndsEndpointsIsStopped guards against the failure that calls of one path
// crash one endpoint of a plain service after the other.
func TestPathThatEndsEndpointsIsStopped(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/read/bad", "/book/bad"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			c := newPoisonedCluster(t, 3, 1, false)
			for i := range 4 {
				c.addCrashingRunner(bystub.RunnerConfig{ID: fmt.Sprint("app-", i), Service: "app", Zone: "a", ServiceTime: 5 * time.Millisecond},
					func(req *http.Request) bool { return req.URL.Path == path })
			}
			sound := strings.TrimSuffix(path, "bad") + "good"
			for _, n := range c.nodes {
				c.waitUntil("sound calls are served", func() bool { return n.call("GET", sound, "").status == 200 })
			}
			for i, end := 0, time.Now().Add(8*time.Second); time.Now().Before(end); i++ {
				c.nodes[i%3].call("GET", path+"?q="+fmt.Sprint(i), "")
				c.nodes[i%3].call("GET", sound, "")
				time.Sleep(50 * time.Millisecond)
			}
			crashes := c.crashes()
			last := crashes[min(len(crashes), 5)-1]
			late := 0
			for _, r := range c.runners {
				for _, a := range r.ReceivedRequests() {
					if len(crashes) >= 5 && a.Path == path && a.At.After(last.Add(stableWindow)) {
						late++
					}
				}
			}
			t.Logf("%d crashes, %d calls reached endpoints after the bound", len(crashes), late)
			if late > 3 {
				t.Errorf("%d calls of the path reach endpoints later than %v after the fifth crash, want at most 3; %d crashes", late, stableWindow, len(crashes))
			}
			if got := c.nodes[0].call("GET", sound, ""); got.status != 200 {
				t.Errorf("sound call got %+v, want status 200", got)
			}
		})
	}
}

// TestPromptPartStaysStoppedAfterRestartOfAll guards against the failure that a part of prompts
// ends engines anew once all nodes have restarted.
func TestPromptPartStaysStoppedAfterRestartOfAll(t *testing.T) {
	t.Parallel()
	c := newPoisonedCluster(t, 3, 6, false)
	send := func(i int, poisoned bool) reply {
		return c.nodes[len(c.nodes)-3+i%3].call("POST", "/quick/1", "x", prompt(poisoned)...)
	}
	for i := range 6 {
		send(i, false)
	}
	for i := 0; len(c.crashes()) < 5; i++ {
		send(i, true)
		time.Sleep(2 * engineDownTime)
	}
	c.waitUntil("the part is quarantined", func() bool { return strings.Contains(c.logs.String(), "input quarantined") })
	time.Sleep(stableWindow) // the fleet may take as long to act on the fifth crash
	for _, n := range c.nodes {
		n.stop()
	}
	for _, n := range c.nodes { // no node starts before the last one has ended
		if err := n.group.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	restartedAt := time.Now()
	for i := range 3 {
		c.startNode(fmt.Sprint("m", i))
	}
	for _, n := range c.nodes[3:] {
		c.waitReady(n)
	}
	served := 0
	const rounds = 10
	for i := range rounds {
		send(i, true)
		if send(i, false).status == http.StatusOK {
			served++
		}
		time.Sleep(engineDownTime)
	}
	late := 0
	for _, r := range c.runners {
		for _, a := range r.ReceivedRequests() {
			if a.HasPart(poisonPart) && a.At.After(restartedAt) {
				late++
			}
		}
	}
	t.Logf("%d crashes, %d poisoned requests reached engines after the restart, %d of %d sound ones begin", len(c.crashes()), late, served, rounds)
	if late > 3 {
		t.Errorf("%d requests with the part reach engines after a restart of all nodes, want at most 3", late)
	}
	if 2*served < rounds {
		t.Errorf("%d of %d sound requests with the same first part begin, want at least half", served, rounds)
	}
}

// TestEndOfEngineIsLogged checks that the log names the engine that has ended under a
// request, what the request's prompt shares with others, and whether the request is the
// same as one before.
func TestEndOfEngineIsLogged(t *testing.T) {
	t.Parallel()
	c := newPoisonedCluster(t, 1, 1, false)
	c.nodes[0].call("POST", "/long/1", "x", prompt(true)...)
	content := regexp.MustCompile(`"content":"[0-9a-f]+","caller":"127\.0\.0\.1"`)
	c.waitUntil("the end of the engine is logged", func() bool {
		for _, line := range strings.Split(c.logs.String(), "\n") {
			if strings.Contains(line, "attempt broke off") && strings.Contains(line, `"endpoint":"d-1"`) && strings.Contains(line, `"ended":true`) && strings.Contains(line, `"keys":"7c1e,bad1"`) && content.MatchString(line) {
				return true
			}
		}
		return false
	})
}

// TestPathOfUnframedAnswersStaysFree guards against a path that all nodes refuse after some
// endpoints have crashed for another reason, as answers that end with their connection did not
// speak for it (RECOVER). A path that does end endpoints is refused all the same.
func TestPathOfUnframedAnswersStaysFree(t *testing.T) {
	t.Parallel()
	for _, deadly := range []bool{false, true} {
		t.Run(fmt.Sprint("deadly ", deadly), func(t *testing.T) {
			t.Parallel()
			c := newPoisonedCluster(t, 0, 0, false)
			for i := range 4 {
				c.addCrashingRunner(bystub.RunnerConfig{ID: fmt.Sprint("app-", i), Service: "app", Zone: "a", Slots: 16, ServiceTime: 100 * time.Millisecond, Unframed: true},
					func(*http.Request) bool { return deadly })
			}
			for i := range 3 {
				c.startNode(fmt.Sprint("n", i))
			}
			for _, n := range c.nodes {
				c.waitReady(n)
			}
			stop := make(chan struct{})
			var callers errgroup.Group
			for range 8 {
				callers.Go(func() error {
					for {
						select {
						case <-stop:
							return nil
						case <-time.After(20 * time.Millisecond):
							c.nodes[rand.IntN(3)].call("POST", "/book/reserve", fmt.Sprint(requestCount.Add(1)))
						}
					}
				})
			}
			for i := range 8 {
				time.Sleep(800 * time.Millisecond)
				c.processes[fmt.Sprint("app-", i%4)].Crash(engineDownTime)
			}
			time.Sleep(2 * engineDownTime)
			close(stop)
			_ = callers.Wait() // returns no error
			served := 0
			const sent = 20
			for i := range sent {
				if c.nodes[i%3].call("POST", "/book/reserve", "x").status == http.StatusOK {
					served++
				}
			}
			t.Logf("%d of %d requests are served after %d crashes", served, sent, len(c.crashes()))
			if deadly && served > 0 || !deadly && served < sent {
				t.Errorf("%d of %d requests are served; the path ends endpoints: %t", served, sent, deadly)
			}
		})
	}
}
