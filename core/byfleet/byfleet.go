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
	// hangMemory is how long after the last connection that could not be opened in time an
	// endpoint is probed. One that is dead leaves the registry sooner.
	hangMemory = 10 * time.Second
	// maxRest limits how long an endpoint gets no calls because it asked for that.
	maxRest = 5 * time.Minute
	// departureNewsTime is how long after a restore of the store nodes tell each other of
	// endpoints that had left before. A node that starts meanwhile may read that they are
	// ready.
	departureNewsTime = 30 * time.Second
	// maxDepartures is the largest number of removed endpoints that are remembered;
	// beyond it all are forgotten.
	maxDepartures = 4096
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
	NoConnection         // no connection could be opened in time
)

// String returns the name of the result in logs.
func (r Result) String() string {
	return [...]string{"succeeded", "failed", "unreachable", "full", "another endpoint at the address", "no answer", "silent", "no connection"}[r]
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
	hanging             bool      // whether no connection could be opened in time, and none since
	failRateBefore      float64   // failRate when the endpoint began to hang
	hangAt              time.Time // when no connection could be opened for the last time
	wrongEndpointUntil  time.Time // no work until then, as another endpoint uses the address
	heldUntil           time.Time // no work until then, as its role is about to change
	leaving             bool      // the endpoint itself has told a node that it is about to end
	restUntil           time.Time // no calls at all until then, as the endpoint has asked for it
}

// departure is what is known of an endpoint whose entry was removed.
type departure struct {
	bornMS    int64
	sequence  uint64
	leaving   bool
	restored  bool      // whether sequence is that of the entry in a restored store
	restUntil time.Time // no calls at all until then if the same process has an entry again
}

// LeavingEndpoint is an endpoint that has told a node that it is about to end.
type LeavingEndpoint struct {
	ID     burdockyard.EndpointID
	BornMS int64 // as in burdockyard.Instance
}

// Fleet is one node's view of the endpoints. It is safe for concurrent use. No
// other lock is taken while mu is held.
type Fleet struct {
	clock burdockyard.Clock

	mu               sync.RWMutex
	entries          map[burdockyard.EndpointID]*entry
	index            *index // nil if it has to be computed anew
	departed         map[burdockyard.EndpointID]departure
	lastReadAt       time.Time // when the newest registry read was requested
	storeRecoveredAt time.Time // when the store was first read after its last outage
	restoredAt       time.Time // when the store was last restored from an older copy; zero if it was not
}

// New returns a Fleet without endpoints.
func New(clock burdockyard.Clock) *Fleet {
	return &Fleet{clock: clock, entries: map[burdockyard.EndpointID]*entry{}, departed: map[burdockyard.EndpointID]departure{}}
}

// Apply applies the changed and removed entries of a registry read that was
// requested at requestedAt.
func (f *Fleet) Apply(changed []burdockyard.Instance, removed []burdockyard.EndpointID, requestedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordRead(requestedAt)
	if len(changed)+len(removed) > 0 {
		f.index = nil
	}
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

// ReadAt returns when the newest registry read was requested; zero if there was none.
func (f *Fleet) ReadAt() time.Time {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.lastReadAt
}

func (f *Fleet) recordRead(requestedAt time.Time) {
	if !f.lastReadAt.IsZero() && requestedAt.Sub(f.lastReadAt) > storeOutageThreshold {
		f.storeRecoveredAt = f.clock.Now()
	}
	if requestedAt.After(f.lastReadAt) {
		f.lastReadAt = requestedAt
	}
}

// RecordRestore records that the store was restored from an older copy. Entries that are
// missing there are kept for a while, since their endpoints write them again, and
// entries as of an earlier time do not replace newer ones.
func (f *Fleet) RecordRestore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restoredAt = f.clock.Now()
	f.storeRecoveredAt = f.restoredAt
}

