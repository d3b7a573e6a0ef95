package bycall

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard/io/byhttp"
	"burdockyard/io/bywire"
)

// errInterrupted means that a stream ended before the completion was complete.
var errInterrupted = merry.Sentinel("the answer was cut")

// maxLineBytes is the longest line of an event that is read.
const maxLineBytes = 1 << 20

// CompletionRequest holds the parameters of a completion.
type CompletionRequest struct {
	Model     string
	Prompt    string
	MaxTokens int
	Deadline  time.Duration // 0 uses the deadline of the class
}

// CompletionResult is the result of a completion request.
type CompletionResult struct {
	Text              string
	Tokens            int
	Resumes           int           // number of interrupted streams
	FirstTokenLatency time.Duration // from the start of the call to the first token
	TotalLatency      time.Duration // from the start of the call to its end
}

// completionBody is the JSON body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Delivered string `json:"delivered,omitempty"`
}

// event is the data of a server-sent event, either a completion chunk or an
// error.
type event struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error byhttp.ErrorDetail `json:"error"`
}

// completionReader collects a completion across interruptions.
type completionReader struct {
	start    time.Time
	result   CompletionResult
	text     strings.Builder
	lastID   string
	finished bool
	onToken  func(string)
}

// Complete requests a completion and waits until it is complete. onToken, if not
// nil, is called with the text of each token as it arrives. If it
// returns an error, the result holds what arrived before it.
func (c *Client) Complete(ctx context.Context, req CompletionRequest, onToken func(string)) (CompletionResult, error) {
	if onToken == nil {
		onToken = func(string) {}
	}
	r := &completionReader{start: time.Now(), onToken: onToken}
	err := retry(ctx, func() error { return c.completeOnce(ctx, req, r) })
	r.result.Text = r.text.String()
	r.result.TotalLatency = time.Since(r.start)
	return r.result, err
}

// completeOnce makes one attempt, which resumes after the last token received, if
// there is any.
func (c *Client) completeOnce(ctx context.Context, req CompletionRequest, r *completionReader) error {
	body := mustMarshal(completionBody{
		Model: req.Model, Prompt: req.Prompt, MaxTokens: req.MaxTokens, Stream: true, Delivered: r.text.String(),
	})
	header := map[string]string{bywire.HeaderLastEventID: r.lastID}
	if req.Deadline > 0 {
		header[bywire.HeaderDeadlineMillis] = milliseconds(req.Deadline)
	}
	resp, addr, err := c.send(ctx, http.MethodPost, "/v1/completions", body, header)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return callError(resp)
	}
	err = r.read(resp)
	if errors.Is(err, errInterrupted) {
		r.result.Resumes++
		c.forgetAddress(addr)
	}
	return err
}

func (r *completionReader) read(resp *http.Response) error {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	var id string
	for lines.Scan() {
		line := lines.Text()
		if rest, ok := strings.CutPrefix(line, "id: "); ok {
			id = rest
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" && r.finished {
			return nil
		}
		if err := r.addEvent(id, data); err != nil {
			return err
		}
	}
	return errInterrupted
}

// addEvent adds one event to the completion.
func (r *completionReader) addEvent(id, data string) error {
	var e event
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return errInterrupted
	}
	if e.Error.Type != "" {
		return &CallError{Detail: e.Error}
	}
	if len(e.Choices) == 0 {
		return errInterrupted
	}
	if r.result.Tokens == 0 {
		r.result.FirstTokenLatency = time.Since(r.start)
	}
	r.result.Tokens++
	r.lastID = id
	r.text.WriteString(e.Choices[0].Text)
	r.finished = e.Choices[0].FinishReason != ""
	r.onToken(e.Choices[0].Text)
	return nil
}
