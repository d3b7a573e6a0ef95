package byduty_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"burdockyard"
	"burdockyard/core/byduty"
)

const (
	ttl  = 3 * time.Second
	tick = 100 * time.Millisecond
)

// fault is what happens to one call to the store.
type fault int

const (
	none         fault = iota
	refused            // the store does not execute the call, and says so
	answerLost         // the store executes the call, and the answer is lost
	executedLate       // no answer comes, and the store executes the call seconds later
	pauseBefore        // the caller stands still for longer than the lease, then sends the call
	pauseAfter         // the same after the store has executed the call
	restored           // the store is restored to an older copy before the call
	killed             // the caller is killed after the call is executed, and restarted
	faultCount
)

var errLost = errors.New("answer lost")

// world runs nodes against a store, in one goroutine and on a clock of its own.
type world struct {
	now     time.Time
	rows    map[string]burdockyard.Row
	version uint64
	era     uint64
	copy    map[string]burdockyard.Row
	late    []lateCommit
	calls   int
	faultAt int
	fault   fault
	nodes   []*node
	acts    []act
	posted  map[int]string // content with which each window was reported
	twice   []int          // windows that were reported with two contents
}

type lateCommit struct {
	at  time.Time
	txn burdockyard.Txn
}

// act is a call to the platform.
type act struct {
	node    burdockyard.NodeID
	process burdockyard.Incarnation
	fence   uint64
	from    time.Time
	to      time.Time // when the authority for it had ended at the latest
}

// node is one process of a VM and its link to the store.
type node struct {
	w      *world
	self   burdockyard.Member
	keeper *byduty.Keeper
	next   time.Time
	cutOff bool
	paused bool

	fence   uint64 // under which the last window was read from the store
	window  int    // last window whose content the store holds
	content string // fixed content of the next window, empty if it is not fixed
}

func (w *world) Now() time.Time { return w.now }

func newWorld(f fault, at int) *world {
	w := &world{now: time.Unix(1000, 0), rows: map[string]burdockyard.Row{}, era: 1, fault: f, faultAt: at, posted: map[int]string{}}
	for _, name := range []burdockyard.NodeID{"a", "b", "c"} {
		w.nodes = append(w.nodes, &node{w: w})
		w.start(len(w.nodes)-1, name)
	}
	return w
}

func (w *world) start(i int, name burdockyard.NodeID) {
	n := w.nodes[i]
	n.self = burdockyard.Member{Node: name, Incarnation: burdockyard.Incarnation(fmt.Sprint(name, w.calls))}
	n.fence, n.window, n.content = 0, 0, ""
	n.keeper, n.next = byduty.New(n, w, "x", n.self, byduty.WithTTL(ttl)), w.now
}

// run lets d pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		for len(w.late) > 0 && !w.now.Before(w.late[0].at) {
			w.commit(w.late[0].txn)
			w.late = w.late[1:]
		}
		if w.version%7 == 3 {
			w.copy = copyRows(w.rows)
		}
		for _, n := range w.nodes {
			if !n.paused {
				n.step()
			}
		}
	}
}

func (n *node) step() {
	w := n.w
	if a, left, ok := n.keeper.Authority(); ok {
		w.acts = append(w.acts, act{n.self.Node, n.self.Incarnation, a.Fence, w.now, w.now.Add(min(left, tick/2))})
	}
	switch {
	case n.keeper.IsRenewalDue():
		n.reportNext()
	case !n.keeper.IsHolder() && !w.now.Before(n.next):
		wait, err := n.keeper.TryAcquire(context.Background())
		if err != nil {
			wait = tick
		}
		n.next = w.now.Add(wait)
	}
}

