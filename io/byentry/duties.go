package byentry

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"burdockyard"
	"burdockyard/core/byduty"
	"burdockyard/core/bymember"
	"burdockyard/core/byusage"
	"burdockyard/io/bylog"
	"burdockyard/io/bypeer"
)

const (
	// dutyName names the lease under which one node holds all duties.
	dutyName = "platform"
	// dutyCheckInterval is the interval at which a node checks whether it has to renew or
	// to acquire the duties.
	dutyCheckInterval = 100 * time.Millisecond
	// dutyReportInterval is the interval at which a node reports to the holder.
	dutyReportInterval = 500 * time.Millisecond
	// dutyStagger is how much later each further node in rank begins to watch the rows of the
	// duties once no holder is heard of. The first one that has seen them unchanged for long
	// enough takes the duties over, and the others then see them change.
	dutyStagger = 500 * time.Millisecond
	// dutyRetryDelay is the delay after a failed call to the store.
	dutyRetryDelay = 500 * time.Millisecond
	// dutyCallShare is the share of the calls per second that the holder uses. A holder
	// before it may have used up some of them.
	dutyCallShare = 0.8
	// defaultDutyLease is the time within which holders must not alternate if the settings
	// name none.
	defaultDutyLease = byduty.DefaultTTL
)

// duties holds the duties towards the platform, or waits to acquire them. One node holds all
// of them, under one lease.
//
// Only the first ready node, the largest VM, tries to acquire them, and only while no peer
// tells that it holds them. If it does not succeed, the next node follows.
type duties struct {
	node   *Node
	keeper *byduty.Keeper
	calls  *rate.Limiter
	done   chan struct{} // closed once run has returned

	// The rest is used by run only.
	lastHolder   time.Time // when a holder was last heard of
	nextAttempt  time.Time
	wasAuthority bool
	reportedTo   uint64 // fencing number of the holder that got the last report; used by report only
}

func newDuties(n *Node) *duties {
	return &duties{
		node: n, done: make(chan struct{}), lastHolder: n.clock.Now(), calls: rate.NewLimiter(0, 1),
		keeper: byduty.New(n.platform.Table, n.clock, dutyName, n.self, byduty.WithTTL(n.settings.dutyLease())),
	}
}

// dutyLease returns the lifetime of the lease of the duties.
func (s Settings) dutyLease() time.Duration { return cmp.Or(s.Duties.Lease, defaultDutyLease) }

// setRate applies changed settings.
func (d *duties) setRate(callsPerS float64) {
	d.calls.SetLimit(rate.Limit(callsPerS * dutyCallShare))
	d.calls.SetBurst(max(1, int(callsPerS*dutyCallShare/4)))
}

// enabled returns the duties that the settings name.
func (d *duties) enabled() []burdockyard.Duty {
	if d.node.platform.API == nil {
		return nil
	}
	s := d.node.reloadableSettings.Load().Duties
	var duties []burdockyard.Duty
	if s.Reports {
		duties = append(duties, burdockyard.DutyUsage)
	}
	if s.Scales {
		duties = append(duties, burdockyard.DutyScale)
	}
	return duties
}

// authority returns the authority of this node to do a duty now, and false if it has none.
func (d *duties) authority(duty burdockyard.Duty) (burdockyard.Authority, bool) {
	for _, enabled := range d.enabled() {
		if enabled == duty {
			a, _, ok := d.keeper.Authority()
			return a, ok
		}
	}
	return burdockyard.Authority{}, false
}

// allowCall reports whether another call to the platform is within its limit, and counts it.
func (d *duties) allowCall() bool { return d.calls.Allow() }

// call makes one call to the platform, provided that this node has the authority and the
// call is within the limit. It ends the call when the authority ends.
func (d *duties) call(ctx context.Context, duty burdockyard.Duty, f func(context.Context, burdockyard.Authority) error) error {
	if _, ok := d.authority(duty); !ok {
		return byduty.ErrNotHeld
	}
	if !d.allowCall() {
		return burdockyard.ErrUnavailable
	}
	a, left, ok := d.keeper.Authority()
	if !ok {
		return byduty.ErrNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := f(ctx, a)
	d.node.metrics.DutyCalls(string(duty), callOutcome(err)).Inc()
	if err != nil {
		d.node.log.duties.Info("call to the platform failed", bylog.Str("duty", string(duty)), bylog.Int("fence", int(a.Fence)), bylog.Err(err))
	}
	return err
}

// callOutcome returns the label of a call's outcome.
func callOutcome(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, burdockyard.ErrCallRefused):
		return "refused"
	case errors.Is(err, burdockyard.ErrUnavailable):
		return "unavailable"
	default:
		return "unknown"
	}
}

// held returns the duties that this node has authority to do, for its heartbeats.
func (d *duties) held() []bymember.HeldDuty {
	a, _, ok := d.keeper.Authority()
	if !ok {
		return nil
	}
	var held []bymember.HeldDuty
	for _, duty := range d.enabled() {
		held = append(held, bymember.HeldDuty{Duty: duty, Fence: a.Fence})
	}
	return held
}

// peerHolder returns the reachable peer that tells that it holds duties, under the highest
// fencing number.
func (d *duties) peerHolder() (holder bymember.Heartbeat, fence uint64) {
	for _, h := range d.node.view.ReceivedWithin(unreachableAfter) {
		if len(h.HeldDuties) > 0 && h.HeldDuties[0].Fence > fence {
			holder, fence = h, h.HeldDuties[0].Fence
		}
	}
	return holder, fence
}

