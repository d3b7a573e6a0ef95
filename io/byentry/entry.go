// Package byentry implements an entry node: a proxy that accepts callers' requests,
// selects the endpoints that serve them, and forwards the requests to them.
//
// # Usage
//
//	node := byentry.New(settings, platform, byentry.WithLog(log))
//	err := node.Run(ctx) // returns after a graceful stop once ctx ends
//
// # Structure
//
// The loops in watch.go follow the configuration and the endpoint registry.
// peers.go exchanges heartbeats with the other nodes. ingress.go accepts a request,
// call.go or prompt.go sends it to endpoints, and relay.go streams events back to
// the caller. reach.go watches the links to the endpoints; while they are lost,
// handover.go hands requests over to nodes that reach them.
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
	"burdockyard/core/byarrival"
	"burdockyard/core/byfleet"
	"burdockyard/core/bylimit"
	"burdockyard/core/bymember"
	"burdockyard/core/bymemory"
	"burdockyard/core/byplace"
	"burdockyard/core/byquarantine"
	"burdockyard/core/byreach"
	"burdockyard/core/byroutes"
	"burdockyard/core/bysuspect"
	"burdockyard/core/byworkspace"
	"burdockyard/io/byforward"
	"burdockyard/io/bylog"
	"burdockyard/io/bymetrics"
	"burdockyard/io/bypeer"
	"burdockyard/io/bypeer/bypeerpb"
)

const (
	// maintenanceInterval is the time between two runs of runMaintenance, which
	// closes idle connections among other things.
	maintenanceInterval = 500 * time.Millisecond
	// shutdownPollInterval is how often a stopping node checks for open requests.
	shutdownPollInterval = 50 * time.Millisecond
	// shutdownReserve is the part of the grace period that is reserved for the
	// last steps of a shutdown.
	shutdownReserve = 1700 * time.Millisecond
	// serverShutdownTimeout bounds the final wait for requests in progress, for all
	// servers together.
	serverShutdownTimeout = 800 * time.Millisecond
	// finalResponseTime is the last part of that time. When it begins, requests that are
	// still in progress end, and their callers get a final response.
	finalResponseTime = 200 * time.Millisecond
	// shutdownServeTime is the minimum time for which a stopping node keeps serving,
	// if the grace period allows it. Callers use the node's address until the
	// directory response that contains it expires, some for longer.
	shutdownServeTime = 6 * time.Second
	// maxSplitWait is how long a node that starts waits for the splits of versions. Without
	// them it holds streams that may be resumed.
	maxSplitWait = 3 * time.Second
	// readHeaderTimeout is the time limit for reading a request header. It is fixed
	// at the start, when no configuration with limits is known yet.
	readHeaderTimeout = 10 * time.Second
)

// Settings are the settings that a node starts with.
type Settings struct {
	Node             burdockyard.NodeID
	Domain           string
	CallerAddr       string        // address that serves callers' requests
	ReadyAddr        string        // address that serves readiness checks
	DirectoryAddr    string        // address that tells callers which nodes to connect to
	PeerAddr         string        // address for other nodes: UDP for heartbeats, TCP for relayed table readings and handed-over requests
	MetricsAddr      string        // address that serves /metrics; empty disables it
	FirstSystemStart bool          // whether the whole system starts for the first time; engines' caches are then not queried
	ClaimTTL         time.Duration // how long a claim on an engine entitles this node to send it orders
	ReloadableSettings
}

// ReloadableSettings holds the settings that may change while the node runs. Its
// field names appear in the log.
type ReloadableSettings struct {
	Capacity    float64       // load that the VM can serve, in CPU cores
	MemoryBytes int64         // memory of the VM, a fraction of which may hold requests and responses
	Grace       time.Duration // maximum time from the stop signal to the end of the process
	DrainBound  time.Duration // maximum time from an endpoint's report that it leaves to its last new request
	ConfigBound time.Duration // maximum time from the acceptance of a configuration until it is in force on every node
	RetryRatio  float64       // maximum ratio of retries to requests, over all nodes
	RetrySlack  float64       // retries allowed in addition to RetryRatio, over all nodes
	RetryWindow time.Duration // time over which requests and retries count; 0 means the default
	AnswerTTL   time.Duration // how long callers may cache a response of the directory
	// RevokeBound is the maximum time from the acceptance of a configuration that takes a
	// key away until no request with the key runs on any node; 0 if there is none.
	RevokeBound time.Duration
	Duties      DutySettings
}

