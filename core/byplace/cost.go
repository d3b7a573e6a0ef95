package byplace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockyard"
)

// Typical engine performance, from the figures that the users specified. The speed
// of each engine is learned as a multiple of it.
const (
	// usualTokensPerMS is the number of prompt tokens prefilled per millisecond.
	usualTokensPerMS = 93.0
	// pairMS is the attention time in milliseconds per million pairs of tokens.
	pairMS = 0.442
	// readSetup is the fixed part of the prefill time.
	readSetup = 3 * time.Millisecond
	// decodeReadFactor is the prefill time at a decode engine relative to a prefill engine.
	decodeReadFactor = 2.0
	// transferSetup is the fixed part of the time to fetch a cached prompt.
	transferSetup = 4 * time.Millisecond
	// farTransfer is the transfer time between failure domains relative to one within.
	farTransfer = 2.0
)

// Weights and penalties in the cost of a plan.
const (
	// rereadWeight is the additional weight of prefill time in the cost. Prefilling
	// also delays every prompt queued behind it and evicts another part from the cache.
	rereadWeight = 0.5
	// homeBonus is subtracted from rereadWeight at the engine that rendezvous hashing
	// assigns to the shared part of the prompt. Nodes that don't know of each other's
	// prefills then select the same engine.
	homeBonus = 0.5
	// streamCost is the delay that each open stream adds to the start of a new one.
	streamCost = 6 * time.Millisecond
	// stallWeight is the weight of the time for which a prefill at a decode engine
	// stalls each stream there.
	stallWeight = 0.7
	// longStall is the number of additional streams that each stream of a long prompt
	// counts as when it is stalled. Its caller has waited longest, and its prompt took
	// the most prefill time.
	longStall = 6.0
	// handOffGain is the minimum reduction in cost for which a short prompt goes through
	// a prefill engine. It pays for the second hop.
	handOffGain = 20 * time.Millisecond
	// farCost is the penalty for an endpoint in another failure domain.
	farCost = 2 * time.Millisecond
	// failCost is the penalty for an endpoint whose recent attempts all failed.
	failCost = 400 * time.Millisecond
	// slowCost is the penalty for each multiple of the typical time that an engine takes
	// in addition, as when its neighbors stall it. An engine in a cold start also gets it.
	slowCost = 10 * time.Millisecond
	// callCost is the penalty for an endpoint of a plain service without a free slot.
	callCost = 60 * time.Millisecond
	// minFetched is the minimum number of tokens worth fetching from another engine.
	minFetched = 1024
	// busyLink is the penalty for each stream at the engine from which tokens are fetched.
	busyLink = time.Millisecond
	// loadFor is how long a load report of an endpoint is used after it was received.
	loadFor = 250 * time.Millisecond
)

// shared returns the id of the longest part that other prompts may share. It
// returns 0 if there is none of at least minCachedPart tokens.
func shared(p *burdockyard.Prompt) uint64 {
	best := burdockyard.PromptPart{Tokens: minCachedPart - 1}
	for i, part := range p.Parts {
		if i < len(p.Parts)-1 && part.Tokens > best.Tokens {
			best = part
		}
	}
	return best.ID
}

// readTime returns how long an engine of typical speed takes to prefill a prompt of
// total tokens, of which the first cached ones are in its cache.
func readTime(total, cached int) time.Duration {
	fresh := float64(max(total-cached, 0))
	pairs := fresh * (float64(cached) + fresh/2) / 1e6
	return readSetup + time.Duration((fresh/usualTokensPerMS+pairs*pairMS)*float64(time.Millisecond))
}

// cachedTokens returns how many leading tokens of a prompt the engine has cached.
func (c *cache) cachedTokens(p *burdockyard.Prompt) int {
	sum := 0
	for _, part := range p.Parts {
		if part.Tokens >= minCachedPart && !c.has(part.ID) {
			break
		}
		sum += part.Tokens
	}
	return sum
}

func promptTokens(p *burdockyard.Prompt) int {
	sum := 0
	for _, part := range p.Parts {
		sum += part.Tokens
	}
	return max(sum, p.Input)
}

const (
	// lastPriority is the least urgent prefill priority.
	lastPriority = 9
	// priorityStep is the range of prefill times that share a priority.
	priorityStep = 60 * time.Millisecond
)

