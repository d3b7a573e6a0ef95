package byworkspace_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockyard"
	"burdockyard/core/byworkspace"
)

// vmClock is the clock of one VM: true time with an offset of its own. It counts a
// suspension once Sync is called.
type vmClock struct {
	truth     *time.Duration
	offset    time.Duration
	uncounted time.Duration
}

func (c *vmClock) Now() time.Time {
	return time.Unix(0, 0).Add(time.Hour + *c.truth + c.offset - c.uncounted)
}
func (c *vmClock) Sync() { c.uncounted = 0 }

// revokeNode is a node with a copy of a store that holds one key or not.
type revokeNode struct {
	clock     *vmClock
	freshness *byworkspace.Freshness
	version   uint64
	hasKey    bool
	asleep    bool // frozen or suspended
	suspended bool
}

// apply brings the copy up to a version, if it is newer.
func (n *revokeNode) apply(version uint64, hasKey bool) {
	if version > n.version {
		n.version, n.hasKey = version, hasKey
	}
	n.freshness.RecordCopy(burdockyard.StoreVersion{Number: n.version})
}

// revokeWorld is a store, nodes and the messages between them, which are delivered at any
// time, in any order and more than once. A node that is asleep gets its messages later.
type revokeWorld struct {
	truth     time.Duration
	version   uint64
	hasKey    bool
	removedAt time.Duration // when the removal was acknowledged, if the store lacks the key
	nodes     []*revokeNode
	messages  []revokeMessage
	nonce     uint64
}

type revokeMessage struct {
	to      *revokeNode
	deliver func()
}

func (w *revokeWorld) sleep(d time.Duration) {
	w.truth += d
	for _, n := range w.nodes {
		if n.suspended {
			n.clock.uncounted += d
		}
	}
}

func (w *revokeWorld) send(to *revokeNode, deliver func()) {
	w.messages = append(w.messages, revokeMessage{to, deliver})
}

func (w *revokeWorld) drawNode(t *rapid.T, name string) *revokeNode {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, name)]
	if n.asleep {
		t.Skip("asleep")
	}
	return n
}

// TestNoKeyIsBelievedAfterTheBound checks that, in any history of readings, relays, queries,
// late messages, freezes and suspensions, no node believes in a key for longer than the bound
// after the acknowledgement of its removal.
func TestNoKeyIsBelievedAfterTheBound(t *testing.T) {
	bounds := byworkspace.Bounds{Revoke: 5 * time.Second, Config: 3 * time.Second}
	believed := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &revokeWorld{version: 1, hasKey: true}
		for i := range rapid.IntRange(2, 3).Draw(t, "nodes") {
			clock := &vmClock{truth: &w.truth, offset: time.Duration(i) * 777 * time.Hour}
			n := &revokeNode{clock: clock, freshness: byworkspace.NewFreshness(clock)}
			n.apply(w.version, w.hasKey)
			n.freshness.RecordReading(burdockyard.StoreVersion{Number: w.version}, clock.Now())
			w.nodes = append(w.nodes, n)
		}
		actions := map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				w.sleep(rapid.SampledFrom([]time.Duration{time.Millisecond, 400 * time.Millisecond, 2 * time.Second, 6 * time.Second}).Draw(t, "d"))
			},
			"change": func(t *rapid.T) {
				w.version++
				if rapid.Bool().Draw(t, "of the key") {
					w.hasKey, w.removedAt = !w.hasKey, w.truth
				}
			},
			"read": func(t *rapid.T) {
				n := w.drawNode(t, "node")
				requestedAt := n.clock.Now()
				w.sleep(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms to the store")) * time.Millisecond)
				version, hasKey := w.version, w.hasKey
				answer := func() {
					n.apply(version, hasKey)
					n.freshness.RecordReading(burdockyard.StoreVersion{Number: version}, requestedAt)
				}
				if rapid.Bool().Draw(t, "arrives late") {
					w.send(n, answer)
				} else {
					answer()
				}
			},
			"relay": func(t *rapid.T) {
				from, to := w.drawNode(t, "from"), w.drawNode(t, "to")
				version, hasKey := from.version, from.hasKey
				w.send(to, func() { to.apply(version, hasKey) })
			},
			"query": func(t *rapid.T) {
				from, to := w.drawNode(t, "from"), w.drawNode(t, "to")
				w.nonce++
				nonce := w.nonce
				from.freshness.BeginQuery(nonce)
				isSlow := rapid.Bool().Draw(t, "answer is late")
				answer := func() {
					to.clock.Sync()
					version, age, ok := to.freshness.Statement()
					reply := func() { from.freshness.RecordReply(nonce, version, age) }
					switch {
					case ok && (isSlow || from.asleep):
						w.send(from, reply)
					case ok:
						reply()
					}
				}
				if answer(); rapid.Bool().Draw(t, "query arrives again") {
					w.send(to, answer)
				}
			},
			"message arrives": func(t *rapid.T) {
				if len(w.messages) == 0 {
					t.Skip("none")
				}
				i := len(w.messages) - 1 - rapid.IntRange(0, len(w.messages)-1).Draw(t, "messages that came later")
				m := w.messages[i]
				if m.to.asleep {
					t.Skip("asleep")
				}
				if rapid.Bool().Draw(t, "for the last time") {
					w.messages = slices.Delete(w.messages, i, i+1)
				}
				m.to.clock.Sync()
				m.deliver()
			},
			"freeze, suspend or wake": func(t *rapid.T) {
				n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
				n.asleep = !n.asleep && rapid.IntRange(0, 2).Draw(t, "sleeps") == 0
				n.suspended = n.asleep && rapid.Bool().Draw(t, "suspended")
			},
			"": func(t *rapid.T) {
				for i, n := range w.nodes {
					if n.asleep {
						continue
					}
					n.clock.Sync()
					age := n.clock.Now().Sub(n.freshness.ProvenAt())
					if !n.hasKey || bounds.IsStale(age) {
						continue
					}
					believed++
					if !w.hasKey && w.truth-w.removedAt >= bounds.Revoke {
						t.Fatalf("node %d believes in the key %v after its removal, at age %v", i, w.truth-w.removedAt, age)
					}
				}
			},
		}
		for range 20 {
			t.Repeat(actions)
		}
	})
	if believed == 0 {
		t.Error("no node has ever believed in the key")
	}
}

