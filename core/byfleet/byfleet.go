// Package byfleet knows which endpoints there are and which of them may get work.
// It joins what the registry says with what our own requests saw.
//
// # Usage
//
//	f := byfleet.New(clock)
//	f.Apply(changed, removed, askedAt) // what a reading of the registry changed
//	for _, e := range f.Usable("quote-llm") { … }
//	f.Report(id, byfleet.Succeeded)    // after each attempt
package byfleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"burdockyard"
)

const (
	// reregistrationGrace is how long entries that are missing right after a store outage
	// count as alive: endpoints write their entries back in about 2 s.
	reregistrationGrace = 2 * time.Second
	// storeOutageThreshold is the age of the newest reading from which on the store counts
	// as having been away.
	storeOutageThreshold = 2 * time.Second
	// wrongEndpointSuspension is how long an entry is set aside whose address belongs to
	// another endpoint. A new start of the endpoint changes the entry's sequence.
	wrongEndpointSuspension = 20 * time.Second
	// minFailureBackoff and maxFailureBackoff bound how long an endpoint that failed gets no
	// work; each further failure doubles the rest.
	minFailureBackoff = 250 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
	// failureThreshold is how many failures in a row make an endpoint rest. A sound
	// service may fail every seventh request by itself.
	failureThreshold = 4
	// minShedBackoff is how long an endpoint gets no work after it has refused some;
	// each further refusal in a row doubles it, up to maxShedBackoff. It is about
	// the time in which an engine with a full batch has a place again.
	minShedBackoff = 50 * time.Millisecond
	maxShedBackoff = 800 * time.Millisecond
	// shedLogThreshold is how many refusals in a row are worth a line in the log.
	shedLogThreshold = 4
	// failRateSampleWeight is the weight of the newest result in the failure rate.
	failRateSampleWeight = 0.08
)

// Result is what came of one attempt at an endpoint.
type Result int

// The results of an attempt.
const (
	Succeeded   Result = iota
	Failed             // it answered with a failure of its own, or garbage
	Unreachable        // no connection, or the connection broke
	Shed               // it refused for lack of room
	Stranger           // another endpoint lives at the address
	NoAnswer           // silent until the time ran out
	Silent             // silent for far longer than predicted
)

// String returns the result as logs name it.
func (r Result) String() string {
	return [...]string{"succeeded", "failed", "unreachable", "full", "another endpoint at the address", "no answer", "silent"}[r]
}

// Standing is what a result has changed about an endpoint that is worth telling of.
type Standing int

// The changes of an endpoint's standing.
const (
	Unchanged Standing = iota
	Aside              // it begins a rest or is set aside
	Back               // it serves again
)

// Endpoint is one endpoint as it was when it was read from the Fleet.
type Endpoint struct {
	burdockyard.Instance
	// FailRate is the share of recent attempts that failed, 0 to 1.
	FailRate float64
}

type entry struct {
	instance            burdockyard.Instance
	missingSince        time.Time // since when the registry lacks it, zero while it is there
	consecutiveFailures int       // in a row
	consecutiveSheds    int       // in a row, those of one rest count once
	suspended           bool      // it was told of as set aside, and has not succeeded since
	failRate            float64
	backoffUntil        time.Time
	wrongEndpointUntil  time.Time // until when its address counts as another endpoint's
	heldUntil           time.Time // until when it gets no work because it is about to change
}

// Fleet is one node's view of the endpoints. Its methods may be called from
// several goroutines; mu is a leaf lock.
type Fleet struct {
	clock burdockyard.Clock

	mu               sync.RWMutex
	entries          map[burdockyard.EndpointID]*entry
	lastReadAt       time.Time // when the newest reading was asked for
	storeRecoveredAt time.Time // when the store came back after an outage
}

// New returns a Fleet that knows no endpoint.
func New(clock burdockyard.Clock) *Fleet {
	return &Fleet{clock: clock, entries: map[burdockyard.EndpointID]*entry{}}
}

// Apply takes in the entries that changed and those that are gone.
func (f *Fleet) Apply(changed []burdockyard.Instance, removed []burdockyard.EndpointID, requestedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordRead(requestedAt)
	for _, in := range changed {
		f.upsert(in)
	}
	for _, id := range removed {
		f.remove(id)
	}
	f.removeExpired()
}

// Age returns how old the newest reading of the registry is.
func (f *Fleet) Age() time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.clock.Now().Sub(f.lastReadAt)
}

func (f *Fleet) recordRead(requestedAt time.Time) {
	if !f.lastReadAt.IsZero() && requestedAt.Sub(f.lastReadAt) > storeOutageThreshold {
		f.storeRecoveredAt = f.clock.Now()
	}
	if requestedAt.After(f.lastReadAt) {
		f.lastReadAt = requestedAt
	}
}

