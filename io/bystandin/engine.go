package bystandin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/byroute"
	"burdockyard/io/byemu"
	"burdockyard/io/bywire"
)

const (
	// finishedRetention is how long a finished completion can still be resumed.
	finishedRetention = 2 * time.Minute
	// weightDownloadTimeout limits the download of a model's weights.
	weightDownloadTimeout = 5 * time.Minute
)

// EngineConfig configures the emulated engine, its latencies and its faults.
type EngineConfig struct {
	Emulation         byemu.Config
	EnforcesFencing   bool          // refuse orders whose fencing number is lower than that of the last order
	RoleChangeDelay   time.Duration // how long the engine is unavailable during a role or model change
	ReportLag         time.Duration // minimum age of a served report; until one is that old, the oldest is served
	DropEveryNthEvent int           // n drops every n-th cache event; 0 drops none
	WeightStoreURL    string        // base URL of the weight store; empty skips the download
}

// completion is a completion that is in progress or finished.
type completion struct {
	stream     *byemu.Stream
	generator  *byemu.TokenGenerator
	isChat     bool
	firstIndex int // index of tokens[0] in the whole answer
	tokens     []string
	finishedAt time.Time
	canceled   bool
	changed    chan struct{} // closed and replaced at each new token and at cancellation
}

// Engine is an HTTP server in front of an emulated model engine. mu guards the
// fields declared after it and is not held while the batching loop sleeps.
type Engine struct {
	cfg         EngineConfig
	incarnation burdockyard.Incarnation
	mux         *http.ServeMux
	wake        chan struct{}
	done        chan struct{}

	mu              sync.Mutex
	emulator        *byemu.Engine
	completions     map[string]*completion
	state           burdockyard.EngineState
	lastFencing     uint64
	orders          []burdockyard.Order // accepted orders, oldest first
	changing        bool
	reports         []timedReport
	pendingEvents   []byemu.CacheEvent
	cacheEventsSeen int
}

// timedReport is an engine report and the time at which it was taken.
type timedReport struct {
	at     time.Time
	report burdockyard.EngineReport
}

// NewEngine returns an idle engine. It generates tokens only while Run runs.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{
		cfg: cfg, incarnation: burdockyard.NewIncarnation(), mux: http.NewServeMux(),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
		emulator: byemu.New(cfg.Emulation), completions: map[string]*completion{},
		state: burdockyard.EngineState{Role: cfg.Emulation.Role, Serving: true},
	}
	e.mux.HandleFunc("POST /v1/completions", e.handleCompletion(false))
	e.mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion(true))
	e.mux.HandleFunc("GET /v1/streams/{id}", e.handleResume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.handleCancel)
	e.mux.HandleFunc("GET /v1/report", e.handleReport)
	e.mux.HandleFunc("POST /v1/orders", e.handleOrder)
	e.mux.HandleFunc("GET /v1/cache/events", e.handleCacheEvents)
	e.mux.HandleFunc("GET /v1/kv/export", e.handleExportKV)
	e.mux.HandleFunc("POST /v1/kv/import", e.handleImportKV)
	e.mux.HandleFunc("GET /admin/orders", e.handleListOrders)
	e.mux.HandleFunc("POST /admin/slow", e.handleSlow)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Done is closed once Run has returned.
func (e *Engine) Done() <-chan struct{} { return e.done }

// Run runs the batching loop until ctx ends and then returns nil. It must be
// called only once.
func (e *Engine) Run(ctx context.Context) error {
	defer close(e.done)
	for {
		d, produced := e.iterate()
		if d == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case <-time.After(d):
			e.appendTokens(produced)
		case <-ctx.Done():
			return nil
		}
	}
}

// iterate starts an iteration of the emulated engine and returns its duration and
// the streams that gain a token. The duration is 0 while there is nothing to do
// or the engine is changing its role or model.
func (e *Engine) iterate() (time.Duration, []*byemu.Stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changing {
		return 0, nil
	}
	return e.emulator.Iterate()
}

// appendTokens generates the next token of each stream that was not canceled.
func (e *Engine) appendTokens(produced []*byemu.Stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range produced {
		if c, ok := e.completions[s.ID]; ok && !c.canceled {
			e.appendToken(c, s)
		}
	}
	e.expireAndQueueEvents()
}

