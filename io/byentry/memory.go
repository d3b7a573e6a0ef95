package byentry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"burdockyard/core/bymemory"
	"burdockyard/io/byforward"
	"burdockyard/io/bylog"
)

const (
	// connBytes is the memory of a caller's connection: two goroutines and two buffers.
	// requestBytes is that of a request in progress without its body.
	connBytes    = 16 << 10
	requestBytes = 16 << 10
	// callerBufferBytes bounds what the kernel holds in each direction of a caller's
	// connection. It fills a round trip of 10 ms at 100 Mbit/s.
	callerBufferBytes = 128 << 10
	// firstChunkBytes is the first buffer of a body of unknown length.
	firstChunkBytes = 16 << 10
	// maxDiscardedBytes is how much of a refused body is discarded.
	maxDiscardedBytes = 16 << 20
	// maxRoomWait is how long a body that is being read waits for memory.
	maxRoomWait = 250 * time.Millisecond
	// freeBytes is what a response may hold without a charge of its own. It is part of
	// requestBytes.
	freeBytes = 4 << 10
	// aheadPieceBytes is the size of the pieces that are read ahead of a slow caller, and
	// maxAheadPieces how many of them a response may hold.
	aheadPieceBytes = 4 << 10
	maxAheadPieces  = maxBufferedBody / aheadPieceBytes
	// slowAfter is how long a write may block before the endpoint is read ahead. A segment
	// that was lost is sent again within it.
	slowAfter = 250 * time.Millisecond
	// maxUnread is how long an endpoint's response is left unread for a slow caller.
	// Endpoints cut off responses that stay unread for some seconds.
	maxUnread = time.Second
	// lateReadTime is how long after its deadline a caller may still read a response.
	lateReadTime = 2 * time.Second
)

// Why a slow caller was cut off, as written to the log and the metrics.
const (
	cutForMemory   = "memory"   // others need the memory
	cutForEndpoint = "endpoint" // the endpoint would have waited for too long
	cutForDeadline = "deadline" // the deadline has long passed
)

// holdBody charges the memory of the request before its body is read. If there is none, it
// refuses the request.
func (c *call) holdBody() bool {
	size := c.r.ContentLength
	if size < 0 {
		size = max(c.node.memory.ExpectedSize(c.route.Name), firstChunkBytes)
	}
	held, err := c.node.memory.HoldBody(size + requestBytes)
	if err != nil {
		c.refuseUnread()
		return false
	}
	c.held = held
	return true
}

// refuseUnread refuses a request for lack of memory whose body has not been read to its
// end. The rest of the body is discarded: if the connection were closed under a caller who
// is still sending, the refusal would be lost.
func (c *call) refuseUnread() {
	c.held.Release()
	c.body = nil
	if c.r.ContentLength == 0 {
		c.refuse(reasonMemory, notReadyRetryAfter)
		return
	}
	controller := http.NewResponseController(c.w)
	duplex := controller.EnableFullDuplex() == nil // otherwise net/http reads the body before it responds
	_ = controller.SetReadDeadline(time.Now().Add(c.timeLeft()))
	c.w.Header().Set("Connection", "close")
	c.refuse(reasonMemory, notReadyRetryAfter)
	if !duplex || controller.Flush() != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.r.Body, maxDiscardedBytes)) // ends with the caller's connection at the latest
}

// watchCut ends the reading of a large body once its memory is needed for others. The
// returned function ends the watch.
func (c *call) watchCut(controller *http.ResponseController) func() {
	if c.r.ContentLength >= 0 && c.r.ContentLength <= firstChunkBytes {
		return func() {}
	}
	var group errgroup.Group
	done := make(chan struct{})
	group.Go(func() error {
		select {
		case <-c.held.Cut():
			return controller.SetReadDeadline(time.Now())
		case <-done:
			return nil
		}
	})
	return func() {
		close(done)
		_ = group.Wait() // fails only if the connection is gone
	}
}

