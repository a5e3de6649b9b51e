package admission

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// defaultPrefillPerSecond is the prefill rate of a typical engine, in tokens per
// second. It is used until a rate has been measured.
const defaultPrefillPerSecond = 10_000

// expect estimates when the first token of new work would come.
func (q *Queue) expect(now time.Time, w *boragewick.Work) time.Time {
	start := now
	if q.queued > 0 || !q.fits(w.Prefill) {
		tokens := q.ring.ahead(w.Workspace, uint64(w.Weight), cost(w), q.quantum())
		start = now.Add(q.throughput.serve.duration(tokens+cost(w), q.throughput.sinceServed(now)))
	}
	return start.Add(q.prefillTime(w.Prefill))
}

// prefillTime estimates the time from a request's admission to its first token,
// including the prompts in the engine that are computed before it.
func (q *Queue) prefillTime(prefill uint64) time.Duration {
	return q.throughput.prefill.duration(q.batch.ahead(prefill)+prefill, 0)
}

// batchPrefillTime estimates how long the engine takes to compute the prompts it
// has, at defaultPrefillPerSecond until a rate has been measured.
func (q *Queue) batchPrefillTime() time.Duration {
	if q.throughput.prefill.tokens > 0 {
		return q.throughput.prefill.duration(q.batch.prefill, 0)
	}
	return time.Duration(q.batch.prefill) * time.Second / defaultPrefillPerSecond
}

// checkDeadline refuses work whose first token would come after its deadline.
func (q *Queue) checkDeadline(now time.Time, w *boragewick.Work) error {
	if w.Deadline.IsZero() {
		return nil
	}
	first := q.expect(now, w)
	if !first.After(w.Deadline) && now.Before(w.Deadline) {
		return nil
	}
	return q.overloaded(now.Add(first.Sub(w.Deadline)), "the first token would come too late")
}

// missesDeadline reports whether the waiter's first token would come after its
// deadline if it were admitted now.
func (q *Queue) missesDeadline(now time.Time, wt *waiter) bool {
	return !wt.Deadline.IsZero() && now.Add(q.prefillTime(wt.Prefill)).After(wt.Deadline)
}

// shed refuses one waiter when the queue is too long. It chooses the workspace
// with the largest backlog relative to its weight, and there the waiter with the
// least slack: the time left before its deadline once the waiters up to and
// including it have been served.
func (q *Queue) shed(now time.Time) {
	if q.queued <= cmp.Or(q.MaxQueued, defaultMaxQueued) {
		return
	}
	largest := q.ring.active[0]
	for _, f := range q.ring.active[1:] {
		if f.backlog*largest.weight > largest.backlog*f.weight {
			largest = f
		}
	}
	victim := largest.waiters[len(largest.waiters)-1]
	minSlack := time.Duration(1<<63 - 1)
	var before uint64
	for _, wt := range largest.waiters {
		before += wt.cost
		if wt.Deadline.IsZero() {
			continue
		}
		slack := wt.Deadline.Sub(now) - q.throughput.serve.duration(before, 0)
		if slack <= minSlack {
			victim, minSlack = wt, slack
		}
	}
	q.refuse(victim, q.overloaded(now.Add(q.throughput.serve.duration(victim.cost, 0)), "the queue is full"))
}

// overloaded returns an ErrOverloaded that may be retried at the given time.
func (q *Queue) overloaded(at time.Time, reason string) error {
	err := errors.Wrap(boragewick.ErrOverloaded, reason)
	return boragewick.NotRun(&boragewick.RetryError{At: at, Err: err})
}
