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
	down       bool
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
	s.setDown(u != nil && u.Down)
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
			p.noteRead(part.Key, p.now())
		}
	}
	o.queued, o.active, o.prefilling = u.Queued, u.Active, u.Prefilling
	o.at = p.now()
	o.down = u.Down
	o.sent, o.prefill = 0, 0
}

// setDown tells the requests at the engine whether it is down.
func (s *state) setDown(down bool) {
	select {
	case <-s.lost:
		if !down {
			s.lost = make(chan struct{})
		}
	default:
		if down {
			close(s.lost)
		}
	}
}

// up returns the endpoints that are not known to be down, or all when there are
// no such.
func up(eligible []*state) []*state {
	var list []*state
	for _, e := range eligible {
		if e.observed == nil || !e.observed.down {
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		return eligible
	}
	return list
}
