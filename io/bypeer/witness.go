package bypeer

import (
	"context"
	"net/http"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/core/bywitness"
	"burdockyard/io/bypeer/bypeerpb"
	"burdockyard/io/bywire"
)

var (
	findingToProto = map[bywitness.Finding]bypeerpb.ExamineReply_Finding{
		bywitness.Unproved: bypeerpb.ExamineReply_UNPROVED,
		bywitness.Ended:    bypeerpb.ExamineReply_ENDED,
		bywitness.Alive:    bypeerpb.ExamineReply_ALIVE,
	}
	findingFromProto = map[bypeerpb.ExamineReply_Finding]bywitness.Finding{
		bypeerpb.ExamineReply_ENDED: bywitness.Ended,
		bypeerpb.ExamineReply_ALIVE: bywitness.Alive,
	}
)

// WitnessClient asks other nodes about endpoints.
type WitnessClient struct{ httpClient *http.Client }

// NewWitnessClient returns a WitnessClient. It opens a connection for each question: they
// are rare, and an idle connection may have died unnoticed.
func NewWitnessClient() WitnessClient {
	return WitnessClient{bywire.LimitReplies(bywire.NewUnpooledClient(), maxPeerReplyBytes)}
}

// Examine asks the node at addr what it finds at an endpoint. Without an answer, the finding
// is Unproved.
func (c WitnessClient) Examine(ctx context.Context, addr string, e burdockyard.Instance) (bywitness.Finding, error) {
	witness := bypeerpb.NewWitnessProtobufClient("http://"+addr, c.httpClient)
	reply, err := witness.Examine(ctx, &bypeerpb.ExamineRequest{Endpoint: string(e.ID), BornMs: e.BornMS, Addr: e.Addr})
	return findingFromProto[reply.GetFinding()], merry.Wrap(err)
}

// NewWitnessHandler returns a handler for the questions of other nodes. It calls examine
// with the endpoint in question, of which ID, BornMS and Addr are set.
func NewWitnessHandler(examine func(context.Context, burdockyard.Instance) bywitness.Finding) http.Handler {
	return bypeerpb.NewWitnessServer(witnessServer(examine))
}

type witnessServer func(context.Context, burdockyard.Instance) bywitness.Finding

// Examine implements bypeerpb.Witness. It calls s with the endpoint that msg names.
func (s witnessServer) Examine(ctx context.Context, msg *bypeerpb.ExamineRequest) (*bypeerpb.ExamineReply, error) {
	e := burdockyard.Instance{ID: burdockyard.EndpointID(msg.GetEndpoint()), BornMS: msg.GetBornMs(), Addr: msg.GetAddr()}
	return &bypeerpb.ExamineReply{Finding: findingToProto[s(ctx, e)]}, nil
}
