package bystandin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"burdockyard/io/bywire"
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	CallDelay time.Duration // duration of each call
}

// Service is a booking service. It counts the bookings made with each idempotency
// key, so that a test can detect a call that ran twice. No other lock is acquired
// while mu is held.
type Service struct {
	cfg ServiceConfig
	mux *http.ServeMux

	mu            sync.Mutex
	bookingsByKey map[string]int
	lastReference int
	refusalsLeft  int // number of further calls to refuse without running them
	dropsLeft     int // number of further calls to run without sending a response
}

// Booking is the response to a booking call.
type Booking struct {
	Key       string `json:"key"`
	Reference int    `json:"reference"`
	Request   string `json:"request"` // request body as received
}

// NewService returns a service without bookings.
func NewService(cfg ServiceConfig) *Service {
	s := &Service{cfg: cfg, mux: http.NewServeMux(), bookingsByKey: map[string]int{}}
	s.mux.HandleFunc("GET /slots", s.slots)
	s.mux.HandleFunc("GET /admin/effects", s.listEffects)
	s.mux.HandleFunc("POST /admin/faults", s.setFaults)
	s.mux.HandleFunc("/", s.book)
	return s
}

// ServeHTTP implements http.Handler. It returns the caller's request ID in the
// response.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(bywire.HeaderRequestID, r.Header.Get(bywire.HeaderRequestID))
	s.mux.ServeHTTP(w, r)
}

func (s *Service) slots(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(s.cfg.CallDelay)
	bywire.WriteJSON(w, http.StatusOK, []string{"08:00", "10:30", "14:00"})
}

// book makes a booking, subject to the faults that setFaults set.
func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, bywire.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.consumeFault(&s.refusalsLeft) {
		w.Header().Set(bywire.HeaderNotRun, "1")
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.cfg.CallDelay)
	b := s.recordBooking(r.Header.Get(bywire.HeaderIdempotencyKey), body)
	if s.consumeFault(&s.dropsLeft) {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	bywire.WriteJSON(w, http.StatusOK, b)
}

// recordBooking counts a booking and assigns it the next reference.
func (s *Service) recordBooking(key string, body []byte) Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bookingsByKey[key]++
	s.lastReference++
	return Booking{Key: key, Reference: s.lastReference, Request: string(body)}
}

// consumeFault reports whether a fault counter is above 0, and decrements it if so.
func (s *Service) consumeFault(counter *int) bool {
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
	bywire.WriteJSON(w, http.StatusOK, s.bookingsByKey)
}

// setFaults sets how many further calls are refused and how many run without a
// response, from the query parameters refuse and drop.
func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	refuse, err1 := strconv.Atoi(r.URL.Query().Get("refuse"))
	drop, err2 := strconv.Atoi(r.URL.Query().Get("drop"))
	if err1 != nil || err2 != nil {
		http.Error(w, "refuse and drop must be whole numbers", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusalsLeft, s.dropsLeft = refuse, drop
}
