// Package byplace selects endpoints for requests. For a model it selects the
// engine that prefills the prompt and the engine that decodes the answer; for a
// plain service it selects the endpoint that serves the call.
//
// # Usage
//
//	tracker := byplace.NewLoadTracker(clock)
//	plan, ok := tracker.PlanPrompt(req, fleet.Usable(service))
//	work := byplace.Work{PrefillTime: plan.PrefillTime}
//	attempt := tracker.Begin(plan.PrefillEngine.ID, work) // PrefillEngine may be nil
//	… send the prompt to the prefill engine …
//	attempt.Done()
//
// # Engine selection
//
// An engine prefills one prompt at a time, so a prompt queues behind all prompts
// that any node sent to that engine before. The tracker adds this node's open work
// to the work that its peers report. The cost of a plan is the predicted time to
// the first event plus the delay that the plan causes for other requests:
// recomputing a shared part that another engine has cached delays every prompt
// queued behind the recomputation, and prefilling a long prompt on a decode engine
// stalls the streams that run there.
package byplace

import (
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
)

// PlacementRequest describes a prompt to place and the node that places it.
type PlacementRequest struct {
	Prompt     *burdockyard.Prompt
	Model      *burdockyard.ModelSpec
	Domain     string // failure domain of this node
	Nodes      int    // number of nodes that select among the same engines, including this one
	DecodeOnly bool   // whether the decode engine must prefill the prompt itself
	// RandIntN returns a uniform random number in [0, n). If it is nil, every engine is a
	// candidate.
	RandIntN func(n int) int

	fixedLatency   time.Duration  // fixed part of the time to first event, independent of the work
	meanStreamTime time.Duration  // mean time for which a stream occupies its slot
	prefixSources  []endpointLoad // engines from which cached tokens can be fetched
}

// Plan names the engine that prefills a prompt and the engine that decodes the
// answer. If PrefillEngine is nil, the decode engine prefills the prompt itself.
type Plan struct {
	PrefillEngine   *byfleet.Endpoint
	DecodeEngine    byfleet.Endpoint
	PrefillTime     time.Duration // prefill time at the rates of the engine's kind
	PrefillPriority int           // priority of the prefill in the prefill engine's queue, 0 is the most urgent
	PredictedTTFT   time.Duration // predicted time to the first event
	QueueTime       time.Duration // part of the predicted time that is spent queued behind other prompts
	CachedTokens    int           // tokens that are probably cached at the engine or at PrefixSource
	PrefixSource    string        // address of the engine from which cached tokens are fetched, empty for none
	FetchedTokens   int           // part of CachedTokens that is fetched from there
	cost            time.Duration
	fetchTime       time.Duration // predicted time to fetch tokens from PrefixSource
	fixedLatency    time.Duration // part of the predicted time that is independent of the work
}

// delayOfOthers returns the part of the plan's cost that it causes for other requests, and
// the penalties of its engines.
func (p Plan) delayOfOthers() time.Duration { return p.cost - (p.PredictedTTFT - p.fixedLatency) }

// PrefillWork returns the load that the plan's prefill of the prompt puts on its engine.
// prompt is nil if the request has none.
func (p Plan) PrefillWork(prompt *burdockyard.Prompt) Work {
	w := Work{PrefillTime: p.PrefillTime}
	if prompt == nil {
		return w
	}
	w.HasLongPrompt = IsLongPrompt(prompt)
	w.Tokens, w.CachedTokens = promptTokens(prompt), p.CachedTokens
	w.Wait = p.QueueTime + p.fetchTime
	return w
}

// A prefill times out after its predicted time multiplied by prefillTimeoutFactor,
// plus prefillTimeoutSlack. The factor allows for short prompts that other nodes send
// in the meantime and that run first; the slack allows for a stalled engine.
const (
	prefillTimeoutFactor = 2
	prefillTimeoutSlack  = 400 * time.Millisecond
	// maxPrefillExtension is the multiple of that time after which a prefill times out even
	// at an engine that responds to others: some leave single requests unanswered.
	maxPrefillExtension = 3
)

// PrefillTimeout returns the time after which the prefill engine of the plan counts as
// unresponsive if it has ended no prefill in the meantime.
func (p Plan) PrefillTimeout() time.Duration {
	return prefillTimeoutFactor*(p.QueueTime+p.PrefillTime+p.fixedLatency) + prefillTimeoutSlack
}

// MaxPrefillTimeout returns the time after which the prefill counts as unanswered in any
// case. A prefill that is given up is repeated elsewhere in full, behind other prompts.
func (p Plan) MaxPrefillTimeout() time.Duration { return maxPrefillExtension * p.PrefillTimeout() }

// PlanPrompt selects the engines for a prompt. It returns false if none of the
// engines can decode.
func (t *LoadTracker) PlanPrompt(req PlacementRequest, engines []byfleet.Endpoint) (Plan, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best Plan
	found := false
	for _, group := range byVersion(engines) {
		if plan, ok := t.planWithin(req, group); ok && (!found || plan.cost < best.cost) {
			best, found = plan, true
		}
	}
	return best, found
}

