// Package bysoak runs soak tests. It starts the real entry nodes as separate
// processes on loopback addresses, injects faults from outside the processes
// following a seeded plan, and checks the system's guarantees against what
// callers and endpoints observed.
//
// # Usage
//
//	report, err := bysoak.Run(ctx, bysoak.Config{
//		Program: "bin/burdock", Dir: dir, Seed: 7, Nodes: 5, FaultPeriod: 20 * time.Second,
//	})
//	for _, v := range report.Violations { … }
//
// # Design
//
// The store and the runners are stubs in this process. Proxies in front of them
// forward, delay, reset or block their connections. Each node reaches the store
// through its own proxy, so that the store can fail for some nodes only. Signals
// stop, kill, freeze and resume nodes. A caller reuses a connection until the
// node closes it.
package bysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

const (
	// nodeStartTimeout bounds the time until all nodes are ready.
	nodeStartTimeout = 15 * time.Second
	// recoveryTime is how long after the end of the last fault requests must be
	// served again.
	recoveryTime = 12 * time.Second
	// stopGrace is the time between SIGTERM and SIGKILL in the nodes' settings. A
	// node that takes 1 s longer to stop is killed by the test.
	stopGrace = 4 * time.Second
)

// Config configures a soak run.
type Config struct {
	Program     string        // path of the burdock program
	Previous    string        // path of an older build, which nodes run by turns with Program; empty if there is none
	Dir         string        // directory for the nodes' settings and logs
	Seed        uint64        // seed of the fault plan and the requests
	Nodes       int           // number of entry nodes
	Callers     int           // number of concurrent callers; values below 1 count as 1
	Routes      int           // number of routes in the configuration that no caller uses
	FaultPeriod time.Duration // how long faults are injected
	Trouble     Trouble
}

// Trouble says what happens during a run.
type Trouble string

// The kinds of trouble.
const (
	Faults         Trouble = "faults"          // faults of nodes, runners and the store
	Versions       Trouble = "versions"        // releases of new versions of the runners, and what breaks streams
	FaultsVersions Trouble = "faults-versions" // both
	Cuts           Trouble = "cuts"            // nodes are cut off from all runners
	Endless        Trouble = "endless"         // runners send bytes without end
	Wakes          Trouble = "wakes"           // nodes are frozen while versions are released, and the store turns them away
)

// Troubles returns the kinds of trouble that take turns.
func Troubles() []Trouble { return []Trouble{Faults, FaultsVersions, Versions, Cuts, Wakes} }

// Report is the result of a soak run.
type Report struct {
	Plan           []string // injected faults and the end of all faults, each with its time
	Requests       int      // requests sent
	Answered       int      // requests with status 200 and a complete body
	Refused        int      // requests with a refusal status
	RecoveredShare float64  // share of the requests after the recovery time that were answered
	TakenUp        Share    // streams that went on of those that callers took up, at calm nodes with two runners of the version
	Begun          Share    // streams that began of the new ones, at calm nodes with two runners of one version
	Silenced       Share    // bookings that were answered of those in progress at runners that fell silent
	CutOff, Others Share    // first tries that were served at nodes that were cut off from all runners, and at the others meanwhile
	PeakMemoryKB   int      // most memory that a node has had, in KiB, if the trouble is Endless
	Endless        Share    // requests to runners that send bytes without end that ended in time
	Violations     []string // guarantees that were broken
}

// Share is a part of a number of things.
type Share struct{ Part, All int }

// String implements fmt.Stringer.
func (s Share) String() string { return fmt.Sprintf("%d of %d", s.Part, s.All) }

// soak is the state of one run.
type soak struct {
	cfg       Config
	rng       *rand.Rand
	store     *bystub.Store
	nodes     []*node
	domains   []*domain // failure domains that can be cut off, if the trouble is Cuts
	history   history
	startedAt time.Time
	plan      []string

	// mu guards the fields below and plan.
	mu            sync.Mutex
	runners       []*runner // also those that have ended
	configVersion int       // version of the last published configuration
	poisons       []*poison
	limits        []*limitSpan
	poison        *poison // the one that callers send, nil if none
	repeats       []*poison
	repeat        record    // request that callers repeat; without a path if none
	restoredAt    time.Time // when the store was last restored from an older copy

	peakMemoryKB int   // most memory that a node has had, in KiB
	endless      Share // requests to runners that send bytes without end, and those that ended in time

	silences    []silence
	failedDials []failedDial

	storeDisturbances disturbances // times in which the store failed for all nodes or was restored
}

