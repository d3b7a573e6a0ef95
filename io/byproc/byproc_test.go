package byproc_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/io/bycall"
	"burdockyard/io/byconfig"
	"burdockyard/io/byemu"
	"burdockyard/io/bypeer"
	"burdockyard/io/byplatform"
	"burdockyard/io/byproc"
	"burdockyard/io/bywire"
)

// testTimeout only stops a test that hangs; no test depends on its length.
const testTimeout = 2 * time.Minute

// bin is the directory of the programs that TestMain builds.
var bin string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "burdock-bin")
		if err != nil {
			fmt.Println(err)
			return 1
		}
		defer os.RemoveAll(dir)
		bin = dir
		if out, err := exec.Command("go", "build", "-o", dir, "burdockyard/cmd/burdock", "burdockyard/cmd/burdock-standin").CombinedOutput(); err != nil {
			fmt.Printf("build of the commands failed: %v: %s\n", err, out)
			return 1
		}
		return m.Run()
	}())
}

// startDeployment starts a deployment of the demo manifest with three nodes,
// without publishing the manifest.
func startDeployment(t testing.TB, dir string) *byproc.Deployment {
	t.Helper()
	spec, err := byconfig.LoadManifest("../../examples/demo.yaml")
	if err != nil {
		t.Fatal(err)
	}
	d, err := byproc.Start(byproc.Config{
		BinDir: bin, Dir: dir, Spec: spec, Nodes: 3, EngineArgs: []string{"--decode-rate=200"},
		AddressTTL: time.Second, LeaseTTL: 2 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	return d
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			if filepath.Base(env.WorkDir) != "script-path" {
				return nil
			}
			d := startDeployment(t, t.TempDir())
			manifest, err := d.WriteManifest()
			if err != nil {
				return err
			}
			env.Values["deployment"] = d
			env.Setenv("MANIFEST", manifest)
			env.Setenv("PLATFORM", d.PlatformURL)
			env.Setenv("NODE", d.Nodes[0].CallerAddr)
			env.Setenv("PEER", d.Nodes[0].PeerAddr)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"ready": waitReady, "inforce": waitGeneration},
	})
}

// waitReady is the script command that waits until every node is ready.
func waitReady(ts *testscript.TestScript, _ bool, _ []string) {
	d := ts.Value("deployment").(*byproc.Deployment)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, n := range d.Nodes {
		ts.Check(d.WaitReady(ctx, n))
	}
}

