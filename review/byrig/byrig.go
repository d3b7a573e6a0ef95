// Package byrig starts entry nodes as processes on loopback addresses for the cases of a
// review, with stand-ins of the store and of runners, and writes what was sent and answered to
// a record.
//
// # Usage
//
//	rig, err := byrig.New(dir)
//	defer rig.Close()
//	rig.AddRunner(bystub.RunnerConfig{ID: "r1", Service: "app"})
//	node, err := rig.StartNode("n1", "zone-a", byrig.Settings{…})
//	answer := rig.Send(node, byrig.Request{…})
package byrig

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

const (
	// heartbeatInterval is the time between two writes of a runner's entry.
	heartbeatInterval = 1200 * time.Millisecond
	// pollInterval is the time between two questions whether a node is ready.
	pollInterval = 20 * time.Millisecond
	// program is the program that the build of the deploy file makes.
	program = "target/burdock"
	// peerPort is the port for traffic between nodes. Each node has an address of its own.
	peerPort = 7660
)

// Exit codes of a case.
const (
	ExitHeld     = 0
	ExitBroken   = 1
	ExitCouldNot = 2
)

// HasTrouble reports whether the case is run with its disruption.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Rig is a small deployment. mu guards the fields below it.
type Rig struct {
	Store     *bystub.Store
	startedAt time.Time
	dir       string // of settings and logs; removed at the end
	network   int    // third byte of the addresses of the nodes
	storeAddr string
	servers   []*http.Server
	group     errgroup.Group
	done      chan struct{}

	mu      sync.Mutex
	record  *os.File
	nodes   []*Node
	runners []*Runner
}

// New returns a rig that writes to record.txt in a folder.
func New(folder string) (*Rig, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "byrig")
	if err != nil {
		return nil, err
	}
	r := &Rig{Store: bystub.NewStore(bystub.WithRates(400, 2000)), startedAt: time.Now(), dir: dir, network: 1 + rand.IntN(250), record: record, done: make(chan struct{})}
	if r.storeAddr, err = r.Serve(r.Store); err != nil {
		return nil, err
	}
	return r, nil
}

// Serve serves a handler on a free port until the rig is closed.
func (r *Rig) Serve(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	r.servers = append(r.servers, s)
	r.group.Go(func() error { _ = s.Serve(l); return nil })
	return l.Addr().String(), nil
}

// Logf writes a line to the record, with the time since the start of the rig.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and removes the temporary folder.
func (r *Rig) Close() {
	close(r.done)
	r.mu.Lock()
	nodes, runners := r.nodes, r.runners
	r.mu.Unlock()
	for _, n := range nodes {
		n.Kill()
	}
	for _, runner := range runners {
		runner.mu.Lock()
		if runner.server != nil {
			runner.server.Close()
		}
		runner.mu.Unlock()
	}
	for _, s := range r.servers {
		s.Close()
	}
	_ = r.group.Wait()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.dir)
	}
	r.record.Close()
}

// Runner is a stand-in of a runner and its entry in the store.
type Runner struct {
	*bystub.Runner
	ID, Addr string
	rig      *Rig

	mu       sync.Mutex
	state    string // empty if it writes no entry
	sequence int
	server   *http.Server // nil while it is down
}

// AddRunner starts a runner, which keeps its entry in the store up to date.
func (r *Rig) AddRunner(cfg bystub.RunnerConfig) (*Runner, error) {
	runner := &Runner{Runner: bystub.NewRunner(cfg), ID: cfg.ID, Addr: "127.0.0.1:0", rig: r, state: "ready"}
	if err := runner.listen(); err != nil {
		return nil, err
	}
	runner.WriteEntry()
	r.mu.Lock()
	r.runners = append(r.runners, runner)
	r.mu.Unlock()
	r.group.Go(func() error {
		t := time.NewTicker(heartbeatInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				runner.WriteEntry()
			case <-r.done:
				return nil
			}
		}
	})
	return runner, nil
}

// listen serves the runner at its address.
func (r *Runner) listen() error {
	l, err := net.Listen("tcp4", r.Addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: r.Runner, ReadHeaderTimeout: 10 * time.Second}
	r.mu.Lock()
	r.server, r.Addr = s, l.Addr().String()
	r.mu.Unlock()
	r.rig.group.Go(func() error { _ = s.Serve(l); return nil })
	return nil
}

// Crash ends the runner's process: its connections are closed, and new ones refused.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server == nil {
		return // it is down
	}
	r.server.Close()
	r.server = nil
	r.rig.Logf("runner %s crashes", r.ID)
}

// StartAgain starts a new process of the runner under its ID, with the given version of the
// software, which writes its entry at once.
func (r *Runner) StartAgain(version string) error {
	r.RestartAs(version)
	if err := r.listen(); err != nil {
		return err
	}
	r.mu.Lock()
	r.sequence = 0
	r.mu.Unlock()
	r.WriteEntry()
	r.rig.Logf("runner %s is back as %s", r.ID, version)
	return nil
}

// WriteEntry writes the runner's entry, unless it has left or is down.
func (r *Runner) WriteEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" || r.server == nil {
		return
	}
	r.sequence++
	r.rig.Store.Set("servers", r.ID, r.StoreEntry(r.Addr, r.state, r.sequence))
}