// DutySettings are the settings of the duties towards the platform.
type DutySettings struct {
	Reports       bool          // whether usage is to be reported
	Scales        bool          // whether endpoints are to be ordered
	CallsPerS     float64       // calls of all nodes together that the platform accepts per second
	ChecksFences  bool          // whether the platform checks fencing numbers
	Lease         time.Duration // time within which two holders of a duty must not alternate
	UsageWindow   time.Duration // length of a window of usage
	UsageDeadline time.Duration // time from the end of a window until its usage is due
}

// Platform holds the services and codecs of the platform that a node runs on.
type Platform struct {
	Registry      burdockyard.Registry
	Table         burdockyard.Table
	Protocol      burdockyard.Protocol
	Engines       burdockyard.EngineProtocol
	ConfigTable   string
	ConfigKey     string
	InstanceTable string
	API           burdockyard.PlatformAPI // called by the holders of duties; nil if there is none
	DecodeConfig  func([]byte) (*burdockyard.RouteConfig, error)
	// RedactRow returns a row of ConfigTable without keys of workspaces, which DecodeConfig
	// then finds as hashes.
	RedactRow      func(burdockyard.Row) burdockyard.Row
	DecodeInstance func(burdockyard.Row) (burdockyard.Instance, error)
	// NewDirectory returns the handler that tells callers which nodes to connect to.
	// lookup returns the addresses and how long callers may cache them.
	NewDirectory func(lookup func(host, domain string) ([]string, time.Duration)) http.Handler
	// NewReadiness returns the handler of the readiness check.
	NewReadiness func(ready func() bool) http.Handler
}

// Node is one entry node. Each of its components does its own locking.
type Node struct {
	settings           Settings
	reloadableSettings atomic.Pointer[ReloadableSettings]
	platform           Platform
	clock              burdockyard.Clock
	guard              *byarrival.Guard
	self               burdockyard.Member
	selfHash           uint64 // bymember.Hash of self
	routes             byroutes.ActiveTable
	configLag          byroutes.Lag
	fleet              *byfleet.Fleet
	loadTracker        *byplace.LoadTracker
	forwarder          *byforward.Forwarder
	retryBudgets       *retryBudgets
	view               *bymember.View
	peers              *peers
	configWatcher      *tableWatcher
	watchers           []*tableWatcher // one for each table that the node follows, including configWatcher
	relayClients       *bypeer.RelayClients
	callerConns        *callerConns
	endProofs          *endProofs // for this node's own requests
	testimonies        *endProofs // for other nodes
	witnessClient      bypeer.WitnessClient
	reach              *byreach.Tracker
	linkWaits          linkWaits
	quarantine         *byquarantine.Quarantine
	suspects           *bysuspect.Tracker
	records            *recordStore
	limits             *bylimit.Limits
	versions           *versions
	roles              *roleController
	duties             *duties
	scaling            *scaling
	usage              *usage
	keyWarnings        keyWarnings
	freshness          *byworkspace.Freshness // of the configuration
	peerVersions       byworkspace.PeerVersions
	metrics            *bymetrics.Metrics
	log                loggers
	stopping           atomic.Bool
	stop               *stopState
	serving            context.Context // done when the requests in progress at a stop must end
	endRequests        context.CancelFunc
	handoversTaken     atomic.Int64 // number of requests in progress that other nodes have handed over
	losesCallers       atomic.Bool  // whether callers should use other nodes, as this one is cut off from a service
	openRequests       atomic.Int64 // number of requests in progress
	memory             *bymemory.Budget
	heartbeatSeq       atomic.Uint64
	createdAt          time.Time
	done               chan struct{} // closed once Run has returned
}

// loggers holds one logger for each component of a node.
type loggers struct {
	node, calls, members, config, fleet, orders, duties bylog.Logger
}

// Option sets an optional part of a Node.
type Option func(*Node)

// WithLog sets the logger. Every line carries the node's incarnation.
func WithLog(z zerolog.Logger) Option {
	return func(n *Node) {
		z = z.With().Str("incarnation", string(n.self.Incarnation)).Logger()
		n.log = loggers{
			node: bylog.ForComponent(z, bylog.Node), calls: bylog.ForComponent(z, bylog.Calls), members: bylog.ForComponent(z, bylog.Members),
			config: bylog.ForComponent(z, bylog.Config), fleet: bylog.ForComponent(z, bylog.Fleet), orders: bylog.ForComponent(z, bylog.Orders), duties: bylog.ForComponent(z, bylog.Duties),
		}
	}
}

