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
	result     chan error // gets one value
	generation uint64     // of the tokens, when the result is nil
}

// join adds a waiter or refuses at once what cannot be served in time.
func (a *account) join(now time.Time, tokens uint64, deadline time.Time) (*waiter, error) {
	w := &waiter{tokens: tokens, deadline: deadline, result: make(chan error, 1)}
	if !now.Before(deadline) {
		return nil, a.refusal(now, w, now)
	}
	index := len(a.waiters)
	if a.servedAt(now, a.notBefore, index).After(deadline) || index >= maxWaiters {
		return nil, a.refusal(now, w, a.servedAt(now, a.refilled, index))
	}
	if index == 0 && a.hopeless(now, tokens, deadline) {
		return nil, a.refusal(now, w, a.refilled)
	}
	a.waiters = append(a.waiters, w)
	return w, nil
}

// hopeless reports whether a request that needed no more was denied just now
// for longer than this one can wait.
func (a *account) hopeless(now time.Time, tokens uint64, deadline time.Time) bool {
	return sub(tokens, a.inHand()) >= a.least && now.Sub(a.deniedAt) < trustDenial && a.notBefore.After(deadline)
}

// servedAt estimates when the waiter at the index has its tokens, with the
// instant for the first one; without an answer that says more it is now.
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

// serveWaiters gives tokens in hand to waiters in order.
func (a *account) serveWaiters(now time.Time) {
	for len(a.waiters) > 0 && a.waiters[0].tokens <= a.inHand() {
		w := a.waiters[0]
		w.generation = a.take(now, w.tokens)
		w.result <- nil
		a.waiters = slices.Delete(a.waiters, 0, 1)
		a.denied = false
	}
}

// refuseLate refuses the waiters that cannot be served by their deadline.
func (a *account) refuseLate(now time.Time, burst uint64) {
	for i := 0; i < len(a.waiters); {
		w := a.waiters[i]
		switch {
		case w.tokens > burst:
			w.result <- boragewick.NotRun(errors.Wrapf(boragewick.ErrRateExceeded,
				"request of %d tokens is larger than the burst of workspace %s, %d", w.tokens, a.workspace, burst))
		case a.servedAt(now, a.notBefore, i).After(w.deadline):
			w.result <- a.refusal(now, w, a.servedAt(now, a.refilled, i))
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

// leave ends a wait with the error, or with a refusal when it is nil, unless
// the waiter has its result.
func (a *account) leave(now time.Time, w *waiter, err error) {
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return
	}
	if err == nil {
		err = a.refusal(now, w, a.servedAt(now, a.refilled, i))
	}
	a.remove(now, i)
	w.result <- err
}

// remove drops the waiter at the index. When it was the first one, the next
// one's turn comes earlier by the tokens that it needs less.
func (a *account) remove(now time.Time, i int) {
	first := a.waiters[0].tokens
	a.waiters = slices.Delete(a.waiters, i, i+1)
	a.denied = a.denied && len(a.waiters) > 0
	if i > 0 || !a.denied {
		return
	}
	less := sub(first, a.waiters[0].tokens)
	sooner := time.Duration(float64(less) / float64(a.share) * float64(time.Second))
	a.notBefore = latest(now, a.notBefore.Add(-sooner))
	a.refilled = a.refilled.Add(-sooner)
}

// refusal is the error of a request that cannot be served in time.
func (a *account) refusal(now time.Time, w *waiter, at time.Time) error {
	if !a.lostSince.IsZero() {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrStaleConfig,
			"no answer from the rate owner for %s", now.Sub(a.lostSince)))
	}
	err := errors.Wrapf(boragewick.ErrRateExceeded, "workspace %s needs %d tokens", a.workspace, w.tokens)
	return boragewick.NotRun(&boragewick.RetryError{At: at, Err: err})
}
