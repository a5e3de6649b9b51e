package agent

import (
	"context"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// claimRunTimeout bounds a claimed request.
	claimRunTimeout = 5 * time.Minute
	// settleTimeout bounds the settlement of a claim.
	settleTimeout = 10 * time.Second
	// keptAnswerBytes bounds the part of an answer that is kept for resends.
	keptAnswerBytes = 64 << 10
)

// runClaimed takes the claim and runs the request, whether or not the router
// still listens, and settles the claim before it sends the answer's end.
func (a *Agent) runClaimed(ctx context.Context, r *boragewick.Request, send boragewick.Emit) error {
	if err := a.Takes.Take(a.Clock.Now(), *r.Claim); err != nil {
		return err
	}
	run, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimRunTimeout)
	defer cancel()
	var answer boragewick.StoredAnswer
	var lost error
	err := a.Engine.Run(run, r, func(c boragewick.Chunk) error {
		keep(&answer, &c)
		if c.End != nil {
			a.settle(r.Claim, boragewick.ClaimDone, &answer)
		}
		if lost == nil {
			lost = send(c)
		}
		return nil
	})
	if err == nil {
		return lost
	}
	if boragewick.OutcomeOf(err) == boragewick.OutcomeUnknown {
		a.settle(r.Claim, boragewick.ClaimUnknown, nil)
	}
	return err
}

// keep adds a chunk to the stored answer.
func keep(answer *boragewick.StoredAnswer, c *boragewick.Chunk) {
	if c.Head != nil {
		answer.Head = *c.Head
	}
	if len(answer.Body)+len(c.Data) > keptAnswerBytes {
		answer.BodyOmitted = true
		answer.Body = nil
	}
	if !answer.BodyOmitted {
		answer.Body = append(answer.Body, c.Data...)
	}
}

func (a *Agent) settle(c *boragewick.Claim, state boragewick.ClaimState, answer *boragewick.StoredAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_, err := a.Claims.Settle(ctx, boragewick.Settlement{
		Workspace: c.Workspace,
		Key:       c.Key,
		Request:   c.Request,
		Attempt:   c.Attempt,
		State:     state,
		Answer:    answer,
	})
	if err != nil {
		a.warn("claim not settled", c.Request, err)
	}
}

func (a *Agent) revoke(_ context.Context, c boragewick.Claim) (boragewick.Revocation, error) {
	revoked, err := a.Takes.Revoke(a.Clock.Now(), c)
	return boragewick.Revocation{Revoked: revoked}, err
}
