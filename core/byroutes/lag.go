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

// Hear records that a peer goes by a version, while the node goes by own.
func (l *Lag) Hear(version, own uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= own {
		return
	}
	if l.own != own || l.newest <= own {
		l.own, l.since, l.newest = own, now, version
	}
	l.newest = max(l.newest, version)
}

// PollDue returns the time until a node that goes by own must read the changes, which is the
// given time after it has heard of a newer version. It returns false if it need not.
func (l *Lag) PollDue(own uint64, now time.Time, after time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own != own || l.newest <= max(own, l.polled) {
		return 0, false
	}
	return after - now.Sub(l.since), true
}

// RecordPoll records that the node has read the changes. It does so early once for each
// version, as a store that was restored may have lost it.
func (l *Lag) RecordPoll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polled = max(l.polled, l.newest)
}

// IsOverdue reports whether the node, which goes by own, has heard of a newer version for at
// least the given time, and has not read the whole table for it.
func (l *Lag) IsOverdue(own uint64, now time.Time, after time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own == own && l.newest > max(own, l.searched) && now.Sub(l.since) >= after
}

// RecordSearch records that the node has read the whole table, once for each version.
func (l *Lag) RecordSearch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.searched = max(l.searched, l.newest)
}
