// Package bymirror maintains a local replica of one table of the platform's store,
// from the node's own reads of the store and from reads that peers relay.
//
// # Usage
//
//	m := bymirror.New()
//	d := m.ApplyScan(rows, version)              // after a scan
//	d, ok := m.ApplyChanges(changes, from, to)   // after a read of changes
//	if !ok { … scan the whole table … }
//
// Reads reach a node over several paths and in any order. Each row carries the
// version of its last change, so that an older row never replaces a newer one.
package bymirror

import (
	"sync"

	"burdockyard"
)

// Delta is the set of rows that a read added, changed or removed in the replica.
type Delta struct {
	Changed []burdockyard.Row
	Removed []string // keys of the removed rows
}

// Mirror is the replica of one table. It is safe for concurrent use; no other lock
// is acquired while mu is held.
type Mirror struct {
	mu         sync.Mutex
	rows       map[string]burdockyard.Row
	tombstones map[string]uint64 // version of the removal, by key of the removed row
	version    uint64
}

// maxTombstones is the largest number of tombstones kept; beyond it all are
// discarded. Only a read older than all of them could then bring a removed row
// back.
const maxTombstones = 4096

// New returns an empty Mirror.
func New() *Mirror {
	return &Mirror{rows: map[string]burdockyard.Row{}, tombstones: map[string]uint64{}}
}

// Version returns the store version up to which the replica is complete.
func (m *Mirror) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Rows returns all rows, in no particular order, and the store version at which
// they were the whole table.
func (m *Mirror) Rows() ([]burdockyard.Row, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make([]burdockyard.Row, 0, len(m.rows))
	for _, r := range m.rows {
		rows = append(rows, r)
	}
	return rows, m.version
}

// ApplyScan applies a scan of the whole table at a store version. A scan older
// than the replica has no effect.
func (m *Mirror) ApplyScan(rows []burdockyard.Row, version uint64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	var d Delta
	if version < m.version {
		return d
	}
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
		m.upsert(r, &d)
	}
	for key := range m.rows {
		if !present[key] {
			m.remove(key, version, &d)
		}
	}
	m.version = version
	return d
}

// ApplyChanges applies the changes after version from, up to version to. It returns
// false and changes nothing if the replica has not reached from, because the
// changes in between are missing.
func (m *Mirror) ApplyChanges(changes []burdockyard.Change, from, to uint64) (Delta, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var d Delta
	if m.version < from {
		return d, false
	}
	for _, c := range changes {
		if c.Removed {
			m.remove(c.Row.Key, max(c.Row.Version, from+1), &d)
		} else {
			m.upsert(c.Row, &d)
		}
	}
	m.version = max(m.version, to)
	return d, true
}

func (m *Mirror) upsert(r burdockyard.Row, d *Delta) {
	if r.Version <= m.rows[r.Key].Version || r.Version <= m.tombstones[r.Key] {
		return
	}
	delete(m.tombstones, r.Key)
	m.rows[r.Key] = r
	d.Changed = append(d.Changed, r)
}

func (m *Mirror) remove(key string, version uint64, d *Delta) {
	old, present := m.rows[key]
	if version < old.Version {
		return
	}
	if len(m.tombstones) >= maxTombstones {
		clear(m.tombstones)
	}
	// Keep a tombstone for an absent row too: an older read may still deliver the
	// row.
	m.tombstones[key] = max(version, m.tombstones[key])
	if present {
		delete(m.rows, key)
		d.Removed = append(d.Removed, key)
	}
}
