// Package bysoak runs the real entry nodes as separate processes on loopback,
// injects faults from outside them by a seeded plan, and checks the promises of
// the system from what callers and endpoints saw.
//
// # Usage
//
//	report, err := bysoak.Run(ctx, bysoak.Config{Bin: "bin/burdock", Dir: dir, Seed: 7, Nodes: 5, Length: 20 * time.Second})
//	for _, v := range report.Violations { … }
//
// # What it does
//
// The store and the runners are stand-ins in this process, each behind a proxy
// that passes, delays, resets or silences its connections. Each node has a proxy
// of its own to the store, so that the store can fail for some nodes only. Nodes
// are stopped, killed, frozen and restarted by signals. Callers keep their
// connections for as long as the node does.
package bysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

const (
	// startLimit bounds the start of all nodes.
	startLimit = 15 * time.Second
	// recovery is the time after the last fault from which on requests must be
	// served again.
	recovery = 12 * time.Second
	// grace is the time between SIGTERM and SIGKILL in the nodes' settings.
	grace = 4 * time.Second
)

// Config states what to run.
type Config struct {
	Bin     string // the burdock program
	Dir     string // for settings and logs
	Seed    uint64
	Nodes   int
	Callers int
	Length  time.Duration // of the part with faults
}

// Report is the outcome of a run.
type Report struct {
	Plan       []string
	Requests   int
	Answered   int
	Refused    int
	Recovered  float64 // share of the requests after the recovery that were answered
	Violations []string
}

// soak is one run. mu guards nodes' processes and the history.
type soak struct {
	cfg     Config
	rng     *rand.Rand
	store   *bystub.Store
	runners []*runner
	nodes   []*node
	history history
	start   time.Time
	plan    []string

	mu      sync.Mutex
	version int // of the configuration
}

type runner struct {
	stub  *bystub.Runner
	proxy *proxy
	id    string
	seq   int
}

type node struct {
	name                    string
	front, ready, directory string
	storeProxy              *proxy
	conf                    string

	restart sync.Mutex // held while a process is replaced by the next; taken before mu

	mu    sync.Mutex
	cmd   *exec.Cmd
	done  chan struct{} // closed once the process has ended
	start int           // how often it was started
}

// Run plays one seed. An error means that the run itself could not be done.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s := &soak{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), store: bystub.NewStore(bystub.WithRates(400, 2000)), start: time.Now()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.setUp(ctx); err != nil {
		s.tearDown()
		return Report{}, err
	}
	defer s.tearDown()
	var group errgroup.Group
	callers, stopCallers := context.WithCancel(ctx)
	for i := range max(cfg.Callers, 1) {
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(100+i)))
		group.Go(func() error { s.caller(callers, i, rng); return nil })
	}
	s.faults(ctx)
	s.heal()
	healed := time.Now()
	pause(ctx, recovery+3*time.Second)
	stopCallers()
	if err := group.Wait(); err != nil {
		return Report{}, err
	}
	return s.report(healed), nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (s *soak) setUp(ctx context.Context) error {
	storeAddr, err := serve(ctx, s.store)
	if err != nil {
		return err
	}
	for _, c := range []bystub.RunnerConfig{
		{ID: "app-1", Service: "app", Work: 5 * time.Millisecond}, {ID: "app-2", Service: "app", Work: 5 * time.Millisecond},
		{ID: "app-3", Service: "app", Work: 5 * time.Millisecond},
		{ID: "p-1", Service: "llm", Stage: "prefill", Work: 10 * time.Millisecond}, {ID: "p-2", Service: "llm", Stage: "prefill", Work: 10 * time.Millisecond},
		{ID: "d-1", Service: "llm", Stage: "decode", Events: soakEvents, Gap: 10 * time.Millisecond},
		{ID: "d-2", Service: "llm", Stage: "decode", Events: soakEvents, Gap: 10 * time.Millisecond},
		{ID: "d-3", Service: "llm", Stage: "decode", Events: soakEvents, Gap: 10 * time.Millisecond},
	} {
		c.Zone, c.Slots = "a", 16
		stub := bystub.NewRunner(c)
		addr, err := serve(ctx, stub)
		if err != nil {
			return err
		}
		p, err := newProxy(ctx, addr)
		if err != nil {
			return err
		}
		r := &runner{stub: stub, proxy: p, id: c.ID}
		s.runners = append(s.runners, r)
		s.enter(r, "ready")
	}
	s.publish()
	for i := range s.cfg.Nodes {
		p, err := newProxy(ctx, storeAddr)
		if err != nil {
			return err
		}
		n := &node{name: fmt.Sprintf("n%d", i+1), storeProxy: p}
		if err := n.configure(s.cfg.Dir, loopback(i)); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		if err := s.run(n); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startLimit)
	for _, n := range s.nodes {
		for !ready(ctx, n) {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready after %v", n.name, startLimit)
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// enter writes a runner's entry.
func (s *soak) enter(r *runner, state string) {
	r.seq++
	s.store.Set("servers", r.id, r.stub.Entry(r.proxy.addr(), state, r.seq))
}

// configure writes a node's settings in the platform's format.
func (n *node) configure(dir, ip string) error {
	addr := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	n.front, n.ready, n.directory = addr(frontPort), addr(readyPort), addr(directoryPort)
	settings := bystub.NodeSettings{
		Name: n.name, IP: ip, Domain: "a", Front: n.front, Ready: n.ready, Directory: n.directory,
		PeerPort: peerPort, Store: n.storeProxy.addr(), Grace: grace,
	}
	n.conf = filepath.Join(dir, n.name+".conf")
	return os.WriteFile(n.conf, []byte(settings.Encode()), 0o600)
}

// run starts a node's process. Its log is appended to a file of its own.
func (s *soak) run(n *node) error {
	log, err := os.OpenFile(filepath.Join(s.cfg.Dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(s.cfg.Bin, "node", "--metrics-port", "0")
	cmd.Env = append(os.Environ(), settingsVariable+"="+n.conf)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.start++
	n.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error {
		defer close(done)
		return cmd.Wait() // how it ended is in its log
	})
	return nil
}

// signal sends a signal to the node's own process, by its id.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.done:
	default:
		_ = n.cmd.Process.Signal(sig) // it may end at this moment
	}
}

func (n *node) ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

func (s *soak) tearDown() {
	for _, n := range s.nodes {
		if n.cmd != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.ended()
		}
	}
}

func (s *soak) note(format string, args ...any) {
	s.plan = append(s.plan, fmt.Sprintf("%6.2f s  ", time.Since(s.start).Seconds())+fmt.Sprintf(format, args...))
}
