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

// receiver is a stream whose Sends wait until it is let go.
type receiver struct {
	sending chan struct{}
	let     chan struct{}
}

func (r receiver) Recv(_ context.Context, v any) error {
	*v.(*boragewick.FollowRequest) = boragewick.FollowRequest{}
	return nil
}

func (r receiver) Send(ctx context.Context, _ any) error {
	r.sending <- struct{}{}
	select {
	case <-r.let:
		return io.EOF
	case <-ctx.Done():
		return ctx.Err()
	}
}

func TestHerdGetsFewSnapshotsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers = 20
		c := &Control{State: &state.Machine{}}
		b, err := boragewick.Encode(boragewick.Command{Announce: &boragewick.Announcement{Endpoint: boragewick.Endpoint{Name: "a"}}})
		if err != nil {
			t.Fatal(err)
		}
		c.State.Apply(boragewick.Entry{Revision: boragewick.Revision{Term: 1, Index: 1}, Command: b})
		r := receiver{sending: make(chan struct{}, routers), let: make(chan struct{})}
		var wg sync.WaitGroup
		for range routers {
			wg.Go(func() { _ = c.follow(t.Context(), r) })
		}
		synctest.Wait()
		if n := len(r.sending); n != maxSnapshots {
			t.Errorf("%d snapshots at once, want %d", n, maxSnapshots)
		}
		close(r.let)
		wg.Wait()
		if n := len(r.sending); n != routers {
			t.Errorf("%d routers got a snapshot, want %d", n, routers)
		}
	})
}
