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
	platformWrites = 300 // per second
	commitTime     = 10 * time.Millisecond
	callers        = 3000
	nodes          = 8
)

// limitedTable refuses commits above the platform's rate.
type limitedTable struct {
	*bymem.Table
	limit *rate.Limiter
}

func (l limitedTable) Commit(ctx context.Context, txn burdockyard.Txn) error {
	if !l.limit.Allow() {
		return burdockyard.ErrUnavailable
	}
	time.Sleep(commitTime)
	return l.Table.Commit(ctx, txn)
}

// counter is a service that counts effects.
type counter struct {
	mu      sync.Mutex
	effects map[string]int
}

func (c *counter) Call(_ context.Context, req burdockyard.ServiceRequest) (burdockyard.ServiceResponse, error) {
	time.Sleep(5 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.effects[req.Key]++
	return burdockyard.ServiceResponse{Status: 200}, nil
}

// burst lets every caller book within one second and come back when told. It
// returns when the last was confirmed and how often callers were refused.
func burst(t *testing.T, join bool) (took time.Duration, refusals int) {
	synctest.Test(t, func(t *testing.T) {
		below := limitedTable{bymem.NewTable(), rate.NewLimiter(platformWrites, platformWrites)}
		service := &counter{effects: map[string]int{}}
		var desks []*bybooking.Desk
		for i := range nodes {
			var table burdockyard.Table = below
			if join {
				table = bycommit.New(below)
			}
			desks = append(desks, bybooking.New(table, burdockyard.SystemClock{}, burdockyard.Member{Node: burdockyard.NodeID(fmt.Sprint(i))}))
		}
		began := time.Now()
		var group sync.WaitGroup
		var mu sync.Mutex
		for i := range callers {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / callers)
				n := bookUntilDone(desks[i%nodes], service, fmt.Sprint(i))
				mu.Lock()
				defer mu.Unlock()
				refusals += n
				took = time.Since(began)
			})
		}
		group.Wait()
		for key, n := range service.effects {
			if n != 1 {
				t.Errorf("booking %s ran %d times", key, n)
			}
		}
		if len(service.effects) != callers {
			t.Errorf("%d bookings ran", len(service.effects))
		}
	})
	return took, refusals
}

// bookUntilDone comes back when it is told to, and returns how often that was.
func bookUntilDone(d *bybooking.Desk, s burdockyard.Service, key string) int {
	call := bybooking.Call{
		Tenant: "t", Key: key, Senders: []burdockyard.Service{s},
		Request: burdockyard.ServiceRequest{ID: burdockyard.RequestID(key), Method: "POST", Path: "/dispatch", Key: key},
	}
	for n := 0; ; n++ {
		_, err := d.Call(context.Background(), call)
		var refused *burdockyard.CallError
		if !errors.As(err, &refused) {
			return n
		}
		time.Sleep(refused.RetryAfter())
	}
}

// TestBurst checks that the bookings of one second, three thousand
// against three hundred writes a second, each run once, and are all confirmed
// within the time that half of the platform's writes would take for them.
func TestBurst(t *testing.T) {
	alone, refusedAlone := burst(t, false)
	joined, refusedJoined := burst(t, true)
	t.Logf("each by itself: %s, %d refusals; joined: %s, %d refusals", alone, refusedAlone, joined, refusedJoined)
	if limit := 2 * callers * time.Second / (platformWrites / 2); joined > limit {
		t.Errorf("confirmed after %s, want %s", joined, limit)
	}
}
