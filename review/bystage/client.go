package bystage

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"burdockyard/platform/bystub"
)

// Request is one client attempt.
type Request struct {
	ID, Method, Path string
	Body             string
	Header           http.Header
	Deadline         time.Duration
}

// Answer is what a client got.
type Answer struct {
	Status   int // 0 if there was no head of a response
	Header   http.Header
	Body     string
	Complete bool // whether the body was read to its end
	Err      error
}

// Send sends a request to a node on a new connection and reads the whole answer.
func (n *Node) Send(r Request) Answer {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.Dial("tcp4", n.Front())
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	return Exchange(conn, r)
}

// Exchange sends a request on a connection and reads the whole answer.
func Exchange(conn net.Conn, r Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.Method, r.Path, bystub.Host, r.ID, r.Deadline.Milliseconds())
	for key, values := range r.Header {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", key, v)
		}
	}
	if r.Body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n" + r.Body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Complete: err == nil, Err: err}
}

// IsRefusal reports whether the answer promises that the request has not run.
func (a Answer) IsRefusal() bool {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// ErrText returns the error as text, empty if there is none.
func (a Answer) ErrText() string {
	if a.Err == nil || errors.Is(a.Err, io.EOF) && a.Complete {
		return ""
	}
	return a.Err.Error()
}
