package agents

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// Send implements boragewick.Sender. It checks that the answer is complete, in
// order and belongs to the request.
func (p *Pool) Send(ctx context.Context, e *boragewick.Endpoint, r *boragewick.Request, emit boragewick.Emit) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := *r
	sent.Target = e.Incarnation
	s, err := p.Peer(e).Open(ctx, boragewick.MethodDispatch, &sent)
	if err != nil {
		return errors.Wrapf(err, "endpoint %s", e.Name)
	}
	for number := uint64(1); ; number++ {
		var c boragewick.Chunk
		if err := s.Recv(ctx, &c); err != nil {
			return errors.Wrapf(truncatedErr(err), "endpoint %s", e.Name)
		}
		if c.Request != r.ID || c.Number != number {
			return errors.Wrapf(boragewick.ErrWrongAnswer, "endpoint %s sent chunk %d of %s for chunk %d of %s",
				e.Name, c.Number, c.Request, number, r.ID)
		}
		if err := emit(c); err != nil {
			return err
		}
		if c.End != nil {
			return nil
		}
	}
}

// truncatedErr returns ErrEndpointFailed for a stream that ends before the end of
// the answer, and other errors unchanged.
func truncatedErr(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.Wrap(boragewick.ErrEndpointFailed, "the answer has no end")
	}
	return err
}

// Revoke implements boragewick.Revoker.
func (p *Pool) Revoke(ctx context.Context, e *boragewick.Endpoint, c boragewick.Claim) (boragewick.Revocation, error) {
	var reply boragewick.Revocation
	err := boragewick.Call(ctx, p.Peer(e), boragewick.MethodRevoke, c, &reply)
	return reply, err
}
