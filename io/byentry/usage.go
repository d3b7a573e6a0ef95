package byentry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/byduty"
	"burdockyard/core/byfleet"
	"burdockyard/core/bymember"
	"burdockyard/core/bytruetime"
	"burdockyard/core/byusage"
	"burdockyard/core/bywitness"
	"burdockyard/io/bylog"
)

const (
	// usageTable is the store table with the counts of windows that are not reported yet.
	// The encoded state is spread over as many rows as it needs.
	usageTable = "usage"
	// usageCheckInterval is the interval at which the holder checks what is to be saved and
	// reported.
	usageCheckInterval = 200 * time.Millisecond
	// usageSaveInterval is the shortest time between two saves, unless a window is due.
	usageSaveInterval = time.Second
	// Shares of the deadline, counted from the end of a window, after which the holder no
	// longer waits for the counts of processes that are gone, and of any process.
	usageWaitForGone = 0.4
	usageWaitForAll  = 0.7
	// maxWindowsBack and maxWindowsAhead bound the windows that a node may report, relative
	// to the present one.
	maxWindowsBack, maxWindowsAhead = 12, 2
)

// usage counts the requests that begin on this node, and merges and reports the counts of all
// nodes while this node holds the duty.
type usage struct {
	node     *Node
	counter  *byusage.Counter
	trueTime *bytruetime.Estimator
	done     chan struct{} // closed once run has returned

	mu     sync.Mutex
	ledger *byusage.Ledger // nil unless this node holds the duty and has read the state

	// The rest is used by run only.
	fence   uint64 // under which the ledger was read
	pieces  int    // number of rows of the state
	savedAt time.Time
}

func newUsage(n *Node) *usage {
	return &usage{node: n, counter: byusage.NewCounter(), trueTime: bytruetime.New(n.clock, n.self.Node), done: make(chan struct{})}
}

// length returns the length of a window, 0 if usage is not to be reported.
func (u *usage) length() time.Duration {
	if u.node.platform.API == nil {
		return 0
	}
	s := u.node.reloadableSettings.Load().Duties
	if !s.Reports {
		return 0
	}
	return s.UsageWindow
}

// current returns the present window, and 0 if usage is not to be reported.
func (u *usage) current() int64 {
	if l := u.length(); l > 0 {
		return u.trueTime.Now().UnixNano() / int64(l)
	}
	return 0
}

// wallTime returns the time that this VM's wall clock shows, in Unix milliseconds, for the
// estimates of peers; 0 if usage is not reported.
func (u *usage) wallTime() int64 {
	if u.length() == 0 {
		return 0
	}
	return time.Now().UnixMilli()
}

// begin counts a request of a workspace that has just begun to run. Requests without a
// workspace don't count.
func (u *usage) begin(workspace string) {
	if workspace != "" && u.length() > 0 {
		u.counter.Begin(u.current(), workspace)
	}
}

// countBegun counts the request, once for all its sends.
func (c *call) countBegun() {
	if !c.counted {
		c.counted = true
		c.node.usage.begin(c.workspaceName())
	}
}

// countLostStart counts a stream whose response endpoint e has broken off before its first
// event. An endpoint whose process has ended may not have begun it.
func (c *call) countLostStart(e byfleet.Endpoint) {
	if c.lastProof.endpoint != e.ID || c.lastProof.finding != bywitness.Ended {
		c.countBegun()
	}
}

// report returns what this node tells the holder.
func (u *usage) report() []byusage.Window {
	if u.length() == 0 {
		return nil
	}
	u.trueTime.ObserveOwn(time.Now())
	return u.counter.Report(u.current())
}

// take merges the report of a process, and returns what to tell it.
func (u *usage) take(from burdockyard.Member, windows []byusage.Window) []byusage.Ack {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ledger == nil || u.length() == 0 {
		return nil
	}
	current := u.current()
	windows = slices.DeleteFunc(windows, func(w byusage.Window) bool {
		return w.Number < current-maxWindowsBack || w.Number > current+maxWindowsAhead
	})
	return u.ledger.Merge(bymember.Hash(from), windows)
}

