package admission

import "time"

// slot implements boragewick.Slot.
type slot struct {
	queue    *Queue
	prefill  uint64
	since    time.Time
	first    bool
	released bool
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
	s.first = true
	q.load.RunningPrefill -= s.prefill
	q.pace.prefilled(now, s.since, s.prefill)
	q.dispatch(now)
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
	s.queue.load.Running--
	if !s.first {
		s.queue.load.RunningPrefill -= s.prefill
	}
	s.queue.dispatch(now)
}
