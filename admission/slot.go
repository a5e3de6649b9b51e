package admission

import "time"

// slot implements boragewick.Slot.
type slot struct {
	queue   *Queue
	prefill uint64
	// counted is the number of prompt tokens that count against the limit, and
	// overtakenBy the number of prompt tokens of shorter classes that have been
	// admitted since.
	counted     uint64
	overtakenBy uint64
	prefillDone bool
	released    bool
	// prefillTimer ends the prefill of a request whose answer comes in one
	// piece, so that its first token is not seen.
	prefillTimer *time.Timer
}

// Priority returns the priority for the engine, which is higher for shorter
// prompts.
func (s *slot) Priority() int { return -lengthClass(s.prefill) }

// FirstToken records the end of the prefill, which makes room for other requests.
func (s *slot) FirstToken() {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if s.prefillDone || s.released {
		return
	}
	now := q.now()
	q.throughput.prefilled(now, s.prefill)
	s.finishPrefill(now)
}

// assumePrefilled ends the prefill without measuring it.
func (s *slot) assumePrefilled() {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if !s.prefillDone && !s.released {
		q.throughput.startPrefill(q.now())
		s.finishPrefill(q.now())
	}
}

func (s *slot) finishPrefill(now time.Time) {
	s.prefillDone = true
	s.queue.batch.removePrefill(s)
	s.queue.dispatch(now)
}

// Release frees the place in the batch.
func (s *slot) Release() {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	s.release(q.now())
}

func (s *slot) release(now time.Time) {
	if s.released {
		return
	}
	s.released = true
	if s.prefillTimer != nil {
		s.prefillTimer.Stop()
	}
	if !s.prefillDone {
		s.queue.throughput.startPrefill(now)
		s.queue.batch.removePrefill(s)
	}
	s.queue.batch.running--
	s.queue.dispatch(now)
}
