package quorum

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// Serve answers a probe, or queues another replica's messages for the loop.
func (n *Node) Serve(ctx context.Context, s boragewick.Stream) error {
	var hello boragewick.ReplicaHello
	if err := s.Recv(ctx, &hello); err != nil {
		return err
	}
	select {
	case <-n.opened:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return errors.Wrapf(boragewick.ErrDraining, "replica %s has stopped", n.cfg.Name)
	}
	if hello.Probe {
		return s.Send(ctx, n.state.Load())
	}
	for {
		var m boragewick.ReplicaMessage
		if err := s.Recv(ctx, &m); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if m.From.Name != hello.From.Name {
			return errors.Wrapf(boragewick.ErrProtocol, "message of %s from %s", m.From.Name, hello.From.Name)
		}
		select {
		case n.inbox <- m:
		case <-ctx.Done():
			return ctx.Err()
		case <-n.done:
			return errors.Wrapf(boragewick.ErrDraining, "replica %s has stopped", n.cfg.Name)
		}
	}
}
