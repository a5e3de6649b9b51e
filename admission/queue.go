// Package admission holds the queue in front of an engine. It shares the
// engine between workspaces by tokens and refuses early what would come late.
package admission

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// The settings of a zero Queue.
const (
	defaultMaxBatch   = 32
	defaultMaxPrefill = 4 << 10
	defaultMaxQueued  = 256
	defaultQuantum    = 1 << 10
)

// Queue implements boragewick.Admission by deficit round robin over the
// workspaces, each by its weight, in tokens. Priorities order the requests of
// one workspace and never move another one's. Its zero value is ready for use;
// the exported fields are settings.
type Queue struct {
	// MaxBatch is the largest number of requests in the engine.
	MaxBatch int
	// MaxPrefill is the largest number of prompt tokens in the engine that
	// have not been computed. A long prompt counts for half of it.
	MaxPrefill uint64
	// MaxQueued is the largest number of waiting requests.
	MaxQueued int
	// Quantum is the number of tokens that weight 1 earns in one round.
	Quantum uint64
	// Clock is SystemClock if nil.
	Clock boragewick.Clock

	mu     sync.Mutex
	ring   ring
	queued int
	// queuedPrefill is the sum of the prompts in the queue.
	queuedPrefill uint64
	batch         batch
	pace          pace
}

// waiter is one request in the queue.
type waiter struct {
	boragewick.Work
	cost uint64
	flow *flow
	// ready is closed once slot or err is set.
	ready chan struct{}
	slot  *slot
	err   error
}

// Admit waits for a place in the engine's batch. The errors are marked not
// run: ErrOverloaded with a RetryError when the first token would come after
// the deadline or the queue is full, ErrCanceled when ctx is done.
func (q *Queue) Admit(ctx context.Context, w boragewick.Work) (boragewick.Slot, error) {
	if ctx.Err() != nil {
		return nil, boragewick.NotRun(errors.Wrap(boragewick.ErrCanceled, "before the queue"))
	}
	q.mu.Lock()
	now := q.now()
	if err := q.late(now, &w); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	if q.queued == 0 && q.fits(w.Prefill) {
		s := q.take(now, &w)
		q.mu.Unlock()
		return s, nil
	}
	wt := q.push(now, w)
	q.shed(now)
	q.dispatch(now)
	q.mu.Unlock()
	return q.wait(ctx, wt)
}

// Load tells what is queued and running, exactly.
func (q *Queue) Load() boragewick.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return boragewick.Load{
		Queued:         q.queued,
		QueuedPrefill:  q.queuedPrefill,
		Running:        q.batch.running,
		RunningPrefill: q.batch.prefill,
	}
}

// Expect returns when the first token of the work would come if it were
// admitted now, as far as has been learned.
func (q *Queue) Expect(w boragewick.Work) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expect(q.now(), &w)
}

// wait waits until the request is admitted, refused or given up.
func (q *Queue) wait(ctx context.Context, wt *waiter) (boragewick.Slot, error) {
	var expired <-chan time.Time
	if !wt.Deadline.IsZero() {
		timer := time.NewTimer(wt.Deadline.Sub(q.now()))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-wt.ready:
	case <-expired:
		q.leave(wt, q.overloaded(wt.Deadline, "the deadline passed in the queue"))
	case <-ctx.Done():
		q.leave(wt, boragewick.NotRun(errors.Wrap(boragewick.ErrCanceled, "in the queue")))
	}
	if wt.err != nil {
		return nil, wt.err
	}
	return wt.slot, nil
}

// leave takes a waiter out of the queue. One that was admitted at the same
// time gives its place back.
func (q *Queue) leave(wt *waiter, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if wt.slot != nil {
		wt.slot.release(q.now())
		wt.err = err
	}
	if wt.err == nil {
		q.refuse(wt, err)
		q.dispatch(q.now())
	}
}

// push adds the request to its workspace's queue.
func (q *Queue) push(now time.Time, w boragewick.Work) *waiter {
	wt := &waiter{Work: w, cost: cost(&w), ready: make(chan struct{})}
	if q.queued == 0 {
		q.pace.busy(now)
	}
	q.ring.push(wt)
	q.queued++
	q.queuedPrefill += w.Prefill
	return wt
}

// drop takes the waiter out of its workspace's queue.
func (q *Queue) drop(wt *waiter) {
	q.ring.drop(wt)
	q.queued--
	q.queuedPrefill -= wt.Prefill
	if q.queued == 0 {
		q.pace.idle()
	}
}

func (q *Queue) refuse(wt *waiter, err error) {
	q.drop(wt)
	wt.err = err
	close(wt.ready)
}

// dispatch admits waiters while there is room.
func (q *Queue) dispatch(now time.Time) {
	for q.queued > 0 {
		wt := q.ring.next(q.quantum())
		if q.pastDeadline(now, wt) {
			q.refuse(wt, q.overloaded(now, "the first token would come too late"))
			continue
		}
		if !q.fits(wt.Prefill) {
			return
		}
		wt.flow.deficit -= wt.cost
		q.pace.served(now, wt.cost)
		q.drop(wt)
		wt.slot = q.take(now, &wt.Work)
		close(wt.ready)
	}
}

// fits reports whether a request with the prefill has room in the batch.
func (q *Queue) fits(prefill uint64) bool {
	return q.batch.running < cmp.Or(q.MaxBatch, defaultMaxBatch) && q.batch.fits(prefill, q.maxPrefill())
}

// take puts the work into the batch.
func (q *Queue) take(now time.Time, w *boragewick.Work) *slot {
	if q.batch.prefill == 0 {
		q.pace.mark(now)
	}
	s := &slot{queue: q, prefill: w.Prefill}
	q.batch.enter(s, q.maxPrefill())
	if w.Whole {
		s.presumed = time.AfterFunc(q.presume(), s.presume)
	}
	return s
}

func (q *Queue) maxPrefill() uint64 { return cmp.Or(q.MaxPrefill, defaultMaxPrefill) }

func (q *Queue) quantum() uint64 { return cmp.Or(q.Quantum, defaultQuantum) }

func (q *Queue) now() time.Time {
	if q.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return q.Clock.Now()
}

// cost is the share of the engine that the work takes, in tokens.
func cost(w *boragewick.Work) uint64 { return max(1, w.Prefill+w.Output) }
