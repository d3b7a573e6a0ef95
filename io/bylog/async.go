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
	// queueLines is the capacity of each of the two queues, in lines.
	queueLines = 1024
	// componentLinesPerSecond limits the lines of one component, separately for
	// warnings and for lines below that level. A node with 0.4 cores writes about
	// 100 lines per second on calls at the peak of the largest deployment.
	componentLinesPerSecond = 500
	// dropReportInterval is the time between two reports of dropped lines.
	dropReportInterval = 5 * time.Second
)

// AsyncWriter is an asynchronous log writer: Write queues a line and never blocks,
// and Run passes the lines on to the underlying writer. A line that arrives at a full
// queue or exceeds the rate limit of its component is dropped and counted for that
// component. Lines of the component "calls" below the warning level are routine.
// Warnings and the lines of other components, which report changes of state, have a
// queue of their own, so that no number of answered calls displaces them.
type AsyncWriter struct {
	w       io.Writer
	routine chan []byte
	urgent  chan []byte // warnings and lines of components other than Calls
	done    chan struct{}

	mu     sync.Mutex // guards limits; a leaf lock: no other lock of the program is taken under it
	limits map[string]*componentLimit
}

// componentLimit holds the rate limits of one component.
type componentLimit struct {
	routine *rate.Limiter // lines below the warning level
	warning *rate.Limiter
	dropped int // lines dropped since the last report
}

// NewAsyncWriter returns an AsyncWriter whose lines go to w once Run is called.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	return &AsyncWriter{
		w: w, routine: make(chan []byte, queueLines), urgent: make(chan []byte, queueLines),
		done: make(chan struct{}), limits: map[string]*componentLimit{},
	}
}

// Write implements io.Writer for lines without a level, which count as level info.
func (a *AsyncWriter) Write(line []byte) (int, error) { return a.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel implements zerolog.LevelWriter. It never blocks and returns no error,
// also for a line that it drops.
func (a *AsyncWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	component := componentOf(line)
	urgent := level >= zerolog.WarnLevel || component != Calls
	queue := a.routine
	if urgent {
		queue = a.urgent
	}
	if !a.allow(component, level) {
		return len(line), nil
	}
	select {
	case queue <- append([]byte(nil), line...): // zerolog reuses its buffer
	default:
		a.countDropped(component)
	}
	return len(line), nil
}

// allow reports whether a component may write a line now, and counts the line as
// dropped if not.
func (a *AsyncWriter) allow(component string, level zerolog.Level) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.limitOf(component)
	limiter := limit.routine
	if level >= zerolog.WarnLevel {
		limiter = limit.warning
	}
	if limiter.Allow() {
		return true
	}
	limit.dropped++
	return false
}

func (a *AsyncWriter) countDropped(component string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limitOf(component).dropped++
}

// limitOf returns the limits of a component, creating them at its first line. mu must
// be held.
func (a *AsyncWriter) limitOf(component string) *componentLimit {
	limit := a.limits[component]
	if limit == nil {
		limit = &componentLimit{routine: rate.NewLimiter(componentLinesPerSecond, componentLinesPerSecond), warning: rate.NewLimiter(componentLinesPerSecond, componentLinesPerSecond)}
		a.limits[component] = limit
	}
	return limit
}

// componentOf returns the component that logged a line. Its name is the prefix of
// the message, which is the last field of the line. A line without such a prefix
// belongs to the component "other".
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
	// maxComponentBytes is the longest name of a component. A longer prefix is taken
	// for text of the message.
	maxComponentBytes = 16
)

// Done returns a channel that is closed once Run has returned.
func (a *AsyncWriter) Done() <-chan struct{} { return a.done }

// Run writes queued lines until ctx is done, then those still in the queues, and
// returns nil. It must be called only once.
func (a *AsyncWriter) Run(ctx context.Context) error {
	defer close(a.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-a.urgent:
			a.write(line)
			continue
		default:
		}
		select {
		case line := <-a.urgent:
			a.write(line)
		case line := <-a.routine:
			a.write(line)
		case <-ticker.C:
			a.reportDropped()
		case <-ctx.Done():
			a.drain()
			return nil
		}
	}
}

// drain reports the dropped lines and writes what is left in the queues.
func (a *AsyncWriter) drain() {
	a.reportDropped()
	for {
		select {
		case line := <-a.urgent:
			a.write(line)
		case line := <-a.routine:
			a.write(line)
		default:
			return
		}
	}
}

// write passes a line to the underlying writer. If that fails, the line is counted
// as dropped, as there is nowhere to log the error.
func (a *AsyncWriter) write(line []byte) {
	if _, err := a.w.Write(line); err != nil {
		a.countDropped(componentOf(line))
	}
}

// reportDropped writes one line for each component with dropped lines.
func (a *AsyncWriter) reportDropped() {
	a.mu.Lock()
	dropped := map[string]int{}
	for name, limit := range a.limits {
		if limit.dropped > 0 {
			dropped[name] = limit.dropped
			limit.dropped = 0
		}
	}
	a.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(dropped)) {
		a.write(fmt.Appendf(nil, `{"level":"warn","part":%q,"lines":%d,"message":"logs: lines dropped"}`+"\n", name, dropped[name]))
	}
}
