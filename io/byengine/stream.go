package byengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/io/bywire"
)

const (
	readBufferBytes = 4 << 10 // initial capacity of a stream's read buffer
	maxLineBytes    = 1 << 20 // longest line of an event that is read
)

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
	doneData  = []byte("[DONE]")
)

// chunk holds the fields of an OpenAI-style completion chunk that are read.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// stream reads the server-sent events of one completion. Close may be called
// while another goroutine calls Next; nothing else is safe for concurrent use.
type stream struct {
	body        io.ReadCloser
	lines       *bufio.Scanner
	id          burdockyard.RequestID
	incarnation burdockyard.Incarnation
	index       int
}

func newStream(resp *http.Response, id burdockyard.RequestID) *stream {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, readBufferBytes), maxLineBytes)
	return &stream{
		body: resp.Body, lines: lines, id: id,
		incarnation: burdockyard.Incarnation(resp.Header.Get(bywire.HeaderEngineIncarnation)),
	}
}

func (s *stream) Incarnation() burdockyard.Incarnation { return s.incarnation }

func (s *stream) Close() error { return s.body.Close() }

// Next implements burdockyard.TokenStream. The completion is complete only if
// the engine sent [DONE]; a connection that closes earlier interrupted it.
func (s *stream) Next() (burdockyard.Token, error) {
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			n, err := strconv.Atoi(string(bytes.TrimSpace(rest)))
			if err != nil {
				return burdockyard.Token{}, merry.Prepend(burdockyard.ErrInterrupted, "event id is not a token index")
			}
			s.index = n
			continue
		}
		rest, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		rest = bytes.TrimSpace(rest)
		if bytes.Equal(rest, doneData) {
			return burdockyard.Token{}, io.EOF
		}
		return s.parseToken(rest)
	}
	return burdockyard.Token{}, merry.Prepend(burdockyard.ErrInterrupted, "the engine's stream ended without [DONE]")
}

func (s *stream) parseToken(data []byte) (burdockyard.Token, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) == 0 {
		return burdockyard.Token{}, merry.Prepend(burdockyard.ErrInterrupted, "event data is not a completion chunk")
	}
	if c.ID != string(s.id) {
		return burdockyard.Token{}, merry.Prependf(burdockyard.ErrRequestMismatch, "event of request %s has request id %s", s.id, c.ID)
	}
	choice := c.Choices[0]
	return burdockyard.Token{
		Index: s.index, Text: choice.Text + choice.Delta.Content, FinishReason: choice.FinishReason,
	}, nil
}
