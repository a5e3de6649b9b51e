package control

import (
	"context"

	"github.com/boragewick/boragewick"
)

func (c *Control) claim(ctx context.Context, claim boragewick.Claim) (boragewick.ClaimResult, error) {
	result, err := c.propose(ctx, boragewick.Command{Claim: &claim})
	if err != nil {
		return boragewick.ClaimResult{}, err
	}
	return *result.Claim, nil
}

func (c *Control) settle(ctx context.Context, s boragewick.Settlement) (boragewick.ClaimRecord, error) {
	result, err := c.propose(ctx, boragewick.Command{Settle: &s})
	if err != nil {
		return boragewick.ClaimRecord{}, err
	}
	return result.Claim.Record, nil
}
