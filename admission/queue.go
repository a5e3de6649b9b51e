// Package admission implements the queue in front of an engine. It shares the
// engine between workspaces by tokens and refuses requests early that would miss
// their deadline.
package admission

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// Defaults of the settings of a Queue.
const (
	defaultMaxBatch   = 32
	defaultMaxPrefill = 4 << 10
	defaultMaxQueued  = 256
	defaultQuantum    = 1 << 10
)

// Queue implements boragewick.Admission by weighted deficit round robin over the
// workspaces, counted in tokens. Priorities order the requests within a workspace
// and have no effect on those of other workspaces. Its zero value is ready for
// use; the exported fields are settings.
type Queue struct {
	// MaxBatch is the maximum number of requests in the engine.
	MaxBatch int
	// MaxPrefill is the maximum number of prompt tokens in the engine that
	// have not been computed. A single prompt counts for at most half of it.
	MaxPrefill uint64
	// MaxQueued is the maximum number of waiting requests.
	MaxQueued int
	// Quantum is the number of tokens that a workspace of weight 1 is credited
	// with in each round.
	Quantum uint64
	// Clock is SystemClock if nil.
	Clock boragewick.Clock

	mu     sync.Mutex
	ring   ring
	queued int
	// queuedPrefill is the number of prompt tokens of the waiting requests.
	queuedPrefill uint64
	batch         batch
	throughput    throughput
}

// waiter is a request in the queue.
type waiter struct {
	boragewick.Work
	cost uint64
	flow *flow
	// ready is closed once slot or err is set.
	ready chan struct{}
	slot  *slot
	err   error
}

// Admit waits for a place in the engine's batch. It returns ErrOverloaded in a
// RetryError when the first token would come after the deadline or the queue is
// full, and ErrCanceled when ctx is done. All errors are marked not run.
func (q *Queue) Admit(ctx context.Context, w boragewick.Work) (boragewick.Slot, error) {
	if ctx.Err() != nil {
		return nil, boragewick.NotRun(errors.Wrap(boragewick.ErrCanceled, "before the queue"))
	}
	q.mu.Lock()
	now := q.now()
	if err := q.checkDeadline(now, &w); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	if q.queued == 0 && q.fits(w.Prefill) {
		s := q.addToBatch(now, &w)
		q.mu.Unlock()
		return s, nil
	}
	wt := q.enqueue(now, w)
	q.shed(now)
	q.dispatch(now)
	q.mu.Unlock()
	return q.wait(ctx, wt)
}

// Load returns the exact number of queued and running requests and their prefill.
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

// EstimateFirstToken estimates from the measured rates when the first token of
// the work would come if it entered the queue now.
func (q *Queue) EstimateFirstToken(w boragewick.Work) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expect(q.now(), &w)
}

// wait waits until the request is admitted or refused, its deadline passes or
// ctx is done.
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
		q.abandon(wt, q.overloaded(wt.Deadline, "the deadline passed in the queue"))
	case <-ctx.Done():
		q.abandon(wt, boragewick.NotRun(errors.Wrap(boragewick.ErrCanceled, "in the queue")))
	}
	if wt.err != nil {
		return nil, wt.err
	}
	return wt.slot, nil
}

// abandon removes the waiter from the queue with the error. A waiter that was
// admitted in the meantime gives its place back.
func (q *Queue) abandon(wt *waiter, err error) {
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

// enqueue adds the request to the queue of its workspace.
func (q *Queue) enqueue(now time.Time, w boragewick.Work) *waiter {
	wt := &waiter{Work: w, cost: cost(&w), ready: make(chan struct{})}
	if q.queued == 0 {
		q.throughput.startServe(now)
	}
	q.ring.push(wt)
	q.queued++
	q.queuedPrefill += w.Prefill
	return wt
}

// remove removes the waiter from the queue of its workspace.
func (q *Queue) remove(wt *waiter) {
	q.ring.remove(wt)
	q.queued--
	q.queuedPrefill -= wt.Prefill
	if q.queued == 0 {
		q.throughput.stopServe()
	}
}

func (q *Queue) refuse(wt *waiter, err error) {
	q.remove(wt)
	wt.err = err
	close(wt.ready)
}

// dispatch admits waiters in round-robin order while there is room in the batch,
// and refuses those whose turn has come too late for their deadline.
func (q *Queue) dispatch(now time.Time) {
	for q.queued > 0 {
		wt := q.ring.next(q.quantum())
		if q.missesDeadline(now, wt) {
			q.refuse(wt, q.overloaded(now, "the first token would come too late"))
			continue
		}
		if !q.fits(wt.Prefill) {
			return
		}
		wt.flow.deficit -= wt.cost
		q.throughput.served(now, wt.cost)
		q.remove(wt)
		wt.slot = q.addToBatch(now, &wt.Work)
		close(wt.ready)
	}
}

// fits reports whether the batch has room for a request with the prefill.
func (q *Queue) fits(prefill uint64) bool {
	return q.batch.running < cmp.Or(q.MaxBatch, defaultMaxBatch) && q.batch.fits(prefill, q.maxPrefill())
}

func (q *Queue) addToBatch(now time.Time, w *boragewick.Work) *slot {
	if q.batch.prefill == 0 {
		q.throughput.startPrefill(now)
	}
	s := &slot{queue: q, prefill: w.Prefill}
	q.batch.add(s, q.maxPrefill())
	if w.Unstreamed {
		s.prefillTimer = time.AfterFunc(q.batchPrefillTime(), s.assumePrefilled)
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

// cost returns the share of the engine that the work takes, in tokens: its
// uncached prompt and the most output that it may generate.
func cost(w *boragewick.Work) uint64 { return max(1, w.Prefill+w.Output) }
