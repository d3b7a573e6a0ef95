// Package byrole decides when an engine of a model changes its role, between
// reading prompts and producing output.
//
// # Usage
//
//	d := byrole.New(clock)
//	d.Observe(byrole.Sample{Readers: p, Runners: r, Away: spec.RoleChange}) // each second
//	if change, ok := d.Wanted(); ok { d.Tried(); … order it … }
//
// # When a change pays
//
// A changing engine is away for seconds and loses what it keeps. The rest must
// carry its work meanwhile, and whatever was gained is lost again when the mix
// swings back. Bursts come and go faster than that, and are met by choosing for
// each prompt where it is read. So a change needs a shortage on one side, with
// room on the other one, over a time that is a multiple of the absence, and the
// next one waits for longer the more often the mix has swung back.
package byrole

import (
	"time"

	"burdockyard"
)

const (
	// shortageDowntimeFactor is how long a shortage must last, in absences of an engine.
	shortageDowntimeFactor = 3
	// shortageWait is the mean wait at the engines of one side that counts as short
	// of engines: half of the time in which callers expect the first event.
	shortageWait = 250 * time.Millisecond
	// spareCapacityRatio is the part of the short side's wait up to which the other side
	// has room.
	spareCapacityRatio = 0.25
	// minEngines is how many engines a side keeps.
	minEngines = 2
	// cooldownDowntimeFactor is the time between two changes, in absences. It doubles with
	// each lasting shortage of the side that gave an engine, up to maxCooldown.
	cooldownDowntimeFactor = 10
	maxCooldown            = 10 * time.Minute
	// sampleWeight is the weight of the newest sample in the mean.
	sampleWeight = 0.3
	// sampleInterval is the usual time between two samples; a gap of several of them
	// starts the observation anew.
	sampleInterval = time.Second
)

// Side is the state of the engines of one role.
type Side struct {
	Engines int
	Wait    time.Duration // mean time that a new prompt or stream waits there
}

// Sample is what was seen at one moment.
type Sample struct {
	Readers Side
	Runners Side
	Away    time.Duration // for how long a changing engine serves nobody
}

// Decider follows one service's samples. It is not safe for concurrent use.
type Decider struct {
	clock burdockyard.Clock

	smoothed        Sample
	sampledAt       time.Time
	shortRole       burdockyard.Role // role that is short, empty if none is
	shortSince      time.Time        // of the shortage
	changedAt       time.Time        // last change seen or tried
	changedTo       burdockyard.Role // of the last change
	reversals       int              // lasting shortages of the side that gave the last engine
	reversalCounted bool             // the shortage of now is among them
}

// New returns a Decider that has seen nothing.
func New(clock burdockyard.Clock) *Decider { return &Decider{clock: clock} }

// Observe takes a sample in. A change of the number of engines counts as a change
// of roles by another node, or as a restart: either way the mix is judged anew.
func (d *Decider) Observe(s Sample) {
	now := d.clock.Now()
	gap := !d.sampledAt.IsZero() && now.Sub(d.sampledAt) > 3*sampleInterval
	if gap || s.Readers.Engines != d.smoothed.Readers.Engines || s.Runners.Engines != d.smoothed.Runners.Engines {
		d.shortRole = ""
		if s.Readers.Engines > d.smoothed.Readers.Engines && s.Runners.Engines < d.smoothed.Runners.Engines {
			d.recordChange(burdockyard.RolePrefill, now)
		}
		if s.Readers.Engines < d.smoothed.Readers.Engines && s.Runners.Engines > d.smoothed.Runners.Engines {
			d.recordChange(burdockyard.RoleDecode, now)
		}
	}
	if gap || d.sampledAt.IsZero() {
		d.smoothed = s
	}
	s.Readers.Wait = smoothWait(d.smoothed.Readers.Wait, s.Readers.Wait)
	s.Runners.Wait = smoothWait(d.smoothed.Runners.Wait, s.Runners.Wait)
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

// isShortageSustained reports whether the shortage has been there for long enough.
func (d *Decider) isShortageSustained(now time.Time) bool {
	return d.shortRole != "" && d.smoothed.Away > 0 && now.Sub(d.shortSince) >= shortageDowntimeFactor*d.smoothed.Away
}

// smoothWait is the mean of the last few samples: the waits of one moment depend on
// the prompt that is being read.
func smoothWait(mean, sample time.Duration) time.Duration {
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}

// roleInShortage returns the role that lacks engines while the other one has room.
func roleInShortage(s Sample) burdockyard.Role {
	hasSpareCapacity := func(wait, otherWait time.Duration) bool { return float64(otherWait) < spareCapacityRatio*float64(wait) }
	switch {
	case s.Readers.Wait >= shortageWait && hasSpareCapacity(s.Readers.Wait, s.Runners.Wait) && s.Runners.Engines > minEngines:
		return burdockyard.RolePrefill
	case s.Runners.Wait >= shortageWait && hasSpareCapacity(s.Runners.Wait, s.Readers.Wait) && s.Readers.Engines > minEngines:
		return burdockyard.RoleDecode
	}
	return ""
}

// Wanted returns the role that one more engine should have.
func (d *Decider) Wanted() (burdockyard.Role, bool) {
	now := d.clock.Now()
	if !d.isShortageSustained(now) {
		return "", false
	}
	if !d.changedAt.IsZero() && now.Sub(d.changedAt) < d.cooldown() {
		return "", false
	}
	return d.shortRole, true
}

func (d *Decider) cooldown() time.Duration {
	return min(cooldownDowntimeFactor*d.smoothed.Away<<min(d.reversals, 10), maxCooldown)
}

// Tried notes that a change was ordered, whatever came of it: an order without an
// answer may still be carried out.
func (d *Decider) Tried(role burdockyard.Role) { d.recordChange(role, d.clock.Now()) }

func (d *Decider) recordChange(role burdockyard.Role, now time.Time) {
	d.changedTo, d.changedAt, d.shortRole = role, now, ""
}
