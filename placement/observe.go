package placement

import (
	"time"

	"github.com/boragewick/boragewick"
)

// observed is what the agent beside an engine tells of it.
type observed struct {
	parts      map[uint64]int
	queued     int
	active     int
	prefilling int
	at         time.Time
	// sent and prefill are this router's requests since then.
	sent    int
	prefill int
}

// Observe takes in what the agent beside an engine tells; nil tells that the
// agent is out of reach.
func (p *Placement) Observe(endpoint string, u *boragewick.EngineUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[endpoint]
	if s == nil {
		return
	}
	if u == nil {
		s.observed = nil
		return
	}
	if s.observed == nil || u.Reset {
		s.observed = &observed{parts: map[uint64]int{}}
	}
	o := s.observed
	for _, part := range u.Parts {
		if part.Tokens == 0 {
			delete(o.parts, part.Key)
		} else {
			o.parts[part.Key] = part.Tokens
		}
	}
	o.queued, o.active, o.prefilling = u.Queued, u.Active, u.Prefilling
	o.at = p.now()
	o.sent, o.prefill = 0, 0
}
