package byhttp

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/core/bymanifest"
	"burdockyard/core/byroute"
	"burdockyard/core/byserve"
	"burdockyard/core/bystream"
	"burdockyard/io/bymetrics"
	"burdockyard/io/bywire"
)

// defaultMaxTokens is the length of an answer whose request names none.
const defaultMaxTokens = 256

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is a caller's request. Fields that the node does not know
// are handed on to the engine as they are.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Delivered string    `json:"delivered"` // text that a resuming caller has already

	chat   bool
	fields map[string]json.RawMessage
}

func readCompletion(r *http.Request, chat bool) (completionRequest, error) {
	req := completionRequest{chat: chat}
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, bywire.MaxBody))
	if err != nil {
		return req, invalid("the body could not be read: " + err.Error())
	}
	if err := json.Unmarshal(data, &req); err != nil {
		return req, invalid("the body is not a completion request: " + err.Error())
	}
	if err := json.Unmarshal(data, &req.fields); err != nil {
		return req, invalid("the body is not a JSON object: " + err.Error())
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	return req, req.check()
}

func (req completionRequest) check() error {
	switch {
	case req.Model == "":
		return invalid("the request names no model; set model")
	case req.MaxTokens < 0:
		return invalid("max_tokens is negative; leave it out or set it above 0")
	case req.chat && len(req.Messages) == 0:
		return invalid("the request has no messages; set messages")
	case !req.chat && req.Prompt == "":
		return invalid("the request has no prompt; set prompt")
	default:
		return nil
	}
}

// text returns what the model reads, for counting tokens and prefixes.
func (req completionRequest) text() string {
	if !req.chat {
		return req.Prompt
	}
	var b strings.Builder
	for _, m := range req.Messages {
		b.WriteString("\n" + m.Role + ":" + m.Content)
	}
	b.WriteString("\nassistant:")
	return b.String()
}

// body encodes the request for an engine, going on after delivered. A chat goes
// on with its last message, as continue_final_message asks.
func (req completionRequest) body(delivered string, tokens int) ([]byte, error) {
	out := make(map[string]any, len(req.fields)+2)
	for name, value := range req.fields {
		out[name] = value
	}
	delete(out, "delivered")
	out["stream"] = true
	out["max_tokens"] = tokens
	switch {
	case delivered == "":
	case req.chat:
		out["messages"] = append(append([]message(nil), req.Messages...), message{Role: "assistant", Content: delivered})
		out["continue_final_message"] = true
	default:
		out["prompt"] = req.Prompt + delivered
	}
	data, err := json.Marshal(out)
	return data, merry.Prepend(err, "encoding the request")
}

func (s *Surface) completion(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		req, err := readCompletion(r, chat)
		if err != nil {
			s.fail(w, r, err)
			return
		}
		who, ctx, cancel, err := s.identify(r)
		if err != nil {
			s.fail(w, r, err)
			return
		}
		defer cancel()
		call, err := s.call(r, req, who)
		if err != nil {
			s.fail(w, r, err)
			return
		}
		out := s.newAnswer(w, req, who, call.ID, began)
		if err := s.parts.Server.Generate(ctx, call, out); err != nil {
			s.endWithError(w, r, out, err)
			return
		}
		out.end()
		s.parts.Metrics.Whole(who.tenant, who.class.Name).Update(time.Since(began).Seconds())
	}
}

func (s *Surface) call(r *http.Request, req completionRequest, who caller) (byserve.Call, error) {
	engines := s.parts.Manifest().ModelEngines(req.Model)
	if len(engines) == 0 {
		return byserve.Call{}, burdockyard.NewCallError(burdockyard.Invalid,
			"no model "+strconv.Quote(req.Model)+" is served; correct model", burdockyard.WithStatus(404))
	}
	text := req.text()
	work := byroute.Work{
		PromptTokens: byroute.CountTokens(len(text)), OutputTokens: req.MaxTokens, Prefix: byroute.PrefixHashes(text),
	}
	if err := fitsModel(work, engines[0].Model()); err != nil {
		return byserve.Call{}, err
	}
	call := byserve.Call{
		ID: requestID(r), Tenant: who.tenant, Class: who.class, Weight: who.weight, Limit: who.limit,
		Model: req.Model, Chat: req.chat, Work: work, Body: req.body, Delivered: req.Delivered,
	}
	if token := r.Header.Get(bywire.HeaderLastEventID); token != "" {
		at, err := s.parts.Sealer.Open(token)
		if err != nil || at.Tenant != who.tenant {
			return call, invalid("the " + bywire.HeaderLastEventID + " header is not a resume token of this tenant; call again without it")
		}
		call.Resume = &at
	}
	return call, nil
}

