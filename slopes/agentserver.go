package slopes

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/admission"
	"github.com/boragewick/boragewick/agent"
	"github.com/boragewick/boragewick/index"
	"github.com/boragewick/boragewick/takes"
)

// newAgent returns an agent whose engine answers each request with the given
// number of chunks of size bytes.
func newAgent(chunks, size int) *agent.Agent {
	cache := &index.Index{}
	epoch := boragewick.CacheEpoch{Engine: "inc_1", Weights: "2026-01-01"}
	cache.Reset(epoch)
	cache.Apply(boragewick.CacheEvent{Epoch: epoch, Number: 1, Kind: boragewick.CacheStored, Blocks: blocks(0, probeBlocks)})
	return &agent.Agent{
		Endpoint:    endpoint(0),
		Engine:      chunkEngine(chunks, size),
		Admission:   &admission.Queue{MaxBatch: 1024, MaxPrefill: 1 << 20, MaxQueued: 1024, Quantum: 4096},
		Cache:       cache,
		TakenClaims: &takes.AgentClaims{},
		Clock:       boragewick.SystemClock,
		Logger:      log.NewNopLogger(),
	}
}

// chunkEngine returns an engine that emits its chunks without a delay.
func chunkEngine(chunks, size int) boragewick.Engine {
	data := make([]byte, size)
	return boragewick.EngineFunc(func(_ context.Context, r *boragewick.Request, emit func(boragewick.Chunk) error) error {
		for n := range chunks {
			if err := emit(boragewick.Chunk{Request: r.ID, Number: uint64(n + 1), Data: data}); err != nil {
				return err
			}
		}
		return emit(boragewick.Chunk{Request: r.ID, Number: uint64(chunks + 1), End: &boragewick.End{}})
	})
}

func agentServer() (func(handle func(string, boragewick.Handler)), error) {
	return newAgent(0, 0).Handle, nil
}

// request returns a streaming request with a short prompt for endpoint 0.
func request() *boragewick.Request {
	return &boragewick.Request{
		ID: "req_0000000000000001", Workspace: workspaceID(1), Pool: "pool-0", Kind: boragewick.EndpointModel,
		Model: model(0), Method: "POST", Path: "/v1/completions", Body: []byte("{}"),
		PromptTokens: 1, MaxTokens: 1, Stream: true, Deadline: time.Now().Add(time.Minute),
	}
}

// countingDialer wraps a dialer and counts the bytes of its connections.
func countingDialer(d boragewick.Dialer, bytes *atomic.Int64) boragewick.Dialer {
	return boragewick.DialerFunc(func(ctx context.Context, addr netip.AddrPort) (boragewick.Conn, error) {
		c, err := d.Dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return countedConn{c, bytes}, nil
	})
}
