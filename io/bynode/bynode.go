// Package bynode builds an entry node from its components and runs it until its
// context ends.
//
// # Usage
//
//	node, err := bynode.Build(settings, os.Stderr)
//	err = node.Run(ctx) // returns after a graceful stop once ctx ends
package bynode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/core/bybooking"
	"burdockyard/core/bydrain"
	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
	"burdockyard/core/byserve"
	"burdockyard/io/byconfig"
	"burdockyard/io/byhttp"
	"burdockyard/io/bylog"
	"burdockyard/io/bymetrics"
	"burdockyard/io/bypeer"
	"burdockyard/io/byplatform"
)

const (
	manifestInterval    = time.Second            // between checks for a newer manifest
	sweepInterval       = time.Second            // between sweeps of the calls that may not be repeated
	peerRefreshInterval = 10 * time.Second       // between reads of the VM list
	shardInterval       = time.Second            // between reconciliations of the shards
	stopPollInterval    = 100 * time.Millisecond // between checks for open work during a stop
	shutdownTimeout     = 5 * time.Second        // for closing the HTTP servers, and for reading a request's header
)

// Node is one entry node. Its components are safe for concurrent use. mu guards
// knownPeerAddrs; no other lock is taken while it is held.
type Node struct {
	settings      byconfig.Settings
	self          burdockyard.Member
	clock         burdockyard.Clock
	platform      *byplatform.Platform
	endpoints     burdockyard.EndpointClients
	clients       *bypeer.Clients
	follower      *bymanifest.Follower
	members       *bymember.View
	bookings      *bybooking.Executor
	server        *byserve.Server
	drainer       *bydrain.Drainer
	callerHandler *byhttp.Handler
	metrics       *bymetrics.Metrics
	logs          loggers
	shards        *shardController
	leaving       atomic.Bool
	heartbeatSeq  atomic.Uint64
	done          chan struct{}

	mu             sync.Mutex
	knownPeerAddrs []string // addresses from the settings, the VM list and heartbeats
}

// loggers holds one logger for each component of a node.
type loggers struct {
	node, calls, leases, orders, manifest, members bylog.Logger
}

// Done returns a channel that is closed once Run has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

// Run serves callers and peers until ctx ends, then stops gracefully: it announces
// that it takes no new callers, releases its leases, waits for open calls within
// the StopGrace setting, and closes its listeners. It returns an error if it cannot
// listen on an address or a server fails. It must be called only once.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	callers, err := net.Listen("tcp", n.settings.CallerAddr)
	if err != nil {
		return merry.Prepend(err, "caller_addr")
	}
	peers, err := net.Listen("tcp", n.settings.PeerAddr)
	if err != nil {
		_ = callers.Close() // no connection was accepted yet
		return merry.Prepend(err, "peer_addr")
	}
	n.logs.node.Info("serving", bylog.Str("callers", n.settings.CallerAddr), bylog.Str("peers", n.settings.PeerAddr),
		bylog.Str("incarnation", string(n.self.Incarnation)))

	// The loops run on after ctx ends, because a stopping node must still exchange
	// heartbeats.
	runCtx, stopRunning := context.WithCancel(context.WithoutCancel(ctx))
	group, runCtx := errgroup.WithContext(runCtx)
	callerServer := &http.Server{Handler: n.callerHandler, ReadHeaderTimeout: shutdownTimeout}
	peerServer := &http.Server{Handler: n.peerHandler(), ReadHeaderTimeout: shutdownTimeout}
	group.Go(func() error { return serve(callerServer, callers) })
	group.Go(func() error { return serve(peerServer, peers) })
	group.Go(func() error { return n.server.Run(runCtx) })
	n.startLoops(runCtx, group)
	group.Go(func() error { return n.shards.run(ctx) }) // ends with ctx: a stopping node starts no orders
	group.Go(func() error {
		defer stopRunning()
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
			return nil
		}
		n.stop(callerServer, peerServer)
		return nil
	})
	return group.Wait()
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); err != http.ErrServerClosed {
		return merry.Wrap(err)
	}
	return nil
}

func (n *Node) startLoops(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return runPeriodically(ctx, bymember.HeartbeatInterval, n.exchangeHeartbeats) })
	group.Go(func() error { return runPeriodically(ctx, manifestInterval, n.updateManifest) })
	group.Go(func() error { return runPeriodically(ctx, peerRefreshInterval, n.refreshPeers) })
	group.Go(func() error { return runPeriodically(ctx, sweepInterval, n.bookings.Sweep) })
}

// runPeriodically calls f immediately and then at every interval until ctx ends.
// It always returns nil.
func runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// stop shuts the node down in order: it announces to peers that it is leaving, so
// that callers go elsewhere, then releases its leases, and closes the listeners
// last. Within the grace period it keeps serving for at least SuspectAfter, for
// peers to hear the announcement or to suspect the node, and AddressTTL, for
// callers to drop its address.
func (n *Node) stop(callers, peers *http.Server) {
	n.leaving.Store(true)
	n.logs.node.Info("leaving")
	stopStarted := n.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopGrace)
	defer cancel()
	n.exchangeHeartbeats(ctx)
	n.shards.releaseLeases(ctx)
	drainTime := n.settings.AddressTTL + bymember.SuspectAfter
	for ctx.Err() == nil && (n.clock.Now().Sub(stopStarted) < drainTime || n.hasOpenWork()) {
		time.Sleep(stopPollInterval)
	}
	n.bookings.Wait()
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	// Calls that are still open have used up the grace period; their callers
	// resume on another node.
	_ = callers.Shutdown(shutdownCtx)
	_ = peers.Shutdown(shutdownCtx)
	_ = callers.Close()
	_ = peers.Close()
	n.logs.node.Info("stopped", bylog.Int("open_calls", n.callerHandler.OpenCalls()))
}

func (n *Node) hasOpenWork() bool { return n.callerHandler.OpenCalls() > 0 || !n.bookings.IsIdle() }

// checkReady returns the reason why callers cannot be served, or nil if they can.
func (n *Node) checkReady() error {
	switch {
	case n.leaving.Load():
		return errLeaving
	case n.follower.Current() == nil:
		return bymanifest.ErrNoManifest
	default:
		return nil
	}
}

var errLeaving = merry.Sentinel("the node is leaving")

// heartbeat returns a heartbeat of this node with a new sequence number.
func (n *Node) heartbeat() bymember.Heartbeat {
	return bymember.Heartbeat{
		Member: n.self, CallerAddr: n.settings.CallerAddr, Domain: n.settings.Domain,
		Leaving: n.leaving.Load(), Generation: n.follower.Generation(), RecentlyConfirmed: n.follower.Fresh(), Seq: n.heartbeatSeq.Add(1),
		Loads: n.server.Dispatcher().Router().LocalLoads(), HeldEngines: n.drainer.Draining(),
	}
}
