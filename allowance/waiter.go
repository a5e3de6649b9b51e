package allowance

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// waiter is a request that waits for tokens.
type waiter struct {
	tokens     uint64
	deadline   time.Time
	result     chan error // receives one value
	generation uint64     // of the tokens, when the result is nil
	fallback   bool       // the tokens are of the fallback share, and generation is its report
}

// enqueue adds a waiter, or refuses at once a request that cannot be served in time.
func (a *account) enqueue(now time.Time, tokens uint64, deadline time.Time) (*waiter, error) {
	w := &waiter{tokens: tokens, deadline: deadline, result: make(chan error, 1)}
	if !now.Before(deadline) {
		return nil, a.refusal(now, w, now)
	}
	index := len(a.waiters)
	if a.servedAt(now, a.notBefore, index).After(deadline) || index >= maxWaiters {
		return nil, a.refusal(now, w, a.servedAt(now, a.refilledAt, index))
	}
	if index == 0 && a.recentlyDenied(now, tokens, deadline) {
		return nil, a.refusal(now, w, a.refilledAt)
	}
	a.waiters = append(a.waiters, w)
	return w, nil
}

// recentlyDenied reports whether a request that needed no more tokens was denied
// within the last denialTTL for longer than this one can wait.
func (a *account) recentlyDenied(now time.Time, tokens uint64, deadline time.Time) bool {
	return saturatingSub(tokens, a.held()) >= a.deniedTokens && now.Sub(a.deniedAt) < denialTTL && a.notBefore.After(deadline)
}

// servedAt estimates when the waiter at the index gets its tokens, given the time
// for the first waiter. It is now unless the first waiter has been denied.
func (a *account) servedAt(now, first time.Time, index int) time.Time {
	if !a.denied || len(a.waiters) == 0 {
		return now
	}
	var tokens uint64
	for _, w := range a.waiters[min(1, index):index] {
		tokens += w.tokens
	}
	return latest(now, first).Add(time.Duration(float64(tokens) / float64(a.share) * float64(time.Second)))
}

// serveWaiters gives held tokens to waiters in order.
func (a *account) serveWaiters(now time.Time) {
	for len(a.waiters) > 0 && a.waiters[0].tokens <= a.held() {
		w := a.waiters[0]
		w.generation = a.take(now, w.tokens)
		w.result <- nil
		a.waiters = slices.Delete(a.waiters, 0, 1)
		a.denied = false
	}
}

// refuseLate refuses the waiters that cannot be served by their deadline or need
// more than the burst.
func (a *account) refuseLate(now time.Time, burst uint64) {
	for i := 0; i < len(a.waiters); {
		w := a.waiters[i]
		switch {
		case w.tokens > burst:
			w.result <- boragewick.NotRun(errors.Wrapf(boragewick.ErrRateExceeded,
				"request of %d tokens is larger than the burst of workspace %s, %d", w.tokens, a.workspace, burst))
		case a.servedAt(now, a.notBefore, i).After(w.deadline):
			w.result <- a.refusal(now, w, a.servedAt(now, a.refilledAt, i))
		default:
			i++
			continue
		}
		a.remove(now, i)
	}
}

func (a *account) refuseAll(err error) {
	for _, w := range a.waiters {
		w.result <- err
	}
	a.waiters = nil
}

// abandon ends the wait with the error, or with a refusal if it is nil, unless the
// waiter already has its result.
func (a *account) abandon(now time.Time, w *waiter, err error) {
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return
	}
	if err == nil {
		err = a.refusal(now, w, a.servedAt(now, a.refilledAt, i))
	}
	a.remove(now, i)
	w.result <- err
}

// remove removes the waiter at the index. If it was the first one, the wait of the
// next one is shortened by the time for the tokens that it needs less.
func (a *account) remove(now time.Time, i int) {
	first := a.waiters[0].tokens
	a.waiters = slices.Delete(a.waiters, i, i+1)
	a.denied = a.denied && len(a.waiters) > 0
	if i > 0 || !a.denied {
		return
	}
	less := saturatingSub(first, a.waiters[0].tokens)
	sooner := time.Duration(float64(less) / float64(a.share) * float64(time.Second))
	a.notBefore = latest(now, a.notBefore.Add(-sooner))
	a.refilledAt = a.refilledAt.Add(-sooner)
}

// refusal returns the error for a request that cannot be served in time.
func (a *account) refusal(now time.Time, w *waiter, at time.Time) error {
	since := a.unanswered(now)
	if !a.ownerLostSince.IsZero() {
		err := errors.Wrapf(boragewick.ErrStaleConfig, "no answer from the rate owner for %s", now.Sub(since))
		if a.limit == nil {
			err = &boragewick.RetryError{At: a.serviceAt(now, since, w.tokens), Err: err}
		}
		return boragewick.NotRun(err)
	}
	err := errors.Wrapf(boragewick.ErrRateExceeded, "workspace %s needs %d tokens", a.workspace, w.tokens)
	if a.limit != nil {
		err = errors.Wrapf(boragewick.ErrRateExceeded, "limit of %d thousandths of a request a second", a.limit.MilliPerSecond)
	}
	if a.limit == nil && !since.IsZero() {
		return boragewick.NotRun(&boragewick.RetryError{At: a.serviceAt(now, since, w.tokens), Err: err})
	}
	return boragewick.NotRun(&boragewick.RetryError{At: a.returnAt(now, at, w.tokens), Err: err})
}

// returnAt returns when a request that is refused finds its tokens if it comes back, given
// when the next tokens are available. Refused requests are spread in the order of their
// refusals: if all of a burst came back with the first tokens, most would be refused again.
func (a *account) returnAt(now, at time.Time, tokens uint64) time.Time {
	if a.limit != nil || a.share == 0 {
		return at
	}
	at = latest(at, a.returnsUntil)
	if end := now.Add(maxReturnSeconds * time.Second); at.After(end) {
		at = end
	}
	a.returnsUntil = at.Add(time.Duration(float64(tokens) / float64(a.share) * float64(time.Second)))
	return at
}
