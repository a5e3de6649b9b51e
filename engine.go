package boragewick

import (
	"context"
	"time"
)

// Engine runs requests at an endpoint.
type Engine interface {
	// Run sends the request and calls emit with the chunks of its answer in
	// order. It returns nil only after a chunk with an End. An error that
	// proves that the endpoint never received the request is marked by NotRun.
	Run(ctx context.Context, r *Request, emit func(Chunk) error) error
}

// EngineFunc adapts a function to an Engine.
type EngineFunc func(ctx context.Context, r *Request, emit func(Chunk) error) error

// Run calls f(ctx, r, emit).
func (f EngineFunc) Run(ctx context.Context, r *Request, emit func(Chunk) error) error {
	return f(ctx, r, emit)
}

// BlockStore holds the KV cache of blocks in an engine's own format.
type BlockStore interface {
	// Export returns the KV cache of a block or ErrUnknownObject.
	Export(ctx context.Context, b BlockHash) ([]byte, error)
	// Import stores the KV cache of a block. It returns ErrCorrupt for data
	// that is not accepted.
	Import(ctx context.Context, b BlockHash, data []byte) error
}

// LoadReporter reports the load of an engine.
type LoadReporter interface {
	// Load returns the engine's newest load report, which may be out of date.
	Load(ctx context.Context) (EngineLoad, error)
}

// EngineLoad is the load that an engine reports, with a delay.
type EngineLoad struct {
	// Epoch changes with every start of the engine.
	Epoch Incarnation `json:"epoch"`
	// At is when the load was measured, on the engine's clock.
	At time.Time `json:"at"`
	// Waiting and Running count requests.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// CachedBlocks is the number of blocks in the prefix cache.
	CachedBlocks int `json:"cached_blocks"`
	// Models lists the loaded models.
	Models []Model `json:"models"`
}
