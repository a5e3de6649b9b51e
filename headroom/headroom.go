// Package headroom holds less urgent requests at the router while engines have little memory
// left, orders those that wait, and refuses those that their callers would abandon.
package headroom

import (
	"context"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
)

const (
	// minEvaluationGap bounds how often waiting requests are evaluated. A large pool has
	// hundreds of engine updates a second.
	minEvaluationGap = 20 * time.Millisecond
	// maxEvaluationGap is the longest time between two evaluations while requests wait, as
	// the time that their callers still wait passes without an update.
	maxEvaluationGap = 50 * time.Millisecond
	// gapPerWork is the least ratio of the time between two evaluations to the time that
	// one takes, so that a pool of thousands of engines doesn't take the router's processor.
	// maxWorkGap bounds that time, as an evaluation may also take long because the processor
	// was taken away meanwhile.
	gapPerWork = 50
	maxWorkGap = 200 * time.Millisecond
	// maxWaiting bounds the requests that wait at this router, and so the memory of their
	// bodies: some 40 KB each with long prompts, of 112 MB in the smallest class.
	maxWaiting = 512
	// maxRivals is the largest number of other routers that are assumed to send requests to
	// the same engine within reportLag. With 6 for 23 others, all sent to the engine that
	// reported a free slot first, whose queue then filled.
	maxRivals = 23
)

// Headroom is a boragewick.Headroom. Requests are held only while Run runs. Its fields are
// set before use; it is safe for concurrent use.
type Headroom struct {
	// Clock defaults to boragewick.SystemClock.
	Clock   boragewick.Clock
	Logger  log.Logger
	Metrics metrics.Registry

	// waiting is the number of requests that wait. It is changed while mu is held.
	waiting atomic.Int64
	// changed tells Run that engines have changed or that a request waits.
	changed signal

	mu      sync.Mutex
	running bool
	rivals  int
	// queues are by the name of their pool.
	queues map[string]*queue
}

var _ boragewick.Headroom = (*Headroom)(nil)

// signal is a channel that is made on first use and holds one value.
type signal struct {
	once sync.Once
	ch   chan struct{}
}

func (s *signal) channel() chan struct{} {
	s.once.Do(func() { s.ch = make(chan struct{}, 1) })
	return s.ch
}

// send does not block.
func (s *signal) send() {
	select {
	case s.channel() <- struct{}{}:
	default:
	}
}

// SetRouterCount sets the number of routers that send requests to the same engines.
func (h *Headroom) SetRouterCount(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rivals = min(max(0, n-1), maxRivals)
}

// EnginesChanged makes Run evaluate the waiting requests. It costs one comparison if there
// are none.
func (h *Headroom) EnginesChanged() {
	if h.waiting.Load() > 0 {
		h.changed.send()
	}
}

// Run evaluates waiting requests until ctx is done. It then releases all of them, to be sent
// at once.
func (h *Headroom) Run(ctx context.Context) error {
	h.mu.Lock()
	h.running = true
	h.mu.Unlock()
	defer h.stop()
	timer := time.NewTimer(maxEvaluationGap)
	defer timer.Stop()
	for ctx.Err() == nil {
		var expired <-chan time.Time
		if h.waiting.Load() > 0 {
			timer.Reset(maxEvaluationGap)
			expired = timer.C
		}
		select {
		case <-h.changed.channel():
		case <-expired:
		case <-ctx.Done():
			return nil
		}
		startedAt := time.Now()
		h.evaluate()
		boragewick.Sleep(ctx, max(minEvaluationGap, min(maxWorkGap, gapPerWork*time.Since(startedAt))))
	}
	return nil
}

// stop releases all waiting requests. Requests that come later aren't held.
func (h *Headroom) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running = false
	now := h.now()
	for _, q := range h.queues {
		for w := q.next(); w != nil; w = q.next() {
			q.remove(w)
			h.end(q, w, outcome{result: resultStopped}, now)
		}
	}
}

// Pressed implements boragewick.Headroom. A forecast that is too late for a caller implies
// a queue, whose memory is part of MemoryUse.
func (h *Headroom) Pressed(best *boragewick.Candidate) bool {
	if best.MemoryUse == 0 {
		return false
	}
	return best.MemoryUse >= leastLimit || h.waiting.Load() > 0 || best.Slots > 0 && float64(best.Requests) >= leastSlotUse*float64(best.Slots)
}

