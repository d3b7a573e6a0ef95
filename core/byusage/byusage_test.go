package byusage_test

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"burdockyard/core/byusage"
)

// decode returns the ledger that a new holder reads.
func decode(t *testing.T, s byusage.State) *byusage.Ledger {
	t.Helper()
	l, _, err := byusage.Decode(bytes.Join(s.Pieces(), nil))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func begin(c *byusage.Counter, window int64, workspace string, times int) {
	for range times {
		c.Begin(window, workspace)
	}
}

func save(l *byusage.Ledger) byusage.State {
	s := l.Encode(1)
	l.Saved(s)
	return s
}

func acknowledge(c *byusage.Counter, acks []byusage.Ack) {
	for _, a := range acks {
		c.Ack(a)
	}
}

// TestReportsCountEachRequestOnce lets reports be repeated, lost and late, a holder be lost
// and a node be killed.
func TestReportsCountEachRequestOnce(t *testing.T) {
	one, two := byusage.NewCounter(), byusage.NewCounter()
	l := byusage.NewLedger(7)
	begin(one, 7, "x", 3)
	begin(two, 7, "x", 2)
	early := two.Report(7)
	begin(two, 7, "y", 1)
	l.Merge(2, two.Report(7))
	l.Merge(2, early) // overtaken by the one before
	l.Merge(1, one.Report(7))
	if l.IsComplete(7, []uint64{1, 2}) {
		t.Error("the window is complete before the nodes have told that it has ended")
	}
	acknowledge(one, l.Merge(1, one.Report(8)))
	if got := len(one.Report(8)); got != 2 {
		t.Errorf("%d windows are reported before the counts are stored, want 2", got)
	}
	l = decode(t, save(l)) // another holder; node 2 is killed
	begin(one, 8, "x", 1)
	one.Resend()
	acknowledge(one, l.Merge(1, one.Report(8)))
	acknowledge(one, l.Merge(1, one.Report(8)))
	if got := one.Report(8); len(got) != 1 || got[0].Number != 8 {
		t.Errorf("windows %v are reported after the counts are stored, want only the present one", got)
	}
	if !l.IsComplete(7, []uint64{1}) || l.IsComplete(7, l.Processes(7)) || l.IsComplete(8, []uint64{1}) {
		t.Error("wrong windows are complete")
	}
	l.FixNext()
	if due := l.Due(); len(due) != 0 {
		t.Errorf("%v is due before its content is stored", due)
	}
	stored := save(l)
	want := map[string]int64{"x": 5, "y": 1}
	if due := l.Due(); len(due) != 1 || due[0].Number != 7 || !maps.Equal(due[0].Begun, want) {
		t.Errorf("due: %v, want %v in window 7", due, want)
	}
	begin(two, 7, "x", 9) // late
	if acks := l.Merge(2, two.Report(8)); len(acks) == 0 || !acks[0].Reported {
		t.Errorf("acks of a late count: %v", acks)
	}
	l = decode(t, stored) // a third holder
	if due := l.Due(); len(due) != 1 || !maps.Equal(due[0].Begun, want) || l.Next() != 8 {
		t.Errorf("the third holder reports %v, want %v", due, want)
	}
	l.Reported(7)
	if l = decode(t, save(l)); len(l.Due()) != 0 {
		t.Error("the fourth holder reports the window again")
	}
}

// TestStartedNodeIsNotWaitedFor checks that a process does not hold up windows from before its
// start, and that windows that are left out stay so.
func TestStartedNodeIsNotWaitedFor(t *testing.T) {
	c, l := byusage.NewCounter(), byusage.NewLedger(7)
	begin(c, 8, "x", 1)
	l.Merge(1, c.Report(8))
	if !l.IsComplete(7, []uint64{1}) {
		t.Error("a process that has started in window 8 is waited for in window 7")
	}
	l.SkipTo(9)
	if l = decode(t, save(l)); l.Next() != 9 || len(l.Due()) != 0 {
		t.Errorf("the next window is %d, want 9", l.Next())
	}
}

// TestCostOfWindow states what the state of a window costs at the end of the window, by the
// number of nodes, with 400 and 8,000 requests in it.
func TestCostOfWindow(t *testing.T) {
	for _, tt := range []struct{ nodes, requests, workspaces, most int }{{9, 8000, 85, 4 << 10}, {295, 8000, 85, 32 << 10}, {295, 400, 85, 8 << 10}} {
		l := byusage.NewLedger(1)
		counters := make([]*byusage.Counter, tt.nodes)
		for i := range counters {
			counters[i] = byusage.NewCounter()
		}
		r := rand.New(rand.NewPCG(1, 2))
		for range tt.requests {
			counters[r.IntN(tt.nodes)].Begin(1, fmt.Sprint("workspace-", r.IntN(tt.workspaces)))
		}
		for _, c := range counters {
			l.Merge(r.Uint64(), c.Report(1))
		}
		size := 0
		for _, piece := range l.Encode(1).Pieces() {
			size += len(piece)
			if len(piece) > 64<<10 {
				t.Errorf("a row has %d bytes", len(piece))
			}
		}
		t.Logf("%d nodes, %d requests: %d bytes", tt.nodes, tt.requests, size)
		if size > tt.most {
			t.Errorf("%d nodes: the state has %d bytes, want at most %d", tt.nodes, size, tt.most)
		}
	}
}

// FuzzDecode checks that no row makes the decoder panic, and that what it accepts can be
// written again.
func FuzzDecode(f *testing.F) {
	c, l := byusage.NewCounter(), byusage.NewLedger(7)
	begin(c, 7, "x", 300)
	begin(c, 8, "y", 1)
	l.Merge(1, c.Report(8))
	l.FixNext()
	f.Add(bytes.Join(l.Encode(3).Pieces(), nil))
	f.Add([]byte{1, 0, 1, 1, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		l, era, err := byusage.Decode(data)
		if err != nil {
			return
		}
		if again, eraAgain, err := byusage.Decode(bytes.Join(l.Encode(era).Pieces(), nil)); err != nil || again.Next() != l.Next() || eraAgain != era {
			t.Errorf("the state cannot be read again: %v", err)
		}
	})
}
