package byplace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockyard"
)

// The usual speed of an engine, from the users' sheet. Each engine's own speed
// is learnt as a multiple.
const (
	// usualTokensPerMS is how many prompt tokens are read in a millisecond.
	usualTokensPerMS = 93.0
	// pairMS is the time, in milliseconds, that a million pairs of tokens add.
	pairMS = 0.442
	// readSetup is the fixed part of reading a prompt.
	readSetup = 3 * time.Millisecond
	// decodeReadFactor is how much longer a decoding engine reads.
	decodeReadFactor = 2.0
	// transferSetup is the fixed part of fetching a kept prompt.
	transferSetup = 4 * time.Millisecond
	// farTransfer is how much longer a transfer between failure domains takes.
	farTransfer = 2.0
)

// The weights of a plan's cost.
const (
	// rereadWeight counts the reading of parts twice and more: it also takes the
	// time of every prompt behind it, and the memory of another part.
	rereadWeight = 0.5
	// homeBonus is the share of the reading that the engine saves in the choice
	// which rendezvous hashing names for the prompt's shared part, so that nodes
	// that don't know of each other's reading choose the same one.
	homeBonus = 0.5
	// streamCost is what one open stream adds to the time of the next one.
	streamCost = 6 * time.Millisecond
	// stallWeight counts the time for which a running engine's reading holds up
	// each of the streams there.
	stallWeight = 0.7
	// longStall is how many streams more each stream of a long prompt counts as,
	// when it is held up. A pause spoils the answer that its caller has waited for
	// longest, and that took the most reading.
	longStall = 6.0
	// handOffGain is how much sooner a short prompt must start through a reading
	// engine to be worth the second hop.
	handOffGain = 20 * time.Millisecond
	// farCost is the cost of an endpoint in another failure domain.
	farCost = 2 * time.Millisecond
	// failCost is the cost of an endpoint at which every attempt fails lately.
	failCost = 400 * time.Millisecond
	// slowCost is the cost of an engine in a stall by its neighbours, for each
	// multiple of the usual time.
	slowCost = 10 * time.Millisecond
	// callCost is the cost of an endpoint of a plain service of which all places
	// are taken.
	callCost = 60 * time.Millisecond
	// minFetched is the least number of tokens worth fetching.
	minFetched = 1024
	// busyLink is what each stream at the source of a transfer counts against it.
	busyLink = time.Millisecond
	// loadFor is how long an endpoint's own word of its load counts.
	loadFor = 250 * time.Millisecond
)

// shared returns the id of the longest part that others may share, or 0.
func shared(p *burdockyard.Prompt) uint64 {
	best := burdockyard.PromptPart{Tokens: minCachedPart - 1}
	for i, part := range p.Parts {
		if i < len(p.Parts)-1 && part.Tokens > best.Tokens {
			best = part
		}
	}
	return best.ID
}

// readTime is how long an engine of usual speed reads the tokens that come after
// those that it keeps.
func readTime(total, cached int) time.Duration {
	fresh := float64(max(total-cached, 0))
	pairs := fresh * (float64(cached) + fresh/2) / 1e6
	return readSetup + time.Duration((fresh/usualTokensPerMS+pairs*pairMS)*float64(time.Millisecond))
}

// cachedTokens returns how many leading tokens of a prompt an engine keeps.
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
	// lastPriority is the least urgent priority of a reading.
	lastPriority = 9
	// priorityStep is how much longer the prompts of the next priority read.
	priorityStep = 60 * time.Millisecond
)

// readPriority lets short readings go before long ones at an engine. Otherwise a
// prompt of which all but the end is kept waits behind one that takes a hundred
// times as long.
func readPriority(read time.Duration) int {
	return min(lastPriority, 1+int(read/priorityStep))
}

// gathered is how an engine comes by a prompt.
type gathered struct {
	read   time.Duration
	fetch  time.Duration // of what another engine keeps
	cached int           // tokens that need no reading
	source string
}

// gather finds out whether an engine reads all that it lacks of a prompt, or
// fetches a part from another engine first. Fetching takes about a tenth of the
// time of reading, and takes it from the links alone.
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

func (n Need) transferBetween(a, b state, tokens int) time.Duration {
	d := n.transfer(tokens)
	if a.endpoint.Domain != b.endpoint.Domain {
		d = time.Duration(farTransfer * float64(d))
	}
	return d
}

// home is the reading engine that rendezvous hashing names for the shared part.
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

func rendezvous(part uint64, id burdockyard.EndpointID) uint64 {
	b := make([]byte, 0, 64)
	for shift := 0; shift < 64; shift += 8 {
		b = append(b, byte(part>>shift))
	}
	return xxhash.Sum64(append(b, id...))
}

// transfer is how long the memory of a prompt takes between two engines of one
// failure domain.
func (n Need) transfer(tokens int) time.Duration {
	if n.Model.LinkMbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(n.Model.TokenBytes) * 8
	return time.Duration(bits / (n.Model.LinkMbps * 1e6) * float64(time.Second))
}

// startCost is how much the streams at an engine delay a new one. In a full batch
// places come free one after another, each after a stream's time over the number
// of places. Counting a stream's whole time for each of those that wait would
// refuse a herd of short prompts that the engine can serve in a moment.
func (n Need) startCost(s state) time.Duration {
	d := time.Duration(float64(min(s.streams, s.endpoint.Slots))*s.slowdown) * streamCost
	if waiting := 1 + s.streams - s.endpoint.Slots; waiting > 0 {
		d += time.Duration(float64(waiting) * s.slowdown * float64(n.streamTime) / float64(s.endpoint.Slots))
	}
	return d
}

// bias is what is known against an endpoint beside its load.
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
