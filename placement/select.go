package placement

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// choice is an endpoint that may get the request, with its estimated cost in
// milliseconds until the first token and the number of leading parts that it has
// cached.
type choice struct {
	*endpointState
	group *weightsGroup
	known int
	cost  float64
	// zone is the index of the endpoint's zone in ZoneDemand.Zones. margin is added to the
	// cost when choices are compared; zoneReason is why the zone may be chosen.
	zone       int
	margin     float64
	zoneReason boragewick.ZoneReason
}

// Select implements boragewick.Selector. It returns the best endpoints for each
// version of the weights and of the software.
func (p *Placement) Select(_ context.Context, s boragewick.Selection) ([]boragewick.Candidate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	choices := p.eligible(&s, now)
	if len(choices) == 0 && s.AgeUnknown && !p.poolMeets(&s) {
		s.RequiredWeights = s.CertainWeights
		choices = p.eligible(&s, now)
	}
	if len(choices) == 0 {
		return nil, p.noEndpoint(&s, now)
	}
	groups := p.group(choices, &s, now)
	for _, g := range groups {
		g.old = g.isOlderThan(s.LeastWeights)
		g.assignHome()
	}
	jitter := p.spread.millis(s.Pool, now)
	for i := range choices {
		choices[i].cost = choices[i].estimate(&s, now) + rand.Float64()*jitter
	}
	p.addZoneMargins(choices, &s, now)
	slices.SortFunc(choices, func(a, b choice) int { return cmp.Compare(a.cost+a.margin, b.cost+b.margin) })
	candidates := make([]boragewick.Candidate, 0, min(len(choices), maxCandidates*len(groups)))
	for i := range choices {
		c := &choices[i]
		if c.group.candidates < maxCandidates {
			c.group.candidates++
			candidates = append(candidates, c.candidate(&s, now))
		}
	}
	return candidates, nil
}

// eligible returns the endpoints of the pool that take the request. Those that are
// known to be down are left out unless all are.
func (p *Placement) eligible(s *boragewick.Selection, now time.Time) []choice {
	list := make([]choice, 0, len(p.pools[s.Pool]))
	down := 0
	for _, e := range p.pools[s.Pool] {
		if e.accepts(now) && e.meets(s) && (s.Avoid == nil || !s.Avoid(e.Name)) {
			list = append(list, choice{endpointState: e})
			if e.isDown() {
				down++
			}
		}
	}
	if down > 0 && down < len(list) {
		list = slices.DeleteFunc(list, func(c choice) bool { return c.isDown() })
	}
	return list
}

// poolMeets reports whether any endpoint of the pool has the required weights and build,
// whether or not it takes requests now.
func (p *Placement) poolMeets(s *boragewick.Selection) bool {
	return slices.ContainsFunc(p.pools[s.Pool], func(e *endpointState) bool { return e.meets(s) })
}

// group assigns the endpoints to groups by their weights and software.
func (p *Placement) group(choices []choice, s *boragewick.Selection, now time.Time) []*weightsGroup {
	var groups []*weightsGroup
	for i := range choices {
		c := &choices[i]
		weights := c.weights(s.Model.Name)
		at := slices.IndexFunc(groups, func(g *weightsGroup) bool { return g.weights == weights && g.build == c.Build })
		if at < 0 {
			at = len(groups)
			g := newWeightsGroup(s, weights, c.Build)
			g.byZone = p.considersZones(s.Pool)
			g.addStores(p, s)
			groups = append(groups, g)
		}
		c.group = groups[at]
		c.known = c.group.add(c.endpointState, now)
	}
	return groups
}

// accepts reports whether the endpoint takes new requests from this router.
func (s *endpointState) accepts(now time.Time) bool {
	return !s.Leaving && !s.runs.newest.statedLeaving && !now.Before(s.acceptsAt())
}

// acceptsAt returns when an endpoint that doesn't leave takes new requests from this
// router again; a time in the past means that it does.
func (s *endpointState) acceptsAt() time.Time {
	if s.deferredUntil.After(s.retryAt) {
		return s.deferredUntil
	}
	return s.retryAt
}

