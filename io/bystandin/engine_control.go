package bystandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"burdockyard"
	"burdockyard/io/bywire"
)

// reportInterval is the minimum interval between two reports that an engine takes.
const reportInterval = 250 * time.Millisecond

// writeEvent writes one token as a server-sent event in the format of OpenAI's
// completion or chat API. The event ID is the token's index.
func writeEvent(w io.Writer, id string, index int, text string, chat, last bool) {
	quoted, err := json.Marshal(text)
	if err != nil {
		return
	}
	finish := "null"
	if last {
		finish = `"length"`
	}
	content, object := `"text":`+string(quoted), "text_completion"
	if chat {
		content, object = `"delta":{"content":`+string(quoted)+`}`, "chat.completion.chunk"
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":%q,\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}]}\n\n",
		index, id, object, content, finish) // fails only if the client has disconnected
}

// currentReport returns a report of the current state. The caller holds mu.
func (e *Engine) currentReport() burdockyard.EngineReport {
	r := burdockyard.EngineReport{
		Incarnation: e.incarnation, State: e.state, Changing: e.changing,
		PrefillTokens: e.emulator.PendingPrefillTokens(), Streams: e.emulator.StreamCount(),
	}
	if n := len(e.orders); n > 0 {
		r.LastOrder = e.orders[n-1].ID
	}
	return r
}

// handleReport serves the newest report that is at least ReportLag old, or the oldest
// one if none is.
func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if n := len(e.reports); n == 0 || now.Sub(e.reports[n-1].at) >= reportInterval {
		e.reports = append(e.reports, timedReport{at: now, report: e.currentReport()})
	}
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
	bywire.WriteJSON(w, http.StatusOK, e.reports[0].report)
}

// handleOrder accepts an order to change the engine's state. A repetition of the
// last order is acknowledged again but not applied. With EnforcesFencing set, an order whose
// fencing number is lower than the last one is refused.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	o, err := bywire.ReadJSON[burdockyard.Order](r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.EnforcesFencing && o.Fencing < e.lastFencing {
		http.Error(w, "stale fencing number", http.StatusConflict)
		return
	}
	e.lastFencing = o.Fencing
	if n := len(e.orders); n == 0 || e.orders[n-1].ID != o.ID {
		e.applyOrder(o)
	}
	bywire.WriteJSON(w, http.StatusOK, e.currentReport())
}

// applyOrder records an order and adopts its state. If the engine already has a
// model, a new model, version or role makes it unavailable for the configured time
// and, for a new model or version, while the weights are downloaded. The caller
// holds mu.
func (e *Engine) applyOrder(o burdockyard.Order) {
	e.orders = append(e.orders, o)
	old := e.state
	e.state = o.State
	e.emulator.SetRole(o.State.Role)
	newWeights := old.Model != o.State.Model || old.Version != o.State.Version
	if (newWeights || old.Role != o.State.Role) && old.Model != "" {
		e.changing = true
		time.AfterFunc(e.cfg.RoleChangeDelay, func() { e.finishChange(newWeights) })
	}
}

// finishChange ends a role or model change, after downloading the weights if
// newWeights is set.
func (e *Engine) finishChange(newWeights bool) {
	if newWeights {
		e.downloadWeights()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changing = false
	e.wakeLoop()
}

// downloadWeights downloads the model's weights and discards them. Errors are
// ignored: an engine whose weight store is down continues with the weights it has.
func (e *Engine) downloadWeights() {
	if e.cfg.WeightStoreURL == "" {
		return
	}
	e.mu.Lock()
	url := e.cfg.WeightStoreURL + "/v1/weights/" + e.state.Model + "/" + e.state.Version
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), weightDownloadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // an incomplete download makes no difference to the stand-in
}

func (e *Engine) handleListOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	bywire.WriteJSON(w, http.StatusOK, e.orders)
}

// handleCacheEvents serves the cache events since the last call. They are queued only
// after an iteration, so they come late, and dropped events leave gaps.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := e.pendingEvents
	e.pendingEvents = nil
	bywire.WriteJSON(w, http.StatusOK, events)
}

// kvBlocks is the JSON form of exported cache blocks. The stand-in transfers the
// hashes of the blocks instead of their content.
type kvBlocks struct {
	Pieces []uint64 `json:"pieces"`
}

// importRequest asks an engine to fetch the cache blocks of another engine.
type importRequest struct {
	From string `json:"from"` // host:port of the other engine
}

func (e *Engine) handleExportKV(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	bywire.WriteJSON(w, http.StatusOK, kvBlocks{Pieces: e.emulator.CachedBlocks()})
}

// handleImportKV fetches the cache blocks of another engine into this engine's cache.
func (e *Engine) handleImportKV(w http.ResponseWriter, r *http.Request) {
	req, err := bywire.ReadJSON[importRequest](r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	blocks, err := fetchBlocks(r.Context(), req.From)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.emulator.ImportBlocks(blocks.Pieces)
	bywire.WriteJSON(w, http.StatusOK, e.currentReport())
}

func fetchBlocks(ctx context.Context, from string) (kvBlocks, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+"/v1/kv/export", nil)
	if err != nil {
		return kvBlocks{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return kvBlocks{}, err
	}
	defer resp.Body.Close()
	return bywire.ReadJSON[kvBlocks](resp.Body)
}
