package policy

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/bench/fleet"
)

// local is a router that asks nobody. It works out each endpoint's queue from
// the last load report and from what it has sent itself since.
type local struct {
	ranked

	*Fleet
	rand  *rand.Rand
	known map[string]*estimate
	// matched returns the leading blocks that the router believes cached.
	matched func(e *boragewick.Endpoint, blocks []boragewick.BlockHash) int
}

// estimate is what a router thinks of one endpoint.
type estimate struct {
	cache *fleet.Cache
	// queued is the work in tokens at the instant.
	queued float64
	at     time.Time
}

// newTree returns a router that predicts the caches from its own dispatches.
func newTree(f *Fleet, r *rand.Rand) *local {
	p := &local{Fleet: f, rand: r, known: map[string]*estimate{}}
	p.score = p.estimated
	p.matched = func(e *boragewick.Endpoint, blocks []boragewick.BlockHash) int {
		return p.of(e).cache.Matched(blocks)
	}
	return p
}

// newReplicated returns a router that has a copy of every agent's index.
func newReplicated(f *Fleet, r *rand.Rand) *local {
	p := &local{Fleet: f, rand: r, known: map[string]*estimate{}}
	p.score = p.estimated
	p.matched = func(e *boragewick.Endpoint, blocks []boragewick.BlockHash) int {
		return max(f.Runners[e.Name].Indexed(blocks), p.of(e).cache.Matched(blocks))
	}
	return p
}

// Select ranks all endpoints and notes what the first one gets.
func (p *local) Select(ctx context.Context, s boragewick.Selection) ([]boragewick.Candidate, error) {
	out, err := p.ranked.Select(ctx, s)
	if err != nil {
		return nil, err
	}
	e := p.of(out[0].Endpoint)
	e.queued += p.missing(&s, out[0].Endpoint)
	e.cache.Use(s.Blocks)
	return out, nil
}

// of returns the estimate of an endpoint as of now.
func (p *local) of(e *boragewick.Endpoint) *estimate {
	k := p.known[e.Name]
	if k == nil {
		k = &estimate{cache: fleet.NewCache(fleet.CacheBlocks)}
		p.known[e.Name] = k
	}
	now := p.Agenda.Now()
	k.queued = max(k.queued-now.Sub(k.at).Seconds()*fleet.PrefillPerSecond, 0)
	k.at = now
	return k
}

func (p *local) missing(s *boragewick.Selection, e *boragewick.Endpoint) float64 {
	return float64(s.PromptTokens) - float64(p.matched(e, s.Blocks)*boragewick.BlockTokens)
}

// estimated lets a load report fade as the endpoint works it off.
func (p *local) estimated(s *boragewick.Selection, e *boragewick.Endpoint) float64 {
	age := p.Agenda.Now().Sub(p.Reported).Seconds()
	reported := max(p.Loads[e.Name]-age*fleet.PrefillPerSecond, 0)
	score := p.of(e).queued + reported + missWeight*p.missing(s, e)
	return score * (1 + jitter*p.rand.Float64())
}
