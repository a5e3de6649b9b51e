// Package placement chooses endpoints by what a router sees of them in its own
// traffic: the parts of prompts that it sent there, the requests that it has
// under way and the load that answers tell. Routers share nothing but a hash
// that gives each prompt the same home.
package placement

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"

	"github.com/boragewick/boragewick"
)

const (
	// prefillTokensPerMilli is the assumed speed of an engine's prefill, in
	// tokens a millisecond.
	prefillTokensPerMilli = 50.0
	// waitingMillis is the assumed delay by one request in an engine's queue.
	waitingMillis = 45.0
	// runningMillis is the assumed delay by one request in an engine's batch.
	runningMillis = 1.5
	// fetchTokensPerMilli is the assumed speed at which an engine fetches cached
	// parts from another one, and fetchMillis what a fetch takes besides, with
	// the room that the copy takes from other parts.
	fetchTokensPerMilli = 1000.0
	fetchMillis         = 10.0
	// oldWeightsMillis is what a request on older weights counts as.
	oldWeightsMillis = 60.0
	// reportLife is how long a reported load counts.
	reportLife = 3 * time.Second
	// partLife is how long a part counts as cached after it was last used.
	partLife = 20 * time.Second
	// eventLag is how long after its request a part may be missing in what the
	// agent tells, as engines tell of their caches late.
	eventLag = time.Second
	// wholePart is the share, in percent, of a part that must be cached for it to
	// count; engines cache whole blocks only.
	wholePart = 90
	// maxParts bounds the parts remembered for one endpoint.
	maxParts = 4096
	// jitterMillis spreads the choice among endpoints that are alike.
	jitterMillis = 1.0
)

// Placement is a boragewick.Selector. The zero value has no endpoints. It is
// safe for concurrent use.
type Placement struct {
	// Clock defaults to the clock of the instance.
	Clock boragewick.Clock

	mu        sync.Mutex
	endpoints map[string]*state
	pools     map[string][]*state
	stores    map[netip.AddrPort]*store
	// read tells when parts were seen to be read by any engine.
	read map[uint64]time.Time
}

// state is what is known of one endpoint.
type state struct {
	boragewick.Endpoint
	seed uint64
	// parts tells when parts of prompts were last used there.
	parts map[uint64]time.Time
	// inFlight are this router's requests, and prefill the tokens of those that
	// have had no answer yet.
	inFlight int
	prefill  int
	// queue is the load that the newest answer told, less this router's own
	// part in it.
	running, waiting int
	reported         time.Time
	// observed is what the agent beside the engine tells; nil without one.
	observed *observed
	// left is closed while the endpoint takes no new work.
	left chan struct{}
	// lost is closed while the engine doesn't answer the agent beside it.
	lost chan struct{}
}

var _ boragewick.Selector = (*Placement)(nil)

