package byforward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"sync/atomic"

	"burdockyard/io/bywire"
)

const (
	// maxHeadBytes limits the size in bytes of all headers that are read before the
	// body of a response. The bytes of an endpoint in trouble may never end.
	maxHeadBytes = 64 << 10
	// freeHeadBytes is what each response may have of that without a charge, and
	// defaultHeadMemory what all of them may have beyond it.
	freeHeadBytes     = 8 << 10
	defaultHeadMemory = 16 << 20
)

// headReader reads from r. While it reads the header of a response, it returns an error once
// the header is too long, or once the long headers of all responses need too much memory.
// Unlike with io.LimitedReader, a cut header is not taken for the end of the connection.
type headReader struct {
	r       io.Reader
	memory  *headMemory
	left    int64 // until the header is too long
	free    int64 // until memory is needed
	charged int64 // taken from memory
	folds   foldScanner
}

var (
	errHeadTooLong   = errors.New("the header is too long")
	errHeadsTooLarge = errors.New("the headers of all responses are too long")
)

// begin is called before the header of a response is read, and end afterwards. br reads from h.
func (h *headReader) begin(br *bufio.Reader) {
	h.left, h.free = maxHeadBytes, freeHeadBytes
	h.folds = foldScanner{active: true}
	buffered, _ := br.Peek(br.Buffered()) // never fails
	h.folds.scan(buffered)
}

func (h *headReader) end() {
	h.left, h.free = math.MaxInt64, math.MaxInt64
	h.folds.active = false
}

// checkFolds returns bywire.ErrMalformedReply if a line that has been read through br since
// begin is folded and reads like a field.
func (h *headReader) checkFolds(br *bufio.Reader) error {
	if read := h.folds.scanned - int64(br.Buffered()); h.folds.found > 0 && h.folds.found <= read {
		return fmt.Errorf("%w: folded line that reads like a field", bywire.ErrMalformedReply)
	}
	return nil
}

// release returns the memory of the headers that have been read.
func (h *headReader) release() {
	h.memory.left.Add(h.charged)
	h.charged = 0
}

func (h *headReader) Read(buf []byte) (int, error) {
	if h.left <= 0 {
		return 0, errHeadTooLong
	}
	if int64(len(buf)) > h.left {
		buf = buf[:h.left]
	}
	n, err := h.r.Read(buf)
	if h.folds.active {
		h.folds.scan(buf[:n])
	}
	h.left -= int64(n)
	if h.free -= int64(n); h.free < 0 {
		if !h.memory.take(-h.free) {
			return 0, errHeadsTooLarge
		}
		h.charged -= h.free
		h.free = 0
	}
	return n, err
}

// headMemory is the memory that is left for long headers, in bytes.
type headMemory struct{ left atomic.Int64 }

// take takes n bytes, and returns false if they are not left.
func (m *headMemory) take(n int64) bool {
	if m.left.Add(-n) >= 0 {
		return true
	}
	m.left.Add(n)
	return false
}
