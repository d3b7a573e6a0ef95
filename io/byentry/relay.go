package byentry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/io/byforward"
)

const (
	// relayReadBytes is the size of one read of a stream, in bytes.
	relayReadBytes = 4 << 10
	// maxEventBytes bounds one event, in bytes.
	maxEventBytes = 1 << 20
)

// relay passes the events of a stream on to the caller.
//
// Only whole events are passed on. An engine may break off in the middle of one,
// and another engine then goes on after the last whole event: half an event that
// had gone out already would be joined to the next one.
type relay struct {
	c           *call
	started     bool   // the caller has the header
	events      int    // passed on
	lastEventID string // of the last event that the caller has
	pending     []byte // the beginning of an event
	lastEventAt time.Time
	maxGap      time.Duration // longest pause between two events
}

func newRelay(c *call) *relay { return &relay{c: c, lastEventID: c.info.Resume} }

// resume returns the id after which the next engine goes on.
func (r *relay) resume() string { return r.lastEventID }

// pass passes an answer on until its end. first is called before the first event
// goes out.
func (r *relay) pass(resp *byforward.Response, onFirstBytes func()) error {
	r.pending = r.pending[:0]
	if r.started && resp.Status != http.StatusOK {
		return burdockyard.ErrInterrupted
	}
	buf := make([]byte, relayReadBytes)
	received := false
	for {
		n, err := resp.Read(buf)
		if n > 0 && !received {
			received = true
			onFirstBytes()
		}
		r.pending = append(r.pending, buf[:n]...)
		if writeErr := r.forwardWholeEvents(resp); writeErr != nil {
			return writeErr
		}
		if errors.Is(err, io.EOF) {
			return r.finish(resp)
		}
		if err != nil {
			return err
		}
		if len(r.pending) > maxEventBytes {
			return burdockyard.ErrInterrupted
		}
	}
}

// finish passes on what is left after the last event of a whole answer. Without a
// length or chunks an answer ends with its connection; one that ends inside an
// event was cut.
func (r *relay) finish(resp *byforward.Response) error {
	if len(r.pending) > 0 && !resp.Framed() {
		return burdockyard.ErrInterrupted
	}
	r.sendHeader(resp)
	return r.write(r.pending)
}

// errCallerLeft means that the caller's connection takes no more.
var errCallerLeft = merry.Sentinel("the caller has left")

func (r *relay) write(events []byte) error {
	if _, err := r.c.w.Write(events); err != nil {
		return merry.Wrap(errCallerLeft, merry.WithCause(err))
	}
	return nil
}

// forwardWholeEvents passes on the whole events that have arrived.
func (r *relay) forwardWholeEvents(resp *byforward.Response) error {
	end := bytes.LastIndex(r.pending, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	end += len("\n\n")
	events := r.pending[:end]
	r.recordEvents(events)
	now := r.c.node.clock.Now()
	if !r.lastEventAt.IsZero() {
		r.maxGap = max(r.maxGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	r.sendHeader(resp)
	if err := r.write(events); err != nil {
		return err
	}
	r.pending = append(r.pending[:0], r.pending[end:]...)
	if err := http.NewResponseController(r.c.w).Flush(); err != nil {
		return merry.Wrap(errCallerLeft, merry.WithCause(err))
	}
	return nil
}

// recordEvents counts events and keeps the id of the last one.
func (r *relay) recordEvents(events []byte) {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.lastEventID = string(bytes.TrimSpace(id))
		}
		if len(line) == 0 {
			r.events++
		}
	}
}

// sendHeader sends the header of the first engine's answer.
func (r *relay) sendHeader(resp *byforward.Response) {
	if r.started {
		return
	}
	r.started = true
	h := r.c.w.Header()
	for key, values := range r.c.node.platform.Protocol.AnswerHeaders(resp.Header) {
		h[key] = values
	}
	r.c.w.WriteHeader(resp.Status)
}
