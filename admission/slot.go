package admission

import "time"

// slot implements boragewick.Slot.
type slot struct {
	queue    *Queue
	prefill  uint64
	since    time.Time
	first    bool
	released bool
	// presumed ends the prefill of an answer whose first token is not seen.
	presumed *time.Timer
}

// FirstToken tells that the prefill is over, which makes room for others.
func (s *slot) FirstToken() {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if s.first || s.released {
		return
	}
	now := q.now()
	q.pace.prefilled(now, s.since, s.prefill)
	s.computed(now)
}

// presume ends the prefill without measuring it.
func (s *slot) presume() {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if !s.first && !s.released {
		s.computed(q.now())
	}
}

func (s *slot) computed(now time.Time) {
	s.first = true
	s.queue.load.RunningPrefill -= s.prefill
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
	s.queue.load.Running--
	if !s.first {
		s.queue.load.RunningPrefill -= s.prefill
	}
	s.queue.dispatch(now)
}
