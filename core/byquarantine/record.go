package byquarantine

import (
	"slices"
	"time"
)

// Record is what must outlive all nodes of a key under which several endpoints have ended.
type Record struct {
	Key       Key
	Ends      int // number of ends, and of trials of a request; 0 if the key is free
	LastEnd   time.Time
	LastTrial time.Time // zero if there was none
	// Companions are keys that may be to blame in place of this one, at most MaxCompanions. They
	// are nil if the key is not quarantined or the writer did not know them.
	Companions []Key
	// LastAnswer is the last known answer to a request with the key, before the last end. It is
	// zero if there was none of late, or the writer did not tell.
	LastAnswer time.Time
}

// isVerdict reports whether the key is to be quarantined for the ends of the record.
func (r Record) isVerdict() bool {
	if !r.LastAnswer.IsZero() && r.LastEnd.Sub(r.LastAnswer) < answerMemory {
		return r.Ends >= minEndsAfterAnswer
	}
	return r.Ends >= minEnds
}

// MaxRecords is the largest number of records that may be stored, and MaxSharedRecords of
// those that are not of a request.
const (
	MaxRecords       = maxQuarantined
	MaxSharedRecords = 64
)

// HasLapsed reports whether the record no longer matters.
func (r Record) HasLapsed(now time.Time) bool {
	if !r.isVerdict() {
		return now.Sub(r.LastEnd) >= r.Key.memory()
	}
	return (&verdict{lastEnd: r.LastEnd, lastTrial: r.LastTrial}).hasLapsed(r.Key, now)
}

// LastChange returns the time of the last end or trial.
func (r Record) LastChange() time.Time { return later(r.LastEnd, r.LastTrial) }

// Covers reports whether r has all that other has. Stored times are in milliseconds.
func (r Record) Covers(other Record) bool {
	hasTrial := r.Key.IsRequest() || other.LastTrial.Sub(r.LastTrial) < time.Millisecond
	return r.Ends > other.Ends || r.Ends == other.Ends && hasTrial
}

// namesCompanionsOf reports whether r names the same companions as other, if other names any.
func (r Record) namesCompanionsOf(other Record) bool {
	if other.Companions == nil {
		return true
	}
	return r.Companions != nil && slices.Equal(slices.Sorted(slices.Values(r.Companions)), slices.Sorted(slices.Values(other.Companions)))
}

// Supersedes reports whether r need not be replaced by other in the store. A record of more
// ends names the companions and the last answer as of these.
func (r Record) Supersedes(other Record) bool {
	return r.Covers(other) && (r.Ends > other.Ends || r.namesCompanionsOf(other) && other.LastAnswer.Sub(r.LastAnswer) < time.Millisecond)
}

// known returns the verdict on a key, or the ends that it is to blame for so far. The caller
// must hold mu.
func (q *Quarantine) known(key Key) *verdict {
	if v := q.quarantined[key]; v != nil {
		return v
	}
	last := time.Time{}
	if a := q.lastAnswer(key); a != nil {
		last = a.at
	}
	return q.countEnds(q.ends, key, last)
}

// record returns what is known of a key. The caller must hold mu.
func (q *Quarantine) record(key Key) Record {
	v := q.known(key)
	r := Record{Key: key, Ends: v.ends, LastEnd: v.lastEnd, LastTrial: v.lastTrial}
	if q.quarantined[key] != nil {
		r.Companions = q.mainCompanions(key, v)
	}
	if a := q.lastAnswer(key); a != nil && r.Ends > 0 && a.at.Before(r.LastEnd) {
		r.LastAnswer = a.at
	}
	return r
}

// Unsaved returns the records that are to be written, or removed if they have no ends.
// They remain unsaved until MarkSaved is called.
func (q *Quarantine) Unsaved() []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	var records []Record
	for key := range q.unsaved {
		r := q.record(key)
		if r.Ends < minSuspectEnds {
			r.Ends = 0
		}
		records = append(records, r)
	}
	return records
}

// MarkSaved records that the given records have been written, unless they have changed
// since.
func (q *Quarantine) MarkSaved(records []Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range records {
		current := q.record(r.Key)
		if current.Ends == r.Ends && current.LastTrial.Equal(r.LastTrial) && r.namesCompanionsOf(current) && current.LastAnswer.Equal(r.LastAnswer) || r.Ends == 0 && current.Ends < minSuspectEnds {
			delete(q.unsaved, r.Key)
		}
	}
}

// MarkLost records that the store may have lost what was written, so that all of it is to
// be written again.
func (q *Quarantine) MarkLost() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for key := range q.quarantined {
		q.unsaved[key] = true
	}
	for key, f := range q.formerEnds {
		if f.ends >= minSuspectEnds {
			q.unsaved[key] = true
		}
	}
}

// Record returns what is known of a key.
func (q *Quarantine) Record(key Key) Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.record(key)
}

// addStoredEnds counts as many ends under a key that is not quarantined as a record has. Some of
// them may be remembered one by one. The caller must hold mu.
func (q *Quarantine) addStoredEnds(r Record) {
	if q.quarantined[r.Key] != nil {
		return
	}
	f := q.formerEnds[r.Key]
	f.last = later(f.last, r.LastEnd)
	// The second time, remembered ends up to the last one of the record are among the former
	// ones.
	for range 2 {
		if missing := r.Ends - q.known(r.Key).ends; missing > 0 {
			f.ends += missing
			q.addFormer(r.Key, f)
		}
	}
}

// Load takes stored records.
func (q *Quarantine) Load(records []Record) Change {
	q.mu.Lock()
	defer q.mu.Unlock()
	var c Change
	now := q.clock.Now()
	for _, r := range records {
		if r.HasLapsed(now) {
			continue
		}
		if !r.Key.IsRequest() {
			if a := q.lastAnswer(r.Key); a != nil && a.at.After(r.LastEnd) {
				q.unsaved[r.Key] = true // the node that had the answer did not remove the record
				continue
			}
		}
		if !r.LastAnswer.IsZero() && now.Sub(r.LastAnswer) < answerMemory {
			q.addAnswer(r.Key, r.LastAnswer, &c)
		}
		a := q.lastAnswer(r.Key)
		if a != nil && r.isVerdict() && r.Ends < minEndsAfterAnswer {
			q.unsaved[r.Key] = true // the writer did not know of the answer
			q.announce(r.Key, now)
		}
		if a != nil && r.Ends < minEndsAfterAnswer || !r.isVerdict() {
			if a == nil || a.at.Before(r.LastEnd) {
				q.addStoredEnds(r)
			}
			continue
		}
		told := Verdict{Key: r.Key, Ends: r.Ends, Age: max(now.Sub(r.LastEnd), 0), TrialAge: -1, Companions: r.Companions}
		if !r.LastTrial.IsZero() {
			told.TrialAge = max(now.Sub(r.LastTrial), 0)
		}
		q.mergeVerdict(told, now, FromStore, &c)
	}
	c.Unsaved = len(q.unsaved) > 0
	return c
}
