// Package plainservice is a small stand-in of a plain HTTP service with a
// ledger that counts what ran.
package plainservice

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// The kinds of faults.
const (
	// FaultDie runs the next requests and closes their connections unanswered.
	FaultDie = "die"
	// FaultRefuse answers the next requests with 503 without running them.
	FaultRefuse = "refuse"
	// FaultTruncate runs the next requests and cuts their answers short.
	FaultTruncate = "truncate"
)

const (
	maxBodyBytes    = 16 << 20
	headerKey       = "Idempotency-Key"
	headerRequestID = "X-Request-Id"
)

// Service is the stand-in. Every POST is one run, counted under the
// Idempotency-Key or else the X-Request-Id; GET /ledger lists the counts.
// POST /fault makes it fail.
type Service struct {
	// Delay is the time that one run takes.
	Delay time.Duration

	mu      sync.Mutex
	ledger  map[string]int
	pending map[string]int
}

// receipt is the answer to a run.
type receipt struct {
	Key  string `json:"key"`
	Path string `json:"path"`
	Run  int    `json:"run"`
	Body string `json:"body"`
}

// faultRequest is the body of POST /fault.
type faultRequest struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// ServeHTTP serves the ledger.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	switch {
	case r.URL.Path == "/ledger":
		writeJSON(w, s.Ledger())
	case r.URL.Path == "/fault":
		s.fault(w, r)
	case r.Method == http.MethodPost:
		s.run(w, r)
	default:
		writeJSON(w, receipt{Path: r.URL.RequestURI()})
	}
}

// Ledger returns how often each key ran.
func (s *Service) Ledger() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger == nil {
		return map[string]int{}
	}
	return maps.Clone(s.ledger)
}

// Inject makes the next n requests fail.
func (s *Service) Inject(kind string, n int) error {
	switch kind {
	case FaultDie, FaultRefuse, FaultTruncate:
	default:
		return errors.Wrapf(boragewick.ErrMalformed, "fault %q", kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = map[string]int{}
	}
	s.pending[kind] += n
	return nil
}

func (s *Service) fault(w http.ResponseWriter, r *http.Request) {
	var f faultRequest
	err := json.NewDecoder(r.Body).Decode(&f)
	if err == nil {
		err = s.Inject(f.Kind, max(1, f.Count))
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.due(FaultRefuse) {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.Delay)
	key := r.Header.Get(headerKey)
	if key == "" {
		key = r.Header.Get(headerRequestID)
	}
	n := s.count(key)
	if s.due(FaultDie) {
		panic(http.ErrAbortHandler)
	}
	if s.due(FaultTruncate) {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "{")
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, receipt{Key: key, Path: r.URL.RequestURI(), Run: n, Body: string(body)})
}

func (s *Service) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger == nil {
		s.ledger = map[string]int{}
	}
	s.ledger[key]++
	return s.ledger[key]
}

func (s *Service) due(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[kind] == 0 {
		return false
	}
	s.pending[kind]--
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a lost connection is the caller's to notice
}
