package boragewick

import "github.com/cockroachdb/errors"

// Outcome states whether a request that got no answer from its endpoint may
// have run.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun means that provably no endpoint ran the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// OutcomeHeader is the HTTP header that carries the Outcome.
const OutcomeHeader = "Boragewick-Outcome"

// NotRun marks the error as proof that the request did not run.
func NotRun(err error) error {
	return errors.Mark(err, ErrNotRun)
}

// OutcomeOf returns OutcomeNotRun only for errors that NotRun has marked.
func OutcomeOf(err error) Outcome {
	if errors.Is(err, ErrNotRun) {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}
