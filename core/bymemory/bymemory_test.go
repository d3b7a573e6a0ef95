package bymemory_test

import (
	"errors"
	"testing"
	"time"

	"burdockyard/core/bymemory"
)

const mib = 1 << 20

// testClock is a clock that a test sets.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func newBudget(vmBytes int64) (*bymemory.Budget, *testClock) {
	clock := &testClock{time.Unix(1e9, 0)}
	return bymemory.New(clock, bymemory.WithMemory(vmBytes)), clock
}

// TestUploadBurstStaysWithinBudget answers twice the usual number of uploads at once, whose
// lengths are unknown: bodies grow until there is no room, and those that began last give
// way until the others fit.
func TestUploadBurstStaysWithinBudget(t *testing.T) {
	for _, tt := range []struct {
		vm, body      int64
		known         bool
		uploads, want int // bodies that arrive whole, at least
	}{
		{284 * mib, 4 * mib, false, 48, 18},
		{284 * mib, 4 * mib, true, 48, 24},
		{144 * mib, 4 * mib, true, 48, 12},
		{144 * mib, 512 << 10, true, 48, 48},
	} {
		b, clock := newBudget(tt.vm)
		if tt.known {
			b.RecordSize("read", tt.body)
		}
		var arriving []*bymemory.Holding
		refused, most := 0, int64(0)
		for range tt.uploads {
			clock.now = clock.now.Add(time.Millisecond)
			h, err := b.HoldBody(max(b.ExpectedSize("read"), 16<<10))
			if err != nil {
				refused++
				continue
			}
			arriving = append(arriving, h)
		}
		for size := int64(64 << 10); size <= tt.body+4*mib; size += 64 << 10 { // the last rounds are for those that wait
			kept := arriving[:0]
			for _, h := range arriving {
				var err error
				if h.IsCut() {
					err = bymemory.ErrCut
				} else if n := min(size, tt.body) - h.Bytes(); n > 0 {
					err = h.Grow(n)
				}
				if errors.Is(err, bymemory.ErrCut) {
					h.Release()
					refused++
					continue
				}
				kept = append(kept, h)
				most = max(most, b.Held())
			}
			arriving = kept
		}
		whole := 0
		for _, h := range arriving {
			if h.Bytes() >= tt.body {
				whole++
			}
		}
		if whole < tt.want || most > b.Limit() {
			t.Errorf("%d uploads of %d KiB at %d MiB (size known %t): %d arrive and %d are refused with %d of %d bytes held, want at least %d and no more than the limit",
				tt.uploads, tt.body>>10, tt.vm/mib, tt.known, whole, refused, most, b.Limit(), tt.want)
		}
	}
}

// TestSmallRequestsOutlastLargeOnes answers large bodies that fill the memory: they are
// refused while small ones are still taken, and nothing is taken beyond the limit.
func TestSmallRequestsOutlastLargeOnes(t *testing.T) {
	b, _ := newBudget(100 * mib)
	large, small := 0, 0
	for _, err := b.HoldBody(mib); err == nil; _, err = b.HoldBody(mib) {
		large++
	}
	for _, err := b.HoldBody(16 << 10); err == nil; _, err = b.HoldBody(16 << 10) {
		small++
	}
	if large != 35 || small < 300 || b.Held() > b.Limit() {
		t.Errorf("got %d large and %d small bodies with %d of %d bytes held, want 35 and at least 300", large, small, b.Held(), b.Limit())
	}
}

// TestSlowestReaderIsCutFirst answers a node that fills up while some callers do not read:
// the one that held most for longest is cut, one at a time, and no caller who reads.
func TestSlowestReaderIsCutFirst(t *testing.T) {
	type reader struct {
		bytes int64
		slow  time.Duration // for which it has read nothing
	}
	for _, tt := range []struct {
		name    string
		readers []reader
		want    int // index of the first that is cut, -1 for none
	}{
		{"most bytes", []reader{{mib, time.Second}, {3 * mib, time.Second}}, 1},
		{"longest", []reader{{mib, 5 * time.Second}, {mib, time.Second}}, 0},
		{"the largest reads", []reader{{6 * mib, 0}, {mib, time.Second}}, 1},
		{"within its needs", []reader{{4 << 10, time.Minute}}, -1},
		{"slow for a moment", []reader{{mib, 100 * time.Millisecond}}, -1},
	} {
		b, clock := newBudget(25 * mib)
		start := clock.now.Add(time.Minute)
		var holdings []*bymemory.Holding
		for _, r := range tt.readers {
			h := b.HoldResponse(4 << 10)
			if err := h.Grow(r.bytes); err != nil {
				t.Fatalf("%s: %v", tt.name, err)
			}
			if clock.now = start.Add(-r.slow); r.slow > 0 {
				h.SetSlow(true)
			}
			holdings = append(holdings, h)
		}
		clock.now = start
		if _, err := b.HoldBody(20 * mib); !errors.Is(err, bymemory.ErrFull) {
			t.Errorf("%s: got %v, want ErrFull", tt.name, err)
		}
		for i, h := range holdings {
			if h.IsCut() != (i == tt.want) {
				t.Errorf("%s: caller %d is cut %t, want %t", tt.name, i, h.IsCut(), i == tt.want)
			}
		}
		for _, h := range holdings {
			h.Release()
		}
		if b.Held() != 0 {
			t.Errorf("%s: %d bytes are held after all is released, want 0", tt.name, b.Held())
		}
	}
}
