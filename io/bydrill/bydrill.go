// Package bydrill plays troubles of endpoints against a fleet of nodes in virtual time,
// without a network: what the nodes decide is the real code of the core packages, and
// requests, endpoints and the news between nodes are modelled.
//
// # Usage
//
//	report := bydrill.PlayPoison(bydrill.Config{Nodes: 295, Seed: 1, Fault: bydrill.Restarts})
//	report := bydrill.PlayLimit(bydrill.Config{Nodes: 9, Seed: 1}, 5.9)
//	report := bydrill.PlayVersions(bydrill.Config{Nodes: 9, Seed: 1, Fault: bydrill.KillOfAll})
//
// burdock-lab drill prints the reports.
package bydrill

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"burdockyard"
)

// Fault is what happens to the nodes of the fleet during a drill.
type Fault string

// The faults.
const (
	NoFault    Fault = "none"
	Kills      Fault = "kills"      // a third of the nodes is lost
	Deaf       Fault = "deaf"       // some nodes hear nothing or are not heard
	Restarts   Fault = "restarts"   // one node after the other starts again
	Departures Fault = "departures" // nodes leave and come back
	Ends       Fault = "ends"       // endpoints are killed, several at a time
)

// Faults returns all faults.
func Faults() []Fault { return []Fault{NoFault, Kills, Deaf, Restarts, Departures, Ends} }

// Config is the size and the course of a drill.
type Config struct {
	Nodes int
	Seed  uint64
	Fault Fault
}

const (
	// relayedNodes is the number of nodes above which news travel through relays.
	relayedNodes = 32
	// How often nodes tell news, and how long these take. Through relays, both are longer.
	directInterval = 100 * time.Millisecond
	directDelay    = 5 * time.Millisecond
	relayInterval  = 500 * time.Millisecond
	relayDelay     = 400 * time.Millisecond
	// lossRate is the share of news that are lost.
	lossRate = 0.1
	// stableWindow is how long a node does not count after a fault of its own, and the time
	// within which the fleet must have acted.
	stableWindow = 3 * time.Second
)

// world is the virtual time of a drill, and what is to happen in it. It implements
// burdockyard.Clock. A single goroutine uses it.
type world struct {
	rng    *rand.Rand
	now    time.Time
	events []event // sorted by time
}

type event struct {
	at time.Time
	do func()
}

func newWorld(seed uint64) *world {
	return &world{rng: rand.New(rand.NewPCG(seed, 27)), now: time.Unix(1_000_000, 0)}
}

// Now implements burdockyard.Clock.
func (w *world) Now() time.Time { return w.now }

// after makes do run in d from now.
func (w *world) after(d time.Duration, do func()) {
	at := w.now.Add(d)
	i, _ := slices.BinarySearchFunc(w.events, at, func(e event, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1 // events of one time run in the order in which they were added
	})
	w.events = slices.Insert(w.events, i, event{at, do})
}

// every makes do run again and again.
func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

// run lets the given time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := w.events[0]
		w.events = w.events[1:]
		w.now = e.at
		e.do()
	}
	w.now = end
}

// link is how a node hears of the others.
type link struct {
	deaf, mute bool      // whether it gets no news, or its news are lost
	excused    time.Time // until when the node does not count, as it was restarted
}

// newsTimes returns how often the nodes of a fleet tell news, and how long these take.
func newsTimes(nodes int) (interval, delay time.Duration) {
	if nodes > relayedNodes {
		return relayInterval, relayDelay
	}
	return directInterval, directDelay
}

func nodeID(i int) burdockyard.NodeID { return burdockyard.NodeID(fmt.Sprint("n", i)) }
