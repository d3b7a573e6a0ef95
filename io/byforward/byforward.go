// Package byforward sends requests to endpoints over pooled HTTP/1.1 connections.
//
// It does not use the client of net/http, which retries a request on its own when
// a pooled connection turns out to be dead and does not report whether any byte of
// the request was sent. A request that must not run twice needs control over both.
// This package therefore has its own connection pool, without pipelining: each
// connection carries one request at a time, and a response is accepted only if it
// carries the ID of the request that is waiting for it.
//
// # Usage
//
//	f := byforward.New(clock, requestIDOf)
//	resp, err := f.Send(ctx, target, request)
//	// errors.Is(err, burdockyard.ErrNotStarted): no byte of the request was sent
//	defer resp.Close()       // returns the connection to the pool if the body was read to its end
//	n, err := resp.Read(buf) // io.EOF only after a complete body
package byforward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"burdockyard"
	"burdockyard/io/bywire"
)

const (
	// dialTimeout limits how long connecting to an endpoint may take. Endpoints
	// accept in about 1 ms, and TCP retransmits a lost SYN only after 1 s.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is how long data that was sent again may stay unacknowledged, or
	// the endpoint's receive window closed, before the kernel closes the connection. A
	// sound endpoint may be silent for 1.5 s. The last time that the kernel sends data
	// again before unackedTimeout must be later than that.
	unackedTimeout = 2400 * time.Millisecond
	// maxRetransmitInterval limits the time between two retransmissions. Without it they
	// would come 1.4 s and 3 s after the data, so that an endpoint that was silent for 1.5 s
	// would get none before unackedTimeout.
	maxRetransmitInterval = time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint
	// sends no usable Keep-Alive timeout.
	defaultIdleTimeout = 3 * time.Second
	// keepAliveMargin is subtracted from the Keep-Alive timeout of an endpoint,
	// which has a resolution of whole seconds.
	keepAliveMargin = time.Second
	// maxInlineBody is the largest body, in bytes, that is written before the
	// response is read. It fits into the socket's send buffer, so the write does
	// not block.
	maxInlineBody = 8 << 10
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
	// maxDuplicates is how many late copies of earlier responses on a connection are
	// skipped before the response to a request, and maxDuplicateBytes the largest size of
	// each.
	maxDuplicates     = 2
	maxDuplicateBytes = 256 << 10
	// maxCarriedIDs is how many IDs of earlier requests are known of each connection. A
	// request is sent again under its ID within seconds, if at all.
	maxCarriedIDs = 32
	// nextHeadTimeout is how long the rest of a head that has begun to come is waited for.
	nextHeadTimeout = 5 * time.Millisecond
	// maxResponseHeaders is how many response headers are read in search of a final
	// one. Interim responses (1xx) are skipped.
	maxResponseHeaders = 5
	// optTCPRTOMaxMS is the socket option TCP_RTO_MAX_MS of Linux 6.15 and later, which
	// package unix does not define.
	optTCPRTOMaxMS = 44
)

// Target is the endpoint that a request is sent to.
type Target struct {
	Addr     string
	MaxConns int // limit on this node's open connections to Addr
}

// Request is an HTTP request to an endpoint.
type Request struct {
	ID             burdockyard.RequestID
	Method         string
	Path           string // path and query, as the caller sent them
	Host           string
	Header         http.Header
	Body           []byte
	Deadline       time.Time     // end of the time for the whole exchange, reading the body included
	MaxIdle        time.Duration // reuse only connections idle for at most this long; 0 means no limit
	AllowMissingID bool          // accept a response without a request ID, on a connection of its own
}

