package agent

import (
	"context"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// claimRunTimeout bounds the execution of a claimed request.
	claimRunTimeout = 5 * time.Minute
	// settleTimeout bounds the settlement of a claim.
	settleTimeout = 10 * time.Second
	// maxStoredAnswerBytes is the size up to which the body of an answer is stored
	// for resends.
	maxStoredAnswerBytes = 64 << 10
)

// runClaimed takes the claim and runs the request to completion even if the router
// has disconnected. It settles the claim before it sends the end of the answer.
func (a *Agent) runClaimed(ctx context.Context, r *boragewick.Request, send boragewick.Emit) error {
	if err := a.TakenClaims.Take(a.Clock.Now(), *r.Claim); err != nil {
		return err
	}
	run, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimRunTimeout)
	defer cancel()
	var answer boragewick.StoredAnswer
	var sendErr error
	err := a.Engine.Run(run, r, func(c boragewick.Chunk) error {
		appendChunk(&answer, &c)
		if c.End != nil {
			a.settle(r.Claim, boragewick.ClaimDone, &answer)
		}
		if sendErr == nil {
			sendErr = send(c)
		}
		return nil
	})
	if err == nil {
		return sendErr
	}
	if boragewick.OutcomeOf(err) == boragewick.OutcomeUnknown {
		a.settle(r.Claim, boragewick.ClaimUnknown, nil)
	}
	return err
}

// appendChunk adds a chunk to the stored answer. The body is dropped once it
// exceeds maxStoredAnswerBytes.
func appendChunk(answer *boragewick.StoredAnswer, c *boragewick.Chunk) {
	if c.Head != nil {
		answer.Head = *c.Head
	}
	if len(answer.Body)+len(c.Data) > maxStoredAnswerBytes {
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
	revoked, err := a.TakenClaims.Revoke(a.Clock.Now(), c)
	return boragewick.Revocation{Revoked: revoked}, err
}
