// Package bystream lets a caller's answer continue after the loss of a node or an
// engine. It provides resume tokens and the assembly of an answer from several
// streams.
//
// # Usage
//
//	s := bystream.NewTokenSigner(key)
//	pos := bystream.Position{Request: req, Engine: "q1", Incarnation: inc, Next: 17}
//	id := s.AppendToken(nil, pos)
//	pos, err := s.Verify(string(id)) // on any node with the same key
//
// A resume token is sent as the id: field of each event. It identifies the engine's
// stream and the next token, so that nodes need not store streams. It is
// authenticated, so that a caller cannot forge a token for another caller's stream.
package bystream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"strconv"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"

	"burdockyard"
)

// ErrInvalidToken means that a resume token is malformed or was made with another key.
var ErrInvalidToken = merry.Sentinel("not a resume token of this system")

// macBytes is the length of the truncated HMAC-SHA-256 of a resume token.
const macBytes = 16

// Position identifies the next token of an answer and the engine stream that
// produces it.
type Position struct {
	Request     burdockyard.RequestID
	Tenant      burdockyard.Tenant
	Engine      burdockyard.EndpointID
	Incarnation burdockyard.Incarnation
	Base        int  // index in the answer of the first token of the engine's stream
	Next        int  // index in the answer of the next token
	Done        bool // the answer is complete
}

// fieldSeparator separates the fields of a resume token's body. No name contains it.
const fieldSeparator = '\n'

// TokenSigner creates and verifies resume tokens. It is safe for concurrent use.
type TokenSigner struct{ macs sync.Pool }

// NewTokenSigner returns a TokenSigner with the given key. All nodes of a deployment
// must use the same key.
func NewTokenSigner(key []byte) *TokenSigner {
	return &TokenSigner{macs: sync.Pool{New: func() any { return hmac.New(sha256.New, key) }}}
}

// AppendToken appends the resume token of a position to b.
//
// It runs for every output token of every answer. Encoding the body as JSON and
// creating a new HMAC each time caused more than half of the relay's allocations.
func (s *TokenSigner) AppendToken(b []byte, p Position) []byte {
	const typicalSize = 160
	raw := make([]byte, macBytes, typicalSize)
	raw = appendBody(raw, p)
	s.mac(raw[:0], raw[macBytes:])
	return base64.RawURLEncoding.AppendEncode(b, raw)
}

func appendBody(b []byte, p Position) []byte {
	for _, field := range []string{string(p.Request), string(p.Tenant), string(p.Engine), string(p.Incarnation)} {
		b = append(b, field...)
		b = append(b, fieldSeparator)
	}
	b = strconv.AppendInt(b, int64(p.Base), 10)
	b = append(b, fieldSeparator)
	b = strconv.AppendInt(b, int64(p.Next), 10)
	b = append(b, fieldSeparator)
	return strconv.AppendBool(b, p.Done)
}

// Verify verifies a resume token and returns its position. It returns
// ErrInvalidToken if the token is not valid.
func (s *TokenSigner) Verify(token string) (Position, error) {
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) < macBytes {
		return Position{}, ErrInvalidToken
	}
	mac, body := raw[:macBytes], raw[macBytes:]
	if !hmac.Equal(mac, s.mac(nil, body)) {
		return Position{}, ErrInvalidToken
	}
	return parseBody(string(body))
}

func parseBody(body string) (Position, error) {
	fields := strings.Split(body, string(fieldSeparator))
	if len(fields) != 7 {
		return Position{}, ErrInvalidToken
	}
	base, err1 := strconv.Atoi(fields[4])
	next, err2 := strconv.Atoi(fields[5])
	done, err3 := strconv.ParseBool(fields[6])
	if err1 != nil || err2 != nil || err3 != nil {
		return Position{}, ErrInvalidToken
	}
	return Position{
		Request: burdockyard.RequestID(fields[0]), Tenant: burdockyard.Tenant(fields[1]), Engine: burdockyard.EndpointID(fields[2]),
		Incarnation: burdockyard.Incarnation(fields[3]), Base: base, Next: next, Done: done,
	}, nil
}

// mac appends the first macBytes of the body's HMAC to b. The bytes appended may
// directly precede body in the same array.
func (s *TokenSigner) mac(b, body []byte) []byte {
	h := s.macs.Get().(hash.Hash)
	defer s.macs.Put(h)
	h.Reset()
	h.Write(body)
	var sum [sha256.Size]byte
	return append(b, h.Sum(sum[:0])[:macBytes]...)
}

// Assembler checks that the tokens of an answer arrive in order and without gaps,
// drops duplicates, and keeps the text that a continuation needs. It is not safe
// for concurrent use.
type Assembler struct {
	next int
	text []byte
	done bool
}

// NewAssembler returns an Assembler for an answer whose tokens before the index next
// have been delivered, with the given text.
func NewAssembler(next int, text string) *Assembler {
	return &Assembler{next: next, text: []byte(text)}
}

// Add adds a token and reports whether it is new. It returns false for a token that
// was delivered before or follows the last one, and ErrInterrupted for a token after
// a gap. The caller then has to request the rest, starting at NextIndex.
func (a *Assembler) Add(t burdockyard.Token) (bool, error) {
	if a.done || t.Index < a.next {
		return false, nil
	}
	if t.Index > a.next {
		return false, burdockyard.ErrInterrupted
	}
	a.next++
	a.text = append(a.text, t.Text...)
	a.done = t.FinishReason != ""
	return true, nil
}

// NextIndex returns the index of the next expected token.
func (a *Assembler) NextIndex() int { return a.next }

// Text returns the text of the answer so far.
func (a *Assembler) Text() string { return string(a.text) }

// IsComplete reports whether the last token of the answer was added.
func (a *Assembler) IsComplete() bool { return a.done }
