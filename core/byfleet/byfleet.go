// Package byfleet tracks the known endpoints and which of them may get work. It
// combines the entries of the registry with the results of this node's requests.
//
// # Usage
//
//	f := byfleet.New(clock)
//	f.Apply(changed, removed, requestedAt) // changes found by a registry read
//	for _, e := range f.Usable("quote-llm") { … }
//	f.Report(id, byfleet.Succeeded)        // after each attempt
package byfleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"burdockyard"
)

const (
	// reregistrationGrace is how long after the end of a store outage missing
	// entries are kept. Endpoints write their entries back in about 2 s.
	reregistrationGrace = 2 * time.Second
	// storeOutageThreshold is the time between two registry reads above which the
	// store is assumed to have been unavailable in between.
	storeOutageThreshold = 2 * time.Second
	// wrongEndpointSuspension is how long an endpoint gets no work after another
	// endpoint answered at its address. It ends early when the endpoint restarts,
	// which resets the entry's sequence, or changes its role.
	wrongEndpointSuspension = 20 * time.Second
	// minFailureBackoff and maxFailureBackoff bound how long an endpoint gets no
	// work after failures. Each consecutive failure doubles the backoff, including
	// those below failureThreshold.
	minFailureBackoff = 250 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
	// failureThreshold is the number of consecutive failures that start a backoff.
	// A healthy service may fail every seventh request.
	failureThreshold = 4
	// minShedBackoff is how long an endpoint gets no work after it shed a request.
	// Each consecutive shed request doubles the backoff, up to maxShedBackoff. An
	// engine with a full batch frees a slot in about this time.
	minShedBackoff = 50 * time.Millisecond
	maxShedBackoff = 800 * time.Millisecond
	// shedLogThreshold is the number of consecutive shed requests at which the
	// endpoint is reported as suspended, so that it is logged once.
	shedLogThreshold = 4
	// failRateSampleWeight is the weight of the newest result in the moving average
	// of the failure rate.
	failRateSampleWeight = 0.08
)

// Result is the outcome of one attempt at an endpoint.
type Result int

// The results of an attempt.
const (
	Succeeded     Result = iota
	Failed               // the endpoint answered with an error or an invalid response
	Unreachable          // the connection could not be opened, or it broke
	Shed                 // the endpoint refused the request for lack of capacity
	WrongEndpoint        // another endpoint answered at the address
	NoAnswer             // no response before the request's deadline
	Silent               // no response for far longer than predicted
)

// String returns the name of the result in logs.
func (r Result) String() string {
	return [...]string{"succeeded", "failed", "unreachable", "full", "another endpoint at the address", "no answer", "silent"}[r]
}

// StateChange is a change in an endpoint's availability that a result caused and that
// callers log.
type StateChange int

// The changes in an endpoint's availability.
const (
	Unchanged StateChange = iota
	Suspended             // the endpoint gets no work for a while
	Restored              // the endpoint succeeded again after it had been suspended
)

// Endpoint is a snapshot of one endpoint of a Fleet.
type Endpoint struct {
	burdockyard.Instance
	// FailRate is the share of recent attempts that failed, from 0 to 1, as a moving
	// average.
	FailRate float64
}

type entry struct {
	instance            burdockyard.Instance
	missingSince        time.Time // when the registry first lacked the entry; zero if present
	consecutiveFailures int
	consecutiveSheds    int  // without those that were shed during a backoff
	suspended           bool // reported as suspended, with no success since
	failRate            float64
	backoffUntil        time.Time
	wrongEndpointUntil  time.Time // no work until then, as another endpoint uses the address
	heldUntil           time.Time // no work until then, as its role is about to change
}

// Fleet is one node's view of the endpoints. It is safe for concurrent use. No
// other lock is taken while mu is held.
type Fleet struct {
	clock burdockyard.Clock

	mu               sync.RWMutex
	entries          map[burdockyard.EndpointID]*entry
	lastReadAt       time.Time // when the newest registry read was requested
	storeRecoveredAt time.Time // when the store was first read after its last outage
}

// New returns a Fleet without endpoints.
func New(clock burdockyard.Clock) *Fleet {
	return &Fleet{clock: clock, entries: map[burdockyard.EndpointID]*entry{}}
}

// Apply applies the changed and removed entries of a registry read that was
// requested at requestedAt.
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

