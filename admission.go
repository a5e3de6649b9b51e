package boragewick

import (
	"context"
	"time"
)

// Admission is the queue in front of an engine.
type Admission interface {
	// Admit waits for a place in the engine's batch. It refuses with
	// ErrOverloaded, marked not run, when the place would come too late.
	Admit(ctx context.Context, w Work) (Slot, error)
	// Expect returns when the first token of the work would come if it were
	// admitted now.
	Expect(w Work) time.Time
	// Load tells what is queued and running.
	Load() Load
}

// Work is what an admission queue needs to know of a request.
type Work struct {
	Request   RequestID
	Workspace ID
	// Weight is the workspace's share relative to the others; zero counts as 1.
	Weight   uint32
	Priority int
	// Prefill is the number of prompt tokens that are not cached.
	Prefill uint64
	// Output is the largest number of tokens that may be generated.
	Output uint64
	// Whole tells that the answer comes in one piece, so that its first token
	// is not seen.
	Whole    bool
	Deadline time.Time
}

// Slot is a place in an engine's batch.
type Slot interface {
	// Priority is what the engine serves the request with.
	Priority() int
	// FirstToken tells that the prefill is over.
	FirstToken()
	// Release frees the place. It may be called more than once.
	Release()
}

// Load is the state of an admission queue.
type Load struct {
	Queued        int
	QueuedPrefill uint64
	Running       int
	// RunningPrefill is the prefill work of admitted requests that have not
	// had a first token.
	RunningPrefill uint64
}
