// Package bypeer implements the RPC client and server that nodes use to talk to
// each other, over Twirp.
//
// # Usage
//
//	handler := bypeer.NewHandler(cfg) // serve it on the peer address
//	peers := bypeer.NewClients()
//	reply, err := peers.ExchangeHeartbeat(ctx, addr, own) // sends own, returns the peer's heartbeat
//
// Clients also implements the interfaces through which the core packages query
// other nodes: burdockyard.FormerHolderClient and bybooking.ClaimantClient.
package bypeer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/core/bybooking"
	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
	"burdockyard/io/bypeer/bypeerpb"
	"burdockyard/io/bywire"
)

// callTimeout limits the duration of one RPC to a peer.
const callTimeout = time.Second

// Clients calls other nodes, with one RPC client for each address. Its methods
// may be called from several goroutines. mu guards clientsByAddr; no other lock
// is taken while it is held.
type Clients struct {
	httpClient *http.Client

	mu            sync.Mutex
	clientsByAddr map[string]bypeerpb.Peer
}

// NewClients returns Clients that connect to a node on the first call to it.
func NewClients() *Clients {
	return &Clients{httpClient: bywire.NewClient(), clientsByAddr: map[string]bypeerpb.Peer{}}
}

func (c *Clients) clientFor(addr string) bypeerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.clientsByAddr[addr]
	if p == nil {
		p = bypeerpb.NewPeerProtobufClient("http://"+addr, c.httpClient)
		c.clientsByAddr[addr] = p
	}
	return p
}

// ExchangeHeartbeat sends own, the heartbeat of this node, to the node at addr
// and returns the heartbeat of that node.
func (c *Clients) ExchangeHeartbeat(ctx context.Context, addr string, own bymember.Heartbeat) (bymember.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.clientFor(addr).Beat(ctx, heartbeatToProto(own))
	if err != nil {
		return bymember.Heartbeat{}, merry.Prepend(err, "heartbeat to "+addr)
	}
	return heartbeatFromProto(reply), nil
}

// FetchManifest fetches the manifest of the node at addr. It returns ErrNotFound
// if that node has none with a generation above newerThan.
func (c *Clients) FetchManifest(ctx context.Context, addr string, newerThan uint64) (bymanifest.EncodedManifest, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.clientFor(addr).Manifest(ctx, &bypeerpb.ManifestRequest{NewerThan: newerThan})
	if err != nil {
		return bymanifest.EncodedManifest{}, merry.Prepend(err, "manifest from "+addr)
	}
	if !reply.GetFound() {
		return bymanifest.EncodedManifest{}, burdockyard.ErrNotFound
	}
	return bymanifest.EncodedManifest{Pointer: reply.GetPointer(), Sections: reply.GetSections()}, nil
}

// SendManifest sends a newly published manifest to the node at addr, which
// adopts it if it is newer than its own.
func (c *Clients) SendManifest(ctx context.Context, addr string, encoded bymanifest.EncodedManifest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.clientFor(addr).Adopt(ctx, &bypeerpb.ManifestReply{Found: true, Pointer: encoded.Pointer, Sections: encoded.Sections})
	return merry.Prepend(err, "sending the manifest to "+addr)
}

// Status returns the status that the node at addr reports for operators.
func (c *Clients) Status(ctx context.Context, addr string) (*bypeerpb.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.clientFor(addr).Status(ctx, &bypeerpb.StatusRequest{})
	return reply, merry.Prepend(err, "status of "+addr)
}

// Yield implements burdockyard.FormerHolderClient. A refused connection counts
// as yielded, because no process listens at the address any more.
func (c *Clients) Yield(ctx context.Context, m burdockyard.Member, shard burdockyard.ShardID, fence uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.clientFor(m.Addr).Yield(ctx, &bypeerpb.YieldRequest{
		Incarnation: string(m.Incarnation), Shard: string(shard), Fence: fence,
	})
	if bywire.ConnectionRefused(err) {
		return true, nil
	}
	return reply.GetYielded(), merry.Wrap(err)
}

// SendState implements bybooking.ClaimantClient. It returns ErrNotFound if the
// connection is refused or another process runs at the member's address.
func (c *Clients) SendState(ctx context.Context, m burdockyard.Member, attempt string) (bybooking.SendState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.clientFor(m.Addr).SendState(ctx, &bypeerpb.SendStateRequest{
		Attempt: attempt, Incarnation: string(m.Incarnation),
	})
	if err != nil {
		return bybooking.SendUnknown, notFoundIfRefused(err)
	}
	switch reply.GetState() {
	case bypeerpb.SendStateReply_NEVER_SENT:
		return bybooking.NeverSent, nil
	case bypeerpb.SendStateReply_SENDING:
		return bybooking.MayBeSent, nil
	case bypeerpb.SendStateReply_OTHER_PROCESS:
		return bybooking.SendUnknown, burdockyard.ErrNotFound
	default:
		return bybooking.SendUnknown, nil
	}
}

// notFoundIfRefused turns a refused connection into ErrNotFound, because no
// process listens at the address. Other errors are returned wrapped.
func notFoundIfRefused(err error) error {
	if bywire.ConnectionRefused(err) {
		return merry.Prepend(burdockyard.ErrNotFound, err.Error())
	}
	return merry.Wrap(err)
}
