package picker

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/boragewick/boragewick"
)

// defaultSecondsPerToken is the assumed prefill time per token at endpoints that
// have not answered a probe yet.
const defaultSecondsPerToken = 1e-4

// minMeasuredTokens is the least prefill work, in tokens, from which
// secondsPerToken is measured.
const minMeasuredTokens = 2 * boragewick.BlockTokens

// probeLag is how long work that this router sent may be missing from the agent's
// probe replies.
const probeLag = 5 * time.Millisecond

// member is what a router knows of one endpoint. A changed announcement makes a
// new member, so that nothing known of an agent's previous run is kept.
type member struct {
	boragewick.Endpoint

	seed    uint64
	weight  float64
	removed bool
	// queuedTokens is the queued prefill work at the last reply.
	queuedTokens    float64
	secondsPerToken float64
	// measured is set once secondsPerToken comes from a reply.
	measured   bool
	answeredAt time.Time
	// sentTokens is the prefill work that this router sent recently, the last of
	// it at sentAt.
	sentTokens float64
	sentAt     time.Time
}

func newMember(e boragewick.Endpoint) *member {
	return &member{
		Endpoint:        e,
		seed:            xxh3.HashString(e.Name),
		weight:          float64(max(e.Weight, 1)),
		secondsPerToken: defaultSecondsPerToken,
	}
}

// recordReply records the reply to a probe for a request that has prefillTokens to
// prefill.
func (m *member) recordReply(r *boragewick.ProbeReply, prefillTokens float64, now time.Time) {
	m.queuedTokens = float64(r.Queued)
	m.answeredAt = now
	wait := r.FirstToken.Sub(r.Now).Seconds()
	if work := m.queuedTokens + prefillTokens; work >= minMeasuredTokens && wait > 0 {
		m.secondsPerToken = wait / work
		m.measured = true
	}
}

// recordSent records prefill work that this router sends.
func (m *member) recordSent(tokens float64, now time.Time) {
	if now.Sub(m.sentAt) > probeLag {
		m.sentTokens = 0
	}
	m.sentTokens += tokens
	m.sentAt = now
}

// inFlightTokens returns the prefill work that probe replies may not include yet.
func (m *member) inFlightTokens(now time.Time) float64 {
	if now.Sub(m.sentAt) > probeLag {
		return 0
	}
	return m.sentTokens
}

// backlogSeconds estimates the queueing time without a probe.
func (m *member) backlogSeconds(now time.Time) float64 {
	seconds := m.queuedTokens*m.secondsPerToken - now.Sub(m.answeredAt).Seconds()
	return max(seconds, 0) + m.inFlightTokens(now)*m.secondsPerToken
}
