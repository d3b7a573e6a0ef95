package bydrill

import (
	"slices"
	"time"

	"burdockyard/core/byquarantine"
)

// PoisonReport is what came of a drill in which requests with one key crash each engine
// that begins to answer them.
type PoisonReport struct {
	Crashes int // by poisoned requests
	Late    int // poisoned requests sent later than stableWindow after the fifth crash, by nodes that count
	Refused int // sound requests that were refused, by nodes that count
	Sound   int // sound requests with the first key of the poisoned ones, sent 2 stableWindows after that crash or the last one
	Begun   int // those of them whose answers began
}

const (
	startTime = 90 * time.Millisecond  // until an answer begins
	longStart = 600 * time.Millisecond // the same of a long prompt
	proveTime = 100 * time.Millisecond // until it counts as begun
	downTime  = 3 * time.Second        // of an engine after its end
	engines   = 12
	// soundPerSecond and poisonedPerSecond are how many requests come.
	soundPerSecond    = 60
	poisonedPerSecond = 6

	firstKey  byquarantine.Key = 1 // of the poisoned requests and some sound ones
	poisonKey byquarantine.Key = 0xbad1
)

type poisonNode struct {
	*byquarantine.Quarantine
	link
}

// engine begins to answer a request some time after it got it.
type engine struct {
	id        uint64 // changes with each start
	downUntil time.Time
	open      []*request // whose answers have not begun
}

type request struct {
	number   uint64
	process  *byquarantine.Quarantine // of the node that has sent it
	node     *poisonNode
	keys     []byquarantine.Key
	poisoned bool
	sentAt   time.Time
	refused  bool
	begun    bool
	counts   bool // whether its node was in order
}

type poisonDrill struct {
	*world
	nodes   []*poisonNode
	engines []*engine
	crashes []time.Time
	sent    []*request
	start   time.Duration                            // until an answer begins
	claim   func(*poisonNode, byquarantine.Key) bool // claims a trial of a request; nil if no request is repeated
}

// PlayPoison plays some seconds with sound requests only, and then poisonTime with
// poisoned ones among them. If poisonTime is zero, there are only the faults of cfg, for
// 24 s.
func PlayPoison(cfg Config, poisonTime time.Duration) PoisonReport {
	d := newPoisonDrill(cfg)
	d.every(time.Second/soundPerSecond, func() { d.send(false) })
	d.run(4 * time.Second)
	d.startFault(cfg, poisonTime > 0)
	if poisonTime > 0 {
		d.every(time.Second/poisonedPerSecond, func() { d.send(true) })
	} else {
		poisonTime = 24 * time.Second
	}
	d.run(poisonTime)
	return d.report()
}

const (
	// storedPoisonTime is the length of PlayStoredPoison after the first poisoned request.
	storedPoisonTime = 40 * time.Second
	// poisonDelay is the time from the restart of all nodes to that request.
	poisonDelay = 4 * time.Second
)

// PlayStoredPoison plays as PlayPoison, with a store that outlives the nodes. Sound requests
// with the first key of the poisoned ones stop with the first of these and come again
// soundAfter later. Just before, the nodes are restarted, so that they have forgotten that
// such requests were answered.
func PlayStoredPoison(cfg Config, soundAfter time.Duration) PoisonReport {
	d := newStoreDrill(cfg)
	d.start = longStart
	resumesAt := time.Time{}
	d.every(time.Second/soundPerSecond, func() {
		keys := d.soundKeys()
		if keys[0] != firstKey || !d.now.Before(resumesAt) {
			d.sendIfReady(d.nodes[d.rng.IntN(len(d.nodes))], keys, false)
		}
	})
	d.run(4 * time.Second)
	resumesAt = d.now.Add(poisonDelay + soundAfter)
	d.killAll()
	d.run(poisonDelay)
	d.startStoreFault()
	d.every(time.Second/poisonedPerSecond, func() {
		d.sendIfReady(d.nodes[d.rng.IntN(len(d.nodes))], []byquarantine.Key{firstKey, poisonKey, d.soundKeys()[1]}, true)
	})
	d.run(storedPoisonTime)
	return d.report()
}

// newPoisonDrill returns a drill with nodes that tell each other news.
func newPoisonDrill(cfg Config) *poisonDrill {
	d := &poisonDrill{world: newWorld(cfg.Seed), start: startTime}
	interval, delay := newsTimes(cfg.Nodes)
	for i := range cfg.Nodes {
		n := &poisonNode{}
		d.restart(n, i, cfg.Nodes)
		n.excused = time.Time{}
		d.nodes = append(d.nodes, n)
		d.after(time.Duration(d.rng.Int64N(int64(interval))), func() { d.every(interval, func() { d.gossip(n, delay) }) })
	}
	for i := range engines {
		d.engines = append(d.engines, &engine{id: uint64(i + 1)})
	}
	return d
}

// restart gives a node a new process.
func (d *poisonDrill) restart(n *poisonNode, i, nodes int) {
	n.Quarantine = byquarantine.New(d, nodeID(i))
	n.SetNodes(nodes)
	n.excused = d.now.Add(stableWindow)
}

