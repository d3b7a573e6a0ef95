package bywire

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrMalformedReply means that what a server has sent is no response as RFC 9110 and RFC 9112
// define it. It proves nothing about the request: the server may have executed it.
var ErrMalformedReply = merry.Sentinel("malformed reply")

// ErrRequestCutOff means that the connection was lost before the whole request was sent. A reply
// that ended with the connection is incomplete.
var ErrRequestCutOff = merry.Sentinel("connection lost while the request was being sent")

// CheckStatus returns ErrMalformedReply unless status is that of a response, interim ones
// included.
//
// net/http accepts all numbers of three characters. Those below 100 and above 599 are invalid
// (RFC 9110, section 15); nothing is known about the framing of such a message. Status 101 is
// final: what follows it belongs to another protocol. A server must not send it to a client
// that has not asked for one, as no client in this module does.
func CheckStatus(status int) error {
	if status < 100 || status > 599 || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrMalformedReply, status)
	}
	return nil
}

// IsInterim reports whether a response with the given valid status is followed by another one
// to the same request (RFC 9110, section 15.2).
func IsInterim(status int) bool { return status < http.StatusOK }

// CheckFieldNames returns ErrMalformedReply if the name of a field holds a blank. net/textproto
// rejects all other bytes that a name must not hold.
//
// A field of such a name is not the one it looks like: "Content-Length : 4" frames nothing, so
// that other bytes are taken for the body. RFC 9112, section 5.1, lets a proxy remove a blank
// before the colon, but a server that sends one is not to be relied on.
func CheckFieldNames(h http.Header) error {
	for name, values := range h {
		// Names that the field Trailer announces have no values yet.
		if len(values) > 0 && strings.Contains(name, " ") {
			return fmt.Errorf("%w: field name %q", ErrMalformedReply, name)
		}
	}
	return nil
}

// CheckHead returns ErrMalformedReply if resp, whose header has been read by net/http, is
// malformed.
func CheckHead(resp *http.Response) error {
	if err := CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	return CheckFieldNames(resp.Header)
}
