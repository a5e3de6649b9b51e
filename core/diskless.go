package core

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/xxh3"

	"github.com/boragewick/boragewick"
)

const (
	// forwardTimeout bounds one attempt to forward a registration to a replica.
	forwardTimeout = 250 * time.Millisecond
	// maxForwards is the number of failed attempts after which a registration is not
	// offered to further replicas. All attempts together must end within the second
	// after which endpoints try another control process.
	maxForwards = 3
	// followedReplicas is the number of replicas that a process without a disk
	// follows to learn who leads and who else is a replica.
	followedReplicas = 2
)

// Register implements boragewick.Administration. A process without a disk forwards
// the heartbeat to a replica, because routers follow replicas only.
func (c *Core) Register(ctx context.Context, r boragewick.Registration) error {
	if c.Replica == nil {
		return c.forward(ctx, boragewick.MethodRegister, r)
	}
	_, err := c.register(ctx, r)
	return err
}

// Deregister implements boragewick.Administration. A replica that does not know the
// endpoint, for example after a restart, asks its routers, and then the others to deregister
// it.
func (c *Core) Deregister(ctx context.Context, name string) error {
	if c.Replica != nil {
		_, err := c.deregister(ctx, name)
		if !errors.Is(err, boragewick.ErrUnknownObject) {
			return err
		}
	}
	err := c.forward(ctx, boragewick.MethodDeregister, name)
	if errors.Is(err, boragewick.ErrUnknownObject) {
		_ = level.Info(c.Logger).Log("msg", "unknown endpoint deregistered", "endpoint", name)
		return nil
	}
	return err
}

// register records a heartbeat in the directory of this replica, and confirms that the
// endpoint is leaving if it says so.
func (c *Core) register(ctx context.Context, r boragewick.Registration) (empty, error) {
	if c.Replica == nil {
		return empty{}, errors.Wrap(boragewick.ErrUnknownService, "no disk")
	}
	// A process without a disk has no configuration by which to tell.
	if c.KnowsPool != nil && !c.KnowsPool(r.Pool) {
		return empty{}, errors.Wrapf(boragewick.ErrBadTable, "endpoint %s of the unknown pool %s", r.Name, r.Pool)
	}
	if !c.Directory.HasRoom(r.Name) {
		return empty{}, errors.Wrap(boragewick.ErrOverloaded, "too many endpoints")
	}
	c.markDeparted(&r)
	if c.Directory.Register(r) && r.Number <= 1 {
		_ = level.Info(c.Logger).Log("msg", "endpoint registered", "endpoint", r.Name, "pool", r.Pool, "addr", r.Addr)
	}
	if r.Leaving {
		return empty{}, c.confirmDeparture(ctx, r)
	}
	return empty{}, nil
}

// deregister marks an endpoint as gone in the directory of this replica, and confirms
// it.
func (c *Core) deregister(ctx context.Context, name string) (empty, error) {
	if c.Replica == nil {
		return empty{}, errors.Wrap(boragewick.ErrUnknownService, "no disk")
	}
	r, ok := c.Directory.Deregister(name)
	if !ok {
		r, ok = c.awaitHeld(ctx, name)
	}
	if !ok {
		return empty{}, errors.Wrapf(boragewick.ErrUnknownObject, "endpoint %s", name)
	}
	err := c.confirmDeparture(ctx, r)
	_ = level.Info(c.Logger).Log("msg", "endpoint deregistered", "endpoint", name, "err", err)
	return empty{}, err
}

// forward sends a registration to the replicas in turn until one accepts it. The
// last replica that accepted one is tried first. The error is ErrBadTable if one returns
// it, and ErrUnknownObject only if all replicas do.
func (c *Core) forward(ctx context.Context, method string, req any) error {
	var failed, unknown error
	failures := 0
	for _, addr := range c.forwardTargets() {
		if failures == maxForwards || ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		var resp empty
		err := boragewick.Call(callCtx, c.Peers.Get(addr), method, req, &resp)
		cancel()
		c.recordForward(addr, err)
		switch {
		case err == nil || errors.Is(err, boragewick.ErrBadTable):
			return err
		case errors.Is(err, boragewick.ErrUnknownObject):
			unknown = err
		default:
			failed = err
			failures++
		}
	}
	switch {
	case failed != nil:
		return failed
	case ctx.Err() != nil:
		return boragewick.ContextError(ctx)
	case unknown != nil:
		return unknown
	default:
		return errors.Wrap(boragewick.ErrNotLeader, "no replica known")
	}
}

// forwardTargets returns the replicas in the order in which registrations are
// offered to them. The order differs between processes to spread the load.
func (c *Core) forwardTargets() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	list := c.rankedReplicas()
	if i := slices.Index(list, c.forwardTo); i > 0 {
		list = slices.Insert(slices.Delete(list, i, i+1), 0, c.forwardTo)
	}
	return list
}

// rankedReplicas returns the other replicas, ordered by a hash that differs between
// processes; the caller holds mu.
func (c *Core) rankedReplicas() []netip.AddrPort {
	list := slices.DeleteFunc(c.replicas(), func(a netip.AddrPort) bool { return a == c.Self })
	rank := func(a netip.AddrPort) uint64 { return xxh3.HashString(c.Self.String() + " " + a.String()) }
	slices.SortFunc(list, func(a, b netip.AddrPort) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return list
}

// recordForward counts the attempt, remembers the replica that accepted a
// registration, and logs when a replica no longer does.
func (c *Core) recordForward(addr netip.AddrPort, err error) {
	if c.Metrics != nil {
		name := "registrations.forwarded"
		if err != nil {
			name = "registrations.forward_failed"
		}
		metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.forwardTo
	switch {
	case err == nil && previous != addr:
		c.forwardTo = addr
		_ = level.Info(c.Logger).Log("msg", "registrations are forwarded", "replica", addr)
	case err != nil && previous == addr:
		c.forwardTo = netip.AddrPort{}
		_ = level.Warn(c.Logger).Log("msg", "registrations are no longer forwarded", "replica", addr, "err", err)
	}
}

// followReplicas keeps streams from a few replicas open until ctx is done, so that
// a process without a disk knows the leader and the replicas.
func (c *Core) followReplicas(ctx context.Context, tasks *sync.WaitGroup) {
	for i := range followedReplicas {
		tasks.Go(func() {
			for attempt := i; ctx.Err() == nil; attempt += followedReplicas {
				c.followOne(ctx, attempt)
			}
		})
	}
}

// followOne follows one replica, which depends on the attempt, until its stream
// ends.
func (c *Core) followOne(ctx context.Context, attempt int) {
	c.mu.Lock()
	c.init()
	list := c.rankedReplicas()
	c.mu.Unlock()
	if len(list) > 0 {
		addr := list[attempt%len(list)]
		c.followUntilLost(ctx, addr, &boragewick.WatchRequest{Instance: c.Self.String(), GroupOnly: true})
	}
	select {
	case <-ctx.Done():
	case <-time.After(gossipInterval):
	}
}
