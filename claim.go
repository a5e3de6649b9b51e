package boragewick

import (
	"context"
	"time"
)

// RequestDigest is a hash of the route, method, path and body of a request.
type RequestDigest [32]byte

// Claim is the right to run one unrepeatable request at one agent. It is
// committed to the replicated log before the request is sent.
type Claim struct {
	Workspace ID `cbor:"workspace"`
	// Key is the caller's Idempotency-Key, or the request's own ID without one.
	Key      string        `cbor:"key"`
	Digest   RequestDigest `cbor:"digest"`
	Request  RequestID     `cbor:"request"`
	Endpoint string        `cbor:"endpoint"`
	// Agent is the incarnation of the agent that may take the claim, once.
	Agent Incarnation `cbor:"agent"`
	// Attempt counts the dispatches of the claim from 1; an agent refuses an
	// attempt that is not newer than one it has seen. The log sets it.
	Attempt uint64 `cbor:"attempt"`
	// Deadline is the time from which the agent must refuse to take the claim.
	Deadline time.Time `cbor:"deadline"`
}

// ClaimState is the state of a claim.
type ClaimState string

// The states of a claim.
const (
	// ClaimOpen means that the request may be running.
	ClaimOpen ClaimState = "open"
	// ClaimDone means that the request ran and its answer is stored.
	ClaimDone ClaimState = "done"
	// ClaimNotRun means that the request provably did not run and may be claimed
	// again.
	ClaimNotRun ClaimState = "not_run"
	// ClaimUnknown means that the request may have run; it is never sent again.
	ClaimUnknown ClaimState = "unknown"
)

// ClaimRecord is the record of a claim in the replicated log.
type ClaimRecord struct {
	Claim Claim      `cbor:"claim"`
	State ClaimState `cbor:"state"`
	// Answer is the stored answer of a claim that is done.
	Answer *StoredAnswer `cbor:"answer,omitempty"`
	// Expires is when the record is deleted.
	Expires time.Time `cbor:"expires"`
}

// StoredAnswer is an endpoint's whole answer, kept for resends.
type StoredAnswer struct {
	Head Head   `cbor:"head"`
	Body []byte `cbor:"body"`
	// BodyOmitted reports whether the body was too large to be stored.
	BodyOmitted bool `cbor:"body_omitted,omitempty"`
}

// ClaimResult is the response to a claim.
type ClaimResult struct {
	Record ClaimRecord `cbor:"record"`
	// Granted reports whether the claim's request owns the record and may be
	// sent to the agent, once, with the record's Attempt. If not, the record
	// belongs to an earlier request with the same key.
	Granted bool `cbor:"granted"`
}

// Settlement is the outcome of an attempt of a claim.
type Settlement struct {
	Workspace ID         `cbor:"workspace"`
	Key       string     `cbor:"key"`
	Request   RequestID  `cbor:"request"`
	Attempt   uint64     `cbor:"attempt"`
	State     ClaimState `cbor:"state"`
	// Answer is set when State is ClaimDone.
	Answer *StoredAnswer `cbor:"answer,omitempty"`
}

// ClaimLog commits claims and settlements to the replicated log. After an error
// that is not marked not run, the command may have been committed.
type ClaimLog interface {
	// Claim grants the right to run a request to the first claim with its key.
	// It returns ErrKeyReused for the same key with another digest.
	Claim(ctx context.Context, c Claim) (ClaimResult, error)
	// Settle records how an attempt ended and may be repeated. It returns
	// ErrClaimTaken for an attempt that is not the record's.
	Settle(ctx context.Context, s Settlement) (ClaimRecord, error)
}

// Revocation is an agent's answer to a request to revoke a claim.
type Revocation struct {
	// Revoked reports whether the claim was not taken and never will be.
	Revoked bool `cbor:"revoked"`
}

// Revoker revokes claims at agents.
type Revoker interface {
	// Revoke makes the agent refuse the claim from now on, unless it has taken
	// it already.
	Revoke(ctx context.Context, e *Endpoint, c Claim) (Revocation, error)
}
