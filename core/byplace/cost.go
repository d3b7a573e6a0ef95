package byplace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockyard"
)

// Typical engine performance, from the figures that the users specified. The speed
// of each kind of engine is learned as a multiple of it; see prefillRates.
const (
	// typicalTokensPerMS is the number of prompt tokens prefilled per millisecond.
	typicalTokensPerMS = 93.0
	// msPerMillionPairs is the attention time in milliseconds per million pairs of tokens.
	msPerMillionPairs = 0.442
	// prefillSetup is the fixed part of the prefill time.
	prefillSetup = 3 * time.Millisecond
	// decodePrefillFactor is the prefill time at a decode engine relative to the time at a
	// prefill engine.
	decodePrefillFactor = 2.0
	// transferSetup is the fixed part of the time to fetch a cached prompt.
	transferSetup = 4 * time.Millisecond
	// crossDomainTransferFactor is the transfer time between failure domains relative to
	// the time within one.
	crossDomainTransferFactor = 2.0
)

// Weights and penalties in the cost of a plan.
const (
	// extraPrefillWeight is the additional weight of prefill time in the cost. Prefilling
	// also delays every prompt queued behind it and evicts another part from the cache.
	extraPrefillWeight = 0.5
	// homeEngineBonus is subtracted from extraPrefillWeight at the engine that rendezvous
	// hashing assigns to the shared part of the prompt. Nodes that don't know of each
	// other's prefills then select the same engine.
	homeEngineBonus = 0.5
	// perStreamDelay is the delay that each open stream adds to the start of a new one.
	perStreamDelay = 6 * time.Millisecond
	// stallWeight is the weight of the time for which a prefill at a decode engine
	// stalls each stream there.
	stallWeight = 0.7
	// longStreamStallWeight is the number of additional streams that each stream of a
	// long prompt counts as when it is stalled. Its caller has waited longest, and its
	// prompt took the most prefill time.
	longStreamStallWeight = 6.0
	// minDisaggregationGain is the minimum reduction in cost for which a short prompt goes
	// through a prefill engine. It pays for the second hop.
	minDisaggregationGain = 20 * time.Millisecond
	// crossDomainPenalty is the penalty for an endpoint in another failure domain.
	crossDomainPenalty = 2 * time.Millisecond
	// failurePenalty is the penalty for an endpoint whose recent attempts all failed.
	failurePenalty = 400 * time.Millisecond
	// slowdownPenalty is the penalty for an engine for each multiple of the typical time
	// that it takes beyond the first, for example because its neighbors stall it. An
	// endpoint in the slow phase after its start also gets it once.
	slowdownPenalty = 10 * time.Millisecond
	// fullEndpointPenalty is the penalty for an endpoint of a plain service without a free
	// slot.
	fullEndpointPenalty = 60 * time.Millisecond
	// minFetchTokens is the minimum number of tokens worth fetching from another engine.
	minFetchTokens = 1024
	// sourceStreamPenalty is the penalty for each stream at the engine from which tokens
	// are fetched.
	sourceStreamPenalty = time.Millisecond
	// loadReportTTL is how long a load report of an endpoint is used after it was
	// received.
	loadReportTTL = 250 * time.Millisecond
)

// longestSharedPart returns the id of the longest part that other prompts may share. It
// returns 0 if there is none of at least minCachedPartTokens tokens.
func longestSharedPart(p *burdockyard.Prompt) uint64 {
	best := burdockyard.PromptPart{Tokens: minCachedPartTokens - 1}
	for i, part := range p.Parts {
		if i < len(p.Parts)-1 && part.Tokens > best.Tokens {
			best = part
		}
	}
	return best.ID
}

// basePrefillTime returns how long an engine of typical speed takes to prefill a
// prompt of total tokens, of which the first cached ones are in its cache.
func basePrefillTime(total, cached int) time.Duration {
	uncached := float64(max(total-cached, 0))
	pairs := uncached * (float64(cached) + uncached/2) / 1e6
	return prefillSetup + time.Duration((uncached/typicalTokensPerMS+pairs*msPerMillionPairs)*float64(time.Millisecond))
}

