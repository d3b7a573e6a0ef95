// Package bytransfer decides when a transfer whose size varies is given up. It allows for the time
// that the bytes take on a slow link, and no more, so that a transfer that stands still does not
// hold up others.
//
// # Usage
//
//	d := limits.SendTime(len(body), left)   // deadline of a call that sends body
//
//	p := limits.Begin(now)                  // a reply begins to arrive
//	p.Record(n, now)                        // n bytes have arrived
//	deadline := p.Deadline()                // of the next ones
package bytransfer

import "time"

// MinRate is the rate below which a transfer counts as standing still, in bytes a second. It is a
// tenth of a link of 10 Mb/s.
const MinRate = 125_000

// Limits are the limits of one kind of transfers.
type Limits struct {
	Idle time.Duration // longest time without progress
}

// timeFor returns the longest time that n bytes may take.
func timeFor(n int) time.Duration { return time.Duration(n) * time.Second / MinRate }

// SendTime returns how long a call that sends size bytes may take, if what it brings is of use for
// the time left. The sender cannot see how many bytes have arrived.
func (l Limits) SendTime(size int, left time.Duration) time.Duration {
	return min(l.Idle+timeFor(size), max(left, l.Idle))
}

// Begin returns the Progress of a transfer that begins to arrive now.
func (l Limits) Begin(now time.Time) Progress {
	return Progress{limits: l, begunAt: now, lastAt: now}
}

// Progress is how far a transfer has come that arrives.
type Progress struct {
	limits          Limits
	begunAt, lastAt time.Time
	received        int
}

// Record records that n more bytes have arrived.
func (p *Progress) Record(n int, now time.Time) {
	if n > 0 {
		p.received += n
		p.lastAt = now
	}
}

// Deadline returns when the transfer is given up if nothing more arrives. A sender that trickles
// must not keep it alive.
func (p *Progress) Deadline() time.Time {
	idle, slow := p.lastAt.Add(p.limits.Idle), p.begunAt.Add(p.limits.Idle+timeFor(p.received))
	if slow.Before(idle) {
		return slow
	}
	return idle
}
