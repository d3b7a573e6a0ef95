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
	// sustained is how long a shortage must last, in absences of an engine.
	sustained = 3
	// shortWait is the mean wait at the engines of one side that counts as short
	// of engines: half of the time in which callers expect the first event.
	shortWait = 250 * time.Millisecond
	// roomyShare is the part of the short side's wait up to which the other side
	// has room.
	roomyShare = 0.25
	// leastLeft is how many engines a side keeps.
	leastLeft = 2
	// pauseAfter is the time between two changes, in absences. It doubles with
	// each lasting shortage of the side that gave an engine, up to longestPause.
	pauseAfter   = 10
	longestPause = 10 * time.Minute
	// sampleWeight is the weight of the newest sample in the mean.
	sampleWeight = 0.3
	// sampleEvery is the usual time between two samples; a gap of several of them
	// starts the observation anew.
	sampleEvery = time.Second
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

	last    Sample
	seen    time.Time
	want    burdockyard.Role // role that is short, empty if none is
	since   time.Time        // of the shortage
	changed time.Time        // last change seen or tried
	toward  burdockyard.Role // of the last change
	swings  int              // lasting shortages of the side that gave the last engine
	counted bool             // the shortage of now is among them
}

// New returns a Decider that has seen nothing.
func New(clock burdockyard.Clock) *Decider { return &Decider{clock: clock} }

// Observe takes a sample in. A change of the number of engines counts as a change
// of roles by another node, or as a restart: either way the mix is judged anew.
func (d *Decider) Observe(s Sample) {
	now := d.clock.Now()
	gap := !d.seen.IsZero() && now.Sub(d.seen) > 3*sampleEvery
	if gap || s.Readers.Engines != d.last.Readers.Engines || s.Runners.Engines != d.last.Runners.Engines {
		d.want = ""
		if s.Readers.Engines > d.last.Readers.Engines && s.Runners.Engines < d.last.Runners.Engines {
			d.note(burdockyard.RolePrefill, now)
		}
		if s.Readers.Engines < d.last.Readers.Engines && s.Runners.Engines > d.last.Runners.Engines {
			d.note(burdockyard.RoleDecode, now)
		}
	}
	if gap || d.seen.IsZero() {
		d.last = s
	}
	s.Readers.Wait = smooth(d.last.Readers.Wait, s.Readers.Wait)
	s.Runners.Wait = smooth(d.last.Runners.Wait, s.Runners.Wait)
	d.last, d.seen = s, now
	want := short(s)
	if want != d.want {
		d.want, d.since, d.counted = want, now, false
	}
	if d.lasts(now) && d.toward != "" && want != d.toward && !d.counted {
		d.swings++
		d.counted = true
	}
}

// lasts reports whether the shortage has been there for long enough.
func (d *Decider) lasts(now time.Time) bool {
	return d.want != "" && d.last.Away > 0 && now.Sub(d.since) >= sustained*d.last.Away
}

// smooth is the mean of the last few samples: the waits of one moment depend on
// the prompt that is being read.
func smooth(mean, sample time.Duration) time.Duration {
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}

// short returns the role that lacks engines while the other one has room.
func short(s Sample) burdockyard.Role {
	roomy := func(d, other time.Duration) bool { return float64(other) < roomyShare*float64(d) }
	switch {
	case s.Readers.Wait >= shortWait && roomy(s.Readers.Wait, s.Runners.Wait) && s.Runners.Engines > leastLeft:
		return burdockyard.RolePrefill
	case s.Runners.Wait >= shortWait && roomy(s.Runners.Wait, s.Readers.Wait) && s.Readers.Engines > leastLeft:
		return burdockyard.RoleDecode
	}
	return ""
}

// Wanted returns the role that one more engine should have.
func (d *Decider) Wanted() (burdockyard.Role, bool) {
	now := d.clock.Now()
	if !d.lasts(now) {
		return "", false
	}
	if !d.changed.IsZero() && now.Sub(d.changed) < d.pause() {
		return "", false
	}
	return d.want, true
}

func (d *Decider) pause() time.Duration {
	return min(pauseAfter*d.last.Away<<min(d.swings, 10), longestPause)
}

// Tried notes that a change was ordered, whatever came of it: an order without an
// answer may still be carried out.
func (d *Decider) Tried(toward burdockyard.Role) { d.note(toward, d.clock.Now()) }

func (d *Decider) note(toward burdockyard.Role, now time.Time) {
	d.toward, d.changed, d.want = toward, now, ""
}
