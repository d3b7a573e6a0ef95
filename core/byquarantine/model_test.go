package byquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/byquarantine"
)

// model is a fleet whose nodes send requests to engines that crash when they begin to
// answer a poisoned one. It runs in virtual time, in a single goroutine.
type model struct {
	rng     *rand.Rand
	nodes   []*modelNode
	engines []*modelEngine
	events  []modelEvent
	crashes []time.Time
	sent    []*modelRequest
}

type modelNode struct {
	*byquarantine.Quarantine
	deaf, mute bool // whether it gets no news, or its news are lost
}

// modelEngine is an engine that begins to answer a request some time after it got it.
type modelEngine struct {
	id        uint64 // changes with each start
	downUntil time.Time
	open      []*modelRequest // whose answers have not begun
}

type modelRequest struct {
	number   uint64
	node     *modelNode
	keys     []byquarantine.Key
	poisoned bool
	sentAt   time.Time
	refused  bool
	begun    bool
}

type modelEvent struct {
	at time.Time
	do func()
}

const (
	startTime = 90 * time.Millisecond  // until an answer begins
	proveTime = 100 * time.Millisecond // until it counts as begun
	downTime  = 3 * time.Second        // of a crashed engine
	// How often nodes tell news, and how long these take. Through relays, as in a large
	// fleet, both are far longer.
	directInterval = 100 * time.Millisecond
	directDelay    = 5 * time.Millisecond
	relayInterval  = 500 * time.Millisecond
	relayDelay     = 400 * time.Millisecond
)

func newModel(nodes int, seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 27))}
	for i := range nodes {
		n := &modelNode{Quarantine: byquarantine.New(burdockyard.SystemClock{}, burdockyard.NodeID(fmt.Sprint("n", i)))}
		n.SetNodes(nodes)
		m.nodes = append(m.nodes, n)
		m.after(time.Duration(m.rng.Int64N(int64(relayInterval))), func() { m.gossip(n) })
	}
	for i := range 12 {
		m.engines = append(m.engines, &modelEngine{id: uint64(i + 1)})
	}
	return m
}

// after makes do run in d from now.
func (m *model) after(d time.Duration, do func()) {
	at := time.Now().Add(d)
	i, _ := slices.BinarySearchFunc(m.events, at, func(e modelEvent, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1 // events of one time run in the order in which they were added
	})
	m.events = slices.Insert(m.events, i, modelEvent{at, do})
}

// gossip sends the news of a node to all others, a tenth of the datagrams in vain.
func (m *model) gossip(n *modelNode) {
	interval, delay := directInterval, directDelay
	if len(m.nodes) > 32 {
		interval, delay = relayInterval, relayDelay
	}
	m.after(interval, func() { m.gossip(n) })
	news := n.News().Aged(delay)
	if news.IsEmpty() || n.mute {
		return
	}
	m.after(delay, func() {
		for _, to := range m.nodes {
			if to != n && !to.deaf && m.rng.IntN(10) > 0 {
				to.Merge(news)
			}
		}
	})
}

// send sends one request to a random engine through a random node.
func (m *model) send(poisoned bool) {
	keys := []byquarantine.Key{1 + byquarantine.Key(m.rng.IntN(40)), 1000 + byquarantine.Key(m.rng.IntN(1034))}
	switch {
	case poisoned:
		keys = []byquarantine.Key{first, poison, keys[1]}
	case m.rng.IntN(4) == 0:
		keys[0] = first
	}
	r := &modelRequest{number: uint64(len(m.sent)), node: m.nodes[m.rng.IntN(len(m.nodes))], keys: keys, poisoned: poisoned, sentAt: time.Now()}
	m.sent = append(m.sent, r)
	if !r.node.Admit(keys).Admitted {
		r.refused = true
		return
	}
	up := slices.DeleteFunc(slices.Clone(m.engines), func(e *modelEngine) bool { return time.Now().Before(e.downUntil) })
	if len(up) == 0 {
		return
	}
	e := up[m.rng.IntN(len(up))]
	e.open = append(e.open, r)
	id := e.id
	m.after(startTime, func() {
		switch {
		case e.id != id:
		case r.poisoned:
			m.crashes = append(m.crashes, time.Now())
			m.crash(e)
		default:
			m.after(proveTime, func() {
				if e.id == id {
					e.open = slices.DeleteFunc(e.open, func(o *modelRequest) bool { return o == r })
					r.begun = true
					r.node.RecordAnswer(r.keys)
				}
			})
		}
	})
}

