package enginerelay

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/enginefollow"
	"github.com/boragewick/boragewick/enginestate"
	"github.com/boragewick/boragewick/frame"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/peers"
	"github.com/boragewick/boragewick/ws"
)

const (
	agentPort = 7681
	engines   = 60
)

// fleet is a set of agents, each on its own loopback address, before one router.
type fleet struct {
	t      *testing.T
	agents []*testAgent
	// direct and relayed count the streams that the agents serve.
	direct, relayed atomic.Int64

	mu     sync.Mutex
	active map[string]int
	losses map[string]int
}

// testAgent is an agent without an engine; tests set the state.
type testAgent struct {
	name   string
	addr   netip.AddrPort
	state  enginestate.State
	server *http.Server
	relay  *Relay

	mu    sync.Mutex
	conns []net.Conn
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, active: map[string]int{}, losses: map[string]int{}}
	for i := range engines {
		f.agents = append(f.agents, f.newAgent(i))
	}
	return f
}

func (f *fleet) newAgent(i int) *testAgent {
	f.t.Helper()
	ip := netip.AddrFrom4([4]byte{127, byte(130 + os.Getpid()%100), 7, byte(i + 1)})
	a := &testAgent{name: fmt.Sprintf("engine-%02d", i), addr: netip.AddrPortFrom(ip, agentPort)}
	hello := boragewick.Hello{Instance: a.name}
	a.relay = &Relay{
		Self: a.addr, Local: &a.state, Instance: a.name, Logger: log.NewNopLogger(),
		Peers: &peers.Pool{Dialer: &ws.Transport{InsecureOK: true}, Hello: hello},
	}
	links := &linkserver.Server{Hello: hello, Transport: ws.Transport{InsecureOK: true}, Logger: log.NewNopLogger()}
	links.Handle(boragewick.MethodEngines, boragewick.HandlerFunc(func(ctx context.Context, s boragewick.Stream) error {
		f.relayed.Add(1)
		defer f.relayed.Add(-1)
		return a.relay.Serve(ctx, s)
	}))
	links.Handle(boragewick.MethodEngine, boragewick.HandlerFunc(func(ctx context.Context, s boragewick.Stream) error {
		f.direct.Add(1)
		defer f.direct.Add(-1)
		var req boragewick.WatchRequest
		if err := s.Recv(ctx, &req); err != nil {
			return err
		}
		var cursor enginestate.Cursor
		for {
			u, _ := a.state.Next(&cursor)
			if err := s.Send(ctx, &u); err != nil {
				return err
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(20 * time.Millisecond):
			}
		}
	}))
	l, err := net.Listen("tcp4", a.addr.String())
	if err != nil {
		f.t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(ws.Path, links)
	a.server = &http.Server{Handler: mux, ConnContext: a.track}
	go func() { _ = a.server.Serve(l) }()
	f.t.Cleanup(a.stop)
	return a
}

// track records the connection, as the server does not close hijacked ones.
func (a *testAgent) track(ctx context.Context, c net.Conn) context.Context {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns = append(a.conns, c)
	return ctx
}

// stop ends the agent and all of its connections.
func (a *testAgent) stop() {
	_ = a.server.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		_ = c.Close()
	}
}

func (f *fleet) observe(name string, u *boragewick.EngineUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u == nil {
		f.losses[name]++
		delete(f.active, name)
		return
	}
	f.active[name] = u.Active
}

func (f *fleet) waitFor(description string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		ok := condition()
		f.mu.Unlock()
		if ok {
			return
		}
	}
	f.t.Fatalf("condition not met: %s; %d engines known", description, len(f.active))
}

// setActive changes the load of all engines.
func (f *fleet) setActive(n int) {
	for i, a := range f.agents {
		a.state.SetLoad(&boragewick.EngineReport{Active: n + i})
	}
}

// allActive reports whether the router has the load of all agents but one.
func (f *fleet) allActive(n int, except *testAgent) bool {
	for i, a := range f.agents {
		if a != except && f.active[a.name] != n+i {
			return false
		}
	}
	return true
}

func change(a *testAgent, removed bool) boragewick.EndpointChange {
	return boragewick.EndpointChange{Removed: removed, Endpoint: boragewick.Endpoint{
		Name: a.name, Kind: boragewick.EndpointModel, Agent: netip.AddrPortFrom(a.addr.Addr(), 1),
	}}
}

