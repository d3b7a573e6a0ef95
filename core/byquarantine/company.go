package byquarantine

import (
	"slices"
	"time"
)

// If two keys were in progress at each endpoint that has ended, the ends don't tell which
// of them is to blame, and both are quarantined. They are companions: a request that has
// one of them and not the other tells it, and need not wait long for its trial.
//
// A node computes the companions of a key from the ends that it remembers one by one, and
// from its company: what it knows of earlier ends, or was told with the verdict.

const (
	// MaxCompanions is the largest number of companions of a key that are stored.
	MaxCompanions = 16
	// maxCompanionsTold is the same number for the news.
	maxCompanionsTold = 4
)

// company is what a node knows of the companions of a key from ends that it does not
// remember one by one. The zero value knows nothing.
type company struct {
	known bool
	keys  []Key     // in progress at each of these ends
	until time.Time // the last of them
}

// companions returns the keys that were in progress too at each end under a quarantined key,
// and whether they are known. The caller must hold mu, and must not change the result.
func (q *Quarantine) companions(key Key, v *verdict) (keys []Key, known bool) {
	if v.companionsOf == q.endChanges {
		return v.companions, v.companionsKnown
	}
	keys, known = slices.Clone(v.company.keys), v.company.known
	lastTimes := map[uint64]time.Time{} // by endpoint
	for _, e := range q.ends {
		last, again := lastTimes[e.Endpoint]
		switch {
		case !slices.Contains(e.Keys, key), again && e.at.Sub(last) < sameProcess, v.company.known && e.at.Sub(v.company.until) < sameMoment:
			continue
		}
		lastTimes[e.Endpoint] = e.at
		inProgress := q.keysInProgress(e)
		if !known {
			keys, known = inProgress, true
			continue
		}
		keys = slices.DeleteFunc(keys, func(k Key) bool { return !slices.Contains(inProgress, k) })
	}
	keys = slices.DeleteFunc(keys, func(k Key) bool { return k == key })
	slices.Sort(keys)
	v.companions, v.companionsKnown, v.companionsOf = slices.Compact(keys), known, q.endChanges
	return v.companions, v.companionsKnown
}

// setCompany sets what is known of the companions of a key up to some end. The caller must
// hold mu.
func (v *verdict) setCompany(c company) {
	v.company, v.companionsOf = c, 0
}

// keysInProgress returns the keys of all requests that were in progress when the endpoint
// of e ended. The caller must hold mu.
func (q *Quarantine) keysInProgress(e end) []Key {
	var keys []Key
	for _, other := range q.ends {
		if isTogether(e, other) {
			keys = append(keys, other.Keys...)
		}
	}
	return keys
}

// isCompanion reports whether k, which was in progress at the ends that a quarantined key is
// blamed for, may be to blame in place of it. If a bystander is the first to notice an end,
// a key that it shares with the request to blame may be quarantined alone, and then explains
// all ends. The caller must hold mu.
func (q *Quarantine) isCompanion(k, key Key) bool {
	return q.quarantined[k] != nil || !key.IsRequest() && !k.IsRequest() && q.lastAnswer(k) == nil
}

// mainCompanions returns the companions of a quarantined key that are worth telling, those
// that are quarantined first. It returns nil if they are not known. The caller must hold mu.
func (q *Quarantine) mainCompanions(key Key, v *verdict) []Key {
	keys, known := q.companions(key, v)
	if !known {
		return nil
	}
	main := []Key{}
	for _, k := range keys {
		if q.quarantined[k] != nil {
			main = append(main, k)
		}
	}
	for _, k := range keys {
		// It may be quarantined later, also if key is that of a request.
		if q.quarantined[k] == nil && !k.IsRequest() && q.lastAnswer(k) == nil {
			main = append(main, k)
		}
	}
	return main[:min(len(main), MaxCompanions)]
}

// mergeCompany adds the companions that a record or a peer names for as many ends as v has.
// A node that lacks the news of a request in progress lacks its keys. The caller must hold
// mu.
func (q *Quarantine) mergeCompany(key Key, v *verdict, told company) {
	if !told.known {
		return
	}
	keys, known := q.companions(key, v)
	isNew := func(k Key) bool { return k != key && !slices.Contains(keys, k) }
	if known && !slices.ContainsFunc(told.keys, isNew) {
		return
	}
	v.setCompany(company{true, slices.Concat(keys, told.keys), later(told.until, v.lastEnd)})
}

// keepCompanies keeps the companions of the quarantined keys of an end that is about to be
// forgotten. The caller must hold mu.
func (q *Quarantine) keepCompanies(e end) {
	for _, key := range e.Keys {
		v := q.quarantined[key]
		if v == nil || v.company.known && !e.at.After(v.company.until) {
			continue
		}
		last := e.at
		for _, other := range q.ends {
			if slices.Contains(other.Keys, key) {
				last = later(last, other.at)
			}
		}
		keys, known := q.companions(key, v)
		v.setCompany(company{known, keys, last})
	}
}

// addLateCompanions adds the keys of a request that was in progress at the last end of
// quarantined keys, if this node learns of it only after it has been told their companions.
// It marks the records of these keys as unsaved, as the companions may have changed. The
// caller must hold mu, and e must be among the ends.
func (q *Quarantine) addLateCompanions(e end) {
	var others []Key
	for _, other := range q.ends {
		if isTogether(e, other) && other.Request != e.Request {
			others = append(others, other.Keys...)
		}
	}
	isNew := func(k Key) bool { return !slices.Contains(others, k) }
	if !slices.ContainsFunc(e.Keys, isNew) {
		return
	}
	for key, v := range q.quarantined {
		if !slices.Contains(others, key) || v.lastEnd.Sub(e.at).Abs() >= sameProcess {
			continue
		}
		if v.company.known && e.at.Sub(v.company.until) < sameMoment {
			late := v.company
			late.keys = slices.Clone(late.keys)
			for _, k := range e.Keys {
				if isNew(k) && q.isAtAllEnds(k, key) {
					late.keys = append(late.keys, k)
				}
			}
			v.setCompany(late)
		}
		if q.saves(key, e.own || q.hasOwnEnd(key)) {
			q.unsaved[key] = true
		}
	}
}

// isAtAllEnds reports whether k was in progress at each remembered end under the key. The
// caller must hold mu.
func (q *Quarantine) isAtAllEnds(k, key Key) bool {
	return !slices.ContainsFunc(q.ends, func(e end) bool {
		return slices.Contains(e.Keys, key) && !slices.Contains(q.keysInProgress(e), k)
	})
}

// unsaveCompanionsOf marks the records that name the key as a companion as unsaved. The
// caller must hold mu.
func (q *Quarantine) unsaveCompanionsOf(key Key) {
	for other, v := range q.quarantined {
		if keys, _ := q.companions(other, v); slices.Contains(keys, key) && q.saves(other, q.hasOwnEnd(other)) {
			q.unsaved[other] = true
		}
	}
}

// hasOwnEnd reports whether this node has seen an end under the key. The caller must hold mu.
func (q *Quarantine) hasOwnEnd(key Key) bool {
	return slices.ContainsFunc(q.ends, func(e end) bool { return e.own && slices.Contains(e.Keys, key) })
}
