// Package byplace chooses the endpoints of a request: which engine reads its
// prompt and which one runs it, or which endpoint of a plain service serves it.
//
// # Usage
//
//	ledger := byplace.NewLedger(clock)
//	plan, ok := ledger.PlanPrompt(need, fleet.Usable(service))
//	flight := ledger.Begin(plan.Reader.ID, byplace.Work{Read: plan.Read})
//	… send …
//	flight.Done()
//
// # How an engine is chosen
//
// Each engine reads prompts one after another, so that a prompt waits for all
// that was sent there before it, by any node. The ledger adds up this node's own
// work and what its peers told of theirs. A plan's cost is the predicted time to
// the first event, plus what it takes from others: reading a shared part again
// that another engine keeps takes time from every prompt behind it, and a long
// prompt on a decoding engine holds up the streams there.
package byplace

import (
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
)

// Need is what a request asks for.
type Need struct {
	Prompt *burdockyard.Prompt
	Model  *burdockyard.ModelSpec
	Domain string // this node's failure domain
	Nodes  int    // that place requests at the same engines, this one included
	Direct bool   // the running engine reads the prompt itself
	// Draw returns a number in [0, n), uniformly. Nil takes every engine into account.
	Draw func(n int) int

	latency    time.Duration // part of every answer that no work explains
	streamTime time.Duration // how long a stream holds its place
	sources    []state
}

// Plan says where a prompt is read and where the request runs. Without a reader
// the runner reads the prompt itself.
type Plan struct {
	Reader  *byfleet.Endpoint
	Runner  byfleet.Endpoint
	Read    time.Duration // reading at the reader, or at the runner without one
	First   int           // priority of the reading at the reader, 0 first
	Predict time.Duration // to the first event
	Wait    time.Duration // of Predict, for prompts before it
	Cached  int           // tokens that the reading engine probably keeps
	Source  string        // address of an engine from which it fetches more of them
	cost    time.Duration
	latency time.Duration // of Predict, the part that no work explains
}

// A reader that says nothing for longer than its prediction times silentFactor and
// silentSlack counts as silent. The factor leaves room for short prompts that other
// nodes send in the meantime, which go first, and the slack for an engine in a stall.
const (
	silentFactor = 2
	silentSlack  = 400 * time.Millisecond
)

// ReadLimit is the time after which the plan's reader counts as silent.
func (p Plan) ReadLimit() time.Duration {
	return silentFactor*(p.Wait+p.Read+p.latency) + silentSlack
}

// PlanPrompt chooses the engines of a prompt; false if no engine can run it.
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

// longPrompt is the size, in tokens, from which a prompt is read by a reading
// engine as a matter of course.
const longPrompt = 2048

// Long reports whether a prompt is a long one.
func Long(p *burdockyard.Prompt) bool { return promptTokens(p) >= longPrompt }

// Peers tell of short prompts a moment later, the later the more nodes there
// are. If each of them chose the least loaded engine of all, they would all
// choose the same one until the next news. Choosing among a few engines, drawn
// anew for each request, keeps nearly all of the gain and spreads the choice.
const (
	// sampleNodes is the number of nodes up to which all engines are considered.
	sampleNodes = 10
	// leastSample is the least number of engines considered.
	leastSample = 3
)

// sample returns the engines to choose from for a short prompt. The order of the
// rest is lost.
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

// direct is the best plan in which the running engine reads the prompt itself.
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

// handedOff is the best plan in which one engine reads and another one runs.
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

// PlanCall chooses the endpoint of a call of a plain service; false if there is
// none.
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