// byVersion divides engines by the version of their software. Engines of different
// versions cannot read each other's KV caches. With one version, the slice is returned
// as it is.
func byVersion(engines []byfleet.Endpoint) [][]byfleet.Endpoint {
	var groups [][]byfleet.Endpoint
	for i, e := range engines {
		if e.Version != engines[0].Version {
			break
		}
		if i == len(engines)-1 {
			return [][]byfleet.Endpoint{engines}
		}
	}
	index := map[string]int{} // in groups, by version
	for _, e := range engines {
		i, ok := index[e.Version]
		if !ok {
			i = len(groups)
			index[e.Version] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], e)
	}
	return groups
}

// planWithin selects among engines that can read each other's KV caches. The caller must
// hold mu.
func (t *LoadTracker) planWithin(req PlacementRequest, engines []byfleet.Endpoint) (Plan, bool) {
	var prefillEngines, decodeEngines []endpointLoad
	for _, e := range engines {
		load := t.endpointLoad(e)
		load.cache.evictBeyond(int(cachedShare * float64(req.Model.KVCapacityTokens)))
		load.cachedTokens = load.cache.cachedTokens(req.Prompt)
		if e.Role == burdockyard.RolePrefill {
			prefillEngines = append(prefillEngines, load)
		} else {
			decodeEngines = append(decodeEngines, load)
		}
	}
	if len(decodeEngines) == 0 {
		return Plan{}, false
	}
	req.fixedLatency, req.meanStreamTime = t.fixedLatency, t.meanStreamTime
	req.prefixSources = withCachedTokens(prefillEngines, decodeEngines)
	short := !IsLongPrompt(req.Prompt)
	if short {
		decodeEngines = req.sample(decodeEngines)
	}
	best := req.bestDecodeOnly(decodeEngines)
	if disaggregated, ok := req.bestDisaggregated(prefillEngines, decodeEngines); ok && !req.DecodeOnly {
		minGain := minDisaggregationGain
		if !short {
			minGain = 0
		}
		if disaggregated.cost+minGain < best.cost {
			best = disaggregated
		}
	}
	best.fixedLatency = req.fixedLatency
	return best, true
}

// withCachedTokens returns the engines that have enough of the prompt cached to fetch
// it from them.
func withCachedTokens(groups ...[]endpointLoad) []endpointLoad {
	var sources []endpointLoad
	for _, group := range groups {
		for _, load := range group {
			if load.cachedTokens >= minFetchTokens {
				sources = append(sources, load)
			}
		}
	}
	return sources
}

// longPromptTokens is the size, in tokens, from which a prompt may go to a prefill
// engine without a minimum gain.
const longPromptTokens = 2048

// IsLongPrompt reports whether p counts as a long prompt.
func IsLongPrompt(p *burdockyard.Prompt) bool { return promptTokens(p) >= longPromptTokens }

// Peers report short prompts with a delay that grows with the number of nodes. If
// every node selected the least loaded of all engines, all of them would select
// the same one until the next report. Selecting from a small random sample for
// each request keeps nearly all of the benefit and spreads the load.
const (
	// fullScanNodes is the number of nodes up to which every engine is a candidate.
	fullScanNodes = 10
	// minSampleSize is the minimum number of candidates.
	minSampleSize = 3
)

// sample returns the candidate engines for a short prompt. It reorders engines in
// place.
func (req PlacementRequest) sample(engines []endpointLoad) []endpointLoad {
	size := len(engines)
	if req.Nodes > fullScanNodes {
		size = max(size*fullScanNodes/req.Nodes, minSampleSize)
	}
	if req.RandIntN == nil || size >= len(engines) {
		return engines
	}
	for i := range size {
		j := i + req.RandIntN(len(engines)-i)
		engines[i], engines[j] = engines[j], engines[i]
	}
	return engines[:size]
}

// bestDecodeOnly returns the cheapest plan in which the decode engine prefills the
// prompt itself.
func (req PlacementRequest) bestDecodeOnly(decodeEngines []endpointLoad) Plan {
	var best Plan
	total := promptTokens(req.Prompt)
	for _, d := range decodeEngines {
		prefill := req.fastestPrefill(d, total)
		prefillTime := time.Duration(float64(prefill.prefillTime) * d.slowdown)
		p := Plan{DecodeEngine: d.endpoint, PrefillTime: prefill.prefillTime, QueueTime: d.queueTime, CachedTokens: prefill.cachedTokens, PrefixSource: prefill.prefixSource, FetchedTokens: prefill.cachedTokens - d.cachedTokens, fetchTime: prefill.fetchTime}
		p.PredictedTTFT = req.fixedLatency + d.queueTime + prefill.fetchTime + prefillTime + req.streamStartDelay(d)
		stalledStreams := float64(d.streams) + longStreamStallWeight*float64(d.longStreams)
		stallCost := time.Duration(stalledStreams * stallWeight * float64(prefillTime))
		p.cost = p.PredictedTTFT - req.fixedLatency + stallCost + req.penalty(d)
		if best.cost == 0 || p.cost < best.cost {
			best = p
		}
	}
	return best
}

