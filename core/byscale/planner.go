package byscale

import (
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"burdockyard"
)

const (
	// targetUse is the share of an engine's time that predicted work may take at the peak.
	// Queues grow without bound as it nears 1.
	targetUse = 0.6
	// overflowCost is the engine time that a prefill takes at a decode engine, relative to the
	// time at a prefill engine, since it stalls the streams there.
	overflowCost = 2
	// minPrefillEngines and minDecodeEngines are kept of each role.
	minPrefillEngines = 2
	minDecodeEngines  = 2
	// registryLag is how long it takes at most until the registry shows that an endpoint
	// drains or has started.
	registryLag = 3 * time.Second
	// excessShare is the part of a pool's excess that one order removes.
	excessShare = 0.5
	// maxRefusalBoots bounds the time, in boot times, until a refused order is tried again.
	maxRefusalBoots = 4
	// lastingShare is the part of the mean load that lasting endpoints carry by themselves.
	lastingShare = 0.5
	// unknownLastingShare is the share of the endpoints that are lasting as long as the load is
	// not known.
	unknownLastingShare = 0.15
	// stableBoots is the time, in boot times, for which the need must have been smaller before
	// counts are lowered.
	stableBoots = 2
	// shareWeight is the weight of the newest observation in the moving average of the share
	// of prefill engines.
	shareWeight = 0.1
	// unsettledTime is how long after an order without an answer the same one is repeated.
	unsettledTime = 500 * time.Millisecond
)

// Decision is an order and the figures that led to it.
type Decision struct {
	Order   burdockyard.ScaleOrder
	Reason  string
	Need    int // endpoints that the load needs
	Reserve int // endpoints beyond them that are kept for a loss
	Present int // endpoints of the pool that do not drain
	Work    Work
}

// pool is what a Planner remembers of one pool.
type pool struct {
	ordered     int // count that was last ordered, if known
	known       bool
	orderedAt   time.Time
	raisedAt    time.Time // when the count was last raised
	unsettled   bool      // whether the last order had no answer
	refusedTill time.Time
	refusals    int
}

// Planner decides on the orders for one service. It is not safe for concurrent use.
type Planner struct {
	clock   burdockyard.Clock
	service string
	since   time.Time // when this process began to decide
	pools   map[Pool]*pool
	wanted  map[Pool]int
	needs   []need // of the last stableBoots boot times

	started      bool
	startNeed    int     // endpoints at the start, after the worst loss
	startLasting int     // lasting ones among them
	prefillShare float64 // moving average of the share of prefill engines
}

// need is how many endpoints the load needs at one moment.
type need struct {
	at           time.Time
	all, lasting int
}

// New returns a Planner that has ordered nothing yet.
func New(clock burdockyard.Clock, service string) *Planner {
	return &Planner{clock: clock, service: service, since: clock.Now(), pools: map[Pool]*pool{}, wanted: map[Pool]int{}}
}

// Wanted returns the counts that the last decision aimed at.
func (p *Planner) Wanted() map[Pool]int { return p.wanted }

func (p *Planner) pool(key Pool) *pool {
	q := p.pools[key]
	if q == nil {
		q = &pool{}
		p.pools[key] = q
	}
	return q
}

// census is the endpoints of a service, counted.
type census struct {
	present, usable, leaving map[Pool]int
	prefillShare             float64 // share of prefill engines; 0 if there are no roles
}

func count(endpoints []Endpoint) census {
	c := census{present: map[Pool]int{}, usable: map[Pool]int{}, leaving: map[Pool]int{}}
	prefill, all := 0, 0
	for _, e := range endpoints {
		if e.Leaving {
			c.leaving[e.Pool]++
			continue
		}
		c.present[e.Pool]++
		if e.Usable {
			c.usable[e.Pool]++
		}
		all++
		if e.Role == burdockyard.RolePrefill {
			prefill++
		}
	}
	if all > 0 {
		c.prefillShare = float64(prefill) / float64(all)
	}
	return c
}

