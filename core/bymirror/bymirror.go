// Package bymirror keeps a copy of one table of the platform's store, from
// readings of the store and from what peers pass on.
//
// # Usage
//
//	m := bymirror.New()
//	m.Whole(rows, version)                  // after a scan
//	d, ok := m.Advance(changes, from, to)   // after a reading of changes
//	if !ok { … a whole reading is needed … }
//
// Readings reach a node on several ways and in any order. Each row carries the
// version of its last change, so that an older one never replaces a newer one.
package bymirror

import (
	"sync"

	"burdockyard"
)

// Delta is what a reading has changed.
type Delta struct {
	Changed []burdockyard.Row
	Removed []string // keys
}

// Mirror is the copy of one table. mu is a leaf lock.
type Mirror struct {
	mu         sync.Mutex
	rows       map[string]burdockyard.Row
	tombstones map[string]uint64 // removed rows, with the version of the removal
	version    uint64
}

// maxTombstones bounds the removals that are remembered. One that is forgotten could
// only be undone by a message that is older than all of them.
const maxTombstones = 4096

// New returns an empty Mirror.
func New() *Mirror {
	return &Mirror{rows: map[string]burdockyard.Row{}, tombstones: map[string]uint64{}}
}

// Version returns the version of the store up to which the copy is complete.
func (m *Mirror) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Rows returns all rows and the version at which they were the whole table.
func (m *Mirror) Rows() ([]burdockyard.Row, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make([]burdockyard.Row, 0, len(m.rows))
	for _, r := range m.rows {
		rows = append(rows, r)
	}
	return rows, m.version
}

// Whole takes in a reading of the whole table. An older one than the copy
// changes nothing.
func (m *Mirror) Whole(rows []burdockyard.Row, version uint64) Delta {
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

// Advance takes in the changes between two versions. It returns false if changes
// before them are missing.
func (m *Mirror) Advance(changes []burdockyard.Change, from, to uint64) (Delta, bool) {
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
	// A row that is not there may still arrive with an older reading.
	m.tombstones[key] = max(version, m.tombstones[key])
	if present {
		delete(m.rows, key)
		d.Removed = append(d.Removed, key)
	}
}
