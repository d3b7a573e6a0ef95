package byquarantine

import "time"

// Source is where a node has a verdict from.
type Source string

const (
	FromEnds  Source = "ends"  // the node has judged by the ends that it knows
	FromPeer  Source = "peer"  // a peer has told of the verdict
	FromStore Source = "store" // it was stored
)

// Kind returns what the key stands for: "request", "path" or "part".
func (k Key) Kind() string {
	switch {
	case k.IsRequest():
		return "request"
	case k&pathBit != 0:
		return "path"
	}
	return "part"
}

// Reason is why requests with a key are refused. Ages are negative if there was none.
type Reason struct {
	Key        Key
	Ends       int // number of ends that the key is blamed for
	EndAge     time.Duration
	TrialAge   time.Duration
	AnswerAge  time.Duration // since the last known answer
	Source     Source
	Age        time.Duration // since this node has the verdict
	Companions []Key         // keys that may be to blame in its place; nil if not known
	Wait       time.Duration // until this node may try a request with the keys
}

// Explain returns why requests with the given keys are refused: of those that are
// quarantined, the one that has to wait the longest. It returns false if none is.
func (q *Quarantine) Explain(keys []Key) (Reason, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	var reason Reason
	found := false
	for _, key := range keys {
		v := q.quarantined[key]
		if v == nil {
			continue
		}
		wait := q.trialTime(key, v, keys).Sub(now)
		if found && wait <= reason.Wait {
			continue
		}
		found = true
		reason = Reason{
			Key: key, Ends: v.ends, EndAge: now.Sub(v.lastEnd), TrialAge: -1, AnswerAge: -1,
			Source: v.source, Age: now.Sub(v.since), Companions: q.mainCompanions(key, v), Wait: wait,
		}
		if !v.lastTrial.IsZero() {
			reason.TrialAge = now.Sub(v.lastTrial)
		}
		if a := q.lastAnswer(key); a != nil {
			reason.AnswerAge = now.Sub(a.at)
		}
	}
	return reason, found
}
