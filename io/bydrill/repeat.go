package bydrill

import (
	"time"

	"burdockyard/core/byquarantine"
)

// RepeatReport is what came of a drill in which one request is repeated that ends each
// engine.
type RepeatReport struct {
	Crashes int // under the request
	Late    int // repetitions sent later than stableWindow after the third crash, by nodes that count
	Sound   int // sound requests sent by nodes that count
	Refused int // those of them that were refused
}

const (
	repeatDrillTime        = 100 * time.Second
	relayedRepeatDrillTime = 15 * time.Second // if news travel through relays
	pathsInUse             = 10
)

// PlayRepeat plays 100 s, or 15 s of a large fleet, in which one request is repeated. If together is set, it comes
// to all nodes in the same moment, otherwise to one of them.
func PlayRepeat(cfg Config, together bool) RepeatReport {
	d := newStoreDrill(cfg)
	d.every(time.Second/soundPerSecond, func() {
		d.sendIfReady(d.nodes[d.rng.IntN(len(d.nodes))], []byquarantine.Key{
			byquarantine.PathKey(uint64(d.rng.IntN(pathsInUse))), byquarantine.RequestKey(1000 + uint64(d.rng.IntN(1_000_000))),
		}, false)
	})
	d.run(4 * time.Second)
	d.startStoreFault()
	poisoned := []byquarantine.Key{byquarantine.PathKey(1), byquarantine.RequestKey(7)}
	if together {
		d.every(4*time.Second, func() {
			for _, n := range d.nodes {
				d.sendIfReady(n, poisoned, true)
			}
		})
	} else {
		d.every(700*time.Millisecond, func() { d.sendIfReady(d.nodes[d.rng.IntN(len(d.nodes))], poisoned, true) })
	}
	if cfg.Nodes > relayedNodes {
		d.run(relayedRepeatDrillTime)
	} else {
		d.run(repeatDrillTime)
	}
	rep := RepeatReport{Crashes: len(d.crashes)}
	for _, r := range d.sent {
		switch {
		case !r.counts:
		case r.poisoned && !r.refused && len(d.crashes) >= 3 && r.sentAt.After(d.crashes[2].Add(stableWindow)):
			rep.Late++
		case !r.poisoned:
			rep.Sound++
			if r.refused {
				rep.Refused++
			}
		}
	}
	return rep
}