// WasJustRestored reports whether the store has recovered or was restored so lately that
// endpoints may not have written their entries since.
func (f *Fleet) WasJustRestored() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.wasJustRestored()
}

// wasJustRestored implements WasJustRestored. The caller must hold mu.
func (f *Fleet) wasJustRestored() bool {
	return !f.storeRecoveredAt.IsZero() && f.clock.Now().Sub(f.storeRecoveredAt) < reregistrationGrace
}

// wasRestoredWithin reports whether the store was restored from an older copy less than
// d ago. The caller must hold mu.
func (f *Fleet) wasRestoredWithin(d time.Duration) bool {
	return !f.restoredAt.IsZero() && f.clock.Now().Sub(f.restoredAt) < d
}

// age is the relation of an entry to the one that was known before.
type age int

const (
	newerEntry  age = iota // written later by the same process
	nextProcess            // written by a later process of the endpoint
	olderEntry             // written earlier; only a restored store has it
)

// compareAge returns the age of an entry, given the start and the sequence number of
// the one before it at the same address.
func (f *Fleet) compareAge(in burdockyard.Instance, bornMS int64, sequence uint64) age {
	switch {
	case in.BornMS > 0 && bornMS > 0 && in.BornMS < bornMS:
		return olderEntry
	case in.BornMS > 0 && bornMS > 0 && in.BornMS > bornMS:
		return nextProcess
	case in.Sequence >= sequence:
		return newerEntry
	case in.BornMS > 0 && bornMS > 0 || f.wasJustRestored():
		return olderEntry
	}
	return nextProcess
}

func (f *Fleet) upsert(instance burdockyard.Instance) {
	e := f.entries[instance.ID]
	if e == nil {
		if e = f.newEntry(instance); e == nil {
			return
		}
		f.entries[instance.ID] = e
	}
	e.missingSince = time.Time{}
	relation := newerEntry
	if e.instance.ID != "" {
		relation = f.compareAge(instance, e.instance.BornMS, e.instance.Sequence)
		if instance.Addr != e.instance.Addr {
			relation = nextProcess
		}
	}
	switch relation {
	case olderEntry:
		return
	case nextProcess:
		*e = entry{}
	case newerEntry:
		// An endpoint that drains does not return. Its entry may say so in a restored
		// store, before the endpoint has written it again.
		instance.Draining = instance.Draining || e.instance.Draining && (instance.BornMS > 0 || f.wasJustRestored())
	}
	if instance.Role != e.instance.Role {
		e.wrongEndpointUntil = time.Time{} // the endpoint may have refused work because the entry named another role
	}
	e.instance = instance
}

// newEntry returns the entry for an endpoint that has none. It returns nil if the
// instance is from before the removal of its last one: a late write of the endpoint, or
// a restored store, may have undone the removal. The caller must hold mu.
func (f *Fleet) newEntry(instance burdockyard.Instance) *entry {
	d, ok := f.departed[instance.ID]
	if !ok {
		return &entry{}
	}
	relation := f.compareAge(instance, d.bornMS, d.sequence)
	e := &entry{}
	if relation == newerEntry {
		e.restUntil = d.restUntil
	}
	if d.bornMS == 0 && !f.wasJustRestored() {
		return e
	}
	if f.wasRestoredWithin(departureNewsTime) && relation != nextProcess {
		// An endpoint that lives shows it by a higher number than the first one that is
		// seen after the restore.
		isFirst := !d.restored
		if isFirst {
			d.sequence, d.restored = max(d.sequence, instance.Sequence), true
			f.departed[instance.ID] = d
		}
		if isFirst || instance.Sequence == d.sequence {
			return nil
		}
	}
	if relation == olderEntry {
		return nil
	}
	e.leaving = d.leaving && relation == newerEntry
	return e
}