// noEndpoint returns the error for a selection without an eligible endpoint. If all
// that are not leaving want no requests for some time, it tells when the first accepts
// them again.
func (p *Placement) noEndpoint(s *boragewick.Selection, now time.Time) error {
	err := errors.Wrapf(boragewick.ErrNoEndpoint, "pool %s, weights %d", s.Pool, s.RequiredWeights)
	var retryAt time.Time
	for _, e := range p.pools[s.Pool] {
		if !e.meets(s) {
			continue
		}
		if e.accepts(now) {
			return boragewick.NotRun(err)
		}
		if at := e.acceptsAt(); !e.Leaving && !e.runs.newest.statedLeaving && (retryAt.IsZero() || at.Before(retryAt)) {
			retryAt = at
		}
	}
	if !retryAt.IsZero() {
		err = &boragewick.RetryError{At: retryAt, Err: err}
	}
	return boragewick.NotRun(err)
}

// source is where an engine may fetch parts of the prompt that it lacks, and how many
// leading parts it has then. It has no address if there is none.
type source struct {
	addr    netip.AddrPort
	fetched int
	speed   float64
}

// source returns the best source for the endpoint.
func (c *choice) source(cached int) source {
	out := source{speed: fetchTokensPerMilli}
	engine, fetched := c.group.fetchSource(c.endpointState, c.known)
	if engine != nil {
		out.addr = engine.Agent
		if c.group.byZone && engine.isInOtherZone(c.endpointState) {
			out.speed /= otherZoneFetchFactor
		}
	}
	out.fetched = fetched
	if st, stored := c.group.bestStore(c.known); stored > max(cached, fetched) {
		out = source{addr: st.addr, fetched: stored, speed: storeTokensPerMilli}
	}
	return out
}

// estimate returns the estimated milliseconds until the first token.
func (c *choice) estimate(sel *boragewick.Selection, now time.Time) float64 {
	cached := max(c.known, c.group.expectedParts(c.endpointState))
	rates := c.serviceCost(now)
	cost := c.endpointState.cost(sel, cached, &rates, now)
	if src := c.source(cached); src.fetched > cached {
		cost += src.millis(sel, cached, &rates)
	}
	if c.group.old {
		cost += expiringWeightsPenaltyMillis
	}
	return cost
}

// millis returns by how much the time until the first token changes if the engine fetches
// parts instead of prefilling them.
func (src *source) millis(sel *boragewick.Selection, cached int, rates *boragewick.ServiceCost) float64 {
	extra := float64(leadingTokens(sel, src.fetched) - leadingTokens(sel, cached))
	return fetchOverheadMillis + extra/src.speed - extra*rates.Token
}

// candidate returns the endpoint as a candidate.
func (c *choice) candidate(sel *boragewick.Selection, now time.Time) boragewick.Candidate {
	cached := max(c.known, c.group.expectedParts(c.endpointState))
	src := c.source(cached)
	out := boragewick.Candidate{
		Endpoint:   c.published,
		Matched:    leadingTokens(sel, cached),
		Weights:    c.group.weights,
		Scope:      c.group.scope,
		Source:     src.addr,
		Limit:      c.limit,
		ZoneReason: c.zoneReason,
		MemoryUse:  c.memoryUse(sel, cached),
		FirstToken: now.Add(time.Duration(c.cost * float64(time.Millisecond))),
		Slots:      c.slots,
	}
	if c.report != nil {
		out.Requests = c.report.active + c.report.queued
		out.Unread = c.report.prefilling + c.report.queued
	}
	rates := c.serviceCost(now)
	out.ServiceMillis = c.serviceMillis(sel, cached, &rates, now)
	if src.fetched > cached {
		out.ServiceMillis += src.millis(sel, cached, &rates)
	}
	if max(cached, src.fetched) < len(c.group.partKeys) {
		out.SaveTo = c.group.targetStore
	}
	return out
}
