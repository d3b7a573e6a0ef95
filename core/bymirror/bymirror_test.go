package bymirror_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"burdockyard"
	"burdockyard/core/bymirror"
)

// at returns a version of the first era.
func at(number uint64) burdockyard.StoreVersion {
	return burdockyard.StoreVersion{Era: 1, Number: number}
}

func change(key string, version uint64, removed bool) burdockyard.Change {
	return burdockyard.Change{Row: burdockyard.Row{Key: key, Version: version, Value: []byte(fmt.Sprint(version))}, Removed: removed}
}

func rowVersions(m *bymirror.Mirror) []string {
	rows, _ := m.Rows()
	var out []string
	for _, r := range rows {
		out = append(out, fmt.Sprintf("%s@%d", r.Key, r.Version))
	}
	slices.Sort(out)
	return out
}

func TestGapRequiresScan(t *testing.T) {
	m := bymirror.New()
	m.ApplyScan([]burdockyard.Row{{Key: "a", Version: 3}}, at(5))
	if _, ok := m.ApplyChanges([]burdockyard.Change{change("b", 9, false)}, at(8), at(9)); ok {
		t.Error("changes after a gap were applied; want them rejected")
	}
	if _, ok := m.ApplyChanges([]burdockyard.Change{change("b", 6, false)}, at(4), at(6)); !ok || m.Version() != at(6) {
		t.Errorf("overlapping changes were rejected or left the version at %v; want them applied and version 6", m.Version())
	}
}

func TestOlderReadHasNoEffect(t *testing.T) {
	m := bymirror.New()
	m.ApplyScan([]burdockyard.Row{{Key: "a", Version: 3}}, at(5))
	m.ApplyChanges([]burdockyard.Change{change("a", 7, true)}, at(5), at(7))
	if d, _ := m.ApplyScan([]burdockyard.Row{{Key: "a", Version: 3}}, at(5)); len(d.Changed) != 0 || len(rowVersions(m)) != 0 {
		t.Errorf("older scan restored a removed row: %v", rowVersions(m))
	}
	m.ApplyChanges([]burdockyard.Change{change("a", 3, false)}, at(2), at(4))
	if len(rowVersions(m)) != 0 {
		t.Errorf("late changes restored a removed row: %v", rowVersions(m))
	}
}

// TestReadsInAnyOrder delivers reads of a random history in random order, with
// overlaps and repeats, and expects the replica to end in the newest state.
func TestReadsInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		wantVersions := map[string]uint64{}
		var history []burdockyard.Change
		for v := uint64(1); v <= 40; v++ {
			key := string(rune('a' + rng.IntN(5)))
			_, present := wantVersions[key]
			removed := present && rng.IntN(3) == 0
			if removed {
				delete(wantVersions, key)
			} else {
				wantVersions[key] = v
			}
			history = append(history, change(key, v, removed))
		}
		m := bymirror.New()
		m.ApplyScan(nil, at(0))
		for m.Version().Number < 40 {
			from := uint64(rng.IntN(41))
			to := from + uint64(rng.IntN(int(41-from)))
			newest := map[string]burdockyard.Change{} // the store reports only the last change of a row
			for _, c := range history[from:to] {
				newest[c.Row.Key] = c
			}
			var changes []burdockyard.Change
			for _, c := range newest {
				changes = append(changes, c)
			}
			m.ApplyChanges(changes, at(from), at(to))
		}
		var want []string
		for k, v := range wantVersions {
			want = append(want, fmt.Sprintf("%s@%d", k, v))
		}
		slices.Sort(want)
		if got := rowVersions(m); !slices.Equal(got, want) {
			t.Fatalf("seed %d: rows are %v; want %v", seed, got, want)
		}
	}
}

