package boragewick

import (
	"context"
	"time"
)

// Headroom decides when a request is sent to an engine for the first time, so that engines
// have room for more urgent ones.
type Headroom interface {
	// Pressed reports whether Admit decides on a request with this best candidate. Other
	// requests may be sent at once.
	Pressed(best *Candidate) bool
	// Admit returns as soon as the request may be sent, or an error marked not run. It
	// returns the candidates with the one to use first. The candidates are those that
	// r.Select has just returned. The place is nil if the request was not decided on.
	Admit(ctx context.Context, r *HeadroomRequest, candidates []Candidate) ([]Candidate, Place, error)
}

// HeadroomRequest is a request to a pool of engines that has not been sent yet. Times are on
// the router's clock.
type HeadroomRequest struct {
	ID        RequestID
	Pool      string
	Workspace string
	// Rank is the effective rank; zero is the most urgent.
	Rank         int
	PromptTokens int
	OutputTokens int
	// EngineTokens is the memory of one engine of the pool, in tokens; zero if unknown.
	EngineTokens int
	// UsefulUntil is when the caller gives up unless it has got an event. Deadline is when
	// the request ends in any case.
	UsefulUntil time.Time
	Deadline    time.Time
	// TargetLatency is the time within which the first event has its full value.
	TargetLatency time.Duration
	// Select returns the current candidates, the best one first. It is only called while
	// Admit has not returned, possibly from another goroutine.
	Select func() ([]Candidate, error)
}

// Place is the room that a request was admitted to under pressure.
type Place interface {
	// Sent records that the Placer counts the request at its engine.
	Sent()
	// Started records the first event.
	Started()
}
