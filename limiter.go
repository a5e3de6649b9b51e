package boragewick

import (
	"context"
	"time"
)

// Limiter keeps workspaces within their rate.
type Limiter interface {
	// Reserve takes tokens from the workspace's allowance. It waits for them
	// when they will be there by the deadline and otherwise returns at once
	// with ErrRateExceeded, marked not run, as a RetryError.
	Reserve(ctx context.Context, workspace ID, tokens uint64, deadline time.Time) (Reservation, error)
}

// Reservation is a number of tokens taken from an allowance.
type Reservation interface {
	// Settle gives back what was reserved and not used. It is called once.
	Settle(used uint64)
}

// RateOwner hands out shares of workspaces' rates to routers.
type RateOwner interface {
	Grant(ctx context.Context, r GrantRequest) (Grant, error)
}

// GrantRequest asks for a share and gives back what is left of earlier ones.
type GrantRequest struct {
	Router      string      `cbor:"router"`
	Incarnation Incarnation `cbor:"incarnation"`
	Workspace   ID          `cbor:"workspace"`
	// Number counts the router's requests for the workspace, so that a resend
	// is answered again and not granted twice.
	Number uint64 `cbor:"number"`
	// Wanted is the number of tokens that waiting and expected requests need.
	Wanted uint64 `cbor:"wanted"`
	// Returned is the number of tokens of earlier grants that are given back.
	Returned uint64 `cbor:"returned"`
}

// Grant is a share of a workspace's allowance that one router may spend.
type Grant struct {
	Workspace ID     `cbor:"workspace"`
	Number    uint64 `cbor:"number"`
	Tokens    uint64 `cbor:"tokens"`
	// Expires is when unspent tokens are void, on the owner's clock.
	Expires time.Time `cbor:"expires"`
	// Now is the owner's clock when it granted.
	Now time.Time `cbor:"now"`
	// Available is when the rest of what was wanted can be granted; zero means
	// that nothing more was wanted.
	Available time.Time `cbor:"available,omitzero"`
}
