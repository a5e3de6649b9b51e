package policy

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/bench/fleet"
)

// localSelector selects endpoints without probing. It estimates each endpoint's
// queue from the last load report and from its own dispatches.
type localSelector struct {
	rankedSelector

	*Fleet
	rand      *rand.Rand
	estimates map[string]*estimate
	// matched returns the estimated number of leading blocks that are cached.
	matched func(e *boragewick.Endpoint, blocks []boragewick.BlockHash) int
}

// estimate is a router's estimate of the state of one endpoint.
type estimate struct {
	cache *fleet.Cache
	// queued is the prefill work at the instant at, in tokens, from the
	// router's own dispatches.
	queued float64
	at     time.Time
}

// newTree returns a selector that predicts the caches from its own dispatches.
func newTree(f *Fleet, r *rand.Rand) *localSelector {
	p := &localSelector{Fleet: f, rand: r, estimates: map[string]*estimate{}}
	p.score = p.estimatedScore
	p.matched = func(e *boragewick.Endpoint, blocks []boragewick.BlockHash) int {
		return p.estimateFor(e).cache.Matched(blocks)
	}
	return p
}

// newReplicated returns a selector that has a replica of every agent's index.
func newReplicated(f *Fleet, r *rand.Rand) *localSelector {
	p := &localSelector{Fleet: f, rand: r, estimates: map[string]*estimate{}}
	p.score = p.estimatedScore
	p.matched = func(e *boragewick.Endpoint, blocks []boragewick.BlockHash) int {
		return max(f.Runners[e.Name].MatchedByEvents(blocks), p.estimateFor(e).cache.Matched(blocks))
	}
	return p
}

// Select ranks all endpoints and adds the request to the estimate of the first
// one.
func (p *localSelector) Select(ctx context.Context, s boragewick.Selection) ([]boragewick.Candidate, error) {
	out, err := p.rankedSelector.Select(ctx, s)
	if err != nil {
		return nil, err
	}
	e := p.estimateFor(out[0].Endpoint)
	e.queued += p.uncachedTokens(&s, out[0].Endpoint)
	e.cache.Insert(s.Blocks)
	return out, nil
}

// estimateFor returns the estimate of an endpoint, updated to the current time.
func (p *localSelector) estimateFor(e *boragewick.Endpoint) *estimate {
	k := p.estimates[e.Name]
	if k == nil {
		k = &estimate{cache: fleet.NewCache(fleet.CacheBlocks)}
		p.estimates[e.Name] = k
	}
	now := p.Scheduler.Now()
	k.queued = max(k.queued-now.Sub(k.at).Seconds()*fleet.PrefillPerSecond, 0)
	k.at = now
	return k
}

func (p *localSelector) uncachedTokens(s *boragewick.Selection, e *boragewick.Endpoint) float64 {
	return float64(s.PromptTokens) - float64(p.matched(e, s.Blocks)*boragewick.BlockTokens)
}

// estimatedScore scores an endpoint by its estimated queue and uncached tokens.
// The load report decreases with its age at the prefill rate.
func (p *localSelector) estimatedScore(s *boragewick.Selection, e *boragewick.Endpoint) float64 {
	age := p.Scheduler.Now().Sub(p.ReportedAt).Seconds()
	reported := max(p.Loads[e.Name]-age*fleet.PrefillPerSecond, 0)
	score := p.estimateFor(e).queued + reported + missWeight*p.uncachedTokens(s, e)
	return score * (1 + jitter*p.rand.Float64())
}
