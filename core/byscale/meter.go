package byscale

import (
	"time"

	"burdockyard"
)

const (
	// sampleTime is the time that one sample of the load covers.
	sampleTime = 500 * time.Millisecond
	// peakSamples is the number of successive samples whose mean may be the peak. Engines
	// queue what exceeds their speed for less than that.
	peakSamples = 2
	// horizonBoots is the time over which the peak is taken, in boot times. Endpoints that
	// go when a burst ends have to boot again for the next one.
	horizonBoots = 4
	// memberTTL is how long the counts of a silent node are kept.
	memberTTL = time.Minute
)

// Meter derives the load of one service from the counts that nodes report. It is not safe
// for concurrent use.
type Meter struct {
	clock   burdockyard.Clock
	horizon time.Duration
	last    map[memberKey]report
	samples []Work    // of work that began within one sampleTime, by its number modulo len
	current int64     // number of the newest sample
	origin  time.Time // start of sample 0
	begun   time.Time // when work was first seen
}

// memberKey identifies the process whose counts were reported.
type memberKey struct {
	node        burdockyard.NodeID
	incarnation burdockyard.Incarnation
}

type report struct {
	prefill, decode time.Duration
	at              time.Time
}

// NewMeter returns a Meter for a service whose endpoints boot in the given time.
func NewMeter(clock burdockyard.Clock, bootTime time.Duration) *Meter {
	horizon := max(horizonBoots*bootTime, peakSamples*sampleTime)
	return &Meter{
		clock: clock, horizon: horizon, last: map[memberKey]report{}, origin: clock.Now(),
		samples: make([]Work, int(horizon/sampleTime)+peakSamples),
	}
}

// Record records the counts that a node has reported. The first report of a process tells
// no load, since it may have counted for hours. A report that was overtaken by a newer one
// is ignored.
func (m *Meter) Record(member burdockyard.Member, d Demand) {
	now := m.clock.Now()
	m.advance(now)
	key := memberKey{member.Node, member.Incarnation}
	before, known := m.last[key]
	if known && (d.PrefillTime < before.prefill || d.DecodeTime < before.decode) {
		return
	}
	m.last[key] = report{d.PrefillTime, d.DecodeTime, now}
	if !known || d.PrefillTime == before.prefill && d.DecodeTime == before.decode {
		return
	}
	if m.begun.IsZero() {
		m.begun = now
	}
	// Reports that were lost or late must not look like a burst.
	spread := min(max(int64(now.Sub(before.at)/sampleTime), 1), int64(len(m.samples)))
	prefill := (d.PrefillTime - before.prefill).Seconds() / sampleTime.Seconds() / float64(spread)
	decode := (d.DecodeTime - before.decode).Seconds() / sampleTime.Seconds() / float64(spread)
	for i := range spread {
		if number := m.current - i; number >= 0 {
			s := m.sample(number)
			s.Prefill, s.Decode = s.Prefill+prefill, s.Decode+decode
		}
	}
}

func (m *Meter) sample(number int64) *Work { return &m.samples[number%int64(len(m.samples))] }

// advance begins new samples up to the one of now.
func (m *Meter) advance(now time.Time) {
	number := int64(now.Sub(m.origin) / sampleTime)
	if number <= m.current {
		return
	}
	for i := max(m.current+1, number-int64(len(m.samples))+1); i <= number; i++ {
		*m.sample(i) = Work{}
	}
	m.current = number
	for key, r := range m.last {
		if now.Sub(r.at) > memberTTL {
			delete(m.last, key)
		}
	}
}

// Forecast returns the load that endpoints are to be ordered for. The newest sample is
// left out, as most reports of it are still to come.
func (m *Meter) Forecast() Forecast {
	now := m.clock.Now()
	m.advance(now)
	f := Forecast{Known: !m.begun.IsZero() && now.Sub(m.begun) >= m.horizon}
	count := min(int64(len(m.samples))-1, m.current)
	var sum Work
	for i := range count {
		var window Work
		for j := range int64(peakSamples) {
			if number := m.current - 1 - i - j; number >= 0 && i+j < count {
				s := m.sample(number)
				window.Prefill += s.Prefill / peakSamples
				window.Decode += s.Decode / peakSamples
			}
		}
		s := m.sample(m.current - 1 - i)
		sum.Prefill, sum.Decode = sum.Prefill+s.Prefill, sum.Decode+s.Decode
		f.Peak.Prefill, f.Peak.Decode = max(f.Peak.Prefill, window.Prefill), max(f.Peak.Decode, window.Decode)
	}
	if count > 0 {
		f.Mean = Work{sum.Prefill / float64(count), sum.Decode / float64(count)}
	}
	return f
}