func fitsModel(w byroute.Work, m bymanifest.ModelSpec) error {
	if w.PromptTokens > m.MaxPrompt {
		return invalid("the prompt has about " + strconv.Itoa(w.PromptTokens) + " tokens; model " + m.Name + " takes " + strconv.Itoa(m.MaxPrompt))
	}
	return nil
}

// endWithError gives the final answer of a call that failed: as a whole answer
// if nothing was written yet, else as an event.
func (s *Surface) endWithError(w http.ResponseWriter, r *http.Request, out *answer, err error) {
	if !out.begun {
		s.fail(w, r, err)
		return
	}
	body, _ := s.detail(r, err)
	out.endWith(body)
}

// answer writes the tokens of one answer, as events or whole.
type answer struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	sealer  *bystream.Sealer
	id      burdockyard.RequestID
	chat    bool
	stream  bool
	begun   bool // the status is written
	text    strings.Builder
	tokens  int
	finish  string
	buf     []byte
	last    time.Time
	metrics timings
}

// timings are the histograms of one call.
type timings struct {
	first, between interface{ Update(float64) }
}

func (s *Surface) newAnswer(w http.ResponseWriter, req completionRequest, who caller, id burdockyard.RequestID, began time.Time) *answer {
	return &answer{
		w: w, flush: http.NewResponseController(w), sealer: s.parts.Sealer, id: id,
		chat: req.chat, stream: req.Stream, last: began, metrics: timingsOf(s.parts.Metrics, who),
	}
}

func timingsOf(m *bymetrics.Metrics, who caller) timings {
	return timings{
		first:   m.FirstToken(who.tenant, who.class.Name),
		between: m.BetweenTokens(who.tenant, who.class.Name),
	}
}

// Token implements byserve.Sink.
func (a *answer) Token(t burdockyard.Token, next bystream.Position) error {
	a.time()
	a.tokens++
	a.finish = t.Finish
	if !a.stream {
		a.text.WriteString(t.Text)
		return nil
	}
	a.begin()
	a.buf = a.appendEvent(a.buf[:0], t, next)
	if _, err := a.w.Write(a.buf); err != nil {
		return err
	}
	return a.flush.Flush()
}

func (a *answer) time() {
	now := time.Now()
	h := a.metrics.between
	if a.tokens == 0 {
		h = a.metrics.first
	}
	h.Update(now.Sub(a.last).Seconds())
	a.last = now
}

func (a *answer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-cache")
	a.w.WriteHeader(http.StatusOK)
}

func (a *answer) appendEvent(b []byte, t burdockyard.Token, next bystream.Position) []byte {
	b = append(b, "id: "...)
	b = a.sealer.AppendSeal(b, next)
	b = append(b, "\ndata: "...)
	b = a.appendChunk(b, t)
	return append(b, "\n\n"...)
}

func (a *answer) appendChunk(b []byte, t burdockyard.Token) []byte {
	b = append(b, `{"id":"`...)
	b = append(b, a.id...)
	if a.chat {
		b = append(b, `","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":`...)
		b = appendString(b, t.Text)
		b = append(b, '}')
	} else {
		b = append(b, `","object":"text_completion","choices":[{"index":0,"text":`...)
		b = appendString(b, t.Text)
	}
	b = append(b, `,"finish_reason":`...)
	if t.Finish == "" {
		b = append(b, "null"...)
	} else {
		b = appendString(b, t.Finish)
	}
	return append(b, "}]}"...)
}

// appendString appends a JSON string. Plain text, which most tokens are, needs
// no encoder.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, err := json.Marshal(s)
			if err != nil {
				return append(b, `""`...)
			}
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// end closes a whole answer.
func (a *answer) end() {
	if a.stream {
		a.begin()
		a.writeRaw("data: [DONE]\n\n")
		return
	}
	choice := map[string]any{"index": 0, "finish_reason": a.finish, "text": a.text.String()}
	object := "text_completion"
	if a.chat {
		delete(choice, "text")
		choice["message"] = message{Role: "assistant", Content: a.text.String()}
		object = "chat.completion"
	}
	bywire.WriteJSON(a.w, http.StatusOK, map[string]any{
		"id": a.id, "object": object, "choices": []any{choice},
		"usage": map[string]int{"completion_tokens": a.tokens},
	})
}

// endWith closes a stream that broke off with its error.
func (a *answer) endWith(body ErrorBody) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	a.writeRaw("event: error\ndata: " + string(data) + "\n\n")
}

func (a *answer) writeRaw(text string) {
	_, _ = io.WriteString(a.w, text) // the caller is gone if this fails
	_ = a.flush.Flush()
}