// Forwarder sends requests to endpoints and pools the connections to them. It is
// safe for concurrent use. mu is a leaf lock: no other lock is taken under it.
type Forwarder struct {
	clock       burdockyard.Clock
	requestIDOf func(http.Header) burdockyard.RequestID
	dialer      net.Dialer
	headMemory  headMemory

	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one address. Forwarder.mu guards it.
type pool struct {
	idle []*conn // sorted by last use, the latest at the end
	open int     // connections open or being dialed, idle ones included
}

type conn struct {
	net.Conn
	addr        string
	in          *headReader
	br          *bufio.Reader           // reads from in
	carriedIDs  []burdockyard.RequestID // IDs of the last requests on it that had one, at most maxCarriedIDs
	idleSince   time.Time               // when it was returned to the pool
	idleTimeout time.Duration           // how long it may stay idle
}

// New returns a Forwarder without connections. requestIDOf returns the request ID
// in the header of a response, or "" if there is none.
func New(clock burdockyard.Clock, requestIDOf func(http.Header) burdockyard.RequestID, opts ...Option) *Forwarder {
	f := &Forwarder{
		clock: clock, requestIDOf: requestIDOf, pools: map[string]*pool{},
		// With TCP_USER_TIMEOUT, a single lost keep-alive probe breaks the connection.
		// Without probes, deadlines and idle timeouts bound the life of all connections.
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setTimeouts},
	}
	f.headMemory.left.Store(defaultHeadMemory)
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithHeadMemory sets the memory that the headers of all responses may need beyond 8 KiB each,
// in bytes. The default is 16 MiB.
func WithHeadMemory(bytes int64) Option { return func(f *Forwarder) { f.headMemory.left.Store(bytes) } }

// setTimeouts sets TCP_USER_TIMEOUT on a socket, so that the kernel closes the
// connection when its peer no longer acknowledges data. Without it a dead peer
// cannot be told from an endpoint that is slow to respond.
func setTimeouts(_, _ string, c syscall.RawConn) error {
	var err error
	ctrl := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		// These only make the kernel send data again sooner after a silence.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_THIN_LINEAR_TIMEOUTS, 1)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, optTCPRTOMaxMS, int(maxRetransmitInterval.Milliseconds()))
	})
	return errors.Join(ctrl, err)
}

// Send sends a request and returns once the header of the response has been read.
// Canceling ctx closes the connection, also while the body is being read. The
// caller must call Close on the Response. The error wraps
// burdockyard.ErrNotStarted if no byte of the request was sent,
// burdockyard.ErrRequestMismatch if the response does not carry the ID of the
// request, and burdockyard.ErrInterrupted otherwise.
func (f *Forwarder) Send(ctx context.Context, t Target, r *Request) (*Response, error) {
	c, err := f.acquire(ctx, t, r)
	if err != nil {
		return nil, err
	}
	resp := &Response{f: f, c: c, stop: context.AfterFunc(ctx, func() { c.Close() }), deadline: time.Now().Add(r.Deadline.Sub(f.clock.Now()))}
	if err := c.SetDeadline(resp.deadline); err != nil {
		resp.abandon()
		return nil, notStarted(err)
	}
	if err := resp.roundTrip(r); err != nil {
		resp.abandon()
		return nil, err
	}
	return resp, nil
}

func notStarted(err error) error {
	return merry.Wrap(burdockyard.ErrNotStarted, merry.WithCause(err))
}

func interrupted(err error) error {
	return merry.Wrap(burdockyard.ErrInterrupted, merry.WithCause(err))
}

// ErrConnectionLimit means that this node has reached its limit of connections to
// the endpoint (Target.MaxConns). It does not indicate a fault of the endpoint.
var ErrConnectionLimit = merry.Sentinel("all connections to the endpoint are in use")

// acquire returns an idle connection that is fit for reuse, or dials a new one.
func (f *Forwarder) acquire(ctx context.Context, t Target, r *Request) (*conn, error) {
	for {
		c, replaced, atLimit := f.takeIdleOrReserve(t, r)
		if atLimit {
			return nil, notStarted(ErrConnectionLimit)
		}
		if replaced != nil {
			replaced.Close() // it was idle, so no request is lost
		}
		if c == nil {
			return f.dial(ctx, t, r)
		}
		if c.isReusable() {
			return c, nil
		}
		f.discard(c)
	}
}

// takeIdleOrReserve removes the most recently used connection that r accepts from the
// pool and returns it. If there is none, it returns nil and counts one more connection as
// open, which the caller must dial or give back with decrementOpen. At the limit of t, the
// new connection takes the place of an idle one, which the caller must close. atLimit
// reports that there is none either.
func (f *Forwarder) takeIdleOrReserve(t Target, r *Request) (c, replaced *conn, atLimit bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[t.Addr]
	if p == nil {
		p = &pool{}
		f.pools[t.Addr] = p
	}
	now := f.clock.Now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; r.accepts(c, now) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, nil, false
		}
	}
	if p.open < t.MaxConns {
		p.open++
		return nil, nil, false
	}
	if len(p.idle) == 0 {
		return nil, nil, true
	}
	replaced = p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	return nil, replaced, false
}

