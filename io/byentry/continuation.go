package byentry

import (
	"bytes"
	"errors"
	"mime"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/io/byforward"
)

// errNotContinued is the cause if a run does not go on with the stream that the caller has
// the beginning of. The caller must get nothing of its response.
var errNotContinued = errors.New("the response does not continue the stream")

func notContinued() error {
	return merry.Wrap(burdockyard.ErrInterrupted, merry.WithCause(errNotContinued))
}

// continuation checks the events of a run that continues a stream.
type continuation struct {
	active bool   // whether the caller has the beginning of the stream
	begun  bool   // whether the run has brought an event that follows
	lastID string // id of the last event, of this run or the ones before
}

// begin prepares c for the next run, which is to continue after the event lastID. An empty
// type is that of a response without one.
func (c *continuation) begin(resp *byforward.Response, mediaType, lastID string) error {
	*c = continuation{active: true, lastID: lastID}
	if resp.Status != http.StatusOK || lastID == "" || mediaTypeOf(resp.Header) != mediaType || resp.Header.Get("Content-Encoding") != "" {
		return notContinued()
	}
	return nil
}

// accept returns the length of the part of complete events that may be forwarded: up to the
// last one that follows the events before. The error is not nil if others come after it.
func (c *continuation) accept(events []byte) (length int, err error) {
	for end := 0; end < len(events); {
		next := end + bytes.Index(events[end:], []byte("\n\n")) + len("\n\n")
		if !c.acceptEvent(events[end:next]) {
			return length, notContinued()
		}
		if end = next; c.begun {
			length = end
		}
	}
	return length, nil
}

// acceptEvent reports whether an event follows the ones before. The first one of a run must
// have an id. Comments and empty lines may come anywhere.
func (c *continuation) acceptEvent(event []byte) bool {
	isEmpty := true
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isFieldName(name) {
			return false
		}
		isEmpty = false
		if string(name) != "id" {
			continue
		}
		id := string(bytes.TrimSpace(value))
		if !follows(id, c.lastID) {
			return false
		}
		c.lastID, c.begun = id, true
	}
	return isEmpty || c.begun
}

// end returns an error if a run that has ended with the given rest of an event does not
// complete the stream.
func (c *continuation) end(rest []byte) error {
	if c.active && (!c.begun || len(rest) > 0) {
		return notContinued()
	}
	return nil
}

// isFieldName reports whether name can be the name of an event's field. The names of
// headers, which an engine may send in the middle of its events, begin in upper case.
func isFieldName(name []byte) bool {
	for i, b := range name {
		if isLetter := 'a' <= b && b <= 'z'; !isLetter && (i == 0 || b != '-' && b != '_' && (b < '0' || b > '9')) {
			return false
		}
	}
	return len(name) > 0
}

// follows reports whether an event with the given id may come after the event last. Ids
// that are numbers increase.
func follows(id, last string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return id != last
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return err == nil && n > before
}

// mediaTypeOf returns the type of a response's body without parameters.
func mediaTypeOf(h http.Header) string {
	mediaType, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return mediaType
}
