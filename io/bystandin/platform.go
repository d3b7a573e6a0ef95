// Package bystandin implements small stand-ins for the systems around
// burdockyard: the platform, a model engine and a plain service. Each is an
// http.Handler that cmd/burdock-standin serves in a process of its own.
//
// # Usage
//
//	cfg := bystandin.PlatformConfig{WritesPerSecond: 300, ReadsPerSecond: 2000}
//	p := bystandin.NewPlatform(cfg)
//	http.ListenAndServe(addr, p)
package bystandin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"burdockyard"
	"burdockyard/io/bymem"
	"burdockyard/io/byplatform"
	"burdockyard/io/bywire"
)

// PlatformConfig sets the rate limits, the lag and the weight sizes of a Platform.
type PlatformConfig struct {
	WritesPerSecond      int
	ReadsPerSecond       int
	VMListLag            time.Duration // time until a change shows in the VM list
	WeightBytesPerModel  int           // size of each model's weights
	WeightBytesPerSecond int           // rate of the weight store over all downloads
}

// Platform serves a transactional table, an object store, a lagging VM list and a
// rate-limited weight store. No other lock is acquired while mu is held.
type Platform struct {
	cfg     PlatformConfig
	mux     *http.ServeMux
	table   *bymem.Table
	objects *bymem.ObjectStore
	writes  *rate.Limiter
	reads   *rate.Limiter
	weights *rate.Limiter

	mu     sync.Mutex
	faults byplatform.Faults
	vms    map[string]listedVM
}

// listedVM is a VM and the time at which the VM list shows its last change.
type listedVM struct {
	vm        burdockyard.VM
	previous  *burdockyard.VM // what the list shows until then; nil if it does not show the VM
	removed   bool
	visibleAt time.Time
}

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	p := &Platform{
		cfg: cfg, mux: http.NewServeMux(), table: bymem.NewTable(), objects: bymem.NewObjectStore(),
		writes:  rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), cfg.WritesPerSecond),
		reads:   rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.ReadsPerSecond),
		weights: rate.NewLimiter(rate.Limit(max(cfg.WeightBytesPerSecond, 1)), max(cfg.WeightBytesPerSecond, 1)),
		vms:     map[string]listedVM{},
	}
	p.mux.HandleFunc("POST /v1/table/get", p.rateLimited(p.reads, p.getRows))
	p.mux.HandleFunc("POST /v1/table/commit", p.rateLimited(p.writes, p.commit))
	p.mux.HandleFunc("PUT /v1/objects/{key}", p.rateLimited(p.writes, p.putObject))
	p.mux.HandleFunc("GET /v1/objects/{key}", p.rateLimited(p.reads, p.getObject))
	p.mux.HandleFunc("GET /v1/vms", p.rateLimited(p.reads, p.listVMs))
	p.mux.HandleFunc("GET /v1/weights/{model}/{version}", p.getWeights)
	p.mux.HandleFunc("POST /admin/vms", p.setVM)
	p.mux.HandleFunc("POST /admin/faults", p.setFaults)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// rateLimited wraps next: it refuses calls during an outage and above the rate of l,
// and delays the others by the configured fault delay.
func (p *Platform) rateLimited(l *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		faults := p.faults
		p.mu.Unlock()
		if faults.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if !l.Allow() {
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		time.Sleep(faults.Delay)
		next(w, r)
	}
}

// handleJSON decodes a JSON request, calls f and writes its response as JSON, or its
// error as an HTTP status: 409 for burdockyard.ErrConflict, otherwise 500.
func handleJSON[Req, Resp any](w http.ResponseWriter, r *http.Request, f func(context.Context, Req) (Resp, error)) {
	req, err := bywire.ReadJSON[Req](r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	resp, err := f(r.Context(), req)
	switch {
	case errors.Is(err, burdockyard.ErrConflict):
		http.Error(w, "conflict", http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		bywire.WriteJSON(w, http.StatusOK, resp)
	}
}

func (p *Platform) getRows(w http.ResponseWriter, r *http.Request) {
	handleJSON(w, r, func(ctx context.Context, req byplatform.GetRowsRequest) (byplatform.RowsReply, error) {
		rows, err := p.table.Get(ctx, req.Keys...)
		return byplatform.RowsReply{Rows: rows}, err
	})
}

// commit applies a transaction. While responses are to be dropped, it closes the
// connection after the commit so that the client cannot know the outcome.
func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	handleJSON(w, r, func(ctx context.Context, txn burdockyard.Txn) (struct{}, error) {
		err := p.table.Commit(ctx, txn)
		if p.consumeDroppedResponse() {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		return struct{}{}, err
	})
}

// consumeDroppedResponse reports whether to drop the response of a commit. If so, it
// decrements the number of responses that are still to be dropped.
func (p *Platform) consumeDroppedResponse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.DropCommitResponses == 0 {
		return false
	}
	p.faults.DropCommitResponses--
	return true
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, bywire.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = p.objects.Put(r.Context(), r.PathValue("key"), data) // the in-memory store never fails
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.objects.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	_, _ = w.Write(data) // fails only if the client has disconnected
}

// listVMs serves the VM list, in which a change shows only after a lag.
func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := byplatform.VMsReply{VMs: []burdockyard.VM{}}
	for _, v := range p.vms {
		if time.Now().Before(v.visibleAt) {
			if v.previous != nil {
				reply.VMs = append(reply.VMs, *v.previous)
			}
			continue
		}
		if !v.removed {
			reply.VMs = append(reply.VMs, v.vm)
		}
	}
	bywire.WriteJSON(w, http.StatusOK, reply)
}

// setVM adds or changes a VM, or removes it if the query parameter gone is true.
func (p *Platform) setVM(w http.ResponseWriter, r *http.Request) {
	vm, err := bywire.ReadJSON[burdockyard.VM](r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := listedVM{vm: vm, removed: r.URL.Query().Get("gone") == "true", visibleAt: time.Now().Add(p.cfg.VMListLag)}
	if old, ok := p.vms[vm.ID]; ok && !old.removed {
		next.previous = &old.vm
	}
	p.vms[vm.ID] = next
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	f, err := bywire.ReadJSON[byplatform.Faults](r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// getWeights sends zero bytes in place of a model's weights, at the rate of the
// weight store.
func (p *Platform) getWeights(w http.ResponseWriter, r *http.Request) {
	const chunkBytes = 64 << 10
	buf := make([]byte, chunkBytes)
	for left := p.cfg.WeightBytesPerModel; left > 0; left -= chunkBytes {
		n := min(left, chunkBytes, p.weights.Burst())
		if err := p.weights.WaitN(r.Context(), n); err != nil {
			return
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
	}
}
