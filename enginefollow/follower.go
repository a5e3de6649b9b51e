// Package enginefollow keeps a router in step with the agents beside engines.
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

// retryPause is the time between two tries to follow an agent.
const retryPause = 500 * time.Millisecond

// Follower is an EndpointObserver that follows the agent of each model endpoint.
// Its fields are set before Run.
type Follower struct {
	// Instance names this router.
	Instance string
	// Port is the port of the agents' links, which stand beside their engines.
	Port  uint16
	Peers *peers.Pool
	// Observe takes in an update; nil tells that the agent is out of reach.
	Observe func(endpoint string, u *boragewick.EngineUpdate)
	Logger  log.Logger

	mu      sync.Mutex
	ctx     context.Context
	tasks   sync.WaitGroup
	waiting map[string]netip.AddrPort
	running map[string]task
}

// task follows one agent.
type task struct {
	addr   netip.AddrPort
	cancel context.CancelFunc
}

// Run follows agents until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.ctx = ctx
	for name, addr := range f.waiting {
		f.start(name, addr)
	}
	f.waiting = nil
	f.mu.Unlock()
	<-ctx.Done()
	f.tasks.Wait()
	return nil
}

// Update implements boragewick.EndpointObserver.
func (f *Follower) Update(changes ...boragewick.EndpointChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = map[string]task{}
		f.waiting = map[string]netip.AddrPort{}
	}
	for i := range changes {
		e := &changes[i].Endpoint
		if e.Kind != boragewick.EndpointModel && !changes[i].Removed {
			continue
		}
		addr := netip.AddrPortFrom(e.Agent.Addr(), f.Port)
		t, ok := f.running[e.Name]
		if ok && (changes[i].Removed || t.addr != addr) {
			t.cancel()
			delete(f.running, e.Name)
			ok = false
		}
		if changes[i].Removed {
			delete(f.waiting, e.Name)
			continue
		}
		if !ok && f.ctx == nil {
			f.waiting[e.Name] = addr
		} else if !ok {
			f.start(e.Name, addr)
		}
	}
}

// start follows the agent at the address; the caller holds mu.
func (f *Follower) start(name string, addr netip.AddrPort) {
	if f.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(f.ctx)
	f.running[name] = task{addr, cancel}
	f.tasks.Go(func() {
		defer cancel()
		f.follow(ctx, name, addr)
	})
}

// follow takes in an agent's updates, over a new stream after each failure.
func (f *Follower) follow(ctx context.Context, name string, addr netip.AddrPort) {
	for ctx.Err() == nil {
		s := updates.Stream{
			Peer:    f.Peers.Get(addr),
			Method:  boragewick.MethodEngine,
			Request: &boragewick.WatchRequest{Instance: f.Instance},
			Take:    func(u *boragewick.EngineUpdate) { f.Observe(name, u) },
		}
		followed, err := s.Run(ctx)
		if followed {
			f.Observe(name, nil)
			_ = level.Info(f.Logger).Log("msg", "agent lost", "endpoint", name, "agent", addr, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}
