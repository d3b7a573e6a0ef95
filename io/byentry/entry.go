// Package byentry runs an entry node: it takes callers' requests, chooses the
// endpoints that serve them, and forwards them.
//
// # Usage
//
//	node := byentry.New(settings, platform, byentry.WithLog(log))
//	err := node.Run(ctx) // returns after a graceful stop once ctx ends
//
// # Parts
//
// The configuration and the registry of endpoints are followed by the loops of
// watch.go; peers are heard and told of this node's work in peers.go. A request
// passes ingress.go, then call.go or prompt.go, and its answer relay.go.
package byentry

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/bymember"
	"burdockyard/core/byplace"
	"burdockyard/core/byroutes"
	"burdockyard/io/byforward"
	"burdockyard/io/bylog"
	"burdockyard/io/bymetrics"
	"burdockyard/io/bypeer"
)

const (
	// maintenanceInterval is the time between two looks at idle connections.
	maintenanceInterval = 500 * time.Millisecond
	// shutdownPollInterval is how often a stopping node looks whether it is empty.
	shutdownPollInterval = 50 * time.Millisecond
	// shutdownReserve is kept of the grace for the last steps of a stop.
	shutdownReserve = 1700 * time.Millisecond
	// serverShutdownTimeout bounds the last wait for requests in work.
	serverShutdownTimeout = 800 * time.Millisecond
	// shutdownServeTime is how long a stopping node goes on serving: callers keep the
	// address for the lifetime of the directory's answer, some for longer.
	shutdownServeTime = 6 * time.Second
	// readHeaderTimeout bounds a caller's header before a configuration says more.
	readHeaderTimeout = 10 * time.Second
)

// Settings are what the node knows at its start.
type Settings struct {
	Node          burdockyard.NodeID
	Domain        string
	FrontAddr     string        // for callers
	ReadyAddr     string        // for readiness checks
	DirectoryAddr string        // for callers that ask where to connect
	PeerAddr      string        // for other nodes: heartbeats as datagrams, readings as calls
	MetricsAddr   string        // for /metrics; empty serves none
	FirstStart    bool          // the whole system starts for the first time
	ClaimTTL      time.Duration // for how long a node may order an engine, once it has claimed it
	Tuning
}

// Tuning are the settings that may change while the node runs.
type Tuning struct {
	Capacity    float64 // what the VM can carry, as a share of a core
	MemoryBytes int64
	Grace       time.Duration // from the signal to the end of the process
	DrainBound  time.Duration // from an endpoint's report that it leaves to its last new request
	ConfigBound time.Duration // from a configuration's acceptance to its being in force
	RetryRatio  float64       // second sends over requests, of all nodes
	RetrySlack  float64       // second sends that are free, of all nodes
	AnswerTTL   time.Duration // how long callers keep an answer of the directory
}

// Platform is what the node needs of the platform it runs on.
type Platform struct {
	Registry       burdockyard.Registry
	Table          burdockyard.Table
	Protocol       burdockyard.Protocol
	Engines        burdockyard.EngineProtocol
	ConfigTable    string
	ConfigKey      string
	InstanceTable  string
	DecodeConfig   func([]byte) (*burdockyard.RouteConfig, error)
	DecodeInstance func(burdockyard.Row) (burdockyard.Instance, error)
	// NewDirectory and NewReadiness make the handlers of the entry calls.
	NewDirectory func(lookup func(host, domain string) ([]string, time.Duration)) http.Handler
	NewReadiness func(ready func() bool) http.Handler
}

// Node is one entry node. Its parts lock for themselves.
type Node struct {
	settings     Settings
	tuning       atomic.Pointer[Tuning]
	platform     Platform
	clock        burdockyard.Clock
	self         burdockyard.Member
	routes       byroutes.Follower
	fleet        *byfleet.Fleet
	ledger       *byplace.Ledger
	forward      *byforward.Forwarder
	retryBudgets *retryBudgets
	view         *bymember.View
	peers        *peers
	configWatch  *watch
	watches      []*watch // of all tables that are followed
	relays       *bypeer.RelayClients
	callerConns  *callerConns
	roles        *roleChanges
	metrics      *bymetrics.Metrics
	log          loggers
	leaving      atomic.Bool
	openRequests atomic.Int64 // requests in work
	bodyBytes    atomic.Int64 // bytes of their bodies
	beatSeq      atomic.Uint64
	done         chan struct{}
}

