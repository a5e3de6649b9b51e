// Package modelengine implements a small stand-in for a model engine. It speaks
// the OpenAI completion protocol over HTTP, uses continuous batching, keeps a
// prefix cache of limited size and supports fault injection.
package modelengine

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragewick/boragewick"
)

// Request and response headers.
const (
	headerRequestID = "X-Request-Id"
	headerBlocks    = "X-Prefix-Blocks"
	headerPriority  = "X-Priority"
	headerWeights   = "X-Model-Weights"
	headerAdapter   = "X-Model-Adapter"
)

// Defaults for the zero fields of Engine, and fixed limits.
const (
	defaultCacheBlocks      = 4096
	defaultMaxBatch         = 32
	defaultMaxPrefillTokens = 512
	defaultMaxTokens        = 16
	defaultKVBlockBytes     = 4096
	defaultPrefill          = 100 * time.Microsecond
	defaultDecode           = 10 * time.Millisecond
	defaultLoadTime         = 800 * time.Millisecond
	defaultLoadLimit        = 3
	defaultLateDelay        = time.Second
	maxBodyBytes            = 16 << 20
	maxRetainedRuns         = 4096
	maxRetainedEvents       = 1 << 16
	heartbeatInterval       = time.Second
)

// Engine is the HTTP handler of the stand-in. Its exported fields are settings
// and must not be changed after the first request. A zero Engine serves every
// model.
type Engine struct {
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// MaxBatch is the maximum number of requests in a batch.
	MaxBatch int
	// MaxPrefillTokens is the maximum number of prompt tokens that one step of
	// the batch prefills.
	MaxPrefillTokens int
	// PrefillTimePerToken is the prefill time of one uncached prompt token.
	PrefillTimePerToken time.Duration
	// DecodeTime is the base duration of a step that decodes.
	// DecodeTimePerRequest is added for each request that decodes in the step.
	DecodeTime, DecodeTimePerRequest time.Duration
	// EventDelay is the delay of cache events and LoadLag the age of load
	// reports.
	EventDelay, LoadLag time.Duration
	// EventLoss is the fraction of cache events that are never sent.
	EventLoss float64
	// Seed seeds the random choice of lost events.
	Seed uint64
	// Models are loaded at every start, also after a crash. If no model is
	// loaded, the engine serves every model.
	Models []boragewick.Model
	// IgnoreFencing accepts orders with outdated fencing numbers.
	IgnoreFencing bool
	// LoadTime is the duration of a load while at most LoadLimit loads run
	// at once; beyond the limit it grows in proportion to their number.
	// RunningLoads counts the running loads of all engines that share it.
	LoadTime     time.Duration
	LoadLimit    int
	RunningLoads *atomic.Int64
	// KVBlockBytes is the size of one exported block in bytes.
	KVBlockBytes int
	// LateDelay is the delay of responses with FaultLate.
	LateDelay time.Duration

	once sync.Once
	mux  *http.ServeMux
	mu   sync.Mutex
	epochState
	faults
	highestFence uint64
	rand         *rand.Rand
}

// epochState is the state that a crash discards.
type epochState struct {
	epoch       boragewick.Incarnation
	epochEnded  chan struct{}
	runs        map[string]*run
	runIDs      []string
	active      []*run
	stepping    bool
	cache       cache
	events      []event
	seq         uint64
	eventAdded  chan struct{}
	models      []boragewick.Model
	role        string
	loadReports []boragewick.EngineLoad
}

// ServeHTTP serves the engine protocol. Requests for /fault are answered also
// on silent connections.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.init)
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if r.URL.Path != "/fault" {
		q := &silenceableWriter{ResponseWriter: w, engine: e, request: r}
		q.hangIfSilent()
		w = q
	}
	e.mux.ServeHTTP(w, r)
}

// ConnContext records in the connection's context how many silences came before
// it, so that FaultSilence affects only connections that are already open. Use
// it as the ConnContext of the http.Server.
func (e *Engine) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return context.WithValue(ctx, silenceKey{}, e.silences)
}

// Close aborts all requests, as FaultCrash does.
func (e *Engine) Close() error { return e.Inject(FaultCrash, 1) }

func (e *Engine) init() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rand = rand.New(rand.NewPCG(e.Seed, e.Seed))
	e.start()
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /cancel/{id}", e.cancel)
	e.mux.HandleFunc("GET /resume/{id}", e.resume)
	e.mux.HandleFunc("GET /events", e.streamEvents)
	e.mux.HandleFunc("GET /blocks", e.listBlocks)
	e.mux.HandleFunc("GET /load", e.reportLoad)
	e.mux.HandleFunc("POST /orders", e.handleOrder)
	e.mux.HandleFunc("GET /kv/{hash}", e.exportBlock)
	e.mux.HandleFunc("PUT /kv/{hash}", e.importBlock)
	e.mux.HandleFunc("POST /fault", e.handleFault)
}

// start ends the current epoch and begins a new one with an empty cache. The
// caller holds mu.
func (e *Engine) start() {
	if e.epochEnded != nil {
		close(e.epochEnded)
	}
	e.epochState = epochState{
		epoch:      boragewick.NewIncarnation(),
		epochEnded: make(chan struct{}),
		runs:       map[string]*run{},
		eventAdded: make(chan struct{}),
		models:     append([]boragewick.Model(nil), e.Models...),
	}
	e.cache.limit = cmp.Or(e.CacheBlocks, defaultCacheBlocks)
}

// errorResponse is the body of an error response in the OpenAI protocol.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorResponse{Error: errorDetail{Code: code, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller notices a lost connection
}
