package byentry

import (
	"context"
	"testing"
	"time"

	"burdockyard/core/bymember"
)

// TestBusyEngineIsWaitedFor answers a burst in which prompts wait at prefill engines for
// longer than predicted: one that ends prefills of other nodes meanwhile is waited for, and
// a dark one is not.
func TestBusyEngineIsWaitedFor(t *testing.T) {
	const timeout = 500 * time.Millisecond
	n := New(Settings{Node: "n", Domain: "a"}, Platform{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sentAt := time.Now()
	defer n.cancelIfSilent(cancel, "busy", timeout)()
	dark, cancelDark := context.WithCancel(context.Background())
	defer cancelDark()
	defer n.cancelIfSilent(cancelDark, "dark", timeout)()
	time.Sleep(time.Millisecond)
	n.loadTracker.RecordPeerLoad("peer", nil, []bymember.CachedPart{{Engine: "busy", PartID: 7, Tokens: 13_300}})
	<-dark.Done()
	if ctx.Err() != nil {
		t.Error("the prefill at the busy engine is given up at the same time as the one at the dark engine")
	}
	<-ctx.Done() // it ends no further prefill
	if waited := time.Since(sentAt); waited < 2*timeout {
		t.Errorf("the prefill at the busy engine is given up after %v, want at least %v", waited, 2*timeout)
	}
}