// TestReadsOfSeveralEras restores a store from older copies at random moments and
// delivers scans and changes of all eras late, repeatedly and in random order. A read
// of an older era must have no effect once a newer one is known, and the last scan must
// leave exactly the rows of the store.
func TestReadsOfSeveralEras(t *testing.T) {
	type state struct {
		version burdockyard.StoreVersion
		rows    map[string]burdockyard.Row
	}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 2))
		now := state{at(0), map[string]burdockyard.Row{}}
		states := []state{{now.version, maps.Clone(now.rows)}}
		for range 60 {
			if rng.IntN(8) == 0 {
				era := now.version.Era + 1
				copied := states[rng.IntN(len(states))]
				now = state{burdockyard.StoreVersion{Era: era, Number: copied.version.Number}, maps.Clone(copied.rows)}
			} else {
				now.version.Number++
				key := string(rune('a' + rng.IntN(5)))
				if _, ok := now.rows[key]; ok && rng.IntN(3) == 0 {
					delete(now.rows, key)
				} else {
					now.rows[key] = burdockyard.Row{Key: key, Version: now.version.Number, Value: fmt.Append(nil, now.version)}
				}
			}
			states = append(states, state{now.version, maps.Clone(now.rows)})
		}
		m := bymirror.New()
		scan := func(s state) {
			m.ApplyScan(slices.Collect(maps.Values(s.rows)), s.version)
		}
		for range 200 {
			before := m.Version()
			i := rng.IntN(len(states))
			if j := rng.IntN(len(states)); rng.IntN(2) == 0 && j <= i && states[i].version.Era == states[j].version.Era {
				m.ApplyChanges(changesBetween(states[j].rows, states[i].rows, states[i].version.Number), states[j].version, states[i].version)
			} else {
				scan(states[i])
			}
			if m.Version().Compare(before) < 0 {
				t.Fatalf("seed %d: the version went back from %v to %v", seed, before, m.Version())
			}
		}
		scan(now)
		rows, version := m.Rows()
		got := map[string]burdockyard.Row{}
		for _, r := range rows {
			got[r.Key] = r
		}
		if version != now.version || !maps.EqualFunc(got, now.rows, func(a, b burdockyard.Row) bool { return string(a.Value) == string(b.Value) }) {
			t.Fatalf("seed %d: the copy at %v has %v, want %v at %v", seed, version, got, now.rows, now.version)
		}
	}
}

// changesBetween returns the changes that lead from one state of a table to a later one.
func changesBetween(before, after map[string]burdockyard.Row, version uint64) []burdockyard.Change {
	var changes []burdockyard.Change
	for key, r := range after {
		if before[key].Version != r.Version {
			changes = append(changes, burdockyard.Change{Row: r})
		}
	}
	for key := range before {
		if _, ok := after[key]; !ok {
			changes = append(changes, burdockyard.Change{Row: burdockyard.Row{Key: key, Version: version}, Removed: true})
		}
	}
	return changes
}

// TestLateRemovalHidesNoNewerRow guards against the failure that a row which has been removed and
// added again stays away, because a peer tells of the removal as after a later version.
func TestLateRemovalHidesNoNewerRow(t *testing.T) {
	m := bymirror.New()
	m.ApplyScan([]burdockyard.Row{{Key: "a", Version: 3}}, at(5))
	m.ApplyChanges([]burdockyard.Change{change("a", 6, true)}, at(5), at(8))
	m.ApplyChanges([]burdockyard.Change{change("a", 6, true)}, at(8), at(8))
	m.ApplyChanges([]burdockyard.Change{change("a", 9, false)}, at(8), at(9))
	if got := rowVersions(m); !slices.Equal(got, []string{"a@9"}) {
		t.Errorf("rows %v, want a@9", got)
	}
}

// TestChangesSinceNameAllRemovals guards against the failure that a node which asks a peer for
// what it lacks keeps a removed row, as the peer does not know when it was removed.
func TestChangesSinceNameAllRemovals(t *testing.T) {
	undated := burdockyard.Change{Row: burdockyard.Row{Key: "a"}, Removed: true}
	for _, test := range []struct {
		name    string
		changes []burdockyard.Change
		since   uint64
		want    burdockyard.StoreVersion // from which the changes start; zero if they are the whole table
	}{
		{"nothing since", nil, 6, at(6)},
		{"removed since the scan", []burdockyard.Change{change("a", 7, true)}, 6, at(6)},
		{"removed before the scan", []burdockyard.Change{change("a", 7, true)}, 4, burdockyard.StoreVersion{}},
		{"removed at an unknown version", []burdockyard.Change{undated}, 7, burdockyard.StoreVersion{}},
	} {
		m := bymirror.New()
		m.ApplyScan([]burdockyard.Row{{Key: "a", Version: 3}}, at(5))
		m.ApplyChanges(test.changes, at(5), at(9))
		changes, from, to := m.ChangesSince(at(test.since))
		if from != test.want || to != at(9) {
			t.Errorf("%s: changes from %v to %v, want from %v to %v", test.name, from, to, test.want, at(9))
		}
		if removed := len(changes) == 1 && changes[0].Removed; from.Number > 0 && len(test.changes) > 0 && !removed {
			t.Errorf("%s: changes %v, want the removal", test.name, changes)
		}
	}
}