// loggers are the loggers of a node's parts.
type loggers struct {
	node, calls, members, config, fleet, orders bylog.Logger
}

// Option sets an optional part of a Node.
type Option func(*Node)

// WithLog sets where the node's sentences go.
func WithLog(z zerolog.Logger) Option {
	return func(n *Node) {
		z = z.With().Str("incarnation", string(n.self.Incarnation)).Logger()
		n.log = loggers{
			node: bylog.Part(z, bylog.Node), calls: bylog.Part(z, bylog.Calls), members: bylog.Part(z, bylog.Members),
			config: bylog.Part(z, bylog.Config), fleet: bylog.Part(z, bylog.Fleet), orders: bylog.Part(z, bylog.Orders),
		}
	}
}

// WithClock sets the node's clock.
func WithClock(c burdockyard.Clock) Option { return func(n *Node) { n.clock = c } }

// New returns a node that does not run yet.
func New(s Settings, p Platform, opts ...Option) *Node {
	n := &Node{
		settings: s, platform: p, clock: burdockyard.SystemClock{}, metrics: bymetrics.New(),
		self: burdockyard.Member{Node: s.Node, Incarnation: burdockyard.NewIncarnation(), Addr: s.PeerAddr},
		done: make(chan struct{}),
	}
	WithLog(zerolog.Nop())(n)
	for _, opt := range opts {
		opt(n)
	}
	n.fleet = byfleet.New(n.clock)
	n.ledger = byplace.NewLedger(n.clock)
	n.forward = byforward.New(n.clock, func(h http.Header) burdockyard.RequestID { return p.Protocol.DecodeAnswer(http.StatusOK, h).ID })
	n.view = bymember.New(n.clock, n.self)
	n.retryBudgets = newRetryBudgets()
	n.peers = newPeers(n)
	n.callerConns = newCallerConns(n.clock)
	n.roles = newRoleChanges(n)
	n.relays = bypeer.NewRelayClients()
	n.configWatch = newWatch(n, p.ConfigTable, func() time.Duration { return n.tuning.Load().ConfigBound }, configShare, n.log.config, n.applyConfig)
	n.watches = []*watch{
		n.configWatch,
		newWatch(n, p.InstanceTable, func() time.Duration { return n.tuning.Load().DrainBound }, drainShare, n.log.fleet, n.applyInstances),
	}
	n.Tune(s.Tuning)
	return n
}

// Tune takes changed settings into force. It may be called while the node runs.
func (n *Node) Tune(t Tuning) {
	n.tuning.Store(&t)
	n.retryBudgets.setLimits(t.RetryRatio, t.RetrySlack)
}

// Done is closed once Run has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	addrs := []string{n.settings.FrontAddr, n.settings.ReadyAddr, n.settings.DirectoryAddr, n.settings.PeerAddr}
	if n.settings.MetricsAddr != "" {
		addrs = append(addrs, n.settings.MetricsAddr)
	}
	listeners, err := listenAll(addrs...)
	if err != nil {
		return err
	}
	if err := n.peers.listen(); err != nil {
		return err
	}
	n.log.node.Info("serving", bylog.Str("callers", n.settings.FrontAddr))

	// The loops outlive ctx: a stopping node still serves.
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serveCtx := errgroup.WithContext(serveCtx)
	callerServer := &http.Server{Handler: n, ReadHeaderTimeout: readHeaderTimeout, ConnState: n.callerConns.track, ErrorLog: nil}
	servers := []*http.Server{
		callerServer,
		{Handler: n.platform.NewReadiness(n.ready), ReadHeaderTimeout: readHeaderTimeout},
		{Handler: n.platform.NewDirectory(n.lookup), ReadHeaderTimeout: readHeaderTimeout},
		{Handler: bypeer.NewRelayHandler(n.takeRelayed), ReadHeaderTimeout: readHeaderTimeout},
	}
	if n.settings.MetricsAddr != "" {
		servers = append(servers, &http.Server{Handler: n.metricsHandler(), ReadHeaderTimeout: readHeaderTimeout})
	}
	for i, s := range servers {
		group.Go(func() error { return serve(s, listeners[i]) })
	}
	n.startLoops(serveCtx, group)
	group.Go(func() error {
		defer stopServing()
		select {
		case <-ctx.Done():
			n.shutDown(servers)
		case <-serveCtx.Done():
		}
		for _, s := range servers {
			s.Close()
		}
		return nil
	})
	return group.Wait()
}