// SetState changes the state in the runner's entry; an empty one removes the entry.
func (r *Runner) SetState(state string) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	if state == "" {
		r.rig.Store.Remove("servers", r.ID)
		return
	}
	r.WriteEntry()
}

// Settings are the settings of a node that differ between cases, as lines of its settings
// file. Later lines replace those that all nodes have.
type Settings []string

// Node is an entry node that runs as a process.
type Node struct {
	Name, Addr   string // Addr is the one for callers
	readyAddr    string
	settingsFile string
	rig          *Rig

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
}

// NewNode writes the settings of a node that is not started yet.
func (r *Rig) NewNode(name, zone string, s Settings) (*Node, error) {
	r.mu.Lock()
	ip := fmt.Sprintf("127.77.%d.%d", r.network, 10+len(r.nodes))
	r.mu.Unlock()
	var addrs []string
	for range 3 {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // not before the others are open, else a port can be given twice
		addrs = append(addrs, l.Addr().String())
	}
	lines := append([]string{
		"nodeName=" + name, "role=entry", "machineClass=front", "serves=front,directory", "ip=" + ip, "zone=" + zone, "region=r",
		"listen.front=" + addrs[0], "listen.ready=" + addrs[1], "listen.directory=" + addrs[2],
		fmt.Sprintf("internalPorts=%d,%d", peerPort, peerPort+15), "bootstrap=false",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000",
		"heartbeatMs=1200", "bounds.stableWindowMs=4000", "bounds.drainMs=3000", "bounds.configMs=3000", "bounds.graceS=8", "bounds.leaseMs=3000",
		"bounds.budgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=210", "bounds.ttl_max_s=5", "bounds.fencingRequired=false",
		"platform.address=" + r.storeAddr, "platform.form=table",
	}, s...)
	n := &Node{Name: name, Addr: addrs[0], readyAddr: addrs[1], settingsFile: filepath.Join(r.dir, name+".conf"), rig: r}
	if err := os.WriteFile(n.settingsFile, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = append(r.nodes, n)
	return n, nil
}

// Start starts the process of the node.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	out, err := os.Create(filepath.Join(n.rig.dir, fmt.Sprintf("%s-%d.log", n.Name, n.starts)))
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BURDOCKYARD_BOOT=" + n.settingsFile}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	n.rig.group.Go(func() error {
		_ = cmd.Wait() // its state says how it ended
		n.rig.Logf("%s has ended: %s", n.Name, cmd.ProcessState)
		close(exited)
		return nil
	})
	n.rig.Logf("%s is started", n.Name)
	return nil
}

// StartNode starts a node.
func (r *Rig) StartNode(name, zone string, s Settings) (*Node, error) {
	n, err := r.NewNode(name, zone, s)
	if err != nil {
		return nil, err
	}
	return n, n.Start()
}

// Signal sends a signal to the process of the node.
func (n *Node) Signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.rig.Logf("%s gets signal %s", n.Name, sig)
		_ = n.cmd.Process.Signal(sig) // fails only if it has ended
	}
}

// WaitExit waits until the process has ended.
func (n *Node) WaitExit(limit time.Duration) error {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s has not ended after %s", n.Name, limit)
	}
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // fails only if it has ended
		<-exited
	}
}

// IsReady reports whether the readiness check of the node returns 200.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.readyAddr + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the nodes are ready.
func (r *Rig) WaitReady(limit time.Duration, nodes ...*Node) error {
	deadline := time.Now().Add(limit)
	for _, n := range nodes {
		for !n.IsReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", n.Name, limit)
			}
			time.Sleep(pollInterval)
		}
		r.Logf("%s is ready", n.Name)
	}
	return nil
}

// Request is a request of a client.
type Request struct {
	ID, Method, Host, Path string
	Deadline               time.Duration
	Header                 map[string]string
	Body                   []byte
}

// Answer is what a client got. Err is not nil if there was no complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
	SentAt time.Time
}

// String returns the answer as it stands in the record.
func (a Answer) String() string {
	if a.Err != nil {
		return "no complete answer: " + a.Err.Error()
	}
	return fmt.Sprintf("status %d, stamp %q, %d bytes", a.Status, a.Header.Get("X-Response-Stamp"), len(a.Body))
}

// Send sends a request on a new connection and records it with its answer.
func (r *Rig) Send(n *Node, q Request) Answer {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	a := Answer{SentAt: time.Now()}
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+n.Addr+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = q.Host
	req.Header.Set("X-Request-Id", q.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	for name, value := range q.Header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err == nil {
		a.Status, a.Header = resp.StatusCode, resp.Header
		a.Body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	a.Err = err
	r.Logf("%s to %s, sent %.3f s before: %s", q.ID, n.Name, time.Since(a.SentAt).Seconds(), a)
	return a
}

// Exit prints the outcome of a case and returns its exit code.
func (r *Rig) Exit(broken bool, text string, err error) int {
	switch {
	case err != nil:
		r.Logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return ExitCouldNot
	case broken:
		r.Logf("BROKEN: %s", text)
		fmt.Println("broken:", text)
		return ExitBroken
	}
	r.Logf("held: %s", text)
	fmt.Println("held:", text)
	return ExitHeld
}

// ErrNotRun means that a case did not come to its question.
var ErrNotRun = errors.New("the case did not come to its question")