// reportNext fixes the content of a window in the row state, with the renewal, and reports it,
// as the holder of the duty of usage does.
func (n *node) reportNext() {
	a, _, _ := n.keeper.Authority()
	if n.fence != a.Fence {
		rows, err := n.Get(context.Background(), "state")
		if err != nil {
			return
		}
		era, content := uint64(0), ""
		fmt.Sscan(string(rows[0].Value), &era, &n.window, &content) // the row may not exist
		if n.fence, n.content = a.Fence, ""; rows[0].Era != era {
			n.window = int(n.w.now.UnixMilli()) // those that the store may have lost are left out
		} else {
			n.w.post(n.window, content)
		}
	}
	era, _ := n.keeper.Era()
	if n.content == "" {
		n.content = fmt.Sprint(n.self.Incarnation, "-", n.w.calls)
	}
	value := fmt.Sprint(era, " ", n.window+1, " ", n.content)
	if n.keeper.Commit(context.Background(), burdockyard.Write{Key: "state", Value: []byte(value)}) != nil {
		return // the same content is written again, if the duties are not lost
	}
	n.window++
	n.w.post(n.window, n.content)
	n.content = ""
}

// post reports a window.
func (w *world) post(window int, content string) {
	if before, ok := w.posted[window]; ok && before != content {
		w.twice = append(w.twice, window)
	}
	w.posted[window] = content
}

func copyRows(rows map[string]burdockyard.Row) map[string]burdockyard.Row {
	c := map[string]burdockyard.Row{}
	for k, v := range rows {
		c[k] = v
	}
	return c
}

// pause stops a node while the others go on.
func (w *world) pause(n *node, d time.Duration) {
	n.paused = true
	w.run(d)
	n.paused = false
}

// call makes one call of a node to the store, with the fault that is due.
func (n *node) call(execute func() error, txn *burdockyard.Txn) error {
	w := n.w
	w.calls++
	if n.cutOff {
		return errLost
	}
	if w.calls != w.faultAt {
		return execute()
	}
	switch w.fault {
	case refused:
		return burdockyard.ErrUnavailable
	case executedLate:
		if txn != nil {
			w.late = append(w.late, lateCommit{w.now.Add(2 * time.Second), *txn})
		}
		return errLost
	case pauseBefore:
		w.pause(n, 4*ttl)
		return execute()
	case restored:
		w.rows = copyRows(w.copy)
		w.era++
		return execute()
	}
	err := execute()
	switch w.fault {
	case answerLost:
		return errLost
	case pauseAfter:
		w.pause(n, 4*ttl)
	case killed:
		for i := range w.nodes {
			if w.nodes[i] == n {
				w.start(i, n.self.Node)
			}
		}
		return errLost
	}
	return err
}

func (n *node) Get(_ context.Context, keys ...string) (rows []burdockyard.Row, err error) {
	err = n.call(func() error {
		for _, key := range keys {
			row := n.w.rows[key]
			row.Key, row.Era = key, n.w.era
			rows = append(rows, row)
		}
		return nil
	}, nil)
	return rows, err
}

func (n *node) Commit(_ context.Context, txn burdockyard.Txn) error {
	return n.call(func() error { return n.w.commit(txn) }, &txn)
}

func (w *world) commit(txn burdockyard.Txn) error {
	for _, c := range txn.Checks {
		if w.rows[c.Key].Version != c.Version {
			return burdockyard.ErrConflict
		}
	}
	w.version++ // one counter for all rows
	for _, write := range txn.Writes {
		w.rows[write.Key] = burdockyard.Row{Value: write.Value, Version: w.version}
	}
	for _, c := range txn.Checks {
		if c.Era != w.era {
			return burdockyard.ErrEraChanged
		}
	}
	return nil
}

// platformModel is a platform that accepts no lower fence than it has seen, and each fence
// from one holder only.
var platformModel = porcupine.Model{
	Init: func() any { return act{} },
	Step: func(state, input, _ any) (bool, any) {
		last, next := state.(act), input.(act)
		return next.fence > last.fence || next.fence == last.fence && next.process == last.process, next
	},
}

// check checks the calls that the platform got.
func (w *world) check(t *testing.T) {
	t.Helper()
	var history []porcupine.Operation
	lastOther := map[burdockyard.NodeID]time.Time{} // when a node last acted before another one did
	for i, a := range w.acts {
		history = append(history, porcupine.Operation{ClientId: int(a.self()), Input: a, Call: a.from.UnixNano(), Return: a.to.UnixNano()})
		if i == 0 || w.acts[i-1].node == a.node {
			continue
		}
		lastOther[w.acts[i-1].node] = w.acts[i-1].from
		if at, ok := lastOther[a.node]; ok && a.from.Sub(at) < ttl {
			t.Errorf("%s acts again after %v, with another node in between", a.node, a.from.Sub(at))
		}
	}
	if len(w.twice) > 0 {
		t.Errorf("windows %v were reported with two contents", w.twice)
	}
	if !porcupine.CheckOperations(platformModel, history) {
		t.Errorf("no order of the %d calls has rising fences", len(w.acts))
	}
}

