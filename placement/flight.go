package placement

import (
	"time"

	"github.com/boragewick/boragewick"
)

// flight is one request on its way at an endpoint.
type flight struct {
	p       *Placement
	s       *state
	prefill int
	keys    []uint64
	done    bool
	left    <-chan struct{}
	lost    <-chan struct{}
}

// Begin notes that the request is sent to the candidate. End must be called.
func (p *Placement) Begin(c *boragewick.Candidate, s *boragewick.Selection) boragewick.Flight {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.endpoints[c.Endpoint.Name]
	if st == nil {
		st = &state{}
	}
	f := &flight{p: p, s: st, prefill: max(0, int(s.PromptTokens)-c.Matched), keys: newGroup(s, c.Weights).keys, left: st.left, lost: st.lost}
	st.inFlight++
	st.prefill += f.prefill
	if st.observed != nil {
		st.observed.sent++
		st.observed.prefill += f.prefill
	}
	return f
}

// Answered notes the load that the head of the answer tells.
func (f *flight) Answered(q *boragewick.EndpointQueue) {
	f.p.mu.Lock()
	defer f.p.mu.Unlock()
	if q == nil {
		return
	}
	f.s.running = max(0, q.Running-f.s.inFlight)
	f.s.waiting = q.Waiting
	f.s.reported = f.p.now()
}

// Started notes the first token: the prompt is read, and its shared parts are
// cached.
func (f *flight) Started() {
	f.p.mu.Lock()
	defer f.p.mu.Unlock()
	f.s.prefill -= f.prefill
	f.prefill = 0
	if f.s.parts == nil {
		return
	}
	now := f.p.now()
	if len(f.s.parts) > maxParts {
		f.s.forget(now)
	}
	for _, key := range f.keys {
		f.s.parts[key] = now
		f.p.noteRead(key, now)
	}
}

// Left implements boragewick.Flight.
func (f *flight) Left() <-chan struct{} { return f.left }

// Lost implements boragewick.Flight.
func (f *flight) Lost() <-chan struct{} { return f.lost }

// End notes that the request is over at the endpoint.
func (f *flight) End() {
	f.p.mu.Lock()
	defer f.p.mu.Unlock()
	if f.done {
		return
	}
	f.done = true
	f.s.prefill -= f.prefill
	f.prefill = 0
	f.s.inFlight--
}

// forget drops the parts that no longer count, or all when that is not enough.
func (s *state) forget(now time.Time) {
	for key, used := range s.parts {
		if now.Sub(used) > partLife {
			delete(s.parts, key)
		}
	}
	if len(s.parts) > maxParts {
		clear(s.parts)
	}
}
