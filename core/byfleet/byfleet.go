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
	// returnGrace is how long entries that are missing right after a store outage
	// count as alive: endpoints write their entries back in about 2 s.
	returnGrace = 2 * time.Second
	// outageAfter is the age of the newest reading from which on the store counts
	// as having been away.
	outageAfter = 2 * time.Second
	// strangerFor is how long an entry is set aside whose address belongs to
	// another endpoint. A new start of the endpoint changes the entry's sequence.
	strangerFor = 20 * time.Second
	// firstRest and longestRest bound how long an endpoint that failed gets no
	// work; each further failure doubles the rest.
	firstRest   = 250 * time.Millisecond
	longestRest = 2 * time.Second
	// failuresToRest is how many failures in a row make an endpoint rest. A sound
	// service may fail every seventh request by itself.
	failuresToRest = 4
	// refusalRest is how long an endpoint gets no work after it has refused some;
	// each further refusal in a row doubles it, up to longestRefusal. It is about
	// the time in which an engine with a full batch has a place again.
	refusalRest    = 50 * time.Millisecond
	longestRefusal = 800 * time.Millisecond
	// refusalsToTell is how many refusals in a row are worth a line in the log.
	refusalsToTell = 4
	// failRateWeight is the weight of the newest result in the failure rate.
	failRateWeight = 0.08
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
	instance burdockyard.Instance
	missing  time.Time // since when the registry lacks it, zero while it is there
	failures int       // in a row
	refusals int       // in a row, those of one rest count once
	aside    bool      // it was told of as set aside, and has not succeeded since
	failRate float64
	restTill time.Time
	stranger time.Time // until when its address counts as another endpoint's
	held     time.Time // until when it gets no work because it is about to change
}

// Fleet is one node's view of the endpoints. Its methods may be called from
// several goroutines; mu is a leaf lock.
type Fleet struct {
	clock burdockyard.Clock

	mu       sync.RWMutex
	entries  map[burdockyard.EndpointID]*entry
	readAt   time.Time // when the newest reading was asked for
	returned time.Time // when the store came back after an outage
}

// New returns a Fleet that knows no endpoint.
func New(clock burdockyard.Clock) *Fleet {
	return &Fleet{clock: clock, entries: map[burdockyard.EndpointID]*entry{}}
}

// Apply takes in the entries that changed and those that are gone.
func (f *Fleet) Apply(changed []burdockyard.Instance, removed []burdockyard.EndpointID, askedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteReading(askedAt)
	for _, in := range changed {
		f.see(in)
	}
	for _, id := range removed {
		f.remove(id)
	}
	f.sweep()
}

// Age returns how old the newest reading of the registry is.
func (f *Fleet) Age() time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.clock.Now().Sub(f.readAt)
}

func (f *Fleet) noteReading(askedAt time.Time) {
	if !f.readAt.IsZero() && askedAt.Sub(f.readAt) > outageAfter {
		f.returned = f.clock.Now()
	}
	if askedAt.After(f.readAt) {
		f.readAt = askedAt
	}
}

func (f *Fleet) see(in burdockyard.Instance) {
	e := f.entries[in.ID]
	if e == nil {
		e = &entry{}
		f.entries[in.ID] = e
	}
	restarted := in.Sequence < e.instance.Sequence || in.Addr != e.instance.Addr
	if restarted {
		*e = entry{}
	}
	if in.Role != e.instance.Role {
		e.stranger = time.Time{} // it refused work of another role than the entry named
	}
	e.instance = in
	e.missing = time.Time{}
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
	if e.missing.IsZero() {
		e.missing = now
	}
	if f.returned.IsZero() || now.Sub(f.returned) >= returnGrace || e.instance.Leaving {
		delete(f.entries, id)
	}
}

// sweep drops entries whose grace has ended.
func (f *Fleet) sweep() {
	now := f.clock.Now()
	for id, e := range f.entries {
		if !e.missing.IsZero() && now.Sub(f.returned) >= returnGrace {
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
	var awake, resting []Endpoint
	for _, e := range f.entries {
		if e.instance.Service != service || e.instance.Leaving || now.Before(e.stranger) || now.Before(e.held) {
			continue
		}
		ep := Endpoint{Instance: e.instance, FailRate: e.failRate}
		if now.Before(e.restTill) {
			resting = append(resting, ep)
		} else {
			awake = append(awake, ep)
		}
	}
	if len(awake) == 0 {
		awake = resting
	}
	slices.SortFunc(awake, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return awake
}

// MayGet reports whether an endpoint may still get new work. It is asked at the
// moment of sending, since the answer of Usable may be old by then.
func (f *Fleet) MayGet(id burdockyard.EndpointID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	e := f.entries[id]
	return e != nil && !e.instance.Leaving && !f.clock.Now().Before(e.stranger)
}

// Hold keeps new work from an endpoint for a time, since it is about to change.
func (f *Fleet) Hold(id burdockyard.EndpointID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.entries[id]; e != nil {
		e.held = f.clock.Now().Add(d)
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

// refuse begins a rest after a refusal. Without one, an endpoint that refuses
// although it is idle would look the least loaded and draw all requests. A
// refusal during a rest belongs to a request that was sent before it.
func (e *entry) refuse(now time.Time) Standing {
	if now.Before(e.restTill) {
		return Unchanged
	}
	e.refusals++
	e.restTill = now.Add(min(refusalRest<<min(e.refusals-1, 8), longestRefusal))
	if e.refusals != refusalsToTell {
		return Unchanged
	}
	e.aside = true
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
		e.failures, e.refusals = 0, 0
		e.failRate *= 1 - failRateWeight
		if e.aside {
			e.aside = false
			return Back
		}
		return Unchanged
	case Shed:
		return e.refuse(now)
	case Stranger:
		e.stranger, e.aside = now.Add(strangerFor), true
		return Aside
	}
	e.failures++
	e.failRate += failRateWeight * (1 - e.failRate)
	if e.failures < failuresToRest && r != Unreachable && r != Silent {
		return Unchanged
	}
	rest := firstRest << min(e.failures-1, 8)
	e.restTill, e.aside = now.Add(min(rest, longestRest)), true
	return Aside
}