// WithClock sets the node's clock.
func WithClock(c burdockyard.Clock) Option { return func(n *Node) { n.clock = c } }

// New returns a node that serves once Run is called.
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
	n.createdAt = n.clock.Now()
	n.guard = byarrival.New(n.clock)
	n.selfHash = bymember.Hash(n.self)
	n.fleet = byfleet.New(n.clock)
	n.loadTracker = byplace.NewLoadTracker(n.clock)
	n.forwarder = byforward.New(n.clock, func(h http.Header) burdockyard.RequestID { return p.Protocol.DecodeResponse(http.StatusOK, h).ID }, forwarderOptions(s)...)
	n.view = bymember.New(n.clock, n.self)
	n.retryBudgets = newRetryBudgets(n.clock)
	n.peers = newPeers(n)
	n.memory = bymemory.New(n.clock, bymemory.WithMemory(s.MemoryBytes))
	n.callerConns = newCallerConns(n.clock, n.memory)
	n.endProofs, n.testimonies = newEndProofs(maxProofs), newEndProofs(maxExaminations)
	n.witnessClient = bypeer.NewWitnessClient()
	n.reach = byreach.New(n.clock)
	n.limits = bylimit.New(n.clock, s.Node)
	n.quarantine = byquarantine.New(n.clock, s.Node)
	n.suspects = bysuspect.New(n.clock, s.Node, n.fleet)
	n.records = newRecordStore(n)
	n.stop = newStopState()
	n.serving, n.endRequests = context.WithCancel(context.Background())
	n.roles = newRoleController(n)
	n.duties, n.scaling, n.usage = newDuties(n), newScaling(n), newUsage(n)
	n.relayClients = bypeer.NewRelayClients()
	n.configWatcher = newTableWatcher(n, p.ConfigTable, n.configBound, configMaxAgeShare, n.log.config, n.applyConfig)
	n.configWatcher.redact = p.RedactRow
	n.freshness = byworkspace.NewFreshness(n.clock)
	n.configWatcher.onCopy, n.configWatcher.onReading = n.freshness.RecordCopy, n.freshness.RecordReading
	n.configWatcher.proofDue = n.proofDue
	n.configWatcher.lagDue, n.configWatcher.onPoll = n.configLagDue, n.configLag.RecordPoll
	n.configWatcher.behind = func() bool { return n.configLag.IsBehind(n.configVersion()) }
	n.configWatcher.lackDue, n.configWatcher.onWholeRead = n.configLackDue, n.configLag.RecordSearch
	instanceWatcher := newTableWatcher(n, p.InstanceTable, func() time.Duration { return n.reloadableSettings.Load().DrainBound }, drainMaxAgeShare, n.log.fleet, n.applyInstances)
	instanceWatcher.isRoutine = n.isRoutineUpdate
	n.versions = newVersions(n)
	n.watchers = []*tableWatcher{n.configWatcher, instanceWatcher, n.versions.watcher}
	if s.FirstSystemStart {
		// All nodes start at the same time. Once they know of each other, one of them
		// reads the store for all.
		for _, w := range n.watchers {
			w.waitForPeers(n.clock.Now().Add(registrationTime))
		}
	}
	n.UpdateSettings(s.ReloadableSettings)
	return n
}

// UpdateSettings applies changed settings. It may be called while the node runs.
func (n *Node) UpdateSettings(s ReloadableSettings) {
	n.reloadableSettings.Store(&s)
	n.memory.SetMemory(s.MemoryBytes)
	n.retryBudgets.setLimits(s.RetryRatio, s.RetrySlack, s.RetryWindow)
	n.duties.setRate(s.Duties.CallsPerS)
}

// Done returns a channel that is closed once Run has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

