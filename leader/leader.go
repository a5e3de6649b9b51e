// Package leader calls the leading control replica.
package leader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// attemptTimeout limits one attempt at one replica.
	attemptTimeout = time.Second
	// roundPause is the pause after all replicas have been tried.
	roundPause = 50 * time.Millisecond
)

// Peer calls unary, idempotent methods of the replica that leads. It tries
// the replicas in turn, beginning with the last one that answered, until one
// answers or ctx is done.
type Peer struct {
	Replicas []boragewick.Peer
	last     atomic.Int64
}

// Open implements boragewick.Peer.
func (p *Peer) Open(ctx context.Context, method string, v any) (boragewick.Stream, error) {
	for {
		var err error
		for range p.Replicas {
			var s boragewick.Stream
			if s, err = p.attempt(ctx, method, v); !retryable(err) {
				return s, err
			}
			p.last.Add(1)
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(boragewick.ErrTimeout, "no control replica leads: %s", err)
		case <-time.After(roundPause):
		}
	}
}

// attempt calls the method at one replica and waits for the reply, so that a
// replica that does not lead is detected before Open returns a stream.
func (p *Peer) attempt(ctx context.Context, method string, v any) (boragewick.Stream, error) {
	n := uint64(p.last.Load()) % uint64(len(p.Replicas))
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var raw rawReply
	if err := boragewick.Call(ctx, p.Replicas[n], method, v, &raw); err != nil {
		return nil, err
	}
	return &reply{raw: raw}, nil
}

// retryable reports whether another replica may answer the call.
func retryable(err error) bool {
	return errors.IsAny(err,
		boragewick.ErrNotLeader, boragewick.ErrLinkLost, boragewick.ErrTimeout,
		boragewick.ErrStorage, boragewick.ErrCanceled, context.DeadlineExceeded, context.Canceled)
}
