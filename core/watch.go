package core

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

const (
	// gossipEvery is how often heartbeats are passed on between replicas.
	gossipEvery = 300 * time.Millisecond
	// watchGap is the longest time between two updates to a watcher; a longer
	// silence tells it that the link is dead.
	watchGap = time.Second
	// watchPatience is how long a replica waits for an update of another one.
	watchPatience = 2500 * time.Millisecond
	// peersEvery is how often the set of replicas is looked at.
	peersEvery = 200 * time.Millisecond
)

// cursor is what a watcher has been sent.
type cursor struct {
	boragewick.WatchRequest
	changes   uint64
	refreshes uint64
	weights   uint64
	directive *boragewick.Directive
	replicas  []netip.AddrPort
}

// serveWatch streams what this replica knows.
func (c *Core) serveWatch(ctx context.Context, s boragewick.Stream) error {
	var at cursor
	if err := s.Recv(ctx, &at.WatchRequest); err != nil {
		return err
	}
	c.noteHeard(ctx)
	for {
		u, wait := c.next(&at)
		if err := s.Send(ctx, &u); err != nil {
			return err
		}
		if err := wait(ctx); err != nil {
			return err
		}
	}
}

// next returns what the watcher lacks, and what to wait for after it.
func (c *Core) next(at *cursor) (boragewick.WatchUpdate, func(context.Context) error) {
	var u boragewick.WatchUpdate
	state, published := c.Registry.State()
	if p := state.Publication; p.Version > at.Version && !at.Heartbeats {
		u.Publication = &p
		at.Version = p.Version
	}
	if state.Changed != at.weights {
		u.Weights = state.Weights
		at.weights = state.Changed
	}
	batch, endpoints := c.Directory.Changes(at.changes)
	if at.Heartbeats {
		batch = c.Directory.Refreshes(at.refreshes)
		endpoints = nil
	}
	u.Registrations = batch.Registrations
	at.changes, at.refreshes = batch.Revision, batch.Refreshed
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if c.directive != nil && c.directive != at.directive {
		u.Directive = c.directive
		at.directive = c.directive
	}
	if replicas := c.replicas(); !slices.Equal(replicas, at.replicas) {
		u.Replicas = replicas
		at.replicas = replicas
	}
	u.Leader = c.leader
	pause := watchGap
	if at.Heartbeats {
		pause = gossipEvery
	}
	own := c.changed
	return u, func(ctx context.Context) error {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-published:
		case <-endpoints:
		case <-own:
		case <-timer.C:
		}
		return nil
	}
}

// replicas returns the replicas that routers may follow; the caller holds mu.
func (c *Core) replicas() []netip.AddrPort {
	list := c.members()
	if len(list) == 0 {
		list = append(list, c.Seeds...)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return slices.Compact(list)
}

// noteHeard notes that the replica which opened the stream is there.
func (c *Core) noteHeard(ctx context.Context) {
	hello, ok := boragewick.RemoteHello(ctx)
	if !ok {
		return
	}
	if addr, err := netip.ParseAddrPort(hello.Instance); err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.init()
		c.heard[addr] = c.Clock.Now()
	}
}

// followOthers watches every other replica that is known.
func (c *Core) followOthers(ctx context.Context, tasks *sync.WaitGroup) {
	ticker := time.NewTicker(peersEvery)
	defer ticker.Stop()
	for {
		for _, addr := range c.startFollowing() {
			tasks.Go(func() { c.follow(ctx, addr) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// startFollowing returns the replicas that are not followed yet.
func (c *Core) startFollowing() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	var list []netip.AddrPort
	known := slices.Concat(c.members(), c.Seeds)
	for addr := range c.remembered {
		known = append(known, addr)
	}
	for _, addr := range known {
		if addr != c.Self && !c.following[addr] {
			c.following[addr] = true
			list = append(list, addr)
		}
	}
	return list
}

// follow takes in what another replica knows, over a new stream after each
// failure.
func (c *Core) follow(ctx context.Context, addr netip.AddrPort) {
	lost := true
	for ctx.Err() == nil {
		err := c.watch(ctx, addr, func() {
			if lost {
				_ = level.Info(c.Logger).Log("msg", "replica regained", "replica", addr)
			}
			lost = false
		})
		if !lost {
			_ = level.Warn(c.Logger).Log("msg", "replica lost", "replica", addr, "err", err)
		}
		lost = true
		select {
		case <-ctx.Done():
		case <-time.After(gossipEvery):
		}
	}
}

// watch takes in updates until the stream ends or falls silent.
func (c *Core) watch(ctx context.Context, addr netip.AddrPort, received func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchPatience, cancel)
	defer silence.Stop()
	s, err := c.Peers.Get(addr).Open(ctx, boragewick.MethodWatch, &boragewick.WatchRequest{Instance: c.Self.String(), Heartbeats: true})
	if err != nil {
		return err
	}
	for {
		var u boragewick.WatchUpdate
		if err := s.Recv(ctx, &u); err != nil {
			return err
		}
		silence.Reset(watchPatience)
		received()
		c.merge(addr, &u)
	}
}

// merge takes in what another replica knows.
func (c *Core) merge(addr netip.AddrPort, u *boragewick.WatchUpdate) {
	for i := range u.Registrations {
		c.Directory.Merge(u.Registrations[i])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.heard[addr] = c.Clock.Now()
	for _, replica := range u.Replicas {
		c.remembered[replica] = true
	}
	if u.Directive != nil && u.Directive.Supersedes(c.directive) {
		c.directive = u.Directive
		c.wake()
	}
	if c.Replica == nil && u.Leader.IsValid() {
		c.leader = u.Leader
	}
}

// Direct makes the directive known to all who watch.
func (c *Core) Direct(d *boragewick.Directive) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if d.Supersedes(c.directive) {
		c.directive = d
		c.wake()
	}
}
