package boragewick

import "time"

// DrainPolicy decides which requests a stopping router still accepts.
type DrainPolicy interface {
	// Admit returns an error marked not run if the router is stopping and the request is not
	// certain to end before its connection is closed.
	Admit(r *DrainRequest) error
	// Observe records a complete answer of the route.
	Observe(route string, a *AnswerTimes)
}

// DrainRequest is a request that must not run twice and has not run yet.
type DrainRequest struct {
	ID    RequestID
	Route string
	// Stream reports whether the answer is an event stream.
	Stream bool
	// OutputTokens is the largest number of tokens of the stream; zero if unknown.
	OutputTokens int
	// FirstEventWithin is how long the caller waits for the first event of a stream, and
	// LongestPause is the longest pause that the route allows between two events; zero if
	// unknown.
	FirstEventWithin time.Duration
	LongestPause     time.Duration
	// Deadline is when the request ends in any case, on the router's clock.
	Deadline time.Time
}

// AnswerTimes tells how long a complete answer took.
type AnswerTimes struct {
	// FirstEvent is the time until the first event, or until the end of an answer that is not
	// a stream.
	FirstEvent time.Duration
	// Rest is the time from the first to the last of the Events.
	Rest   time.Duration
	Events int
	// OutputTokens is the largest number of tokens that the stream could have; zero if
	// unknown.
	OutputTokens int
}