// accepts reports whether r can be sent on an idle connection. A late copy of an earlier
// response on it must be told from the response to r by its ID.
func (r *Request) accepts(c *conn, now time.Time) bool {
	return !r.AllowMissingID && !slices.Contains(c.carriedIDs, r.ID) && (r.MaxIdle == 0 || now.Sub(c.idleSince) <= r.MaxIdle)
}

func (f *Forwarder) dial(ctx context.Context, t Target, r *Request) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(f.clock.Now()))
	defer cancel()
	nc, err := f.dialer.DialContext(ctx, "tcp4", t.Addr)
	if err != nil {
		f.decrementOpen(t.Addr)
		return nil, notStarted(err)
	}
	in := &headReader{r: nc, memory: &f.headMemory}
	in.end()
	return &conn{Conn: nc, addr: t.Addr, in: in, br: bufio.NewReaderSize(in, readBufferSize), idleTimeout: defaultIdleTimeout}, nil
}

// Probe opens a new connection to addr and closes it without sending anything. It takes at
// most timeout.
func (f *Forwarder) Probe(ctx context.Context, addr string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := f.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return merry.Prepend(err, "probing "+addr)
	}
	return nc.Close()
}

// isReusable reports whether an idle connection is open and has no data to read.
// Unread data belongs to no request in progress: it is a late or duplicate
// response.
func (c *conn) isReusable() bool {
	_, err := c.peek()
	return err == syscall.EAGAIN
}

// hasUnread reports whether there is data to read.
func (c *conn) hasUnread() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// peek looks for a byte to read without waiting for one or reading it. The error is EAGAIN
// if there is none yet; n is 0 if the connection has been closed.
func (c *conn) peek() (n int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EINVAL
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var buf [1]byte
	if rawErr := raw.Read(func(fd uintptr) bool {
		n, _, err = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}); rawErr != nil {
		return 0, rawErr
	}
	return n, err
}

// release returns a connection to the pool.
func (f *Forwarder) release(c *conn) {
	if err := c.SetDeadline(time.Time{}); err != nil || c.idleTimeout <= 0 {
		f.discard(c)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c.idleSince = f.clock.Now()
	p := f.pools[c.addr]
	p.idle = append(p.idle, c)
}

// discard closes a connection and frees its place in the pool.
func (f *Forwarder) discard(c *conn) {
	c.Close() // unread data on it belongs to no request
	f.decrementOpen(c.addr)
}

// decrementOpen counts one connection less as open.
func (f *Forwarder) decrementOpen(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.pools[addr]; p != nil && p.open > 0 {
		p.open--
	}
}

// OpenConns returns the number of open connections, idle ones included.
func (f *Forwarder) OpenConns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, p := range f.pools {
		n += p.open
	}
	return n
}

// CloseExpired closes connections that have been idle for at least their idle
// timeout, and removes empty pools. It must be called periodically.
func (f *Forwarder) CloseExpired() {
	f.mu.Lock()
	now := f.clock.Now()
	var expired []*conn
	for addr, p := range f.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if now.Sub(c.idleSince) >= c.idleTimeout {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(p.idle[len(kept):])
		p.idle = kept
		if len(kept) == 0 && p.open == 0 {
			delete(f.pools, addr)
		}
	}
	f.mu.Unlock()
	for _, c := range expired {
		f.discard(c)
	}
}

// Head is the first part of a response.
type Head struct {
	Status int
	Header http.Header
}

// Response is a response whose header has been read and whose body has not. One
// goroutine uses it at a time.
type Response struct {
	Status int
	Header http.Header
	Length int64 // length of the body in bytes, -1 if it is not known in advance

	f             *Forwarder
	c             *conn
	msg           *http.Response  // the response as net/http has read it
	deadline      time.Time       // of the whole exchange
	stop          func() bool     // stops closing c when the context is canceled; false if it was closed
	bodyWrite     *errgroup.Group // writes a long request body, nil if the request was written before reading
	bodyWritten   chan struct{}   // closed when the goroutine of bodyWrite has ended
	selfDelimited bool            // the body has a Content-Length or is chunked
	reusable      bool            // the endpoint keeps c open and the body is self-delimited
	complete      bool            // the body was read to its end
	copies        []Head          // copies of earlier responses that came before
	closed        bool            // c is closed or back in the pool
}

