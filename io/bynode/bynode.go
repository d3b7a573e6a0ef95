// Package bynode puts an entry node together and runs it until it is told to
// stop.
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
	manifestEvery = time.Second
	sweepEvery    = time.Second
	listEvery     = 10 * time.Second
	controlEvery  = time.Second
	stopPoll      = 100 * time.Millisecond
	shutdownLimit = 5 * time.Second
)

// Node is one entry node. Its parts lock for themselves; mu is a leaf lock that
// guards the addresses of the peers.
type Node struct {
	settings  byconfig.Settings
	self      burdockyard.Member
	clock     burdockyard.Clock
	platform  *byplatform.Platform
	endpoints burdockyard.Endpoints
	clients   *bypeer.Clients
	follower  *bymanifest.Follower
	view      *bymember.View
	desk      *bybooking.Desk
	server    *byserve.Server
	gate      *bydrain.Gate
	surface   *byhttp.Surface
	metrics   *bymetrics.Metrics
	logs      logs
	control   *control
	leaving   atomic.Bool
	beatSeq   atomic.Uint64
	done      chan struct{}

	mu    sync.Mutex
	addrs []string // peers' addresses from the settings and the VM list
}

// logs are the loggers of a node's parts.
type logs struct {
	node, calls, leases, orders, manifest, members bylog.Logger
}

// Done is closed once Run has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

// Run serves until ctx ends, then stops gracefully: it takes no new callers,
// finishes what is open, and gives its leases back.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	callers, err := net.Listen("tcp", n.settings.CallerAddr)
	if err != nil {
		return merry.Prepend(err, "caller_addr")
	}
	peers, err := net.Listen("tcp", n.settings.PeerAddr)
	if err != nil {
		_ = callers.Close() // nothing was accepted yet
		return merry.Prepend(err, "peer_addr")
	}
	n.logs.node.Info("serving", bylog.Str("callers", n.settings.CallerAddr), bylog.Str("peers", n.settings.PeerAddr),
		bylog.Str("incarnation", string(n.self.Incarnation)))

	// The loops outlive ctx: a stopping node still needs its heartbeats.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	group, life := errgroup.WithContext(life)
	callerServer := &http.Server{Handler: n.surface, ReadHeaderTimeout: shutdownLimit}
	peerServer := &http.Server{Handler: n.peerHandler(), ReadHeaderTimeout: shutdownLimit}
	group.Go(func() error { return serve(callerServer, callers) })
	group.Go(func() error { return serve(peerServer, peers) })
	group.Go(func() error { return n.server.Run(life) })
	n.startLoops(life, group)
	group.Go(func() error { return n.control.run(ctx) }) // no order after the stop began
	group.Go(func() error {
		defer end()
		select {
		case <-ctx.Done():
		case <-life.Done():
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
	group.Go(func() error { return every(ctx, bymember.HeartbeatEvery, n.beatAll) })
	group.Go(func() error { return every(ctx, manifestEvery, n.followManifest) })
	group.Go(func() error { return every(ctx, listEvery, n.refreshPeers) })
	group.Go(func() error { return every(ctx, sweepEvery, n.desk.Sweep) })
}

// every calls f at once and then at each interval, until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
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

// stop leaves in order: callers go first, then authority, then the listeners.
func (n *Node) stop(callers, peers *http.Server) {
	n.leaving.Store(true)
	n.logs.node.Info("leaving")
	began := n.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopGrace)
	defer cancel()
	n.beatAll(ctx)
	n.control.release(ctx)
	keep := n.settings.AddressTTL + bymember.SuspectAfter
	for ctx.Err() == nil && (n.clock.Now().Sub(began) < keep || n.busy()) {
		time.Sleep(stopPoll)
	}
	n.desk.Wait()
	last, cancelLast := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancelLast()
	// Calls that are still open now have used up the grace; their callers resume
	// on another node.
	_ = callers.Shutdown(last)
	_ = peers.Shutdown(last)
	_ = callers.Close()
	_ = peers.Close()
	n.logs.node.Info("stopped", bylog.Int("open_calls", n.surface.Open()))
}

func (n *Node) busy() bool { return n.surface.Open() > 0 || !n.desk.Idle() }

// ready tells why callers cannot be served.
func (n *Node) ready() error {
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

// beat returns the node's own heartbeat.
func (n *Node) beat() bymember.Heartbeat {
	return bymember.Heartbeat{
		Member: n.self, CallerAddr: n.settings.CallerAddr, Domain: n.settings.Domain,
		Leaving: n.leaving.Load(), Generation: n.follower.Generation(), Fresh: n.follower.Fresh(), Seq: n.beatSeq.Add(1),
		Loads: n.server.Dispatcher().Router().Digest(), Holds: n.gate.Held(),
	}
}
