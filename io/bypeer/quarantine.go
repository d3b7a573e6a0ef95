package bypeer

import (
	"time"

	"burdockyard"
	"burdockyard/core/byquarantine"
	"burdockyard/core/bysuspect"
	"burdockyard/io/bypeer/bypeerpb"
)

func quarantineToProto(n byquarantine.News) *bypeerpb.QuarantineNews {
	out := &bypeerpb.QuarantineNews{Answers: eventsToProto(n.Answers), Trials: eventsToProto(n.Trials)}
	for _, e := range n.Ends {
		out.Ends = append(out.Ends, endToProto(e))
	}
	for _, v := range n.Quarantined {
		trialAge := int64(-1)
		if v.TrialAge >= 0 {
			trialAge = v.TrialAge.Milliseconds()
		}
		out.Quarantined = append(out.Quarantined, &bypeerpb.QuarantinedKey{
			Key: uint64(v.Key), Ends: int64(v.Ends), AgeMs: v.Age.Milliseconds(), TrialAgeMs: trialAge,
			Companions: convert[uint64](v.Companions), KnowsCompanions: v.Companions != nil,
		})
	}
	return out
}

func quarantineFromProto(msg *bypeerpb.QuarantineNews) byquarantine.News {
	n := byquarantine.News{Answers: eventsFromProto(msg.GetAnswers()), Trials: eventsFromProto(msg.GetTrials())}
	for _, e := range msg.GetEnds() {
		n.Ends = append(n.Ends, endFromProto(e))
	}
	for _, v := range msg.GetQuarantined() {
		trialAge := time.Duration(-1)
		if v.GetTrialAgeMs() >= 0 {
			trialAge = millis(v.GetTrialAgeMs())
		}
		told := byquarantine.Verdict{Key: byquarantine.Key(v.GetKey()), Ends: int(v.GetEnds()), Age: millis(v.GetAgeMs()), TrialAge: trialAge}
		if v.GetKnowsCompanions() {
			told.Companions = append([]byquarantine.Key{}, convert[byquarantine.Key](v.GetCompanions())...)
		}
		n.Quarantined = append(n.Quarantined, told)
	}
	return n
}

func endToProto(e byquarantine.End) *bypeerpb.EndpointEnd {
	return &bypeerpb.EndpointEnd{Request: e.Request, Endpoint: e.Endpoint, Keys: convert[uint64](e.Keys), AgeMs: e.Age.Milliseconds()}
}

func endFromProto(msg *bypeerpb.EndpointEnd) byquarantine.End {
	return byquarantine.End{Request: msg.GetRequest(), Endpoint: msg.GetEndpoint(), Keys: convert[byquarantine.Key](msg.GetKeys()), Age: millis(msg.GetAgeMs())}
}

func suspicionsToProto(all []bysuspect.Suspicion) []*bypeerpb.SuspectedEnd {
	var out []*bypeerpb.SuspectedEnd
	for _, s := range all {
		msg := &bypeerpb.SuspectedEnd{Process: processToProto(s.Process), End: endToProto(s.End), Doubted: s.Doubted}
		for _, p := range s.Refused {
			msg.Refused = append(msg.Refused, processToProto(p))
		}
		out = append(out, msg)
	}
	return out
}

func suspicionsFromProto(msgs []*bypeerpb.SuspectedEnd) []bysuspect.Suspicion {
	var out []bysuspect.Suspicion
	for _, msg := range msgs {
		s := bysuspect.Suspicion{Process: processFromProto(msg.GetProcess()), End: endFromProto(msg.GetEnd()), Doubted: msg.GetDoubted()}
		for _, p := range msg.GetRefused() {
			s.Refused = append(s.Refused, processFromProto(p))
		}
		out = append(out, s)
	}
	return out
}

func processToProto(p bysuspect.Process) *bypeerpb.EndpointProcess {
	return &bypeerpb.EndpointProcess{Id: string(p.ID), BornMs: p.BornMS, Addr: p.Addr}
}

func processFromProto(msg *bypeerpb.EndpointProcess) bysuspect.Process {
	return bysuspect.Process{ID: burdockyard.EndpointID(msg.GetId()), BornMS: msg.GetBornMs(), Addr: msg.GetAddr()}
}

func eventsToProto(events []byquarantine.Event) []*bypeerpb.KeyEvent {
	var out []*bypeerpb.KeyEvent
	for _, e := range events {
		out = append(out, &bypeerpb.KeyEvent{Key: uint64(e.Key), AgeMs: e.Age.Milliseconds()})
	}
	return out
}

func eventsFromProto(msgs []*bypeerpb.KeyEvent) []byquarantine.Event {
	var out []byquarantine.Event
	for _, e := range msgs {
		out = append(out, byquarantine.Event{Key: byquarantine.Key(e.GetKey()), Age: millis(e.GetAgeMs())})
	}
	return out
}

// convert converts keys from one type to another.
func convert[To, From ~uint64](keys []From) []To {
	var out []To
	for _, key := range keys {
		out = append(out, To(key))
	}
	return out
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
