// Package updates receives streams of updates and ends a stream that has sent
// nothing for too long.
package updates

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// silenceTimeout is how long a stream may go without an update; senders send at
// least one per second.
const silenceTimeout = 2500 * time.Millisecond

// Stream is one stream of updates of type T. Its fields are set before Run.
type Stream[T any] struct {
	Peer    boragewick.Peer
	Method  string
	Request any
	// OnUpdate is called with each update.
	OnUpdate func(u *T)
}

// Run receives updates until the stream ends and reports whether there were any.
func (s *Stream[T]) Run(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(silenceTimeout, func() {
		cancel(errors.Wrap(boragewick.ErrTimeout, "silent"))
	})
	defer silenceTimer.Stop()
	stream, err := s.Peer.Open(ctx, s.Method, s.Request)
	if err != nil {
		return false, err
	}
	received := false
	for {
		var u T
		if err := stream.Recv(ctx, &u); err != nil {
			return received, errors.CombineErrors(err, context.Cause(ctx))
		}
		silenceTimer.Reset(silenceTimeout)
		received = true
		s.OnUpdate(&u)
	}
}