// bestDisaggregated returns the cheapest plan in which one engine prefills the prompt
// and another one decodes. It returns false if there is no prefill engine.
func (req PlacementRequest) bestDisaggregated(prefillEngines, decodeEngines []endpointLoad) (Plan, bool) {
	var best Plan
	total := promptTokens(req.Prompt)
	home := req.homeEngine(prefillEngines)
	decodeOptions := req.cheapestPerDomain(decodeEngines)
	for i := range prefillEngines {
		p := &prefillEngines[i]
		prefill := req.fastestPrefill(*p, total)
		prefillTime := time.Duration(float64(prefill.prefillTime) * p.slowdown)
		weight := extraPrefillWeight
		if p.endpoint.ID == home {
			weight -= homeEngineBonus
		}
		base := p.queueTime + prefill.fetchTime + prefillTime
		cost := base + time.Duration(weight*float64(prefill.prefillTime)) + prefill.fetchTime + req.penalty(*p)
		for _, d := range decodeOptions {
			transfer := req.transferTimeBetween(*p, d.load, total)
			planCost := cost + transferSetup + 2*transfer + d.cost
			if best.PrefillEngine != nil && planCost >= best.cost {
				continue
			}
			best = Plan{
				PrefillEngine: &p.endpoint, DecodeEngine: d.load.endpoint, PrefillTime: prefill.prefillTime,
				PrefillPriority: prefillPriority(basePrefillTime(total, prefill.cachedTokens)), QueueTime: p.queueTime, CachedTokens: prefill.cachedTokens,
				PrefixSource: prefill.prefixSource, PredictedTTFT: req.fixedLatency + base + transferSetup + transfer + req.streamStartDelay(d.load),
				FetchedTokens: prefill.cachedTokens - p.cachedTokens, fetchTime: prefill.fetchTime, cost: planCost,
			}
		}
	}
	return best, best.PrefillEngine != nil
}

// decodeOption is a decode engine and the part of a plan's cost that it determines by
// itself.
type decodeOption struct {
	load endpointLoad
	cost time.Duration
}

// cheapestPerDomain returns the cheapest decode engine of each failure domain. The
// transfer from a prefill engine takes the same time to all engines of a domain, so no
// other engine can be part of the cheapest plan.
func (req PlacementRequest) cheapestPerDomain(decodeEngines []endpointLoad) []decodeOption {
	var options []decodeOption
	index := map[string]int{} // in options, by domain
	for _, d := range decodeEngines {
		cost := req.streamStartDelay(d) + d.queueTime/4 + req.penalty(d)
		i, ok := index[d.endpoint.Domain]
		switch {
		case !ok:
			index[d.endpoint.Domain] = len(options)
			options = append(options, decodeOption{d, cost})
		case cost < options[i].cost:
			options[i] = decodeOption{d, cost}
		}
	}
	return options
}

// PlanBackup selects the engine that gets copies of the KV cache of a run at engine e:
// the decode engine of the same version with the fewest streams, in another failure domain than e if there is
// one, since engines of one domain may be lost together. It returns false if there is no
// other decode engine.
func (t *LoadTracker) PlanBackup(e byfleet.Endpoint, engines []byfleet.Endpoint) (byfleet.Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best byfleet.Endpoint
	leastStreams, found := 0, false
	for _, other := range engines {
		if other.ID == e.ID || other.Role == burdockyard.RolePrefill || other.Version != e.Version {
			continue
		}
		streams := t.endpointLoad(other).streams
		isApart, bestIsApart := other.Domain != e.Domain, best.Domain != e.Domain
		if !found || isApart && !bestIsApart || isApart == bestIsApart && streams < leastStreams {
			best, leastStreams, found = other, streams, true
		}
	}
	return best, found
}

// PlanCall selects the endpoint for a call to a plain service from a node in the
// given failure domain. It returns false if there are no endpoints.
func (t *LoadTracker) PlanCall(domain string, endpoints []byfleet.Endpoint) (byfleet.Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	req := PlacementRequest{Domain: domain}
	var best byfleet.Endpoint
	var leastCost time.Duration
	for _, e := range endpoints {
		load := t.endpointLoad(e)
		rec := t.record(e.ID)
		openCalls := load.streams
		if rec.loadReport.Reported && t.clock.Now().Sub(rec.loadReportedAt) < loadReportTTL {
			openCalls = max(openCalls, rec.loadReport.Running+rec.loadReport.Waiting)
		}
		loadPenalty := time.Duration(openCalls) * fullEndpointPenalty / time.Duration(e.Slots)
		if openCalls >= e.Slots {
			loadPenalty += fullEndpointPenalty
		}
		if cost := loadPenalty + req.penalty(load) + 1; leastCost == 0 || cost < leastCost {
			best, leastCost = e, cost
		}
	}
	return best, leastCost > 0
}
