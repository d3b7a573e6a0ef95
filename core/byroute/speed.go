package byroute

import (
	"slices"
	"time"
)

const (
	// floorRise is how far a floor rises towards a larger observation.
	floorRise = 0.02
	// minObservations is how many are needed before an engine is judged.
	minObservations = 32
	// freshFor is how long a floor counts after its last observation.
	freshFor = 10 * time.Second
	// slowRatio is how many times the median's delay makes an engine slow.
	slowRatio = 2.5
	// restoreRatio is the ratio below which a slow engine counts as usual again.
	restoreRatio = 1.6
	// minSpeed bounds how far an engine is weighted down.
	minSpeed = 0.02
	// probeEvery is how often a slow engine is offered a call as if it were not.
	probeEvery = 8 * time.Second
	// usualIteration is the part of the distance of tokens that no load changes.
	usualIteration = 5 * time.Millisecond
)

// floor follows the lower edge of delays, as multiples of the expected: it falls
// at once and rises slowly.
//
// An average would take an engine for slow that has a long prompt between its
// tokens. Such an engine still makes some tokens as fast as any; one that is
// slowed makes none.
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

func (f *floor) known(now time.Time) bool {
	return f.count >= minObservations && now.Sub(f.last) < freshFor
}

// relative returns a delay as a multiple of the expected.
func relative(d, expected time.Duration) float64 {
	return float64(d) / float64(max(expected, usualIteration))
}

// compareSpeeds sets each engine's speed from its delay against the median.
//
// The median of the engines is the measure, and not the rate in the manifest:
// a rate that is written too high would make every engine look slow, and a
// burst that delays all of them alike is no sign of a straggler.
func (r *Router) compareSpeeds(now time.Time) {
	median := r.median(now)
	for _, e := range r.engines {
		e.judge(ratioTo(&e.gap, median, now), now)
	}
}

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

func ratioTo(f *floor, median float64, now time.Time) float64 {
	if median <= 0 || !f.known(now) {
		return 0
	}
	return f.value / median
}

// judge weights an engine down or restores it. A ratio of 0 is no evidence: a
// slow engine without observations stays slow until a probe has told otherwise.
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

// probeDue reports whether a slow engine may be offered a call at full weight.
func (r *Router) probeDue(e *engine, now time.Time) bool {
	return e.speed < 1 && !now.Before(e.probeAt)
}

// takeProbe notes that a due probe was used. Its first fast token restores the
// engine.
func (r *Router) takeProbe(c Choice, now time.Time) {
	e := r.entry(c.Engine.ID())
	if !r.probeDue(e, now) {
		return
	}
	e.probeAt = now.Add(probeEvery)
}

// Slow returns the engines that are weighted down now.
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
