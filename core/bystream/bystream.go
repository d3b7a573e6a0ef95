// Package bystream keeps a caller's answer whole over the loss of nodes and
// engines: resume tokens, and the rules of continuing an answer elsewhere.
//
// # Usage
//
//	s := bystream.NewSealer(key)
//	id := s.Seal(bystream.Position{Request: req, Engine: "q1", Incarnation: inc, Next: 17})
//	pos, err := s.Open(id) // on any node that has the key
//
// A resume token is the id: field of each event. It names the engine's stream
// and the next token, and is authenticated, so that nodes store no streams and
// a caller cannot name another caller's.
package bystream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"

	"burdockyard"
)

// ErrToken means that a resume token is not one of ours.
var ErrToken = merry.Sentinel("not a resume token of this system")

const macBytes = 16

// Position is a place in an answer.
type Position struct {
	Request     burdockyard.RequestID   `json:"r"`
	Tenant      burdockyard.Tenant      `json:"t"`
	Engine      burdockyard.EndpointID  `json:"e"`
	Incarnation burdockyard.Incarnation `json:"i"`
	Base        int                     `json:"b,omitempty"` // index of the engine stream's first token
	Next        int                     `json:"n"`           // index of the next token
	Done        bool                    `json:"d,omitempty"` // the answer is whole
}

// Sealer makes and opens resume tokens.
type Sealer struct{ key []byte }

// NewSealer returns a Sealer; every node of a deployment has the same key.
func NewSealer(key []byte) *Sealer { return &Sealer{key: key} }

// Seal returns the token of a position.
func (s *Sealer) Seal(p Position) string {
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return base64.RawURLEncoding.EncodeToString(append(s.mac(body), body...))
}

// Open returns the position of a token, or ErrToken.
func (s *Sealer) Open(token string) (Position, error) {
	var p Position
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) < macBytes {
		return p, ErrToken
	}
	mac, body := raw[:macBytes], raw[macBytes:]
	if !hmac.Equal(mac, s.mac(body)) {
		return p, ErrToken
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return p, ErrToken
	}
	return p, nil
}

func (s *Sealer) mac(body []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
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

// End turns the end of an engine's stream into the end of the answer: io.EOF if
// the answer is whole and ErrInterrupted if it is not.
func (a *Assembler) End() error {
	if a.done {
		return io.EOF
	}
	return burdockyard.ErrInterrupted
}