// waitGeneration is the script command that waits until every node uses the
// given generation of the manifest.
func waitGeneration(ts *testscript.TestScript, _ bool, args []string) {
	d := ts.Value("deployment").(*byproc.Deployment)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	clients := bypeer.NewClients()
	for _, n := range d.Nodes {
		for {
			s, err := clients.Status(ctx, n.PeerAddr)
			ts.Check(err)
			if fmt.Sprint(s.GetGeneration()) == args[0] {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// startAndPublish starts a deployment and publishes its manifest. The context
// ends after testTimeout.
func startAndPublish(t *testing.T) (*byproc.Deployment, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	d := startDeployment(t, t.TempDir())
	if err := d.Publish(ctx); err != nil {
		t.Fatal(err)
	}
	return d, ctx
}

// runLoad runs streams, and bookings that are each sent twice, while disturb runs.
// It checks each answer, and that no booking ran more than once.
func runLoad(ctx context.Context, t *testing.T, d *byproc.Deployment, disturb func() error) {
	t.Helper()
	var group errgroup.Group
	for i := range 8 {
		group.Go(func() error { return checkCompletion(ctx, d, fmt.Sprintf("survey %d", i), 120) })
	}
	for i := range 12 {
		key := fmt.Sprintf("roof-%d", i)
		pause := time.Duration(i) * 150 * time.Millisecond
		for range 2 {
			group.Go(func() error {
				time.Sleep(pause)
				return sendBooking(ctx, d, key)
			})
		}
	}
	group.Go(disturb)
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	for key, n := range bookingRuns(ctx, t, d) {
		if n > 1 {
			t.Errorf("booking %s ran %d times, want at most 1", key, n)
		}
	}
}

// checkCompletion requests a completion and checks its text.
func checkCompletion(ctx context.Context, d *byproc.Deployment, prompt string, tokens int) error {
	result, err := bycall.New(d.CallerAddrs()).Complete(ctx, bycall.CompletionRequest{Model: "quote", Prompt: prompt, MaxTokens: tokens}, nil)
	if err != nil {
		return fmt.Errorf("completion of %q failed: %w", prompt, err)
	}
	if want := byemu.GenerateText(prompt, tokens); result.Text != want {
		return fmt.Errorf("completion of %q = %q, want %q", prompt, result.Text, want)
	}
	return nil
}

// sendBooking sends a booking. It accepts the error type outcome_unknown, which
// is the correct answer when a node dies during the call.
func sendBooking(ctx context.Context, d *byproc.Deployment, key string) error {
	_, err := bycall.New(d.CallerAddrs()).CallService(ctx, bycall.ServiceCall{
		Service: "booking", Method: http.MethodPost, Path: "/dispatch", IdempotencyKey: key, Body: []byte(key),
	})
	if call, ok := err.(*bycall.CallError); ok && call.Detail.Type == "outcome_unknown" {
		return nil
	}
	return err
}

// bookingRuns returns how often each booking ran, by its idempotency key.
func bookingRuns(ctx context.Context, t *testing.T, d *byproc.Deployment) map[string]int {
	t.Helper()
	counts, err := bywire.GetJSON[map[string]int](ctx, "http://"+d.Spec.Services[0].Endpoints[0].Address+"/admin/effects")
	if err != nil {
		t.Fatal(err)
	}
	return counts
}

// TestCallsSurviveKilledNode kills a node under load and restarts it. Streams
// must still complete, no booking may run twice, and the restarted node must
// become ready.
func TestCallsSurviveKilledNode(t *testing.T) {
	d, ctx := startAndPublish(t)
	runLoad(ctx, t, d, func() error {
		time.Sleep(500 * time.Millisecond)
		if err := d.Signal("n1", syscall.SIGKILL); err != nil {
			return err
		}
		if _, err := d.WaitExit(ctx, "n1"); err != nil {
			return err
		}
		return d.StartNode(d.Nodes[0], 0)
	})
	if err := d.WaitReady(ctx, d.Nodes[0]); err != nil {
		t.Error(err)
	}
}

// TestStoppedNodeFinishesCalls stops a node under load with two SIGTERMs. The node
// must finish its calls and exit with code 0, although the second signal arrives
// during the stop.
func TestStoppedNodeFinishesCalls(t *testing.T) {
	d, ctx := startAndPublish(t)
	runLoad(ctx, t, d, func() error {
		time.Sleep(300 * time.Millisecond)
		if err := d.Signal("n2", syscall.SIGTERM); err != nil {
			return err
		}
		if err := d.Signal("n2", syscall.SIGTERM); err != nil { // a second stop while the first is in progress
			return err
		}
		code, err := d.WaitExit(ctx, "n2")
		if err == nil && code != 0 {
			err = fmt.Errorf("n2 exited with code %d after two SIGTERMs, want 0", code)
		}
		return err
	})
}

// TestFrozenNodesKeepOrdersFenced freezes each node in turn for longer than its
// leases last, so that every lease holder is frozen once. An engine that has accepted
// an order from a lease holder must not accept one from its predecessor, which
// resumes with an expired lease.
func TestFrozenNodesKeepOrdersFenced(t *testing.T) {
	d, ctx := startAndPublish(t)
	runLoad(ctx, t, d, func() error {
		for _, n := range d.Nodes {
			if err := d.Signal(n.Name, syscall.SIGSTOP); err != nil {
				return err
			}
			time.Sleep(4 * time.Second)
			if err := d.Signal(n.Name, syscall.SIGCONT); err != nil {
				return err
			}
		}
		return nil
	})
	for _, e := range d.Spec.Engines {
		checkFencingRises(ctx, t, e.Name, e.Address)
	}
}

// checkFencingRises checks that the fencing numbers of an engine's accepted
// orders rise.
func checkFencingRises(ctx context.Context, t *testing.T, name, addr string) {
	t.Helper()
	orders, err := bywire.GetJSON[[]burdockyard.Order](ctx, "http://"+addr+"/admin/orders")
	if err != nil || len(orders) == 0 {
		t.Fatalf("engine %s: accepted orders = %v, error %v; want at least one order and no error", name, orders, err)
	}
	for i := 1; i < len(orders); i++ {
		if orders[i].Fencing <= orders[i-1].Fencing {
			t.Errorf("engine %s accepted order %+v after %+v, want rising fencing numbers", name, orders[i], orders[i-1])
		}
	}
}

// TestCallsSurvivePlatformOutage makes the platform unavailable under load for
// 5 s, or for the duration in BURDOCK_OUTAGE, and then lets it apply 3 commits
// without a response. Calls must still succeed.
func TestCallsSurvivePlatformOutage(t *testing.T) {
	outage := 5 * time.Second
	if text := os.Getenv("BURDOCK_OUTAGE"); text != "" {
		var err error
		if outage, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	d, ctx := startAndPublish(t)
	p := byplatform.New(d.PlatformURL)
	runLoad(ctx, t, d, func() error {
		if err := p.SetFaults(ctx, byplatform.Faults{Outage: true}); err != nil {
			return err
		}
		time.Sleep(outage)
		return p.SetFaults(ctx, byplatform.Faults{DropCommitResponses: 3})
	})
}
