package bypeer

import (
	"time"

	"burdockyard"
	"burdockyard/core/bymember"
	"burdockyard/core/byscale"
	"burdockyard/core/byusage"
	"burdockyard/io/bypeer/bypeerpb"
)

// DutyReport is what a node tells the holders of duties.
type DutyReport struct {
	Usage  []byusage.Window
	Demand []byscale.Demand
}

// IsEmpty reports whether there is nothing to tell.
func (r DutyReport) IsEmpty() bool { return len(r.Usage) == 0 && len(r.Demand) == 0 }

// AgeReply answers the query of another node for the age of its copy of a table.
type AgeReply struct {
	Nonce   uint64 // of the query; 0 if the datagram has no reply
	Table   string
	Version burdockyard.StoreVersion // up to which the copy is complete
	Age     time.Duration            // time since the reading was requested from the store
}

func dutyReportToProto(r DutyReport) *bypeerpb.DutyReport {
	if r.IsEmpty() {
		return nil
	}
	out := &bypeerpb.DutyReport{}
	for _, w := range r.Usage {
		msg := &bypeerpb.UsageWindow{Window: w.Number}
		for workspace, begun := range w.Begun {
			msg.Counts = append(msg.Counts, &bypeerpb.WorkspaceCount{Workspace: workspace, Begun: begun})
		}
		out.Usage = append(out.Usage, msg)
	}
	for _, d := range r.Demand {
		out.Demand = append(out.Demand, &bypeerpb.ServiceDemand{
			Service: d.Service, Requests: d.Requests, PromptTokens: d.PromptTokens, CachedTokens: d.CachedTokens,
			OutputTokens: d.OutputTokens, PrefillUs: d.PrefillTime.Microseconds(), DecodeUs: d.DecodeTime.Microseconds(),
		})
	}
	return out
}

func dutyReportFromProto(msg *bypeerpb.DutyReport) DutyReport {
	var r DutyReport
	for _, w := range msg.GetUsage() {
		window := byusage.Window{Number: w.GetWindow(), Begun: map[string]int64{}}
		for _, c := range w.GetCounts() {
			window.Begun[c.GetWorkspace()] = c.GetBegun()
		}
		r.Usage = append(r.Usage, window)
	}
	for _, d := range msg.GetDemand() {
		r.Demand = append(r.Demand, byscale.Demand{
			Service: d.GetService(), Requests: d.GetRequests(), PromptTokens: d.GetPromptTokens(), CachedTokens: d.GetCachedTokens(),
			OutputTokens: d.GetOutputTokens(), PrefillTime: time.Duration(d.GetPrefillUs()) * time.Microsecond,
			DecodeTime: time.Duration(d.GetDecodeUs()) * time.Microsecond,
		})
	}
	return r
}

// addDutiesToProto adds to msg what d tells of duties and of the age of tables.
func addDutiesToProto(msg *bypeerpb.Heartbeat, d Datagram) {
	msg.DutyReport = dutyReportToProto(d.DutyReport)
	for _, a := range d.UsageAcks {
		msg.UsageAcks = append(msg.UsageAcks, &bypeerpb.UsageAck{Window: a.Window, Reported: a.Reported})
	}
	if d.AgeQuery != 0 {
		msg.AgeQuery = &bypeerpb.AgeQuery{Nonce: d.AgeQuery}
	}
	if r := d.AgeReply; r.Nonce != 0 {
		msg.AgeReply = &bypeerpb.AgeReply{Nonce: r.Nonce, Table: r.Table, Era: r.Version.Era, Version: r.Version.Number, AgeUs: r.Age.Microseconds()}
	}
}

// addDutiesFromProto sets in d what msg tells of duties and of the age of tables.
func addDutiesFromProto(d *Datagram, msg *bypeerpb.Heartbeat) {
	d.DutyReport = dutyReportFromProto(msg.GetDutyReport())
	for _, a := range msg.GetUsageAcks() {
		d.UsageAcks = append(d.UsageAcks, byusage.Ack{Window: a.GetWindow(), Reported: a.GetReported()})
	}
	d.AgeQuery = msg.GetAgeQuery().GetNonce()
	if r := msg.GetAgeReply(); r != nil {
		d.AgeReply = AgeReply{
			Nonce: r.GetNonce(), Table: r.GetTable(), Version: burdockyard.StoreVersion{Era: r.GetEra(), Number: r.GetVersion()},
			Age: time.Duration(r.GetAgeUs()) * time.Microsecond,
		}
	}
}

func heldDutiesToProto(duties []bymember.HeldDuty) []*bypeerpb.HeldDuty {
	var out []*bypeerpb.HeldDuty
	for _, d := range duties {
		out = append(out, &bypeerpb.HeldDuty{Duty: string(d.Duty), Fence: d.Fence})
	}
	return out
}

func heldDutiesFromProto(msgs []*bypeerpb.HeldDuty) []bymember.HeldDuty {
	var out []bymember.HeldDuty
	for _, d := range msgs {
		out = append(out, bymember.HeldDuty{Duty: burdockyard.Duty(d.GetDuty()), Fence: d.GetFence()})
	}
	return out
}
