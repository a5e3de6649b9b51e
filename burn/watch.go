package burn

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// watch tracks one request.
type watch struct {
	level      *level
	objectives boragewick.Objectives
	arrived    time.Time
	// firstSent and lastSent are when the first and the last endpoint began with
	// the request.
	firstSent time.Time
	lastSent  time.Time
	// lastToken is when the caller got the last token.
	lastToken time.Time
}

// refusalErrors are the errors with which requests are refused although their
// workspace is within its rate.
var refusalErrors = []error{
	boragewick.ErrOverloaded, boragewick.ErrNoEndpoint, boragewick.ErrStaleConfig, boragewick.ErrDraining,
}

// callerErrors are the errors that the caller caused.
var callerErrors = []error{
	boragewick.ErrMalformed, boragewick.ErrTooLarge, boragewick.ErrUnknownModel, boragewick.ErrUnknownRoute,
	boragewick.ErrMissingKey, boragewick.ErrMalformedKey, boragewick.ErrUnknownKey, boragewick.ErrForbiddenRoute,
	boragewick.ErrCanceled, boragewick.ErrKeyReused,
}

// Sent records that an endpoint has begun with the request.
func (w *watch) Sent(at time.Time) {
	if w.firstSent.IsZero() {
		w.firstSent = at
	}
	w.lastSent = at
}

// Token records that the caller got a token.
func (w *watch) Token(at time.Time) {
	l := w.level
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.lastToken.IsZero() {
		took := at.Sub(w.arrived)
		l.FirstToken.Update(took.Microseconds())
		l.record(firstToken, at, took > w.objectives.FirstTokenWithin, w.slowestPhase(at))
	} else {
		gap := at.Sub(w.lastToken)
		l.Gaps.Update(gap.Microseconds())
		l.record(betweenTokens, at, gap > w.objectives.BetweenTokensWithin, decode)
	}
	w.lastToken = at
}

// slowestPhase returns the cause that stands for the longest phase of the wait for
// the first token.
func (w *watch) slowestPhase(at time.Time) int {
	if w.firstSent.IsZero() {
		return queue
	}
	cause, longest := queue, w.firstSent.Sub(w.arrived)
	if d := w.lastSent.Sub(w.firstSent); d > longest {
		cause, longest = retries, d
	}
	if at.Sub(w.lastSent) > longest {
		cause = prefill
	}
	return cause
}

// Done records how the request ended.
func (w *watch) Done(at time.Time, err error) {
	l := w.level
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.IsAny(err, callerErrors...) && !errors.IsAny(err, refusalErrors...) {
		return
	}
	l.Requests++
	if errors.Is(err, boragewick.ErrRateExceeded) {
		l.record(refusals, at, false, refusal)
		return
	}
	refused := errors.Is(err, boragewick.ErrNotRun) || errors.IsAny(err, refusalErrors...)
	l.record(refusals, at, refused, refusal)
	if refused {
		return
	}
	l.record(availability, at, err != nil, endpoint)
	if err != nil && w.lastToken.IsZero() && at.Sub(w.arrived) > w.objectives.FirstTokenWithin {
		l.record(firstToken, at, true, w.slowestPhase(at))
	}
}
