package admission

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// presumedPrefillPerSecond is the customary number of prompt tokens that an
// engine computes in a second.
const presumedPrefillPerSecond = 10_000

// expect returns when the first token of new work would come.
func (q *Queue) expect(now time.Time, w *boragewick.Work) time.Time {
	start := now
	if q.queued > 0 || !q.fits(w.Prefill) {
		tokens := q.ring.ahead(w.Workspace, uint64(w.Weight), cost(w), q.quantum())
		start = now.Add(q.pace.serve.time(tokens+cost(w), q.pace.waiting(now)))
	}
	return start.Add(q.prefillTime(w.Prefill))
}

// prefillTime returns how long a request takes from its admission to its first
// token, behind the prompts that the engine has.
func (q *Queue) prefillTime(prefill uint64) time.Duration {
	return q.pace.prefill.time(q.batch.ahead(prefill)+prefill, 0)
}

// presume returns how long the prompts in the engine take, at a customary rate
// before any was measured.
func (q *Queue) presume() time.Duration {
	if q.pace.prefill.tokens > 0 {
		return q.pace.prefill.time(q.batch.prefill, 0)
	}
	return time.Duration(q.batch.prefill) * time.Second / presumedPrefillPerSecond
}

// late refuses work whose first token would come after its deadline.
func (q *Queue) late(now time.Time, w *boragewick.Work) error {
	if w.Deadline.IsZero() {
		return nil
	}
	first := q.expect(now, w)
	if !first.After(w.Deadline) && now.Before(w.Deadline) {
		return nil
	}
	return q.overloaded(now.Add(first.Sub(w.Deadline)), "the first token would come too late")
}

// pastDeadline reports whether a waiter's first token would come too late if
// it were admitted now.
func (q *Queue) pastDeadline(now time.Time, wt *waiter) bool {
	return !wt.Deadline.IsZero() && now.Add(q.prefillTime(wt.Prefill)).After(wt.Deadline)
}

// shed refuses one waiter when the queue is too long. It takes it from the
// workspace with the largest backlog for its weight: the waiter with the least
// time left before its deadline once those before it are served.
func (q *Queue) shed(now time.Time) {
	if q.queued <= cmp.Or(q.MaxQueued, defaultMaxQueued) {
		return
	}
	largest := q.ring.turns[0]
	for _, f := range q.ring.turns[1:] {
		if f.backlog*largest.weight > largest.backlog*f.weight {
			largest = f
		}
	}
	victim := largest.waiters[len(largest.waiters)-1]
	least := time.Duration(1<<63 - 1)
	var before uint64
	for _, wt := range largest.waiters {
		before += wt.cost
		if wt.Deadline.IsZero() {
			continue
		}
		left := wt.Deadline.Sub(now) - q.pace.serve.time(before, 0)
		if left <= least {
			victim, least = wt, left
		}
	}
	q.refuse(victim, q.overloaded(now.Add(q.pace.serve.time(victim.cost, 0)), "the queue is full"))
}

// overloaded returns a refusal that allows a new try at the instant.
func (q *Queue) overloaded(at time.Time, reason string) error {
	err := errors.Wrap(boragewick.ErrOverloaded, reason)
	return boragewick.NotRun(&boragewick.RetryError{At: at, Err: err})
}