// runner is a stub runner and the proxy through which nodes reach it.
type runner struct {
	stub  *bystub.Runner
	proxy *proxy
	id    string

	disturbances disturbances // times in which the runner did not serve as it should

	// soak.mu guards the fields below.
	seq     int              // sequence number of the last published entry
	state   string           // state in that entry
	leaving bool             // whether the runner has left or is going to, for good
	ended   bool             // whether its process has ended for good
	lives   []life           // when it was ready
	armed   map[*poison]bool // whole requests that it crashes on
}

// node is an entry node that runs as a process.
type node struct {
	name, domain                         string
	callerAddr, readyAddr, directoryAddr string
	storeProxy                           *proxy
	settingsFile                         string
	memoryMB                             int // of its VM; 0 means the default of the stub

	disturbances disturbances
	storeCuts    disturbances // times without a sound path to the store
	restart      sync.Mutex   // held while the process is replaced; locked before mu

	// mu guards the fields below.
	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{} // closed when the process has exited
	starts int           // number of times the node was started
}

// Run performs a soak run with one seed. Broken guarantees are listed in the
// report; an error means that the run itself failed.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s := &soak{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), store: bystub.NewStore(bystub.WithRates(400, 2000)), startedAt: time.Now()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.setUp(ctx); err != nil {
		s.tearDown()
		return Report{}, err
	}
	defer s.tearDown()
	var group errgroup.Group
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	for i := range max(cfg.Callers, 1) {
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(100+i)))
		group.Go(func() error { s.runCaller(callersCtx, i, rng); return nil })
	}
	var trouble errgroup.Group
	switch {
	case cfg.Trouble == Wakes:
		trouble.Go(func() error { s.runWakes(ctx); return nil })
	case s.hasVersions():
		trouble.Go(func() error { s.runVersions(ctx); return nil })
	}
	if cfg.Trouble == Endless {
		trouble.Go(func() error { return s.runEndless(ctx) })
	}
	if cfg.Trouble == Cuts {
		trouble.Go(func() error { s.runCuts(ctx); return nil })
	}
	if cfg.Trouble == Faults || cfg.Trouble == FaultsVersions {
		trouble.Go(func() error { s.runPoison(ctx); return nil })
		trouble.Go(func() error { s.runLimits(ctx); return nil })
		trouble.Go(func() error { s.runRepeats(ctx); return nil })
		s.injectFaults(ctx)
	}
	if err := trouble.Wait(); err != nil {
		return Report{}, err
	}
	s.endAllFaults()
	faultsEndedAt := time.Now()
	sleep(ctx, recoveryTime+3*time.Second)
	stopCallers()
	if err := group.Wait(); err != nil {
		return Report{}, err
	}
	return s.buildReport(faultsEndedAt), nil
}

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// setUp starts the store, the runners and the nodes, and waits until all nodes
// are ready.
func (s *soak) setUp(ctx context.Context) error {
	storeAddr, err := serveHTTP(ctx, s.store)
	if err != nil {
		return err
	}
	configs := []bystub.RunnerConfig{
		{ID: "app-1", Service: "app", ServiceTime: 5 * time.Millisecond}, {ID: "app-2", Service: "app", ServiceTime: 5 * time.Millisecond},
		{ID: "app-3", Service: "app", ServiceTime: 5 * time.Millisecond},
		{ID: "p-1", Service: "llm", Stage: "prefill", ServiceTime: 10 * time.Millisecond}, {ID: "p-2", Service: "llm", Stage: "prefill", ServiceTime: 10 * time.Millisecond},
		s.decodeRunner(1, "v1"), s.decodeRunner(2, "v1"), s.decodeRunner(3, "v1"),
	}
	if s.hasVersions() {
		for number := 4; number <= versionedDecodeRunners; number++ {
			configs = append(configs, s.decodeRunner(number, "v1"))
		}
	}
	for _, c := range configs {
		if _, err := s.startRunner(ctx, c, 0); err != nil {
			return err
		}
	}
	s.publishConfig()
	for i := range s.cfg.Nodes {
		domain, addr := "a", storeAddr
		if s.cfg.Trouble == Wakes && i%3 == 2 {
			domain = "b" // where another node writes the splits while one is frozen
		}
		if s.cfg.Trouble == Cuts {
			if domain, addr, err = s.cuttableDomain(ctx, i); err != nil {
				return err
			}
		}
		p, err := startProxy(ctx, addr)
		if err != nil {
			return err
		}
		n := &node{name: fmt.Sprintf("n%d", i+1), domain: domain, storeProxy: p}
		if s.cfg.Trouble == Endless {
			n.memoryMB = endlessMemoryMB
		}
		if err := n.writeSettings(s.cfg.Dir, nodeIP(i)); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		if err := s.startNode(n); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(nodeStartTimeout)
	for _, n := range s.nodes {
		for !isReady(ctx, n) {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready after %v", n.name, nodeStartTimeout)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// decodeRunner returns the configuration of a decode runner.
func (s *soak) decodeRunner(number int, version string) bystub.RunnerConfig {
	c := bystub.RunnerConfig{ID: fmt.Sprint("d-", number), Service: "llm", Stage: "decode", EventsPerStream: eventsPerStream, EventInterval: 10 * time.Millisecond}
	if s.hasVersions() {
		c.Version, c.TellsVersion, c.EventInterval = version, true, versionedEventInterval
	}
	return c
}

// startRunner starts a runner and its proxy and publishes its entry. The runner crashes on
// what the others crash on, for downTime.
func (s *soak) startRunner(ctx context.Context, c bystub.RunnerConfig, downTime time.Duration) (*runner, error) {
	c.Zone, c.Slots = "a", 16
	stub := bystub.NewRunner(c)
	addr, err := serveHTTP(ctx, stub)
	if err != nil {
		return nil, err
	}
	p, err := startProxy(ctx, addr)
	if err != nil {
		return nil, err
	}
	r := &runner{stub: stub, proxy: p, id: c.ID, armed: map[*poison]bool{}}
	s.mu.Lock()
	s.runners = append(s.runners, r)
	s.mu.Unlock()
	s.armRunner(ctx, r, downTime) // before the first request can come
	s.publishEntry(r, "ready")
	return r, nil
}

// liveRunners returns the runners that have not ended.
func (s *soak) liveRunners() []*runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []*runner
	for _, r := range s.runners {
		if !r.ended {
			live = append(live, r)
		}
	}
	return live
}

// publishEntry writes the runner's entry in the given state to the store, with
// the next sequence number. A runner that is leaving never becomes ready again.
func (s *soak) publishEntry(r *runner, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.ended {
		r.recordState("")
		s.store.Remove("servers", r.id)
		return
	}
	if r.leaving && r.state == "draining" {
		state = "draining"
	}
	r.recordState(state)
	r.seq++
	r.state = state
	s.store.Set("servers", r.id, r.stub.StoreEntry(r.proxy.addr(), state, r.seq))
}

// writeSettings assigns the node its addresses on ip and writes its settings
// file to dir in the platform's format.
func (n *node) writeSettings(dir, ip string) error {
	addr := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	n.callerAddr, n.readyAddr, n.directoryAddr = addr(callerPort), addr(readyPort), addr(directoryPort)
	settings := bystub.NodeSettings{
		Name: n.name, IP: ip, Domain: n.domain, CallerAddr: n.callerAddr, Ready: n.readyAddr, Directory: n.directoryAddr,
		PeerPort: peerPort, Store: n.storeProxy.addr(), Grace: stopGrace, MemoryMB: n.memoryMB,
	}
	n.settingsFile = filepath.Join(dir, n.name+".conf")
	return os.WriteFile(n.settingsFile, []byte(settings.Encode()), 0o600)
}

// programOf returns the program of the node's next process. If there is an older build, every
// other node begins with it, and each restart is an upgrade or a step back.
func (s *soak) programOf(n *node) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.cfg.Previous == "" || (slices.Index(s.nodes, n)+n.starts)%2 == 0 {
		return s.cfg.Program
	}
	return s.cfg.Previous
}

// startNode starts a process for the node and appends its output to the node's
// log file.
func (s *soak) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(s.cfg.Dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	program := s.programOf(n)
	cmd := exec.Command(program, "node", "--metrics-port", "0")
	cmd.Env = append(os.Environ(), settingsEnvVar+"="+n.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.starts++
	n.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error {
		defer close(done)
		return cmd.Wait() // the node's log tells why it exited
	})
	return nil
}

// signal sends sig to the node's process unless the process has exited.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.done:
	default:
		_ = n.cmd.Process.Signal(sig) // the process may exit at the same time
	}
}

// exited returns a channel that is closed when the node's current process has
// exited.
func (n *node) exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// tearDown kills the nodes and waits until they have exited. A frozen process
// is resumed first.
func (s *soak) tearDown() {
	for _, n := range s.nodes {
		if n.cmd != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.exited()
		}
	}
	for _, d := range s.domains {
		d.paths.Close()
	}
}

// logEvent adds a line to the plan, with the time since the start of the run.
func (s *soak) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = append(s.plan, fmt.Sprintf("%6.2f s  ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}
