// Package unrepeatable makes requests that must not be repeated run at most
// once, by a claim in the replicated log.
package unrepeatable

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// takeTimeout is how long after claiming the agent may still take the claim.
	takeTimeout = 30 * time.Second
	// logTimeout bounds one command to the log.
	logTimeout = 5 * time.Second
	// revokeTimeout bounds the call that revokes a claim at an agent.
	revokeTimeout = 2 * time.Second
	// runTimeout bounds a claimed request, which continues when its caller disconnects.
	runTimeout = 5 * time.Minute
	// retryAfter is how long to wait before a resend while the earlier request runs.
	retryAfter = time.Second
)

// Sender is a boragewick.Sender that commits a claim before a request with a
// Claim is sent, and answers a resend with the stored answer. Other requests
// go directly to Next.
type Sender struct {
	Next    boragewick.Sender
	Claims  boragewick.ClaimLog
	Revoker boragewick.Revoker
	Clock   boragewick.Clock
}

// Send implements boragewick.Sender. The errors are ErrKeyReused,
// ErrClaimTaken while an earlier request with the key runs, ErrOutcomeUnknown,
// and those of Next.
func (s *Sender) Send(ctx context.Context, e *boragewick.Endpoint, r *boragewick.Request, emit boragewick.Emit) error {
	if r.Claim == nil {
		return s.Next.Send(ctx, e, r, emit)
	}
	// The request continues when the caller disconnects, as it may have started.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), runTimeout)
	defer cancel()
	result, err := s.claim(ctx, e, r)
	if err != nil {
		return err
	}
	if !result.Granted {
		return s.answerFromRecord(&result.Record, r, emit)
	}
	sent := *r
	sent.Claim = &result.Record.Claim
	err = s.Next.Send(ctx, e, &sent, emit)
	if err == nil {
		return nil
	}
	return s.resolveFailure(ctx, e, sent.Claim, err)
}

func (s *Sender) claim(ctx context.Context, e *boragewick.Endpoint, r *boragewick.Request) (boragewick.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	c := *r.Claim
	c.Digest = digest(r)
	c.Endpoint = e.Name
	c.Agent = e.Incarnation
	c.Deadline = s.Clock.Now().Add(takeTimeout)
	result, err := s.Claims.Claim(ctx, c)
	if err != nil && c.Key == string(r.ID) {
		// No other request has the key, and nothing is sent without a claim.
		err = boragewick.NotRun(err)
	}
	return result, errors.Wrap(err, "claim")
}

// answerFromRecord answers from the record of an earlier request with the same
// key.
func (s *Sender) answerFromRecord(record *boragewick.ClaimRecord, r *boragewick.Request, emit boragewick.Emit) error {
	switch record.State {
	case boragewick.ClaimDone:
		return replay(record.Answer, r, emit)
	case boragewick.ClaimOpen:
		err := errors.Wrapf(boragewick.ErrClaimTaken, "request %s with the key is running", record.Claim.Request)
		return &boragewick.RetryError{At: s.Clock.Now().Add(retryAfter), Err: err}
	default:
		return errors.Wrapf(boragewick.ErrOutcomeUnknown, "request %s with the key may have run", record.Claim.Request)
	}
}

// replay emits a stored answer under the request's own ID.
func replay(answer *boragewick.StoredAnswer, r *boragewick.Request, emit boragewick.Emit) error {
	if answer.BodyOmitted {
		return errors.Wrapf(boragewick.ErrOutcomeUnknown,
			"the request has run with status %d; its answer was too large to keep", answer.Head.Status)
	}
	chunks := []boragewick.Chunk{
		{Request: r.ID, Number: 1, Head: &answer.Head},
		{Request: r.ID, Number: 2, Data: answer.Body},
		{Request: r.ID, Number: 3, End: &boragewick.End{}},
	}
	for _, c := range chunks {
		if err := emit(c); err != nil {
			return err
		}
	}
	return nil
}

// resolveFailure finds out whether the request may have run. If it is proved not
// to have run, its claim is settled so that the key may be claimed again.
func (s *Sender) resolveFailure(ctx context.Context, e *boragewick.Endpoint, c *boragewick.Claim, err error) error {
	if !errors.Is(err, boragewick.ErrNotRun) && !s.revoke(ctx, e, c) {
		return errors.Mark(err, boragewick.ErrOutcomeUnknown)
	}
	err = boragewick.NotRun(err)
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	_, settleErr := s.Claims.Settle(ctx, boragewick.Settlement{
		Workspace: c.Workspace,
		Key:       c.Key,
		Request:   c.Request,
		Attempt:   c.Attempt,
		State:     boragewick.ClaimNotRun,
	})
	return errors.WithSecondaryError(err, settleErr)
}

// revoke asks the agent to revoke the claim and reports whether it is proved that
// the agent will never run it.
func (s *Sender) revoke(ctx context.Context, e *boragewick.Endpoint, c *boragewick.Claim) bool {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	reply, err := s.Revoker.Revoke(ctx, e, *c)
	return err == nil && reply.Revoked
}

// digest hashes the parts in which two requests with one key must agree.
func digest(r *boragewick.Request) boragewick.RequestDigest {
	h := sha256.New()
	for _, part := range []string{string(r.Route), r.Method, r.Path, string(r.Body)} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	var d boragewick.RequestDigest
	h.Sum(d[:0])
	return d
}