// rank returns the number of ready peers that come before this node as holders: those with
// more capacity, and among equals by name.
func (d *duties) rank() int {
	n, rank := d.node, 0
	own := n.reloadableSettings.Load().Capacity
	for _, h := range n.view.Alive() {
		if h.Ready && !h.Leaving && cmp.Or(cmp.Compare(own, h.Capacity), cmp.Compare(h.Member.Node, n.self.Node)) < 0 {
			rank++
		}
	}
	return rank
}

// run holds the duties, or acquires them when it is this node's turn, until ctx is done.
func (d *duties) run(ctx context.Context) error {
	defer close(d.done)
	return runEvery(ctx, dutyCheckInterval, d.check)
}

func (d *duties) check(ctx context.Context) {
	if len(d.enabled()) == 0 {
		return
	}
	now := d.node.clock.Now()
	switch _, fence := d.peerHolder(); {
	case d.keeper.IsHolder():
		d.lastHolder = now
		d.renew(ctx)
	case fence > 0:
		d.lastHolder = now
	case now.Before(d.nextAttempt) || !d.isNext(now):
	default:
		wait, err := d.keeper.TryAcquire(ctx)
		if err != nil {
			d.node.log.duties.Debug("could not acquire the duties; will retry", bylog.Err(err))
			wait = dutyRetryDelay
		}
		d.nextAttempt = d.node.clock.Now().Add(wait)
	}
	d.noteChange()
}

// isNext reports whether this node should try to acquire the duties. Nodes do not wait for
// the ones before them to fail: the first in rank may be ready and cut off from the store.
func (d *duties) isNext(now time.Time) bool {
	n := d.node
	return n.ready() && now.Sub(d.lastHolder) >= time.Duration(d.rank())*dutyStagger
}

// renew renews the lease if that is due.
func (d *duties) renew(ctx context.Context) {
	now := d.node.clock.Now()
	if !d.keeper.IsRenewalDue() || now.Before(d.nextAttempt) {
		return
	}
	if err := d.keeper.Commit(ctx); err != nil {
		d.node.log.duties.Info("could not renew the duties", bylog.Err(err))
		d.nextAttempt = d.node.clock.Now().Add(dutyRetryDelay / 2)
	}
}

// noteChange tells peers and the log when this node has gained or lost its authority.
func (d *duties) noteChange() {
	a, _, ok := d.keeper.Authority()
	if ok == d.wasAuthority {
		return
	}
	d.wasAuthority = ok
	if ok {
		d.node.log.duties.Info("duties gained", bylog.Int("fence", int(a.Fence)))
	} else {
		d.node.log.duties.Info("duties lost")
	}
	d.node.peers.sendSoon()
}

// report tells the holder what this node has to report.
func (d *duties) report(context.Context) {
	if len(d.enabled()) == 0 {
		return
	}
	n := d.node
	holder, fence := d.peerHolder()
	if a, _, ok := d.keeper.Authority(); ok {
		holder, fence = bymember.Heartbeat{Member: n.self}, a.Fence
	}
	if fence != d.reportedTo {
		d.reportedTo = fence
		n.usage.counter.Resend()
	}
	report := bypeer.DutyReport{Demand: n.scaling.demand(), Usage: n.usage.report()}
	switch {
	case fence == 0 || report.IsEmpty():
	case holder.Member == n.self:
		n.usage.applyAcks(d.take(n.self, report))
	default:
		d.sendTo(holder.Member, bypeer.Datagram{DutyReport: report})
	}
}

// sendTo sends a datagram to one node.
func (d *duties) sendTo(to burdockyard.Member, datagram bypeer.Datagram) {
	n := d.node
	addr, err := netip.ParseAddrPort(to.Addr)
	if err != nil {
		return
	}
	// A heartbeat with sequence number 0 only names the sender.
	datagram.Heartbeat = bymember.Heartbeat{Member: n.self, Domain: n.settings.Domain, UnixMS: n.usage.wallTime()}
	n.peers.send(datagram, []netip.AddrPort{addr})
}

// handleDatagram handles what another node tells of duties, and of its wall clock.
func (d *duties) handleDatagram(datagram bypeer.Datagram) {
	h := datagram.Heartbeat
	if len(d.enabled()) == 0 || h.Member.Node == d.node.self.Node {
		return
	}
	d.node.usage.trueTime.Observe(h.Member.Node, h.UnixMS, h.Waited)
	d.node.usage.applyAcks(datagram.UsageAcks)
	if !datagram.DutyReport.IsEmpty() {
		if acks := d.take(h.Member, datagram.DutyReport); len(acks) > 0 {
			d.sendTo(h.Member, bypeer.Datagram{UsageAcks: acks})
		}
	}
}

// take handles the report of a process, provided that this node holds the duties, and returns
// what to tell the process.
func (d *duties) take(from burdockyard.Member, r bypeer.DutyReport) []byusage.Ack {
	if !d.keeper.IsHolder() {
		return nil
	}
	if len(r.Demand) > 0 {
		d.node.scaling.record(from, r.Demand)
	}
	return d.node.usage.take(from, r.Usage)
}
