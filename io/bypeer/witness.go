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
	connectionToProto = map[bywitness.Connection]bypeerpb.Connection{
		bywitness.NoAnswer: bypeerpb.Connection_NO_ANSWER,
		bywitness.Refused:  bypeerpb.Connection_REFUSED,
		bywitness.Accepted: bypeerpb.Connection_ACCEPTED,
	}
)

// connectionFromProto returns the result of a connection that a peer tells. Nodes of earlier
// releases do not tell any.
func connectionFromProto(c bypeerpb.Connection) bywitness.Connection {
	for result, told := range connectionToProto {
		if told == c {
			return result
		}
	}
	return bywitness.NotTold
}

// WitnessClient asks other nodes about endpoints.
type WitnessClient struct{ httpClient *http.Client }

// NewWitnessClient returns a WitnessClient. It opens a connection for each question: they
// are rare, and an idle connection may have died unnoticed.
func NewWitnessClient() WitnessClient {
	return WitnessClient{bywire.LimitReplies(bywire.NewUnpooledClient(), maxPeerReplyBytes)}
}

// Examine asks the node at addr what it finds at an endpoint. Without an answer, the finding
// is Unproved.
func (c WitnessClient) Examine(ctx context.Context, addr string, e burdockyard.Instance) (bywitness.Report, error) {
	witness := bypeerpb.NewWitnessProtobufClient("http://"+addr, c.httpClient)
	reply, err := witness.Examine(ctx, &bypeerpb.ExamineRequest{Endpoint: string(e.ID), BornMs: e.BornMS, Addr: e.Addr})
	report := bywitness.Report{Finding: findingFromProto[reply.GetFinding()], Connection: connectionFromProto(reply.GetConnection())}
	for _, o := range reply.GetOthers() {
		report.Others = append(report.Others, bywitness.Probe{Endpoint: burdockyard.EndpointID(o.GetId()), Result: connectionFromProto(o.GetConnection())})
	}
	return report, merry.Wrap(err)
}

// NewWitnessHandler returns a handler for the questions of other nodes. It calls examine
// with the endpoint in question, of which ID, BornMS and Addr are set.
func NewWitnessHandler(examine func(context.Context, burdockyard.Instance) bywitness.Report) http.Handler {
	return bypeerpb.NewWitnessServer(witnessServer(examine))
}

type witnessServer func(context.Context, burdockyard.Instance) bywitness.Report

// Examine implements bypeerpb.Witness. It calls s with the endpoint that msg names.
func (s witnessServer) Examine(ctx context.Context, msg *bypeerpb.ExamineRequest) (*bypeerpb.ExamineReply, error) {
	e := burdockyard.Instance{ID: burdockyard.EndpointID(msg.GetEndpoint()), BornMS: msg.GetBornMs(), Addr: msg.GetAddr()}
	report := s(ctx, e)
	reply := &bypeerpb.ExamineReply{Finding: findingToProto[report.Finding], Connection: connectionToProto[report.Connection]}
	for _, o := range report.Others {
		reply.Others = append(reply.Others, &bypeerpb.TriedEndpoint{Id: string(o.Endpoint), Connection: connectionToProto[o.Result]})
	}
	return reply, nil
}
