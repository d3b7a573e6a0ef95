package byentry

import (
	"testing"
	"time"

	"burdockyard/io/bylog"
)

// TestPatienceFitsTheBound checks, for any bound and rank, that a node polls the store
// early enough for a change to take effect within the bound, and that the first node
// polls well before the second.
func TestPatienceFitsTheBound(t *testing.T) {
	for _, bound := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 10 * time.Second} {
		for _, share := range []float64{drainShare, configShare} {
			w := newWatch(nil, "servers", func() time.Duration { return bound }, share, bylog.Logger{}, nil)
			for rank := range 400 {
				if p := w.patience(rank); p > 7*bound/10 || rank > 0 && p < w.patience(rank-1) {
					t.Errorf("bound %v, share %v: the node of rank %d polls at age %v, want at most 70%% of the bound and no less than at the rank before", bound, share, rank, p)
				}
			}
			if gap := w.patience(1) - w.patience(0); gap < bound/10 {
				t.Errorf("bound %v: the second node polls %v after the first, want at least 10%% of the bound", bound, gap)
			}
		}
	}
}
