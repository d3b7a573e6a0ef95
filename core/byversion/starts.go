package byversion

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockyard"
)

// Where the splits disagree on an ID, only the node that began the stream knows its version.
// Nodes remember the streams that they began, and tell each other of those whose version
// does not follow from the splits. That is all that a kill of all nodes loses.

const (
	// maxStarts is the largest number of streams that are remembered.
	maxStarts = 8192
	// maxToldStarts is the largest number of streams in one heartbeat.
	maxToldStarts = 48
	// tellTime is for how long a stream is told again, since heartbeats get lost.
	tellTime = 600 * time.Millisecond
)

// Start tells at which version a stream began.
type Start struct {
	ID      uint64 // hash of the ID of the request that began it
	Version string
	Age     time.Duration
}

// Aged returns a copy of starts as of a time d later.
func Aged(starts []Start, d time.Duration) []Start {
	out := slices.Clone(starts)
	for i := range out {
		out[i].Age += d
	}
	return out
}

// start is a stream that began at this node or another.
type start struct {
	version string
	service string // empty if it began at another node
	at      time.Time
	toldAt  time.Time // when peers were first told of it; zero if they were not
}

// RecordStart records that the first event of a stream is sent to its caller.
func (t *Table) RecordStart(service string, id burdockyard.RequestID, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addStart(xxhash.Sum64String(string(id)), start{version: version, service: service, at: t.clock.Now()})
}

// addStart remembers a stream. The caller must hold mu.
func (t *Table) addStart(id uint64, s start) {
	if len(t.starts) >= maxStarts {
		t.forgetStarts(0)
	}
	if len(t.starts) < maxStarts {
		t.starts[id] = s
	}
}

// ForgetStarts forgets the streams that began longer ago than they last. It must be called
// periodically.
func (t *Table) ForgetStarts(lifetime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetStarts(lifetime)
}

// forgetStarts implements ForgetStarts. Without a lifetime, it forgets the older half of all
// streams.
func (t *Table) forgetStarts(lifetime time.Duration) {
	if lifetime == 0 {
		times := make([]time.Time, 0, len(t.starts))
		for _, s := range t.starts {
			times = append(times, s.at)
		}
		slices.SortFunc(times, time.Time.Compare)
		lifetime = t.clock.Now().Sub(times[len(times)/2])
	}
	for id, s := range t.starts {
		if t.clock.Now().Sub(s.at) >= lifetime {
			delete(t.starts, id)
		}
	}
}

// News returns streams that began at this node and of which peers have to be told, the
// oldest first.
func (t *Table) News() []Start {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.allSettled {
		return nil
	}
	now := t.clock.Now()
	var news []Start
	for id, s := range t.starts {
		if s.service == "" || !s.toldAt.IsZero() && now.Sub(s.toldAt) >= tellTime {
			continue
		}
		if _, ok := t.record.Services[s.service].versionOfHash(id); !ok {
			news = append(news, Start{id, s.version, now.Sub(s.at)})
		}
	}
	slices.SortFunc(news, func(a, b Start) int { return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.ID, b.ID)) })
	news = news[:min(len(news), maxToldStarts)]
	for _, told := range news {
		if s := t.starts[told.ID]; s.toldAt.IsZero() {
			s.toldAt = now
			t.starts[told.ID] = s
		}
	}
	return news
}

// Merge remembers streams of which a peer tells.
func (t *Table) Merge(news []Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range news {
		if _, ok := t.starts[n.ID]; !ok {
			t.addStart(n.ID, start{version: n.Version, at: t.clock.Now().Add(-n.Age)})
		}
	}
}