// Update implements boragewick.EndpointObserver.
func (p *Placement) Update(changes ...boragewick.EndpointChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoints == nil {
		p.endpoints = map[string]*state{}
	}
	for i := range changes {
		p.update(&changes[i])
	}
	p.pools = map[string][]*state{}
	for _, s := range p.endpoints {
		p.pools[s.Pool] = append(p.pools[s.Pool], s)
	}
	for _, list := range p.pools {
		slices.SortFunc(list, func(a, b *state) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// update applies one change. What an endpoint has cached ends with its run and
// with its weights.
func (p *Placement) update(c *boragewick.EndpointChange) {
	s := p.endpoints[c.Endpoint.Name]
	if c.Removed {
		if s != nil {
			s.leave()
		}
		delete(p.endpoints, c.Endpoint.Name)
		return
	}
	if s == nil || s.Incarnation != c.Endpoint.Incarnation {
		s = &state{seed: xxh3.HashString(c.Endpoint.Name), parts: map[uint64]time.Time{}, left: make(chan struct{}), lost: make(chan struct{})}
		p.endpoints[c.Endpoint.Name] = s
	}
	if !slices.Equal(s.Models, c.Endpoint.Models) {
		clear(s.parts)
	}
	if s.Leaving && !c.Endpoint.Leaving {
		s.left = make(chan struct{})
	}
	s.Endpoint = c.Endpoint
	if s.Leaving {
		s.leave()
	}
}

// leave tells the requests at the endpoint that it takes no new ones.
func (s *state) leave() {
	select {
	case <-s.left:
	default:
		close(s.left)
	}
}

// Select implements boragewick.Selector.
func (p *Placement) Select(_ context.Context, s boragewick.Selection) ([]boragewick.Candidate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	eligible := make([]*state, 0, len(p.pools[s.Pool]))
	for _, e := range p.pools[s.Pool] {
		if !e.Leaving && (s.Avoid == nil || !s.Avoid(e.Name)) {
			eligible = append(eligible, e)
		}
	}
	eligible = current(up(eligible), &s)
	if len(eligible) == 0 {
		return nil, boragewick.NotRun(errors.Wrapf(boragewick.ErrNoEndpoint, "pool %s", s.Pool))
	}
	groups := map[string]*group{}
	for _, e := range eligible {
		weights := e.weights(s.Model.Name)
		g := groups[weights]
		if g == nil {
			g = newGroup(&s, weights)
			g.addStores(p, &s)
			groups[weights] = g
		}
		g.add(e, now)
	}
	for _, g := range groups {
		g.settle()
	}
	costs := make(map[string]float64, len(eligible))
	candidates := make([]boragewick.Candidate, 0, len(eligible))
	for _, e := range eligible {
		c, cost := e.candidate(&s, groups[e.weights(s.Model.Name)], now)
		costs[e.Name] = cost
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b boragewick.Candidate) int {
		return cmp.Compare(costs[a.Endpoint.Name], costs[b.Endpoint.Name])
	})
	return candidates, nil
}

// candidate returns the endpoint as a candidate, and the milliseconds until its
// first token.
func (s *state) candidate(sel *boragewick.Selection, g *group, now time.Time) (boragewick.Candidate, float64) {
	known := s.cached(g, now)
	cached := max(known, g.expected(s))
	endpoint := s.Endpoint
	c := boragewick.Candidate{Endpoint: &endpoint, Matched: tokens(sel, cached), Weights: g.weights, Scope: g.scope}
	engine, fetched := g.source(s, known)
	if engine != nil {
		c.Source = engine.Agent
	}
	speed := fetchTokensPerMilli
	if st, kept := g.kept(known); kept > max(cached, fetched) {
		c.Source, fetched, speed = st.addr, kept, storeTokensPerMilli
	}
	if max(cached, fetched) < len(g.keys) {
		c.Keep = g.keepAt
	}
	cost := s.cost(sel, cached, now)
	if fetched > cached {
		extra := float64(tokens(sel, fetched) - tokens(sel, cached))
		cost += fetchMillis + extra/speed - extra/prefillTokensPerMilli
	}
	c.FirstToken = now.Add(time.Duration(cost * float64(time.Millisecond)))
	return c, cost
}

// current returns the endpoints whose weights are not too old, or all when there
// are no such.
func current(eligible []*state, s *boragewick.Selection) []*state {
	if s.LeastWeights == 0 {
		return eligible
	}
	var list []*state
	for _, e := range eligible {
		version, err := strconv.ParseUint(e.weights(s.Model.Name), 10, 64)
		if err == nil && version >= s.LeastWeights {
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		return eligible
	}
	return list
}

// cost estimates the milliseconds until the first token when the engine reads all
// that it hasn't cached.
func (s *state) cost(sel *boragewick.Selection, cached int, now time.Time) float64 {
	cost := rand.Float64() * jitterMillis
	running, waiting := s.load(now)
	if s.Kind == boragewick.EndpointPlain {
		return cost + float64(running+waiting+s.inFlight)*waitingMillis
	}
	missing := max(0, int(sel.PromptTokens)-tokens(sel, cached))
	cost += float64(missing) / prefillTokensPerMilli
	if o := s.observed; o != nil {
		cost += float64(o.prefill)/prefillTokensPerMilli + float64(o.queued+o.prefilling)*waitingMillis
		cost += float64(o.active+o.sent) * runningMillis
	} else {
		cost += float64(s.prefill)/prefillTokensPerMilli + float64(waiting)*waitingMillis
		cost += float64(running+s.inFlight) * runningMillis
	}
	if !s.hasWeights(sel.Model) {
		cost += oldWeightsMillis
	}
	return cost
}

// load returns what other routers have at the endpoint, as far as known.
func (s *state) load(now time.Time) (running, waiting int) {
	if now.Sub(s.reported) > reportLife {
		return 0, 0
	}
	return s.running, s.waiting
}

// hasWeights reports whether the endpoint serves the version of the model.
func (s *state) hasWeights(m boragewick.Model) bool {
	return m.Weights == "" || slices.ContainsFunc(s.Models, func(have boragewick.Model) bool {
		return have.Name == m.Name && have.Weights == m.Weights
	})
}

// cached returns how many leading parts of the prompt the engine has cached, as
// its agent tells or as this router has sent them there not long ago.
func (s *state) cached(g *group, now time.Time) int {
	life := partLife
	if s.observed != nil {
		life = eventLag
	}
	for i, key := range g.keys {
		if s.observed != nil && s.observed.parts[key] >= g.sizes[i]*wholePart/100 {
			continue
		}
		if now.Sub(s.parts[key]) > life {
			return i
		}
	}
	return len(g.keys)
}

// weights returns the version of the model's weights, or empty.
func (s *state) weights(model string) string {
	for i := range s.Models {
		if s.Models[i].Name == model {
			return s.Models[i].Weights
		}
	}
	return ""
}

// tokens returns the tokens of the leading parts of a prompt.
func tokens(sel *boragewick.Selection, parts int) int {
	n := 0
	for i := range parts {
		n += sel.Prefix[i].Tokens
	}
	return n
}

// mix hashes two hashes into one (the finaliser of SplitMix64).
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (p *Placement) now() time.Time {
	if p.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return p.Clock.Now()
}
