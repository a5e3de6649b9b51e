package boragewick

import "time"

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
	// Agent is the run of the agent that may take the claim, once.
	Agent Incarnation `cbor:"agent"`
	// Attempt counts the dispatches of the claim; an agent refuses an attempt
	// older than one it has seen.
	Attempt uint64 `cbor:"attempt"`
	// Deadline is when the agent must refuse to take the claim.
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
	// ClaimNotRun is proved: the request did not run and may be claimed again.
	ClaimNotRun ClaimState = "not_run"
	// ClaimUnknown means that the request may have run; it is never sent again.
	ClaimUnknown ClaimState = "unknown"
)

// ClaimRecord is what the log keeps of a claim.
type ClaimRecord struct {
	Claim Claim      `cbor:"claim"`
	State ClaimState `cbor:"state"`
	// Answer is the stored answer of a claim that is done.
	Answer *StoredAnswer `cbor:"answer,omitempty"`
	// Expires is when the record is forgotten.
	Expires time.Time `cbor:"expires"`
}

// StoredAnswer is an endpoint's whole answer, kept for resends.
type StoredAnswer struct {
	Head Head   `cbor:"head"`
	Body []byte `cbor:"body"`
}
