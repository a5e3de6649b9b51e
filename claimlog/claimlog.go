// Package claimlog commits claims through the leading control replica.
package claimlog

import (
	"context"

	"github.com/boragewick/boragewick"
)

// Log implements boragewick.ClaimLog over links.
type Log struct {
	// Leader connects to the leading control replica.
	Leader boragewick.Peer
}

// Claim implements boragewick.ClaimLog.
func (l Log) Claim(ctx context.Context, c boragewick.Claim) (boragewick.ClaimResult, error) {
	var result boragewick.ClaimResult
	err := boragewick.Call(ctx, l.Leader, boragewick.MethodClaim, c, &result)
	return result, err
}

// Settle implements boragewick.ClaimLog.
func (l Log) Settle(ctx context.Context, s boragewick.Settlement) (boragewick.ClaimRecord, error) {
	var record boragewick.ClaimRecord
	err := boragewick.Call(ctx, l.Leader, boragewick.MethodSettle, s, &record)
	return record, err
}
