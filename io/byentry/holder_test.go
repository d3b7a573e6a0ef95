package byentry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/byduty"
)

// unusedAPI is an API that nobody calls.
type unusedAPI struct{ burdockyard.PlatformAPI }

// oneRowTable is a table that executes every transaction.
type oneRowTable struct{ rows map[string]burdockyard.Row }

func (o oneRowTable) Get(_ context.Context, keys ...string) (rows []burdockyard.Row, err error) {
	for _, key := range keys {
		rows = append(rows, burdockyard.Row{Key: key, Value: o.rows[key].Value, Version: o.rows[key].Version})
	}
	return rows, nil
}

func (o oneRowTable) Commit(_ context.Context, txn burdockyard.Txn) error {
	for _, w := range txn.Writes {
		o.rows[w.Key] = burdockyard.Row{Value: w.Value, Version: o.rows[w.Key].Version + 1}
	}
	return nil
}

// TestHolderIsKnownThroughRelays lets a node of a large fleet gain and lose the duties: all
// nodes know it soon, although heartbeats go through relays.
func TestHolderIsKnownThroughRelays(t *testing.T) {
	const size = 48
	synctest.Test(t, func(t *testing.T) {
		f := newEmulatedFleet(t, size, 2, func(n *Node) {
			n.platform.API = unusedAPI{}
			n.UpdateSettings(ReloadableSettings{Capacity: n.settings.Capacity, Duties: DutySettings{Scales: true, CallsPerS: 50}})
			n.duties.keeper = byduty.New(oneRowTable{map[string]burdockyard.Row{}}, n.clock, dutyName, n.self)
		})
		time.Sleep(3 * time.Second)
		holder := f.nodes[size-5]
		count := func() (aware int) {
			for _, n := range f.nodes {
				if h, fence := n.duties.peerHolder(); fence > 0 && h.Member == holder.self {
					aware++
				}
			}
			return aware
		}
		for range 2 {
			wait, err := holder.duties.keeper.TryAcquire(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(wait)
		}
		holder.duties.noteChange()
		time.Sleep(maxHeartbeatInterval)
		if got := count(); got != size-1 {
			t.Errorf("%d nodes know the holder after %v, want %d", got, maxHeartbeatInterval, size-1)
		}
		holder.duties.keeper.Abandon()
		holder.duties.noteChange()
		time.Sleep(maxHeartbeatInterval)
		if got := count(); got != 0 {
			t.Errorf("%d nodes take a former holder for the holder after %v", got, maxHeartbeatInterval)
		}
	})
}
