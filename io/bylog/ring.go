package bylog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// queueLines is how many lines wait for a slow reader, of each kind.
	queueLines = 1024
	// componentLinesPerSecond bounds the routine lines of one part, and its warnings, a second. A
	// node of 0.4 cores writes about 100 on calls at the peak of the largest
	// deployment.
	componentLinesPerSecond = 500
	// dropReportInterval is the time between two lines that count what was dropped.
	dropReportInterval = 5 * time.Second
)

// Ring passes lines to a writer without ever making their author wait. Lines
// that find no room, and those of a part that says too much, are dropped and
// counted by part. Routine lines are those on calls that go well: warnings, and
// what other parts say of a changed belief, have a room of their own, so that no
// number of answered calls pushes them out.
type Ring struct {
	w       io.Writer
	routine chan []byte
	urgent  chan []byte
	done    chan struct{}

	mu     sync.Mutex // leaf lock
	limits map[string]*componentLimit
}

// componentLimit is one part's share of the log.
type componentLimit struct {
	routine *rate.Limiter
	warning *rate.Limiter
	dropped int // since the last report
}

// NewRing returns a Ring that writes to w once Run is called.
func NewRing(w io.Writer) *Ring {
	return &Ring{
		w: w, routine: make(chan []byte, queueLines), urgent: make(chan []byte, queueLines),
		done: make(chan struct{}), limits: map[string]*componentLimit{},
	}
}

// Write implements io.Writer for lines without a level.
func (r *Ring) Write(line []byte) (int, error) { return r.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel implements zerolog.LevelWriter.
func (r *Ring) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	component := componentOf(line)
	urgent := level >= zerolog.WarnLevel || component != Calls
	queue := r.routine
	if urgent {
		queue = r.urgent
	}
	if !r.allow(component, level) {
		return len(line), nil
	}
	select {
	case queue <- append([]byte(nil), line...): // zerolog uses its buffer again
	default:
		r.countDropped(component)
	}
	return len(line), nil
}

// allow reports whether a part may say one more line now, and counts the line as
// dropped if not.
func (r *Ring) allow(component string, level zerolog.Level) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.limitOf(component)
	limit := p.routine
	if level >= zerolog.WarnLevel {
		limit = p.warning
	}
	if limit.Allow() {
		return true
	}
	p.dropped++
	return false
}

func (r *Ring) countDropped(component string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limitOf(component).dropped++
}

// limitOf returns a part's limit. The caller holds mu.
func (r *Ring) limitOf(component string) *componentLimit {
	p := r.limits[component]
	if p == nil {
		p = &componentLimit{routine: rate.NewLimiter(componentLinesPerSecond, componentLinesPerSecond), warning: rate.NewLimiter(componentLinesPerSecond, componentLinesPerSecond)}
		r.limits[component] = p
	}
	return p
}

// componentOf returns the part that says a line, which is the prefix of its sentence,
// the last field of the line. Lines of others belong to the part "other".
func componentOf(line []byte) string {
	const field = `"message":"`
	i := bytes.LastIndex(line, []byte(field))
	if i < 0 {
		return otherComponent
	}
	component, _, ok := bytes.Cut(line[i+len(field):], []byte(": "))
	if !ok || len(component) > maxComponentBytes {
		return otherComponent
	}
	return string(component)
}

const (
	otherComponent = "other"
	// maxComponentBytes bounds the name of a part, in bytes: what is longer is none.
	maxComponentBytes = 16
)

// Done is closed once Run has returned.
func (r *Ring) Done() <-chan struct{} { return r.done }

// Run writes lines until ctx ends, and then those that are left.
func (r *Ring) Run(ctx context.Context) error {
	defer close(r.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-r.urgent:
			r.write(line)
			continue
		default:
		}
		select {
		case line := <-r.urgent:
			r.write(line)
		case line := <-r.routine:
			r.write(line)
		case <-ticker.C:
			r.reportDropped()
		case <-ctx.Done():
			r.drain()
			return nil
		}
	}
}

func (r *Ring) drain() {
	r.reportDropped()
	for {
		select {
		case line := <-r.urgent:
			r.write(line)
		case line := <-r.routine:
			r.write(line)
		default:
			return
		}
	}
}

// write counts a line that the writer did not take; there is nowhere to log it.
func (r *Ring) write(line []byte) {
	if _, err := r.w.Write(line); err != nil {
		r.countDropped(componentOf(line))
	}
}

// reportDropped writes a line for each part of which lines were dropped.
func (r *Ring) reportDropped() {
	r.mu.Lock()
	dropped := map[string]int{}
	for name, p := range r.limits {
		if p.dropped > 0 {
			dropped[name] = p.dropped
			p.dropped = 0
		}
	}
	r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(dropped)) {
		r.write(fmt.Appendf(nil, `{"level":"warn","part":%q,"lines":%d,"message":"logs: lines dropped"}`+"\n", name, dropped[name]))
	}
}
