// Package bymirror maintains a local replica of one table of the platform's store,
// from the node's own reads of the store and from reads that peers relay.
//
// # Usage
//
//	m := bymirror.New()
//	d, ok := m.ApplyScan(rows, version)          // after a scan
//	d, ok := m.ApplyChanges(changes, from, to)   // after a read of changes
//	if !ok { … scan the whole table … }
//	d, relay, ok := m.ReadChanges(changes, matter, from, to) // after a read of this node
//	… tell the peers relay …
//
// Reads reach a node over several paths and in any order. Each row carries the
// version of its last change, so that an older row never replaces a newer one. Versions
// are compared within one era of the store only. A scan of a newer era replaces all
// rows, and reads of older eras have no effect.
//
// # What peers are told
//
// A node that reads the store tells its peers the changes that matter to them, or that there
// were none between two versions. A peer goes by such a word alone, so it must not leave out a
// change that the node has got from somebody else meanwhile: a Mirror keeps the version up to
// which peers have been told, in step with its rows. Between that version and its own there
// are no changes that matter.
package bymirror

import (
	"maps"
	"slices"
	"sync"

	"burdockyard"
)

// Delta is the set of rows that a read added, changed or removed in the replica.
type Delta struct {
	Changed []burdockyard.Row
	Removed []string // keys of the removed rows
	// EraChanged means that the store was restored from an older copy. Rows that are
	// Changed or Removed may then have been so only in that copy.
	EraChanged bool
}

// Mirror is the replica of one table. It is safe for concurrent use; no other lock
// is acquired while mu is held.
type Mirror struct {
	mu         sync.Mutex
	rows       map[string]burdockyard.Row
	tombstones map[string]uint64 // version of the removal, by key of the removed row
	version    burdockyard.StoreVersion
	changedAt  burdockyard.StoreVersion
	told       burdockyard.StoreVersion // up to which peers have been told, by this node or another
	// removalsSince is a version since which there is a tombstone for each removed row.
	removalsSince burdockyard.StoreVersion
	superseded    []burdockyard.Row // former values of large rows, the newest first
}

// Relay is what peers are to be told after a node has read the store up to a version: the
// changes that matter since ChangedSince, or that there are none.
type Relay struct {
	Whole        bool // they need the whole table
	ChangedSince burdockyard.StoreVersion
	Changes      []burdockyard.Change
}

// maxTombstones is the largest number of tombstones kept; beyond it all are
// discarded. Only a read older than all of them could then bring a removed row
// back.
const maxTombstones = 4096

const (
	// minSupersededBytes is the size of a value that is worth keeping as a base of patches.
	minSupersededBytes = 256 << 10
	// maxSuperseded and maxSupersededBytes limit what is kept of former values.
	maxSuperseded      = 4
	maxSupersededBytes = 4 << 20
)

// New returns an empty Mirror.
func New() *Mirror {
	return &Mirror{rows: map[string]burdockyard.Row{}, tombstones: map[string]uint64{}}
}

// Version returns the store version up to which the replica is complete.
func (m *Mirror) Version() burdockyard.StoreVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// ChangedAt returns a version since which the table has not changed up to Version.
func (m *Mirror) ChangedAt() burdockyard.StoreVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changedAt
}

// Rows returns all rows, in no particular order, and the store version at which
// they were the whole table.
func (m *Mirror) Rows() ([]burdockyard.Row, burdockyard.StoreVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.rows)), m.version
}

// ChangesSince returns the changes that a copy lacks which has all up to a version, and the
// version up to which they lead. They start at from, which is since, or zero if they are the
// whole table: the removals since then are not known. Without changes that matter to peers
// there are none.
func (m *Mirror) ChangesSince(since burdockyard.StoreVersion) (changes []burdockyard.Change, from, to burdockyard.StoreVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if since.Number > 0 && since.Era == m.told.Era && since.Compare(m.told) >= 0 {
		return nil, since, m.version
	}
	if since.Number > 0 && since.Era == m.removalsSince.Era && since.Compare(m.removalsSince) >= 0 {
		from = since
		for key, version := range m.tombstones {
			if version > since.Number {
				changes = append(changes, burdockyard.Change{Row: burdockyard.Row{Key: key, Version: version}, Removed: true})
			}
		}
	}
	for _, r := range m.rows {
		if r.Version > from.Number {
			changes = append(changes, burdockyard.Change{Row: r})
		}
	}
	return changes, from, m.version
}

// Row returns the row with the given key, and false if there is none.
func (m *Mirror) Row(key string) (burdockyard.Row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.rows[key]
	return r, ok
}

// Values returns the value of a row and its former ones, as far as they are kept, the newest first.
func (m *Mirror) Values(key string) []burdockyard.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []burdockyard.Row
	if r, ok := m.rows[key]; ok {
		out = append(out, r)
	}
	for _, r := range m.superseded {
		if r.Key == key {
			out = append(out, r)
		}
	}
	return out
}

// supersede keeps the former value of a row. The caller must hold mu.
func (m *Mirror) supersede(r burdockyard.Row) {
	if len(r.Value) < minSupersededBytes || r.Version == 0 {
		return
	}
	m.superseded = slices.Insert(m.superseded, 0, r)
	bytes := 0
	for i, r := range m.superseded {
		if bytes += len(r.Value); i >= maxSuperseded || bytes > maxSupersededBytes {
			m.superseded = slices.Delete(m.superseded, i, len(m.superseded))
			return
		}
	}
}

