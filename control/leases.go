package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// maintenanceInterval is the time between two passes of Run.
const maintenanceInterval = 250 * time.Millisecond

// Run maintains freshness, leases, rollouts and the ownership of rates until ctx
// is done.
func (c *Control) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	defer c.deliveries.Wait()
	for {
		c.updateFreshness(ctx)
		c.removeExpiredEndpoints(ctx)
		c.advanceRollouts(ctx)
		c.updateRateOwnership(ctx)
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
	if !c.State.HasEndpoint(&a.Endpoint) {
		if _, err := c.propose(ctx, boragewick.Command{Announce: &boragewick.Announcement{Endpoint: a.Endpoint}}); err != nil {
			return boragewick.Lease{}, err
		}
	}
	if err := c.Log.Barrier(ctx); err != nil {
		return boragewick.Lease{}, err
	}
	lease := boragewick.Lease{
		Expires: c.Clock.Now().Add(c.LeaseFor),
		Newest:  c.State.NewestFencing(a.Endpoint.Name),
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

// removeExpiredEndpoints removes endpoints whose lease has expired from the
// directory.
func (c *Control) removeExpiredEndpoints(ctx context.Context) {
	for _, d := range c.expireLeases() {
		if _, err := c.propose(ctx, boragewick.Command{Depart: &d}); err != nil {
			_ = level.Warn(c.Logger).Log("msg", "lease not ended", "endpoint", d.Name, "err", err)
			return
		}
		_ = level.Info(c.Logger).Log("msg", "endpoint departed", "endpoint", d.Name)
	}
}

// expireLeases drops the expired leases and returns the departures of their
// endpoints. A replica that has just become the leader first gives every
// endpoint a full lease.
func (c *Control) expireLeases() []boragewick.Departure {
	leading := c.Log.Status().Leading
	now := c.Clock.Now()
	endpoints := c.State.Endpoints()
	c.mu.Lock()
	defer c.mu.Unlock()
	ledBefore := c.wasLeading
	c.wasLeading = leading
	if !leading {
		return nil
	}
	var list []boragewick.Departure
	for name, e := range endpoints {
		if !ledBefore {
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
