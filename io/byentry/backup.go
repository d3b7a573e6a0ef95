package byentry

import (
	"context"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/byplace"
	"burdockyard/core/bywitness"
	"burdockyard/io/bylog"
)

// An engine can send the KV cache of a run to another engine as it grows. If the
// engine ends in the middle of a stream, that engine continues the same run, which also
// suits streams that must not run twice.

const (
	// maxBackupShare is the largest ratio of the time that the link takes to transfer the
	// KV cache of a run to the duration of its stream. Beyond it, copies would load the
	// links more than the few streams are worth that engines break off.
	maxBackupShare = 0.02
	// minBackupSamples is the number of streams of a route from which their mean duration
	// is known well enough.
	minBackupSamples = 20
)

// planBackup returns the engine that is to get copies of the KV cache of a run at
// engine e, or nil if copies are not worth their cost or not possible.
func (c *call) planBackup(e byfleet.Endpoint) *byfleet.Endpoint {
	n, model := c.node, c.service.Model
	if c.route.Idempotent() || model == nil || !model.Backups || c.info.Prompt == nil {
		return nil
	}
	duration, samples := n.stop.meanResponseTime(c.route.Name)
	transfer := byplace.TransferTime(model, byplace.PromptTokens(c.info.Prompt)+c.info.Prompt.MaxOutputTokens)
	if samples < minBackupSamples || float64(transfer) > maxBackupShare*float64(duration) {
		return nil
	}
	backup, ok := n.loadTracker.PlanBackup(e, n.withinLimits(n.fleet.Usable(c.service.Name)))
	if !ok {
		return nil
	}
	return &backup
}

// continueFromBackup continues a stream that engine e has broken off, on the engine that
// has a copy of its KV cache. It does so only if the process of e has ended: otherwise the
// run might go on there.
func (c *call) continueFromBackup(ctx context.Context, e byfleet.Endpoint, relay *eventRelay) (outcome, error) {
	n, backup := c.node, *c.backup
	c.backup = nil
	proof := c.lastProof
	if proof.endpoint != e.ID {
		proof = n.proveEnd(ctx, e)
	}
	obstacle := ""
	switch {
	case c.isQuarantined():
		obstacle = "endpoints end under its prompt"
	case proof.finding != bywitness.Ended:
		obstacle = "the engine may still be at work"
	case !n.fleet.AcceptsWork(backup.ID):
		obstacle = "the engine with the copy accepts no work"
	case !n.retryBudgets.forService(c.service.Name).TryWithdraw():
		obstacle = "no retries left"
	}
	if obstacle != "" {
		c.log("stream cannot continue from a copy", append(proof.logFields(), bylog.Str("endpoint", string(backup.ID)), bylog.Str("ended", string(e.ID)), bylog.Str("cause", obstacle))...)
		return outcomeUnknown, burdockyard.ErrInterrupted
	}
	c.log("stream continues from a copy", bylog.Str("endpoint", string(backup.ID)), bylog.Str("ended", string(e.ID)), bylog.Int("events", relay.eventCount))
	inFlight := n.loadTracker.Begin(backup.ID, byplace.Work{Streams: 1, HasLongPrompt: byplace.IsLongPrompt(c.info.Prompt)})
	defer inFlight.Done()
	resp, o, err := c.send(ctx, backup, burdockyard.Attempt{
		Priority: -1, LastEventID: relay.resumeID(), KVSource: n.platform.Protocol.KVSource(backup.Addr, string(c.info.ID)),
	})
	switch {
	case o == outcomeNotRun:
		return outcomeUnknown, err // there is no copy; the run has ended at e
	case o != outcomeAnswered:
		return o, err
	}
	defer resp.Close()
	return c.forwardStream(ctx, byplace.Plan{DecodeEngine: backup}, resp, relay, inFlight)
}