// TestFreshnessProof checks which events prove how much.
func TestFreshnessProof(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	version := func(era, number uint64) burdockyard.StoreVersion {
		return burdockyard.StoreVersion{Era: era, Number: number}
	}
	for _, tt := range []struct {
		name   string
		events func(f *byworkspace.Freshness, now *time.Time)
		want   time.Time
	}{
		{"own reading", func(f *byworkspace.Freshness, _ *time.Time) {
			f.RecordCopy(version(1, 7))
			f.RecordReading(version(1, 7), at(30))
		}, at(30)},
		{"only a relayed copy", func(f *byworkspace.Freshness, _ *time.Time) { f.RecordCopy(version(1, 7)) }, time.Time{}},
		{"answer that comes late", func(f *byworkspace.Freshness, now *time.Time) {
			f.RecordCopy(version(1, 7))
			f.BeginQuery(5)
			*now = at(90)
			f.RecordReply(5, version(1, 6), 10*time.Second)
		}, at(30)},
		{"answer to no query", func(f *byworkspace.Freshness, _ *time.Time) {
			f.RecordCopy(version(1, 7))
			f.RecordReply(5, version(1, 7), time.Second)
		}, time.Time{}},
		{"answer of a negative age", func(f *byworkspace.Freshness, _ *time.Time) {
			f.RecordCopy(version(1, 7))
			f.BeginQuery(5)
			f.RecordReply(5, version(1, 7), -time.Second)
		}, time.Time{}},
		{"answer about a version that the copy lacks", func(f *byworkspace.Freshness, _ *time.Time) {
			f.RecordCopy(version(1, 7))
			f.BeginQuery(5)
			f.RecordReply(5, version(1, 8), time.Second)
		}, time.Time{}},
		{"the copy reaches it later", func(f *byworkspace.Freshness, now *time.Time) {
			f.RecordCopy(version(1, 7))
			f.BeginQuery(5)
			f.RecordReply(5, version(1, 8), time.Second)
			f.RecordReply(5, version(1, 9), 0)
			*now = at(50)
			f.RecordCopy(version(1, 8))
		}, at(39)},
		{"answer of another era", func(f *byworkspace.Freshness, _ *time.Time) {
			f.RecordCopy(version(2, 7))
			f.BeginQuery(5)
			f.RecordReply(5, version(1, 5), time.Second)
		}, time.Time{}},
		{"answer that is older than what is known", func(f *byworkspace.Freshness, _ *time.Time) {
			f.RecordCopy(version(1, 7))
			f.RecordReading(version(1, 7), at(35))
			f.BeginQuery(5)
			f.RecordReply(5, version(1, 7), 20*time.Second)
		}, at(35)},
	} {
		now := at(40)
		f := byworkspace.NewFreshness(clockFunc(func() time.Time { return now }))
		tt.events(f, &now)
		if got := f.ProvenAt(); !got.Equal(tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

type clockFunc func() time.Time

func (f clockFunc) Now() time.Time { return f() }