// cachedTokens returns how many leading tokens of a prompt the engine has cached.
func (c *cacheEstimate) cachedTokens(p *burdockyard.Prompt) int {
	sum := 0
	for _, part := range p.Parts {
		if part.Tokens >= minCachedPartTokens && !c.contains(part.ID) {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// PromptTokens returns the length of a prompt, in tokens.
func PromptTokens(p *burdockyard.Prompt) int { return promptTokens(p) }

func promptTokens(p *burdockyard.Prompt) int {
	sum := 0
	for _, part := range p.Parts {
		sum += part.Tokens
	}
	return max(sum, p.InputTokens)
}

const (
	// lowestPriority is the least urgent prefill priority.
	lowestPriority = 9
	// priorityStep is the range of prefill times that share a priority.
	priorityStep = 60 * time.Millisecond
)

// prefillPriority returns the prefill priority for a prefill time. Short prefills run
// before long ones; otherwise a prompt that is cached except for its end would wait
// behind one that takes a hundred times as long.
func prefillPriority(prefillTime time.Duration) int {
	return min(lowestPriority, 1+int(prefillTime/priorityStep))
}

// prefillPlan describes how one engine obtains the KV cache of a prompt.
type prefillPlan struct {
	prefillTime  time.Duration // time to prefill the tokens that are not cached
	fetchTime    time.Duration // time to fetch tokens that another engine has cached
	cachedTokens int           // tokens that need no prefill
	prefixSource string        // address of the engine to fetch from, empty for none
}

// fastestPrefill decides whether an engine prefills all missing tokens of a prompt or
// first fetches some of them from another engine. Fetching takes about a tenth of the
// time of prefilling and loads only the links; it counts twice, since other transfers
// wait for it.
func (req PlacementRequest) fastestPrefill(load endpointLoad, total int) prefillPlan {
	prefillTime := func(cached int) time.Duration { return load.rates.prefillTime(total, cached) }
	best := prefillPlan{prefillTime: prefillTime(load.cachedTokens), cachedTokens: load.cachedTokens}
	for _, other := range req.prefixSources {
		if other.cachedTokens < load.cachedTokens+minFetchTokens || other.endpoint.ID == load.endpoint.ID {
			continue
		}
		fetchTime := transferSetup + req.transferTimeBetween(other, load, other.cachedTokens-load.cachedTokens)
		candidate := prefillPlan{prefillTime: prefillTime(other.cachedTokens), fetchTime: fetchTime, cachedTokens: other.cachedTokens, prefixSource: other.endpoint.Addr}
		saved := time.Duration(load.slowdown * float64(best.prefillTime-candidate.prefillTime))
		if 2*(candidate.fetchTime-best.fetchTime)+sourceStreamPenalty*time.Duration(other.streams) < saved {
			best = candidate
		}
	}
	return best
}

// transferTimeBetween returns how long it takes to transfer the KV cache of a number of
// tokens from engine a to engine b.
func (req PlacementRequest) transferTimeBetween(a, b endpointLoad, tokens int) time.Duration {
	d := req.transferTime(tokens)
	if a.endpoint.Domain != b.endpoint.Domain {
		d = time.Duration(crossDomainTransferFactor * float64(d))
	}
	return d
}

// homeEngine returns the prefill engine that rendezvous hashing assigns to the shared
// part of the prompt. It is empty if the prompt has no shared part.
func (req PlacementRequest) homeEngine(prefillEngines []endpointLoad) burdockyard.EndpointID {
	id := longestSharedPart(req.Prompt)
	if id == 0 {
		return ""
	}
	var best burdockyard.EndpointID
	var bestScore uint64
	for _, p := range prefillEngines {
		score := rendezvousScore(id, p.endpoint.ID)
		if best == "" || score > bestScore {
			best, bestScore = p.endpoint.ID, score
		}
	}
	return best
}

// rendezvousScore returns the score of an engine for a part. The part is assigned to the
// engine with the highest score.
func rendezvousScore(part uint64, id burdockyard.EndpointID) uint64 {
	b := make([]byte, 0, 64)
	for shift := 0; shift < 64; shift += 8 {
		b = append(b, byte(part>>shift))
	}
	return xxhash.Sum64(append(b, id...))
}

// transferTime returns how long it takes to transfer the KV cache of a number of tokens
// between two engines of one failure domain.
func (req PlacementRequest) transferTime(tokens int) time.Duration {
	return TransferTime(req.Model, tokens)
}

// TransferTime returns how long the link between two engines of a model takes for the KV
// cache of a number of tokens, or zero if its bandwidth is not known.
func TransferTime(model *burdockyard.ModelSpec, tokens int) time.Duration {
	if model.LinkMbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(model.KVTokenBytes) * 8
	return time.Duration(bits / (model.LinkMbps * 1e6) * float64(time.Second))
}

// streamStartDelay returns how long the streams at an engine delay a new one. In a full
// batch a slot comes free each time a stream's mean time divided by the number of
// slots has passed. If the whole stream time counted for each waiting stream, a burst of
// short prompts that the engine can serve quickly would be refused.
func (req PlacementRequest) streamStartDelay(load endpointLoad) time.Duration {
	d := time.Duration(float64(min(load.streams, load.endpoint.Slots))*load.slowdown) * perStreamDelay
	if waiting := 1 + load.streams - load.endpoint.Slots; waiting > 0 {
		d += time.Duration(float64(waiting) * load.slowdown * float64(req.meanStreamTime) / float64(load.endpoint.Slots))
	}
	return d
}

// penalty returns the penalty of an endpoint for reasons other than its load: failures,
// slowness, another failure domain, and the slow phase after a start.
func (req PlacementRequest) penalty(load endpointLoad) time.Duration {
	d := time.Duration(load.endpoint.FailRate * float64(failurePenalty))
	d += time.Duration((load.slowdown - 1) * float64(slowdownPenalty))
	if load.endpoint.Domain != req.Domain {
		d += crossDomainPenalty
	}
	if load.endpoint.WarmUpLeft > 0 {
		d += slowdownPenalty
	}
	return d
}
