package bycommit_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/bycommit"
	"burdockyard/io/bymem"
)

// slowTable delays each commit by commitLatency and counts the commits.
type slowTable struct {
	*bymem.Table
	mu        sync.Mutex
	commits   int
	failAfter error // returned after the commit took effect
}

const commitLatency = 10 * time.Millisecond

func (s *slowTable) Commit(ctx context.Context, txn burdockyard.Txn) error {
	s.mu.Lock()
	s.commits++
	fail := s.failAfter
	s.mu.Unlock()
	time.Sleep(commitLatency)
	return errors.Join(s.Table.Commit(ctx, txn), fail)
}

func insert(key, value string) burdockyard.Txn {
	return burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: key}},
		Writes: []burdockyard.Write{{Key: key, Value: []byte(value)}},
	}
}

// commitAll commits all transactions concurrently and returns their outcomes.
func commitAll(table burdockyard.Table, txns []burdockyard.Txn) []error {
	outcomes := make([]error, len(txns))
	var group sync.WaitGroup
	for i, txn := range txns {
		group.Go(func() { outcomes[i] = table.Commit(context.Background(), txn) })
	}
	group.Wait()
	return outcomes
}

// TestConflictFailsOnlyItsOwnTransaction checks 200 concurrent inserts, two per
// row. For each row exactly one insert must succeed, or none if the row existed
// before. A conflict must not fail any other transaction, and there must be few
// commits.
func TestConflictFailsOnlyItsOwnTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &slowTable{Table: bymem.NewTable()}
		table := bycommit.New(inner)
		if err := inner.Table.Commit(t.Context(), insert("k7", "before")); err != nil {
			t.Fatal(err)
		}
		var txns []burdockyard.Txn
		for i := range 100 {
			txns = append(txns, insert(fmt.Sprintf("k%d", i), "a"), insert(fmt.Sprintf("k%d", i), "b"))
		}
		succeeded := map[int]int{}
		for i, err := range commitAll(table, txns) {
			if err == nil {
				succeeded[i/2]++
			} else if !errors.Is(err, burdockyard.ErrConflict) {
				t.Errorf("insert %d: got error %v, want none or a conflict", i, err)
			}
		}
		for i := range 100 {
			want := 1
			if i == 7 {
				want = 0
			}
			if succeeded[i] != want {
				t.Errorf("row k%d was inserted %d times, want once, or never for the existing row k7", i, succeeded[i])
			}
		}
		if inner.commits > 300 {
			t.Errorf("%d commits, want at most 300", inner.commits)
		}
	})
}

func TestTransactionsWithoutConflictNeedAtMostTwoCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &slowTable{Table: bymem.NewTable()}
		var txns []burdockyard.Txn
		for i := range 200 {
			txns = append(txns, insert(fmt.Sprint(i), "a"))
		}
		for i, err := range commitAll(bycommit.New(inner), txns) {
			if err != nil {
				t.Errorf("insert %d: got error %v, want none", i, err)
			}
		}
		if inner.commits > 2 {
			t.Errorf("%d commits, want at most 2", inner.commits)
		}
	})
}

// TestUnknownOutcomeReachesEveryCaller checks that a commit whose response is
// lost returns the error to every caller with a transaction in it.
func TestUnknownOutcomeReachesEveryCaller(t *testing.T) {
	lost := errors.New("answer lost")
	synctest.Test(t, func(t *testing.T) {
		inner := &slowTable{Table: bymem.NewTable(), failAfter: lost}
		for _, err := range commitAll(bycommit.New(inner), []burdockyard.Txn{insert("a", "1"), insert("b", "1"), insert("c", "1")}) {
			if !errors.Is(err, lost) {
				t.Errorf("Commit: got error %v, want the error of the lost response", err)
			}
		}
	})
}

// TestCanceledCallerWritesNothingAndBlocksNobody checks that a transaction whose
// ctx ends before it is sent is not written, and that later transactions are
// still committed.
func TestCanceledCallerWritesNothingAndBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &slowTable{Table: bymem.NewTable()}
		table := bycommit.New(inner)
		var group sync.WaitGroup
		group.Go(func() { _ = table.Commit(context.Background(), insert("first", "1")) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), commitLatency/2)
		defer cancel()
		group.Go(func() {
			if err := table.Commit(ctx, insert("gone", "1")); !errors.Is(err, burdockyard.ErrUnavailable) {
				t.Errorf("canceled Commit: got error %v, want ErrUnavailable", err)
			}
		})
		synctest.Wait()
		group.Go(func() {
			if err := table.Commit(context.Background(), insert("last", "1")); err != nil {
				t.Errorf("later Commit: got error %v, want none", err)
			}
		})
		group.Wait()
		rows, err := inner.Get(t.Context(), "gone", "last")
		if err != nil || rows[0].Exists() || !rows[1].Exists() {
			t.Errorf("got rows %+v, error %v, want only the later transaction's row", rows, err)
		}
	})
}
