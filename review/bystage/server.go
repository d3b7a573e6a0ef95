package bystage

import (
	"net"
	"net/http"
	"sync"
	"time"

	"burdockyard/platform/bystub"
)

// Server is a runner that can crash and start again at its address under its ID.
type Server struct {
	Runner *bystub.Runner
	ID     string

	stage *Stage
	addr  string

	mu  sync.Mutex
	seq int
	srv *http.Server // nil while the runner is down
}

// StartServer starts a runner and writes its entry to the store.
func (s *Stage) StartServer(cfg bystub.RunnerConfig) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Server{Runner: bystub.NewRunner(cfg), ID: cfg.ID, stage: s, addr: l.Addr().String()}
	r.serve(l)
	r.Register("ready")
	s.OnClose(r.Crash)
	return r, nil
}

// Addr returns the runner's address.
func (r *Server) Addr() string { return r.addr }

func (r *Server) serve(l net.Listener) {
	srv := &http.Server{Handler: r.Runner, ReadHeaderTimeout: 10 * time.Second}
	r.mu.Lock()
	r.srv = srv
	r.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
}

// Register writes the runner's entry to the store.
func (r *Server) Register(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	r.stage.Store.Set("servers", r.ID, r.Runner.StoreEntry(r.addr, state, r.seq))
}

// Beat writes the entry about every 1.2 s while the runner is up, until the stage ends.
func (r *Server) Beat() {
	stop := make(chan struct{})
	r.stage.OnClose(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				if r.IsUp() {
					r.Register("ready")
				}
			}
		}
	}()
}

// IsUp reports whether the runner's process runs.
func (r *Server) IsUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.srv != nil
}

// Crash ends the runner's process: its connections are closed and new ones refused.
func (r *Server) Crash() {
	r.mu.Lock()
	srv := r.srv
	r.srv = nil
	r.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// StartAgain starts the runner again under its ID and at its address, with a version of its
// software. It does not register it.
func (r *Server) StartAgain(version string) error {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp4", r.addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.Runner.RestartAs(version)
	r.mu.Lock()
	r.seq = 0
	r.mu.Unlock()
	r.serve(l)
	return nil
}
