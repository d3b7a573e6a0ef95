package byentry_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

// soundSilence is how long a sound endpoint may fall silent and go on.
const soundSilence = 1500 * time.Millisecond

// addSilentRunner is like addRunner for a runner on a host that can fall silent.
func (c *testCluster) addSilentRunner(cfg bystub.RunnerConfig) *bystub.SilentListener {
	l, err := bystub.ListenSilently()
	if err != nil {
		c.t.Fatal(err)
	}
	r := bystub.NewRunner(cfg)
	srv := httptest.NewUnstartedServer(r)
	srv.Listener.Close()
	srv.Listener = l
	srv.Start()
	c.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	c.runners[cfg.ID], c.addrs[cfg.ID] = r, l.Addr().String()
	c.setRunnerState(cfg.ID, "ready", 1)
	return l
}

// TestSilentEndpointBreaksNoRequest guards against requests that are broken off, or run
// for a second time, because a sound endpoint was silent for a moment.
func TestSilentEndpointBreaksNoRequest(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.publishConfig(3, func(routes []map[string]any) {
		for _, r := range routes {
			r["timeoutMs"] = 8000
		}
	})
	var silent []*bystub.SilentListener
	for _, id := range []string{"app-1", "llm-1"} { // each beside a sound one
		cfg := bystub.RunnerConfig{ID: id, Service: id[:3], Zone: "a", Slots: 64, ServiceTime: 300 * time.Millisecond}
		if id == "llm-1" {
			cfg.Stage, cfg.EventsPerStream, cfg.EventInterval = "decode", 8, 100*time.Millisecond
		}
		silent = append(silent, c.addSilentRunner(cfg))
		cfg.ID = id[:3] + "-2"
		c.addRunner(cfg)
	}
	n := c.startNode("n1")
	c.waitReady(n)

	const deadline = "X-Deadline-Ms: 8000"
	requests := []struct {
		path   string
		header []string
	}{
		{"/book/1", []string{deadline}},
		{"/long/1", []string{deadline, shortPrompt, shortTokens}},
		{"/quick/1", []string{deadline, shortPrompt, shortTokens}},
	}
	var group errgroup.Group
	count := 0
	send := func() {
		for _, r := range requests {
			count++
			group.Go(func() error {
				if got := n.call("POST", r.path, "x", r.header...); got.err != nil || got.status != 200 {
					t.Errorf("%s: got response %+v, want status 200 and the whole body", r.path, got)
				}
				return nil
			})
		}
	}
	for range 10 {
		send()
	}
	time.Sleep(400 * time.Millisecond) // bookings have left idle connections, and streams are in progress
	for _, l := range silent {
		if err := l.Silence(); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(soundSilence); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		send()
	}
	for _, l := range silent {
		if err := l.Wake(); err != nil {
			t.Fatal(err)
		}
	}
	_ = group.Wait() // the requests return no error
	if runs := c.totalRuns(); runs != count {
		t.Errorf("%d requests ran %d times, want one run each", count, runs)
	}
}

// TestSilentEndpointGetsWorkAgain guards against an endpoint that is set aside for long after
// a short silence, in which many requests found no connection to it.
func TestSilentEndpointGetsWorkAgain(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.publishConfig(3, nil)
	cfg := bystub.RunnerConfig{ID: "app-1", Service: "app", Zone: "a", Slots: 16, ServiceTime: 50 * time.Millisecond}
	l := c.addSilentRunner(cfg)
	cfg.ID = "app-2"
	c.addRunner(cfg)
	n := c.startNode("n1")
	c.waitReady(n)
	var group errgroup.Group
	send := func(during time.Duration) {
		for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			group.Go(func() error { n.call("GET", "/read/1", ""); return nil })
		}
	}
	send(200 * time.Millisecond)
	if err := l.Silence(); err != nil {
		t.Fatal(err)
	}
	send(soundSilence)
	if err := l.Wake(); err != nil {
		t.Fatal(err)
	}
	send(time.Second)
	silent, sound := c.runners["app-1"].Arrivals(), c.runners["app-2"].Arrivals()
	send(500 * time.Millisecond)
	silent, sound = c.runners["app-1"].Arrivals()-silent, c.runners["app-2"].Arrivals()-sound
	_ = group.Wait() // the requests return no error
	if 5*silent < sound {
		t.Errorf("from 1 s to 1.5 s after its silence the endpoint gets %d requests and the other one %d, want at least a fifth as many", silent, sound)
	}
}