// roundTrip writes the request and reads the header of the response.
func (resp *Response) roundTrip(r *Request) error {
	header := encodeHeader(r)
	if len(r.Body) <= maxInlineBody {
		n, err := resp.c.Write(append(header, r.Body...))
		if err != nil && n == 0 {
			return notStarted(err)
		}
		if err != nil {
			return interrupted(err)
		}
	} else if err := resp.writeInBackground(header, r.Body); err != nil {
		return err
	}
	httpResp, err := resp.readOwnResponse(r)
	if err != nil {
		return interrupted(err)
	}
	resp.Status, resp.Header, resp.Length, resp.msg = httpResp.StatusCode, httpResp.Header, httpResp.ContentLength, httpResp
	resp.selfDelimited = httpResp.ContentLength >= 0 || len(httpResp.TransferEncoding) > 0
	resp.reusable = !httpResp.Close && resp.selfDelimited
	if id := resp.f.requestIDOf(httpResp.Header); id != r.ID && (id != "" || !r.AllowMissingID) {
		return merry.Wrap(burdockyard.ErrRequestMismatch)
	}
	resp.c.idleTimeout = keepAliveTimeout(httpResp.Header.Get("Keep-Alive"))
	if resp.f.requestIDOf(httpResp.Header) == "" {
		resp.reusable = false // a late copy could not be told from the next response
	}
	return nil
}

// recordID records that c carries a request with the given ID.
func (c *conn) recordID(id burdockyard.RequestID) {
	if len(c.carriedIDs) == maxCarriedIDs {
		c.carriedIDs = slices.Delete(c.carriedIDs, 0, 1)
	}
	c.carriedIDs = append(c.carriedIDs, id)
}

// readOwnResponse reads the header of the response to r. An endpoint may send a response
// for a second time, so late that a later request is already on its way. Such a copy
// is skipped: without it, the outcome of that request would be unknown.
func (resp *Response) readOwnResponse(r *Request) (*http.Response, error) {
	earlierIDs := resp.c.carriedIDs
	if r.ID != "" {
		defer resp.c.recordID(r.ID)
	}
	for {
		httpResp, err := resp.c.readResponse(r.Method)
		if err != nil {
			return nil, err
		}
		id := resp.f.requestIDOf(httpResp.Header)
		if id == "" || id == r.ID || !slices.Contains(earlierIDs, id) || len(resp.copies) == maxDuplicates {
			return httpResp, nil
		}
		if httpResp.ContentLength < 0 && len(httpResp.TransferEncoding) == 0 {
			return nil, errors.New("a second copy of an earlier response has no end")
		}
		resp.copies = append(resp.copies, Head{httpResp.StatusCode, httpResp.Header})
		n, err := io.Copy(io.Discard, io.LimitReader(httpResp.Body, maxDuplicateBytes))
		if err == nil {
			err = bywire.CheckFieldNames(httpResp.Trailer)
		}
		if err != nil {
			return nil, err
		}
		if n == maxDuplicateBytes {
			return nil, errors.New("a second copy of an earlier response is too long")
		}
	}
}

// writeInBackground writes the header of a request, and its body from a goroutine
// while the response is read: an endpoint may respond before it has read the whole
// body, and read the rest later or never.
func (resp *Response) writeInBackground(header, body []byte) error {
	if n, err := resp.c.Write(header); err != nil {
		if n == 0 {
			return notStarted(err)
		}
		return interrupted(err)
	}
	resp.bodyWrite, resp.bodyWritten = &errgroup.Group{}, make(chan struct{})
	done, c := resp.bodyWritten, resp.c
	resp.bodyWrite.Go(func() error {
		defer close(done)
		_, err := c.Write(body)
		return err
	})
	return nil
}