// drop deletes an entry and remembers its endpoint. The caller must hold mu.
func (f *Fleet) drop(id burdockyard.EndpointID, e *entry) {
	if len(f.departed) >= maxDepartures {
		clear(f.departed)
	}
	f.departed[id] = departure{bornMS: e.instance.BornMS, sequence: e.instance.Sequence, leaving: e.leaving || e.instance.Draining, restUntil: e.restUntil}
	delete(f.entries, id)
	f.index = nil
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
		f.drop(id, e)
	}
}

// removeExpired deletes missing entries once reregistrationGrace has passed.
func (f *Fleet) removeExpired() {
	now := f.clock.Now()
	for id, e := range f.entries {
		if !e.missingSince.IsZero() && now.Sub(f.storeRecoveredAt) >= reregistrationGrace {
			f.drop(id, e)
		}
	}
}

// Usable returns the endpoints of a service that may get new work, ordered by
// ID. Endpoints in backoff are returned only if there are no others.
func (f *Fleet) Usable(service string) []Endpoint {
	entries := f.entriesOf(service)
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.clock.Now()
	ready := make([]Endpoint, 0, len(entries))
	var backingOff []Endpoint
	for _, e := range entries {
		// The entry may have changed since entriesOf has returned.
		if e.instance.Service != service || !e.acceptsWork(now) || now.Before(e.heldUntil) {
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
		return backingOff
	}
	return ready
}

// index serves lookups that would take too long over thousands of entries for each request.
// It is not changed once it is computed.
type index struct {
	byService map[string][]*entry // ordered by ID
	newestAt  map[string]int64    // BornMS of the newest process at each address
}

func newIndex(entries map[burdockyard.EndpointID]*entry) *index {
	x := &index{byService: map[string][]*entry{}, newestAt: make(map[string]int64, len(entries))}
	for _, e := range entries {
		x.byService[e.instance.Service] = append(x.byService[e.instance.Service], e)
		x.newestAt[e.instance.Addr] = max(x.newestAt[e.instance.Addr], e.instance.BornMS)
	}
	for _, all := range x.byService {
		slices.SortFunc(all, func(a, b *entry) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	}
	return x
}

// currentIndex returns the index of the present entries.
func (f *Fleet) currentIndex() *index {
	f.mu.RLock()
	x := f.index
	f.mu.RUnlock()
	if x != nil {
		return x
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.index == nil {
		f.index = newIndex(f.entries)
	}
	return f.index
}

// entriesOf returns the entries of a service, ordered by ID.
func (f *Fleet) entriesOf(service string) []*entry { return f.currentIndex().byService[service] }

// Count returns the number of known endpoints of a service, whether they may get work or
// not.
func (f *Fleet) Count(service string) int { return len(f.entriesOf(service)) }

// StreamVersions returns how many endpoints of a service accept new streams, by the
// version of their software. Backoffs do not count: they end soon.
func (f *Fleet) StreamVersions(service string) map[string]int {
	entries := f.entriesOf(service)
	f.mu.RLock()
	defer f.mu.RUnlock()
	versions := map[string]int{}
	for _, e := range entries {
		if e.instance.Service == service && e.instance.Role != burdockyard.RolePrefill && !e.instance.Draining && !e.leaving {
			versions[e.instance.Version]++
		}
	}
	return versions
}

// IsReplaced reports whether the endpoint of e has started again since, or at another
// version, as far as the registry tells.
func (f *Fleet) IsReplaced(e Endpoint) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	known := f.entries[e.ID]
	return known != nil && (known.instance.BornMS != e.BornMS || known.instance.Version != e.Version)
}

// AcceptsWork reports whether a request may still be sent to an endpoint. Callers check
// it right before they send, because the result of Usable may be outdated by then.
func (f *Fleet) AcceptsWork(id burdockyard.EndpointID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	e := f.entries[id]
	return e != nil && e.acceptsWork(f.clock.Now())
}

// acceptsWork reports whether a request may be sent to the endpoint.
func (e *entry) acceptsWork(now time.Time) bool {
	return !e.instance.Draining && !e.leaving && !now.Before(e.wrongEndpointUntil) && !now.Before(e.restUntil)
}

// AcceptsCalls reports whether any call may be sent to an endpoint, for example one for
// its state.
func (f *Fleet) AcceptsCalls(id burdockyard.EndpointID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	restUntil := f.departed[id].restUntil
	if e := f.entries[id]; e != nil {
		restUntil = e.restUntil
	}
	return !f.clock.Now().Before(restUntil)
}

// Rest keeps all calls from an endpoint for the duration d, at most maxRest, as the
// endpoint has asked this node for it.
func (f *Fleet) Rest(id burdockyard.EndpointID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := f.clock.Now().Add(min(d, maxRest))
	if e := f.entries[id]; e != nil && until.After(e.restUntil) {
		e.restUntil = until
	}
	if d, ok := f.departed[id]; ok && until.After(d.restUntil) {
		d.restUntil = until // its entry has lapsed while the request was on its way
		f.departed[id] = d
	}
}

// RestLeft returns the time until the first endpoint of a service that rests accepts
// work again, and false if none rests.
func (f *Fleet) RestLeft(service string) (time.Duration, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.clock.Now()
	var least time.Duration
	for _, e := range f.entries {
		left := e.restUntil.Sub(now)
		if e.instance.Service == service && left > 0 && e.acceptsWork(e.restUntil) && (least == 0 || left < least) {
			least = left
		}
	}
	return least, least > 0
}

// MarkLeaving records that an endpoint has told a node that it is about to end, and
// returns true if that is news. It has no effect on a later process of the endpoint.
// bornMS is 0 if the caller knows the endpoint by its latest entry only.
func (f *Fleet) MarkLeaving(id burdockyard.EndpointID, bornMS int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[id]
	if e == nil || e.leaving || bornMS != 0 && bornMS != e.instance.BornMS {
		return false
	}
	e.leaving = true
	return true
}

// Leaving returns the endpoints that are about to end, or have ended, though their
// entries may not say so, ordered by ID. Nodes tell each other of them.
func (f *Fleet) Leaving() []LeavingEndpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []LeavingEndpoint
	for id, e := range f.entries {
		if e.leaving {
			out = append(out, LeavingEndpoint{id, e.instance.BornMS})
		}
	}
	if f.wasRestoredWithin(departureNewsTime) {
		for id, d := range f.departed {
			if d.leaving && d.bornMS > 0 && f.entries[id] == nil {
				out = append(out, LeavingEndpoint{id, d.bornMS})
			}
		}
	}
	slices.SortFunc(out, func(a, b LeavingEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
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

// BornMS returns the start of an endpoint's process, as in burdockyard.Instance, and false
// if there is no entry for the endpoint.
func (f *Fleet) BornMS(id burdockyard.EndpointID) (int64, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	e := f.entries[id]
	if e == nil {
		return 0, false
	}
	return e.instance.BornMS, true
}

// Lookup returns an endpoint, and false if there is no entry for it.
func (f *Fleet) Lookup(id burdockyard.EndpointID) (Endpoint, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	e := f.entries[id]
	if e == nil {
		return Endpoint{}, false
	}
	return Endpoint{Instance: e.instance, FailRate: e.failRate}, true
}

// Fate is what has become of a process of an endpoint, as far as the registry tells.
type Fate int

// The fates of a process.
const (
	Registered Fate = iota // it has an entry, or only an older process has
	Leaving                // it has announced that it is about to end
	Replaced               // a later process has its ID or its address
	Gone                   // it has no entry
)

// Fate returns what has become of the process of endpoint id that was born at bornMS, as in
// burdockyard.Instance, and has used the given address. Of processes that do not tell when
// they were born, none counts as later.
func (f *Fleet) Fate(id burdockyard.EndpointID, bornMS int64, addr string) Fate {
	newestAt := f.currentIndex().newestAt
	f.mu.RLock()
	defer f.mu.RUnlock()
	e := f.entries[id]
	switch {
	case bornMS > 0 && (newestAt[addr] > bornMS || e != nil && e.instance.BornMS > bornMS):
		return Replaced
	case e == nil:
		return Gone
	case e.instance.BornMS == bornMS && (e.leaving || e.instance.Draining):
		return Leaving
	}
	return Registered
}

// SampleOthers returns up to n endpoints that accept work, without the given one. They are
// of the same service, or of any if that has no other endpoint. Those without recent
// failures come first. shuffle is like rand.Shuffle.
func (f *Fleet) SampleOthers(e Endpoint, n int, shuffle func(n int, swap func(i, j int))) []Endpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.clock.Now()
	var sameService, all []*entry
	for id, other := range f.entries {
		if id == e.ID || !other.acceptsWork(now) {
			continue
		}
		all = append(all, other)
		if other.instance.Service == e.Service {
			sameService = append(sameService, other)
		}
	}
	if len(sameService) > 0 {
		all = sameService
	}
	slices.SortFunc(all, func(a, b *entry) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b *entry) int { return cmp.Compare(a.consecutiveFailures, b.consecutiveFailures) })
	var sample []Endpoint
	for _, other := range all[:min(n, len(all))] {
		sample = append(sample, Endpoint{Instance: other.instance, FailRate: other.failRate})
	}
	return sample
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

// ForgetFailures ends the backoff of the endpoints of a service that failed attempts have
// started. Those that have shed requests, or asked for a rest, are not affected.
func (f *Fleet) ForgetFailures(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.entries {
		if e.instance.Service == service && e.consecutiveFailures > 0 && e.consecutiveSheds == 0 {
			e.hanging, e.consecutiveFailures, e.backoffUntil = false, 0, time.Time{}
		}
	}
}

// Hanging returns up to n endpoints to which no connection could be opened in time lately,
// and none since. They need not be in backoff: their failure rate alone may keep all
// requests from them. shuffle is like rand.Shuffle.
func (f *Fleet) Hanging(n int, shuffle func(n int, swap func(i, j int))) []Endpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.clock.Now()
	var hanging []Endpoint
	for _, e := range f.entries {
		if e.hanging && now.Sub(e.hangAt) < hangMemory && e.acceptsWork(now) {
			hanging = append(hanging, Endpoint{Instance: e.instance, FailRate: e.failRate})
		}
	}
	slices.SortFunc(hanging, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	shuffle(len(hanging), func(i, j int) { hanging[i], hanging[j] = hanging[j], hanging[i] })
	return hanging[:min(n, len(hanging))]
}

// RecordConnection records that a new connection to an endpoint could be opened. If the
// endpoint was hanging, the failures since then had one cause, which is over: its backoff
// ends, and they are forgotten.
func (f *Fleet) RecordConnection(id burdockyard.EndpointID) StateChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[id]
	if e == nil || !e.hanging {
		return Unchanged
	}
	wasSuspended := e.suspended
	e.hanging, e.suspended = false, false
	e.consecutiveFailures, e.failRate, e.backoffUntil = 0, e.failRateBefore, time.Time{}
	if !wasSuspended {
		return Unchanged
	}
	return Restored
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
	if r == NoConnection {
		if !e.hanging {
			e.hanging, e.failRateBefore = true, e.failRate
		}
		e.hangAt = now
	}
	e.consecutiveFailures++
	e.failRate += failRateSampleWeight * (1 - e.failRate)
	if e.consecutiveFailures < failureThreshold && r != Unreachable && r != Silent && r != NoConnection {
		return Unchanged
	}
	backoff := minFailureBackoff << min(e.consecutiveFailures-1, 8)
	e.backoffUntil, e.suspended = now.Add(min(backoff, maxFailureBackoff)), true
	return Suspended
}
