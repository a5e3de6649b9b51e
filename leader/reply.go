package leader

import (
	"context"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/boragewick/boragewick"
)

// rawReply is a reply that has not been decoded.
type rawReply = cbor.RawMessage

// reply is a stream that holds one reply.
type reply struct {
	raw rawReply
}

// Send implements boragewick.Stream. It always fails, as the call is unary.
func (r *reply) Send(context.Context, any) error {
	return boragewick.ErrProtocol
}

// Recv implements boragewick.Stream.
func (r *reply) Recv(_ context.Context, v any) error {
	if r.raw == nil {
		return io.EOF
	}
	raw := r.raw
	r.raw = nil
	return boragewick.Decode(raw, v)
}
