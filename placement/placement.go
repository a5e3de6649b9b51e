// Package placement chooses endpoints by what a router sees of them in its own
// traffic: the parts of prompts that it sent there, the requests that it has
// under way and the load that answers tell. Routers share nothing but a hash
// that gives each prompt the same home.
package placement

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
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
	// oldWeightsMillis is what a request on older weights counts as.
	oldWeightsMillis = 250.0
	// reportLife is how long a reported load counts.
	reportLife = 3 * time.Second
	// partLife is how long a part counts as cached after it was last used.
	partLife = 20 * time.Second
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
		delete(p.endpoints, c.Endpoint.Name)
		return
	}
	if s == nil || s.Incarnation != c.Endpoint.Incarnation {
		s = &state{seed: xxh3.HashString(c.Endpoint.Name), parts: map[uint64]time.Time{}}
		p.endpoints[c.Endpoint.Name] = s
	}
	if !slices.Equal(s.Models, c.Endpoint.Models) {
		clear(s.parts)
	}
	s.Endpoint = c.Endpoint
}

// Select implements boragewick.Selector.
func (p *Placement) Select(_ context.Context, s boragewick.Selection) ([]boragewick.Candidate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	keys := partKeys(&s)
	eligible := make([]*state, 0, len(p.pools[s.Pool]))
	for _, e := range p.pools[s.Pool] {
		if !e.Leaving && (s.Avoid == nil || !s.Avoid(e.Name)) {
			eligible = append(eligible, e)
		}
	}
	if len(eligible) == 0 {
		return nil, boragewick.NotRun(errors.Wrapf(boragewick.ErrNoEndpoint, "pool %s", s.Pool))
	}
	homes := homesOf(keys, eligible)
	costs := make(map[string]float64, len(eligible))
	candidates := make([]boragewick.Candidate, 0, len(eligible))
	for _, e := range eligible {
		cached := e.cached(&s, keys, homes, now)
		cost := e.cost(&s, cached, now)
		costs[e.Name] = cost
		endpoint := e.Endpoint
		candidates = append(candidates, boragewick.Candidate{
			Endpoint:   &endpoint,
			Matched:    cached,
			FirstToken: now.Add(time.Duration(cost * float64(time.Millisecond))),
		})
	}
	slices.SortFunc(candidates, func(a, b boragewick.Candidate) int {
		return cmp.Compare(costs[a.Endpoint.Name], costs[b.Endpoint.Name])
	})
	return candidates, nil
}

// cost estimates the milliseconds until the first token.
func (s *state) cost(sel *boragewick.Selection, cached int, now time.Time) float64 {
	cost := rand.Float64() * jitterMillis
	running, waiting := s.load(now)
	if s.Kind == boragewick.EndpointPlain {
		return cost + float64(running+waiting+s.inFlight)*waitingMillis
	}
	missing := max(0, int(sel.PromptTokens)-cached)
	cost += float64(missing+s.prefill) / prefillTokensPerMilli
	cost += float64(waiting)*waitingMillis + float64(running+s.inFlight)*runningMillis
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

// cached estimates the tokens of the prompt that the engine has cached.
func (s *state) cached(sel *boragewick.Selection, keys []uint64, homes []*state, now time.Time) int {
	tokens := 0
	for i, key := range keys {
		if homes[i] != s && now.Sub(s.parts[key]) > partLife {
			break
		}
		tokens += sel.Prefix[i].Tokens
	}
	return tokens
}

// partKeys returns a key for each part that requests may share. The last part
// is the request's own unless it is the only one.
func partKeys(s *boragewick.Selection) []uint64 {
	shared := s.Prefix
	if len(shared) > 1 {
		shared = shared[:len(shared)-1]
	}
	keys := make([]uint64, len(shared))
	seed := xxh3.HashString(s.CacheScope)
	for i, part := range shared {
		seed = xxh3.HashStringSeed(part.ID, seed)
		keys[i] = seed
	}
	return keys
}

// homesOf returns the home of each key: the endpoint with the highest hash of
// both. A prompt's deepest part decides for the parts before it too.
func homesOf(keys []uint64, eligible []*state) []*state {
	homes := make([]*state, len(keys))
	if len(keys) == 0 {
		return homes
	}
	deepest := keys[len(keys)-1]
	best := slices.MaxFunc(eligible, func(a, b *state) int {
		return cmp.Compare(mix(deepest, a.seed), mix(deepest, b.seed))
	})
	for i := range homes {
		homes[i] = best
	}
	return homes
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
