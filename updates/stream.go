// Package updates receives a stream of updates that must not fall silent.
package updates

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// silencePatience is how long a sender may send nothing; senders send at least
// once a second.
const silencePatience = 2500 * time.Millisecond

// Stream is one stream of updates. Its fields are set before Run.
type Stream struct {
	Peer    boragewick.Peer
	Method  string
	Request any
	// Take takes in an update.
	Take func(u *boragewick.EngineUpdate)
}

// Run takes in updates until they stop. It reports whether there were any.
func (s *Stream) Run(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(silencePatience, func() {
		cancel(errors.Wrap(boragewick.ErrTimeout, "silent"))
	})
	defer silence.Stop()
	stream, err := s.Peer.Open(ctx, s.Method, s.Request)
	if err != nil {
		return false, err
	}
	followed := false
	for {
		var u boragewick.EngineUpdate
		if err := stream.Recv(ctx, &u); err != nil {
			return followed, errors.CombineErrors(err, context.Cause(ctx))
		}
		silence.Reset(silencePatience)
		followed = true
		s.Take(&u)
	}
}
