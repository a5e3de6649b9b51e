// Package plainservice implements a small stand-in for a plain HTTP service. It
// counts the executions of each request in a ledger.
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

// Kinds of injected faults.
const (
	// FaultDie executes the next requests and closes their connections
	// without a response.
	FaultDie = "die"
	// FaultRefuse answers the next requests with 503 without executing
	// them.
	FaultRefuse = "refuse"
	// FaultTruncate executes the next requests and truncates their
	// responses.
	FaultTruncate = "truncate"
)

const (
	maxBodyBytes    = 16 << 20
	headerKey       = "Idempotency-Key"
	headerRequestID = "X-Request-Id"
)

// Service is the HTTP handler of the stand-in. It counts each executed POST
// request under its Idempotency-Key header or, if that is empty, its
// X-Request-Id header. GET /ledger returns the counts and POST /fault injects
// faults.
type Service struct {
	// Delay is the execution time of one request.
	Delay time.Duration

	mu            sync.Mutex
	ledger        map[string]int
	pendingFaults map[string]int
}

// receipt is the response to an executed request.
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

// ServeHTTP executes POST requests and serves /ledger and /fault. Any other
// request is answered with its path and is not counted.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	switch {
	case r.URL.Path == "/ledger":
		writeJSON(w, s.Ledger())
	case r.URL.Path == "/fault":
		s.handleFault(w, r)
	case r.Method == http.MethodPost:
		s.run(w, r)
	default:
		writeJSON(w, receipt{Path: r.URL.RequestURI()})
	}
}

// Ledger returns the number of executions for each key.
func (s *Service) Ledger() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger == nil {
		return map[string]int{}
	}
	return maps.Clone(s.ledger)
}

// Inject applies a fault of the given kind to the next n POST requests.
func (s *Service) Inject(kind string, n int) error {
	switch kind {
	case FaultDie, FaultRefuse, FaultTruncate:
	default:
		return errors.Wrapf(boragewick.ErrMalformed, "fault %q", kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingFaults == nil {
		s.pendingFaults = map[string]int{}
	}
	s.pendingFaults[kind] += n
	return nil
}

func (s *Service) handleFault(w http.ResponseWriter, r *http.Request) {
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
	if s.consumeFault(FaultRefuse) {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.Delay)
	key := r.Header.Get(headerKey)
	if key == "" {
		key = r.Header.Get(headerRequestID)
	}
	n := s.countRun(key)
	if s.consumeFault(FaultDie) {
		panic(http.ErrAbortHandler)
	}
	if s.consumeFault(FaultTruncate) {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "{")
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, receipt{Key: key, Path: r.URL.RequestURI(), Run: n, Body: string(body)})
}

func (s *Service) countRun(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger == nil {
		s.ledger = map[string]int{}
	}
	s.ledger[key]++
	return s.ledger[key]
}

func (s *Service) consumeFault(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingFaults[kind] == 0 {
		return false
	}
	s.pendingFaults[kind]--
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller notices a lost connection
}
