package byentry

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/core/byfleet"
	"burdockyard/core/bywitness"
	"burdockyard/io/bylog"
)

const (
	// hangingProbeInterval is the time between two probes of endpoints that hang. Finding
	// out by a request takes dialTimeout of the time that its caller has.
	hangingProbeInterval = 250 * time.Millisecond
	// maxHangingProbes is the number of endpoints that are probed at a time. If more of them
	// hang, the links of this node may be at fault.
	maxHangingProbes = 8
)

// probeHanging opens connections to endpoints to which none could be opened in time lately, and
// returns to service those that accept one. A sound endpoint may be silent for a moment.
func (n *Node) probeHanging(ctx context.Context) {
	var group errgroup.Group
	for _, e := range n.fleet.Hanging(maxHangingProbes, rand.Shuffle) {
		group.Go(func() error {
			if n.connect(ctx, e) == bywitness.Accepted && n.fleet.RecordConnection(e.ID) == byfleet.Restored {
				n.log.fleet.Info("endpoint regained", bylog.Str("endpoint", string(e.ID)), bylog.Str("addr", e.Addr))
			}
			return nil
		})
	}
	_ = group.Wait() // returns no error
}
