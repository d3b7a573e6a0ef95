package bymirror_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"burdockyard"
	"burdockyard/core/bymirror"
)

// fleet is a store and nodes that read it and tell each other. Messages get lost, come late and
// in any order.
type fleet struct {
	rng     *rand.Rand
	era     uint64
	log     []burdockyard.Change // of this era; log[i] has version i+1
	copies  map[uint64][]burdockyard.Change
	nodes   []*bymirror.Mirror
	reading []*reading // of each node, nil if there is none
	inbox   []message
}

// reading is what the store has answered to a node that has not applied it yet.
type reading struct {
	changes  []burdockyard.Change
	from, to burdockyard.StoreVersion
}

type message struct {
	to int
	reading
	whole, confirms bool
}

const keysInTable = 3

func newFleet(seed uint64, nodes int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), era: 1, copies: map[uint64][]burdockyard.Change{}, reading: make([]*reading, nodes)}
	for range nodes {
		f.nodes = append(f.nodes, bymirror.New())
	}
	return f
}

func (f *fleet) version() burdockyard.StoreVersion {
	return burdockyard.StoreVersion{Era: f.era, Number: uint64(len(f.log))}
}

// rows returns the table at a version of the present era, as the changes that made it.
func (f *fleet) rows(number uint64) []burdockyard.Change {
	newest := map[string]burdockyard.Change{}
	for _, c := range f.log[:number] {
		newest[c.Row.Key] = c
	}
	var out []burdockyard.Change
	for _, c := range newest {
		if !c.Removed && c.Row.Key != "" {
			out = append(out, c)
		}
	}
	return out
}

// read asks the store for a node.
func (f *fleet) read(node int) {
	from := f.nodes[node].Version()
	r := &reading{from: from, to: f.version()}
	if from.Era != f.era {
		r.from = burdockyard.StoreVersion{}
		r.changes = f.rows(r.to.Number)
	} else {
		for _, c := range f.log[min(from.Number, r.to.Number):] {
			if c.Row.Key != "" {
				r.changes = append(r.changes, c)
			}
		}
	}
	f.reading[node] = r
}

// finish applies the store's answer at a node, which then tells the others.
func (f *fleet) finish(node int) {
	r, m := f.reading[node], f.nodes[node]
	f.reading[node] = nil
	told := message{reading: reading{from: r.from, to: r.to}, whole: true}
	if r.from.Number == 0 {
		if _, ok := m.ApplyScan(rowsOf(r.changes), r.to); !ok {
			return
		}
	} else {
		_, relay, ok := m.ReadChanges(r.changes, r.changes, r.from, r.to)
		if !ok {
			return
		}
		told = message{reading: reading{relay.Changes, relay.ChangedSince, r.to}, whole: relay.Whole, confirms: len(relay.Changes) == 0}
	}
	if told.whole {
		rows, version := m.Rows()
		told.reading, told.confirms = reading{to: version}, false
		for _, row := range rows {
			told.changes = append(told.changes, burdockyard.Change{Row: row})
		}
	}
	for i := range f.nodes {
		if i != node && f.rng.IntN(3) > 0 {
			told.to = i
			f.inbox = append(f.inbox, told)
		}
	}
}

// deliver delivers one of the messages that are on their way.
func (f *fleet) deliver() {
	i := f.rng.IntN(len(f.inbox))
	msg := f.inbox[i]
	f.inbox = append(f.inbox[:i], f.inbox[i+1:]...)
	switch m := f.nodes[msg.to]; {
	case msg.whole:
		m.ApplyScan(rowsOf(msg.changes), msg.reading.to)
	case msg.confirms:
		m.Confirm(msg.from, msg.reading.to)
	default:
		m.ApplyChanges(msg.changes, msg.from, msg.reading.to)
	}
}

// ask makes a node ask another for what it lacks. The answer is on its way then.
func (f *fleet) ask(node int) {
	changes, from, to := f.nodes[f.rng.IntN(len(f.nodes))].ChangesSince(f.nodes[node].Version())
	f.inbox = append(f.inbox, message{to: node, reading: reading{changes, from, to}, whole: from.Number == 0, confirms: from.Number > 0 && len(changes) == 0})
}

// step plays one event.
func (f *fleet) step() {
	node := f.rng.IntN(len(f.nodes))
	switch p := f.rng.IntN(100); {
	case p < 8:
		key := fmt.Sprint("key-", f.rng.IntN(keysInTable))
		f.log = append(f.log, change(key, uint64(len(f.log)+1), f.rng.IntN(6) == 0))
	case p < 20:
		f.log = append(f.log, burdockyard.Change{}) // a change of another table
	case p < 45 && f.reading[node] == nil:
		f.read(node)
	case p < 70 && f.reading[node] != nil:
		f.finish(node)
	case p < 74:
		f.ask(node)
	case p < 97 && len(f.inbox) > 0:
		f.deliver()
	case p == 98:
		f.nodes[node], f.reading[node] = bymirror.New(), nil
	case p == 99 && f.rng.IntN(4) == 0:
		f.copies[f.era] = f.log
		f.era++
		f.log = append([]burdockyard.Change{}, f.log[:f.rng.IntN(len(f.log)+1)]...)
	}
}

// missing returns what a node lacks of the table at the version that it claims to have reached.
func (f *fleet) missing(node int) string {
	m := f.nodes[node]
	version := m.Version()
	if version.Era != f.era {
		return "" // the store has been restored; the node will see it
	}
	for _, c := range f.rows(version.Number) {
		if row, ok := m.Row(c.Row.Key); !ok || row.Version < c.Row.Version {
			return fmt.Sprintf("node %d at version %d lacks the change of %s at version %d and has version %d", node, version.Number, c.Row.Key, c.Row.Version, row.Version)
		}
	}
	return ""
}

func rowsOf(changes []burdockyard.Change) []burdockyard.Row {
	var rows []burdockyard.Row
	for _, c := range changes {
		rows = append(rows, c.Row)
	}
	return rows
}

// TestCopyLacksNoChangeThatItClaims guards against the failure that a node counts its copy of the
// configuration as up to date while it lacks a change: a peer has told it that there was none.
func TestCopyLacksNoChangeThatItClaims(t *testing.T) {
	for seed := range uint64(300) {
		f := newFleet(seed, 3)
		for step := range 300 {
			f.step()
			for node := range f.nodes {
				if m := f.missing(node); m != "" {
					t.Fatalf("seed %d, step %d: %s", seed, step, m)
				}
			}
		}
	}
}
