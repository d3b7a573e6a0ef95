package byroute

import (
	"slices"
	"time"
)

const (
	// averageWeight is the weight of a new observation.
	averageWeight = 0.1
	// minObservations is how many are needed before an engine is judged.
	minObservations = 8
	// freshFor is how long an average counts after its last observation.
	freshFor = 10 * time.Second
	// slowRatio is how many times the median's delay makes an engine slow.
	slowRatio = 2.0
	// restoreRatio is the ratio below which a slow engine counts as usual again.
	restoreRatio = 1.4
	// minSpeed bounds how far an engine is weighted down.
	minSpeed = 0.02
	// probeEvery is how often a slow engine is offered a call as if it were not.
	probeEvery = 2 * time.Second
	// minExpected keeps tiny expected times from making huge ratios.
	minExpected = 5 * time.Millisecond
)

// average is an exponentially weighted average of ratios.
type average struct {
	value float64
	count int
	last  time.Time
}

func (a *average) add(x float64, now time.Time) {
	a.count++
	a.last = now
	if a.count == 1 {
		a.value = x
		return
	}
	// The first observations weigh evenly, so that one early outlier fades.
	weight := max(averageWeight, 1/float64(a.count))
	a.value += weight * (x - a.value)
}

func (a *average) known(now time.Time) bool {
	return a.count >= minObservations && now.Sub(a.last) < freshFor
}

// relative returns a delay as a multiple of the expected.
func relative(d, expected time.Duration) float64 {
	return float64(d) / float64(max(expected, minExpected))
}

// compareSpeeds sets each engine's speed from its delay against the median.
//
// The median of the engines is the measure, and not the rate in the manifest:
// a rate that is written too high would make every engine look slow, and a
// crest that delays all of them alike is no sign of a straggler.
func (r *Router) compareSpeeds(now time.Time) {
	gap := r.median(now, func(e *engine) *average { return &e.gap })
	first := r.median(now, func(e *engine) *average { return &e.first })
	for _, e := range r.engines {
		ratio := max(ratioTo(&e.gap, gap, now), ratioTo(&e.first, first, now))
		e.judge(ratio, now)
	}
}

func (r *Router) median(now time.Time, pick func(*engine) *average) float64 {
	var values []float64
	for _, e := range r.engines {
		if a := pick(e); a.known(now) {
			values = append(values, a.value)
		}
	}
	if len(values) < 3 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func ratioTo(a *average, median float64, now time.Time) float64 {
	if median <= 0 || !a.known(now) {
		return 0
	}
	return a.value / median
}

// judge weights an engine down or restores it. A ratio of 0 is no evidence: a
// slow engine without observations stays slow until a probe has told otherwise.
func (e *engine) judge(ratio float64, now time.Time) {
	switch {
	case ratio >= slowRatio:
		if e.speed == 1 {
			e.slowSince = now
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

// takeProbe notes that a due probe was used. Its observations count as the
// engine's newest, so that a few of them restore it.
func (r *Router) takeProbe(c Choice, now time.Time) {
	e := r.entry(c.Engine.ID())
	if !r.probeDue(e, now) {
		return
	}
	e.probeAt = now.Add(probeEvery)
	e.gap.count = min(e.gap.count, minObservations)
	e.first.count = min(e.first.count, minObservations)
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
