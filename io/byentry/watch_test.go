package byentry

import (
	"testing"
	"time"

	"burdockyard/io/bylog"
)

// TestMaxAgeFitsTheBound checks, for any bound and rank, that a node polls the store
// early enough for a change to take effect within the bound, and that the first node
// polls well before the second.
func TestMaxAgeFitsTheBound(t *testing.T) {
	for _, bound := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 10 * time.Second} {
		for _, share := range []float64{drainMaxAgeShare, configMaxAgeShare} {
			w := newTableWatcher(nil, "servers", func() time.Duration { return bound }, share, bylog.Logger{}, nil)
			for rank := range 400 {
				if maxAge := w.maxAge(rank); maxAge > 7*bound/10 || rank > 0 && maxAge < w.maxAge(rank-1) {
					t.Errorf("bound %v, share %v: the node of rank %d polls at age %v, want at most 0.7 of the bound and no less than at the rank before", bound, share, rank, maxAge)
				}
			}
			if gap := w.maxAge(1) - w.maxAge(0); gap < bound/10 {
				t.Errorf("bound %v: the second node polls %v after the first, want at least 0.1 of the bound", bound, gap)
			}
		}
	}
}
