package storefollow

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
	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/peers"
	"github.com/boragewick/boragewick/storewatch"
	"github.com/boragewick/boragewick/ws"
)

var (
	configuredStore = netip.MustParseAddrPort("172.16.0.1:80")
	unknownStore    = netip.MustParseAddrPort("172.16.0.9:80")
)

// fakeProbe is a boragewick.EngineProbe of a store with one cached part.
type fakeProbe struct {
	mu    sync.Mutex
	err   error
	calls int
}

func (s *fakeProbe) Report(context.Context, string, netip.AddrPort) (boragewick.EngineReport, error) {
	return boragewick.EngineReport{}, boragewick.ErrUnknownMethod
}

func (s *fakeProbe) Events(ctx context.Context, _ netip.AddrPort, since int64, wait time.Duration) (boragewick.EngineEvents, error) {
	s.mu.Lock()
	s.calls++
	err := s.err
	s.mu.Unlock()
	if err != nil {
		return boragewick.EngineEvents{}, err
	}
	if since == 0 {
		return boragewick.EngineEvents{Epoch: 1, Next: 1, Parts: []boragewick.CachedPart{{Key: 5, Tokens: 100}}}, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return boragewick.EngineEvents{Epoch: 1, Next: since}, ctx.Err()
}

func (s *fakeProbe) setError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *fakeProbe) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// startReplica starts a control replica that serves updates of configuredStore
// until stop is called.
func startReplica(t *testing.T, probe boragewick.EngineProbe) (addr netip.AddrPort, stop func()) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	links := &linkserver.Server{Hello: boragewick.Hello{Instance: "replica"}}
	links.Handle(boragewick.MethodStore, &storewatch.Server{
		Probe: probe, Stores: func() []netip.AddrPort { return []netip.AddrPort{configuredStore} }, Logger: log.NewNopLogger(),
	})
	mux := http.NewServeMux()
	mux.Handle(ws.Path, links)
	h := &httpserver.Server{Listener: l, Handler: mux, NoReadTimeout: true}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = links.RunAndDrain(ctx, h, 10*time.Millisecond)
	}()
	return netip.MustParseAddrPort(l.Addr().String()), sync.OnceFunc(func() {
		cancel()
		<-stopped
	})
}

// routerView records the updates that a router received.
type routerView struct {
	mu      sync.Mutex
	tokens  map[netip.AddrPort]int
	down    bool
	unknown int
}

func (s *routerView) observe(store netip.AddrPort, u *boragewick.EngineUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u == nil {
		s.unknown++
		return
	}
	s.down = u.Down
	for _, p := range u.Parts {
		s.tokens[store] = p.Tokens
	}
}

func waitFor(t *testing.T, s *routerView, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		ok := holds()
		s.mu.Unlock()
		if ok {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func TestFollow(t *testing.T) {
	var probes [2]fakeProbe
	a, stopA := startReplica(t, &probes[0])
	b, stopB := startReplica(t, &probes[1])
	defer stopA()
	defer stopB()
	s := &routerView{tokens: map[netip.AddrPort]int{}}
	f := &Follower{
		Instance: "router",
		Peers:    &peers.Pool{Dialer: &ws.Transport{}, Hello: boragewick.Hello{Instance: "router"}},
		Stores:   func() []netip.AddrPort { return []netip.AddrPort{configuredStore, unknownStore} },
		Replicas: func() []netip.AddrPort { return []netip.AddrPort{a, b} },
		OnUpdate: s.observe,
		Logger:   log.NewNopLogger(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	waitFor(t, s, "the contents of the store", func() bool { return s.tokens[configuredStore] == 100 })
	if _, ok := s.tokens[unknownStore]; ok {
		t.Error("a store that the configuration doesn't name is watched")
	}
	first, second, stopFirst := &probes[0], &probes[1], stopA
	if first.callCount() == 0 {
		first, second, stopFirst = second, first, stopB
	}
	if second.callCount() != 0 {
		t.Error("two replicas watch for one router")
	}
	first.setError(boragewick.ErrLinkLost)
	waitFor(t, s, "the update that the store is down", func() bool { return s.down })
	first.setError(nil)
	waitFor(t, s, "the update that the store is up", func() bool { return !s.down })
	stopFirst()
	waitFor(t, s, "the loss of the replica", func() bool { return s.unknown > 0 })
	for deadline := time.Now().Add(8 * time.Second); second.callCount() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the other replica was not asked within 8 s")
		}
	}
	cancel()
	<-done
	time.Sleep(400 * time.Millisecond)
	before := second.callCount()
	time.Sleep(700 * time.Millisecond)
	if after := second.callCount(); after != before {
		t.Errorf("%d calls to the store after the router stopped following it", after-before)
	}
}
