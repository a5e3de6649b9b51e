// Package policy holds the routing policies that the router's own one is
// compared with.
package policy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/bench/fleet"
	"github.com/boragewick/boragewick/picker"
)

// The names of the policies.
const (
	Random   = "random"
	Least    = "least-load"
	Hash     = "consistent-hash"
	Tree     = "router-tree"
	Replicas = "index-replicas"
	Picker   = "picker"
	Oracle   = "oracle"
	hashedBy = 32
	// returned is the number of candidates that a policy returns.
	returned = 8
	// missWeight is the weight of missing tokens against queued ones.
	missWeight = 1.5
	// jitter is the largest share that is added to an estimate at random.
	jitter = 0.05
)

// Names lists the policies.
var Names = []string{Random, Least, Hash, Tree, Replicas, Picker, Oracle}

// Fleet is what policies can see.
type Fleet struct {
	// Agenda is the clock.
	Agenda *fleet.Agenda
	// Runners are the true engines, by name.
	Runners map[string]*fleet.Runner
	// Loads are the last load reports in tokens, by name.
	Loads map[string]float64
	// Reported is the instant of which the load reports tell.
	Reported time.Time
	// Probes counts the probes and Timeouts those without an answer.
	Probes, Timeouts atomic.Int64
}

// New returns a selector with the named policy, or ErrBadSettings.
func New(name string, f *Fleet, seed uint64) (boragewick.Selector, error) {
	r := rand.New(rand.NewPCG(seed, 3))
	switch name {
	case Random:
		return &ranked{score: func(*boragewick.Selection, *boragewick.Endpoint) float64 {
			return r.Float64()
		}}, nil
	case Least:
		return &ranked{score: func(_ *boragewick.Selection, e *boragewick.Endpoint) float64 {
			return f.Loads[e.Name] + r.Float64()
		}}, nil
	case Hash:
		return &ranked{score: byHash}, nil
	case Tree:
		return newTree(f, r), nil
	case Replicas:
		return newReplicated(f, r), nil
	case Oracle:
		return &ranked{score: f.truth}, nil
	case Picker:
		return &picker.Picker{
			Prober:  boragewick.ProberFunc(f.probe),
			Clock:   f.Agenda,
			Timeout: 1 << 40, // answers come at once on the agenda's clock
			Seed:    seed + 1,
		}, nil
	default:
		return nil, errors.Wrapf(boragewick.ErrBadSettings, "policy %q is none of %v", name, Names)
	}
}

// probe asks a runner, unless it cannot be reached.
func (f *Fleet) probe(_ context.Context, e *boragewick.Endpoint, q *boragewick.Probe) (boragewick.ProbeReply, error) {
	f.Probes.Add(1)
	r := f.Runners[e.Name]
	if r.Lost {
		f.Timeouts.Add(1)
		return boragewick.ProbeReply{}, boragewick.ErrTimeout
	}
	return r.Probe(q), nil
}

// truth is the oracle's score.
func (f *Fleet) truth(s *boragewick.Selection, e *boragewick.Endpoint) float64 {
	r := f.Runners[e.Name]
	if r.Down() {
		return 1e18
	}
	missing := s.PromptTokens - uint64(r.Matched(s.Blocks)*boragewick.BlockTokens)
	return float64(r.Queued()) + missWeight*float64(missing)
}

// byHash is the rendezvous score of a prompt's start.
func byHash(s *boragewick.Selection, e *boragewick.Endpoint) float64 {
	n := min(hashedBy, len(s.Blocks))
	return float64(xxh3.HashStringSeed(e.Name, uint64(s.Blocks[n-1])))
}

// ranked returns the endpoints with the lowest scores.
type ranked struct {
	endpoints []*boragewick.Endpoint
	score     func(*boragewick.Selection, *boragewick.Endpoint) float64
}

// Update applies changes of the set of endpoints.
func (p *ranked) Update(changes ...boragewick.EndpointChange) {
	for _, c := range changes {
		p.endpoints = slices.DeleteFunc(p.endpoints, func(e *boragewick.Endpoint) bool {
			return e.Name == c.Endpoint.Name
		})
		if !c.Removed {
			p.endpoints = append(p.endpoints, &c.Endpoint)
		}
	}
}

// Select ranks all endpoints.
func (p *ranked) Select(_ context.Context, s boragewick.Selection) ([]boragewick.Candidate, error) {
	type choice struct {
		*boragewick.Endpoint
		score float64
	}
	var choices []choice
	for _, e := range p.endpoints {
		if s.Avoid == nil || !s.Avoid(e.Name) {
			choices = append(choices, choice{e, p.score(&s, e)})
		}
	}
	if len(choices) == 0 {
		return nil, boragewick.NotRun(boragewick.ErrNoEndpoint)
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(a.score, b.score) })
	var out []boragewick.Candidate
	for _, c := range choices[:min(returned, len(choices))] {
		out = append(out, boragewick.Candidate{Endpoint: c.Endpoint})
	}
	return out, nil
}