// applyAcks applies what the holder tells this node.
func (u *usage) applyAcks(acks []byusage.Ack) {
	for _, a := range acks {
		u.counter.Ack(a)
	}
}

// run saves and reports the counts of all nodes while this node holds the duty.
func (u *usage) run(ctx context.Context) error {
	defer close(u.done)
	return runEvery(ctx, usageCheckInterval, u.check)
}

func (u *usage) check(ctx context.Context) {
	a, ok := u.node.duties.authority(burdockyard.DutyUsage)
	if !ok || u.length() == 0 {
		if !u.node.duties.keeper.IsHolder() {
			u.setLedger(nil)
		}
		return
	}
	if u.fence != a.Fence || u.currentLedger() == nil {
		if err := u.load(ctx, a.Fence); err != nil {
			u.node.log.duties.Info("could not read the state of usage; will retry", bylog.Err(err))
			return
		}
	}
	u.fixEnded()
	u.save(ctx)
	u.reportDue(ctx)
}

func (u *usage) currentLedger() *byusage.Ledger {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ledger
}

func (u *usage) setLedger(l *byusage.Ledger) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger = l
}

// usageKey returns the key of a row of the state.
func usageKey(piece int) string { return fmt.Sprintf("%s/state-%02d", usageTable, piece) }

// load reads the state that the holder before has saved. No other holder can change it any
// more. If the state may lack windows that have been reported, these are left out.
func (u *usage) load(ctx context.Context, fence uint64) error {
	snap, err := u.node.platform.Registry.Scan(ctx, usageTable)
	if err != nil {
		return err
	}
	var data bytes.Buffer
	rows := slices.Clone(snap.Rows)
	slices.SortFunc(rows, func(a, b burdockyard.Row) int { return strings.Compare(a.Key, b.Key) })
	for _, row := range rows {
		data.Write(row.Value)
	}
	current := u.current()
	ledger := byusage.NewLedger(u.firstOwed())
	if len(rows) > 0 {
		stored, era, err := byusage.Decode(data.Bytes())
		switch {
		case err != nil:
			u.node.log.duties.Warn("state of usage is invalid; windows are left out", bylog.Err(err))
			ledger.SkipTo(current)
		default:
			if ledger = stored; era != snap.Version.Era {
				u.leaveOut(ledger, current, "the store was restored")
			}
		}
	} else if u.fence > 0 || u.node.duties.keeper.HasSeenRestore() {
		ledger.SkipTo(current)
	}
	u.leaveOut(ledger, current-maxWindowsBack, "they ended too long ago")
	u.setLedger(ledger)
	u.fence, u.pieces = fence, len(rows)
	return nil
}

// firstOwed returns the first window that is owed if no holder has saved a state: the one before
// the start of this process, as other nodes may have started a moment earlier.
func (u *usage) firstOwed() int64 {
	startedAt := u.trueTime.Now().Add(-u.node.clock.Now().Sub(u.node.createdAt))
	return startedAt.UnixNano()/int64(u.length()) - 1
}

// leaveOut leaves out the windows before first that have no fixed content.
func (u *usage) leaveOut(l *byusage.Ledger, first int64, cause string) {
	if n := first - l.Next(); n > 0 {
		u.node.metrics.UsageWindows("left_out").Add(int(n))
		u.node.log.duties.Warn("windows of usage left out", bylog.Str("first", strconv.FormatInt(l.Next(), 10)), bylog.Int("windows", int(n)), bylog.Str("cause", cause))
		l.SkipTo(first)
	}
}

// sinceEnd returns the time since the end of a window.
func (u *usage) sinceEnd(window int64) time.Duration {
	return time.Duration(u.trueTime.Now().UnixNano() - (window+1)*int64(u.length()))
}

