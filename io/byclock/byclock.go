// Package byclock implements a clock that counts the time for which the VM was suspended.
//
// The steady clock of the kernel stands still while a VM is suspended, and the time of day
// may be set. CLOCK_BOOTTIME does neither, but costs a system call, so the clock reads it
// only when told to.
//
// # Usage
//
//	c := byclock.New()
//	c.Sync()                       // before a message of another VM is handled
//	age := c.Now().Sub(receivedAt) // includes suspensions up to the last Sync
//
// Times of this clock have no monotonic reading. They must not be passed to functions that
// compare them with time.Now, such as net.Conn.SetDeadline.
package byclock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock implements burdockyard.SyncClock. It is safe for concurrent use.
type Clock struct {
	startedAt time.Time     // with a monotonic reading
	startBoot time.Duration // reading of boot at startedAt
	boot      func() (time.Duration, error)
	suspended atomic.Int64 // nanoseconds
}

// Option sets an optional part of a Clock.
type Option func(*Clock)

// WithBootTime sets the function that returns the time since the start of the VM, including
// suspensions. The default reads CLOCK_BOOTTIME.
func WithBootTime(boot func() (time.Duration, error)) Option {
	return func(c *Clock) { c.boot = boot }
}

// New returns a Clock that starts at the time of day. If there is no clock that counts
// suspensions, it counts none.
func New(opts ...Option) *Clock {
	c := &Clock{boot: bootTime}
	for _, opt := range opts {
		opt(c)
	}
	start, err := c.boot()
	if err != nil {
		c.boot = nil
	}
	c.startBoot, c.startedAt = start, time.Now()
	return c
}

func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// Now returns the time since the clock was made, including the suspensions up to the last
// Sync, added to the time of day at that moment.
func (c *Clock) Now() time.Time {
	return c.startedAt.Round(0).Add(time.Since(c.startedAt) + time.Duration(c.suspended.Load()))
}

// Sync adds the suspensions since the last call.
func (c *Clock) Sync() {
	if c.boot == nil {
		return
	}
	boot, err := c.boot()
	if err != nil {
		return
	}
	// The steady clock is read last, so that a pause between the two readings does not count
	// as a suspension.
	suspended := int64(boot - c.startBoot - time.Since(c.startedAt))
	for {
		known := c.suspended.Load()
		if suspended <= known || c.suspended.CompareAndSwap(known, suspended) {
			return
		}
	}
}
