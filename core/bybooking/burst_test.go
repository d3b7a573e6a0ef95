package bybooking_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"burdockyard"
	"burdockyard/core/bybooking"
	"burdockyard/core/bycommit"
	"burdockyard/io/bymem"
)

const (
	platformWritesPerSecond = 300
	commitLatency           = 10 * time.Millisecond
	callerCount             = 3000
	nodeCount               = 8
)

// rateLimitedTable refuses commits above the platform's write rate.
type rateLimitedTable struct {
	*bymem.Table
	limit *rate.Limiter
}

func (l rateLimitedTable) Commit(ctx context.Context, txn burdockyard.Txn) error {
	if !l.limit.Allow() {
		return burdockyard.ErrUnavailable
	}
	time.Sleep(commitLatency)
	return l.Table.Commit(ctx, txn)
}

// countingService counts how often each idempotency key was executed.
type countingService struct {
	mu      sync.Mutex
	effects map[string]int
}

func (c *countingService) Call(_ context.Context, req burdockyard.ServiceRequest) (burdockyard.ServiceResponse, error) {
	time.Sleep(5 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.effects[req.IdempotencyKey]++
	return burdockyard.ServiceResponse{Status: 200}, nil
}

// runBurst starts one call per caller within one second and retries each refused
// call after its RetryAfter delay. It returns the time until the last call
// succeeded and the number of refusals. With merge, each node merges concurrent
// commits through bycommit.
func runBurst(t *testing.T, merge bool) (elapsed time.Duration, refusals int) {
	synctest.Test(t, func(t *testing.T) {
		inner := rateLimitedTable{bymem.NewTable(), rate.NewLimiter(platformWritesPerSecond, platformWritesPerSecond)}
		service := &countingService{effects: map[string]int{}}
		var executors []*bybooking.Executor
		for i := range nodeCount {
			var table burdockyard.Table = inner
			if merge {
				table = bycommit.New(inner)
			}
			executors = append(executors, bybooking.New(table, burdockyard.SystemClock{}, burdockyard.Member{Node: burdockyard.NodeID(fmt.Sprint(i))}))
		}
		start := time.Now()
		var group sync.WaitGroup
		var mu sync.Mutex
		for i := range callerCount {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / callerCount)
				n := callUntilAccepted(executors[i%nodeCount], service, fmt.Sprint(i))
				mu.Lock()
				defer mu.Unlock()
				refusals += n
				elapsed = time.Since(start)
			})
		}
		group.Wait()
		for key, n := range service.effects {
			if n != 1 {
				t.Errorf("call with key %s ran %d times, want 1", key, n)
			}
		}
		if len(service.effects) != callerCount {
			t.Errorf("%d different calls ran, want one per caller", len(service.effects))
		}
	})
	return elapsed, refusals
}

// callUntilAccepted retries the call after each refusal and returns the number of
// refusals.
func callUntilAccepted(e *bybooking.Executor, s burdockyard.Service, key string) int {
	call := bybooking.Call{
		Tenant: "t", IdempotencyKey: key, Endpoints: []burdockyard.Service{s},
		Request: burdockyard.ServiceRequest{ID: burdockyard.RequestID(key), Method: "POST", Path: "/dispatch", IdempotencyKey: key},
	}
	for n := 0; ; n++ {
		_, err := e.Call(context.Background(), call)
		var refused *burdockyard.CallError
		if !errors.As(err, &refused) {
			return n
		}
		time.Sleep(refused.RetryAfter())
	}
}

// TestBurstRunsEachCallOnceInTime checks a burst of 3000 calls within one second
// on a platform that accepts 300 writes per second. Each call must run once. With
// merged commits, all calls must succeed within the time that two writes per call
// would take at half of that rate.
func TestBurstRunsEachCallOnceInTime(t *testing.T) {
	elapsedUnmerged, refusalsUnmerged := runBurst(t, false)
	elapsedMerged, refusalsMerged := runBurst(t, true)
	t.Logf("separate commits: %s, %d refusals; merged commits: %s, %d refusals", elapsedUnmerged, refusalsUnmerged, elapsedMerged, refusalsMerged)
	if limit := 2 * callerCount * time.Second / (platformWritesPerSecond / 2); elapsedMerged > limit {
		t.Errorf("all calls succeeded after %s, want at most %s", elapsedMerged, limit)
	}
}
