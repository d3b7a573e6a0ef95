package bybooking_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/bybooking"
	"burdockyard/io/bymem"
)

// recordingTable records every transaction, so that a test can commit it again.
type recordingTable struct {
	*bymem.Table
	mu   sync.Mutex
	txns []burdockyard.Txn
}

func (r *recordingTable) Commit(ctx context.Context, txn burdockyard.Txn) error {
	r.mu.Lock()
	r.txns = append(r.txns, txn)
	r.mu.Unlock()
	return r.Table.Commit(ctx, txn)
}

// rejectFirstService does not start the first call, and blocks each later call
// until unblock is closed.
type rejectFirstService struct {
	mu      sync.Mutex
	calls   int
	effects int
	unblock chan struct{}
}

func (s *rejectFirstService) Call(context.Context, burdockyard.ServiceRequest) (burdockyard.ServiceResponse, error) {
	s.mu.Lock()
	s.calls++
	first := s.calls == 1
	if !first {
		s.effects++
	}
	s.mu.Unlock()
	if first {
		return burdockyard.ServiceResponse{}, burdockyard.ErrNotStarted
	}
	<-s.unblock
	return burdockyard.ServiceResponse{Status: 200}, nil
}

// TestDuplicateCommitsDoNotRepeatCall guards against a call that runs twice
// because the network delivers old transactions again. All transactions of a
// first, refused call are committed again while the second caller's attempt is
// in progress. A third caller must not run the call too.
func TestDuplicateCommitsDoNotRepeatCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &recordingTable{Table: bymem.NewTable()}
		service := &rejectFirstService{unblock: make(chan struct{})}
		call := bybooking.Call{Tenant: "t", IdempotencyKey: "k", Endpoints: []burdockyard.Service{service}}
		newExecutor := func(name burdockyard.NodeID) *bybooking.Executor {
			return bybooking.New(table, burdockyard.SystemClock{}, burdockyard.Member{Node: name})
		}
		if _, err := newExecutor("a").Call(t.Context(), call); err == nil {
			t.Fatal("first call: got no error, want one since the service did not start it")
		}
		delivered := table.txns
		var group sync.WaitGroup
		group.Go(func() { _, _ = newExecutor("b").Call(t.Context(), call) })
		synctest.Wait()
		for _, txn := range delivered {
			_ = table.Table.Commit(t.Context(), txn)
		}
		group.Go(func() { _, _ = newExecutor("c").Call(t.Context(), call) })
		synctest.Wait()
		close(service.unblock)
		group.Wait()
		if service.effects != 1 {
			t.Errorf("the call ran %d times, want 1", service.effects)
		}
	})
}

// delayedReadTable returns the result of each read one second after the read.
type delayedReadTable struct{ *bymem.Table }

func (d delayedReadTable) Get(ctx context.Context, keys ...string) ([]burdockyard.Row, error) {
	rows, err := d.Table.Get(ctx, keys...)
	time.Sleep(time.Second)
	return rows, err
}

// TestOutcomeRecordedAfterReadIsReturned checks that a second caller on the same
// node gets the outcome even if it was recorded, and the attempt dropped from
// memory, after the caller had read the row.
func TestOutcomeRecordedAfterReadIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &countingService{effects: map[string]int{}} // faster than a read of the table
		executor := bybooking.New(delayedReadTable{bymem.NewTable()}, burdockyard.SystemClock{}, burdockyard.Member{Node: "a"})
		call := bybooking.Call{Tenant: "t", IdempotencyKey: "k", Endpoints: []burdockyard.Service{service}}
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() {
				if _, err := executor.Call(t.Context(), call); err != nil {
					t.Errorf("Call: got error %v, want the recorded response", err)
				}
			})
		}
		group.Wait()
	})
}
