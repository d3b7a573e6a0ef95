package byroutes

import (
	"sync"
	"time"
)

// Lag notices that a node goes by an older configuration than its peers. The node first reads
// what has changed in the store, as it would have done later. If that does not bring the newer
// configuration, its copy lacks a change that it counts as known, and it reads all. The zero
// value is ready for use; its methods may be called from several goroutines.
type Lag struct {
	mu       sync.Mutex
	own      uint64 // version that the node goes by
	since    time.Time
	newest   uint64 // version that a peer has gone by since then
	polled   uint64 // newest version for which the node has read the changes
	searched uint64 // newest version for which the node has read the whole table
}

// Hear records that a peer goes by a version, while the node goes by own. It reports whether
// that is news to a node that may have to read.
func (l *Lag) Hear(version, own uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= own {
		return false
	}
	if l.own != own || l.newest <= own {
		l.own, l.since, l.newest = own, now, version
		return true
	}
	isNews := version > l.newest
	l.newest = max(l.newest, version)
	return isNews
}

// IsBehind reports whether a peer goes by a newer version than own.
func (l *Lag) IsBehind(own uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own == own && l.newest > own
}

// PollDue returns the time until a node that goes by own must read the changes, which is the
// given time after it has heard of a newer version. It returns false if it need not.
func (l *Lag) PollDue(own uint64, now time.Time, after time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.due(l.polled, own, now, after)
}

// SearchDue returns the time until a node that goes by own must read the whole table, as PollDue
// does for the changes.
func (l *Lag) SearchDue(own uint64, now time.Time, after time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.due(l.searched, own, now, after)
}

// due returns the time until a node must read for want of versions after done.
func (l *Lag) due(done, own uint64, now time.Time, after time.Duration) (time.Duration, bool) {
	return after - now.Sub(l.since), l.own == own && l.newest > max(own, done)
}

// RecordPoll records that the node has read the changes. It does so early once for each
// version, as a store that was restored may have lost it.
func (l *Lag) RecordPoll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polled = max(l.polled, l.newest)
}

// RecordSearch records that the node has read the whole table, once for each version.
func (l *Lag) RecordSearch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.searched = max(l.searched, l.newest)
}
