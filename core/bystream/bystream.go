// Package bystream keeps a caller's answer whole over the loss of nodes and
// engines: resume tokens, and the rules of continuing an answer elsewhere.
//
// # Usage
//
//	s := bystream.NewSealer(key)
//	id := s.AppendSeal(nil, bystream.Position{Request: req, Engine: "q1", Incarnation: inc, Next: 17})
//	pos, err := s.Open(string(id)) // on any node that has the key
//
// A resume token is the id: field of each event. It names the engine's stream
// and the next token, and is authenticated, so that nodes store no streams and
// a caller cannot name another caller's.
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

// ErrToken means that a resume token is not one of ours.
var ErrToken = merry.Sentinel("not a resume token of this system")

const macBytes = 16

// Position is a place in an answer.
type Position struct {
	Request     burdockyard.RequestID
	Tenant      burdockyard.Tenant
	Engine      burdockyard.EndpointID
	Incarnation burdockyard.Incarnation
	Base        int  // index of the engine stream's first token
	Next        int  // index of the next token
	Done        bool // the answer is whole
}

// fieldSeparator stands between the fields of a token's body. No name has it.
const fieldSeparator = '\n'

// Sealer makes and opens resume tokens. It may be used by several goroutines.
type Sealer struct{ macs sync.Pool }

// NewSealer returns a Sealer; every node of a deployment has the same key.
func NewSealer(key []byte) *Sealer {
	return &Sealer{macs: sync.Pool{New: func() any { return hmac.New(sha256.New, key) }}}
}

// AppendSeal appends the token of a position to b.
//
// It runs for every token of every answer. Encoding the body as JSON and making
// a fresh HMAC each time cost more than half of the relay's allocations.
func (s *Sealer) AppendSeal(b []byte, p Position) []byte {
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

// Open returns the position of a token, or ErrToken.
func (s *Sealer) Open(token string) (Position, error) {
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) < macBytes {
		return Position{}, ErrToken
	}
	mac, body := raw[:macBytes], raw[macBytes:]
	if !hmac.Equal(mac, s.mac(nil, body)) {
		return Position{}, ErrToken
	}
	return parseBody(string(body))
}

func parseBody(body string) (Position, error) {
	fields := strings.Split(body, string(fieldSeparator))
	if len(fields) != 7 {
		return Position{}, ErrToken
	}
	base, err1 := strconv.Atoi(fields[4])
	next, err2 := strconv.Atoi(fields[5])
	done, err3 := strconv.ParseBool(fields[6])
	if err1 != nil || err2 != nil || err3 != nil {
		return Position{}, ErrToken
	}
	return Position{
		Request: burdockyard.RequestID(fields[0]), Tenant: burdockyard.Tenant(fields[1]), Engine: burdockyard.EndpointID(fields[2]),
		Incarnation: burdockyard.Incarnation(fields[3]), Base: base, Next: next, Done: done,
	}, nil
}

// mac appends the first macBytes of the body's authentication code to b, which
// may have room for them in front of the body.
func (s *Sealer) mac(b, body []byte) []byte {
	h := s.macs.Get().(hash.Hash)
	defer s.macs.Put(h)
	h.Reset()
	h.Write(body)
	var sum [sha256.Size]byte
	return append(b, h.Sum(sum[:0])[:macBytes]...)
}

// Assembler checks that the tokens of an answer come in order, once each, and
// keeps the text that a continuation needs.
type Assembler struct {
	next int
	text []byte
	done bool
}

// NewAssembler returns an Assembler of an answer whose first next tokens, with
// the given text, were delivered before.
func NewAssembler(next int, text string) *Assembler {
	return &Assembler{next: next, text: []byte(text)}
}

// Add takes a token in. It returns false for one that was delivered before, and
// ErrInterrupted for one that comes after a gap: the rest is then to be asked
// for again, beginning at Next.
func (a *Assembler) Add(t burdockyard.Token) (bool, error) {
	if a.done || t.Index < a.next {
		return false, nil
	}
	if t.Index > a.next {
		return false, burdockyard.ErrInterrupted
	}
	a.next++
	a.text = append(a.text, t.Text...)
	a.done = t.Finish != ""
	return true, nil
}

// Next returns the index of the next token.
func (a *Assembler) Next() int { return a.next }

// Text returns the answer so far.
func (a *Assembler) Text() string { return string(a.text) }

// Whole reports whether the last token was taken in.
func (a *Assembler) Whole() bool { return a.done }
