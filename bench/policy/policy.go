// Package policy implements the routing policies that the benchmark compares:
// the router's own picker and the alternatives to it.
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
	Random         = "random"
	LeastLoad      = "least-load"
	ConsistentHash = "consistent-hash"
	RouterTree     = "router-tree"
	IndexReplicas  = "index-replicas"
	Picker         = "picker"
	Oracle         = "oracle"
	hashedBlocks   = 32
	// maxCandidates is the number of candidates that a policy returns.
	maxCandidates = 8
	// missWeight weights the uncached tokens of a prompt relative to queued tokens.
	missWeight = 1.5
	// jitter is the largest fraction added at random to an estimated score.
	jitter = 0.05
)

// Names lists the policies.
var Names = []string{Random, LeastLoad, ConsistentHash, RouterTree, IndexReplicas, Picker, Oracle}

// Fleet is the state of the simulated fleet that policies read.
type Fleet struct {
	// Scheduler is the simulated clock.
	Scheduler *fleet.Scheduler
	// Runners are the simulated engines with their actual state, by name.
	Runners map[string]*fleet.Runner
	// Loads are the queued tokens in the last load reports, by name.
	Loads map[string]float64
	// ReportedAt is the instant at which the reported loads were measured.
	ReportedAt time.Time
	// Probes counts all probes and Timeouts those that got no answer.
	Probes, Timeouts atomic.Int64
}

// New returns a selector that implements the named policy, or ErrBadSettings if
// there is no such policy.
func New(name string, f *Fleet, seed uint64) (boragewick.Selector, error) {
	r := rand.New(rand.NewPCG(seed, 3))
	switch name {
	case Random:
		return &rankedSelector{score: func(*boragewick.Selection, *boragewick.Endpoint) float64 {
			return r.Float64()
		}}, nil
	case LeastLoad:
		return &rankedSelector{score: func(_ *boragewick.Selection, e *boragewick.Endpoint) float64 {
			return f.Loads[e.Name] + r.Float64()
		}}, nil
	case ConsistentHash:
		return &rankedSelector{score: rendezvousScore}, nil
	case RouterTree:
		return newTree(f, r), nil
	case IndexReplicas:
		return newReplicated(f, r), nil
	case Oracle:
		return &rankedSelector{score: f.oracleScore}, nil
	case Picker:
		return &picker.Picker{
			Prober:  boragewick.ProberFunc(f.probe),
			Clock:   f.Scheduler,
			Timeout: 1 << 40, // probes are answered without a delay in simulated time
			Seed:    seed + 1,
		}, nil
	default:
		return nil, errors.Wrapf(boragewick.ErrBadSettings, "policy %q is none of %v", name, Names)
	}
}

// probe sends a probe to a runner, or returns ErrTimeout if the runner is lost.
func (f *Fleet) probe(_ context.Context, e *boragewick.Endpoint, q *boragewick.Probe) (boragewick.ProbeReply, error) {
	f.Probes.Add(1)
	r := f.Runners[e.Name]
	if r.Unreachable {
		f.Timeouts.Add(1)
		return boragewick.ProbeReply{}, boragewick.ErrTimeout
	}
	return r.Probe(q), nil
}

// oracleScore scores an endpoint by the actual queue and cache of its runner.
func (f *Fleet) oracleScore(s *boragewick.Selection, e *boragewick.Endpoint) float64 {
	r := f.Runners[e.Name]
	if r.Down() {
		return 1e18
	}
	missing := s.PromptTokens - uint64(r.Matched(s.Blocks)*boragewick.BlockTokens)
	return float64(r.Queued()) + missWeight*float64(missing)
}

// rendezvousScore is the rendezvous hash of an endpoint and the first
// hashedBlocks blocks of a prompt.
func rendezvousScore(s *boragewick.Selection, e *boragewick.Endpoint) float64 {
	n := min(hashedBlocks, len(s.Blocks))
	return float64(xxh3.HashStringSeed(e.Name, uint64(s.Blocks[n-1])))
}

// rankedSelector selects the endpoints with the lowest scores.
type rankedSelector struct {
	endpoints []*boragewick.Endpoint
	score     func(*boragewick.Selection, *boragewick.Endpoint) float64
}

// Update applies changes to the set of endpoints.
func (p *rankedSelector) Update(changes ...boragewick.EndpointChange) {
	for _, c := range changes {
		p.endpoints = slices.DeleteFunc(p.endpoints, func(e *boragewick.Endpoint) bool {
			return e.Name == c.Endpoint.Name
		})
		if !c.Removed {
			p.endpoints = append(p.endpoints, &c.Endpoint)
		}
	}
}

// Select returns the endpoints with the lowest scores, lowest first.
func (p *rankedSelector) Select(_ context.Context, s boragewick.Selection) ([]boragewick.Candidate, error) {
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
	for _, c := range choices[:min(maxCandidates, len(choices))] {
		out = append(out, boragewick.Candidate{Endpoint: c.Endpoint})
	}
	return out, nil
}
