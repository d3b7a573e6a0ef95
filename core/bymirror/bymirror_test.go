package bymirror_test

import (
	"fmt"
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