// Admit implements boragewick.Headroom.
func (h *Headroom) Admit(ctx context.Context, r *boragewick.HeadroomRequest, candidates []boragewick.Candidate) ([]boragewick.Candidate, boragewick.Place, error) {
	if !h.Pressed(&candidates[0]) {
		return candidates, nil, nil
	}
	w, out := h.arrive(r, candidates)
	if w == nil {
		return out.candidates, out.place(), out.err
	}
	select {
	case out = <-w.result:
	case <-ctx.Done():
		h.abandon(w, boragewick.NotRun(boragewick.ContextError(ctx)))
		out = <-w.result
	}
	if out.result == resultStopped {
		candidates, err := r.Select()
		return candidates, nil, err
	}
	return out.candidates, out.place(), out.err
}

// arrive decides on a new request. The waiter is nil unless the request has to wait.
func (h *Headroom) arrive(r *boragewick.HeadroomRequest, candidates []boragewick.Candidate) (*waiter, outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.running {
		return nil, outcome{candidates: candidates}
	}
	now := h.now()
	q := h.queue(r, now)
	w := newWaiter(r, now)
	q.ranks[w.rank].seenAt = now
	if engine := earliest(candidates).Sub(now); late(engine, r.UsefulUntil.Sub(now), engineMargin) {
		return nil, h.refuse(q, w, engine, now)
	}
	if !q.waitsUpTo(w.rank) {
		if i := q.choose(w, candidates, h.rivals, now); i >= 0 {
			return nil, h.admit(q, w, candidates, i, now)
		}
	}
	wait, known := q.forecastWait(w, q.newTurn(w).tokens)
	if q.hopeless(w, wait, now) || q.tooLong(w, wait, now) || h.waiting.Load() >= maxWaiting {
		return nil, h.refuse(q, w, wait, now)
	}
	q.add(w)
	h.hold(w, wait, known, now)
	return w, outcome{}
}

// evaluate admits waiting requests for which there is room and refuses those that can't be
// served in time any more.
func (h *Headroom) evaluate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	for pool, q := range h.queues {
		q.advance(now)
		for w := q.next(); w != nil; w = q.next() {
			if !h.tryRelease(q, w, now) {
				break
			}
		}
		for _, w := range q.takeHopeless(now) {
			h.end(q, w, h.refuse(q, w, w.wait, now), now)
		}
		if q.idle(now) {
			delete(h.queues, pool)
		}
	}
}

// tryRelease ends the wait of the first waiter if there is room for it or no endpoint. It
// reports whether it did.
func (h *Headroom) tryRelease(q *queue, w *waiter, now time.Time) bool {
	candidates, err := w.request.Select()
	if err != nil {
		q.remove(w)
		h.end(q, w, outcome{result: resultFailed, err: err}, now)
		return true
	}
	i := q.choose(w, candidates, h.rivals, now)
	if i < 0 {
		engine := earliest(candidates).Sub(now)
		if !late(engine, w.request.UsefulUntil.Sub(now), engineMargin) {
			return false
		}
		q.remove(w)
		h.end(q, w, h.refuse(q, w, engine, now), now)
		return true
	}
	q.remove(w)
	q.released(w)
	h.end(q, w, h.admit(q, w, candidates, i, now), now)
	return true
}

// abandon ends the wait with the error unless it has ended.
func (h *Headroom) abandon(w *waiter, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if q := w.queue; q != nil {
		q.advance(h.now())
		q.remove(w)
		h.end(q, w, outcome{result: resultLeft, err: err}, h.now())
	}
}

// admit records that the request is sent to a candidate.
func (h *Headroom) admit(q *queue, w *waiter, candidates []boragewick.Candidate, i int, now time.Time) outcome {
	c := &candidates[i]
	q.admit(w, c, now)
	ordered := append([]boragewick.Candidate{*c}, candidates[:i]...)
	return outcome{
		result: resultAdmitted, candidates: append(ordered, candidates[i+1:]...),
		admitted: &place{headroom: h, admission: q.recent[len(q.recent)-1], forecast: c.FirstToken, decidedAt: now, lead: &q.ranks[w.rank].forecast},
	}
}

// queue returns the queue for the request, brought up to date.
func (h *Headroom) queue(r *boragewick.HeadroomRequest, now time.Time) *queue {
	q := h.queues[r.Pool]
	if q == nil {
		if h.queues == nil {
			h.queues = map[string]*queue{}
		}
		q = &queue{advancedAt: now, seed: maphash.MakeSeed()}
		h.queues[r.Pool] = q
	}
	q.usedAt = now
	q.advance(now)
	return q
}

func (h *Headroom) now() time.Time {
	if h.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return h.Clock.Now()
}

// earliest returns the earliest forecast of a first token.
func earliest(candidates []boragewick.Candidate) time.Time {
	at := candidates[0].FirstToken
	for i := range candidates {
		if candidates[i].FirstToken.Before(at) {
			at = candidates[i].FirstToken
		}
	}
	return at
}
