package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// dispatch admits one request and runs it on the engine.
func (a *Agent) dispatch(ctx context.Context, s boragewick.Stream) error {
	var r boragewick.Request
	if err := s.Recv(ctx, &r); err != nil {
		return boragewick.NotRun(err)
	}
	if r.Claim != nil && a.TakenClaims.Taken(*r.Claim) {
		return errors.Wrapf(boragewick.ErrClaimTaken, "claim %q has been taken", r.Claim.Key)
	}
	if err := a.startRequest(&r); err != nil {
		return err
	}
	defer a.running.Done()
	slot, err := a.Admission.Admit(ctx, a.work(&r))
	if err != nil {
		return err
	}
	defer slot.Release()
	r.Priority = slot.Priority()
	first := true
	send := func(c boragewick.Chunk) error {
		if first && len(c.Data) > 0 {
			first = false
			if r.Stream {
				slot.FirstToken()
			}
			a.Cache.PresumeCached(r.Blocks)
		}
		if c.End != nil {
			a.promptTokens.Add(c.End.PromptTokens)
			a.cachedTokens.Add(c.End.CachedTokens)
		}
		return s.Send(ctx, c)
	}
	if r.Claim != nil {
		return a.runClaimed(ctx, &r, send)
	}
	return a.Engine.Run(ctx, &r, send)
}

// work returns the admission queue's description of the request. A request to a
// plain service counts as one token.
func (a *Agent) work(r *boragewick.Request) boragewick.Work {
	w := boragewick.Work{
		Request:   r.ID,
		Workspace: r.Workspace,
		Weight:    r.Weight,
		Priority:  r.Priority,
		Deadline:  r.Deadline,
	}
	if r.Kind != boragewick.EndpointPlain {
		w.Prefill = a.uncachedTokens(r.PromptTokens, r.Blocks)
		w.Output = r.MaxTokens
		w.Unstreamed = !r.Stream
	}
	return w
}

// uncachedTokens returns the number of prompt tokens that are not in the prefix
// cache.
func (a *Agent) uncachedTokens(tokens uint64, blocks []boragewick.BlockHash) uint64 {
	cached := uint64(a.Cache.Matched(blocks)) * boragewick.BlockTokens
	return tokens - min(tokens, cached)
}

// probe estimates how a request would be served if it arrived now.
func (a *Agent) probe(_ context.Context, q boragewick.Probe) (boragewick.ProbeReply, error) {
	load := a.Admission.Load()
	work := boragewick.Work{
		Workspace: q.Workspace,
		Prefill:   a.uncachedTokens(q.PromptTokens, q.Blocks),
		Deadline:  q.Deadline,
	}
	firstToken := a.Admission.EstimateFirstToken(work)
	a.mu.Lock()
	defer a.mu.Unlock()
	return boragewick.ProbeReply{
		Endpoint:    a.Endpoint.Name,
		Incarnation: a.Endpoint.Incarnation,
		Matched:     a.Cache.Matched(q.Blocks),
		Queued:      load.QueuedPrefill + load.RunningPrefill,
		Running:     load.Running,
		FirstToken:  firstToken,
		Now:         a.Clock.Now(),
		Refuse:      a.leaving || (!q.Deadline.IsZero() && firstToken.After(q.Deadline)),
	}, nil
}

// load returns the numbers of queued and running requests and the token totals
// that give the cache hit rate.
func (a *Agent) load() boragewick.EndpointLoad {
	l := a.Admission.Load()
	return boragewick.EndpointLoad{
		Queued:       l.Queued,
		Running:      l.Running,
		PromptTokens: a.promptTokens.Load(),
		CachedTokens: a.cachedTokens.Load(),
	}
}