// startFault starts the fault of cfg. Departures of nodes make no difference here.
func (d *poisonDrill) startFault(cfg Config, poisoned bool) {
	round := 0
	switch cfg.Fault {
	case Kills:
		d.nodes = d.nodes[cfg.Nodes/3:]
	case Deaf:
		d.nodes[0].deaf, d.nodes[1].mute = true, true
	case Restarts:
		d.every(time.Second, func() {
			round++
			d.restart(d.nodes[round%cfg.Nodes], round%cfg.Nodes, cfg.Nodes)
		})
	case Ends:
		d.every(1500*time.Millisecond, func() {
			round++
			ends := 4
			if !poisoned {
				ends = []int{1, 4, engines}[round%3]
			}
			for i := range ends {
				d.end(d.engines[(round+i)%engines])
			}
		})
	}
}

// gossip sends the news of a node to all others.
func (d *poisonDrill) gossip(n *poisonNode, delay time.Duration) {
	news := n.News()
	if news.IsEmpty() || n.mute {
		return
	}
	d.after(delay, func() {
		for _, to := range d.nodes {
			if to != n && !to.deaf && d.rng.Float64() >= lossRate {
				to.Merge(news)
			}
		}
	})
}

// soundKeys returns the keys of a sound request. A quarter of them has the first key of the
// poisoned ones.
func (d *poisonDrill) soundKeys() []byquarantine.Key {
	keys := []byquarantine.Key{1 + byquarantine.Key(d.rng.IntN(40)), 1000 + byquarantine.Key(d.rng.IntN(1034))}
	if d.rng.IntN(4) == 0 {
		keys[0] = firstKey
	}
	return keys
}

// send sends one request to a random engine through a random node.
func (d *poisonDrill) send(poisoned bool) {
	keys := d.soundKeys()
	if poisoned {
		keys = []byquarantine.Key{firstKey, poisonKey, keys[1]}
	}
	d.sendThrough(d.nodes[d.rng.IntN(len(d.nodes))], keys, poisoned)
}

// sendThrough sends one request to a random engine through a node. The engine crashes if
// the request is poisoned.
func (d *poisonDrill) sendThrough(n *poisonNode, keys []byquarantine.Key, poisoned bool) {
	r := &request{number: uint64(len(d.sent)), process: n.Quarantine, node: n, keys: keys, poisoned: poisoned, sentAt: d.now, counts: !n.deaf && !n.mute && !d.now.Before(n.excused)}
	d.sent = append(d.sent, r)
	decision := n.Admit(keys)
	if !decision.Admitted || decision.Claim != 0 && !d.claim(n, decision.Claim) {
		r.refused = true
		return
	}
	up := slices.DeleteFunc(slices.Clone(d.engines), func(e *engine) bool { return d.now.Before(e.downUntil) })
	if len(up) == 0 {
		return
	}
	e := up[d.rng.IntN(len(up))]
	e.open = append(e.open, r)
	id := e.id
	d.after(d.start, func() {
		switch {
		case e.id != id:
		case r.poisoned:
			d.crashes = append(d.crashes, d.now)
			d.end(e)
		default:
			d.after(proveTime, func() { d.prove(e, id, r) })
		}
	})
}

// prove records that the answer to a request has begun, unless its engine has ended.
func (d *poisonDrill) prove(e *engine, id uint64, r *request) {
	if e.id != id {
		return
	}
	e.open = slices.DeleteFunc(e.open, func(o *request) bool { return o == r })
	if r.isKnown() {
		r.begun = true
		r.process.RecordAnswer(r.keys)
	}
}

// isKnown reports whether the process that has sent the request still runs.
func (r *request) isKnown() bool { return r.node.Quarantine == r.process }

// end ends the process of an engine.
func (d *poisonDrill) end(e *engine) {
	for _, r := range e.open {
		if r.isKnown() {
			r.process.RecordEnd(byquarantine.End{Request: r.number, Endpoint: e.id, Keys: r.keys})
		}
	}
	e.open = nil
	e.id += 1000
	e.downUntil = d.now.Add(downTime)
}

func (d *poisonDrill) report() PoisonReport {
	rep := PoisonReport{Crashes: len(d.crashes)}
	bound := d.now
	if len(d.crashes) > 0 {
		bound = d.crashes[min(len(d.crashes), 5)-1]
	}
	for _, r := range d.sent {
		switch {
		case !r.counts:
		case r.poisoned && !r.refused && len(d.crashes) >= 5 && r.sentAt.After(bound.Add(stableWindow)):
			rep.Late++
		case r.poisoned:
		case r.refused:
			rep.Refused++
		}
		if r.counts && !r.poisoned && r.keys[0] == firstKey && r.sentAt.After(bound.Add(2*stableWindow)) && d.now.Sub(r.sentAt) > time.Second {
			rep.Sound++
			if r.begun {
				rep.Begun++
			}
		}
	}
	return rep
}