// readChunks reads a body of unknown length into c.body, of which at most limit bytes are
// allowed; 0 means no limit. It stops after one byte more.
func (c *call) readChunks(limit int64) error {
	m := c.node.memory
	c.body = make([]byte, 0, c.held.Bytes()-requestBytes)
	for {
		var next [1]byte // finds the end of a body that fills the buffer
		into := c.body[len(c.body):cap(c.body)]
		isFull := len(into) == 0
		if isFull {
			into = next[:]
		}
		n, err := c.r.Body.Read(into)
		if isFull && n > 0 {
			if err := c.growBody(limit); err != nil {
				return err
			}
			c.body = append(c.body, next[0])
		} else {
			c.body = c.body[:len(c.body)+n]
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if limit > 0 && int64(len(c.body)) > limit {
			return nil
		}
	}
	m.RecordSize(c.route.Name, int64(len(c.body)))
	if unused := cap(c.body) - len(c.body); unused > cap(c.body)/4 {
		c.body = append(make([]byte, 0, len(c.body)), c.body...)
		c.held.Shrink(int64(unused))
	}
	return nil
}

// growBody doubles the buffer of the body, within the limit of one byte more than limit.
func (c *call) growBody(limit int64) error {
	old := int64(cap(c.body))
	size := 2 * old
	if limit > 0 {
		size = min(size, limit+1)
	}
	if err := c.node.waitForRoom(c.held, size, maxRoomWait, c.r.Context().Done()); err != nil {
		return err
	}
	c.body = append(make([]byte, 0, size), c.body...)
	c.held.Shrink(old)
	return nil
}

// waitForRoom charges n more bytes to a holding, and waits for up to limit until there is
// room for them or done is closed.
func (n *Node) waitForRoom(held *bymemory.Holding, size int64, limit time.Duration, done <-chan struct{}) error {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		freed := n.memory.Freed()
		err := held.Grow(size)
		if !errors.Is(err, bymemory.ErrFull) {
			return err
		}
		select {
		case <-freed:
		case <-held.Cut():
		case <-timeout.C:
			return err
		case <-done:
			return err
		}
	}
}

