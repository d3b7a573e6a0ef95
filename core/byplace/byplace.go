// Package byplace selects endpoints for requests. For a model it selects the
// engine that prefills the prompt and the engine that decodes the answer; for a
// plain service it selects the endpoint that serves the call.
//
// # Usage
//
//	ledger := byplace.NewLedger(clock)
//	plan, ok := ledger.PlanPrompt(need, fleet.Usable(service))
//	flight := ledger.Begin(plan.Reader.ID, byplace.Work{Read: plan.Read})
//	… send …
//	flight.Done()
//
// # Engine selection
//
// An engine prefills one prompt at a time, so a prompt queues behind all prompts
// that any node sent to that engine before. The ledger adds this node's open work
// to the work that its peers report. The cost of a plan is the predicted time to
// the first event plus the delay that the plan causes for other requests:
// recomputing a shared part that another engine has cached delays every prompt
// queued behind it, and prefilling a long prompt on a decode engine stalls the
// streams that run there.
package byplace

import (
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
)

// Need describes a prompt to place and the node that places it.
type Need struct {
	Prompt *burdockyard.Prompt
	Model  *burdockyard.ModelSpec
	Domain string // failure domain of this node
	Nodes  int    // number of nodes that place requests on the same engines, including this one
	Direct bool   // whether the decode engine must prefill the prompt itself
	// Draw returns a uniform random number in [0, n). If it is nil, every engine is a candidate.
	Draw func(n int) int

	latency    time.Duration // fixed part of the time to first event, independent of the work
	streamTime time.Duration // mean time for which a stream occupies its slot
	sources    []state       // engines from which cached tokens can be fetched
}

// Plan names the engine that prefills a prompt and the engine that decodes the
// answer. If Reader is nil, the decode engine prefills the prompt itself.
type Plan struct {
	Reader  *byfleet.Endpoint
	Runner  byfleet.Endpoint
	Read    time.Duration // prefill time at typical speed, at the engine that prefills
	First   int           // priority of the prefill in the prefill engine's queue, 0 is the most urgent
	Predict time.Duration // predicted time to the first event
	Wait    time.Duration // part of the predicted time that is spent queued behind other prompts
	Cached  int           // tokens that are probably cached at the engine or at the fetch source
	Source  string        // address of the engine from which cached tokens are fetched, empty for none
	cost    time.Duration
	latency time.Duration // part of the predicted time that is independent of the work
}

// A prefill times out after its predicted time multiplied by silentFactor, plus
// silentSlack. The factor allows for short prompts that other nodes send in the
// meantime and that run first; the slack allows for a stalled engine.
const (
	silentFactor = 2
	silentSlack  = 400 * time.Millisecond
)

// ReadLimit returns the time after which the prefill engine of the plan counts as
// unresponsive.
func (p Plan) ReadLimit() time.Duration {
	return silentFactor*(p.Wait+p.Read+p.latency) + silentSlack
}

// PlanPrompt selects the engines for a prompt. It returns false if none of the
// engines can decode.
func (l *Ledger) PlanPrompt(n Need, engines []byfleet.Endpoint) (Plan, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var readers, runners []state
	for _, e := range engines {
		s := l.state(e)
		s.cache.shrink(n.Model.CacheTokens)
		s.kept = s.cache.cachedTokens(n.Prompt)
		if e.Role == burdockyard.RolePrefill {
			readers = append(readers, s)
		} else {
			runners = append(runners, s)
		}
	}
	if len(runners) == 0 {
		return Plan{}, false
	}
	n.latency, n.streamTime = l.latency, l.streamTime
	n.sources = append(append(n.sources, readers...), runners...)
	short := !Long(n.Prompt)
	if short {
		runners = n.sample(runners)
	}
	best := n.direct(runners)
	if handed, ok := n.handedOff(readers, runners); ok && !n.Direct {
		gain := handOffGain
		if !short {
			gain = 0
		}
		if handed.cost+gain < best.cost {
			best = handed
		}
	}
	best.latency = n.latency
	return best, true
}

// longPrompt is the size, in tokens, from which a prompt may go to a prefill
// engine without a minimum gain.
const longPrompt = 2048

