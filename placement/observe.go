package placement

import (
	"time"

	"github.com/boragewick/boragewick"
)

// agentReport is the state of an engine as reported by its agent.
type agentReport struct {
	cachedTokens map[uint64]int
	queued       int
	active       int
	prefilling   int
	usedTokens   int
	totalTokens  int
	reportedAt   time.Time
	down         bool
	// sentRequests and sentTokens count the requests that this router has sent
	// since reportedAt, and their tokens to prefill.
	sentRequests int
	sentTokens   int
}

// ObserveEngine applies an update from an engine's agent. A nil update means
// that the agent is unreachable.
func (p *Placement) ObserveEngine(endpoint string, u *boragewick.EngineUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, runs := p.endpoints[endpoint], p.runs[endpoint]
	if s == nil {
		if runs != nil {
			runs.observe(u, runs.newest.id, p.now())
		}
		return
	}
	runs.observe(u, s.Incarnation, p.now())
	if u == nil {
		s.report = nil
		return
	}
	if s.report == nil || u.Reset {
		s.report = &agentReport{cachedTokens: map[uint64]int{}}
	}
	r := s.report
	for _, part := range u.Parts {
		if part.Tokens == 0 {
			delete(r.cachedTokens, part.Key)
		} else {
			r.cachedTokens[part.Key] = part.Tokens
			p.notePrefilled(part.Key, p.now())
		}
	}
	r.queued, r.active, r.prefilling = u.Queued, u.Active, u.Prefilling
	r.usedTokens, r.totalTokens = u.Used, u.Total
	r.reportedAt = p.now()
	r.down = u.Down
	r.sentRequests, r.sentTokens = 0, 0
}

// isDown reports whether the endpoint's agent reports that it is down.
func (s *endpointState) isDown() bool { return s.report != nil && s.report.down }
