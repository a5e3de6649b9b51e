// Package modelengine is a small stand-in of a model engine. It speaks the
// OpenAI completion protocol over HTTP, batches continuously, keeps a prefix
// cache in limited memory and can be told to fail.
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

// The headers of the protocol.
const (
	headerRequestID = "X-Request-Id"
	headerBlocks    = "X-Prefix-Blocks"
	headerPriority  = "X-Priority"
	headerWeights   = "X-Model-Weights"
	headerAdapter   = "X-Model-Adapter"
)

// The settings of a zero Engine.
const (
	defaultCacheBlocks = 4096
	defaultMaxBatch    = 32
	defaultPrefillStep = 512
	defaultMaxTokens   = 16
	defaultKVBytes     = 4096
	defaultPrefill     = 100 * time.Microsecond
	defaultDecode      = 10 * time.Millisecond
	defaultLoadTime    = 800 * time.Millisecond
	defaultLoadLimit   = 3
	defaultLateBy      = time.Second
	maxBodyBytes       = 16 << 20
	keptRuns           = 4096
	keptEvents         = 1 << 16
	heartbeatEvery     = time.Second
)

// Engine is the stand-in. Its exported fields are settings and may not be
// changed once it serves. A zero Engine serves every model.
type Engine struct {
	// CacheBlocks is the memory of the prefix cache in blocks.
	CacheBlocks int
	// MaxBatch is the largest number of requests that run together.
	MaxBatch int
	// PrefillStep is the largest number of prompt tokens in one step.
	PrefillStep int
	// Prefill is the time for one uncached prompt token.
	Prefill time.Duration
	// Decode is the time of a step that decodes, and DecodeEach what each
	// request adds to it.
	Decode, DecodeEach time.Duration
	// EventDelay is the lag of cache events and LoadLag that of load reports.
	EventDelay, LoadLag time.Duration
	// EventLoss is the share of cache events that are never sent.
	EventLoss float64
	// Seed drives EventLoss.
	Seed uint64
	// Models are loaded at every start.
	Models []boragewick.Model
	// IgnoreFencing lets orders with old fencing numbers pass.
	IgnoreFencing bool
	// LoadTime is how long an order takes while at most LoadLimit load at
	// once. Loading counts the loads of all engines that share it.
	LoadTime  time.Duration
	LoadLimit int
	Loading   *atomic.Int64
	// KVBytes is the size of one exported block.
	KVBytes int
	// LateBy is the delay of late answers.
	LateBy time.Duration

	once sync.Once
	mux  *http.ServeMux
	mu   sync.Mutex
	state
	faults
	fence uint64
	rand  *rand.Rand
}

// state is what a crash loses.
type state struct {
	epoch   boragewick.Incarnation
	dead    chan struct{}
	runs    map[string]*run
	order   []string
	active  []*run
	stepped bool
	cache   cache
	events  []event
	seq     uint64
	pulse   chan struct{}
	models  []boragewick.Model
	role    string
	reports []boragewick.EngineLoad
}

// ServeHTTP serves the protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.init)
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if r.URL.Path != "/fault" {
		q := &quiet{ResponseWriter: w, engine: e, request: r}
		q.check()
		w = q
	}
	e.mux.ServeHTTP(w, r)
}

// ConnContext marks a connection so that it can go silent. Use it as the
// ConnContext of the http.Server.
func (e *Engine) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return context.WithValue(ctx, silenceKey{}, e.silences)
}

// Close ends everything that runs.
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
	e.mux.HandleFunc("GET /events", e.follow)
	e.mux.HandleFunc("GET /blocks", e.list)
	e.mux.HandleFunc("GET /load", e.report)
	e.mux.HandleFunc("POST /orders", e.takeOrder)
	e.mux.HandleFunc("GET /kv/{hash}", e.export)
	e.mux.HandleFunc("PUT /kv/{hash}", e.load)
	e.mux.HandleFunc("POST /fault", e.fault)
}

// start begins a new epoch with an empty cache. The caller holds mu.
func (e *Engine) start() {
	if e.dead != nil {
		close(e.dead)
	}
	e.state = state{
		epoch:  boragewick.NewIncarnation(),
		dead:   make(chan struct{}),
		runs:   map[string]*run{},
		pulse:  make(chan struct{}),
		models: append([]boragewick.Model(nil), e.Models...),
	}
	e.cache.limit = cmp.Or(e.CacheBlocks, defaultCacheBlocks)
}

// problem is an error in the form of the OpenAI protocol.
type problem struct {
	Error problemDetail `json:"error"`
}

type problemDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, problem{Error: problemDetail{Code: code, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a lost connection is the caller's to notice
}
