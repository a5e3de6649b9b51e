package admission

import "time"

// slot implements boragewick.Slot.
type slot struct {
	queue   *Queue
	prefill uint64
	// counted is the part of the prompt that counts against the limit, and
	// passed the prompt tokens that were let in before it since.
	counted  uint64
	passed   uint64
	first    bool
	released bool
	// presumed ends the prefill of an answer whose first token is not seen.
	presumed *time.Timer
}

// Priority returns the priority for the engine, the higher the shorter the
// prompt.
func (s *slot) Priority() int { return -class(s.prefill) }

// FirstToken tells that the prefill is over, which makes room for others.
func (s *slot) FirstToken() {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if s.first || s.released {
		return
	}
	now := q.now()
	q.pace.prefilled(now, s.prefill)
	s.computed(now)
}

// presume ends the prefill without measuring it.
func (s *slot) presume() {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if !s.first && !s.released {
		q.pace.mark(q.now())
		s.computed(q.now())
	}
}

func (s *slot) computed(now time.Time) {
	s.first = true
	s.queue.batch.computed(s)
	s.queue.dispatch(now)
}

// Release frees the place.
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
	if s.presumed != nil {
		s.presumed.Stop()
	}
	if !s.first {
		s.queue.pace.mark(now)
		s.queue.batch.computed(s)
	}
	s.queue.batch.running--
	s.queue.dispatch(now)
}
