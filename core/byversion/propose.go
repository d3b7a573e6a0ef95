package byversion

import (
	"slices"
	"time"
)

// Propose returns the record that should replace the present one in the store, and false
// if it should stay. capacity holds the number of endpoints that accept new streams, by
// service and version, and lifetimes how long after its first event a stream of a service
// may be taken up.
//
// Several nodes may propose at the same time. The write must be conditional on the row
// that was last read, so that only one of them succeeds.
func (t *Table) Propose(capacity map[string]map[string]int, lifetimes map[string]time.Duration) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNewEra := t.known && t.record.Era != t.storeEra
	if t.confirmedAt.IsZero() || !t.hasNewest() && !isNewEra {
		return Record{}, false
	}
	r := t.record.clone()
	r.Seq, r.Era = t.record.Seq+1, t.storeEra
	changed := isNewEra
	for service, endpoints := range capacity {
		s, ok := r.Services[service]
		wanted := SplitByCapacity(endpoints)
		next, serviceChanged := s, false
		// After a restore of the store, records that nodes knew may be lost, and with them
		// splits under which streams have begun. Where there was no record at all, streams
		// may have begun at any version, also at one that has left since.
		hasUnknown := t.restored || isNewEra && !t.hasNewest() || !t.known && !t.firstStart
		switch {
		case !ok && wanted.IsZero():
			continue
		case !ok:
			// No node begins streams of a service without a split, so the first one is
			// active at once.
			next, serviceChanged = State{Active: wanted}, true
		default:
			next, serviceChanged = t.proposeState(service, s, wanted, lifetimes[service], r.Seq)
		}
		if hasUnknown {
			next.UnknownSince, serviceChanged = r.Seq, true
		}
		if serviceChanged {
			r.Services[service] = next
			changed = true
		}
	}
	return r, changed
}

// proposeState returns the next state of a service that has one. The caller must hold mu.
func (t *Table) proposeState(service string, s State, wanted Split, lifetime time.Duration, seq uint64) (State, bool) {
	now := t.clock.Now()
	changed := false
	// A node may use a split for maxAge after it was replaced, and a stream lasts for a
	// lifetime after that.
	retention := t.maxAge() + lifetime + transitMargin
	hasLapsed := func(number uint64) bool {
		at, ok := t.firstSeen[number]
		return ok && now.Sub(at) >= retention
	}
	formers := slices.DeleteFunc(s.Formers, func(f Former) bool { return hasLapsed(f.RetiredBy) })
	if len(formers) != len(s.Formers) {
		s.Formers, changed = formers, true
	}
	if s.UnknownSince > 0 && hasLapsed(s.UnknownSince) {
		s.UnknownSince, changed = 0, true
	}
	if !s.Next.IsZero() {
		if t.isKnownToAll(s.NextSince) {
			s.Formers = append(s.Formers, Former{Split: s.Active, RetiredBy: seq})
			s.Active, s.Next, s.NextSince, changed = s.Next, Split{}, 0, true
		} else if !wanted.IsZero() && s.Next.lacks(wanted) {
			// A version of the next split has left. No stream has begun under it yet.
			s.Next, s.NextSince, changed = wanted, seq, true
		}
		return s, changed
	}
	if wanted.IsZero() || !s.Active.differsFrom(wanted) {
		delete(t.differsFrom, service)
		return s, changed
	}
	since, ok := t.differsFrom[service]
	if !ok {
		t.differsFrom[service] = now
		return s, changed
	}
	if now.Sub(since) >= settleTime && len(s.Formers) < maxFormers {
		delete(t.differsFrom, service)
		s.Next, s.NextSince, changed = wanted, seq, true
	}
	return s, changed
}