func (a act) self() byte { return a.node[0] - 'a' }

// TestOneHolderWithFaultAtEachCall brings about each fault at each call to the store, while
// the holder is cut off and comes back.
func TestOneHolderWithFaultAtEachCall(t *testing.T) {
	for f := none; f < faultCount; f++ {
		for at := 1; at <= 60; at++ {
			w := newWorld(f, at)
			w.run(8 * time.Second)
			holder := w.holder()
			if holder == nil {
				holder = w.nodes[0]
			}
			holder.cutOff = true
			w.run(8 * time.Second)
			holder.cutOff = false
			w.run(20 * time.Second)
			w.check(t)
			if w.holder() == nil {
				t.Errorf("nobody holds the duties 20 s after the last fault")
			}
			if t.Failed() {
				t.Fatalf("fault %d at call %d", f, at)
			}
		}
	}
}

func (w *world) holder() *node {
	for _, n := range w.nodes {
		if _, _, ok := n.keeper.Authority(); ok {
			return n
		}
	}
	return nil
}

// TestNoLateWriteAfterNextCommit checks that a write without an answer takes no effect after
// a later one has succeeded.
func TestNoLateWriteAfterNextCommit(t *testing.T) {
	w := newWorld(none, 0)
	w.run(8 * time.Second)
	n := w.holder()
	w.fault, w.faultAt = executedLate, w.calls+1
	if err := n.keeper.Commit(t.Context(), burdockyard.Write{Key: "other", Value: []byte("old")}); err == nil {
		t.Fatal("the write without an answer succeeded")
	}
	if err := n.keeper.Commit(t.Context(), burdockyard.Write{Key: "other", Value: []byte("new")}); err != nil {
		t.Fatal(err)
	}
	w.run(4 * time.Second)
	if got := string(w.rows["other"].Value); got != "new" {
		t.Errorf("the row has the value %q", got)
	}
	if w.holder() != n {
		t.Error("the holder has changed")
	}
}

// TestNoAuthorityAfterRestore checks that nobody acts for twice the TTL after a node has seen
// that the store was restored, and that fencing numbers rise although the row is lost.
func TestNoAuthorityAfterRestore(t *testing.T) {
	w := newWorld(none, 0)
	w.run(8 * time.Second)
	n := w.holder()
	before, _, _ := n.keeper.Authority()
	w.rows, w.era = map[string]burdockyard.Row{}, 2
	if err := n.keeper.Commit(t.Context()); !errors.Is(err, byduty.ErrNotHeld) && !errors.Is(err, burdockyard.ErrConflict) {
		t.Errorf("Commit returned %v", err)
	}
	restoredAt := w.now
	w.run(2 * ttl)
	if last := w.acts[len(w.acts)-1]; last.from.Sub(restoredAt) > ttl {
		t.Errorf("%s acts %v after the restore", last.node, last.from.Sub(restoredAt))
	}
	w.run(2 * ttl)
	if w.holder() == nil {
		t.Fatal("nobody holds the duties")
	}
	if after, _, _ := w.holder().keeper.Authority(); after.Fence <= before.Fence {
		t.Errorf("fence %d after %d", after.Fence, before.Fence)
	}
	w.check(t)
}

// TestSteadyHolderMakesFewCalls states what holding the duties costs.
func TestSteadyHolderMakesFewCalls(t *testing.T) {
	w := newWorld(none, 0)
	w.nodes = w.nodes[:1]
	w.run(8 * time.Second)
	before := w.calls
	w.run(time.Minute)
	if got := w.calls - before; got > 50 {
		t.Errorf("%d calls to the store in a minute, want at most 50", got)
	}
}
