// Package byarrival bounds how long a message may have waited in a socket before the
// process read it.
//
// A statement of a peer carries its age at the sender. While a process is frozen or its VM
// suspended, messages wait in its sockets, and on waking all of them would look as young as
// they were when they were sent.
//
// # Usage
//
//	g := byarrival.New(clock)
//	g.Observe()                                  // at least every MaxGap, and before messages are handled
//	wait := g.ConnWait()                         // of a message read from a connection now
//	wait := byarrival.DatagramWait(now, emptyAt) // of a datagram; its socket was last empty at emptyAt
//
// # Bounds
//
// A datagram has arrived after its socket was last found empty. A connection offers no such
// proof, because it may be idle for long. A message on it that is read within settleTime of
// a pause of the process may have arrived at any time since the pause began.
//
// Waits below minWait and MaxGap together count as time on the way, for which all users of
// ages allow.
package byarrival

import (
	"sync"
	"time"

	"burdockyard"
)

const (
	// minWait is the shortest wait, and the shortest pause of the process, that counts.
	minWait = 250 * time.Millisecond
	// MaxGap is the longest time between two calls of Observe while the process runs.
	MaxGap = 100 * time.Millisecond
	// settleTime is the time after a pause within which the messages that have waited in
	// the sockets of connections are read.
	settleTime = time.Second
)

// Guard tells when the process has stood still. It is safe for concurrent use; no other
// lock is taken while mu is held.
type Guard struct {
	clock burdockyard.Clock

	mu          sync.Mutex
	lastSeen    time.Time // when the process was last known to run
	from, until time.Time // latest pause; zero if there was none
}

// New returns a Guard. The clock must count the time for which the VM is suspended.
func New(clock burdockyard.Clock) *Guard { return &Guard{clock: clock, lastSeen: clock.Now()} }

// Observe records that the process runs. It returns the length of the pause that it is the
// first to notice, or 0.
func (g *Guard) Observe() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.observe(g.clock.Now())
}

// observe implements Observe. The caller must hold mu.
func (g *Guard) observe(now time.Time) time.Duration {
	pause := now.Sub(g.lastSeen)
	if pause < minWait {
		if pause > 0 {
			g.lastSeen = now
		}
		return 0
	}
	if !g.isSettling(g.lastSeen) {
		g.from = g.lastSeen
	}
	g.lastSeen, g.until = now, now
	return pause
}

// isSettling reports whether messages that have waited in a pause may still be unread at the
// given time. The caller must hold mu.
func (g *Guard) isSettling(at time.Time) bool {
	return !g.until.IsZero() && at.Sub(g.until) < settleTime
}

// ConnWait returns the longest time for which a message that is read from a connection now
// may have waited.
func (g *Guard) ConnWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.observe(now)
	if !g.isSettling(now) {
		return 0
	}
	return now.Sub(g.from)
}

// DatagramWait returns the longest time for which a datagram may have waited that is read at
// the given time from a socket that was last empty at emptyAt.
func DatagramWait(now, emptyAt time.Time) time.Duration {
	if wait := now.Sub(emptyAt); wait >= minWait {
		return wait
	}
	return 0
}
