package enginefollow

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/peers"
	"github.com/boragewick/boragewick/ws"
)

// observed keeps the updates by endpoint; nil ones are counted.
type observed struct {
	mu    sync.Mutex
	last  map[string]int
	lost  map[string]int
	fresh chan struct{}
}

func (o *observed) observe(name string, u *boragewick.EngineUpdate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if u == nil {
		o.lost[name]++
	} else {
		o.last[name] = u.Active
	}
	select {
	case o.fresh <- struct{}{}:
	default:
	}
}

// within waits until the condition holds.
func (o *observed) within(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for {
		o.mu.Lock()
		ok := holds()
		o.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-o.fresh:
		case <-time.After(20 * time.Millisecond):
		case <-deadline:
			t.Fatalf("not in time: %s", what)
		}
	}
}

func TestFollow(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	links := &linkserver.Server{Hello: boragewick.Hello{Instance: "agent"}}
	end := make(chan struct{})
	links.Handle(boragewick.MethodEngine, boragewick.HandlerFunc(func(ctx context.Context, s boragewick.Stream) error {
		if err := s.Send(ctx, &boragewick.EngineUpdate{Active: 7}); err != nil {
			return err
		}
		select {
		case <-end:
			return boragewick.ErrDraining
		case <-ctx.Done():
			return ctx.Err()
		}
	}))
	mux := http.NewServeMux()
	mux.Handle(ws.Path, links)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	defer server.Close()

	o := &observed{last: map[string]int{}, lost: map[string]int{}, fresh: make(chan struct{}, 1)}
	f := &Follower{
		Instance: "router", Port: addr.Port(), Observe: o.observe, Logger: log.NewNopLogger(),
		Peers: &peers.Pool{Dialer: &ws.Transport{}, Hello: boragewick.Hello{Instance: "router"}},
	}
	change := func(name string, kind boragewick.EndpointKind, removed bool) boragewick.EndpointChange {
		return boragewick.EndpointChange{Removed: removed, Endpoint: boragewick.Endpoint{
			Name: name, Kind: kind, Agent: netip.AddrPortFrom(addr.Addr(), 1),
		}}
	}
	f.Update(change("early", boragewick.EndpointModel, false))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	f.Update(change("late", boragewick.EndpointModel, false), change("desk", boragewick.EndpointPlain, false))
	o.within(t, "both engines", func() bool { return o.last["early"] == 7 && o.last["late"] == 7 })
	f.Update(change("early", "", true))
	o.within(t, "the removed one is not followed", func() bool { return o.lost["early"] == 1 })
	close(end)
	o.within(t, "the end of a stream is told", func() bool { return o.lost["late"] > 0 })
	cancel()
	<-done
	if _, ok := o.last["desk"]; ok {
		t.Error("a plain endpoint is followed")
	}
}
