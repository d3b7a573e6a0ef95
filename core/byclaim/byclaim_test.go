package byclaim_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/byclaim"
	"burdockyard/io/bymem"
)

// lossyTable loses the answers of commits, with or without applying their writes.
type lossyTable struct {
	*bymem.Table
	loseAnswers bool
	applyWrites bool
	unavailable bool
}

var errLost = errors.New("answer lost")

func (t *lossyTable) Commit(ctx context.Context, txn burdockyard.Txn) error {
	switch {
	case t.unavailable:
		return burdockyard.ErrUnavailable
	case t.loseAnswers && !t.applyWrites:
		return errLost
	case t.loseAnswers:
		return errors.Join(t.Table.Commit(ctx, txn), errLost)
	}
	return t.Table.Commit(ctx, txn)
}

// steppedClock is a wall clock that tests advance, as a suspension of the VM does.
type steppedClock struct{ offset time.Duration }

func (c *steppedClock) Now() time.Time { return time.Now().Round(0).Add(c.offset) }

func newClaimer(t *lossyTable, node, incarnation string) *byclaim.Claimer {
	return byclaim.New(t, burdockyard.SystemClock{}, burdockyard.Member{Node: burdockyard.NodeID(node), Incarnation: burdockyard.Incarnation(incarnation)},
		byclaim.WithTTL(3*time.Second))
}

func TestAcquireWaitsForOtherHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		store := &lossyTable{Table: bymem.NewTable()}
		a, b := newClaimer(store, "a", "1"), newClaimer(store, "b", "1")
		acquire := func(condition string, c *byclaim.Claimer, fence uint64, want error) byclaim.Claim {
			t.Helper()
			claim, err := c.Acquire(ctx, "e1")
			if !errors.Is(err, want) || claim.Fence() != fence {
				t.Errorf("%s: got fence %d, error %v; want %d, %v", condition, claim.Fence(), err, fence, want)
			}
			return claim
		}
		first := acquire("no claim yet", a, 1, nil)
		if !a.IsValid(first) {
			t.Error("a new claim is not valid")
		}
		acquire("another node holds the claim", b, 0, byclaim.ErrClaimed)
		second := acquire("the holder claims again", a, 2, nil)
		if second.Engine() != "e1" {
			t.Errorf("claim is for engine %s, want e1", second.Engine())
		}
		time.Sleep(5 * time.Second)
		acquire("the row changed since the first observation", b, 0, byclaim.ErrClaimed)
		time.Sleep(6 * time.Second)
		acquire("the row is unchanged for twice the lifetime", b, 3, nil)
		if a.IsValid(second) {
			t.Error("an expired claim is valid")
		}
		acquire("the former holder claims again", a, 0, byclaim.ErrClaimed)
		acquire("a new process on the holder's VM", newClaimer(store, "b", "2"), 4, nil)
	})
}

// TestAcquireAfterLostAnswer checks that a claim whose write had no answer is held only
// if the row shows it.
func TestAcquireAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		store := &lossyTable{Table: bymem.NewTable(), loseAnswers: true}
		a := newClaimer(store, "a", "1")
		if c, err := a.Acquire(ctx, "e1"); !errors.Is(err, errLost) || a.IsValid(c) {
			t.Errorf("write lost: got error %v, want errLost and no valid claim", err)
		}
		store.applyWrites = true
		c, err := a.Acquire(ctx, "e1")
		if err != nil || c.Fence() != 1 || !a.IsValid(c) {
			t.Errorf("write applied, answer lost: got fence %d, error %v, want a valid claim with fence 1", c.Fence(), err)
		}
		store.unavailable = true
		if c, err := a.Acquire(ctx, "e1"); !errors.Is(err, burdockyard.ErrUnavailable) || a.IsValid(c) {
			t.Errorf("store unavailable: got error %v, want ErrUnavailable and no valid claim", err)
		}
	})
}

// TestFencingNumbersAreUnique checks that of several nodes that claim one engine
// again and again only the first gets claims, and that no fencing number is issued
// twice.
func TestFencingNumbersAreUnique(t *testing.T) {
	ctx := context.Background()
	store := &lossyTable{Table: bymem.NewTable()}
	fences := map[uint64]string{}
	for i := range 50 {
		engine := burdockyard.EndpointID("e")
		for _, node := range []string{"a", "b", "c"} {
			if c, err := newClaimer(store, node, "1").Acquire(ctx, engine); err == nil {
				if other, taken := fences[c.Fence()]; taken {
					t.Fatalf("round %d: fence %d was issued to %s and %s, want one node", i, c.Fence(), other, node)
				}
				fences[c.Fence()] = node
			}
		}
	}
	for _, node := range fences {
		if node != "a" {
			t.Errorf("node %s got a claim during the lifetime of node a's claim", node)
		}
	}
}

// TestClaimExpiresWhilePaused guards against an order from a process that was
// suspended while it held a claim. The monotonic clock stands still meanwhile, so
// by that clock the claim is still valid.
func TestClaimExpiresWhilePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &lossyTable{Table: bymem.NewTable()}
		c := newClaimer(store, "a", "1")
		claim, err := c.Acquire(context.Background(), "e1")
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(1400 * time.Millisecond)
		if !c.IsValid(claim) {
			t.Error("a claim that is 1.4 s old is not valid")
		}
		time.Sleep(200 * time.Millisecond)
		if c.IsValid(claim) {
			t.Error("a claim is valid after half of its lifetime; the order needs the other half to arrive")
		}
	})
	clock := &steppedClock{}
	c := byclaim.New(bymem.NewTable(), clock, burdockyard.Member{Node: "a"})
	claim, err := c.Acquire(context.Background(), "e1")
	if err != nil {
		t.Fatal(err)
	}
	clock.offset = 5 * time.Second
	if c.IsValid(claim) {
		t.Error("a claim is valid after the wall clock advanced by 5 s")
	}
}
