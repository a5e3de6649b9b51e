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

// recorder records, by endpoint, the last number of active requests and how often
// the agent was lost.
type recorder struct {
	mu     sync.Mutex
	active map[string]int
	losses map[string]int
	notify chan struct{}
}

func (o *recorder) observe(name string, u *boragewick.EngineUpdate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if u == nil {
		o.losses[name]++
	} else {
		o.active[name] = u.Active
	}
	select {
	case o.notify <- struct{}{}:
	default:
	}
}

// waitFor waits until the condition holds and fails the test after 5 s.
func (o *recorder) waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for {
		o.mu.Lock()
		ok := condition()
		o.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-o.notify:
		case <-time.After(20 * time.Millisecond):
		case <-deadline:
			t.Fatalf("timed out waiting for %s", what)
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

	rec := &recorder{active: map[string]int{}, losses: map[string]int{}, notify: make(chan struct{}, 1)}
	f := &Follower{
		Instance: "router", Port: addr.Port(), OnUpdate: rec.observe, Logger: log.NewNopLogger(),
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
	rec.waitFor(t, "updates from both engines", func() bool { return rec.active["early"] == 7 && rec.active["late"] == 7 })
	f.Update(change("early", "", true))
	rec.waitFor(t, "the end of the removed engine's stream", func() bool { return rec.losses["early"] == 1 })
	close(end)
	rec.waitFor(t, "a report that the other agent is lost", func() bool { return rec.losses["late"] > 0 })
	cancel()
	<-done
	if _, ok := rec.active["desk"]; ok {
		t.Error("a plain endpoint is followed")
	}
}
