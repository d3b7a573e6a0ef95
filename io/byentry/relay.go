package byentry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/io/byforward"
	"burdockyard/io/bylog"
)

const (
	// relayReadBytes is the size of the buffer for reading a stream, in bytes.
	relayReadBytes = 4 << 10
	// contactInterval is the shortest time between two events that count as contact with
	// their endpoint.
	contactInterval = 100 * time.Millisecond
	// maxKeptBytes is the largest buffer that is kept from one run of a stream to the next.
	maxKeptBytes = 4 * relayReadBytes
	// maxEventBytes is the maximum size of one event, and of the events of a stream that
	// is held, in bytes.
	maxEventBytes = 1 << 20
)

// eventRelay forwards the events of a stream to the caller.
//
// Only complete events are forwarded. If an engine's response is cut off in the
// middle of an event, another engine resumes after the last complete event. If the
// caller had already got a part of an event, that part would be joined to the next
// event.
//
// A stream that could not be taken up at its version is held: the caller gets its events
// when it is complete.
type eventRelay struct {
	c           *call
	headerSent  bool          // whether the response header has been sent to the caller
	eventCount  int           // number of events forwarded
	lastEventID string        // id of the last event that the caller has
	pending     []byte        // data received but not forwarded: the beginning of an event
	lastEventAt time.Time     // when the last complete event arrived, zero before the first
	maxGap      time.Duration // longest time between two events
	runEventAt  time.Time     // when the first complete event of the present run arrived, zero before
	answerBegun bool          // whether the answer of the present run counts as begun

	mediaType    string       // type of the first response, whose header was sent
	continuation continuation // checks the present run, if it is not the first

	passesOn bool             // whether another node runs the stream and decides whether it is held
	endpoint byfleet.Endpoint // endpoint of the present run
	holding  bool             // whether the events are held until the stream is complete
	held     []byte           // events held
	out      *outflow         // passes the present response on to the caller
	charged  int              // bytes of pending and held that out has been charged with
}

func newEventRelay(c *call) *eventRelay { return &eventRelay{c: c, lastEventID: c.info.LastEventID} }

// resumeID returns the id of the event after which the next engine has to continue.
func (r *eventRelay) resumeID() string { return r.lastEventID }

// forwardResponse forwards a response of endpoint e until its end. onFirstByte is called once, when
// the first byte of the body arrives and before any event is forwarded.
func (r *eventRelay) forwardResponse(resp *byforward.Response, e byfleet.Endpoint, onFirstByte func()) error {
	if r.pending = r.pending[:0]; cap(r.pending) > maxKeptBytes {
		r.pending = nil // what it was charged with is free
	}
	r.endpoint = e
	r.runEventAt, r.answerBegun = time.Time{}, false
	if r.headerSent {
		if err := r.continuation.begin(resp, r.mediaType, r.lastEventID); err != nil {
			return err
		}
	}
	r.out, r.charged = r.c.newOutflow(resp), 0
	defer r.out.close()
	buf := make([]byte, relayReadBytes)
	received := false
	for {
		n, err := r.out.Read(buf)
		if n > 0 && !received {
			received = true
			onFirstByte()
		}
		r.pending = append(r.pending, buf[:n]...)
		if writeErr := r.forwardCompleteEvents(resp); writeErr != nil {
			return writeErr
		}
		if errors.Is(err, io.EOF) {
			return r.forwardRemainder(resp)
		}
		if err != nil {
			return err
		}
		if len(r.pending) > maxEventBytes || !r.charge() {
			return burdockyard.ErrInterrupted
		}
	}
}

// charge charges the bytes that wait for the end of their event or stream. It returns false
// if there is no memory for them.
func (r *eventRelay) charge() bool {
	n := len(r.pending) + len(r.held)
	if n <= freeBytes || n <= r.charged {
		return true
	}
	if err := r.out.grow(n - r.charged); err != nil {
		return false
	}
	r.charged = n
	return true
}

// forwardRemainder forwards the data after the last complete event at the end of a
// response. A response that is not self-delimited ends when its connection is closed, so
// one that ends before its first event or inside an event has been cut off. If it ends
// early, that does not show that its engine has survived it.
func (r *eventRelay) forwardRemainder(resp *byforward.Response) error {
	if !resp.IsSelfDelimited() && (len(r.pending) > 0 || r.runEventAt.IsZero()) {
		return merry.Wrap(burdockyard.ErrInterrupted, merry.WithCause(io.ErrUnexpectedEOF))
	}
	if err := r.continuation.end(r.pending); err != nil {
		return err
	}
	if resp.IsSelfDelimited() {
		r.recordAnswer(resp)
	}
	r.sendHeader(resp)
	if err := r.write(r.held); err != nil {
		return err
	}
	if err := r.write(r.pending); err != nil {
		return err
	}
	if !r.answerBegun && resp.Status == http.StatusOK {
		r.c.recordUnframedAnswer(r.c.r.Context(), r.endpoint)
	}
	return nil
}

