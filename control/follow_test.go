package control

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/state"
)

// blockingStream is a stream whose Send blocks until release is closed.
type blockingStream struct {
	sending chan struct{}
	release chan struct{}
}

func (r blockingStream) Recv(_ context.Context, v any) error {
	*v.(*boragewick.FollowRequest) = boragewick.FollowRequest{}
	return nil
}

func (r blockingStream) Send(ctx context.Context, _ any) error {
	r.sending <- struct{}{}
	select {
	case <-r.release:
		return io.EOF
	case <-ctx.Done():
		return ctx.Err()
	}
}

func TestFollowLimitsConcurrentSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers = 20
		c := &Control{State: &state.Machine{}}
		b, err := boragewick.Encode(boragewick.Command{Announce: &boragewick.Announcement{Endpoint: boragewick.Endpoint{Name: "a"}}})
		if err != nil {
			t.Fatal(err)
		}
		c.State.Apply(boragewick.Entry{Revision: boragewick.Revision{Term: 1, Index: 1}, Command: b})
		r := blockingStream{sending: make(chan struct{}, routers), release: make(chan struct{})}
		var wg sync.WaitGroup
		for range routers {
			wg.Go(func() { _ = c.follow(t.Context(), r) })
		}
		synctest.Wait()
		if n := len(r.sending); n != maxConcurrentSnapshots {
			t.Errorf("%d snapshots at once, want %d", n, maxConcurrentSnapshots)
		}
		close(r.release)
		wg.Wait()
		if n := len(r.sending); n != routers {
			t.Errorf("%d routers got a snapshot, want %d", n, routers)
		}
	})
}
