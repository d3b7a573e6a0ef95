// Package byproc starts a complete deployment as separate processes on loopback
// addresses, for the demo and the process tests. It stands in for the operators'
// process manager: the system's own programs start no processes.
//
// # Usage
//
//	d, err := byproc.Start(byproc.Config{BinDir: "bin", Dir: dir, Spec: spec, Nodes: 3})
//	defer d.Stop()
//	err = d.Publish(ctx)
//	d.Signal("n1", syscall.SIGKILL)
package byproc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"burdockyard"
	"burdockyard/core/bymanifest"
	"burdockyard/io/byplatform"
)

const (
	// startTimeout bounds the wait for started processes to listen.
	startTimeout = 10 * time.Second
	// stopTimeout bounds the wait for killed processes to exit.
	stopTimeout = 15 * time.Second
	// pollInterval is the interval between two attempts of a polled condition.
	pollInterval = 50 * time.Millisecond
	// resumeKey is the nodes' resume_key setting, in hex.
	resumeKey = "6275726465636b2d64656d6f2d6b657921"
)

// Config configures a deployment.
type Config struct {
	BinDir     string          // directory of the programs
	Dir        string          // directory for settings, manifests and logs
	Spec       bymanifest.Spec // manifest; its addresses are replaced by free ones
	Nodes      int             // number of nodes
	EngineArgs []string        // additional arguments for each engine
	AddressTTL time.Duration   // address_ttl setting of the nodes
	LeaseTTL   time.Duration   // lease_ttl setting of the nodes
}

// Node is a node's name and the addresses on which it listens for callers and
// for peers.
type Node struct {
	Name, CallerAddr, PeerAddr string
}

// Deployment is a running deployment. Its processes may be signaled, awaited and
// stopped concurrently.
type Deployment struct {
	cfg         Config
	Spec        bymanifest.Spec // manifest with the addresses in use
	PlatformURL string          // base URL of the platform
	Nodes       []Node

	mu    sync.Mutex
	procs map[string]*process // by name, guarded by mu
}

// process is a started process.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has exited
}