// ApplyScan applies a scan of the whole table at a store version, by this node or by a peer
// that tells others of it. A scan older than the replica has no effect; if it is of an older
// era, ApplyScan returns false.
func (m *Mirror) ApplyScan(rows []burdockyard.Row, version burdockyard.StoreVersion) (Delta, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.applyScan(rows, version)
	if ok {
		m.recordTold(version)
	}
	return d, ok
}

func (m *Mirror) applyScan(rows []burdockyard.Row, version burdockyard.StoreVersion) (Delta, bool) {
	var d Delta
	if version.Compare(m.version) < 0 {
		return d, version.Era == m.version.Era
	}
	if version.Era > m.version.Era {
		d.EraChanged = m.version != burdockyard.StoreVersion{}
		clear(m.tombstones)
		m.superseded = nil
		// Rows of the former era have no version that can be compared with the new ones.
		for key, r := range m.rows {
			r.Version = 0
			m.rows[key] = r
		}
	}
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
		m.upsert(r, &d)
	}
	for key := range m.rows {
		if !present[key] {
			m.remove(key, version.Number, &d)
		}
	}
	m.version, m.removalsSince = version, version
	if len(d.Changed)+len(d.Removed) > 0 || m.changedAt.Era != version.Era {
		m.changedAt = version
	}
	return d, true
}

// ApplyChanges applies the changes after version from, up to version to, which is of
// the same era, that a peer tells this node and others. It returns false and changes nothing
// if the replica has not reached from, because the changes in between are missing, or if it
// is of another era.
func (m *Mirror) ApplyChanges(changes []burdockyard.Change, from, to burdockyard.StoreVersion) (Delta, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.applyChanges(changes, from, to)
	if ok {
		m.recordTold(to)
	}
	return d, ok
}

// Confirm applies the word of a peer that there are no changes after version from, up to
// version to. It returns false as ApplyChanges does.
func (m *Mirror) Confirm(from, to burdockyard.StoreVersion) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.applyChanges(nil, from, to)
	return ok
}

// ReadChanges applies changes that this node has read from the store, as ApplyChanges does, and
// returns what its peers are to be told. matter are those of the changes that matter to them.
func (m *Mirror) ReadChanges(changes, matter []burdockyard.Change, from, to burdockyard.StoreVersion) (Delta, Relay, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	relay := Relay{ChangedSince: m.told}
	for _, c := range datedRemovals(matter, from) {
		// Changes that a peer has told since this node asked the store are no news.
		if c.Removed || c.Row.Version > m.rows[c.Row.Key].Version {
			relay.Changes = append(relay.Changes, c)
		}
	}
	d, ok := m.applyChanges(changes, from, to)
	if !ok {
		return d, Relay{}, false
	}
	relay.Whole = m.told.Era != to.Era
	if relay.Whole || len(relay.Changes) > 0 {
		m.recordTold(to)
	}
	return d, relay, true
}

// recordTold records that peers have been told of all changes up to a version. What arrives
// late must not take back a later one: changes before it would be left out. The caller must
// hold mu.
func (m *Mirror) recordTold(version burdockyard.StoreVersion) {
	if version.Compare(m.told) > 0 {
		m.told = version
	}
}

func (m *Mirror) applyChanges(changes []burdockyard.Change, from, to burdockyard.StoreVersion) (Delta, bool) {
	var d Delta
	if m.version.Era != from.Era || m.version.Compare(from) < 0 {
		return d, false
	}
	for _, c := range datedRemovals(changes, from) {
		if c.Removed {
			m.remove(c.Row.Key, c.Row.Version, &d)
		} else {
			m.upsert(c.Row, &d)
		}
	}
	if to.Compare(m.version) > 0 {
		m.version = to
	}
	if slices.ContainsFunc(changes, func(c burdockyard.Change) bool { return c.Removed && c.Row.Version == 0 }) {
		m.removalsSince = m.version // the tombstones bear a version that is too low
	}
	if len(d.Changed)+len(d.Removed) > 0 {
		m.changedAt = m.version
	}
	return d, true
}

// datedRemovals returns changes after version from, with a version for each removal that has
// none. One that has a version keeps it: a row may have been added again since.
func datedRemovals(changes []burdockyard.Change, from burdockyard.StoreVersion) []burdockyard.Change {
	out := slices.Clone(changes)
	for i, c := range out {
		if c.Removed && c.Row.Version == 0 {
			out[i].Row.Version = from.Number + 1
		}
	}
	return out
}

func (m *Mirror) upsert(r burdockyard.Row, d *Delta) {
	if r.Version <= m.rows[r.Key].Version || r.Version <= m.tombstones[r.Key] {
		return
	}
	delete(m.tombstones, r.Key)
	m.supersede(m.rows[r.Key])
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
		m.removalsSince = burdockyard.StoreVersion{Era: m.version.Era, Number: max(version, m.version.Number)}
	}
	// Keep a tombstone for an absent row too: an older read may still deliver the
	// row.
	m.tombstones[key] = max(version, m.tombstones[key])
	if present {
		delete(m.rows, key)
		d.Removed = append(d.Removed, key)
	}
}