// encodeHeader returns the request line and the header of r, with room for a body that
// is written together with them.
func encodeHeader(r *Request) []byte {
	var b bytes.Buffer
	room := 512
	if len(r.Body) <= maxInlineBody {
		room += len(r.Body)
	}
	b.Grow(room)
	b.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for key, values := range r.Header {
		for _, v := range values {
			b.WriteString(key + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads the next final response and skips interim ones (1xx). The body is left
// unread.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.in.begin(c.br)
	defer c.in.end()
	for range maxResponseHeaders {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err == nil {
			err = bywire.CheckHead(resp)
		}
		if err == nil {
			err = c.in.checkFolds(c.br)
		}
		if err != nil {
			return nil, err
		}
		if !bywire.IsInterim(resp.StatusCode) {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// keepAliveTimeout returns how long a connection may stay idle, given the
// Keep-Alive header of a response.
func keepAliveTimeout(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil {
			break
		}
		return time.Duration(n)*time.Second - keepAliveMargin
	}
	return defaultIdleTimeout
}

// Read reads from the body. It returns io.EOF only at the end of a complete body;
// other errors wrap burdockyard.ErrInterrupted.
func (resp *Response) Read(buf []byte) (int, error) {
	n, err := resp.msg.Body.Read(buf)
	if err == io.EOF {
		if endErr := resp.checkEnd(); endErr != nil {
			return n, interrupted(endErr)
		}
		resp.complete = true
	} else if err != nil {
		err = interrupted(err)
	}
	return n, err
}

// checkEnd returns an error if the body is incomplete although its data has ended.
//
// A body that ends with its connection is complete only if the connection was closed and not
// reset. Read alone cannot tell: Linux reports a reset to a single call, and if that is the
// write of the request body, the next read returns an end of file. checkEnd therefore waits
// until the request has been written, up to the deadline of the connection.
func (resp *Response) checkEnd() error {
	if err := bywire.CheckFieldNames(resp.msg.Trailer); err != nil {
		return err
	}
	if resp.selfDelimited || resp.msg.Body == http.NoBody || resp.bodyWrite == nil {
		return nil
	}
	if err := resp.bodyWrite.Wait(); err != nil {
		return fmt.Errorf("%w: %w", bywire.ErrRequestCutOff, err)
	}
	return nil
}

// IsSelfDelimited reports whether the body is delimited by a Content-Length or by
// chunked encoding, rather than by the end of the connection.
func (resp *Response) IsSelfDelimited() bool { return resp.selfDelimited }

// Copies returns the heads of copies of earlier responses that came before the response.
func (resp *Response) Copies() []Head { return resp.copies }

// Next returns the head of a response that has already come after this one. It is called
// once the body has been read to its end. If it returns true, the connection is not used
// again. A head that is not complete yet, or is malformed, is returned without a header.
func (resp *Response) Next() (Head, bool) {
	if !resp.complete || resp.c.br.Buffered() == 0 && !resp.c.hasUnread() {
		return Head{}, false
	}
	resp.reusable = false
	if err := resp.c.SetReadDeadline(time.Now().Add(nextHeadTimeout)); err != nil {
		return Head{}, false
	}
	const firstBytes = "HTTP/"
	if start, _ := resp.c.br.Peek(len(firstBytes)); !strings.HasPrefix(firstBytes, string(start)) {
		return Head{}, false // the bytes belong to no request
	}
	next, err := resp.c.readResponse(http.MethodGet)
	switch {
	case err == nil:
		return Head{next.StatusCode, next.Header}, true
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, bywire.ErrMalformedReply):
		return Head{}, true
	}
	return Head{}, false
}

// Discard reads and discards the rest of the body, so that the connection can be used again,
// unless that is longer than limit bytes or does not arrive within a time.
func (resp *Response) Discard(limit int64, within time.Duration) error {
	if until := time.Now().Add(within); until.Before(resp.deadline) {
		if err := resp.c.SetDeadline(until); err != nil { // the end of the body may wait for the request
			return interrupted(err)
		}
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp, limit+1))
	if err == nil && n > limit {
		err = interrupted(errors.New("answer is too long"))
	}
	return err
}

// ReadAll reads the rest of the body. It fails if that is longer than limit bytes.
func (resp *Response) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = interrupted(errors.New("answer is too long"))
	}
	return data, err
}

// Close ends the exchange. The connection returns to the pool if request and
// response were transferred completely and the endpoint neither closes the
// connection nor has sent data after the response; otherwise it is closed.
func (resp *Response) Close() {
	if resp.closed {
		return
	}
	if !resp.complete || !resp.reusable || !resp.isRequestWritten() || resp.c.br.Buffered() > 0 || !resp.stop() {
		resp.abandon()
		return
	}
	resp.closed = true
	resp.c.in.release()
	resp.f.release(resp.c)
}

// Interrupt makes a Read in progress fail, and later ones. Unlike the other methods, it may
// be called from any goroutine.
func (resp *Response) Interrupt() { resp.c.Conn.Close() }

// isRequestWritten reports whether the whole request has been written.
func (resp *Response) isRequestWritten() bool {
	if resp.bodyWrite == nil {
		return true
	}
	select {
	case <-resp.bodyWritten:
		return resp.bodyWrite.Wait() == nil
	default:
		return false
	}
}

// abandon closes the connection instead of returning it to the pool.
func (resp *Response) abandon() {
	if resp.closed {
		return
	}
	resp.closed = true
	resp.stop()
	resp.c.in.release()
	resp.f.discard(resp.c)
}