// TestManyEnginesBeforeARouter answers the pattern of a large deployment, in which
// every router follows every engine: the streams of a router grow with the square
// root of the engines, and the loss of an agent that relays costs a moment.
func TestManyEnginesBeforeARouter(t *testing.T) {
	f := newFleet(t)
	follower := &enginefollow.Follower{
		Instance: "router", Port: agentPort, OnUpdate: f.observe, Logger: log.NewNopLogger(),
		Peers: &peers.Pool{Dialer: &ws.Transport{InsecureOK: true}, Hello: boragewick.Hello{Instance: "router"}},
	}
	var changes []boragewick.EndpointChange
	for _, a := range f.agents {
		changes = append(changes, change(a, false))
	}
	follower.Update(changes...)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()

	f.setActive(100)
	f.waitFor("the load of all engines", func() bool { return f.allActive(100, nil) })
	if n := f.relayed.Load(); n > 8 {
		t.Errorf("the router has %d streams from %d agents", n, engines)
	}
	if n := f.direct.Load(); n > engines {
		t.Errorf("the agents have %d streams from each other", n)
	}

	var relay *testAgent
	for _, a := range f.agents {
		if a.relay.Agents() > 0 {
			relay = a
		}
	}
	relay.stop()
	f.waitFor("the agent that relayed is lost", func() bool { return f.losses[relay.name] > 0 })
	f.setActive(200)
	f.waitFor("another agent relays for its group", func() bool { return f.allActive(200, relay) })

	f.mu.Lock()
	clear(f.losses)
	f.mu.Unlock()
	follower.Update(change(f.agents[5], true))
	f.setActive(300)
	f.waitFor("updates after a member has left", func() bool {
		for i, a := range f.agents {
			if a != relay && a != f.agents[5] && f.active[a.name] != 300+i {
				return false
			}
		}
		return true
	})
	for name, n := range f.losses {
		if name != relay.name {
			t.Errorf("%s was lost %d times although only the membership changed", name, n)
		}
	}
}

func TestRelayedCache(t *testing.T) {
	s := &source{state: &enginestate.State{}}
	sub := &subscription{source: s}
	if _, ok := sub.next(); ok {
		t.Error("an update of an agent that hasn't been reached")
	}
	part := func(key uint64, tokens int) boragewick.CachedPart {
		return boragewick.CachedPart{Key: key, Tokens: tokens}
	}
	s.state.Apply(&boragewick.EngineUpdate{Reset: true, Active: 2, Parts: []boragewick.CachedPart{part(1, 100), part(2, 200)}})
	s.setReachable(true)
	if e, ok := sub.next(); !ok || !e.Update.Reset || e.Update.Active != 2 || len(e.Update.Parts) != 2 {
		t.Errorf("first update %+v, %t", e, ok)
	}
	if e, ok := sub.next(); ok {
		t.Errorf("update %+v without a change", e)
	}
	s.state.Apply(&boragewick.EngineUpdate{Active: 2, Parts: []boragewick.CachedPart{part(2, 0)}})
	if e, ok := sub.next(); !ok || e.Update.Reset || len(e.Update.Parts) != 1 || e.Update.Parts[0] != part(2, 0) {
		t.Errorf("update %+v, %t after an eviction", e, ok)
	}
	s.setReachable(false)
	if e, ok := sub.next(); !ok || !e.Lost {
		t.Errorf("update %+v, %t after the loss", e, ok)
	}
	s.state.Apply(&boragewick.EngineUpdate{Reset: true, Active: 1, Parts: []boragewick.CachedPart{part(3, 50)}})
	s.setReachable(true)
	if e, ok := sub.next(); !ok || !e.Update.Reset || len(e.Update.Parts) != 1 {
		t.Errorf("update %+v, %t after the agent is back", e, ok)
	}
}

// TestRelayedUpdatesFitIntoMessages guards against a first update of many engines that no
// message holds, after which a router's stream ends, and each that it opens in its place.
func TestRelayedUpdatesFitIntoMessages(t *testing.T) {
	const cached, maxMessageBytes = 20000, 16 << 20
	var list []*subscription
	for range engines {
		state := &enginestate.State{}
		for key := range uint64(cached) {
			state.AddParts([]boragewick.CachedPart{{Key: math.MaxUint64 - key, Tokens: 1 << 40}})
		}
		list = append(list, &subscription{source: &source{state: state, reachable: true}})
	}
	received := make([]int, engines)
	for from, updates := 0, 0; ; updates++ {
		var u boragewick.EnginesUpdate
		u, from = nextUpdate(list, from)
		if len(u.Engines) == 0 {
			break
		}
		var buf bytes.Buffer
		if err := frame.Encode(&buf, &u); err != nil || buf.Len() > maxMessageBytes {
			t.Fatalf("update %d: %d bytes: %v", updates, buf.Len(), err)
		}
		for _, e := range u.Engines {
			received[e.Agent] += len(e.Update.Parts)
		}
		if updates > 1000 {
			t.Fatal("no end")
		}
	}
	for i, n := range received {
		if n != cached {
			t.Errorf("engine %d: %d parts", i, n)
		}
	}
}
