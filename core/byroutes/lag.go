package byroutes

import (
	"sync"
	"time"
)

// Lag notices that a node lacks a configuration: peers go by a newer one for longer than a
// node takes to read it. The zero value is ready for use; its methods may be called from
// several goroutines.
type Lag struct {
	mu       sync.Mutex
	own      uint64 // version that the node goes by
	since    time.Time
	newest   uint64 // version that a peer has gone by since then
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

// IsOverdue reports whether the node, which goes by own, has heard of a newer version for at
// least the given time, and has not read the whole table for it.
func (l *Lag) IsOverdue(own uint64, now time.Time, after time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own == own && l.newest > max(own, l.searched) && now.Sub(l.since) >= after
}

// RecordSearch records that the node has read the whole table. It is searched once for each
// version, as a store that was restored may have lost it.
func (l *Lag) RecordSearch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.searched = max(l.searched, l.newest)
}