// readPriority returns the prefill priority for a prefill time. Short prefills run
// before long ones; otherwise a prompt that is cached except for its end would wait
// behind one that takes a hundred times as long.
func readPriority(read time.Duration) int {
	return min(lastPriority, 1+int(read/priorityStep))
}

// gathered describes how an engine obtains the KV cache of a prompt.
type gathered struct {
	read   time.Duration // time to prefill the tokens that are not cached
	fetch  time.Duration // time to fetch tokens that another engine has cached
	cached int           // tokens that need no prefill
	source string        // address of the engine to fetch from, empty for none
}

// gather decides whether an engine prefills all missing tokens of a prompt or first
// fetches some of them from another engine. Fetching takes about a tenth of the time
// of prefilling and loads only the links. factor scales the prefill time.
func (n Need) gather(s state, total int, factor float64) gathered {
	read := func(cached int) time.Duration { return time.Duration(factor * float64(readTime(total, cached))) }
	best := gathered{read: read(s.kept), cached: s.kept}
	for _, other := range n.sources {
		if other.kept < s.kept+minFetched || other.endpoint.ID == s.endpoint.ID {
			continue
		}
		fetch := transferSetup + n.transferBetween(other, s, other.kept-s.kept)
		g := gathered{read: read(other.kept), fetch: fetch, cached: other.kept, source: other.endpoint.Addr}
		if g.read+g.fetch+busyLink*time.Duration(other.streams) < best.read+best.fetch {
			best = g
		}
	}
	return best
}

// transferBetween returns how long the KV cache of a number of tokens takes from
// engine a to engine b.
func (n Need) transferBetween(a, b state, tokens int) time.Duration {
	d := n.transfer(tokens)
	if a.endpoint.Domain != b.endpoint.Domain {
		d = time.Duration(farTransfer * float64(d))
	}
	return d
}

// home returns the prefill engine that rendezvous hashing assigns to the shared part
// of the prompt. It is empty if the prompt has no shared part.
func (n Need) home(readers []state) burdockyard.EndpointID {
	id := shared(n.Prompt)
	if id == 0 {
		return ""
	}
	var best burdockyard.EndpointID
	var top uint64
	for _, r := range readers {
		score := rendezvous(id, r.endpoint.ID)
		if best == "" || score > top {
			best, top = r.endpoint.ID, score
		}
	}
	return best
}

// rendezvous returns the score of an engine for a part. The engine with the highest
// score is assigned to the part.
func rendezvous(part uint64, id burdockyard.EndpointID) uint64 {
	b := make([]byte, 0, 64)
	for shift := 0; shift < 64; shift += 8 {
		b = append(b, byte(part>>shift))
	}
	return xxhash.Sum64(append(b, id...))
}

// transfer returns how long the KV cache of a number of tokens takes between two
// engines of one failure domain.
func (n Need) transfer(tokens int) time.Duration {
	if n.Model.LinkMbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(n.Model.TokenBytes) * 8
	return time.Duration(bits / (n.Model.LinkMbps * 1e6) * float64(time.Second))
}

// startCost returns how long the streams at an engine delay a new one. In a full
// batch a slot comes free each time a stream's mean time divided by the number of
// slots has passed. Counting the whole stream time for each waiting stream would
// refuse a herd of short prompts that the engine can serve quickly.
func (n Need) startCost(s state) time.Duration {
	d := time.Duration(float64(min(s.streams, s.endpoint.Slots))*s.slowdown) * streamCost
	if waiting := 1 + s.streams - s.endpoint.Slots; waiting > 0 {
		d += time.Duration(float64(waiting) * s.slowdown * float64(n.streamTime) / float64(s.endpoint.Slots))
	}
	return d
}

// bias returns the penalty of an endpoint for reasons other than its load: failures,
// slowness, another failure domain and a recent start.
func (n Need) bias(s state) time.Duration {
	d := time.Duration(s.endpoint.FailRate * float64(failCost))
	d += time.Duration((s.slowdown - 1) * float64(slowCost))
	if s.endpoint.Domain != n.Domain {
		d += farCost
	}
	if s.endpoint.Cold > 0 {
		d += slowCost
	}
	return d
}
