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

// steppedClock is a wall clock that tests move ahead, as the suspension of a VM does.
type steppedClock struct{ offset time.Duration }

func (c *steppedClock) Now() time.Time { return time.Now().Round(0).Add(c.offset) }

func newClaims(t *lossyTable, node, incarnation string) *byclaim.Claims {
	return byclaim.New(t, burdockyard.SystemClock{}, burdockyard.Member{Node: burdockyard.NodeID(node), Incarnation: burdockyard.Incarnation(incarnation)},
		byclaim.WithTTL(3*time.Second))
}

func TestTakeWaitsForOtherHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		store := &lossyTable{Table: bymem.NewTable()}
		a, b := newClaims(store, "a", "1"), newClaims(store, "b", "1")
		take := func(condition string, c *byclaim.Claims, fence uint64, want error) byclaim.Claim {
			t.Helper()
			claim, err := c.Take(ctx, "e1")
			if !errors.Is(err, want) || claim.Fence() != fence {
				t.Errorf("%s: fence %d, %v; want %d, %v", condition, claim.Fence(), err, fence, want)
			}
			return claim
		}
		first := take("nobody has claimed it", a, 1, nil)
		if !a.Holds(first) {
			t.Error("a fresh claim does not hold")
		}
		take("another node holds it", b, 0, byclaim.ErrClaimed)
		second := take("the holder itself", a, 2, nil)
		if second.Engine() != "e1" {
			t.Errorf("claim of %s", second.Engine())
		}
		time.Sleep(5 * time.Second)
		take("the row changed since it was first seen", b, 0, byclaim.ErrClaimed)
		time.Sleep(6 * time.Second)
		take("unchanged for twice the lifetime", b, 3, nil)
		if a.Holds(second) {
			t.Error("an old claim holds")
		}
		take("the former holder", a, 0, byclaim.ErrClaimed)
		take("a new process of the holder's VM", newClaims(store, "b", "2"), 4, nil)
	})
}

// TestTakeAfterLostAnswer checks that a claim whose write had no answer is held only
// if the row shows it.
func TestTakeAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		store := &lossyTable{Table: bymem.NewTable(), loseAnswers: true}
		a := newClaims(store, "a", "1")
		if c, err := a.Take(ctx, "e1"); !errors.Is(err, errLost) || a.Holds(c) {
			t.Errorf("a write that was not done: %v", err)
		}
		store.applyWrites = true
		c, err := a.Take(ctx, "e1")
		if err != nil || c.Fence() != 1 || !a.Holds(c) {
			t.Errorf("a write that was done: fence %d, %v", c.Fence(), err)
		}
		store.unavailable = true
		if c, err := a.Take(ctx, "e1"); !errors.Is(err, burdockyard.ErrUnavailable) || a.Holds(c) {
			t.Errorf("the store is down: %v", err)
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
			if c, err := newClaims(store, node, "1").Take(ctx, engine); err == nil {
				if other, taken := fences[c.Fence()]; taken {
					t.Fatalf("round %d: fence %d given to %s and %s", i, c.Fence(), other, node)
				}
				fences[c.Fence()] = node
			}
		}
	}
	for _, node := range fences {
		if node != "a" {
			t.Errorf("%s got a claim within the lifetime of a's", node)
		}
	}
}

// TestClaimLapsesWhilePaused guards against an order from a process that was
// suspended while it held a claim. The monotonic clock stands still meanwhile, so
// by that clock the claim is still valid.
func TestClaimLapsesWhilePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &lossyTable{Table: bymem.NewTable()}
		c := newClaims(store, "a", "1")
		claim, err := c.Take(context.Background(), "e1")
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(1400 * time.Millisecond)
		if !c.Holds(claim) {
			t.Error("a claim of 1.4 s does not hold")
		}
		time.Sleep(200 * time.Millisecond)
		if c.Holds(claim) {
			t.Error("a claim holds for longer than half of its lifetime: its order must arrive within the rest")
		}
	})
	clock := &steppedClock{}
	c := byclaim.New(bymem.NewTable(), clock, burdockyard.Member{Node: "a"})
	claim, err := c.Take(context.Background(), "e1")
	if err != nil {
		t.Fatal(err)
	}
	clock.offset = 5 * time.Second
	if c.Holds(claim) {
		t.Error("a claim holds after the clock went on by 5 s")
	}
}
