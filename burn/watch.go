package burn

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// watch follows one request.
type watch struct {
	level      *level
	objectives boragewick.Objectives
	arrived    time.Time
	// sent and resent are when the first and the last endpoint began.
	sent   time.Time
	resent time.Time
	// last is when the last token came.
	last time.Time
}

// refusalErrors are the refusals that workspaces within their rate get.
var refusalErrors = []error{
	boragewick.ErrOverloaded, boragewick.ErrNoEndpoint, boragewick.ErrStaleConfig, boragewick.ErrDraining,
}

// callerErrors are the errors that the caller has brought about.
var callerErrors = []error{
	boragewick.ErrMalformed, boragewick.ErrTooLarge, boragewick.ErrUnknownModel, boragewick.ErrUnknownRoute,
	boragewick.ErrMissingKey, boragewick.ErrMalformedKey, boragewick.ErrUnknownKey, boragewick.ErrForbiddenRoute,
	boragewick.ErrCanceled, boragewick.ErrKeyReused,
}

// Sent notes that an endpoint has begun with the request.
func (w *watch) Sent(at time.Time) {
	if w.sent.IsZero() {
		w.sent = at
	}
	w.resent = at
}

// Token notes that the caller got a token.
func (w *watch) Token(at time.Time) {
	l := w.level
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.last.IsZero() {
		took := at.Sub(w.arrived)
		l.FirstToken.Update(took.Microseconds())
		l.count(firstToken, at, took > w.objectives.FirstTokenWithin, w.slowest(at))
	} else {
		gap := at.Sub(w.last)
		l.Gaps.Update(gap.Microseconds())
		l.count(betweenTokens, at, gap > w.objectives.BetweenTokensWithin, decode)
	}
	w.last = at
}

// slowest returns what the longest part of the wait for the first token was.
func (w *watch) slowest(at time.Time) int {
	if w.sent.IsZero() {
		return queue
	}
	cause, longest := queue, w.sent.Sub(w.arrived)
	if d := w.resent.Sub(w.sent); d > longest {
		cause, longest = retries, d
	}
	if at.Sub(w.resent) > longest {
		cause = prefill
	}
	return cause
}

// Done notes how the request ended.
func (w *watch) Done(at time.Time, err error) {
	l := w.level
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.IsAny(err, callerErrors...) && !errors.IsAny(err, refusalErrors...) {
		return
	}
	l.Requests++
	if errors.Is(err, boragewick.ErrRateExceeded) {
		l.count(refusals, at, false, refusal)
		return
	}
	refused := errors.Is(err, boragewick.ErrNotRun) || errors.IsAny(err, refusalErrors...)
	l.count(refusals, at, refused, refusal)
	if refused {
		return
	}
	l.count(availability, at, err != nil, endpoint)
	if err != nil && w.last.IsZero() && at.Sub(w.arrived) > w.objectives.FirstTokenWithin {
		l.count(firstToken, at, true, w.slowest(at))
	}
}
