package byquarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/byquarantine"
)

// TestCompanionsReachOtherProcesses guards against the failure that a node which takes a verdict
// from the store or from a peer lets sound callers of an innocent key wait for minutes, as it
// does not know that another key may be to blame.
func TestCompanionsReachOtherProcesses(t *testing.T) {
	const gap = 150 * time.Millisecond
	stored := func(q, to *byquarantine.Quarantine) { to.Load(q.Unsaved()) }
	told := func(q, to *byquarantine.Quarantine) { to.Merge(q.News()) }
	bothAtAll := []step{{gap, 1, keys(first, poison)}, {gap, 2, keys(first, poison)}, {gap, 3, keys(first, poison)}, {gap, 4, keys(first, poison)}, {gap, 5, keys(first, poison)}}
	// A bystander with the first key is the one to notice the last end, and the request to blame
	// does so when the verdict has been stored.
	late := append(append([]step{}, bothAtAll[:4]...), step{gap, 5, keys(first)})
	for _, test := range []struct {
		name  string
		steps []step
		late  []step
		pass  func(q, to *byquarantine.Quarantine)
	}{
		{"stored", bothAtAll, nil, stored},
		{"told", bothAtAll, nil, told},
		{"stored, late bystander", late, []step{{time.Millisecond, 5, keys(first, poison)}}, stored},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := byquarantine.New(burdockyard.SystemClock{}, "n1")
				play(q, test.steps)
				q.MarkSaved(q.Unsaved())
				play(q, test.late)
				q.MarkLost()
				time.Sleep(5 * time.Second) // ends are no news any more
				next := byquarantine.New(burdockyard.SystemClock{}, "n2")
				next.SetNodes(3)
				test.pass(q, next)
				time.Sleep(2500 * time.Millisecond)
				if next.Admit(keys(first, poison)).Admitted {
					t.Error("a poisoned request is admitted")
				}
				if d := next.Admit(keys(first)); !d.Trial {
					t.Errorf("decision %+v on a request with the first key only, want a trial", d)
				}
				next.RecordAnswer(keys(first))
				if !next.Admit(keys(first)).Admitted || next.Admit(keys(first, poison)).Admitted {
					t.Error("want the first key free and the other one quarantined")
				}
			})
		})
	}
}

// TestVerdictOfUnknownCompanyGetsOneEarlyTrial guards both sides of a verdict that an earlier
// release has stored without companions: sound callers must not wait for minutes, and a key that
// does end endpoints must not get one early trial after the other.
func TestVerdictOfUnknownCompanyGetsOneEarlyTrial(t *testing.T) {
	for _, k := range []byquarantine.Key{poison, byquarantine.PathKey(0x77)} {
		synctest.Test(t, func(t *testing.T) {
			q := byquarantine.New(burdockyard.SystemClock{}, "n1")
			q.Load([]byquarantine.Record{{Key: k, Ends: 8, LastEnd: time.Now()}})
			var trials []time.Duration
			for start := time.Now(); time.Since(start) < 10*time.Minute; time.Sleep(100 * time.Millisecond) {
				if q.Admit(keys(k)).Trial {
					trials = append(trials, time.Since(start))
					n := uint64(100 + len(trials))
					q.RecordEnd(byquarantine.End{Request: n, Endpoint: n, Keys: keys(k)})
				}
			}
			if len(trials) != 1 || trials[0] > 15*time.Second {
				t.Errorf("key %x: trials at %v in 10 minutes, want one within 15 s", k, trials)
			}
		})
	}
}

// TestAnsweredCompanionIsNoLongerStored guards against the failure that a key which ends
// endpoints gets early trials after a restart, because its record names one as its companion
// that has been found innocent.
func TestAnsweredCompanionIsNoLongerStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := poisoned(first, poison)
		q.MarkSaved(q.Unsaved())
		time.Sleep(2500 * time.Millisecond)
		q.Admit(keys(first))
		q.RecordAnswer(keys(first))
		next := byquarantine.New(burdockyard.SystemClock{}, "n1")
		for _, r := range q.Unsaved() {
			if r.Ends > 0 {
				next.Load([]byquarantine.Record{r})
			}
		}
		time.Sleep(2500 * time.Millisecond)
		if d := next.Admit(keys(poison, other)); d.Admitted || !next.IsQuarantined(keys(poison)) {
			t.Errorf("decision %+v on a poisoned request without the first key, want it refused", d)
		}
	})
}
