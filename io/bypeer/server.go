package bypeer

import (
	"context"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"burdockyard"
	"burdockyard/core/bybooking"
	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
	"burdockyard/io/bypeer/bypeerpb"
)

// HandlerConfig holds the components of a node that its peer handler needs.
type HandlerConfig struct {
	Self     burdockyard.Member
	Members  *bymember.View       // receives the heartbeats of peers
	Follower *bymanifest.Follower // serves the node's manifest and adopts newer ones
	Bookings *bybooking.Executor  // knows whether this process sent an attempt

	// YieldLease gives up the shard's lease if it is held under the fence or an
	// older one. It reports whether no order under that lease can be sent any more.
	YieldLease   func(shard burdockyard.ShardID, fence uint64) bool
	OwnHeartbeat func() bymember.Heartbeat    // returns the node's own heartbeat
	Status       func() *bypeerpb.StatusReply // returns the status shown to operators
}

// NewHandler returns the HTTP handler that serves a node's peer address.
func NewHandler(cfg HandlerConfig) http.Handler {
	return bypeerpb.NewPeerServer(&server{cfg: cfg})
}

type server struct{ cfg HandlerConfig }

func (s *server) Beat(_ context.Context, msg *bypeerpb.Heartbeat) (*bypeerpb.Heartbeat, error) {
	s.cfg.Members.RecordHeartbeat(heartbeatFromProto(msg))
	return heartbeatToProto(s.cfg.OwnHeartbeat()), nil
}

func (s *server) Yield(_ context.Context, r *bypeerpb.YieldRequest) (*bypeerpb.YieldReply, error) {
	if r.GetIncarnation() != string(s.cfg.Self.Incarnation) {
		// The process that held the lease has ended; this one runs at its address.
		return &bypeerpb.YieldReply{Yielded: true}, nil
	}
	return &bypeerpb.YieldReply{Yielded: s.cfg.YieldLease(burdockyard.ShardID(r.GetShard()), r.GetFence())}, nil
}

func (s *server) Manifest(_ context.Context, r *bypeerpb.ManifestRequest) (*bypeerpb.ManifestReply, error) {
	encoded, ok := s.cfg.Follower.Encoded()
	if !ok || s.cfg.Follower.Generation() <= r.GetNewerThan() {
		return &bypeerpb.ManifestReply{}, nil
	}
	return &bypeerpb.ManifestReply{Found: true, Pointer: encoded.Pointer, Sections: encoded.Sections}, nil
}

func (s *server) Adopt(ctx context.Context, m *bypeerpb.ManifestReply) (*bypeerpb.AdoptReply, error) {
	err := s.cfg.Follower.AdoptFromPeer(ctx, bymanifest.EncodedManifest{Pointer: m.GetPointer(), Sections: m.GetSections()})
	if err != nil {
		return nil, twirp.InvalidArgumentError("pointer", err.Error())
	}
	return &bypeerpb.AdoptReply{Generation: s.cfg.Follower.Generation()}, nil
}

func (s *server) SendState(_ context.Context, r *bypeerpb.SendStateRequest) (*bypeerpb.SendStateReply, error) {
	if r.GetIncarnation() != string(s.cfg.Self.Incarnation) {
		return &bypeerpb.SendStateReply{State: bypeerpb.SendStateReply_OTHER_PROCESS}, nil
	}
	switch s.cfg.Bookings.LocalSendState(r.GetAttempt()) {
	case bybooking.NeverSent:
		return &bypeerpb.SendStateReply{State: bypeerpb.SendStateReply_NEVER_SENT}, nil
	case bybooking.MayBeSent:
		return &bypeerpb.SendStateReply{State: bypeerpb.SendStateReply_SENDING}, nil
	default:
		return &bypeerpb.SendStateReply{State: bypeerpb.SendStateReply_UNKNOWN}, nil
	}
}