// fixEnded fixes the contents of the windows that have ended and for which no further counts
// are expected, or can be waited for.
func (u *usage) fixEnded() {
	var living []uint64
	for _, h := range u.node.view.ReceivedWithin(unreachableAfter) {
		living = append(living, bymember.Hash(h.Member))
	}
	deadline := u.node.reloadableSettings.Load().Duties.UsageDeadline.Seconds()
	u.mu.Lock()
	defer u.mu.Unlock()
	for {
		w := u.ledger.Next()
		waited := u.sinceEnd(w).Seconds()
		if waited <= 0 {
			return
		}
		isComplete := u.ledger.IsComplete(w, append(living, u.node.selfHash))
		everyone := isComplete && u.ledger.IsComplete(w, u.ledger.Processes(w))
		if !everyone && !(isComplete && waited >= usageWaitForGone*deadline) && waited < usageWaitForAll*deadline {
			return
		}
		u.ledger.FixNext()
	}
}

// save writes the state to the store if that is due. What is fixed is saved at once.
func (u *usage) save(ctx context.Context) {
	now := u.node.clock.Now()
	u.mu.Lock()
	due := u.ledger.HasChanges() && (u.ledger.HasUnsavedFix() || now.Sub(u.savedAt) >= usageSaveInterval)
	era, known := u.node.duties.keeper.Era()
	state := u.ledger.Encode(era)
	u.mu.Unlock()
	if !due || !known {
		return
	}
	pieces := state.Pieces()
	var writes []burdockyard.Write
	for i, piece := range pieces {
		writes = append(writes, burdockyard.Write{Key: usageKey(i), Value: piece})
	}
	for i := len(pieces); i < u.pieces; i++ {
		writes = append(writes, burdockyard.Write{Key: usageKey(i), Delete: true})
	}
	u.pieces = max(u.pieces, len(pieces)) // also if the outcome is unknown
	u.savedAt = now
	if err := u.node.duties.keeper.Commit(ctx, writes...); err != nil {
		u.node.log.duties.Info("could not save the state of usage; will retry", bylog.Err(err))
		return
	}
	u.pieces = len(pieces)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger.Saved(state)
}

// reportDue reports the windows whose fixed content the store holds. A report without an
// answer is repeated with the same content.
func (u *usage) reportDue(ctx context.Context) {
	u.mu.Lock()
	due := u.ledger.Due()
	u.mu.Unlock()
	for _, w := range due {
		err := u.node.duties.call(ctx, burdockyard.DutyUsage, func(ctx context.Context, a burdockyard.Authority) error {
			return u.node.platform.API.ReportUsage(ctx, a, w.Number, maps.Clone(w.Begun))
		})
		isLate := u.sinceEnd(w.Number) > u.node.reloadableSettings.Load().Duties.UsageDeadline
		switch {
		case errors.Is(err, burdockyard.ErrCallRefused):
			u.node.log.duties.Warn("the platform has seen a higher fencing number; giving up the duties", bylog.Int("fence", int(u.fence)))
			u.node.duties.keeper.Abandon()
			return
		case err == nil && !isLate:
			u.node.metrics.UsageWindows("reported").Inc()
		case err == nil:
			u.node.metrics.UsageWindows("late").Inc()
			u.node.log.duties.Warn("window of usage reported late", bylog.Str("window", strconv.FormatInt(w.Number, 10)), bylog.Millis("since_end_ms", u.sinceEnd(w.Number)))
		case isLate && !errors.Is(err, byduty.ErrNotHeld) && !errors.Is(err, context.Canceled):
			u.node.metrics.UsageWindows("left_out").Inc()
			u.node.log.duties.Warn("window of usage left out", bylog.Str("window", strconv.FormatInt(w.Number, 10)), bylog.Str("cause", "the platform did not accept it in time"))
		default:
			return
		}
		u.mu.Lock()
		u.ledger.Reported(w.Number)
		u.mu.Unlock()
	}
}
