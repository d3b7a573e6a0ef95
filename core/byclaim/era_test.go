package byclaim_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/byclaim"
)

// restorableTable is a store that can be restored from an older copy.
type restorableTable struct {
	rows        map[string]burdockyard.Row
	version     uint64
	era         uint64
	loseAnswers bool
}

func newRestorableTable() *restorableTable {
	return &restorableTable{rows: map[string]burdockyard.Row{}, era: 1}
}

func (t *restorableTable) Get(_ context.Context, keys ...string) ([]burdockyard.Row, error) {
	var rows []burdockyard.Row
	for _, key := range keys {
		r := t.rows[key]
		r.Key, r.Era = key, t.era
		rows = append(rows, r)
	}
	return rows, nil
}

func (t *restorableTable) Commit(_ context.Context, txn burdockyard.Txn) error {
	for _, c := range txn.Checks {
		if t.rows[c.Key].Version != c.Version {
			return burdockyard.ErrConflict
		}
	}
	t.version++
	for _, w := range txn.Writes {
		t.rows[w.Key] = burdockyard.Row{Key: w.Key, Value: w.Value, Version: t.version}
	}
	if t.loseAnswers {
		return errLost
	}
	for _, c := range txn.Checks {
		if c.Era != t.era {
			return burdockyard.ErrEraChanged
		}
	}
	return nil
}

// manualClock is a clock that tests advance.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

const ttl = 3 * time.Second

// TestClaimsEndWithTheEra follows the claims on one engine through a restore of the
// store that loses the newest of them.
func TestClaimsEndWithTheEra(t *testing.T) {
	ctx := context.Background()
	store, clock := newRestorableTable(), &manualClock{now: time.Unix(1e9, 0)}
	claimer := func(node string) *byclaim.Claimer {
		return byclaim.New(store, clock, burdockyard.Member{Node: burdockyard.NodeID(node)}, byclaim.WithTTL(ttl))
	}
	a, b := claimer("a"), claimer("b")
	if _, err := a.Acquire(ctx, "e1"); !errors.Is(err, byclaim.ErrClaimed) {
		t.Fatalf("a claim right after the start: got error %v, want ErrClaimed", err)
	}
	b.ObserveEra(1)
	clock.now = clock.now.Add(2 * ttl)
	old, oldVersion := maps.Clone(store.rows), store.version
	first, err := a.Acquire(ctx, "e1")
	if err != nil || !a.IsValid(first) {
		t.Fatalf("the first claim: got error %v, want a valid claim", err)
	}
	store.rows, store.version, store.era = old, oldVersion, 2
	if _, err := b.Acquire(ctx, "e1"); !errors.Is(err, byclaim.ErrClaimed) {
		t.Errorf("a claim right after the restore: got error %v, want ErrClaimed", err)
	}
	if a.ObserveEra(2); a.IsValid(first) {
		t.Error("a claim that the store has lost is valid, want it invalid once the era is known")
	}
	clock.now = clock.now.Add(2 * ttl)
	second, err := b.Acquire(ctx, "e1")
	if err != nil || second.Fence() <= first.Fence() {
		t.Errorf("a later claim: got fence %d, error %v; want a fence above %d", second.Fence(), err, first.Fence())
	}
}

// TestClaimHistories plays random histories of three nodes, whose processes restart and
// whose store loses answers and is restored from older copies, sometimes several times
// in a row. Nodes may be cut off, so that they learn of a new era only from their own
// calls. Never may two nodes hold valid claims on the engine, nor a fencing number
// be given twice or be lower than one before.
func TestClaimHistories(t *testing.T) {
	granted := 0
	for seed := range uint64(10_000) {
		rng := rand.New(rand.NewPCG(seed, 7))
		store, clock := newRestorableTable(), &manualClock{now: time.Unix(1e9, 0)}
		nodes := make([]*byclaim.Claimer, 3)
		claims := make([]byclaim.Claim, len(nodes))
		start := func(i int) {
			member := burdockyard.Member{Node: burdockyard.NodeID(fmt.Sprint("n", i)), Incarnation: burdockyard.Incarnation(fmt.Sprint(rng.Uint64()))}
			nodes[i], claims[i] = byclaim.New(store, clock, member, byclaim.WithTTL(ttl)), byclaim.Claim{}
		}
		for i := range nodes {
			start(i)
		}
		type storeCopy struct {
			rows    map[string]burdockyard.Row
			version uint64
		}
		copies := []storeCopy{{maps.Clone(store.rows), store.version}}
		highest := uint64(0)
		for range 60 {
			i := rng.IntN(len(nodes))
			switch n := rng.IntN(20); {
			case n < 6:
				clock.now = clock.now.Add(time.Duration(rng.Int64N(int64(2 * time.Second))))
			case n < 7:
				clock.now = clock.now.Add(2 * ttl)
			case n < 14:
				store.loseAnswers = rng.IntN(5) == 0
				if c, err := nodes[i].Acquire(context.Background(), "e1"); err == nil {
					claims[i] = c
					granted++
				}
			case n < 16:
				nodes[i].ObserveEra(store.era)
			case n < 17:
				copies = append(copies, storeCopy{maps.Clone(store.rows), store.version})
			case n < 19:
				c := copies[rng.IntN(len(copies))]
				store.rows, store.version = maps.Clone(c.rows), c.version
				store.era++
			default:
				start(i)
			}
			var valid []int
			for j := range nodes {
				if nodes[j].IsValid(claims[j]) {
					valid = append(valid, j)
				}
			}
			if len(valid) > 1 {
				t.Fatalf("seed %d: nodes %v hold valid claims at the same time", seed, valid)
			}
			if len(valid) == 1 {
				fence := claims[valid[0]].Fence()
				if fence < highest {
					t.Fatalf("seed %d: a valid claim has fence %d after one with %d", seed, fence, highest)
				}
				highest = fence
			}
		}
	}
	if granted < 1000 {
		t.Errorf("%d claims were granted in all histories, want at least 1000", granted)
	}
	t.Logf("%d claims granted in 10,000 histories", granted)
}