// Run serves until ctx is done, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	addrs := []string{n.settings.CallerAddr, n.settings.ReadyAddr, n.settings.DirectoryAddr, n.settings.PeerAddr}
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
	n.log.node.Info("serving", bylog.Str("callers", n.settings.CallerAddr))

	// The loops outlive ctx because a stopping node still serves requests.
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serveCtx := errgroup.WithContext(serveCtx)
	callerServer := &http.Server{Handler: n, ReadHeaderTimeout: readHeaderTimeout, ConnContext: withConn, ConnState: n.callerConns.track, ErrorLog: nil}
	servers := []*http.Server{
		callerServer,
		{Handler: n.platform.NewReadiness(n.ready), ReadHeaderTimeout: readHeaderTimeout},
		{Handler: n.platform.NewDirectory(n.directoryAddresses), ReadHeaderTimeout: readHeaderTimeout},
		{Handler: n.peerHandler(), ReadHeaderTimeout: readHeaderTimeout},
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

// headMemoryShare is the share of the VM's memory for long headers of responses.
const headMemoryShare = 0.03

func forwarderOptions(s Settings) []byforward.Option {
	if s.MemoryBytes <= 0 {
		return nil
	}
	return []byforward.Option{byforward.WithHeadMemory(int64(headMemoryShare * float64(s.MemoryBytes)))}
}

// maxPeerCallBytes limits the calls of other nodes, of which readings of the store are the
// longest, in bytes.
const maxPeerCallBytes = 8 << 20

// peerCallHandler returns a handler that serves the calls of other nodes.
func (n *Node) peerCallHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(bypeerpb.RelayPathPrefix, bypeer.NewRelayHandler(bypeer.RelayHandler{Apply: n.applyRelayedReading, Read: n.readingForPeer, Values: n.valuesForPeer}))
	mux.Handle(bypeerpb.WitnessPathPrefix, bypeer.NewWitnessHandler(n.examine))
	return http.MaxBytesHandler(mux, maxPeerCallBytes)
}

// metricsHandler returns a handler that serves the node's metrics in the
// Prometheus text format.
func (n *Node) metricsHandler() http.Handler {
	n.metrics.RegisterGauge("burdock_open_requests", func() float64 { return float64(n.openRequests.Load()) })
	n.metrics.RegisterGauge("burdock_held_bytes", func() float64 { return float64(n.memory.Held()) })
	n.metrics.RegisterGauge("burdock_held_bytes_limit", func() float64 { return float64(n.memory.Limit()) })
	n.metrics.RegisterGauge("burdock_known_endpoints", func() float64 { return float64(n.fleet.Len()) })
	n.metrics.RegisterGauge("burdock_registry_age_seconds", func() float64 { return n.fleet.RegistryAge().Seconds() })
	n.metrics.RegisterGauge("burdock_alive_peers", func() float64 { return float64(len(n.view.Alive())) })
	n.metrics.RegisterGauge("burdock_config_age_seconds", func() float64 { return n.configWatcher.age().Seconds() })
	n.metrics.RegisterGauge("burdock_known_keys", n.knownKeys)
	n.metrics.RegisterGauge("burdock_config_proven_age_seconds", func() float64 { return n.provenAge().Seconds() })
	n.metrics.RegisterGauge("burdock_endpoint_connections", func() float64 { return float64(n.forwarder.OpenConns()) })
	n.metrics.RegisterGauge("burdock_retries_left", n.retryBudgets.minLeft)
	n.metrics.RegisterGauge("burdock_limited_endpoints", func() float64 { return float64(n.limits.Len()) })
	n.metrics.RegisterGauge("burdock_quarantined_inputs", func() float64 { return float64(n.quarantine.Len()) })
	n.metrics.RegisterGauge("burdock_held_engines", func() float64 { return float64(n.roles.holdCount()) })
	n.metrics.RegisterGauge("burdock_memory_bytes", memoryBytes)
	for _, duty := range n.duties.enabled() {
		n.metrics.RegisterGauge(bymetrics.DutyHolder(string(duty)), func() float64 {
			if _, ok := n.duties.authority(duty); ok {
				return 1
			}
			return 0
		})
	}
	n.metrics.RegisterGauge("burdock_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	n.metrics.RegisterGauge("burdock_config_version", func() float64 {
		if t := n.routes.Current(); t != nil {
			return float64(t.Version())
		}
		return 0
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.WritePrometheus(w) })
	return mux
}

// memoryBytes returns the memory that the Go runtime has mapped from the operating
// system.
func memoryBytes() float64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}}
	metrics.Read(samples)
	return float64(samples[0].Value.Uint64())
}

