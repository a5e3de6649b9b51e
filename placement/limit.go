package placement

import (
	"math/rand/v2"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// maxLimitPerSecond is the limit, in requests a second, from which on it does not
	// bind and counts as none.
	maxLimitPerSecond = 10_000
	// milliPerRequest converts a limit to the unit in which it is shared.
	milliPerRequest = boragewick.LimitedRequest
	// minDeferral is the least time for which an endpoint is left out, and lostDeferral
	// that while nobody grants shares of limits.
	minDeferral  = 250 * time.Millisecond
	lostDeferral = time.Second
	// asksPerGrant bounds how often all routers together ask in vain for each request
	// that the limit allows, and maxDeferralSpread the time over which they spread.
	asksPerGrant      = 4
	maxDeferralSpread = 30 * time.Second
)

// noteLimit records what an answer says of the endpoint's limit. An answer without one
// ends it only if its request was sent after the limit was last named, as answers may
// overtake each other.
func (s *endpointState) noteLimit(r *boragewick.Reply, sentAt, now time.Time) {
	if r.Limited && r.LimitPerSecond < maxLimitPerSecond {
		s.limit = &boragewick.EndpointLimit{MilliPerSecond: uint64(r.LimitPerSecond * milliPerRequest), NamedAt: now}
		return
	}
	if s.limit == nil || r.NotRun || r.BadLimit != "" || !sentAt.After(s.limit.NamedAt) {
		return
	}
	s.limit, s.deferredUntil = nil, time.Time{}
}

// Defer implements boragewick.Placer. A zero time means that nobody could tell when a
// share of the limit is available.
func (p *Placement) Defer(c *boragewick.Candidate, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[c.Endpoint.Name]
	if s == nil || s.Incarnation != c.Endpoint.Incarnation || s.limit == nil {
		return
	}
	now := p.now()
	if until.IsZero() {
		until = now.Add(lostDeferral)
	}
	if least := now.Add(minDeferral); until.Before(least) {
		until = least
	}
	perSecond := max(1, float64(s.limit.MilliPerSecond)/milliPerRequest)
	spread := min(maxDeferralSpread.Seconds(), float64(p.spread.routers)/(asksPerGrant*perSecond))
	s.deferredUntil = until.Add(time.Duration(rand.Float64() * spread * float64(time.Second)))
}
