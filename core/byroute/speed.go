package byroute

import (
	"slices"
	"time"
)

const (
	// floorRise is the fraction of the difference by which a floor rises towards a
	// larger observation.
	floorRise = 0.02
	// minObservations is the number of token gaps needed to compare an engine with
	// the others.
	minObservations = 32
	// freshFor is how long a floor is valid after its last observation.
	freshFor = 10 * time.Second
	// slowRatio is the ratio to the median token gap from which an engine is slow.
	slowRatio = 2.5
	// restoreRatio is the ratio to the median token gap below which a slow engine is
	// no longer slow; it is lower than slowRatio for hysteresis.
	restoreRatio = 1.6
	// minSpeed is the lowest relative speed assumed for a slow engine.
	minSpeed = 0.02
	// probeEvery is the time between probes of a slow engine. A probe is a call for
	// which the engine is compared as if it were not slow.
	probeEvery = 8 * time.Second
	// usualIteration is the part of a token gap that does not depend on the load.
	usualIteration = 5 * time.Millisecond
)

// floor tracks the lower bound of delays, each relative to its expected value: it
// falls at once and rises slowly.
//
// An average would make an engine look slow that processes a long prompt between
// its tokens. Such an engine still produces some tokens at the usual speed; an
// engine that is really slow produces none.
type floor struct {
	value float64
	count int
	last  time.Time
}

func (f *floor) add(x float64, now time.Time) {
	f.count++
	f.last = now
	if f.count == 1 || x < f.value {
		f.value = x
		return
	}
	f.value += floorRise * (x - f.value)
}

// known reports whether the floor is based on enough recent observations.
func (f *floor) known(now time.Time) bool {
	return f.count >= minObservations && now.Sub(f.last) < freshFor
}

// relative returns the ratio of a delay to its expected value, which is taken to be
// usualIteration at least.
func relative(d, expected time.Duration) float64 {
	return float64(d) / float64(max(expected, usualIteration))
}

// compareSpeeds sets the speed of each engine from the ratio of its token gaps to
// the median of all engines.
//
// The reference is the median and not the rate in the manifest, because a rate that
// is set too high there would make every engine look slow, and a burst that delays
// all engines alike does not indicate a straggler.
func (r *Router) compareSpeeds(now time.Time) {
	median := r.median(now)
	for _, e := range r.engines {
		e.judge(ratioTo(&e.gap, median, now), now)
	}
}

// median returns the median floor of the engines, or 0 if fewer than 3 are known.
func (r *Router) median(now time.Time) float64 {
	var values []float64
	for _, e := range r.engines {
		if e.gap.known(now) {
			values = append(values, e.gap.value)
		}
	}
	if len(values) < 3 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// ratioTo returns the ratio of a floor to the median, or 0 if either is unknown.
func ratioTo(f *floor, median float64, now time.Time) float64 {
	if median <= 0 || !f.known(now) {
		return 0
	}
	return f.value / median
}

// judge updates the speed of an engine from its ratio to the median. A ratio of 0
// means that it is unknown: a slow engine without observations stays slow until a
// probe shows otherwise.
func (e *engine) judge(ratio float64, now time.Time) {
	switch {
	case ratio >= slowRatio:
		if e.speed == 1 {
			e.probeAt = now.Add(probeEvery)
		}
		e.speed = max(minSpeed, 1/ratio)
	case ratio > 0 && ratio < restoreRatio:
		e.speed = 1
	}
}

// probeDue reports whether it is time to probe an engine that is slow.
func (r *Router) probeDue(e *engine, now time.Time) bool {
	return e.speed < 1 && !now.Before(e.probeAt)
}

// takeProbe schedules the next probe if the chosen engine was due for one. The first
// fast token of the probe makes the engine count as usual again.
func (r *Router) takeProbe(c Choice, now time.Time) {
	e := r.entry(c.Engine.ID())
	if !r.probeDue(e, now) {
		return
	}
	e.probeAt = now.Add(probeEvery)
}

// Slow returns the sorted IDs of the engines that are currently considered slow.
func (r *Router) Slow() []string {
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
