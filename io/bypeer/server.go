package bypeer

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"burdockyard"
	"burdockyard/core/bybooking"
	"burdockyard/core/bydigest"
	"burdockyard/core/byfleet"
	"burdockyard/core/bylimit"
	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
	"burdockyard/core/byreach"
	"burdockyard/core/byusage"
	"burdockyard/core/byversion"
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
		Ready: h.Ready, Capacity: h.Capacity, SplitEra: h.SplitEra, SplitSeq: h.SplitSeq,
		Loads: loadsToProto(h.Loads), Reads: cachedPartsToProto(h.CachedParts),
		ReachedServices: h.Reach.Reached, LostServices: h.Reach.Lost,
		UnixMs: h.UnixMS, Duties: heldDutiesToProto(h.HeldDuties), ChecksKeys: h.ChecksKeys, Stale: h.Stale,
	}
	if !h.Quarantine.IsEmpty() {
		out.Quarantine = quarantineToProto(h.Quarantine)
	}
	out.SuspectedEnds = suspicionsToProto(h.Suspicions)
	for _, s := range h.Limits {
		out.Limits = append(out.Limits, &bypeerpb.LimitStatement{Endpoint: string(s.Endpoint), BornMs: s.BornMS, Named: s.Named, PerSecond: s.PerSecond, AgeMs: s.Age.Milliseconds(), SinceMs: s.Since.Milliseconds()})
	}
	for _, s := range h.StreamStarts {
		out.StreamStarts = append(out.StreamStarts, &bypeerpb.StreamStart{Id: s.ID, Version: s.Version, AgeMs: s.Age.Milliseconds()})
	}
	for _, id := range h.HeldEngines {
		out.Holds = append(out.Holds, string(id))
	}
	for _, e := range h.LeavingEndpoints {
		out.LeavingEndpoints = append(out.LeavingEndpoints, &bypeerpb.LeavingEndpoint{Id: string(e.ID), BornMs: e.BornMS})
	}
	return out
}

func heartbeatFromProto(msg *bypeerpb.Heartbeat) bymember.Heartbeat {
	out := bymember.Heartbeat{
		Member: memberFromProto(msg.GetMember()), CallerAddr: msg.GetCallerAddr(), Domain: msg.GetDomain(),
		Leaving: msg.GetLeaving(), Generation: msg.GetGeneration(), RecentlyConfirmed: msg.GetFresh(), Seq: msg.GetSeq(),
		Ready: msg.GetReady(), Capacity: msg.GetCapacity(), SplitEra: msg.GetSplitEra(), SplitSeq: msg.GetSplitSeq(),
		Loads: loadsFromProto(msg.GetLoads()), CachedParts: cachedPartsFromProto(msg.GetReads()),
		Quarantine: quarantineFromProto(msg.GetQuarantine()), Suspicions: suspicionsFromProto(msg.GetSuspectedEnds()),
		Reach:  byreach.Peer{Reached: msg.GetReachedServices(), Lost: msg.GetLostServices()},
		UnixMS: msg.GetUnixMs(), HeldDuties: heldDutiesFromProto(msg.GetDuties()), ChecksKeys: msg.GetChecksKeys(), Stale: msg.GetStale(),
	}
	for _, s := range msg.GetLimits() {
		out.Limits = append(out.Limits, bylimit.Statement{Endpoint: burdockyard.EndpointID(s.GetEndpoint()), BornMS: s.GetBornMs(), Named: s.GetNamed(), PerSecond: s.GetPerSecond(), Age: millis(s.GetAgeMs()), Since: millis(s.GetSinceMs())})
	}
	for _, s := range msg.GetStreamStarts() {
		out.StreamStarts = append(out.StreamStarts, byversion.Start{ID: s.GetId(), Version: s.GetVersion(), Age: millis(s.GetAgeMs())})
	}
	for _, id := range msg.GetHolds() {
		out.HeldEngines = append(out.HeldEngines, burdockyard.EndpointID(id))
	}
	for _, e := range msg.GetLeavingEndpoints() {
		out.LeavingEndpoints = append(out.LeavingEndpoints, byfleet.LeavingEndpoint{ID: burdockyard.EndpointID(e.GetId()), BornMS: e.GetBornMs()})
	}
	return out
}

func loadsToProto(loads []bymember.Load) []*bypeerpb.Load {
	var out []*bypeerpb.Load
	for _, l := range loads {
		out = append(out, &bypeerpb.Load{
			Engine: string(l.Engine), PrefillTokens: int64(l.PrefillTokens),
			LongTokens: int64(l.LongPromptTokens), Streams: int64(l.Streams), LongStreams: int64(l.LongPromptStreams),
		})
	}
	return out
}

func loadsFromProto(msgs []*bypeerpb.Load) []bymember.Load {
	var out []bymember.Load
	for _, l := range msgs {
		out = append(out, bymember.Load{
			Engine: burdockyard.EndpointID(l.GetEngine()), PrefillTokens: int(l.GetPrefillTokens()),
			LongPromptTokens: int(l.GetLongTokens()), Streams: int(l.GetStreams()), LongPromptStreams: int(l.GetLongStreams()),
		})
	}
	return out
}

