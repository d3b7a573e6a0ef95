// Package byforward sends requests to endpoints over kept HTTP/1.1 connections.
//
// net/http's own client sends a request again by itself when a kept connection
// turns out to be dead, and does not tell whether a byte has left. A request that
// may run only once needs both in our hands, so connections are kept here: one
// request at a time on each, and an answer is only taken if it names the request
// that is waiting for it.
//
// # Usage
//
//	f := byforward.New(clock, answered)
//	resp, err := f.Send(ctx, target, request)
//	// errors.Is(err, burdockyard.ErrNotStarted): no byte of it has left
//	defer resp.Close()       // keeps the connection if the answer was read whole
//	n, err := resp.Read(buf) // io.EOF only after a whole answer
package byforward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"burdockyard"
)

const (
	// dialTimeout bounds setting up a connection: endpoints accept in about 1 ms,
	// and a lost opening packet is sent again after a second.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing.
	unackedTimeout = 1200 * time.Millisecond
	// defaultIdle is how long a connection is kept whose endpoint names no time.
	defaultIdle = 3 * time.Second
	// idleMargin is taken off the time that an endpoint names, which comes in
	// whole seconds.
	idleMargin = time.Second
	// inlineBody is the size up to which a body is written before the answer is
	// read; it fits into a socket's buffer.
	inlineBody = 8 << 10
	// readBuffer is the size of a connection's buffer for answers, in bytes.
	readBuffer = 4 << 10
	// maxInterim is how many interim answers (1xx) are skipped.
	maxInterim = 5
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 0x12
)

// Target is where a request goes.
type Target struct {
	Addr     string
	MaxConns int // that this node may hold open there
}

// Request is one request to an endpoint.
type Request struct {
	ID       burdockyard.RequestID
	Method   string
	Path     string // with the query, as the caller sent it
	Host     string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	MaxIdle  time.Duration // use no connection that has been idle for longer; 0: any
	AnyID    bool          // the answer need not name the request
}

