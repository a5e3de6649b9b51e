// Package enginefollow subscribes a router or the leader to the updates of the agents that
// run next to engines. In a large deployment it subscribes to one agent of each group,
// which relays the updates of the others.
package enginefollow

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/peers"
	"github.com/boragewick/boragewick/updates"
)

const (
	// reconnectDelay is the delay before a lost stream is reopened. It doubles with
	// each attempt that fails, up to maxReconnectDelay, as some deployments have no
	// agents.
	reconnectDelay    = 500 * time.Millisecond
	maxReconnectDelay = 4 * time.Second
)

// Follower is an EndpointObserver that follows the agent of each model endpoint.
// Its fields are set before Run.
type Follower struct {
	// Instance is the name of this router.
	Instance string
	// Port is the port of the links of all agents. Agents run on the hosts of their
	// engines.
	Port  uint16
	Peers *peers.Pool
	// OnUpdate is called with each update, and with nil when the agent is lost.
	OnUpdate func(endpoint string, u *boragewick.EngineUpdate)
	// OrdersOnly asks only for updates that concern orders.
	OrdersOnly bool
	Logger     log.Logger

	mu  sync.Mutex
	ctx context.Context
	wg  sync.WaitGroup
	// engines are the link addresses of the agents of all engines, by the engine's
	// name.
	engines map[string]netip.AddrPort
	// direct are the streams from single agents, and groups those from agents that
	// relay, by the index of the group.
	direct map[string]subscription
	groups map[int]*group
	// failedAt is when a stream from a relaying agent has last ended.
	failedAt map[netip.AddrPort]time.Time
}

// subscription is the stream of updates from one agent.
type subscription struct {
	addr   netip.AddrPort
	cancel context.CancelFunc
}

// Run follows agents until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.ctx = ctx
	f.subscribe()
	f.mu.Unlock()
	<-ctx.Done()
	f.wg.Wait()
	return nil
}

// Update implements boragewick.EndpointObserver.
func (f *Follower) Update(changes ...boragewick.EndpointChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.engines == nil {
		f.engines = map[string]netip.AddrPort{}
	}
	changed := false
	for i := range changes {
		e := &changes[i].Endpoint
		old, ok := f.engines[e.Name]
		addr := netip.AddrPortFrom(e.Agent.Addr(), f.Port)
		switch {
		case changes[i].Removed:
			delete(f.engines, e.Name)
			changed = changed || ok
		case e.Kind == boragewick.EndpointModel && old != addr:
			f.engines[e.Name] = addr
			changed = true
		}
	}
	if changed && f.ctx != nil {
		f.subscribe()
	}
}

// subscribe starts and ends streams so that all engines are followed, directly or in
// groups; the caller holds mu.
func (f *Follower) subscribe() {
	if f.ctx.Err() != nil {
		return
	}
	if f.direct == nil {
		f.direct = map[string]subscription{}
		f.groups = map[int]*group{}
		f.failedAt = map[netip.AddrPort]time.Time{}
	}
	direct := f.engines
	if len(f.engines) >= minRelayed {
		direct = nil
		f.subscribeGroups(groupCount(len(f.engines)))
	} else {
		f.subscribeGroups(0)
	}
	for name, sub := range f.direct {
		if addr, ok := direct[name]; !ok || addr != sub.addr {
			sub.cancel()
			delete(f.direct, name)
		}
	}
	for name, addr := range direct {
		if _, ok := f.direct[name]; !ok {
			f.start(name, addr)
		}
	}
}

// start follows the agent at the address in a new goroutine. The caller holds mu.
func (f *Follower) start(name string, addr netip.AddrPort) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.direct[name] = subscription{addr, cancel}
	f.wg.Go(func() {
		defer cancel()
		f.follow(ctx, name, addr)
	})
}

// follow receives the updates of an agent until ctx is done and reopens the stream
// after each failure.
func (f *Follower) follow(ctx context.Context, name string, addr netip.AddrPort) {
	delay := reconnectDelay
	for ctx.Err() == nil {
		stream := updates.Stream[boragewick.EngineUpdate]{
			Peer:     f.Peers.Get(addr),
			Method:   boragewick.MethodEngine,
			Request:  &boragewick.WatchRequest{Instance: f.Instance, OrdersOnly: f.OrdersOnly},
			OnUpdate: func(u *boragewick.EngineUpdate) { f.OnUpdate(name, u) },
		}
		received, err := stream.Run(ctx)
		switch {
		case received:
			f.OnUpdate(name, nil)
			_ = level.Info(f.Logger).Log("msg", "agent lost", "endpoint", name, "agent", addr, "err", err)
			delay = reconnectDelay
		case delay == reconnectDelay:
			_ = level.Info(f.Logger).Log("msg", "agent not reached", "endpoint", name, "agent", addr, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		if !received {
			delay = min(2*delay, maxReconnectDelay)
		}
	}
}