// Long reports whether p counts as a long prompt.
func Long(p *burdockyard.Prompt) bool { return promptTokens(p) >= longPrompt }

// Peers report short prompts with a delay that grows with the number of nodes. If
// every node selected the least loaded of all engines, all of them would select
// the same one until the next report. Selecting from a small random sample for
// each request keeps nearly all of the benefit and spreads the load.
const (
	// sampleNodes is the number of nodes up to which every engine is a candidate.
	sampleNodes = 10
	// leastSample is the minimum number of candidates.
	leastSample = 3
)

// sample returns the candidate engines for a short prompt. It reorders engines in
// place.
func (n Need) sample(engines []state) []state {
	size := len(engines)
	if n.Nodes > sampleNodes {
		size = max(size*sampleNodes/n.Nodes, leastSample)
	}
	if n.Draw == nil || size >= len(engines) {
		return engines
	}
	for i := range size {
		j := i + n.Draw(len(engines)-i)
		engines[i], engines[j] = engines[j], engines[i]
	}
	return engines[:size]
}

// direct returns the cheapest plan in which the decode engine prefills the prompt
// itself.
func (n Need) direct(runners []state) Plan {
	var best Plan
	total := promptTokens(n.Prompt)
	for _, r := range runners {
		got := n.gather(r, total, decodeReadFactor)
		own := time.Duration(float64(got.read) * r.slowdown)
		p := Plan{Runner: r.endpoint, Read: got.read, Wait: r.wait, Cached: got.cached, Source: got.source}
		p.Predict = n.latency + r.wait + got.fetch + own + n.startCost(r)
		held := float64(r.streams) + longStall*float64(r.long)
		stalled := time.Duration(held * stallWeight * float64(own))
		p.cost = p.Predict - n.latency + stalled + n.bias(r)
		if best.cost == 0 || p.cost < best.cost {
			best = p
		}
	}
	return best
}

// handedOff returns the cheapest plan in which one engine prefills the prompt and
// another one decodes. It returns false if there is no prefill engine.
func (n Need) handedOff(readers, runners []state) (Plan, bool) {
	var best Plan
	total := promptTokens(n.Prompt)
	home := n.home(readers)
	for i := range readers {
		p := &readers[i]
		got := n.gather(*p, total, 1)
		own := time.Duration(float64(got.read) * p.slowdown)
		weight := rereadWeight
		if p.endpoint.ID == home {
			weight -= homeBonus
		}
		base := p.wait + got.fetch + own
		cost := base + time.Duration(weight*float64(got.read)) + got.fetch + n.bias(*p)
		for _, r := range runners {
			move := n.transferBetween(*p, r, total)
			plan := Plan{Reader: &p.endpoint, Runner: r.endpoint, Read: got.read, First: readPriority(got.read), Wait: p.wait, Cached: got.cached, Source: got.source}
			plan.Predict = n.latency + base + transferSetup + move + n.startCost(r)
			plan.cost = cost + transferSetup + 2*move + n.startCost(r) + r.wait/4 + n.bias(r)
			if best.Reader == nil || plan.cost < best.cost {
				best = plan
			}
		}
	}
	return best, best.Reader != nil
}

// PlanCall selects the endpoint for a call to a plain service from a node in the
// given failure domain. It returns false if there are no endpoints.
func (l *Ledger) PlanCall(domain string, endpoints []byfleet.Endpoint) (byfleet.Endpoint, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := Need{Domain: domain}
	var best byfleet.Endpoint
	var least time.Duration
	for _, e := range endpoints {
		s := l.state(e)
		b := l.book(e.ID)
		open := s.streams
		if b.load.Known && l.clock.Now().Sub(b.loadAt) < loadFor {
			open = max(open, b.load.Running+b.load.Waiting)
		}
		share := time.Duration(open) * callCost / time.Duration(e.Slots)
		if open >= e.Slots {
			share += callCost
		}
		if cost := share + n.bias(s) + 1; least == 0 || cost < least {
			best, least = e, cost
		}
	}
	return best, least > 0
}
