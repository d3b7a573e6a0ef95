package bywire

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// CheckReplies returns a transport that makes requests through t, and fails if a reply is
// malformed or its end is that of a connection that was reset. All clients of this module need
// it: net/http checks neither.
func CheckReplies(t http.RoundTripper) http.RoundTripper { return checkedTransport{t} }

type checkedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	x := &exchange{ctx: r.Context(), written: make(chan error, 1)}
	resp, err := t.RoundTripper.RoundTrip(r.WithContext(x.trace()))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		resp.Body.Close()
		x.closeConn()
		return nil, err
	}
	resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp, exchange: x}
	return resp, nil
}

// exchange is a request and its reply.
type exchange struct {
	ctx     context.Context
	conn    net.Conn   // the last one that the request was sent on
	written chan error // receives the outcome of sending the request
}

// trace returns the context for a request, with which net/http reports on it to x. It may send
// a request on a second connection if the first one turns out to be dead.
func (x *exchange) trace() context.Context {
	return httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.conn = info.Conn
			select {
			case <-x.written: // of the connection before
			default:
			}
		},
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return CheckFieldNames(http.Header(h)) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case x.written <- info.Err:
			default:
			}
		},
	})
}

// closeConn closes the connection, which net/http may already have returned to its pool.
func (x *exchange) closeConn() {
	if x.conn != nil {
		x.conn.Close()
	}
}

// waitWritten waits until the request has been sent, and returns an error if it could not be.
func (x *exchange) waitWritten() error {
	select {
	case err := <-x.written:
		if err != nil {
			err = fmt.Errorf("%w: %w", ErrRequestCutOff, err)
		}
		return err
	case <-x.ctx.Done():
		return context.Cause(x.ctx)
	}
}

// checkedBody is the body of a reply. Its Read returns io.EOF only after a complete body.
type checkedBody struct {
	io.ReadCloser
	resp     *http.Response
	exchange *exchange
	end      error // what Read returns at the end; nil before
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if b.end == nil {
		if b.end = b.checkEnd(); b.end == nil {
			b.end = io.EOF
		} else {
			b.exchange.closeConn()
		}
	}
	return n, b.end
}

// checkEnd returns an error if the body is incomplete although its data has ended. If it ends
// with its connection, the kernel may have reported a reset to the goroutine of net/http that
// writes the request, so that the one that reads gets an end of file.
func (b *checkedBody) checkEnd() error {
	if b.resp.ContentLength < 0 && len(b.resp.TransferEncoding) == 0 && b.ReadCloser != http.NoBody {
		if err := b.exchange.waitWritten(); err != nil {
			return err
		}
	}
	return CheckFieldNames(b.resp.Trailer)
}
