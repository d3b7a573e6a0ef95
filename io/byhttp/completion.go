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

// defaultMaxTokens is the output limit of a request that sets no max_tokens.
const defaultMaxTokens = 256

// message is one message of a chat request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is a caller's request. Fields that the node does not know
// are forwarded to the engine unchanged.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Delivered string    `json:"delivered"` // text that a resuming caller has already received

	chat   bool
	fields map[string]json.RawMessage
}

func readCompletion(r *http.Request, chat bool) (completionRequest, error) {
	req := completionRequest{chat: chat}
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, bywire.MaxBodyBytes))
	if err != nil {
		return req, invalidRequest("the body could not be read: " + err.Error())
	}
	if err := json.Unmarshal(data, &req); err != nil {
		return req, invalidRequest("the body is not a completion request: " + err.Error())
	}
	if err := json.Unmarshal(data, &req.fields); err != nil {
		return req, invalidRequest("the body is not a JSON object: " + err.Error())
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	return req, req.validate()
}

func (req completionRequest) validate() error {
	switch {
	case req.Model == "":
		return invalidRequest("the request names no model; set model")
	case req.MaxTokens < 0:
		return invalidRequest("max_tokens is negative; leave it out or set it above 0")
	case req.chat && len(req.Messages) == 0:
		return invalidRequest("the request has no messages; set messages")
	case !req.chat && req.Prompt == "":
		return invalidRequest("the request has no prompt; set prompt")
	default:
		return nil
	}
}

// promptText returns the text that the model reads. It is used to estimate the
// token count and to compute prefix hashes.
func (req completionRequest) promptText() string {
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

// engineBody encodes the request for an engine that continues after the text
// delivered. For a chat, that text is sent as a last assistant message, which
// continue_final_message tells the engine to extend.
func (req completionRequest) engineBody(delivered string, tokens int) ([]byte, error) {
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

func (h *Handler) completion(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		req, err := readCompletion(r, chat)
		if err != nil {
			h.writeError(w, r, err)
			return
		}
		caller, ctx, cancel, err := h.identify(r)
		if err != nil {
			h.writeError(w, r, err)
			return
		}
		defer cancel()
		call, err := h.newCall(r, req, caller)
		if err != nil {
			h.writeError(w, r, err)
			return
		}
		out := h.newCompletionWriter(w, req, caller, call.ID, start)
		if err := h.config.Server.Generate(ctx, call, out); err != nil {
			h.finishWithError(w, r, out, err)
			return
		}
		out.finish()
		h.config.Metrics.ResponseTime(caller.tenant, caller.class.Name).Update(time.Since(start).Seconds())
	}
}

func (h *Handler) newCall(r *http.Request, req completionRequest, caller callerInfo) (byserve.Call, error) {
	engines := h.config.Manifest().ModelEngines(req.Model)
	if len(engines) == 0 {
		return byserve.Call{}, burdockyard.NewCallError(burdockyard.OutcomeInvalid,
			"no model "+strconv.Quote(req.Model)+" is served; correct model", burdockyard.WithStatus(404))
	}
	text := req.promptText()
	work := byroute.Work{
		PromptTokens: byroute.EstimateTokens(len(text)), OutputTokens: req.MaxTokens, PrefixHashes: byroute.PrefixHashes(text),
	}
	if err := checkPromptLength(work, engines[0].Model()); err != nil {
		return byserve.Call{}, err
	}
	call := byserve.Call{
		ID: requestID(r), Tenant: caller.tenant, Class: caller.class, TenantWeight: caller.weight, MaxOpenCalls: caller.maxOpenCalls,
		Model: req.Model, Chat: req.chat, Work: work, EncodeBody: req.engineBody, DeliveredText: req.Delivered,
	}
	if token := r.Header.Get(bywire.HeaderLastEventID); token != "" {
		position, err := h.config.Signer.Verify(token)
		if err != nil || position.Tenant != caller.tenant {
			return call, invalidRequest("the " + bywire.HeaderLastEventID + " header is not a resume token of this tenant; call again without it")
		}
		call.ResumeAt = &position
	}
	return call, nil
}

func checkPromptLength(w byroute.Work, m bymanifest.ModelSpec) error {
	if w.PromptTokens > m.MaxPrompt {
		return invalidRequest("the prompt has about " + strconv.Itoa(w.PromptTokens) + " tokens; model " + m.Name + " takes " + strconv.Itoa(m.MaxPrompt))
	}
	return nil
}

// finishWithError reports a failed call: as an error response if nothing was
// written yet, otherwise as an error event of the stream.
func (h *Handler) finishWithError(w http.ResponseWriter, r *http.Request, out *completionWriter, err error) {
	if !out.headerWritten {
		h.writeError(w, r, err)
		return
	}
	body, _ := h.recordError(r, err)
	out.writeErrorEvent(body)
}

// completionWriter writes the tokens of one completion, either as server-sent
// events or, at the end, as a single JSON response. It is used by one goroutine.
type completionWriter struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	signer        *bystream.TokenSigner
	id            burdockyard.RequestID
	chat          bool
	stream        bool
	headerWritten bool // whether the status and headers are sent
	text          strings.Builder
	tokens        int
	finishReason  string
	buf           []byte
	lastTokenAt   time.Time
	latency       latencyHistograms
}