// crash ends the process of an engine.
func (m *model) crash(e *modelEngine) {
	for _, r := range e.open {
		r.node.RecordEnd(byquarantine.End{Request: r.number, Endpoint: e.id, Keys: r.keys})
	}
	e.open = nil
	e.id += 1000
	e.downUntil = time.Now().Add(downTime)
}

// run plays the given time. Each second has 60 sound requests, and poisoned ones.
func (m *model) run(length time.Duration, poisonedPerSecond int) {
	for end, i := time.Now().Add(length), 0; time.Now().Before(end); i++ {
		for next := time.Now().Add(time.Second / 60); len(m.events) > 0 && !m.events[0].at.After(next); {
			e := m.events[0]
			m.events = m.events[1:]
			time.Sleep(time.Until(e.at))
			e.do()
		}
		m.send(false)
		if poisonedPerSecond > 0 && i%(60/poisonedPerSecond) == 0 {
			m.send(true)
		}
		time.Sleep(time.Second / 120)
	}
}

// seeds returns the number of seeds that are played with a number of nodes.
func seeds(nodes int) uint64 {
	if nodes > 32 {
		return 1
	}
	return 3
}

// TestPoisonedRequestsStopAcrossFleet guards against the failure that requests with one
// input crash engine after engine, because each node learns of it alone.
func TestPoisonedRequestsStopAcrossFleet(t *testing.T) {
	const stableWindow = 3 * time.Second
	faults := map[string]func(m *model){
		"no fault": func(*model) {},
		"a node is killed, another not heard": func(m *model) {
			m.nodes[0].deaf, m.nodes[0].mute, m.nodes[1].mute = true, true, true
		},
		"a node restarts again and again": func(m *model) {
			var restart func()
			restart = func() {
				m.nodes[2].Quarantine = byquarantine.New(burdockyard.SystemClock{}, "n2")
				m.after(4*time.Second, restart)
			}
			restart()
		},
		"engines are killed meanwhile": func(m *model) {
			var kill func()
			kill = func() {
				for i := range 4 {
					m.crash(m.engines[i])
				}
				m.after(1500*time.Millisecond, kill)
			}
			kill()
		},
	}
	for name, fault := range faults {
		for _, size := range []int{9, 295} {
			for seed := range seeds(size) {
				t.Run(fmt.Sprint(name, "/", size, "/", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						m := newModel(size, seed)
						m.run(4*time.Second, 0)
						fault(m)
						m.run(24*time.Second, 6)
						if len(m.crashes) == 0 {
							t.Fatal("no engine has crashed")
						}
						last := m.crashes[min(len(m.crashes), 5)-1] // the fifth, or the last one
						late, sound, begun := 0, 0, 0
						for _, r := range m.sent {
							switch {
							case r.node.deaf || r.node.mute: // out of touch
							case r.poisoned && !r.refused && len(m.crashes) >= 5 && r.sentAt.After(last.Add(stableWindow)):
								late++
							case !r.poisoned && r.sentAt.After(last.Add(2*stableWindow)) && time.Since(r.sentAt) > time.Second && r.keys[0] == first:
								sound++
								if r.begun {
									begun++
								}
							}
						}
						t.Logf("%d crashes, %d poisoned requests sent after the bound, %d of %d sound ones with the first part begin", len(m.crashes), late, begun, sound)
						if late > 3 {
							t.Errorf("%d poisoned requests are sent later than %v after the fifth crash, want at most 3", late, stableWindow)
						}
						if sound == 0 || 2*begun < sound {
							t.Errorf("%d of %d sound requests with the same first part begin, want at least half", begun, sound)
						}
					})
				})
			}
		}
	}
}

// TestKilledEnginesBlameNoInput guards sound callers: engines that end for other reasons,
// alone or many at a time, must not make nodes refuse requests.
func TestKilledEnginesBlameNoInput(t *testing.T) {
	for _, size := range []int{9, 295} {
		for seed := range seeds(size) {
			t.Run(fmt.Sprint(size, "/", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(size, seed)
					for i := range 20 {
						for j := range []int{1, 4, 12}[i%3] {
							m.crash(m.engines[(i+j)%len(m.engines)])
						}
						m.run(1500*time.Millisecond, 0)
					}
					refused := 0
					for _, r := range m.sent {
						if r.refused {
							refused++
						}
					}
					if refused > 0 {
						t.Errorf("%d of %d sound requests are refused, want none", refused, len(m.sent))
					}
				})
			})
		}
	}
}