// bufferBody reads the body of a response, up to maxBufferedBody bytes or as many as there
// is memory for. If there is more, the rest is left unread.
func (c *call) bufferBody(buffered *bufferedResponse, resp *byforward.Response) error {
	size := int64(freeBytes)
	if resp.Length >= 0 {
		size = min(resp.Length+1, maxBufferedBody) // one byte more, so that the end is read too
	}
	charge := func(n int64) bool {
		if buffered.held == nil {
			buffered.held = c.node.memory.HoldResponse(freeBytes)
		}
		return buffered.held.Grow(n) == nil
	}
	if size > freeBytes && !charge(size) {
		size = freeBytes
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			more := min(2*cap(body), maxBufferedBody)
			if more <= cap(body) || !charge(int64(more)) {
				buffered.body, buffered.unread = body, resp
				return nil
			}
			old := cap(body)
			body = slices.Grow(body, more-old)
			if old > freeBytes {
				buffered.held.Shrink(int64(old))
			}
		}
		n, err := resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			buffered.body = body
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// passOn passes the body of a response on to the caller.
func (c *call) passOn(buffered *bufferedResponse) error {
	out := c.newOutflow(buffered.unread)
	out.waiting = buffered.held
	defer out.close()
	if err := out.write(buffered.body, false); err != nil || buffered.unread == nil {
		return err
	}
	buffered.body = nil
	buffered.held.Release()
	out.waiting = nil
	buf := make([]byte, aheadPieceBytes)
	for {
		n, err := out.Read(buf)
		if n > 0 {
			if writeErr := out.write(buf[:n], false); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// outflow passes one response on to its caller. While the caller reads, the response is
// read and written in turn, without a goroutine or buffer of its own. Once a write blocks,
// a goroutine reads the response ahead into a bounded buffer, so that the endpoint does not
// wait for the caller. A caller who would keep the endpoint waiting, or whose memory others
// need, is cut off.
type outflow struct {
	c       *call
	resp    *byforward.Response // nil if there is nothing left to read
	waiting *bymemory.Holding   // memory of a body that is being written, nil if there is none
	timer   *time.Timer         // fires when a write blocks; nil before the first write
	group   errgroup.Group
	done    chan struct{} // closed by close

	mu        sync.Mutex
	held      *bymemory.Holding // memory of what was read ahead, nil if there is none
	isWriting bool
	unblocked chan struct{} // closed when the blocked write ends, nil if no write is blocked
	wasCut    bool
	isAhead   bool
	isClosed  bool

	pieces chan []byte   // read ahead; made before isAhead is set
	ended  chan struct{} // closed after the last piece
	err    error         // of the last read; valid once ended is closed
	rest   []byte        // of the piece that Read has begun to return
}

// errCutOff means that the caller was cut off because it did not read.
var errCutOff = merry.Sentinel("the caller did not read and was cut off")

// newOutflow returns an outflow for a response, which may be nil.
func (c *call) newOutflow(resp *byforward.Response) *outflow {
	return &outflow{c: c, resp: resp, done: make(chan struct{})}
}

// holding returns the holding of what is read ahead. The caller must hold mu.
func (o *outflow) holding() *bymemory.Holding {
	if o.held == nil {
		o.held = o.c.node.memory.HoldResponse(freeBytes)
	}
	return o.held
}

// grow charges n bytes that wait for the end of an event.
func (o *outflow) grow(n int) error {
	o.mu.Lock()
	held := o.holding()
	o.mu.Unlock()
	return held.Grow(int64(n))
}

// Read reads from the response, or what was read ahead of it.
func (o *outflow) Read(buf []byte) (int, error) {
	o.mu.Lock()
	ahead := o.isAhead
	o.mu.Unlock()
	if !ahead {
		return o.resp.Read(buf)
	}
	if len(o.rest) == 0 {
		piece, ok := <-o.pieces
		if !ok {
			return 0, o.err
		}
		o.rest = piece
	}
	n := copy(buf, o.rest)
	if o.rest = o.rest[n:]; len(o.rest) == 0 {
		o.held.Shrink(aheadPieceBytes)
	}
	return n, nil
}

// write writes data to the caller, and flushes it if asked to.
func (o *outflow) write(data []byte, flush bool) error {
	o.mu.Lock()
	o.isWriting = true
	o.mu.Unlock()
	if o.timer == nil {
		o.timer = time.AfterFunc(slowAfter, o.onBlocked)
	} else {
		o.timer.Reset(slowAfter)
	}
	_, err := o.c.w.Write(data)
	if err == nil && flush {
		err = http.NewResponseController(o.c.w).Flush()
	}
	o.timer.Stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isWriting = false
	if o.unblocked != nil {
		close(o.unblocked)
		o.unblocked = nil
		o.held.SetSlow(false)
		o.waiting.SetSlow(false)
	}
	if o.wasCut {
		return merry.Wrap(errCutOff)
	}
	return err
}

// onBlocked is called when a write has blocked for slowAfter.
func (o *outflow) onBlocked() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isWriting {
		return // the write has just ended
	}
	unblocked := make(chan struct{})
	o.unblocked = unblocked
	held, waiting := o.holding(), o.waiting
	held.SetSlow(true)
	waiting.SetSlow(true)
	o.group.Go(func() error {
		o.watch(unblocked, held, waiting)
		return nil
	})
	if o.resp != nil && !o.isAhead {
		o.isAhead = true
		o.pieces, o.ended = make(chan []byte, maxAheadPieces), make(chan struct{})
		o.group.Go(func() error {
			o.readAhead(held)
			return nil
		})
	}
}

// watch cuts the caller off if its memory is needed or the deadline has long passed, until
// the blocked write ends.
func (o *outflow) watch(unblocked <-chan struct{}, held, waiting *bymemory.Holding) {
	late := time.NewTimer(max(o.c.timeLeft(), 0) + lateReadTime)
	defer late.Stop()
	select {
	case <-unblocked:
	case <-held.Cut():
		o.cut(cutForMemory)
	case <-waiting.Cut():
		o.cut(cutForMemory)
	case <-late.C:
		o.cut(cutForDeadline)
	}
}

// readAhead reads the response ahead of the caller until its end.
func (o *outflow) readAhead(held *bymemory.Holding) {
	defer close(o.pieces)
	defer close(o.ended)
	for {
		if err := o.c.node.waitForRoom(held, aheadPieceBytes, maxUnread, o.done); err != nil {
			o.err = err
			o.cut(cutForMemory)
			return
		}
		piece := make([]byte, aheadPieceBytes)
		n, err := o.resp.Read(piece)
		if n > 0 && !o.add(piece[:n]) {
			o.err = context.Canceled
			return
		}
		if err != nil {
			o.err = err
			return
		}
	}
}

// add adds a piece to those that the caller has not read. It returns false if the response
// has ended for the caller.
func (o *outflow) add(piece []byte) bool {
	timeout := time.NewTimer(maxUnread)
	defer timeout.Stop()
	select {
	case o.pieces <- piece:
		return true
	case <-timeout.C:
		o.cut(cutForEndpoint)
	case <-o.done:
	}
	return false
}

// cut ends the caller's connection. A write in progress fails.
func (o *outflow) cut(cause string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.wasCut || o.isClosed {
		return
	}
	o.wasCut = true
	o.c.node.metrics.SlowCallersCut(cause).Inc()
	o.c.warn("slow caller cut off", bylog.Str("cause", cause), bylog.Int("held_bytes", int(o.held.Bytes()+o.waiting.Bytes())))
	_ = http.NewResponseController(o.c.w).SetWriteDeadline(time.Now()) // fails only if the connection is gone
}

// close ends the reading ahead and releases the memory. The response stays to be closed.
func (o *outflow) close() {
	close(o.done)
	o.mu.Lock()
	ahead := o.isAhead
	o.isClosed = true
	o.mu.Unlock()
	if ahead {
		select {
		case <-o.ended:
		default:
			o.resp.Interrupt()
		}
	}
	_ = o.group.Wait() // its functions return no error
	o.held.Release()
	if o.wasCut { // perhaps after the last write, which leaves the connection in use
		_ = http.NewResponseController(o.c.w).SetWriteDeadline(time.Time{})
	}
}

// boundBuffers is a net.ListenConfig.Control that bounds the kernel's buffers of the
// connections that are accepted.
func boundBuffers(_, _ string, c syscall.RawConn) error {
	var err error
	ctrl := c.Control(func(fd uintptr) {
		err = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, callerBufferBytes/2), // the kernel doubles it
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, callerBufferBytes/2))
	})
	return errors.Join(ctrl, err)
}

// listen listens on an address with bounded buffers.
func listen(addr string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: boundBuffers}
	return cfg.Listen(context.Background(), "tcp4", addr)
}