// latencyHistograms are the token latency histograms for one call's tenant and
// class.
type latencyHistograms struct {
	firstToken, betweenTokens interface{ Update(float64) }
}

func (h *Handler) newCompletionWriter(w http.ResponseWriter, req completionRequest, caller callerInfo, id burdockyard.RequestID, start time.Time) *completionWriter {
	return &completionWriter{
		w: w, controller: http.NewResponseController(w), signer: h.config.Signer, id: id,
		chat: req.chat, stream: req.Stream, lastTokenAt: start, latency: newLatencyHistograms(h.config.Metrics, caller),
	}
}

func newLatencyHistograms(m *bymetrics.Metrics, caller callerInfo) latencyHistograms {
	return latencyHistograms{
		firstToken:    m.TimeToFirstToken(caller.tenant, caller.class.Name),
		betweenTokens: m.InterTokenLatency(caller.tenant, caller.class.Name),
	}
}

// Token implements byserve.Sink.
func (cw *completionWriter) Token(t burdockyard.Token, next bystream.Position) error {
	cw.recordLatency()
	cw.tokens++
	cw.finishReason = t.FinishReason
	if !cw.stream {
		cw.text.WriteString(t.Text)
		return nil
	}
	cw.writeHeader()
	cw.buf = cw.appendEvent(cw.buf[:0], t, next)
	if _, err := cw.w.Write(cw.buf); err != nil {
		return err
	}
	return cw.controller.Flush()
}

func (cw *completionWriter) recordLatency() {
	now := time.Now()
	h := cw.latency.betweenTokens
	if cw.tokens == 0 {
		h = cw.latency.firstToken
	}
	h.Update(now.Sub(cw.lastTokenAt).Seconds())
	cw.lastTokenAt = now
}

func (cw *completionWriter) writeHeader() {
	if cw.headerWritten {
		return
	}
	cw.headerWritten = true
	cw.w.Header().Set("Content-Type", "text/event-stream")
	cw.w.Header().Set("Cache-Control", "no-cache")
	cw.w.WriteHeader(http.StatusOK)
}

func (cw *completionWriter) appendEvent(b []byte, t burdockyard.Token, next bystream.Position) []byte {
	b = append(b, "id: "...)
	b = cw.signer.AppendToken(b, next)
	b = append(b, "\ndata: "...)
	b = cw.appendChunk(b, t)
	return append(b, "\n\n"...)
}

func (cw *completionWriter) appendChunk(b []byte, t burdockyard.Token) []byte {
	b = append(b, `{"id":"`...)
	b = append(b, cw.id...)
	if cw.chat {
		b = append(b, `","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":`...)
		b = appendString(b, t.Text)
		b = append(b, '}')
	} else {
		b = append(b, `","object":"text_completion","choices":[{"index":0,"text":`...)
		b = appendString(b, t.Text)
	}
	b = append(b, `,"finish_reason":`...)
	if t.FinishReason == "" {
		b = append(b, "null"...)
	} else {
		b = appendString(b, t.FinishReason)
	}
	return append(b, "}]}"...)
}

// appendString appends s as a JSON string. Printable ASCII without quotes or
// backslashes, as most tokens are, is appended without calling the encoder.
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

// finish ends a successful response: it writes the final event of a stream, or
// the JSON response.
func (cw *completionWriter) finish() {
	if cw.stream {
		cw.writeHeader()
		cw.writeRaw("data: [DONE]\n\n")
		return
	}
	choice := map[string]any{"index": 0, "finish_reason": cw.finishReason, "text": cw.text.String()}
	object := "text_completion"
	if cw.chat {
		delete(choice, "text")
		choice["message"] = message{Role: "assistant", Content: cw.text.String()}
		object = "chat.completion"
	}
	bywire.WriteJSON(cw.w, http.StatusOK, map[string]any{
		"id": cw.id, "object": object, "choices": []any{choice},
		"usage": map[string]int{"completion_tokens": cw.tokens},
	})
}

// writeErrorEvent ends an interrupted stream with an error event.
func (cw *completionWriter) writeErrorEvent(body ErrorBody) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	cw.writeRaw("event: error\ndata: " + string(data) + "\n\n")
}

func (cw *completionWriter) writeRaw(text string) {
	_, _ = io.WriteString(cw.w, text) // fails only if the caller has disconnected
	_ = cw.controller.Flush()
}
