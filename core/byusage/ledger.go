package byusage

import (
	"maps"
	"slices"
)

// Ledger merges the counts of all processes, for the holder of the duty. It isn't safe for
// concurrent use.
type Ledger struct {
	next      int64                      // the first window whose content is not fixed
	savedNext int64                      // next, as the store holds it
	fixed     map[int64]map[string]int64 // content of windows that are not reported yet
	open      map[int64]map[uint64]*share
	spans     map[uint64]span // by process
	changes   uint64          // number of changes so far
	saved     uint64          // number of changes that the store holds
}

// share is what one process has counted in one window.
type share struct {
	begun     map[string]int64
	changedAt uint64 // Ledger.changes after the last change
}

// span tells which windows a process has reported since the holder took over.
type span struct{ oldest, newest int64 }

// NewLedger returns a Ledger without counts. Windows before first are left out.
func NewLedger(first int64) *Ledger {
	return &Ledger{next: first, savedNext: first, fixed: map[int64]map[string]int64{}, open: map[int64]map[uint64]*share{}, spans: map[uint64]span{}}
}

// Next returns the first window whose content is not fixed.
func (l *Ledger) Next() int64 { return l.next }

// SkipTo leaves out the windows before first that have no fixed content.
func (l *Ledger) SkipTo(first int64) {
	if first <= l.next {
		return
	}
	l.next = first
	l.changes++
	maps.DeleteFunc(l.open, func(w int64, _ map[uint64]*share) bool { return w < first })
}

// Merge merges what a process reports, in the order of windows, and returns what to tell it.
func (l *Ledger) Merge(process uint64, windows []Window) []Ack {
	var acks []Ack
	for i, w := range windows {
		if s, ok := l.spans[process]; ok {
			l.spans[process] = span{min(s.oldest, w.Number), max(s.newest, w.Number)}
		} else {
			l.spans[process] = span{w.Number, w.Number}
		}
		if w.Number < l.next {
			if w.Number < l.savedNext {
				acks = append(acks, Ack{Window: w.Number, Reported: true})
			}
			continue
		}
		s := l.share(process, w.Number)
		for workspace, n := range w.Begun {
			if n > s.begun[workspace] {
				s.begun[workspace] = n
				l.changes++
				s.changedAt = l.changes
			}
		}
		if s.changedAt <= l.saved && i+1 < len(windows) {
			acks = append(acks, Ack{Window: w.Number})
		}
	}
	return acks
}

func (l *Ledger) share(process uint64, window int64) *share {
	if l.open[window] == nil {
		l.open[window] = map[uint64]*share{}
	}
	s := l.open[window][process]
	if s == nil {
		s = &share{begun: map[string]int64{}}
		l.open[window][process] = s
	}
	return s
}

// IsComplete reports whether each of the processes has told its counts of a window after the
// window had ended. A process whose oldest report is of a later window has started later.
func (l *Ledger) IsComplete(window int64, processes []uint64) bool {
	for _, p := range processes {
		s, ok := l.spans[p]
		if !ok || s.oldest <= window && (s.newest <= window || l.open[window][p] == nil) {
			return false
		}
	}
	return true
}

// Processes returns the processes that have counts in a window.
func (l *Ledger) Processes(window int64) []uint64 {
	return slices.Collect(maps.Keys(l.open[window]))
}

// FixNext fixes the content of the next window, as the sum of the counts of all processes.
func (l *Ledger) FixNext() {
	sum := map[string]int64{}
	for _, s := range l.open[l.next] {
		for workspace, n := range s.begun {
			sum[workspace] += n
		}
	}
	l.fixed[l.next] = sum
	delete(l.open, l.next)
	l.next++
	l.changes++
}

// HasChanges reports whether the store does not hold the present state.
func (l *Ledger) HasChanges() bool { return l.changes > l.saved }

// HasUnsavedFix reports whether a window waits to be reported until the state is saved.
func (l *Ledger) HasUnsavedFix() bool { return l.next > l.savedNext }

// Due returns the windows that are to be reported, in order: those whose fixed content the
// store holds.
func (l *Ledger) Due() []Window {
	var due []Window
	for _, w := range slices.Sorted(maps.Keys(l.fixed)) {
		if w < l.savedNext {
			due = append(due, Window{Number: w, Begun: l.fixed[w]})
		}
	}
	return due
}

// Reported forgets the content of a window that has been reported, or is left out.
func (l *Ledger) Reported(window int64) {
	delete(l.fixed, window)
	l.changes++
}

// State is the state of a Ledger at one time, for the store.
type State struct {
	data    []byte
	next    int64
	changes uint64
}

// Encode returns the present state. era is the era of the store that it is written in.
func (l *Ledger) Encode(era uint64) State {
	return State{data: l.encode(era), next: l.next, changes: l.changes}
}

// Saved records that the store holds a state.
func (l *Ledger) Saved(s State) {
	l.saved, l.savedNext = max(l.saved, s.changes), max(l.savedNext, s.next)
}