// listenAll listens on every address, or on none if one of them fails.
func listenAll(addrs ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, addr := range addrs {
		l, err := listen(addr)
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
	for _, w := range n.watchers {
		group.Go(func() error { return w.run(ctx) })
		group.Go(func() error { return w.followPeers(ctx) })
	}
	group.Go(func() error { return n.records.run(ctx) })
	group.Go(func() error { return n.peers.gossip.Run(ctx) })
	group.Go(func() error { return n.peers.registerLoop(ctx) })
	group.Go(func() error { return n.peers.heartbeatLoop(ctx) })
	group.Go(func() error { return runEvery(ctx, maintenanceInterval, n.runMaintenance) })
	if !n.settings.FirstSystemStart {
		group.Go(func() error { return n.queryCaches(ctx) })
	}
	group.Go(func() error { return runEvery(ctx, roleCheckInterval, n.roles.reconcile) })
	group.Go(func() error { return runEvery(ctx, scaleCheckInterval, n.scaling.reconcile) })
	group.Go(func() error { return runEvery(ctx, splitCheckInterval, n.versions.reconcile) })
	group.Go(func() error { return runEvery(ctx, proofCheckInterval, (&prover{node: n}).check) })
	group.Go(func() error { return runEvery(ctx, reachCheckInterval, newReachMonitor(n).check) })
	group.Go(func() error { return runEvery(ctx, hangingProbeInterval, n.probeHanging) })
	group.Go(func() error { return runEvery(ctx, suspectCheckInterval, n.settleSuspicions) })
	if n.platform.API != nil {
		group.Go(func() error { return n.duties.run(ctx) })
		group.Go(func() error { return n.usage.run(ctx) })
		group.Go(func() error { return runEvery(ctx, dutyReportInterval, n.duties.report) })
	}
}

// runEvery calls f once per interval until ctx is done.
func runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) error {
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

// syncClock makes the clock count a suspension of the VM. It must be called before requests
// and messages of other VMs are handled.
func (n *Node) syncClock() {
	if c, ok := n.clock.(burdockyard.SyncClock); ok {
		c.Sync()
	}
}

// observePauses notices when the process has stood still. It must be called before messages
// of peers are handled.
func (n *Node) observePauses() {
	n.syncClock()
	if pause := n.guard.Observe(); pause > 0 {
		n.metrics.Pauses().Inc()
		n.log.node.Info("process stood still", bylog.Millis("pause_ms", pause))
	}
}

func (n *Node) runMaintenance(context.Context) {
	n.forwarder.CloseExpired()
	n.loadTracker.RemoveUnknown(n.fleet.Contains)
	n.logPrefillRates()
	n.peers.logReachability()
	n.view.RemoveExpired()
	nodes := 1 + len(n.view.Alive())
	n.retryBudgets.setNodes(nodes)
	n.quarantine.SetNodes(nodes)
	n.suspects.SetNodes(nodes)
	n.limits.SetMembers(n.peers.members(), n.stopping.Load())
	n.limits.RemoveUnknown(n.fleet.Contains)
	if t := n.routes.Current(); t != nil {
		n.callerConns.closeIdle(t.Limits())
		n.versions.forgetStarts(t)
	}
}

// ready reports whether callers may be directed to this node.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.routes.Current() != nil && n.fleet.Len() > 0 && n.records.known.Load() &&
		(n.versions.table.IsKnown() || n.clock.Now().Sub(n.createdAt) >= maxSplitWait)
}

// shutDown keeps serving for a while, since callers still use this node's address,
// and asks them to close their connections. Requests that would take too long are
// refused meanwhile. It returns once no request is in progress or the time for it is up;
// what is still in progress then has got a final response before.
func (n *Node) shutDown(servers []*http.Server) {
	n.stopping.Store(true)
	n.stop.begin(n.clock.Now())
	n.limits.SetMembers(n.peers.members(), true)
	n.log.node.Info("leaving", bylog.Int("open_requests", int(n.openRequests.Load())))
	startedAt := n.clock.Now()
	n.peers.sendHeartbeat(true, true)
	n.peers.deregister()
	grace := n.reloadableSettings.Load().Grace
	limit := grace - shutdownReserve
	timer := time.AfterFunc(serveTime(grace), n.endRequests)
	defer timer.Stop()
	for {
		time.Sleep(shutdownPollInterval)
		elapsed := n.clock.Now().Sub(startedAt)
		if elapsed >= limit || elapsed >= min(shutdownServeTime, limit) && n.openRequests.Load() == 0 {
			break
		}
	}
	// Also after an early end of the loop, requests that came on connections from before
	// have the time that they were accepted for.
	shutdownCtx, cancel := context.WithTimeout(context.Background(), limit+serverShutdownTimeout-n.clock.Now().Sub(startedAt))
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(shutdownCtx); err != nil {
			n.log.node.Warn("shutdown time limit reached with requests in progress", bylog.Int("open_requests", int(n.openRequests.Load())), bylog.Err(err))
		}
	}
	n.log.node.Info("stopped", bylog.Int("open_requests", int(n.openRequests.Load())))
}
