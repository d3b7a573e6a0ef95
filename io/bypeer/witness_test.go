package bypeer

import (
	"context"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"burdockyard"
	"burdockyard/core/bywitness"
	"burdockyard/io/bypeer/bypeerpb"
)

// TestReportOfWitnessArrivesUnchanged guards against findings that change on their way, and
// against a finding of an earlier release that looks like one without an answer.
func TestReportOfWitnessArrivesUnchanged(t *testing.T) {
	full := bywitness.Report{Connection: bywitness.Refused, Others: []bywitness.Probe{{Endpoint: "i-1", Result: bywitness.NoAnswer}, {Endpoint: "i-2", Result: bywitness.Accepted}}}
	for _, tt := range []struct {
		name     string
		reply    *bypeerpb.ExamineReply // of an earlier release; nil: of this one
		examined bywitness.Report
		want     bywitness.Report
	}{
		{"this release", nil, full, full},
		{"earlier release", &bypeerpb.ExamineReply{Finding: bypeerpb.ExamineReply_ENDED}, bywitness.Report{}, bywitness.Report{Finding: bywitness.Ended, Connection: bywitness.NotTold}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := NewWitnessHandler(func(context.Context, burdockyard.Instance) bywitness.Report { return tt.examined })
			if tt.reply != nil {
				h = bypeerpb.NewWitnessServer(fixedReply{tt.reply})
			}
			srv := httptest.NewServer(h)
			defer srv.Close()
			got, err := NewWitnessClient().Examine(t.Context(), strings.TrimPrefix(srv.URL, "http://"), burdockyard.Instance{ID: "i-0"})
			if err != nil || !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got report %+v, error %v; want %+v", got, err, tt.want)
			}
		})
	}
}

// fixedReply is a Witness that always replies the same.
type fixedReply struct{ reply *bypeerpb.ExamineReply }

func (f fixedReply) Examine(context.Context, *bypeerpb.ExamineRequest) (*bypeerpb.ExamineReply, error) {
	return f.reply, nil
}
