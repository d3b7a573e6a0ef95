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

// reportEvery is how often an engine renews its report.
const reportEvery = 250 * time.Millisecond

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
		index, id, object, content, finish) // the reader is gone if this fails
}

func (e *Engine) currentReport() burdockyard.EngineReport {
	r := burdockyard.EngineReport{
		Incarnation: e.inc, State: e.state, Changing: e.changing,
		PrefillTokens: e.emu.PrefillTokens(), Streams: e.emu.Streams(),
	}
	if n := len(e.orders); n > 0 {
		r.LastOrder = e.orders[n-1].ID
	}
	return r
}

// getReport returns the engine's report as it was some time ago.
func (e *Engine) getReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if n := len(e.reports); n == 0 || now.Sub(e.reports[n-1].at) >= reportEvery {
		e.reports = append(e.reports, timedReport{at: now, report: e.currentReport()})
	}
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
	bywire.WriteJSON(w, http.StatusOK, e.reports[0].report)
}

// order takes a state to reach. The same order again is answered as before.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	o, err := bywire.ReadJSON[burdockyard.Order](r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fencing && o.Fencing < e.fencing {
		http.Error(w, "stale fencing number", http.StatusConflict)
		return
	}
	e.fencing = o.Fencing
	if n := len(e.orders); n == 0 || e.orders[n-1].ID != o.ID {
		e.apply(o)
	}
	bywire.WriteJSON(w, http.StatusOK, e.currentReport())
}

// apply takes an order's state. A new model or role takes the engine away.
func (e *Engine) apply(o burdockyard.Order) {
	e.orders = append(e.orders, o)
	old := e.state
	e.state = o.State
	e.emu.SetRole(o.State.Role)
	load := old.Model != o.State.Model || old.Version != o.State.Version
	if (load || old.Role != o.State.Role) && old.Model != "" {
		e.changing = true
		time.AfterFunc(e.cfg.RoleChange, func() { e.finishChange(load) })
	}
}

func (e *Engine) finishChange(load bool) {
	if load {
		e.fetchWeights()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changing = false
	e.wakeLoop()
}

// fetchWeights reads the model from the weight store; an engine whose store is
// down goes on with what it has.
func (e *Engine) fetchWeights() {
	if e.cfg.WeightSource == "" {
		return
	}
	e.mu.Lock()
	url := e.cfg.WeightSource + "/v1/weights/" + e.state.Model + "/" + e.state.Version
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), weightTimeout)
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
	_, _ = io.Copy(io.Discard, resp.Body) // a cut transfer is the same to the stand-in
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	bywire.WriteJSON(w, http.StatusOK, e.orders)
}

// cacheEvents returns the events since the last call, late and with gaps.
func (e *Engine) cacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := e.events
	e.events = nil
	bywire.WriteJSON(w, http.StatusOK, events)
}

// kvPieces is the exported form of cached pieces; the stand-in moves their
// hashes in place of their content.
type kvPieces struct {
	Pieces []uint64 `json:"pieces"`
}

// importRequest asks an engine to fetch pieces from another.
type importRequest struct {
	From string `json:"from"` // host:port
}

func (e *Engine) exportKV(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	bywire.WriteJSON(w, http.StatusOK, kvPieces{Pieces: e.emu.Cached()})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	req, err := bywire.ReadJSON[importRequest](r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	pieces, err := fetchPieces(r.Context(), req.From)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.emu.Import(pieces.Pieces)
	bywire.WriteJSON(w, http.StatusOK, e.currentReport())
}

func fetchPieces(ctx context.Context, from string) (kvPieces, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+"/v1/kv/export", nil)
	if err != nil {
		return kvPieces{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return kvPieces{}, err
	}
	defer resp.Body.Close()
	return bywire.ReadJSON[kvPieces](resp.Body)
}
