package byentry

import (
	"testing"
	"time"

	"burdockyard/io/bylog"
)

// TestPatienceFitsTheBound: whatever the deployment's bound and a node's rank, a
// node reads by itself early enough for the change to have effect in time, and
// the first one reads well before the second.
func TestPatienceFitsTheBound(t *testing.T) {
	for _, bound := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 10 * time.Second} {
		for _, share := range []float64{drainShare, configShare} {
			w := newWatch(nil, "servers", func() time.Duration { return bound }, share, bylog.Logger{}, nil)
			for rank := range 400 {
				if p := w.patience(rank); p > 7*bound/10 || rank > 0 && p < w.patience(rank-1) {
					t.Errorf("bound %v, share %v: the node of rank %d waits %v", bound, share, rank, p)
				}
			}
			if gap := w.patience(1) - w.patience(0); gap < bound/10 {
				t.Errorf("bound %v: the second node reads %v after the first", bound, gap)
			}
		}
	}
}
