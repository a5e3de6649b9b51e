// Package enginefollow subscribes a router to the updates of the agents that run
// next to engines.
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

// reconnectDelay is the delay before a lost or failed stream is reopened.
const reconnectDelay = 500 * time.Millisecond

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
	Logger   log.Logger

	mu            sync.Mutex
	ctx           context.Context
	wg            sync.WaitGroup
	pending       map[string]netip.AddrPort
	subscriptions map[string]subscription
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
	for name, addr := range f.pending {
		f.start(name, addr)
	}
	f.pending = nil
	f.mu.Unlock()
	<-ctx.Done()
	f.wg.Wait()
	return nil
}

// Update implements boragewick.EndpointObserver.
func (f *Follower) Update(changes ...boragewick.EndpointChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.subscriptions == nil {
		f.subscriptions = map[string]subscription{}
		f.pending = map[string]netip.AddrPort{}
	}
	for i := range changes {
		e := &changes[i].Endpoint
		if e.Kind != boragewick.EndpointModel && !changes[i].Removed {
			continue
		}
		addr := netip.AddrPortFrom(e.Agent.Addr(), f.Port)
		sub, ok := f.subscriptions[e.Name]
		if ok && (changes[i].Removed || sub.addr != addr) {
			sub.cancel()
			delete(f.subscriptions, e.Name)
			ok = false
		}
		if changes[i].Removed {
			delete(f.pending, e.Name)
			continue
		}
		if !ok && f.ctx == nil {
			f.pending[e.Name] = addr
		} else if !ok {
			f.start(e.Name, addr)
		}
	}
}

// start follows the agent at the address in a new goroutine. The caller holds mu.
func (f *Follower) start(name string, addr netip.AddrPort) {
	if f.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(f.ctx)
	f.subscriptions[name] = subscription{addr, cancel}
	f.wg.Go(func() {
		defer cancel()
		f.follow(ctx, name, addr)
	})
}

// follow receives the updates of an agent until ctx is done and reopens the stream
// after each failure.
func (f *Follower) follow(ctx context.Context, name string, addr netip.AddrPort) {
	for ctx.Err() == nil {
		stream := updates.Stream{
			Peer:     f.Peers.Get(addr),
			Method:   boragewick.MethodEngine,
			Request:  &boragewick.WatchRequest{Instance: f.Instance},
			OnUpdate: func(u *boragewick.EngineUpdate) { f.OnUpdate(name, u) },
		}
		received, err := stream.Run(ctx)
		if received {
			f.OnUpdate(name, nil)
			_ = level.Info(f.Logger).Log("msg", "agent lost", "endpoint", name, "agent", addr, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}
