package bylog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// ringLines is how many lines wait for a slow reader, of each kind.
	ringLines = 1024
	// routineRate bounds routine lines, a second. A node of 0.4 cores writes about
	// 100 of them at the peak of the largest deployment.
	routineRate = 500
	// reportEvery is the time between two lines that count what was dropped.
	reportEvery = 5 * time.Second
)

// Ring passes lines to a writer without ever making their author wait. Lines
// that find no room are dropped and counted. Warnings and errors have a room of
// their own, so that routine lines never push them out.
type Ring struct {
	w       io.Writer
	routine chan []byte
	urgent  chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
}

// NewRing returns a Ring that writes to w once Run is called.
func NewRing(w io.Writer) *Ring {
	return &Ring{
		w: w, routine: make(chan []byte, ringLines), urgent: make(chan []byte, ringLines),
		limit: rate.NewLimiter(routineRate, routineRate), done: make(chan struct{}),
	}
}

// Write implements io.Writer for lines without a level.
func (r *Ring) Write(line []byte) (int, error) { return r.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel implements zerolog.LevelWriter.
func (r *Ring) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	room := r.routine
	if level >= zerolog.WarnLevel {
		room = r.urgent
	} else if !r.limit.Allow() {
		r.dropped.Add(1)
		return len(line), nil
	}
	select {
	case room <- append([]byte(nil), line...): // zerolog uses its buffer again
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Done is closed once Run has returned.
func (r *Ring) Done() <-chan struct{} { return r.done }

// Run writes lines until ctx ends, and then those that are left.
func (r *Ring) Run(ctx context.Context) error {
	defer close(r.done)
	report := time.NewTicker(reportEvery)
	defer report.Stop()
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
		case <-report.C:
			r.report()
		case <-ctx.Done():
			r.drain()
			return nil
		}
	}
}

func (r *Ring) drain() {
	r.report()
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
		r.dropped.Add(1)
	}
}

func (r *Ring) report() {
	if n := r.dropped.Swap(0); n > 0 {
		r.write(fmt.Appendf(nil, `{"level":"warn","lines":%d,"message":"logs: lines dropped"}`+"\n", n))
	}
}