// appendToken appends the next token to c and notifies its readers. The caller
// holds mu.
func (e *Engine) appendToken(c *completion, s *byemu.Stream) {
	c.tokens = append(c.tokens, c.generator.Next())
	if s.Done() {
		c.finishedAt = time.Now()
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// expireAndQueueEvents deletes completions that finished more than
// finishedRetention ago and queues new cache events, except those that the
// configuration drops. The caller holds mu.
func (e *Engine) expireAndQueueEvents() {
	for id, c := range e.completions {
		if !c.finishedAt.IsZero() && time.Since(c.finishedAt) > finishedRetention {
			delete(e.completions, id)
		}
	}
	for _, ev := range e.emulator.TakeCacheEvents() {
		e.cacheEventsSeen++
		if e.cfg.DropEveryNthEvent == 0 || e.cacheEventsSeen%e.cfg.DropEveryNthEvent != 0 {
			e.pendingEvents = append(e.pendingEvents, ev)
		}
	}
}

// wakeLoop makes an idle batching loop check for work. It never blocks.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// CompletionRequest holds the fields of an OpenAI-style completion or chat request
// that the stand-in reads.
type CompletionRequest struct {
	Model                string    `json:"model"`
	Prompt               string    `json:"prompt"`
	Messages             []Message `json:"messages"`
	MaxTokens            int       `json:"max_tokens"`
	ContinueFinalMessage bool      `json:"continue_final_message"`
}

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Text returns the text that the emulated model continues: the prompt, then the
// messages, then the start of an assistant message unless the request continues
// the final message.
func (r CompletionRequest) Text() string {
	text := r.Prompt
	for _, m := range r.Messages {
		text += "\n" + m.Role + ":" + m.Content
	}
	if len(r.Messages) > 0 && !r.ContinueFinalMessage {
		text += "\nassistant:"
	}
	return text
}

// handleCompletion returns the handler for chat or plain completions. If the engine
// does not start the completion, the response carries bywire.HeaderNotRun.
func (e *Engine) handleCompletion(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, err := bywire.ReadJSON[CompletionRequest](r.Body)
		if err != nil || req.MaxTokens <= 0 {
			http.Error(w, "a completion needs JSON with max_tokens", http.StatusBadRequest)
			return
		}
		id := r.Header.Get(bywire.HeaderRequestID)
		priority, _ := strconv.Atoi(r.Header.Get(bywire.HeaderPriority))
		first, _ := strconv.Atoi(r.Header.Get(bywire.HeaderFirstIndex))
		c, ok := e.startCompletion(id, req, chat, priority, first)
		if !ok {
			w.Header().Set(bywire.HeaderNotRun, "1")
			http.Error(w, "not serving", http.StatusServiceUnavailable)
			return
		}
		e.streamTokens(w, r, id, c, first)
	}
}

// startCompletion queues a new completion. It returns false if the engine accepts
// no new work or already has a completion with this ID.
func (e *Engine) startCompletion(id string, req CompletionRequest, chat bool, priority, first int) (*completion, bool) {
	text := req.Text()
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.completions[id]; known || !e.state.Serving || e.changing {
		return nil, false
	}
	s := &byemu.Stream{
		ID: id, PromptTokens: byroute.EstimateTokens(len(text)), PrefixHashes: byroute.PrefixHashes(text),
		OutputTokens: req.MaxTokens, Priority: priority,
	}
	c := &completion{stream: s, generator: byemu.NewTokenGenerator(text), isChat: chat, firstIndex: first, changed: make(chan struct{})}
	e.completions[id] = c
	e.emulator.Add(s)
	e.wakeLoop()
	return c, true
}

// handleResume streams a known completion from the token index in the query
// parameter from.
func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	c, ok := e.completions[id]
	e.mu.Unlock()
	if err != nil || !ok || c.canceled || from < c.firstIndex {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.streamTokens(w, r, id, c, from)
}

// streamTokens streams the tokens of c, from index from on, as server-sent events
// until the completion ends or is canceled or the client disconnects.
func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, id string, c *completion, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(bywire.HeaderRequestID, id)
	w.Header().Set(bywire.HeaderEngineIncarnation, string(e.incarnation))
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	if err := flusher.Flush(); err != nil {
		return
	}
	for {
		e.mu.Lock()
		tokens := c.tokens[min(from-c.firstIndex, len(c.tokens)):]
		ended := !c.finishedAt.IsZero()
		canceled := c.canceled
		changed := c.changed
		e.mu.Unlock()
		for i, text := range tokens {
			last := ended && i == len(tokens)-1
			writeEvent(w, id, from+i, text, c.isChat, last)
		}
		from += len(tokens)
		if ended {
			_, _ = io.WriteString(w, "data: [DONE]\n\n") // fails only if the client has disconnected
		}
		if err := flusher.Flush(); err != nil || ended || canceled {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// handleCancel stops an unfinished completion and deletes it; a finished one is
// left as it is.
func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.completions[r.PathValue("id")]
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	if c.finishedAt.IsZero() && !c.canceled {
		c.canceled = true
		e.emulator.Remove(c.stream.ID)
		close(c.changed)
		c.changed = make(chan struct{})
		delete(e.completions, c.stream.ID)
	}
	bywire.WriteJSON(w, http.StatusOK, e.currentReport())
}

// handleSlow sets the factor by which iterations take longer.
func (e *Engine) handleSlow(w http.ResponseWriter, r *http.Request) {
	factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
	if err != nil || factor <= 0 {
		http.Error(w, "factor must be a positive number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.emulator.SetSlowdown(factor)
}
