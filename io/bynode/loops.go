package bynode

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
	"burdockyard/core/byroute"
	"burdockyard/io/bylog"
	"burdockyard/io/bypeer"
	"burdockyard/io/bypeer/bypeerpb"
)

// maxConcurrentHeartbeats limits the peers that are called concurrently.
const maxConcurrentHeartbeats = 16

// exchangeHeartbeats exchanges heartbeats with every known peer. Then it confirms
// the manifest, drops peers that were silent for long, and passes the loads of
// the live peers to the dispatcher, with the engines that this node or a live peer
// is draining.
func (n *Node) exchangeHeartbeats(ctx context.Context) {
	n.confirmManifest(n.collectHeartbeats(ctx))
	n.members.RemoveExpired()
	now := n.clock.Now()
	n.server.Dispatcher().Update(n.members.PeerLoads(), n.routingPosition(), now)
	n.server.Dispatcher().Router().SetDraining(append(n.members.HeldEngines(), n.drainer.Draining()...))
}

// heartbeatRound is the result of exchanging heartbeats with every peer once.
type heartbeatRound struct {
	startedAt time.Time
	nodeCount int // number of known nodes, including this one
	replies   []bymember.Heartbeat
}

func (n *Node) collectHeartbeats(ctx context.Context) heartbeatRound {
	addrs := n.peerAddrs()
	r := heartbeatRound{startedAt: n.clock.Now(), nodeCount: len(addrs) + 1}
	var mu sync.Mutex // guards r.replies
	var group errgroup.Group
	group.SetLimit(maxConcurrentHeartbeats)
	for _, addr := range addrs {
		group.Go(func() error {
			reply, err := n.clients.ExchangeHeartbeat(ctx, addr, n.heartbeat())
			if err != nil {
				return nil // a peer that does not answer becomes suspect after a while
			}
			n.members.RecordHeartbeat(reply)
			mu.Lock()
			defer mu.Unlock()
			r.replies = append(r.replies, reply)
			return nil
		})
	}
	_ = group.Wait()
	return r
}

// confirmManifest marks the manifest in force as current in either of two cases: a
// peer whose own manifest was recently confirmed has the same generation or an
// older one; or this node and those that answered are a majority, and none of them
// has a newer generation. Two partitioned nodes out of many must not confirm each
// other's outdated manifest.
func (n *Node) confirmManifest(r heartbeatRound) {
	var generations []uint64
	for _, reply := range r.replies {
		if reply.RecentlyConfirmed {
			n.follower.Confirm(reply.Generation, r.startedAt)
		}
		generations = append(generations, reply.Generation)
	}
	n.follower.ConfirmByMajority(r.nodeCount, generations, r.startedAt)
}

// routingPosition returns the position of this node, by node ID, among the live
// nodes that are not leaving.
func (n *Node) routingPosition() byroute.NodePosition {
	p := byroute.NodePosition{Nodes: 1}
	for _, peer := range n.members.Alive() {
		if peer.Leaving {
			continue
		}
		p.Nodes++
		if peer.Member.Node < n.self.Node {
			p.Index++
		}
	}
	return p
}

func (n *Node) peerAddrs() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.knownPeerAddrs)
}

// refreshPeers updates the addresses of the peers from the settings, the VM list
// and the heartbeats. If the VM list cannot be read, the previous addresses stay.
func (n *Node) refreshPeers(ctx context.Context) {
	vms, err := n.platform.VMs(ctx)
	if err != nil {
		n.logs.members.Debug("VM list could not be read; keeping the previous peer addresses", bylog.Err(err))
		return
	}
	addrs := slices.Clone(n.settings.Peers)
	for _, vm := range vms {
		addrs = append(addrs, vm.Addr)
	}
	for _, peer := range n.members.Alive() {
		addrs = append(addrs, peer.Member.Addr)
	}
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	addrs = slices.DeleteFunc(addrs, func(a string) bool { return a == n.self.Addr })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.knownPeerAddrs = addrs
}

// updateManifest adopts a newer manifest from the table, or from a peer that has
// one.
func (n *Node) updateManifest(ctx context.Context) {
	before := n.follower.Generation()
	err := n.follower.Refresh(ctx)
	if err != nil && !errors.Is(err, bymanifest.ErrNoManifest) {
		n.logs.manifest.Debug("manifest could not be read from the platform", bylog.Err(err))
	}
	n.updateManifestFromPeers(ctx)
	if now := n.follower.Generation(); now != before {
		n.logs.manifest.Info("generation in force", bylog.Int("generation", int(now)))
	}
}

func (n *Node) updateManifestFromPeers(ctx context.Context) {
	for _, peer := range n.members.Alive() {
		own := n.follower.Generation()
		if peer.Generation <= own {
			continue
		}
		encoded, err := n.clients.FetchManifest(ctx, peer.Member.Addr, own)
		if err != nil {
			continue
		}
		if err := n.follower.AdoptFromPeer(ctx, encoded); err != nil {
			n.logs.manifest.Warn("manifest fetched from a peer could not be adopted", bylog.Str("peer", string(peer.Member.Node)), bylog.Err(err))
		}
	}
}

func (n *Node) peerHandler() http.Handler {
	return bypeer.NewHandler(bypeer.HandlerConfig{
		Self: n.self, Members: n.members, Follower: n.follower, Bookings: n.bookings, YieldLease: n.shards.yieldLease, OwnHeartbeat: n.heartbeat, Status: n.status,
	})
}

// status returns the status that operators see.
func (n *Node) status() *bypeerpb.StatusReply {
	reply := &bypeerpb.StatusReply{
		Member:     &bypeerpb.Member{Node: string(n.self.Node), Incarnation: string(n.self.Incarnation), Addr: n.self.Addr},
		Domain:     n.settings.Domain,
		Generation: n.follower.Generation(), Leaving: n.leaving.Load(),
		OpenCalls: int64(n.callerHandler.OpenCalls()), WaitingCalls: int64(n.server.Dispatcher().NumWaiting()),
		Shards: n.shards.status(), SlowEngines: n.server.Dispatcher().Router().SlowEngines(),
	}
	for _, peer := range n.members.Alive() {
		reply.Peers = append(reply.Peers, string(peer.Member.Node))
	}
	return reply
}
