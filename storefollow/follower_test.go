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
	kept   = netip.MustParseAddrPort("172.16.0.1:80")
	others = netip.MustParseAddrPort("172.16.0.9:80")
)

// store is a probe of a store that has one part.
type store struct {
	mu    sync.Mutex
	err   error
	calls int
}

func (s *store) Report(context.Context, string, netip.AddrPort) (boragewick.EngineReport, error) {
	return boragewick.EngineReport{}, boragewick.ErrUnknownMethod
}

func (s *store) Events(ctx context.Context, _ netip.AddrPort, since int64, wait time.Duration) (boragewick.EngineEvents, error) {
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

func (s *store) set(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *store) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// replica serves what it sees of the stores, until end is called.
func replica(t *testing.T, probe boragewick.EngineProbe) (addr netip.AddrPort, end func()) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	links := &linkserver.Server{Hello: boragewick.Hello{Instance: "replica"}}
	links.Handle(boragewick.MethodStore, &storewatch.Server{
		Probe: probe, Stores: func() []netip.AddrPort { return []netip.AddrPort{kept} }, Logger: log.NewNopLogger(),
	})
	mux := http.NewServeMux()
	mux.Handle(ws.Path, links)
	h := &httpserver.Server{Listener: l, Handler: mux, NoReadTimeout: true}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = links.RunWith(ctx, h, 10*time.Millisecond)
	}()
	return netip.MustParseAddrPort(l.Addr().String()), sync.OnceFunc(func() {
		cancel()
		<-stopped
	})
}

// seen is what a router was told.
type seen struct {
	mu      sync.Mutex
	tokens  map[netip.AddrPort]int
	down    bool
	unknown int
}

func (s *seen) observe(store netip.AddrPort, u *boragewick.EngineUpdate) {
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

func within(t *testing.T, s *seen, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		ok := holds()
		s.mu.Unlock()
		if ok {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

func TestFollow(t *testing.T) {
	var probes [2]store
	a, endA := replica(t, &probes[0])
	b, endB := replica(t, &probes[1])
	defer endA()
	defer endB()
	s := &seen{tokens: map[netip.AddrPort]int{}}
	f := &Follower{
		Instance: "router",
		Peers:    &peers.Pool{Dialer: &ws.Transport{}, Hello: boragewick.Hello{Instance: "router"}},
		Stores:   func() []netip.AddrPort { return []netip.AddrPort{kept, others} },
		Replicas: func() []netip.AddrPort { return []netip.AddrPort{a, b} },
		Observe:  s.observe,
		Logger:   log.NewNopLogger(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	within(t, s, "what the store keeps", func() bool { return s.tokens[kept] == 100 })
	if _, ok := s.tokens[others]; ok {
		t.Error("a store that the configuration doesn't name is watched")
	}
	first, second, endFirst := &probes[0], &probes[1], endA
	if first.called() == 0 {
		first, second, endFirst = second, first, endB
	}
	if second.called() != 0 {
		t.Error("two replicas watch for one router")
	}
	first.set(boragewick.ErrLinkLost)
	within(t, s, "that the store is down", func() bool { return s.down })
	first.set(nil)
	within(t, s, "that the store is back", func() bool { return !s.down })
	endFirst()
	within(t, s, "the replica is missed", func() bool { return s.unknown > 0 })
	for deadline := time.Now().Add(8 * time.Second); second.called() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the other replica isn't asked")
		}
	}
	cancel()
	<-done
	time.Sleep(400 * time.Millisecond)
	before := second.called()
	time.Sleep(700 * time.Millisecond)
	if after := second.called(); after != before {
		t.Errorf("%d calls at the store that nobody asks for", after-before)
	}
}