// RegistryAge returns the time since the newest registry read was requested.
func (f *Fleet) RegistryAge() time.Duration {
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
		e.wrongEndpointUntil = time.Time{} // the endpoint may have refused work because the entry named another role
	}
	e.instance = instance
	e.missingSince = time.Time{}
}

// remove deletes an entry, or marks it as missing if the store has just recovered
// from an outage: an endpoint whose entry expired during the outage needs time to
// write it again. While the registry cannot be read, nothing is removed.
func (f *Fleet) remove(id burdockyard.EndpointID) {
	e := f.entries[id]
	if e == nil {
		return
	}
	now := f.clock.Now()
	if e.missingSince.IsZero() {
		e.missingSince = now
	}
	if f.storeRecoveredAt.IsZero() || now.Sub(f.storeRecoveredAt) >= reregistrationGrace || e.instance.Draining {
		delete(f.entries, id)
	}
}

// removeExpired deletes missing entries once reregistrationGrace has passed.
func (f *Fleet) removeExpired() {
	now := f.clock.Now()
	for id, e := range f.entries {
		if !e.missingSince.IsZero() && now.Sub(f.storeRecoveredAt) >= reregistrationGrace {
			delete(f.entries, id)
		}
	}
}

// Usable returns the endpoints of a service that may get new work, ordered by
// ID. Endpoints in backoff are returned only if there are no others.
func (f *Fleet) Usable(service string) []Endpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.clock.Now()
	var ready, backingOff []Endpoint
	for _, e := range f.entries {
		if e.instance.Service != service || e.instance.Draining || now.Before(e.wrongEndpointUntil) || now.Before(e.heldUntil) {
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

// AcceptsWork reports whether a request may still be sent to an endpoint. Callers check
// it right before they send, because the result of Usable may be outdated by then.
func (f *Fleet) AcceptsWork(id burdockyard.EndpointID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	e := f.entries[id]
	return e != nil && !e.instance.Draining && !f.clock.Now().Before(e.wrongEndpointUntil)
}

// Hold keeps new work from an endpoint for the duration d, because its role is
// about to change.
func (f *Fleet) Hold(id burdockyard.EndpointID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.entries[id]; e != nil {
		e.heldUntil = f.clock.Now().Add(d)
	}
}

// Role returns the role of an endpoint in the registry, or "" if the endpoint is
// not known.
func (f *Fleet) Role(id burdockyard.EndpointID) burdockyard.Role {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if e := f.entries[id]; e != nil {
		return e.instance.Role
	}
	return ""
}

// Contains reports whether there is an entry for an endpoint.
func (f *Fleet) Contains(id burdockyard.EndpointID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.entries[id] != nil
}

// Len returns the number of endpoints with an entry.
func (f *Fleet) Len() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.entries)
}

// recordShed starts a backoff after a shed request. Without one, an idle endpoint
// that refuses work would look the least loaded and attract all requests. A
// request that is shed during a backoff was sent before it and is ignored.
func (e *entry) recordShed(now time.Time) StateChange {
	if now.Before(e.backoffUntil) {
		return Unchanged
	}
	e.consecutiveSheds++
	e.backoffUntil = now.Add(min(minShedBackoff<<min(e.consecutiveSheds-1, 8), maxShedBackoff))
	if e.consecutiveSheds != shedLogThreshold {
		return Unchanged
	}
	e.suspended = true
	return Suspended
}

// Report records the result of an attempt and returns how the endpoint's
// availability changed. It ignores endpoints that are not known.
func (f *Fleet) Report(id burdockyard.EndpointID, r Result) StateChange {
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
			return Restored
		}
		return Unchanged
	case Shed:
		return e.recordShed(now)
	case WrongEndpoint:
		e.wrongEndpointUntil, e.suspended = now.Add(wrongEndpointSuspension), true
		return Suspended
	}
	e.consecutiveFailures++
	e.failRate += failRateSampleWeight * (1 - e.failRate)
	if e.consecutiveFailures < failureThreshold && r != Unreachable && r != Silent {
		return Unchanged
	}
	backoff := minFailureBackoff << min(e.consecutiveFailures-1, 8)
	e.backoffUntil, e.suspended = now.Add(min(backoff, maxFailureBackoff)), true
	return Suspended
}
