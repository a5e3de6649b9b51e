// Package enginerelay streams the updates of several engines to routers through one
// agent. In a large deployment a router follows a few agents that relay in place of
// all agents.
package enginerelay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/enginestate"
	"github.com/boragewick/boragewick/peers"
	"github.com/boragewick/boragewick/updates"
)

const (
	// maxAgents bounds the agents that one router may ask for.
	maxAgents = 512
	// keepaliveInterval is the longest time between two updates to a router.
	keepaliveInterval = time.Second
	// reconnectDelay is the delay before a lost or failed stream is reopened.
	reconnectDelay = 500 * time.Millisecond
	// maxUpdateParts is the number of cached parts from which on the engines that follow
	// are left to the next update.
	maxUpdateParts = 1 << 16
)

// Relay is a boragewick.Handler for MethodEngines at an agent. Its fields are set
// before it serves.
type Relay struct {
	// Self is the link address of this agent, and Local the state of its engine.
	Self  netip.AddrPort
	Local *enginestate.State
	// Instance is the name of this agent.
	Instance string
	Peers    *peers.Pool
	Logger   log.Logger

	mu      sync.Mutex
	sources map[netip.AddrPort]*source
	routers int
}

// source is an engine that is followed through its agent.
type source struct {
	state  *enginestate.State
	users  int
	cancel context.CancelFunc

	mu sync.Mutex
	// reachable reports whether its agent sends updates. losses counts the times at
	// which it stopped.
	reachable bool
	losses    int
}

// subscription is a router's position in the updates of one source.
type subscription struct {
	*source
	cursor enginestate.Cursor
	// losses is the number of losses of which the router knows. sent reports whether
	// it has had an update since.
	losses int
	sent   bool
}

// Serve streams updates of the engines that the request names.
func (r *Relay) Serve(ctx context.Context, s boragewick.Stream) error {
	var req boragewick.EnginesRequest
	if err := s.Recv(ctx, &req); err != nil {
		return err
	}
	if len(req.Agents) > maxAgents {
		return errors.Wrapf(boragewick.ErrTooLarge, "%d agents", len(req.Agents))
	}
	list := r.acquire(req.Agents)
	for _, sub := range list {
		sub.cursor.OrdersOnly = req.OrdersOnly
	}
	defer r.release(req.Agents)
	sentAt := time.Time{}
	from := 0
	for {
		var u boragewick.EnginesUpdate
		u, from = nextUpdate(list, from)
		if len(u.Engines) > 0 || time.Since(sentAt) >= keepaliveInterval {
			if err := s.Send(ctx, &u); err != nil {
				return err
			}
			sentAt = time.Now()
		}
		timer := time.NewTimer(enginestate.Interval(r.routerCount()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// nextUpdate returns the changes of the sources since the last call, beginning with the
// source at the index, and where to begin next.
func nextUpdate(list []*subscription, from int) (u boragewick.EnginesUpdate, next int) {
	parts := 0
	for k := range list {
		i := (from + k) % len(list)
		if parts >= maxUpdateParts {
			return u, i
		}
		if e, ok := list[i].next(); ok {
			e.Agent = i
			parts += len(e.Update.Parts)
			u.Engines = append(u.Engines, e)
		}
	}
	return u, from
}

// next returns the change of the source since the last call, and reports whether
// there is any. Nothing is known of an agent that has not been reached yet.
func (s *subscription) next() (boragewick.IndexedEngineUpdate, bool) {
	s.mu.Lock()
	reachable, losses := s.reachable, s.source.losses
	s.mu.Unlock()
	if losses != s.losses {
		s.losses = losses
		s.cursor = enginestate.Cursor{OrdersOnly: s.cursor.OrdersOnly}
		if s.sent && !reachable {
			s.sent = false
			return boragewick.IndexedEngineUpdate{Lost: true}, true
		}
	}
	if !reachable {
		return boragewick.IndexedEngineUpdate{}, false
	}
	update, changed := s.state.Next(&s.cursor)
	first := !s.sent
	s.sent = true
	return boragewick.IndexedEngineUpdate{Update: update}, changed || first
}

// acquire returns subscriptions to the agents, which are followed while at least one
// router uses them.
func (r *Relay) acquire(agents []netip.AddrPort) []*subscription {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sources == nil {
		r.sources = map[netip.AddrPort]*source{}
	}
	r.routers++
	list := make([]*subscription, 0, len(agents))
	for _, addr := range agents {
		s := r.sources[addr]
		if s == nil {
			s = r.start(addr)
			r.sources[addr] = s
		}
		s.users++
		list = append(list, &subscription{source: s})
	}
	return list
}

// start follows the agent in a new goroutine; the caller holds mu.
func (r *Relay) start(addr netip.AddrPort) *source {
	if addr == r.Self {
		return &source{state: r.Local, reachable: true, cancel: func() {}}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &source{state: &enginestate.State{}, cancel: cancel}
	go r.follow(ctx, addr, s)
	return s
}

func (r *Relay) release(agents []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routers--
	for _, addr := range agents {
		s := r.sources[addr]
		if s.users--; s.users == 0 {
			s.cancel()
			delete(r.sources, addr)
		}
	}
}

func (r *Relay) routerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routers
}

// follow applies the updates of an agent until ctx is done and reopens the stream
// after each failure.
func (r *Relay) follow(ctx context.Context, addr netip.AddrPort, s *source) {
	for ctx.Err() == nil {
		stream := updates.Stream[boragewick.EngineUpdate]{
			Peer:    r.Peers.Get(addr),
			Method:  boragewick.MethodEngine,
			Request: &boragewick.WatchRequest{Instance: r.Instance},
			OnUpdate: func(u *boragewick.EngineUpdate) {
				s.state.Apply(u)
				s.setReachable(true)
			},
		}
		received, err := stream.Run(ctx)
		if received && ctx.Err() == nil {
			s.setReachable(false)
			_ = level.Info(r.Logger).Log("msg", "relayed agent lost", "agent", addr, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// setReachable records whether the agent sends updates. The state of one that has
// stopped is dropped, as its next stream begins with the full state.
func (s *source) setReachable(reachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reachable && !reachable {
		s.losses++
		s.state.Reset()
	}
	s.reachable = reachable
}

var _ boragewick.Handler = (*Relay)(nil)

// Agents returns the number of agents that are followed.
func (r *Relay) Agents() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sources)
}
