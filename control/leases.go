package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// sweepInterval is the time between two looks at freshness and leases.
const sweepInterval = 250 * time.Millisecond

// Run keeps freshness and leases until ctx is done.
func (c *Control) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer c.orders.Wait()
	for {
		c.refresh(ctx)
		c.sweep(ctx)
		c.roll(ctx)
		c.ownRates(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (c *Control) announce(ctx context.Context, a boragewick.Announcement) (boragewick.Lease, error) {
	if !c.Log.Status().Leading {
		return boragewick.Lease{}, errors.Wrap(boragewick.ErrNotLeader, "endpoints announce themselves to the leader")
	}
	if !c.State.Announced(&a.Endpoint) {
		if _, err := c.propose(ctx, boragewick.Command{Announce: &boragewick.Announcement{Endpoint: a.Endpoint}}); err != nil {
			return boragewick.Lease{}, err
		}
	}
	if err := c.Log.Barrier(ctx); err != nil {
		return boragewick.Lease{}, err
	}
	lease := boragewick.Lease{
		Expires: c.Clock.Now().Add(c.LeaseFor),
		Newest:  c.State.Newest(a.Endpoint.Name),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renew(a.Endpoint.Name, lease.Expires)
	if c.loads == nil {
		c.loads = map[string]boragewick.EndpointLoad{}
	}
	c.loads[a.Endpoint.Name] = a.Load
	return lease, nil
}

func (c *Control) renew(name string, expires time.Time) {
	if c.leases == nil {
		c.leases = map[string]time.Time{}
	}
	c.leases[name] = expires
}

// sweep takes endpoints whose lease has expired out of the directory.
func (c *Control) sweep(ctx context.Context) {
	for _, d := range c.expired() {
		if _, err := c.propose(ctx, boragewick.Command{Depart: &d}); err != nil {
			_ = level.Warn(c.Logger).Log("msg", "lease not ended", "endpoint", d.Name, "err", err)
			return
		}
		_ = level.Info(c.Logger).Log("msg", "endpoint departed", "endpoint", d.Name)
	}
}

// expired lists the endpoints without a lease. A replica that has just become
// the leader gives every endpoint a whole lease first.
func (c *Control) expired() []boragewick.Departure {
	leading := c.Log.Status().Leading
	now := c.Clock.Now()
	endpoints := c.State.Endpoints()
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.leading
	c.leading = leading
	if !leading {
		return nil
	}
	var list []boragewick.Departure
	for name, e := range endpoints {
		if !was {
			c.renew(name, now.Add(c.LeaseFor))
		}
		if !c.leases[name].After(now) {
			list = append(list, boragewick.Departure{Name: name, Incarnation: e.Incarnation})
			delete(c.leases, name)
			delete(c.loads, name)
		}
	}
	return list
}
