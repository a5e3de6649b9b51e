package boragewick

import (
	"context"
	"time"
)

// Admission is the queue in front of an engine.
type Admission interface {
	// Admit waits for a slot in the engine's batch. It returns ErrOverloaded,
	// marked not run, if the slot would come too late.
	Admit(ctx context.Context, w Work) (Slot, error)
	// EstimateFirstToken estimates when the first token of the work would come
	// if it were admitted now.
	EstimateFirstToken(w Work) time.Time
	// Load returns the queued and the running work.
	Load() Load
}

// Work describes a request to an admission queue.
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
	// Unstreamed reports whether the answer is not streamed, so that its first
	// token is not observed.
	Unstreamed bool
	Deadline   time.Time
}

// Slot is the place of an admitted request in an engine's batch.
type Slot interface {
	// Priority is the priority at which the engine serves the request.
	Priority() int
	// FirstToken records that the prefill is over.
	FirstToken()
	// Release frees the slot. It may be called more than once.
	Release()
}

// Load is the state of an admission queue.
type Load struct {
	Queued        int
	QueuedPrefill uint64
	Running       int
	// RunningPrefill is the prefill work of admitted requests that have not
	// produced their first token.
	RunningPrefill uint64
}
