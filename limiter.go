package boragewick

import (
	"context"
	"time"
)

// Limiter enforces the rates of workspaces.
type Limiter interface {
	// Reserve takes tokens from the workspace's allowance. It waits for them if
	// they will be available by the deadline and otherwise returns immediately
	// with ErrRateExceeded, marked not run, as a RetryError.
	Reserve(ctx context.Context, workspace ID, tokens uint64, deadline time.Time) (Reservation, error)
}

// Reservation is a number of tokens taken from an allowance.
type Reservation interface {
	// Settle releases the reserved tokens that were not used. It is called once.
	Settle(used uint64)
}

// RateOwner grants routers shares of the workspaces' rates.
type RateOwner interface {
	// Grant returns a share, which may be empty. It returns ErrUnknownObject for
	// a workspace without a rate, and ErrNotLeader on a replica that is not the
	// owner.
	Grant(ctx context.Context, r GrantRequest) (Grant, error)
}

// GrantRequest asks for a share and returns what is left of earlier ones. A
// router has one request at a time in flight for a workspace and ignores answers
// to earlier ones.
type GrantRequest struct {
	Router      string      `cbor:"router"`
	Incarnation Incarnation `cbor:"incarnation"`
	Workspace   ID          `cbor:"workspace"`
	// Number counts the router's requests for the workspace from 1, so that a
	// resent request is answered again and not granted twice.
	Number uint64 `cbor:"number"`
	// Least is the number of tokens that the first waiting request needs
	// beyond Held; a smaller grant is of no use to it. Zero means that no
	// request waits.
	Least uint64 `cbor:"least,omitempty"`
	// WaitMillis is how many milliseconds the first waiting request can wait.
	WaitMillis uint64 `cbor:"wait_millis,omitempty"`
	// Wanted is the number of tokens that waiting and expected requests need
	// beyond Held, Least included.
	Wanted uint64 `cbor:"wanted,omitempty"`
	// Held is the number of tokens that the router has and may still spend.
	Held uint64 `cbor:"held,omitempty"`
	// Settled accounts for tokens of earlier grants.
	Settled []SettledTokens `cbor:"settled,omitempty"`
	// FallbackHeld is what is left of the router's fallback share, and FallbackUsed what
	// was used of it and not reported before.
	FallbackHeld uint64 `cbor:"fallback_held,omitempty"`
	FallbackUsed uint64 `cbor:"fallback_used,omitempty"`
	// Limit is set if Workspace is the RunID of an endpoint, whose limit is granted like
	// the rate of a workspace.
	Limit *EndpointLimit `cbor:"limit,omitempty"`
}

// SettledTokens accounts for tokens of one generation of grants.
type SettledTokens struct {
	Generation uint64 `cbor:"generation"`
	// Used is the number of tokens that requests have finally used.
	Used uint64 `cbor:"used,omitempty"`
	// Returned is the number of unused tokens that are returned.
	Returned uint64 `cbor:"returned,omitempty"`
}

// Grant is a share of a workspace's allowance that one router may spend.
type Grant struct {
	Workspace ID     `cbor:"workspace"`
	Number    uint64 `cbor:"number"`
	// Tokens may be spent in addition to the Renewed ones that the router held.
	Tokens  uint64 `cbor:"tokens"`
	Renewed uint64 `cbor:"renewed,omitempty"`
	// Generation is the generation under which both are settled.
	Generation uint64 `cbor:"generation"`
	// Expires is when unspent tokens become invalid, on the owner's clock. A
	// router uses only its difference from Now, counted from when it sent the
	// request.
	Expires time.Time `cbor:"expires"`
	// Now is the time of the grant on the owner's clock.
	Now time.Time `cbor:"now"`
	// Available is when the rest of the wanted tokens may be granted, counting
	// those that other routers may return; zero means that no more were wanted.
	Available time.Time `cbor:"available,omitzero"`
	// Refilled is when the rest can be granted even if none are returned.
	Refilled time.Time `cbor:"refilled,omitzero"`
	// TokensPerSecond is the router's share of the rate while requests wait.
	TokensPerSecond uint64 `cbor:"tokens_per_second"`
	// Burst is the largest number of tokens that one request can get.
	Burst uint64 `cbor:"burst"`
	// Fallback is the number of tokens that the router may use while no owner answers, in
	// place of earlier such shares. It expires FallbackLifetime after the request was sent.
	Fallback uint64 `cbor:"fallback,omitempty"`
}

// FallbackLifetime is how long after its last grant a router may use its fallback share.
// Without a leader for six seconds, shares from just before the loss outlast that.
const FallbackLifetime = 10 * time.Second

// RateView is what a router knows of rates when their owner doesn't answer.
type RateView interface {
	// Rate returns the workspace's rate by the newest table, or false if it has none.
	Rate(workspace ID) (Rate, bool)
	// OwnerNamedAt returns when a control replica last named another one as the owner of
	// the rates; zero if none has.
	OwnerNamedAt() time.Time
}
