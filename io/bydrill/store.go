package bydrill

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"burdockyard/core/byquarantine"
)

// Faults of a drill with a store, besides those of nodes and engines.
const (
	KillOfAll     Fault = "kill of all"    // all nodes are killed at once, several times
	StoreAway     Fault = "store away"     // all nodes are killed at once while the store is away
	StoreRestored Fault = "store restored" // the store loses its last seconds, and all nodes are killed later
	InTurn        Fault = "in turn"        // nodes are stopped and started one after the other, as planned work
)

// StoreFaults returns all faults of drills with a store.
func StoreFaults() []Fault { return append(Faults(), KillOfAll, StoreAway, StoreRestored, InTurn) }

const (
	saveInterval  = 50 * time.Millisecond
	loadRetryTime = time.Second
	restoredTime  = 4 * time.Second  // what a restored store has lost
	inTurnTime    = 12 * time.Second // in which all nodes are restarted in turn
)

// storeDrill adds a store to a poisonDrill. Nodes read it when they start, and wait for
// it if it is away.
type storeDrill struct {
	*poisonDrill
	cfg     Config
	store   map[byquarantine.Key]byquarantine.Record
	away    bool
	unready map[*poisonNode]bool // nodes that have not read the store yet
}

func newStoreDrill(cfg Config) *storeDrill {
	d := &storeDrill{poisonDrill: newPoisonDrill(cfg), cfg: cfg, store: map[byquarantine.Key]byquarantine.Record{}, unready: map[*poisonNode]bool{}}
	d.claim = d.claimTrial
	for _, n := range d.nodes {
		d.every(saveInterval, func() { d.save(n) })
	}
	return d
}

func (d *storeDrill) sendIfReady(n *poisonNode, keys []byquarantine.Key, poisoned bool) {
	if !d.unready[n] {
		d.sendThrough(n, keys, poisoned)
	}
}

// startStoreFault starts the fault of the drill's Config.
func (d *storeDrill) startStoreFault() {
	switch d.cfg.Fault {
	case KillOfAll:
		for _, at := range []time.Duration{1500 * time.Millisecond, 6 * time.Second, 7 * time.Second, 20 * time.Second, 70 * time.Second} {
			d.after(at, d.killAll)
		}
	case StoreAway:
		for _, at := range []time.Duration{2 * time.Second, 12 * time.Second, 40 * time.Second} {
			d.after(at, func() { d.away = true })
			d.after(at+3*time.Second, func() { d.away = false })
		}
		d.after(14*time.Second, d.killAll)
		d.after(41*time.Second, d.killAll)
	case StoreRestored:
		for _, at := range []time.Duration{5 * time.Second, 30 * time.Second} {
			d.after(at, func() {
				copied := maps.Clone(d.store)
				d.after(restoredTime, func() { d.restore(copied) })
			})
			d.after(at+restoredTime+2*time.Second, d.killAll)
		}
	case InTurn:
		for _, at := range []time.Duration{6 * time.Second, 22 * time.Second} {
			for i, n := range d.nodes {
				d.after(at+time.Duration(i)*inTurnTime/time.Duration(len(d.nodes)), func() { d.restartStored(n, i) })
			}
		}
	default:
		d.startFault(d.cfg, true)
	}
}

// restore puts an older copy of the store in its place. One node learns of it and marks
// what may be lost.
func (d *storeDrill) restore(copied map[byquarantine.Key]byquarantine.Record) {
	d.store = copied
	d.nodes[d.rng.IntN(len(d.nodes))].MarkLost()
}

// killAll restarts all nodes. What their engines were doing is not recorded.
func (d *storeDrill) killAll() {
	for i, n := range d.nodes {
		d.restartStored(n, i)
	}
}

// restartStored gives a node a new process, which reads the store a second later.
func (d *storeDrill) restartStored(n *poisonNode, i int) {
	d.restart(n, i, d.cfg.Nodes)
	d.unready[n] = true
	d.after(time.Second, func() { d.load(n) })
}

// load reads the store into a node that has started.
func (d *storeDrill) load(n *poisonNode) {
	if d.away {
		d.after(loadRetryTime, func() { d.load(n) })
		return
	}
	n.Load(d.records())
	delete(d.unready, n)
}

// records returns what is stored, in the order of the keys.
func (d *storeDrill) records() []byquarantine.Record {
	records := slices.Collect(maps.Values(d.store))
	slices.SortFunc(records, func(a, b byquarantine.Record) int { return cmp.Compare(a.Key, b.Key) })
	return records
}

// save merges what is stored, and writes what a node has not saved.
func (d *storeDrill) save(n *poisonNode) {
	if d.away || len(n.Unsaved()) == 0 {
		return
	}
	n.Load(d.records())
	unsaved := n.Unsaved()
	for _, r := range unsaved {
		switch known, ok := d.store[r.Key]; {
		case r.Ends == 0:
			delete(d.store, r.Key)
		case !ok || !known.Supersedes(r):
			d.store[r.Key] = r
		}
	}
	n.MarkSaved(unsaved)
}

// claimTrial claims a trial of a request for a node.
func (d *storeDrill) claimTrial(n *poisonNode, key byquarantine.Key) bool {
	own := n.Record(key)
	if known, ok := d.store[key]; d.away || ok && known.Covers(own) {
		return false
	}
	d.store[key] = own
	return true
}
