package main

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
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

// Ports of a node on its loopback address. They are below the range that the kernel assigns
// to outgoing connections.
const (
	callerPort = 20011 + iota
	readyPort
	directoryPort
	peerPort
)

const (
	// heartbeat is the interval at which runners write their entries (heartbeatMs).
	heartbeat = 1200 * time.Millisecond
	// startTimeout limits the wait until all nodes are ready.
	startTimeout = 15 * time.Second
)

// deployment is a store, runners and nodes on loopback addresses.
type deployment struct {
	dir       string // temporary folder for settings and logs
	program   string // path of the node's program
	store     *bystub.Store
	rec       *recorder
	nodes     []*node
	runners   []*runner
	servers   []*http.Server
	processes []*bystub.Process
	group     errgroup.Group // goroutines that end with the servers, runners and nodes
}

// node is a process of the system.
type node struct {
	name, zone, ip string
	cpuShare       float64
	settings       string      // path of the settings file
	turnedAway     atomic.Bool // whether the store answers this node 503

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has exited
}

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// newDeployment starts a store.
func newDeployment(rec *recorder, program string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &deployment{dir: dir, program: program, store: bystub.NewStore(bystub.WithRates(400, 2000)), rec: rec}, nil
}

// serve runs an HTTP server on a free loopback port and returns its address.
func (d *deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	d.servers = append(d.servers, srv)
	d.group.Go(func() error { return srv.Serve(l) })
	return l.Addr().String(), nil
}

// nodeIP returns the loopback address of node i. Concurrent runs use different ones.
func nodeIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&127, pid&255, 101+i)
}

// addNode writes the settings of a node like those on the page of settings, and starts it.
func (d *deployment) addNode(name, zone string, cpuShare float64) error {
	n := &node{name: name, zone: zone, ip: nodeIP(len(d.nodes)), cpuShare: cpuShare}
	n.settings = filepath.Join(d.dir, name+".conf")
	storeAddr, err := d.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.turnedAway.Load() {
			w.Header().Set("Store-Era", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		d.store.ServeHTTP(w, r)
	}))
	if err != nil {
		return err
	}
	lines := []string{
		"nodeName=" + name, "role=entry", "machineClass=front", "serves=front,directory", "ip=" + n.ip, "zone=" + zone, "region=r",
		"zones.a=r", "zones.b=r", "zones.c=r",
		"listen.front=" + n.addr(callerPort), "listen.ready=" + n.addr(readyPort), "listen.directory=" + n.addr(directoryPort),
		fmt.Sprintf("internalPorts=%d,%d", peerPort, peerPort+15), "seeds=", "bootstrap=false", "faultCounted=false",
		fmt.Sprintf("limits.cpuShare=%g", cpuShare), "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=directory", "heartbeatMs=1200", "contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.stableWindowMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000",
		"bounds.graceS=8", "bounds.lostMs=200", "bounds.configMs=2000", "bounds.rollbackSlackMs=250", "bounds.outerMs=5000", "bounds.budgetRatio=0.2",
		"bounds.budgetWindowS=10", "bounds.budgetSlack=54", "bounds.recoveryS=12", "bounds.maxDelayMs=120", "bounds.cacheWindowS=7.7", "bounds.fencingRequired=true",
		"bounds.leaseMs=3000", "bounds.thawMs=300", "bounds.ttl_max_s=5",
		"platform.address=" + storeAddr, "platform.form=table", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.txMs=5.0",
	}
	if err := os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	d.nodes = append(d.nodes, n)
	return d.startNode(n)
}

// startNode starts the process of a node as the deploy file does.
func (d *deployment) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(d.program, "node")
	cmd.Env = append(os.Environ(), "BURDOCKYARD_BOOT="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	d.group.Go(func() error {
		defer close(done)
		return cmd.Wait() // the log tells why it exited
	})
	return nil
}

// signal sends a signal to the process of a node, unless it has exited.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.done:
	default:
		_ = n.cmd.Process.Signal(sig)
	}
}

// pid returns the id of the process of a node.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// exited returns a channel that is closed when the process of a node has exited.
func (n *node) exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// waitReady waits until all nodes are ready.
func (d *deployment) waitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, n := range d.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready after %v", n.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addr(readyPort)+"/-/readiness", nil)
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

// killNodes kills the processes of all nodes.
func (d *deployment) killNodes() {
	for _, n := range d.nodes {
		n.signal(syscall.SIGKILL)
	}
}

// close ends all processes and servers, and removes the temporary folder unless the
// variable KEEP is set.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		<-n.exited()
	}
	for _, r := range d.runners {
		r.stop()
	}
	for _, p := range d.processes {
		p.Close()
	}
	for _, s := range d.servers {
		s.Close()
	}
	_ = d.group.Wait() // its goroutines end with an error when what they serve is closed
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	}
}

// entryWriter is what writes the entry of a runner into the store.
type entryWriter func(state string, sequence int) []byte

// runner is a stand-in of a runner that writes its entry every heartbeat.
type runner struct {
	id    string
	entry entryWriter
	store *bystub.Store

	mu       sync.Mutex
	sequence int
	state    string // "ready", "draining", or empty if it has left
	cut      bool   // whether it does not reach the store
	lastBeat time.Time
	present  bool // whether the entry is in the store
	stopped  chan struct{}
	once     sync.Once
}

// addRunner registers a runner. Its entry is removed after three intervals of silence.
func (d *deployment) addRunner(id string, entry entryWriter) *runner {
	r := &runner{id: id, entry: entry, store: d.store, state: "ready", stopped: make(chan struct{})}
	d.runners = append(d.runners, r)
	r.beat()
	d.group.Go(func() error {
		t := time.NewTicker(100 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-r.stopped:
				return nil
			case <-t.C:
				r.tick()
			}
		}
	})
	return r
}

func (r *runner) stop() { r.once.Do(func() { close(r.stopped) }) }

// beat writes the entry.
func (r *runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" {
		return
	}
	r.sequence++
	r.lastBeat, r.present = time.Now(), true
	r.store.Set("servers", r.id, r.entry(r.state, r.sequence))
}

// tick writes the entry if that is due, or removes it after three intervals of silence.
func (r *runner) tick() {
	r.mu.Lock()
	silent := time.Since(r.lastBeat)
	due := !r.cut && (silent >= heartbeat || !r.present)
	lapsed := r.present && r.cut && silent >= 3*heartbeat
	if lapsed {
		r.present = false
		r.store.Remove("servers", r.id)
	}
	r.mu.Unlock()
	if due {
		r.beat()
	}
}

// setCut cuts the runner off from the store, or ends that.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

// restart begins the entries of a new process.
func (r *runner) restart() {
	r.mu.Lock()
	r.cut, r.sequence = false, 0
	r.mu.Unlock()
	r.beat()
}
