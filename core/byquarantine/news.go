package byquarantine

import (
	"cmp"
	"slices"
	"time"
)

// End is the end of an endpoint's process under a request whose answer had not begun.
type End struct {
	Request  uint64        // hash of the request's ID
	Endpoint uint64        // hash of the endpoint and the start of its process
	Keys     []Key         // keys of the request
	Age      time.Duration // time since the end
}

// Event is something that has happened to requests with a key.
type Event struct {
	Key Key
	Age time.Duration // time since the event
}

// Verdict is a quarantined key.
type Verdict struct {
	Key      Key
	Ends     int           // number of ends that the key is blamed for
	Age      time.Duration // time since the last one
	TrialAge time.Duration // time since the last trial; negative if there was none
	// Companions are keys that may be to blame in place of this one. They are nil if the node
	// that tells does not know them.
	Companions []Key
}

// News is what a node tells its peers.
type News struct {
	Ends        []End   // lately seen by the node
	Answers     []Event // answers that have begun to requests with suspect keys
	Trials      []Event // trials that the node has lately made
	Quarantined []Verdict
}

// The largest numbers of items in one News. A relay passes on the news of 30 nodes in one
// datagram. The latest items are told; older ones were told before.
const (
	maxEndsTold     = 12
	maxEventsTold   = 16
	maxVerdictsTold = 16
)

// IsEmpty reports whether there is nothing to tell.
func (n News) IsEmpty() bool {
	return len(n.Ends)+len(n.Answers)+len(n.Trials)+len(n.Quarantined) == 0
}

// Aged returns a copy of n as of a time d later.
func (n News) Aged(d time.Duration) News {
	if n.IsEmpty() {
		return n
	}
	n.Ends, n.Answers, n.Trials, n.Quarantined = slices.Clone(n.Ends), slices.Clone(n.Answers), slices.Clone(n.Trials), slices.Clone(n.Quarantined)
	for i := range n.Ends {
		n.Ends[i].Age += d
	}
	for _, events := range [][]Event{n.Answers, n.Trials} {
		for i := range events {
			events[i].Age += d
		}
	}
	for i := range n.Quarantined {
		n.Quarantined[i].Age += d
		if n.Quarantined[i].TrialAge >= 0 {
			n.Quarantined[i].TrialAge += d
		}
	}
	return n
}

// IsNewsAfter reports whether n has an end, an answer or a trial that the older News of
// the same node lacks. Quarantined keys follow from these and may arrive later.
func (n News) IsNewsAfter(older News) bool {
	for _, e := range n.Ends {
		if !slices.ContainsFunc(older.Ends, func(o End) bool { return o.Request == e.Request && o.Endpoint == e.Endpoint }) {
			return true
		}
	}
	return hasNewKey(n.Answers, older.Answers) || hasNewKey(n.Trials, older.Trials)
}

func hasNewKey(events, older []Event) bool {
	return slices.ContainsFunc(events, func(e Event) bool {
		return !slices.ContainsFunc(older, func(o Event) bool { return o.Key == e.Key })
	})
}

// News returns what this node has to tell its peers now.
func (q *Quarantine) News() News {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.ends)+len(q.quarantined)+len(q.own.answers)+len(q.own.trials) == 0 {
		return News{}
	}
	q.expire()
	now := q.clock.Now()
	var n News
	for _, e := range q.ends {
		if e.own && now.Sub(e.since) < newsTime {
			told := e.End
			told.Age = now.Sub(e.at)
			n.Ends = append(n.Ends, told)
		}
	}
	n.Ends = q.selectEnds(n.Ends)
	for key, from := range q.own.answers {
		a := q.lastAnswer(key)
		switch {
		case a == nil || now.Sub(from) >= endMemory:
			delete(q.own.answers, key)
		case !now.Before(from) && now.Sub(from) < newsTime:
			n.Answers = append(n.Answers, Event{key, now.Sub(a.at)})
		}
	}
	for key, at := range q.own.trials {
		if now.Sub(at) >= newsTime {
			delete(q.own.trials, key)
		} else {
			n.Trials = append(n.Trials, Event{key, now.Sub(at)})
		}
	}
	for key, v := range q.quarantined {
		told := Verdict{Key: key, Ends: v.ends, Age: now.Sub(v.lastEnd), TrialAge: -1}
		if !v.lastTrial.IsZero() {
			told.TrialAge = now.Sub(v.lastTrial)
		}
		n.Quarantined = append(n.Quarantined, told)
	}
	for _, events := range []*[]Event{&n.Answers, &n.Trials} {
		slices.SortFunc(*events, func(a, b Event) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key)) })
		*events = (*events)[:min(len(*events), maxEventsTold)]
	}
	slices.SortFunc(n.Quarantined, func(a, b Verdict) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key)) })
	n.Quarantined = n.Quarantined[:min(len(n.Quarantined), maxVerdictsTold)]
	for i := range n.Quarantined {
		v := &n.Quarantined[i]
		v.Companions = q.mainCompanions(v.Key, q.quarantined[v.Key])
		v.Companions = v.Companions[:min(len(v.Companions), maxCompanionsTold)]
	}
	return n
}

