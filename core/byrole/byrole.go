// Package byrole decides when an engine of a model changes its role between
// prefill, the processing of prompts, and decode, the generation of output.
//
// # Usage
//
//	d := byrole.New(clock)
//	s := byrole.Sample{Prefill: prefill, Decode: decode, Downtime: spec.RoleChangeTime}
//	d.Observe(s) // once a second
//	if role, ok := d.WantedRole(); ok { d.RecordOrder(role); … order the change … }
//
// # When a change pays off
//
// An engine that changes its role is down for seconds and loses its cached prompts.
// The other engines must take over its work meanwhile, and the gain is lost when
// the load shifts back. Bursts are shorter than that; they are handled by choosing
// for each prompt the engine that prefills it. A change therefore requires that one
// role has been short of engines, while the other had spare capacity, for a
// multiple of the downtime. The cooldown before the next change doubles each time
// that the load has shifted back.
package byrole

import (
	"time"

	"burdockyard"
)

const (
	// shortageDowntimeFactor is how long a shortage must last before a change, as a
	// multiple of the downtime of an engine that changes its role.
	shortageDowntimeFactor = 3
	// shortageWait is the mean wait at which a role counts as short of engines.
	// It is half of the time within which callers expect the first event.
	shortageWait = 250 * time.Millisecond
	// spareCapacityRatio bounds the wait of a role with spare capacity, as a fraction
	// of the wait of the role in shortage.
	spareCapacityRatio = 0.25
	// minEngines is the number of engines that a role always keeps.
	minEngines = 2
	// cooldownDowntimeFactor is the initial time between two changes, as a multiple of
	// the downtime of an engine that changes its role. Each sustained shortage of the
	// role that gave up an engine doubles the cooldown, up to maxCooldown.
	cooldownDowntimeFactor = 10
	maxCooldown            = 10 * time.Minute
	// sampleWeight is the weight of the newest sample in the moving average.
	sampleWeight = 0.3
	// sampleInterval is the usual time between two samples. A gap of more than 3
	// intervals restarts the observation.
	sampleInterval = time.Second
)

// Pool is the state of the engines that have one role.
type Pool struct {
	Engines int
	Wait    time.Duration // mean wait of a new prompt or stream at these engines
}

// Sample is the state of one service's engines at one moment.
type Sample struct {
	Prefill  Pool          // prefill engines
	Decode   Pool          // decode engines
	Downtime time.Duration // downtime of an engine that changes its role
}

// Decider decides on role changes from the samples of one service. It is not safe
// for concurrent use.
type Decider struct {
	clock burdockyard.Clock

	smoothed        Sample // newest sample, with waits averaged over the last few
	sampledAt       time.Time
	shortRole       burdockyard.Role // role in shortage, empty if there is none
	shortSince      time.Time        // start of the shortage
	changedAt       time.Time        // time of the last change observed or attempted
	changedTo       burdockyard.Role // role that the last change added an engine to
	reversals       int              // sustained shortages of a role after it gave up an engine
	reversalCounted bool             // the current shortage is included in reversals
}

// New returns a Decider without samples.
func New(clock burdockyard.Clock) *Decider { return &Decider{clock: clock} }

// Observe records a sample. A different number of engines is taken as a role change
// by another node or as a restart of an engine; either ends the current shortage,
// so that a new one must last for the full time again.
func (d *Decider) Observe(s Sample) {
	now := d.clock.Now()
	gap := !d.sampledAt.IsZero() && now.Sub(d.sampledAt) > 3*sampleInterval
	if gap || s.Prefill.Engines != d.smoothed.Prefill.Engines || s.Decode.Engines != d.smoothed.Decode.Engines {
		d.shortRole = ""
		if s.Prefill.Engines > d.smoothed.Prefill.Engines && s.Decode.Engines < d.smoothed.Decode.Engines {
			d.recordChange(burdockyard.RolePrefill, now)
		}
		if s.Prefill.Engines < d.smoothed.Prefill.Engines && s.Decode.Engines > d.smoothed.Decode.Engines {
			d.recordChange(burdockyard.RoleDecode, now)
		}
	}
	if gap || d.sampledAt.IsZero() {
		d.smoothed = s
	}
	s.Prefill.Wait = smoothWait(d.smoothed.Prefill.Wait, s.Prefill.Wait)
	s.Decode.Wait = smoothWait(d.smoothed.Decode.Wait, s.Decode.Wait)
	d.smoothed, d.sampledAt = s, now
	shortRole := roleInShortage(s)
	if shortRole != d.shortRole {
		d.shortRole, d.shortSince, d.reversalCounted = shortRole, now, false
	}
	if d.isShortageSustained(now) && d.changedTo != "" && shortRole != d.changedTo && !d.reversalCounted {
		d.reversals++
		d.reversalCounted = true
	}
}

// isShortageSustained reports whether there is a shortage that has lasted long
// enough for a change.
func (d *Decider) isShortageSustained(now time.Time) bool {
	return d.shortRole != "" && d.smoothed.Downtime > 0 && now.Sub(d.shortSince) >= shortageDowntimeFactor*d.smoothed.Downtime
}

// smoothWait returns the moving average of a wait after one more sample. A single
// sample depends on the prompt that is being prefilled at that moment.
func smoothWait(mean, sample time.Duration) time.Duration {
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}

// roleInShortage returns the role that lacks engines while the other role has spare
// capacity, or "" if there is none.
func roleInShortage(s Sample) burdockyard.Role {
	hasSpareCapacity := func(wait, otherWait time.Duration) bool { return float64(otherWait) < spareCapacityRatio*float64(wait) }
	switch {
	case s.Prefill.Wait >= shortageWait && hasSpareCapacity(s.Prefill.Wait, s.Decode.Wait) && s.Decode.Engines > minEngines:
		return burdockyard.RolePrefill
	case s.Decode.Wait >= shortageWait && hasSpareCapacity(s.Decode.Wait, s.Prefill.Wait) && s.Prefill.Engines > minEngines:
		return burdockyard.RoleDecode
	}
	return ""
}

// WantedRole returns the role that one more engine should take, and whether there is
// one. There is one if a shortage is sustained and no change happened within the
// cooldown.
func (d *Decider) WantedRole() (burdockyard.Role, bool) {
	now := d.clock.Now()
	if !d.isShortageSustained(now) {
		return "", false
	}
	if !d.changedAt.IsZero() && now.Sub(d.changedAt) < d.cooldown() {
		return "", false
	}
	return d.shortRole, true
}

// cooldown returns the minimum time between two changes.
func (d *Decider) cooldown() time.Duration {
	return min(cooldownDowntimeFactor*d.smoothed.Downtime<<min(d.reversals, 10), maxCooldown)
}

// RecordOrder records that an engine was ordered to change to role. Callers report
// every order, whatever its outcome, because an order without an answer may still be
// carried out.
func (d *Decider) RecordOrder(role burdockyard.Role) { d.recordChange(role, d.clock.Now()) }

func (d *Decider) recordChange(role burdockyard.Role, now time.Time) {
	d.changedTo, d.changedAt, d.shortRole = role, now, ""
}