func cachedPartsToProto(parts []bymember.CachedPart) []*bypeerpb.Cached {
	var out []*bypeerpb.Cached
	for _, part := range parts {
		out = append(out, &bypeerpb.Cached{Engine: string(part.Engine), Part: part.PartID, Tokens: int64(part.Tokens)})
	}
	return out
}

func cachedPartsFromProto(msgs []*bypeerpb.Cached) []bymember.CachedPart {
	var out []bymember.CachedPart
	for _, part := range msgs {
		out = append(out, bymember.CachedPart{Engine: burdockyard.EndpointID(part.GetEngine()), PartID: part.GetPart(), Tokens: int(part.GetTokens())})
	}
	return out
}

// Datagram is the payload of a datagram: the sender's own heartbeat, and what it passes
// on if it is a relay.
type Datagram struct {
	Heartbeat bymember.Heartbeat
	Relayed   []bymember.Heartbeat // of other nodes
	Alive     []uint64             // bymember.Hash of other nodes
	Digests   []bydigest.Digest

	Confirmations []Confirmation

	DutyReport DutyReport    // for the holder of a duty
	UsageAcks  []byusage.Ack // from the holder of the duty of usage
	AgeQuery   uint64        // nonce of a query for the age of the receiver's copy of the configuration; 0 if there is none
	AgeReply   AgeReply
}

// Aged returns a copy of d that has waited for the given time: all ages in it are of a time
// that much later.
func (d Datagram) Aged(waited time.Duration) Datagram {
	if waited == 0 {
		return d
	}
	d.Heartbeat = d.Heartbeat.Aged(waited)
	d.Relayed, d.Confirmations = slices.Clone(d.Relayed), slices.Clone(d.Confirmations)
	for i := range d.Relayed {
		d.Relayed[i] = d.Relayed[i].Aged(waited)
	}
	for i := range d.Confirmations {
		d.Confirmations[i].Age += waited
	}
	return d
}

// Confirmation tells that one node has read a table and found no change that matters.
type Confirmation struct {
	Table        string
	ChangedSince burdockyard.StoreVersion // version that the receiver's copy must have reached
	Version      burdockyard.StoreVersion // version that the copy then has
	Age          time.Duration            // time since the node sent its request to the store
}

// MarshalDatagram encodes a datagram. Nodes that know no relays read it as the
// heartbeat of its sender.
func MarshalDatagram(d Datagram) ([]byte, error) {
	msg := heartbeatToProto(d.Heartbeat)
	msg.Alive = d.Alive
	for _, h := range d.Relayed {
		msg.Relayed = append(msg.Relayed, heartbeatToProto(h))
	}
	for _, digest := range d.Digests {
		msg.LoadDigests = append(msg.LoadDigests, &bypeerpb.LoadDigest{
			Domain: digest.Domain, Loads: loadsToProto(digest.Loads), Reads: cachedPartsToProto(digest.CachedParts),
		})
	}
	for _, c := range d.Confirmations {
		msg.Confirmations = append(msg.Confirmations, &bypeerpb.Confirmation{
			Table: c.Table, Era: c.Version.Era, After: c.ChangedSince.Number, Version: c.Version.Number, AgeUs: c.Age.Microseconds(),
		})
	}
	addDutiesToProto(msg, d)
	return proto.Marshal(msg)
}

// UnmarshalDatagram decodes a datagram.
func UnmarshalDatagram(data []byte) (Datagram, error) {
	var msg bypeerpb.Heartbeat
	if err := proto.Unmarshal(data, &msg); err != nil {
		return Datagram{}, merry.Prepend(err, "heartbeat")
	}
	d := Datagram{Heartbeat: heartbeatFromProto(&msg), Alive: msg.GetAlive()}
	for _, h := range msg.GetRelayed() {
		d.Relayed = append(d.Relayed, heartbeatFromProto(h))
	}
	for _, digest := range msg.GetLoadDigests() {
		d.Digests = append(d.Digests, bydigest.Digest{
			Domain: digest.GetDomain(), Loads: loadsFromProto(digest.GetLoads()), CachedParts: cachedPartsFromProto(digest.GetReads()),
		})
	}
	for _, c := range msg.GetConfirmations() {
		d.Confirmations = append(d.Confirmations, Confirmation{
			Table: c.GetTable(), Age: time.Duration(c.GetAgeUs()) * time.Microsecond,
			ChangedSince: burdockyard.StoreVersion{Era: c.GetEra(), Number: c.GetAfter()},
			Version:      burdockyard.StoreVersion{Era: c.GetEra(), Number: c.GetVersion()},
		})
	}
	addDutiesFromProto(&d, &msg)
	return d, nil
}

// HeartbeatSize returns the size of an encoded heartbeat in bytes, without HTTP
// headers.
func HeartbeatSize(h bymember.Heartbeat) int { return proto.Size(heartbeatToProto(h)) }