// Forwarder keeps connections to endpoints. mu is a leaf lock.
type Forwarder struct {
	clock    burdockyard.Clock
	answered func(http.Header) burdockyard.RequestID
	dialer   net.Dialer

	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one address. Forwarder.mu guards it.
type pool struct {
	idle []*conn // the most recently used one last
	open int
}

type conn struct {
	net.Conn
	addr   string
	br     *bufio.Reader
	idleAt time.Time // since when it is idle
	keep   time.Duration
}

// New returns a Forwarder without connections. answered returns the request that
// an answer names, or "".
func New(clock burdockyard.Clock, answered func(http.Header) burdockyard.RequestID) *Forwarder {
	return &Forwarder{
		clock: clock, answered: answered, pools: map[string]*pool{},
		dialer: net.Dialer{Timeout: dialTimeout, Control: limitSilence},
	}
}

// limitSilence ends a connection whose peer has gone silent, which else looks
// like one that waits for a slow answer.
func limitSilence(_, _ string, c syscall.RawConn) error {
	var err error
	ctrl := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(ctrl, err)
}

// Send sends a request and returns once the answer's header is there. The error
// wraps ErrNotStarted if no byte of the request has left, ErrCrossed if the
// answer belongs to another request, and ErrInterrupted otherwise.
func (f *Forwarder) Send(ctx context.Context, t Target, r *Request) (*Response, error) {
	c, err := f.take(ctx, t, r)
	if err != nil {
		return nil, err
	}
	resp := &Response{f: f, c: c, stop: context.AfterFunc(ctx, func() { c.Close() })}
	if err := c.SetDeadline(r.Deadline); err != nil {
		resp.drop()
		return nil, notStarted(err)
	}
	if err := resp.exchange(r); err != nil {
		resp.drop()
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

// ErrNoConnection means that this node may open no more connections to the
// endpoint. It says nothing against the endpoint.
var ErrNoConnection = merry.Sentinel("all connections to the endpoint are in use")

// take returns a connection that is idle and sound, or a new one.
func (f *Forwarder) take(ctx context.Context, t Target, r *Request) (*conn, error) {
	for {
		c, full := f.takeIdle(t, r)
		if full {
			return nil, notStarted(ErrNoConnection)
		}
		if c == nil {
			return f.dial(ctx, t, r)
		}
		if c.quiet() {
			return c, nil
		}
		f.discard(c)
	}
}

// takeIdle returns an idle connection, or nil and a place to open one.
func (f *Forwarder) takeIdle(t Target, r *Request) (c *conn, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[t.Addr]
	if p == nil {
		p = &pool{}
		f.pools[t.Addr] = p
	}
	now := f.clock.Now()
	if n := len(p.idle); n > 0 {
		c = p.idle[n-1]
		if r.MaxIdle == 0 || now.Sub(c.idleAt) <= r.MaxIdle {
			p.idle = p.idle[:n-1]
			return c, false
		}
		c = nil
	}
	if p.open >= t.MaxConns {
		return nil, true
	}
	p.open++
	return nil, false
}

func (f *Forwarder) dial(ctx context.Context, t Target, r *Request) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	nc, err := f.dialer.DialContext(ctx, "tcp4", t.Addr)
	if err != nil {
		f.forget(t.Addr)
		return nil, notStarted(err)
	}
	return &conn{Conn: nc, addr: t.Addr, br: bufio.NewReaderSize(nc, readBuffer), keep: defaultIdle}, nil
}

// quiet reports whether an idle connection is open and has nothing to say. Bytes
// that wait there belong to no request: a late or second answer.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), buf[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// put keeps a connection for the next request.
func (f *Forwarder) put(c *conn) {
	if err := c.SetDeadline(time.Time{}); err != nil || c.keep <= 0 {
		f.discard(c)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c.idleAt = f.clock.Now()
	p := f.pools[c.addr]
	p.idle = append(p.idle, c)
}

func (f *Forwarder) discard(c *conn) {
	c.Close() // whatever is left on it belongs to nobody
	f.forget(c.addr)
}

func (f *Forwarder) forget(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.pools[addr]; p != nil && p.open > 0 {
		p.open--
	}
}

// Open returns the number of open connections, idle ones included.
func (f *Forwarder) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, p := range f.pools {
		n += p.open
	}
	return n
}

// Sweep closes connections that were idle for too long.
func (f *Forwarder) Sweep() {
	f.mu.Lock()
	now := f.clock.Now()
	var old []*conn
	for addr, p := range f.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if now.Sub(c.idleAt) >= c.keep {
				old = append(old, c)
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
	for _, c := range old {
		f.discard(c)
	}
}

// Response is an answer of which the body is still to be read.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body, -1 if it is not known before its end

	f      *Forwarder
	c      *conn
	body   io.ReadCloser
	stop   func() bool
	wrote  *errgroup.Group // writes a long body, nil once it is written
	done   chan struct{}   // closed when wrote has ended
	framed bool            // by a length or in chunks
	reuse  bool
	whole  bool
	over   bool
}

// exchange writes the request and reads the header of the answer.
func (p *Response) exchange(r *Request) error {
	head := encodeHead(r)
	if len(r.Body) <= inlineBody {
		n, err := p.c.Write(append(head, r.Body...))
		if err != nil && n == 0 {
			return notStarted(err)
		}
		if err != nil {
			return interrupted(err)
		}
	} else if err := p.writeAside(head, r.Body); err != nil {
		return err
	}
	resp, err := readAnswer(p.c.br, r.Method)
	if err != nil {
		return interrupted(err)
	}
	p.Status, p.Header, p.Length, p.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
	p.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	p.reuse = !resp.Close && p.framed
	if id := p.f.answered(resp.Header); id != r.ID && (id != "" || !r.AnyID) {
		return merry.Wrap(burdockyard.ErrCrossed)
	}
	p.c.keep = keepFor(resp.Header.Get("Keep-Alive"))
	return nil
}

// writeAside writes a long body while the answer is read: an endpoint may answer
// before it has read all of it, and read on later or never.
func (p *Response) writeAside(head, body []byte) error {
	if n, err := p.c.Write(head); err != nil {
		if n == 0 {
			return notStarted(err)
		}
		return interrupted(err)
	}
	p.wrote, p.done = &errgroup.Group{}, make(chan struct{})
	done, c := p.done, p.c
	p.wrote.Go(func() error {
		defer close(done)
		_, err := c.Write(body)
		return err
	})
	return nil
}

func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
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

func readAnswer(br *bufio.Reader, method string) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// keepFor reads the timeout of a Keep-Alive header.
func keepFor(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil {
			break
		}
		return time.Duration(n)*time.Second - idleMargin
	}
	return defaultIdle
}

// Read returns what has arrived of the body, and io.EOF after a whole one.
func (p *Response) Read(buf []byte) (int, error) {
	n, err := p.body.Read(buf)
	switch {
	case err == io.EOF:
		p.whole = true
	case err != nil:
		err = interrupted(err)
	}
	return n, err
}

// Framed reports whether the answer says where it ends.
func (p *Response) Framed() bool { return p.framed }

// ReadAll reads the rest of the body, of at most limit bytes.
func (p *Response) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(p, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = interrupted(errors.New("answer is too long"))
	}
	return data, err
}

// Close ends the exchange. The connection is kept if the answer was read whole
// and the endpoint neither closes it nor has sent more than the answer.
func (p *Response) Close() {
	if p.over {
		return
	}
	if !p.whole || !p.reuse || !p.written() || p.c.br.Buffered() > 0 || !p.stop() {
		p.drop()
		return
	}
	p.over = true
	p.f.put(p.c)
}

// written reports whether the whole request has left.
func (p *Response) written() bool {
	if p.wrote == nil {
		return true
	}
	select {
	case <-p.done:
		return p.wrote.Wait() == nil
	default:
		return false
	}
}

func (p *Response) drop() {
	if p.over {
		return
	}
	p.over = true
	p.stop()
	p.f.discard(p.c)
}