// freeAddrs returns n loopback addresses on which nothing listens.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // closed only on return, so that no port is handed out twice
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// Start starts all processes and waits until the engines and nodes listen. After
// an error it stops the processes that it has started.
func Start(cfg Config) (*Deployment, error) {
	d := &Deployment{cfg: cfg, Spec: cfg.Spec, procs: map[string]*process{}}
	if err := d.start(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	// 64 addresses are reserved for the endpoints of services.
	addrs, err := freeAddrs(1 + len(d.Spec.Engines) + 64 + 2*d.cfg.Nodes)
	if err != nil {
		return err
	}
	nextAddr := func() string {
		a := addrs[0]
		addrs = addrs[1:]
		return a
	}
	platform := nextAddr()
	d.PlatformURL = "http://" + platform
	if err := d.startProcess("platform", "burdock-standin", "platform", "--listen", platform); err != nil {
		return err
	}
	if err := d.startEndpoints(nextAddr); err != nil {
		return err
	}
	return d.startNodes(nextAddr)
}

// startEndpoints starts the engines and the services' endpoints and writes their
// addresses to d.Spec.
func (d *Deployment) startEndpoints(nextAddr func() string) error {
	engines := append([]bymanifest.EngineSpec(nil), d.Spec.Engines...)
	for i := range engines {
		e := &engines[i]
		e.Address = nextAddr()
		args := append([]string{"engine", "--listen", e.Address, fmt.Sprintf("--weight-store=%s", d.PlatformURL)}, d.cfg.EngineArgs...)
		if e.EnforcesFencing {
			args = append(args, "--fencing")
		}
		if err := d.startProcess(e.Name, "burdock-standin", args...); err != nil {
			return err
		}
	}
	d.Spec.Engines = engines
	for _, svc := range d.Spec.Services {
		for i := range svc.Endpoints {
			svc.Endpoints[i].Address = nextAddr()
			if err := d.startProcess(svc.Endpoints[i].Name, "burdock-standin", "service", "--listen", svc.Endpoints[i].Address); err != nil {
				return err
			}
		}
	}
	return nil
}

// startNodes starts the nodes and waits until engines and nodes listen.
func (d *Deployment) startNodes(nextAddr func() string) error {
	for i := range d.cfg.Nodes {
		d.Nodes = append(d.Nodes, Node{Name: fmt.Sprintf("n%d", i+1), CallerAddr: nextAddr(), PeerAddr: nextAddr()})
	}
	for i, n := range d.Nodes {
		if err := d.StartNode(n, i); err != nil {
			return err
		}
	}
	return d.waitListening()
}

// StartNode writes the settings of node n, starts its process and registers its
// VM with the platform. i is the node's index, which selects its failure domain.
// It also restarts a node whose process has exited.
func (d *Deployment) StartNode(n Node, i int) error {
	domains := d.failureDomains()
	settings := map[string]any{
		"node": n.Name, "domain": domains[i%len(domains)], "caller_addr": n.CallerAddr, "peer_addr": n.PeerAddr,
		"platform": d.PlatformURL, "resume_key": resumeKey, "log_level": "debug",
		"address_ttl": d.cfg.AddressTTL.String(), "lease_ttl": d.cfg.LeaseTTL.String(),
		"lease_margin": "1s", "order_transit": "2s", "stop_grace": "30s",
	}
	data, err := yaml.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(d.cfg.Dir, n.Name+".yaml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	if err := d.startProcess(n.Name, "burdock", "serve", "--settings", file); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return d.registerVM(ctx, n, settings["domain"].(string))
}

// registerVM registers the node's VM with the platform. It retries until the
// platform listens.
func (d *Deployment) registerVM(ctx context.Context, n Node, domain string) error {
	p := byplatform.New(d.PlatformURL)
	vm := burdockyard.VM{ID: n.Name, Addr: n.PeerAddr, Domain: domain}
	return poll(ctx, func() error { return p.SetVM(ctx, vm, false) })
}

// failureDomains returns the failure domains of the engines without duplicates,
// in the order of the manifest.
func (d *Deployment) failureDomains() []string {
	var list []string
	seen := map[string]bool{}
	for _, e := range d.Spec.Engines {
		if !seen[e.Domain] {
			seen[e.Domain] = true
			list = append(list, e.Domain)
		}
	}
	return list
}

// startProcess starts a process under the given name and appends its output to
// the log file of that name.
func (d *Deployment) startProcess(name, program string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(d.cfg.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process holds its own descriptor
	cmd := exec.Command(filepath.Join(d.cfg.BinDir, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.procs[name] = p
	var reaper sync.WaitGroup
	reaper.Go(func() {
		_ = cmd.Wait() // the exit code is read from ProcessState
		close(p.done)
	})
	return nil
}

// waitListening waits until the engines and the nodes listen.
func (d *Deployment) waitListening() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, e := range d.Spec.Engines {
		if err := waitPort(ctx, e.Address); err != nil {
			return err
		}
	}
	for _, n := range d.Nodes {
		if err := waitPort(ctx, n.CallerAddr); err != nil {
			return err
		}
	}
	return nil
}

// waitPort waits until addr accepts TCP connections.
func waitPort(ctx context.Context, addr string) error {
	return poll(ctx, func() error {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close() // the connection only shows that the address accepts
		}
		return err
	})
}

// poll calls f until it succeeds. When ctx is done, it returns f's last error
// joined with that of ctx.
func poll(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

// Publish publishes the deployment's manifest with the burdock program, and waits
// until every node is ready.
func (d *Deployment) Publish(ctx context.Context) error {
	file, err := d.WriteManifest()
	if err != nil {
		return err
	}
	if out, err := d.RunBurdock(ctx, "publish", "--platform", d.PlatformURL, file); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	for _, n := range d.Nodes {
		if err := d.WaitReady(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// WriteManifest writes the manifest with the addresses in use to a file in
// Config.Dir and returns the file's path.
func (d *Deployment) WriteManifest() (string, error) {
	data, err := yaml.Marshal(d.Spec)
	if err != nil {
		return "", err
	}
	file := filepath.Join(d.cfg.Dir, "manifest.yaml")
	return file, os.WriteFile(file, data, 0o600)
}

// WaitReady waits until the readiness endpoint of node n answers 200.
func (d *Deployment) WaitReady(ctx context.Context, n Node) error {
	return poll(ctx, func() error {
		resp, err := http.Get("http://" + n.CallerAddr + "/readyz")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			text, _ := io.ReadAll(resp.Body)
			return fmt.Errorf("node %s is not ready: %s", n.Name, text)
		}
		return nil
	})
}

// RunBurdock runs the burdock program until it exits, and returns its standard
// output and standard error together.
func (d *Deployment) RunBurdock(ctx context.Context, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, filepath.Join(d.cfg.BinDir, "burdock"), args...).CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

// Signal sends sig to the process that this deployment started under name. It
// returns an error if there is none, or if the process has exited.
func (d *Deployment) Signal(name string, sig syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.procs[name]
	if p == nil {
		return fmt.Errorf("cannot signal process %s: this deployment started no process of that name", name)
	}
	return p.cmd.Process.Signal(sig)
}

// WaitExit waits until the named process has exited, and returns its exit code. This
// deployment must have started a process of that name.
func (d *Deployment) WaitExit(ctx context.Context, name string) (int, error) {
	d.mu.Lock()
	p := d.procs[name]
	d.mu.Unlock()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Stop kills all processes that this deployment started, and waits up to
// stopTimeout for them to exit.
func (d *Deployment) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.procs {
		_ = p.cmd.Process.Kill() // fails only if the process has already exited
	}
	limit := time.After(stopTimeout)
	for _, p := range d.procs {
		select {
		case <-p.done:
		case <-limit:
			return
		}
	}
}

// CallerAddrs returns the addresses on which the nodes listen for callers.
func (d *Deployment) CallerAddrs() []string {
	var addrs []string
	for _, n := range d.Nodes {
		addrs = append(addrs, n.CallerAddr)
	}
	return addrs
}
