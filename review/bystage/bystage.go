// Package bystage starts the project's entry nodes as processes of a small deployment, on
// loopback addresses, for the cases of the second review. The store and the runners are
// stand-ins in the process of the case.
//
// # Usage
//
//	s, err := bystage.New("review/6")
//	defer s.Close()
//	err = s.StartNodes("ctx-a", "ctx-b", "ctx-c")
//	s.Logf("what was sent, answered and run")
package bystage

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"burdockyard/platform/bystub"
)

// The exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Ports of a node on its own loopback address.
const (
	frontPort = 20001 + iota
	readyPort
	directoryPort
	controlPort
	peerPort
	lastPeerPort
)

// startTimeout bounds the time until all nodes are ready.
const startTimeout = 20 * time.Second

// Trouble reports whether the case brings its disruption about.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Stage is a running deployment. Its methods are safe for concurrent use.
type Stage struct {
	Store *bystub.Store
	Nodes []*Node

	dir       string
	storeAddr string
	startedAt time.Time

	mu      sync.Mutex
	record  *os.File
	closers []func()
}

// New returns a stage without nodes, whose record is written to the folder of the case.
func New(caseDir string) (*Stage, error) {
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	s := &Stage{Store: bystub.NewStore(bystub.WithRates(400, 2000)), dir: dir, startedAt: time.Now(), record: record}
	s.storeAddr, err = s.Serve(s.Store)
	return s, err
}

// Dir returns the temporary folder of the stage.
func (s *Stage) Dir() string { return s.dir }

// StoreAddr returns the address of the store.
func (s *Stage) StoreAddr() string { return s.storeAddr }

// Serve serves h on a free loopback port until the stage is closed.
func (s *Stage) Serve(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(l) }()
	s.OnClose(func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

// OnClose registers a function that Close calls.
func (s *Stage) OnClose(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, f)
}

// Logf writes a line to the record, with the time since the start of the stage.
func (s *Stage) Logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  ", time.Since(s.startedAt).Seconds())
	fmt.Fprintf(s.record, format+"\n", args...)
}

// Verdict logs and prints the result, and returns the exit code.
func (s *Stage) Verdict(broken bool, format string, args ...any) int {
	code, word := Held, "held"
	if broken {
		code, word = Broken, "BROKEN"
	}
	text := fmt.Sprintf(format, args...)
	s.Logf("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	return code
}

// Close ends all processes of the stage and removes its folder.
func (s *Stage) Close() {
	for _, n := range s.Nodes {
		n.Kill()
	}
	s.mu.Lock()
	closers := s.closers
	s.closers = nil
	s.mu.Unlock()
	for _, f := range closers {
		f()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(s.dir, keep)
	}
	_ = os.RemoveAll(s.dir)
	_ = s.record.Close()
}

// Node is an entry node.
type Node struct {
	Name, Zone, IP string
	// Store is the address of the store in the node's settings.
	Store string

	stage *Stage
	file  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has exited
}

// Front returns the node's address for callers.
func (n *Node) Front() string { return fmt.Sprintf("%s:%d", n.IP, frontPort) }

// Directory returns the node's address for callers that look up a node.
func (n *Node) Directory() string { return fmt.Sprintf("%s:%d", n.IP, directoryPort) }

// settings returns the contents of the settings file, with the figures of bbpp-yard.
func (n *Node) settings(firstStart bool) string {
	addr := func(port int) string { return fmt.Sprintf("%s:%d", n.IP, port) }
	return strings.Join([]string{
		"nodeName=" + n.Name, "role=entry", "machineClass=front", "serves=front,directory", "ip=" + n.IP, "zone=" + n.Zone, "region=central-tx",
		"zones.ctx-a=central-tx", "zones.ctx-b=central-tx", "zones.ctx-c=central-tx",
		"listen.front=" + addr(frontPort), "listen.ready=" + addr(readyPort), "listen.directory=" + addr(directoryPort), "listen.control=" + addr(controlPort),
		fmt.Sprintf("internalPorts=%d,%d", peerPort, lastPeerPort), fmt.Sprintf("bootstrap=%v", firstStart), "faultCounted=false",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=directory", "heartbeatMs=1200", "contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform",
		"faultTolerance.machines=1", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.stableWindowMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000",
		"bounds.graceS=8", "bounds.lostMs=200", "bounds.configMs=2000", "bounds.rollbackSlackMs=250", "bounds.outerMs=5000", "bounds.budgetRatio=0.2",
		"bounds.budgetWindowS=10", "bounds.budgetSlack=58", "bounds.recoveryS=12", "bounds.maxDelayMs=120", "bounds.cacheWindowS=6.5",
		"bounds.fencingRequired=true", "bounds.leaseMs=3000", "bounds.thawMs=300", "bounds.ttl_max_s=5",
		"platform.address=" + n.Store, "platform.form=table", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.txMs=5.0",
		"platform.partWritesS=200", "platform.rowBytes=65536", "platform.across=false", "platform.historyS=20", "platform.blobBytes=8388608",
		"platform.blobMs=25.0", "platform.blobMbS=80.0",
	}, "\n") + "\n"
}

// AddNode adds a node, which is not started yet.
func (s *Stage) AddNode(zone string) *Node {
	i, pid := len(s.Nodes), os.Getpid()
	n := &Node{
		Name: fmt.Sprintf("front-%s-%d", zone, i+1), Zone: zone, IP: fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, 1+i), Store: s.storeAddr, stage: s,
	}
	n.file = filepath.Join(s.dir, n.Name+".conf")
	s.Nodes = append(s.Nodes, n)
	return n
}

// StartNodes starts one node in each of the zones, as the first start of the whole system,
// and waits until all are ready.
func (s *Stage) StartNodes(zones ...string) error {
	for _, zone := range zones {
		s.AddNode(zone)
	}
	return s.StartAll()
}

// StartAll starts the nodes that were added, as the first start of the whole system, and
// waits until all are ready.
func (s *Stage) StartAll() error {
	for _, n := range s.Nodes {
		if err := n.Start(true); err != nil {
			return err
		}
	}
	for _, n := range s.Nodes {
		if err := n.WaitReady(startTimeout); err != nil {
			return err
		}
		if err := os.WriteFile(n.file, []byte(n.settings(false)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the node's process with the command of the deploy file.
func (n *Node) Start(firstStart bool) error {
	if err := os.WriteFile(n.file, []byte(n.settings(firstStart)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.stage.dir, n.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/burdock", "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BURDOCKYARD_BOOT=" + n.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	go func() {
		defer close(done)
		err := cmd.Wait()
		n.stage.Logf("process of %s has ended: %v", n.Name, err)
	}()
	return nil
}

// Signal sends a signal to the node's process unless it has exited.
func (n *Node) Signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	select {
	case <-n.done:
	default:
		_ = n.cmd.Process.Signal(sig)
	}
}

// Exited returns a channel that is closed when the present process has exited.
func (n *Node) Exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// Kill ends the node's process and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	started := n.cmd != nil
	n.mu.Unlock()
	if started {
		n.Signal(syscall.SIGKILL)
		<-n.Exited()
	}
}

// IsReady reports whether the node's readiness check gets a 200.
func (n *Node) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/-/readiness", n.IP, readyPort), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the node is ready.
func (n *Node) WaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); !n.IsReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("node %s is not ready after %v", n.Name, limit)
		}
	}
	return nil
}
