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

// recordingTable keeps every transaction, so that a late copy can be delivered.
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

// refuseOnce is a service that does not start the first call and takes its time
// for the others.
type refuseOnce struct {
	mu      sync.Mutex
	calls   int
	effects int
	proceed chan struct{}
}

func (s *refuseOnce) Call(context.Context, burdockyard.ServiceRequest) (burdockyard.ServiceResponse, error) {
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
	<-s.proceed
	return burdockyard.ServiceResponse{Status: 200}, nil
}

// TestLateCopies delivers every earlier transaction again while the second
// caller's attempt is on its way. A third caller must not run the booking too.
func TestLateCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &recordingTable{Table: bymem.NewTable()}
		service := &refuseOnce{proceed: make(chan struct{})}
		call := bybooking.Call{Tenant: "t", Key: "k", Senders: []burdockyard.Service{service}}
		desk := func(name burdockyard.NodeID) *bybooking.Desk {
			return bybooking.New(table, burdockyard.SystemClock{}, burdockyard.Member{Node: name})
		}
		if _, err := desk("a").Call(t.Context(), call); err == nil {
			t.Fatal("the first call was refused by the service")
		}
		earlier := table.txns
		var group sync.WaitGroup
		group.Go(func() { _, _ = desk("b").Call(t.Context(), call) })
		synctest.Wait()
		for _, txn := range earlier {
			_ = table.Table.Commit(t.Context(), txn)
		}
		group.Go(func() { _, _ = desk("c").Call(t.Context(), call) })
		synctest.Wait()
		close(service.proceed)
		group.Wait()
		if service.effects != 1 {
			t.Errorf("the booking ran %d times", service.effects)
		}
	})
}

// lateReads is a table whose reads are answered a while after they were made.
type lateReads struct{ *bymem.Table }

func (l lateReads) Get(ctx context.Context, keys ...string) ([]burdockyard.Row, error) {
	rows, err := l.Table.Get(ctx, keys...)
	time.Sleep(time.Second)
	return rows, err
}

// TestOutcomeRecordedMeanwhile checks that a second caller of the same node, who
// read the row before the outcome was recorded, gets the outcome.
func TestOutcomeRecordedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &counter{effects: map[string]int{}} // takes less than the read
		desk := bybooking.New(lateReads{bymem.NewTable()}, burdockyard.SystemClock{}, burdockyard.Member{Node: "a"})
		call := bybooking.Call{Tenant: "t", Key: "k", Senders: []burdockyard.Service{service}}
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() {
				if _, err := desk.Call(t.Context(), call); err != nil {
					t.Errorf("got %v", err)
				}
			})
		}
		group.Wait()
	})
}