// engines returns how many endpoints the work needs if it may take the given share of
// their time. Their proportion of roles is the present one, since the platform chooses the
// roles of new engines. Decode engines prefill what the prefill engines cannot, at a
// higher cost.
func engines(w Work, use, prefillShare float64) int {
	if prefillShare <= 0 || prefillShare >= 1 {
		return int(math.Ceil((w.Prefill + w.Decode) / use))
	}
	forDecode := w.Decode / (1 - prefillShare)
	forPrefill := w.Prefill / prefillShare
	forBoth := (w.Decode + overflowCost*w.Prefill) / (1 - prefillShare + overflowCost*prefillShare)
	return int(math.Ceil(max(forDecode, min(forPrefill, forBoth)) / use))
}

// minEngines returns the smallest number of endpoints with enough engines of each role.
func minEngines(prefillShare float64) int {
	if prefillShare <= 0 || prefillShare >= 1 {
		return 1
	}
	return int(math.Ceil(max(minPrefillEngines/prefillShare, minDecodeEngines/(1-prefillShare))))
}

// Decide returns the orders that are due, the urgent ones first. Check must have accepted
// the state.
func (p *Planner) Decide(s State) []Decision {
	now := p.clock.Now()
	c := count(s.Endpoints)
	a := p.allocation(s, c, now)
	target := allocate(a)
	p.wanted = target
	var raise, lower []Decision
	left := c.usable // after the orders so far
	for _, key := range p.poolsOf(s.Spec) {
		next, due := p.next(key, s.Spec, target[key], c, now)
		if !due {
			continue
		}
		d := Decision{Reason: next.reason, Need: a.need, Reserve: total(target) - a.need, Present: c.present[key], Work: s.Forecast.Peak}
		d.Order = burdockyard.ScaleOrder{Service: p.service, Domain: key.Domain, Spot: key.Spot, Count: next.count}
		if !next.isLower {
			raise = append(raise, d)
			continue
		}
		after := maps.Clone(left)
		after[key] = min(left[key], next.count)
		if after[key] < left[key] && remaining(after) < a.need {
			continue // endpoints go only once those that replace them serve
		}
		left, lower = after, append(lower, d)
	}
	return append(raise, lower...)
}

// allocation derives what is to be allocated from the state.
func (p *Planner) allocation(s State, c census, now time.Time) allocation {
	a := allocation{spec: s.Spec, spotCap: map[string]int{}}
	for _, domain := range domains(s.Spec) {
		key := Pool{domain, true}
		if q := p.pools[key]; q != nil && now.Before(q.refusedTill) {
			a.spotCap[domain] = c.present[key]
		}
	}
	if !p.started {
		p.started, p.startNeed, p.prefillShare = true, remaining(c.present), c.prefillShare
		p.startLasting = min(total(c.present)-spotCount(c.present), int(math.Ceil(unknownLastingShare*float64(p.startNeed))))
	}
	p.prefillShare += shareWeight * (c.prefillShare - p.prefillShare)
	current := need{
		at:      now,
		all:     max(engines(s.Forecast.Peak, targetUse, p.prefillShare), minEngines(p.prefillShare), int(math.Ceil(s.InFlight/targetUse))),
		lasting: int(math.Ceil(lastingShare * float64(engines(s.Forecast.Mean, 1, p.prefillShare)))),
	}
	if !s.Forecast.Known {
		current.all, current.lasting = max(current.all, p.startNeed), max(current.lasting, p.startLasting)
	}
	current = p.stable(current, s.Spec)
	a.need = min(current.all+p.missing(s.Spec, c, now), s.Spec.Max*len(s.Spec.DomainPrices))
	a.lasting = min(max(current.lasting, 1), a.need)
	return a
}

// stable returns the largest need of the last few boot times.
func (p *Planner) stable(current need, spec *burdockyard.ScalingSpec) need {
	p.needs = slices.DeleteFunc(p.needs, func(n need) bool { return current.at.Sub(n.at) > stableBoots*spec.BootTime })
	p.needs = append(p.needs, current)
	for _, n := range p.needs {
		current.all, current.lasting = max(current.all, n.all), max(current.lasting, n.lasting)
	}
	return current
}

