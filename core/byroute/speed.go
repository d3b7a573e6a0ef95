package byroute

import (
	"slices"
	"time"
)

const (
	// floorRiseRate is the fraction of the difference by which a floor rises
	// towards a larger observation.
	floorRiseRate = 0.02
	// minObservations is the number of token gaps needed to compare an engine with
	// the others.
	minObservations = 32
	// floorMaxAge is how long a floor is valid after its last observation.
	floorMaxAge = 10 * time.Second
	// slowRatio is the ratio to the median token gap from which an engine is slow.
	slowRatio = 2.5
	// recoveredRatio is the ratio to the median token gap below which a slow engine
	// is no longer slow; it is lower than slowRatio for hysteresis.
	recoveredRatio = 1.6
	// minSpeed is the lowest relative speed assumed for a slow engine.
	minSpeed = 0.02
	// probeInterval is the time between probes of a slow engine. A probe is a call
	// for which the engine is compared as if it were not slow.
	probeInterval = 8 * time.Second
	// baseIterationTime is the part of a token gap that does not depend on the
	// load.
	baseIterationTime = 5 * time.Millisecond
)

// delayFloor tracks the lower bound of delays, each relative to its expected value:
// it falls at once and rises slowly.
//
// With an average, an engine that processes a long prompt between its tokens would
// look slow. Such an engine still produces some tokens at the usual speed; an
// engine that is really slow produces none.
type delayFloor struct {
	value float64
	count int
	last  time.Time
}

func (f *delayFloor) add(x float64, now time.Time) {
	f.count++
	f.last = now
	if f.count == 1 || x < f.value {
		f.value = x
		return
	}
	f.value += floorRiseRate * (x - f.value)
}

// isReliable reports whether the floor is based on enough recent observations.
func (f *delayFloor) isReliable(now time.Time) bool {
	return f.count >= minObservations && now.Sub(f.last) < floorMaxAge
}

// ratioToExpected returns the ratio of a delay to its expected value, which is
// taken to be baseIterationTime at least.
func ratioToExpected(d, expected time.Duration) float64 {
	return float64(d) / float64(max(expected, baseIterationTime))
}

// compareSpeeds sets the speed of each engine from the ratio of its token gaps to
// the median of all engines.
//
// The reference is the median and not the rate in the manifest, because a rate that
// is set too high there would make every engine look slow, and a burst that delays
// all engines alike does not indicate a straggler.
func (r *Router) compareSpeeds(now time.Time) {
	median := r.medianTokenGap(now)
	for _, e := range r.engines {
		e.updateSpeed(ratioToMedian(&e.tokenGap, median, now), now)
	}
}

// medianTokenGap returns the median token gap of the engines, or 0 if fewer than 3
// are known.
func (r *Router) medianTokenGap(now time.Time) float64 {
	var values []float64
	for _, e := range r.engines {
		if e.tokenGap.isReliable(now) {
			values = append(values, e.tokenGap.value)
		}
	}
	if len(values) < 3 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// ratioToMedian returns the ratio of a floor to the median, or 0 if either is
// unknown.
func ratioToMedian(f *delayFloor, median float64, now time.Time) float64 {
	if median <= 0 || !f.isReliable(now) {
		return 0
	}
	return f.value / median
}

// updateSpeed updates the speed of an engine from its ratio to the median. A ratio
// of 0 means that it is unknown: a slow engine without observations stays slow
// until a probe shows otherwise.
func (e *engineState) updateSpeed(ratio float64, now time.Time) {
	switch {
	case ratio >= slowRatio:
		if e.speed == 1 {
			e.nextProbeAt = now.Add(probeInterval)
		}
		e.speed = max(minSpeed, 1/ratio)
	case ratio > 0 && ratio < recoveredRatio:
		e.speed = 1
	}
}

// isProbeDue reports whether it is time to probe an engine that is slow.
func (r *Router) isProbeDue(e *engineState, now time.Time) bool {
	return e.speed < 1 && !now.Before(e.nextProbeAt)
}

// scheduleNextProbe schedules the next probe if the chosen engine was due for one.
// Once a token of the probe arrives at the usual speed, the engine no longer counts as
// slow.
func (r *Router) scheduleNextProbe(c Choice, now time.Time) {
	e := r.state(c.Engine.ID())
	if !r.isProbeDue(e, now) {
		return
	}
	e.nextProbeAt = now.Add(probeInterval)
}

// SlowEngines returns the sorted IDs of the engines that are currently considered slow.
func (r *Router) SlowEngines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, e := range r.engines {
		if e.speed < 1 {
			ids = append(ids, string(id))
		}
	}
	slices.Sort(ids)
	return ids
}