func (f *Fleet) upsert(instance burdockyard.Instance) {
	e := f.entries[instance.ID]
	if e == nil {
		e = &entry{}
		f.entries[instance.ID] = e
	}
	restarted := instance.Sequence < e.instance.Sequence || instance.Addr != e.instance.Addr
	if restarted {
		*e = entry{}
	}
	if instance.Role != e.instance.Role {
		e.wrongEndpointUntil = time.Time{} // it refused work of another role than the entry named
	}
	e.instance = instance
	e.missingSince = time.Time{}
}

// remove drops an entry, or keeps it for a while if the store has just come
// back: an endpoint whose entry lapsed meanwhile needs a moment to write it anew.
// While the registry can't be read nothing is removed at all.
func (f *Fleet) remove(id burdockyard.EndpointID) {
	e := f.entries[id]
	if e == nil {
		return
	}
	now := f.clock.Now()
	if e.missingSince.IsZero() {
		e.missingSince = now
	}
	if f.storeRecoveredAt.IsZero() || now.Sub(f.storeRecoveredAt) >= reregistrationGrace || e.instance.Leaving {
		delete(f.entries, id)
	}
}

// removeExpired drops entries whose grace has ended.
func (f *Fleet) removeExpired() {
	now := f.clock.Now()
	for id, e := range f.entries {
		if !e.missingSince.IsZero() && now.Sub(f.storeRecoveredAt) >= reregistrationGrace {
			delete(f.entries, id)
		}
	}
}

// Usable returns the endpoints of a service that may get new work, ordered by
// id. Endpoints that rest after failures are left out unless nothing else is left.
func (f *Fleet) Usable(service string) []Endpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.clock.Now()
	var ready, backingOff []Endpoint
	for _, e := range f.entries {
		if e.instance.Service != service || e.instance.Leaving || now.Before(e.wrongEndpointUntil) || now.Before(e.heldUntil) {
			continue
		}
		ep := Endpoint{Instance: e.instance, FailRate: e.failRate}
		if now.Before(e.backoffUntil) {
			backingOff = append(backingOff, ep)
		} else {
			ready = append(ready, ep)
		}
	}
	if len(ready) == 0 {
		ready = backingOff
	}
	slices.SortFunc(ready, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return ready
}

// MayGet reports whether an endpoint may still get new work. It is asked at the
// moment of sending, since the answer of Usable may be old by then.
func (f *Fleet) MayGet(id burdockyard.EndpointID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	e := f.entries[id]
	return e != nil && !e.instance.Leaving && !f.clock.Now().Before(e.wrongEndpointUntil)
}

// Hold keeps new work from an endpoint for a time, since it is about to change.
func (f *Fleet) Hold(id burdockyard.EndpointID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.entries[id]; e != nil {
		e.heldUntil = f.clock.Now().Add(d)
	}
}

// Role returns the role that the registry names for an endpoint.
func (f *Fleet) Role(id burdockyard.EndpointID) burdockyard.Role {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if e := f.entries[id]; e != nil {
		return e.instance.Role
	}
	return ""
}

// Known reports whether the registry names an endpoint.
func (f *Fleet) Known(id burdockyard.EndpointID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.entries[id] != nil
}

// Len returns how many endpoints are known.
func (f *Fleet) Len() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.entries)
}

// recordShed begins a rest after a refusal. Without one, an endpoint that refuses
// although it is idle would look the least loaded and draw all requests. A
// refusal during a rest belongs to a request that was sent before it.
func (e *entry) recordShed(now time.Time) Standing {
	if now.Before(e.backoffUntil) {
		return Unchanged
	}
	e.consecutiveSheds++
	e.backoffUntil = now.Add(min(minShedBackoff<<min(e.consecutiveSheds-1, 8), maxShedBackoff))
	if e.consecutiveSheds != shedLogThreshold {
		return Unchanged
	}
	e.suspended = true
	return Aside
}

// Report takes in the result of an attempt, and returns what has changed.
func (f *Fleet) Report(id burdockyard.EndpointID, r Result) Standing {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[id]
	if e == nil {
		return Unchanged
	}
	now := f.clock.Now()
	switch r {
	case Succeeded:
		e.consecutiveFailures, e.consecutiveSheds = 0, 0
		e.failRate *= 1 - failRateSampleWeight
		if e.suspended {
			e.suspended = false
			return Back
		}
		return Unchanged
	case Shed:
		return e.recordShed(now)
	case Stranger:
		e.wrongEndpointUntil, e.suspended = now.Add(wrongEndpointSuspension), true
		return Aside
	}
	e.consecutiveFailures++
	e.failRate += failRateSampleWeight * (1 - e.failRate)
	if e.consecutiveFailures < failureThreshold && r != Unreachable && r != Silent {
		return Unchanged
	}
	backoff := minFailureBackoff << min(e.consecutiveFailures-1, 8)
	e.backoffUntil, e.suspended = now.Add(min(backoff, maxFailureBackoff)), true
	return Aside
}