// spotCount returns the number of spot endpoints.
func spotCount(counts map[Pool]int) int {
	sum := 0
	for key, n := range counts {
		if key.Spot {
			sum += n
		}
	}
	return sum
}

// missing returns how many endpoints were ordered more than two boot times ago and do not
// serve. The platform may count one that has crashed.
func (p *Planner) missing(spec *burdockyard.ScalingSpec, c census, now time.Time) int {
	sum := 0
	for key, q := range p.pools {
		// A pool that loses endpoints is ordered again, and may be refused.
		if q.known && now.Sub(q.orderedAt) > 2*spec.BootTime+registryLag && now.After(q.refusedTill) && c.leaving[key] == 0 {
			sum += max(q.ordered-c.usable[key], 0)
		}
	}
	return sum
}

// poolsOf returns the pools of a service in a fixed order.
func (p *Planner) poolsOf(spec *burdockyard.ScalingSpec) []Pool {
	var keys []Pool
	for _, domain := range domains(spec) {
		keys = append(keys, Pool{domain, false}, Pool{domain, true})
	}
	slices.SortFunc(keys, comparePools)
	return keys
}

// step is the next order for a pool.
type step struct {
	count   int
	reason  string
	isLower bool // whether endpoints go
}

// current returns the count that was last ordered for a pool, or the endpoints there if that
// is not known.
func (p *Planner) current(key Pool, c census) int {
	if q := p.pool(key); q.known {
		return q.ordered
	}
	return c.present[key]
}

// next returns the order that is due for a pool, and false if there is none.
func (p *Planner) next(key Pool, spec *burdockyard.ScalingSpec, target int, c census, now time.Time) (step, bool) {
	q := p.pool(key)
	present, current := c.present[key], p.current(key, c)
	if target > current {
		// The limit holds for both kinds together, also while one replaces the other.
		other := p.current(Pool{key.Domain, !key.Spot}, c)
		target = max(current, min(target, spec.Max-other))
	}
	sinceOrder := now.Sub(q.orderedAt)
	bootedBy := spec.BootTime + registryLag
	switch {
	case now.Before(q.refusedTill):
		return step{}, false
	case q.unsettled && target <= q.ordered:
		return step{q.ordered, "no answer to the last order", false}, sinceOrder >= unsettledTime
	case target > current:
		return step{target, "load or reserve", false}, true
	case q.known && present < current && c.leaving[key] > 0 && sinceOrder >= registryLag:
		return step{current, "endpoints leave that were not ordered away", false}, true
	case q.known && present != current && sinceOrder >= bootedBy:
		return step{current, "another count runs than was ordered", false}, true
	case target == current || now.Sub(p.since) < spec.BootTime:
		return step{}, false // endpoints that a former holder has ordered may still boot
	case now.Sub(q.raisedAt) < bootedBy || q.known && sinceOrder < spec.BootTime/2:
		return step{}, false
	}
	return step{current - int(math.Ceil(float64(current-target)*excessShare)), "more than the load needs", true}, true
}

// RecordOutcome records the outcome of the order of d.
func (p *Planner) RecordOutcome(d Decision, bootTime time.Duration, err error) {
	o, now := d.Order, p.clock.Now()
	q := p.pool(Pool{o.Domain, o.Spot})
	switch {
	case errors.Is(err, burdockyard.ErrUnavailable):
		return // the call has had no effect
	case errors.Is(err, burdockyard.ErrCallRefused):
		q.refusals++
		q.refusedTill = now.Add(min(bootTime<<min(q.refusals-1, 8), maxRefusalBoots*bootTime))
		q.known, q.unsettled = false, false
		return
	}
	if err == nil {
		q.refusals = 0
	}
	before := d.Present
	if q.known {
		before = q.ordered
	}
	if o.Count > before {
		q.raisedAt = now
	}
	q.ordered, q.known, q.orderedAt, q.unsettled = o.Count, true, now, err != nil
}
