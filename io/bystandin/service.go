package bystandin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"burdockyard/io/bywire"
)

// ServiceConfig states what the service does.
type ServiceConfig struct {
	Delay time.Duration // of each call
}

// Service is a booking service. It counts the effects of each key, so that a
// call that ran twice shows. mu is a leaf lock.
type Service struct {
	cfg ServiceConfig
	mux *http.ServeMux

	mu      sync.Mutex
	effects map[string]int
	next    int
	refuse  int // calls still to refuse before they start
	drop    int // calls still to run without an answer
}

// Booking is the answer to a booking call.
type Booking struct {
	Key       string `json:"key"`
	Reference int    `json:"reference"`
	Request   string `json:"request"` // as it was received
}

// NewService returns a service without bookings.
func NewService(cfg ServiceConfig) *Service {
	s := &Service{cfg: cfg, mux: http.NewServeMux(), effects: map[string]int{}}
	s.mux.HandleFunc("GET /slots", s.slots)
	s.mux.HandleFunc("GET /admin/effects", s.listEffects)
	s.mux.HandleFunc("POST /admin/faults", s.setFaults)
	s.mux.HandleFunc("/", s.book)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(bywire.HeaderRequestID, r.Header.Get(bywire.HeaderRequestID))
	s.mux.ServeHTTP(w, r)
}

func (s *Service) slots(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(s.cfg.Delay)
	bywire.WriteJSON(w, http.StatusOK, []string{"08:00", "10:30", "14:00"})
}

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, bywire.MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.takes(&s.refuse) {
		w.Header().Set(bywire.HeaderNotRun, "1")
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.cfg.Delay)
	b := s.record(r.Header.Get(bywire.HeaderKey), body)
	if s.takes(&s.drop) {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	bywire.WriteJSON(w, http.StatusOK, b)
}

func (s *Service) record(key string, body []byte) Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects[key]++
	s.next++
	return Booking{Key: key, Reference: s.next, Request: string(body)}
}

func (s *Service) takes(counter *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *counter == 0 {
		return false
	}
	*counter--
	return true
}

func (s *Service) listEffects(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bywire.WriteJSON(w, http.StatusOK, s.effects)
}

// setFaults reads refuse and drop, the numbers of calls to refuse and to run
// without an answer.
func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	refuse, err1 := strconv.Atoi(r.URL.Query().Get("refuse"))
	drop, err2 := strconv.Atoi(r.URL.Query().Get("drop"))
	if err1 != nil || err2 != nil {
		http.Error(w, "refuse and drop must be whole numbers", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse, s.drop = refuse, drop
}
