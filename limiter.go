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
	// Grant answers with a share that may be empty. A workspace without a
	// rate gives ErrUnknownObject and a replica that is not the owner
	// ErrNotLeader.
	Grant(ctx context.Context, r GrantRequest) (Grant, error)
}

// GrantRequest asks for a share and gives back what is left of earlier ones.
// A router has one request at a time under way for a workspace and ignores
// answers to earlier ones.
type GrantRequest struct {
	Router      string      `cbor:"router"`
	Incarnation Incarnation `cbor:"incarnation"`
	Workspace   ID          `cbor:"workspace"`
	// Number counts the router's requests for the workspace from 1, so that a
	// resend is answered again and not granted twice.
	Number uint64 `cbor:"number"`
	// Least is the number of tokens that the first waiting request needs
	// beyond Held; a smaller grant is of no use to it. Zero means that no
	// request waits.
	Least uint64 `cbor:"least,omitempty"`
	// WaitMillis is for how many milliseconds the first request can wait.
	WaitMillis uint64 `cbor:"wait_millis,omitempty"`
	// Wanted is the number of tokens that waiting and expected requests need
	// beyond Held, Least included.
	Wanted uint64 `cbor:"wanted,omitempty"`
	// Held is the number of tokens that the router has and may still spend.
	Held uint64 `cbor:"held,omitempty"`
	// Settled tells what became of tokens of earlier grants.
	Settled []SettledTokens `cbor:"settled,omitempty"`
}

// SettledTokens tells what became of tokens of one generation of grants.
type SettledTokens struct {
	Generation uint64 `cbor:"generation"`
	// Used is the number of tokens that requests have used for good.
	Used uint64 `cbor:"used,omitempty"`
	// Returned is the number of tokens that are given back.
	Returned uint64 `cbor:"returned,omitempty"`
}

// Grant is a share of a workspace's allowance that one router may spend.
type Grant struct {
	Workspace ID     `cbor:"workspace"`
	Number    uint64 `cbor:"number"`
	// Tokens may be spent besides the Renewed ones that the router held.
	Tokens  uint64 `cbor:"tokens"`
	Renewed uint64 `cbor:"renewed,omitempty"`
	// Generation is what both are reported under once they are settled.
	Generation uint64 `cbor:"generation"`
	// Expires is when unspent tokens are void, on the owner's clock. A router
	// uses only its distance from Now, counted from when it sent the request.
	Expires time.Time `cbor:"expires"`
	// Now is the owner's clock when it granted.
	Now time.Time `cbor:"now"`
	// Available is from when the rest of what was wanted may be granted, with
	// what other routers may give back; zero means that nothing more was wanted.
	Available time.Time `cbor:"available,omitzero"`
	// Refilled is when it can be granted though nothing is given back.
	Refilled time.Time `cbor:"refilled,omitzero"`
	// TokensPerSecond is the router's share of the rate while requests wait.
	TokensPerSecond uint64 `cbor:"tokens_per_second"`
	// Burst is the largest number of tokens that one request can have.
	Burst uint64 `cbor:"burst"`
}
