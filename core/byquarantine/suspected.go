package byquarantine

import (
	"slices"
	"time"
)

// heldRetryDelay is the time after which a held request may come again.
const heldRetryDelay = time.Second

// SetSuspected sets the ends that are suspected but not proved, with their present age. They
// quarantine nothing. But while they are open, a request that would be quarantined if they
// were proved is held: its caller is told to come again. Only the request itself is held, not
// others that share a key with it.
func (q *Quarantine) SetSuspected(ends []End) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(ends)+len(q.suspected) == 0 {
		return
	}
	now := q.clock.Now()
	known := q.suspected
	q.suspected = nil
	for _, e := range ends {
		if contains(q.ends, e) {
			continue // it has been proved meanwhile
		}
		q.suspected = append(q.suspected, end{End: e, at: now.Add(-e.Age)})
	}
	for _, e := range q.suspected {
		if contains(known, e.End) {
			continue
		}
		for _, key := range e.Keys {
			if q.lastAnswer(key) != nil && q.isSuspect(key) {
				q.announce(key, now) // peers that do not know of the answer would hold the request
			}
		}
	}
}

// contains reports whether one of the ends is that of the same process under the same request.
func contains(ends []end, e End) bool {
	return slices.ContainsFunc(ends, func(o end) bool { return o.Request == e.Request && o.Endpoint == e.Endpoint })
}

// suspectedEnds returns the number of ends, proved and suspected, for which a request is held,
// and 0 if it is not held. The caller must hold mu.
func (q *Quarantine) suspectedEnds(keys []Key) int {
	if len(q.suspected) == 0 {
		return 0
	}
	i := slices.IndexFunc(keys, Key.IsRequest)
	if i < 0 {
		return 0
	}
	key := keys[i]
	isSuspected := slices.ContainsFunc(q.suspected, func(e end) bool { return slices.Contains(e.Keys, key) && !contains(q.ends, e.End) })
	if !isSuspected || q.quarantined[key] != nil {
		return 0
	}
	ends := append(slices.Clone(q.ends), q.suspected...)
	slices.SortStableFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	if v := q.judgeKey(ends, key); v != nil {
		return v.ends
	}
	return 0
}

// SuspectedEnds returns the number of ends for which a request with the given keys is held,
// and 0 if it is not held.
func (q *Quarantine) SuspectedEnds(keys []Key) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.suspectedEnds(keys)
}