// selectEnds returns as many of the ends as one News may hold. When an engine ends, many
// requests break at once, and one that is to blame must not be left out each time: news
// take turns. The caller must hold mu.
func (q *Quarantine) selectEnds(ends []End) []End {
	if len(ends) <= maxEndsTold {
		return ends
	}
	var told []End
	for i := range maxEndsTold {
		told = append(told, ends[(q.endsTold+i)%len(ends)])
	}
	q.endsTold += maxEndsTold
	return told
}

// Merge applies what a peer tells.
func (q *Quarantine) Merge(n News) Change {
	var c Change
	if n.IsEmpty() {
		return c
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, a := range n.Answers {
		if q.addAnswer(a.Key, now.Add(-a.Age), &c) && q.saves(a.Key, false) {
			q.unsaved[a.Key] = true
		}
		if from, ok := q.own.answers[a.Key]; !ok || now.Before(from) {
			q.own.answers[a.Key] = now.Add(-newsTime) // the peer was faster
		}
	}
	for _, e := range n.Ends {
		if e.Age < endMemory {
			q.addEnd(end{End: e, at: now.Add(-e.Age)}, &c)
		}
	}
	for _, v := range n.Quarantined {
		q.mergeVerdict(v, now, FromPeer, &c)
	}
	for _, t := range n.Trials {
		if v := q.quarantined[t.Key]; v != nil {
			v.mergeTrial(now.Add(-t.Age))
		}
	}
	c.Unsaved = len(q.unsaved) > 0
	return c
}

// mergeVerdict applies a verdict of a peer or of the store. An age that a peer tells lacks
// the time for which the news travelled, so the same end or trial seems later at each node
// that passes it on. It must not put off the next trial. The caller must hold mu.
func (q *Quarantine) mergeVerdict(told Verdict, now time.Time, source Source, c *Change) {
	merged := &verdict{ends: told.Ends, lastEnd: now.Add(-told.Age)}
	merged.company = company{told.Companions != nil, told.Companions[:min(len(told.Companions), MaxCompanions)], merged.lastEnd}
	if told.TrialAge >= 0 {
		merged.lastTrial = now.Add(-told.TrialAge)
	}
	if merged.hasLapsed(told.Key, now) {
		return
	}
	known := q.quarantined[told.Key]
	if known != nil {
		switch {
		case merged.ends > known.ends:
			known.ends, known.lastEnd = merged.ends, later(known.lastEnd, merged.lastEnd)
			if merged.company.known {
				known.setCompany(merged.company)
			}
		case merged.ends == known.ends:
			q.mergeCompany(told.Key, known, merged.company)
		}
		known.mergeTrial(merged.lastTrial)
		return
	}
	if a := q.lastAnswer(told.Key); a != nil && (told.Ends < minEndsAfterAnswer || a.at.After(merged.lastEnd)) {
		if now.Sub(q.own.answers[told.Key]) >= newsTime {
			delete(q.own.answers, told.Key)
		}
		q.announce(told.Key, now) // the peer does not know of the answer
		return
	}
	q.quarantine(told.Key, merged, source)
	c.Quarantined = append(c.Quarantined, told.Key)
}

// mergeTrial applies the time of a trial that a peer tells of. Trials of one key are at
// least separateTrialDelay apart, so one that seems later by less is the known one.
func (v *verdict) mergeTrial(at time.Time) {
	if at.Sub(v.lastTrial) >= separateTrialDelay {
		v.lastTrial = at
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
