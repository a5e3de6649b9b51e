package picker

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/boragewick/boragewick"
)

// defaultSecondsPerToken is the prefill time of a token at endpoints that have
// not answered a probe yet.
const defaultSecondsPerToken = 1e-4

// minWork is the least work in tokens from which a pace is measured.
const minWork = 2 * boragewick.BlockTokens

// sentWindow is how long work that this router sent may be missing from the
// agent's answers to probes.
const sentWindow = 5 * time.Millisecond

// member is what a router knows of one endpoint. A new announcement makes a
// new member, so that nothing known of the old run of an agent is kept.
type member struct {
	boragewick.Endpoint

	seed   uint64
	weight float64
	gone   bool
	// queued is the prefill work in tokens at the last answer.
	queued          float64
	secondsPerToken float64
	// measured tells that secondsPerToken comes from an answer.
	measured bool
	answered time.Time
	// sent is the prefill work that this router sent since sentAt.
	sent   float64
	sentAt time.Time
}

func newMember(e boragewick.Endpoint) *member {
	return &member{
		Endpoint:        e,
		seed:            xxh3.HashString(e.Name),
		weight:          float64(max(e.Weight, 1)),
		secondsPerToken: defaultSecondsPerToken,
	}
}

// answer takes in the answer to a probe for a request that misses tokens.
func (m *member) answer(r *boragewick.ProbeReply, missing float64, now time.Time) {
	m.queued = float64(r.Queued)
	m.answered = now
	wait := r.FirstToken.Sub(r.Now).Seconds()
	if work := m.queued + missing; work >= minWork && wait > 0 {
		m.secondsPerToken = wait / work
		m.measured = true
	}
}

// dispatch notes work that this router sends.
func (m *member) dispatch(tokens float64, now time.Time) {
	if now.Sub(m.sentAt) > sentWindow {
		m.sent = 0
	}
	m.sent += tokens
	m.sentAt = now
}

// inFlight returns the work in tokens that probes may not show yet.
func (m *member) inFlight(now time.Time) float64 {
	if now.Sub(m.sentAt) > sentWindow {
		return 0
	}
	return m.sent
}

// backlog estimates the queue in seconds without asking.
func (m *member) backlog(now time.Time) float64 {
	seconds := m.queued*m.secondsPerToken - now.Sub(m.answered).Seconds()
	return max(seconds, 0) + m.inFlight(now)*m.secondsPerToken
}