// begin decides, before the first event is sent, whether the stream is held. Otherwise it
// may go on only at the version of its endpoint from now on.
func (r *eventRelay) begin(resp *byforward.Response) {
	if r.headerSent || r.holding || r.passesOn || resp.Status != http.StatusOK {
		return
	}
	c := r.c
	if r.holding = !c.mayBegin(r.endpoint); r.holding {
		c.node.metrics.StreamsHeld(c.service.Name).Inc()
		c.log("stream held", bylog.Str("endpoint", string(r.endpoint.ID)), bylog.Str("version", r.endpoint.Version))
		return
	}
	c.version, c.hasVersion, c.versionBound = r.endpoint.Version, true, true
	if c.route.Idempotent() && c.info.LastEventID == "" {
		c.node.versions.table.RecordStart(c.service.Name, c.info.ID, c.version)
	}
}

// dropHeld forgets held events of a run that has broken off, so that another run can begin
// at the start.
func (r *eventRelay) dropHeld() {
	if r.holding {
		r.holding, r.held, r.eventCount, r.lastEventID = false, nil, 0, r.c.info.LastEventID
	}
}

// recordAnswer records that the answer of the present run has begun.
func (r *eventRelay) recordAnswer(resp *byforward.Response) {
	if !r.answerBegun && resp.Status == http.StatusOK {
		r.answerBegun = true
		r.c.recordAnswer()
	}
}

// errCallerDisconnected means that writing to the caller's connection failed.
var errCallerDisconnected = merry.Sentinel("the caller has left")

func (r *eventRelay) write(events []byte) error {
	if err := r.out.write(events, false); err != nil {
		return merry.Wrap(errCallerDisconnected, merry.WithCause(err))
	}
	return nil
}

// forwardCompleteEvents forwards the complete events in pending.
func (r *eventRelay) forwardCompleteEvents(resp *byforward.Response) error {
	end := bytes.LastIndex(r.pending, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	end += len("\n\n")
	var brokenOff error
	if r.continuation.active {
		if end, brokenOff = r.continuation.accept(r.pending[:end]); end == 0 {
			return brokenOff
		}
	}
	if r.runEventAt.IsZero() && r.c.versionBound && r.c.node.fleet.IsReplaced(r.endpoint) {
		return burdockyard.ErrInterrupted // the events may be of another version
	}
	events := r.pending[:end]
	r.recordEvents(events)
	now := r.c.node.clock.Now()
	if now.Sub(r.lastEventAt) >= contactInterval && !r.passesOn {
		r.c.node.recordContact(r.endpoint)
	}
	if !r.lastEventAt.IsZero() {
		r.maxGap = max(r.maxGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	if r.runEventAt.IsZero() {
		r.runEventAt = now
	} else if now.Sub(r.runEventAt) >= minAnswerTime {
		r.recordAnswer(resp)
	}
	if r.begin(resp); r.holding {
		if r.held = append(r.held, events...); len(r.held) > maxEventBytes {
			return burdockyard.ErrInterrupted
		}
		r.pending = append(r.pending[:0], r.pending[end:]...)
		return nil
	}
	r.sendHeader(resp)
	if err := r.out.write(events, true); err != nil {
		return merry.Wrap(errCallerDisconnected, merry.WithCause(err))
	}
	r.pending = append(r.pending[:0], r.pending[end:]...)
	return brokenOff
}

// recordEvents counts events and stores the id of the last one.
func (r *eventRelay) recordEvents(events []byte) {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.lastEventID = string(bytes.TrimSpace(id))
		}
		if len(line) == 0 {
			r.eventCount++
		}
	}
}

// sendHeader sends the header of the first engine's response to the caller. Later
// calls do nothing.
func (r *eventRelay) sendHeader(resp *byforward.Response) {
	if r.headerSent {
		return
	}
	r.headerSent, r.mediaType = true, mediaTypeOf(resp.Header)
	h := r.c.w.Header()
	for key, values := range r.c.node.platform.Protocol.ResponseHeaders(resp.Header) {
		h[key] = values
	}
	r.c.w.WriteHeader(resp.Status)
}