func (s *server) Status(context.Context, *bypeerpb.StatusRequest) (*bypeerpb.StatusReply, error) {
	return s.cfg.Status(), nil
}

func memberToProto(m burdockyard.Member) *bypeerpb.Member {
	return &bypeerpb.Member{Node: string(m.Node), Incarnation: string(m.Incarnation), Addr: m.Addr}
}

func memberFromProto(m *bypeerpb.Member) burdockyard.Member {
	return burdockyard.Member{
		Node:        burdockyard.NodeID(m.GetNode()),
		Incarnation: burdockyard.Incarnation(m.GetIncarnation()),
		Addr:        m.GetAddr(),
	}
}

func heartbeatToProto(h bymember.Heartbeat) *bypeerpb.Heartbeat {
	out := &bypeerpb.Heartbeat{
		Member: memberToProto(h.Member), CallerAddr: h.CallerAddr, Domain: h.Domain,
		Leaving: h.Leaving, Generation: h.Generation, Fresh: h.RecentlyConfirmed, Seq: h.Seq,
		Ready: h.Ready, Capacity: h.Capacity,
	}
	for _, part := range h.CachedParts {
		out.Reads = append(out.Reads, &bypeerpb.Cached{Engine: string(part.Engine), Part: part.PartID, Tokens: int64(part.Tokens)})
	}
	for _, l := range h.Loads {
		out.Loads = append(out.Loads, &bypeerpb.Load{
			Engine: string(l.Engine), PrefillTokens: int64(l.PrefillTokens),
			LongTokens: int64(l.LongPromptTokens), Streams: int64(l.Streams), LongStreams: int64(l.LongPromptStreams),
		})
	}
	for _, id := range h.HeldEngines {
		out.Holds = append(out.Holds, string(id))
	}
	return out
}

func heartbeatFromProto(msg *bypeerpb.Heartbeat) bymember.Heartbeat {
	out := bymember.Heartbeat{
		Member: memberFromProto(msg.GetMember()), CallerAddr: msg.GetCallerAddr(), Domain: msg.GetDomain(),
		Leaving: msg.GetLeaving(), Generation: msg.GetGeneration(), RecentlyConfirmed: msg.GetFresh(), Seq: msg.GetSeq(),
		Ready: msg.GetReady(), Capacity: msg.GetCapacity(),
	}
	for _, part := range msg.GetReads() {
		out.CachedParts = append(out.CachedParts, bymember.CachedPart{Engine: burdockyard.EndpointID(part.GetEngine()), PartID: part.GetPart(), Tokens: int(part.GetTokens())})
	}
	for _, l := range msg.GetLoads() {
		out.Loads = append(out.Loads, bymember.Load{
			Engine: burdockyard.EndpointID(l.GetEngine()), PrefillTokens: int(l.GetPrefillTokens()),
			LongPromptTokens: int(l.GetLongTokens()), Streams: int(l.GetStreams()), LongPromptStreams: int(l.GetLongStreams()),
		})
	}
	for _, id := range msg.GetHolds() {
		out.HeldEngines = append(out.HeldEngines, burdockyard.EndpointID(id))
	}
	return out
}

// MarshalHeartbeat encodes a heartbeat as the payload of a datagram.
func MarshalHeartbeat(h bymember.Heartbeat) ([]byte, error) {
	return proto.Marshal(heartbeatToProto(h))
}

// UnmarshalHeartbeat decodes a heartbeat from the payload of a datagram.
func UnmarshalHeartbeat(data []byte) (bymember.Heartbeat, error) {
	var msg bypeerpb.Heartbeat
	if err := proto.Unmarshal(data, &msg); err != nil {
		return bymember.Heartbeat{}, merry.Prepend(err, "heartbeat")
	}
	return heartbeatFromProto(&msg), nil
}

// HeartbeatSize returns the size of an encoded heartbeat in bytes, without HTTP
// headers.
func HeartbeatSize(h bymember.Heartbeat) int { return proto.Size(heartbeatToProto(h)) }
