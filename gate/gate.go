// Package gate puts an admission queue and a cache index in front of an
// endpoint.
package gate

import (
	"context"

	"github.com/boragewick/boragewick"
)

// Gate implements boragewick.Engine by admitting each request before Engine
// runs it, and answers probes from the same figures.
type Gate struct {
	Engine    boragewick.Engine
	Admission boragewick.Admission
	// Cache tells what the engine has cached; nil means nothing.
	Cache boragewick.CacheIndex
	// Clock is SystemClock if nil.
	Clock boragewick.Clock
}

// Run waits for a place in the engine and runs the request. A request that is
// not admitted returns the error of the Admission. A request to a plain service
// counts as one token.
func (g *Gate) Run(ctx context.Context, r *boragewick.Request, emit func(boragewick.Chunk) error) error {
	w := boragewick.Work{
		Request:   r.ID,
		Workspace: r.Workspace,
		Weight:    r.Weight,
		Priority:  r.Priority,
		Deadline:  r.Deadline,
	}
	if r.Kind != boragewick.EndpointPlain {
		w.Prefill = g.prefill(r.PromptTokens, g.matched(r.Blocks))
		w.Output = r.MaxTokens
		w.Whole = !r.Stream
	}
	s, err := g.Admission.Admit(ctx, w)
	if err != nil {
		return err
	}
	defer s.Release()
	if g.Cache != nil {
		g.Cache.Learn(r.Blocks)
	}
	return g.Engine.Run(ctx, r, func(c boragewick.Chunk) error {
		if r.Stream && len(c.Data) > 0 {
			s.FirstToken()
		}
		return emit(c)
	})
}

// Probe tells how the endpoint would serve a request. It leaves the names of
// the endpoint and its run to the caller.
func (g *Gate) Probe(p *boragewick.Probe) boragewick.ProbeReply {
	matched := g.matched(p.Blocks)
	first := g.Admission.Expect(boragewick.Work{
		Workspace: p.Workspace,
		Prefill:   g.prefill(p.PromptTokens, matched),
		Deadline:  p.Deadline,
	})
	load := g.Admission.Load()
	return boragewick.ProbeReply{
		Matched:    matched,
		Queued:     load.QueuedPrefill + load.RunningPrefill,
		Running:    load.Running,
		FirstToken: first,
		Now:        g.clock().Now(),
		Refuse:     !p.Deadline.IsZero() && first.After(p.Deadline),
	}
}

func (g *Gate) matched(blocks []boragewick.BlockHash) int {
	if g.Cache == nil {
		return 0
	}
	return g.Cache.Matched(blocks)
}

// prefill returns the number of prompt tokens that are not cached.
func (g *Gate) prefill(prompt uint64, matched int) uint64 {
	return prompt - min(prompt, uint64(matched)*boragewick.BlockTokens)
}

func (g *Gate) clock() boragewick.Clock {
	if g.Clock == nil {
		return boragewick.SystemClock
	}
	return g.Clock
}