// metricsHandler serves the node's metrics in the Prometheus text format.
func (n *Node) metricsHandler() http.Handler {
	n.metrics.Gauge("burdock_open_requests", func() float64 { return float64(n.openRequests.Load()) })
	n.metrics.Gauge("burdock_body_bytes", func() float64 { return float64(n.bodyBytes.Load()) })
	n.metrics.Gauge("burdock_known_endpoints", func() float64 { return float64(n.fleet.Len()) })
	n.metrics.Gauge("burdock_registry_age_seconds", func() float64 { return n.fleet.Age().Seconds() })
	n.metrics.Gauge("burdock_alive_peers", func() float64 { return float64(len(n.view.Alive())) })
	n.metrics.Gauge("burdock_config_age_seconds", func() float64 { return n.configWatch.age().Seconds() })
	n.metrics.Gauge("burdock_endpoint_connections", func() float64 { return float64(n.forward.Open()) })
	n.metrics.Gauge("burdock_retries_left", n.retryBudgets.minLeft)
	n.metrics.Gauge("burdock_held_engines", func() float64 { return float64(n.roles.held()) })
	n.metrics.Gauge("burdock_memory_bytes", memoryBytes)
	n.metrics.Gauge("burdock_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	n.metrics.Gauge("burdock_config_version", func() float64 {
		if t := n.routes.Current(); t != nil {
			return float64(t.Version())
		}
		return 0
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.WritePrometheus(w) })
	return mux
}

// memoryBytes is the memory that the process has from its system.
func memoryBytes() float64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}}
	metrics.Read(samples)
	return float64(samples[0].Value.Uint64())
}

func listenAll(addrs ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, addr := range addrs {
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			for _, opened := range listeners {
				opened.Close()
			}
			return nil, merry.Prepend(err, "listening")
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); err != http.ErrServerClosed {
		return merry.Wrap(err)
	}
	return nil
}

func (n *Node) startLoops(ctx context.Context, group *errgroup.Group) {
	for _, w := range n.watches {
		group.Go(func() error { return w.run(ctx) })
	}
	group.Go(func() error { return n.peers.gossip.Run(ctx) })
	group.Go(func() error { return n.peers.register(ctx) })
	group.Go(func() error { return n.peers.tellLoop(ctx) })
	group.Go(func() error { return every(ctx, maintenanceInterval, n.runMaintenance) })
	if !n.settings.FirstStart {
		group.Go(func() error { return n.learnCaches(ctx) })
	}
	group.Go(func() error { return every(ctx, roleEvery, n.roles.step) })
}

// every calls f at each interval, until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *Node) runMaintenance(context.Context) {
	n.forward.Sweep()
	n.ledger.Keep(n.fleet.Known)
	n.peers.noteHeard()
	n.retryBudgets.setNodes(1 + len(n.view.Alive()))
	if t := n.routes.Current(); t != nil {
		n.callerConns.closeIdle(t.Limits())
	}
}

// ready reports whether callers may be sent here.
func (n *Node) ready() bool {
	return !n.leaving.Load() && n.routes.Current() != nil && n.fleet.Len() > 0
}

// shutDown serves on for a while, since callers still hold this node's address, and
// asks each of them to close its connection. It returns once the node is empty.
func (n *Node) shutDown(servers []*http.Server) {
	n.leaving.Store(true)
	n.log.node.Info("leaving", bylog.Int("open_requests", int(n.openRequests.Load())))
	startedAt := n.clock.Now()
	n.peers.tell(true, true)
	n.peers.leave()
	limit := n.tuning.Load().Grace - shutdownReserve
	for {
		time.Sleep(shutdownPollInterval)
		elapsed := n.clock.Now().Sub(startedAt)
		if elapsed >= limit || elapsed >= min(shutdownServeTime, limit) && n.openRequests.Load() == 0 {
			break
		}
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), serverShutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(shutdownCtx); err != nil {
			n.log.node.Warn("requests are cut by the stop", bylog.Int("open_requests", int(n.openRequests.Load())), bylog.Err(err))
		}
	}
	n.log.node.Info("stopped", bylog.Int("open_requests", int(n.openRequests.Load())))
}
