package byentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/core/bysuspect"
	"burdockyard/core/bywitness"
	"burdockyard/io/bylog"
)

const (
	// suspectCheckInterval is the time between two attempts to settle suspected ends.
	suspectCheckInterval = 100 * time.Millisecond
	// maxSuspectProbes is the number of connections that are opened for that at a time.
	maxSuspectProbes = 8
)

// refusedOthers returns the processes of other endpoints that have refused a connection,
// according to a report of this node.
func (n *Node) refusedOthers(own bywitness.Report) []bysuspect.Process {
	var refused []bysuspect.Process
	for _, o := range own.Others {
		if e, ok := n.fleet.Lookup(o.Endpoint); ok && o.Result == bywitness.Refused {
			refused = append(refused, bysuspect.ProcessOf(e.Instance))
		}
	}
	return refused
}

// addSuspicion adds a suspected end that this node has noticed, and tells the peers.
func (n *Node) addSuspicion(s bysuspect.Suspicion) {
	n.suspects.Add(s)
	n.quarantine.SetSuspected(n.suspects.Ends())
	n.peers.sendSoon()
}

// mergeSuspicions adds the suspected ends that a peer tells of.
func (n *Node) mergeSuspicions(told []bysuspect.Suspicion) {
	if n.suspects.Merge(told) {
		n.quarantine.SetSuspected(n.suspects.Ends())
	}
}

// settleSuspicions finds out which suspected ends are real. Those count from now on.
func (n *Node) settleSuspicions(ctx context.Context) {
	var group errgroup.Group
	for _, p := range n.suspects.Probes(maxSuspectProbes, rand.Shuffle) {
		group.Go(func() error {
			addr := p.Addr
			if e, ok := n.fleet.Lookup(p.ID); ok && e.BornMS == p.BornMS {
				addr = e.Addr // where this node sends requests; a peer may have told another address
			}
			switch err := n.forwarder.Probe(ctx, addr, endProbeTimeout); {
			case err == nil:
				n.suspects.RecordAccepted(p)
			case errors.Is(err, syscall.ECONNREFUSED):
				n.suspects.RecordRefused(p)
			}
			return nil
		})
	}
	_ = group.Wait() // returns no error
	for _, s := range n.suspects.Settle() {
		n.metrics.SuspectedEnds(s.Result.String()).Inc()
		n.log.fleet.Info("suspected end settled", bylog.Str("endpoint", string(s.Process.ID)), bylog.Str("result", s.Result.String()),
			bylog.Millis("end_age_ms", s.End.Age), bylog.Int("refused_others", len(s.Refused)), bylog.Str("keys", formatKeys(s.End.Keys)))
		if s.Result == bysuspect.Ended {
			n.applyQuarantineChange(n.quarantine.RecordEnd(s.End), string(n.self.Node))
		}
	}
	n.quarantine.SetSuspected(n.suspects.Ends())
}
