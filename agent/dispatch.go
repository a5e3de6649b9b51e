package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// dispatch admits one request and has the engine run it.
func (a *Agent) dispatch(ctx context.Context, s boragewick.Stream) error {
	var r boragewick.Request
	if err := s.Recv(ctx, &r); err != nil {
		return boragewick.NotRun(err)
	}
	if r.Claim != nil && a.Takes.Taken(*r.Claim) {
		return errors.Wrapf(boragewick.ErrClaimTaken, "claim %q has been taken", r.Claim.Key)
	}
	if err := a.enter(&r); err != nil {
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
			a.Cache.Learn(r.Blocks)
		}
		if c.End != nil {
			a.prompt.Add(c.End.PromptTokens)
			a.cached.Add(c.End.CachedTokens)
		}
		return s.Send(ctx, c)
	}
	if r.Claim != nil {
		return a.runClaimed(ctx, &r, send)
	}
	return a.Engine.Run(ctx, &r, send)
}

// work returns the request as the queue takes it. One to a plain service counts
// as one token.
func (a *Agent) work(r *boragewick.Request) boragewick.Work {
	w := boragewick.Work{
		Request:   r.ID,
		Workspace: r.Workspace,
		Weight:    r.Weight,
		Priority:  r.Priority,
		Deadline:  r.Deadline,
	}
	if r.Kind != boragewick.EndpointPlain {
		w.Prefill = a.missing(r.PromptTokens, r.Blocks)
		w.Output = r.MaxTokens
		w.Whole = !r.Stream
	}
	return w
}

// missing returns the number of prompt tokens that are not cached.
func (a *Agent) missing(tokens uint64, blocks []boragewick.BlockHash) uint64 {
	cached := uint64(a.Cache.Matched(blocks)) * boragewick.BlockTokens
	return tokens - min(tokens, cached)
}

// probe tells how a request would be served at this instant.
func (a *Agent) probe(_ context.Context, q boragewick.Probe) (boragewick.ProbeReply, error) {
	load := a.Admission.Load()
	work := boragewick.Work{
		Workspace: q.Workspace,
		Prefill:   a.missing(q.PromptTokens, q.Blocks),
		Deadline:  q.Deadline,
	}
	first := a.Admission.Expect(work)
	a.mu.Lock()
	defer a.mu.Unlock()
	return boragewick.ProbeReply{
		Endpoint:    a.Endpoint.Name,
		Incarnation: a.Endpoint.Incarnation,
		Matched:     a.Cache.Matched(q.Blocks),
		Queued:      load.QueuedPrefill + load.RunningPrefill,
		Running:     load.Running,
		FirstToken:  first,
		Now:         a.Clock.Now(),
		Refuse:      a.leaving || (!q.Deadline.IsZero() && first.After(q.Deadline)),
	}, nil
}

// load tells how busy the endpoint is and how well its cache serves.
func (a *Agent) load() boragewick.EndpointLoad {
	l := a.Admission.Load()
	return boragewick.EndpointLoad{
		Queued:       l.Queued,
		Running:      l.Running,
		PromptTokens: a.prompt.Load(),
		CachedTokens: a.cached.Load(),
	}
}
