// Package leader reaches the control replica that leads.
package leader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// tryTimeout bounds one try at one replica.
	tryTimeout = time.Second
	// roundPause is the time between two rounds over all replicas.
	roundPause = 50 * time.Millisecond
)

// Peer calls unary, idempotent methods at whichever replica leads. It tries
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
			if s, err = p.try(ctx, method, v); !elsewhere(err) {
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

// try opens the method at one replica and waits for the reply, so that a
// replica that does not lead is found out before the caller sees the stream.
func (p *Peer) try(ctx context.Context, method string, v any) (boragewick.Stream, error) {
	n := uint64(p.last.Load()) % uint64(len(p.Replicas))
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	var raw rawReply
	if err := boragewick.Call(ctx, p.Replicas[n], method, v, &raw); err != nil {
		return nil, err
	}
	return &reply{raw: raw}, nil
}

// elsewhere reports whether another replica may give the answer.
func elsewhere(err error) bool {
	return errors.IsAny(err,
		boragewick.ErrNotLeader, boragewick.ErrLinkLost, boragewick.ErrTimeout,
		boragewick.ErrStorage, boragewick.ErrCanceled, context.DeadlineExceeded, context.Canceled)
}
