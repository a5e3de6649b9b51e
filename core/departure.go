package core

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// departureTimeout bounds the calls that tell the other replicas of a departure. It
	// ends before a process without a disk gives up on this replica.
	departureTimeout = forwardTimeout - 50*time.Millisecond
	// departureBatch is the number of departures in one update, which has to arrive on a slow
	// link before the watcher takes the replica for silent.
	departureBatch = 256
	// departurePause is the time between two batches.
	departurePause = 500 * time.Millisecond
)

// confirmDeparture returns once a majority of the voters has told its watchers that the
// endpoint is leaving or gone, and that is committed. Otherwise it would be forgotten when
// all replicas restart, and a late heartbeat would bring the endpoint back.
func (c *Core) confirmDeparture(ctx context.Context, r boragewick.Registration) error {
	if c.Registry.HasDeparted(r.Name, r.Started) {
		return nil
	}
	if err := c.spreadDeparture(ctx, r); err != nil {
		return err
	}
	if r.Started == 0 {
		return nil // its next run would count as departed
	}
	d := boragewick.EndpointDeparture{Endpoint: r.Name, Started: r.Started}
	_, err := callLeaderWithRetry(ctx, c, boragewick.MethodDepart, d, c.commitDeparture)
	return errors.Wrapf(err, "departure of %s not committed", r.Name)
}

// commitDeparture commits the departure if this replica leads.
func (c *Core) commitDeparture(ctx context.Context, d boragewick.EndpointDeparture) (empty, error) {
	return empty{}, c.propose(ctx, boragewick.RegistryCommand{Departure: &d})
}

// markDeparted marks a registration whose run has departed by the log.
func (c *Core) markDeparted(r *boragewick.Registration) {
	r.Leaving = r.Leaving || c.Registry.HasDeparted(r.Name, r.Started)
}

// applyDepartures marks the endpoints whose departures this replica has learned of from the
// log after their heartbeats, and returns the number of the newest one.
func (c *Core) applyDepartures(after uint64) uint64 {
	list := c.Registry.Departures(after)
	if len(list) == 0 {
		return after
	}
	for _, r := range c.Directory.Registrations() {
		if !r.Leaving && !r.Gone && c.Registry.HasDeparted(r.Name, r.Started) {
			r.Leaving = true
			c.Directory.Merge(r)
		}
	}
	return list[len(list)-1].Number
}

// spreadDeparture returns once a majority of the voters knows of the departure.
func (c *Core) spreadDeparture(ctx context.Context, r boragewick.Registration) error {
	others, missing := c.otherVoters()
	if missing > len(others) {
		return errors.Wrap(boragewick.ErrNotLeader, "not a member of a group")
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	results := make(chan error, len(others))
	for _, addr := range others {
		go func() {
			var resp empty
			results <- boragewick.Call(ctx, c.Peers.Get(addr), boragewick.MethodDeparture, r, &resp)
		}()
	}
	var failed error
	for range others {
		if missing <= 0 {
			break
		}
		if err := <-results; err != nil {
			failed = errors.CombineErrors(failed, err)
			continue
		}
		missing--
	}
	if missing > 0 {
		return errors.Wrapf(failed, "departure of %s not known to a majority", r.Name)
	}
	return nil
}

// otherVoters returns the voters but this replica, and how many of them make a majority
// together with it. Without voters, the number is larger than the list.
func (c *Core) otherVoters() (others []netip.AddrPort, missing int) {
	voters := c.Replica.Status().Voters
	missing = len(voters)/2 + 1
	self := c.Self.String()
	if slices.Contains(voters, self) {
		missing--
	}
	for _, name := range voters {
		if addr, err := netip.ParseAddrPort(name); err == nil && name != self {
			others = append(others, addr)
		}
	}
	return others, missing
}

// learnDeparture records that an endpoint is leaving or gone, as another replica has
// been told.
func (c *Core) learnDeparture(_ context.Context, r boragewick.Registration) (empty, error) {
	if c.Replica == nil {
		return empty{}, errors.Wrap(boragewick.ErrUnknownService, "no disk")
	}
	c.markDeparted(&r)
	c.Directory.Merge(r)
	return empty{}, nil
}

// addDepartures adds the next departures, and reports whether more are left. A watcher that has
// none of the log's gets them slowly: each of the endpoints that it knows is told of with its
// departure by any replica that doesn't lag.
func (c *Core) addDepartures(u *boragewick.WatchUpdate, sent *cursor) bool {
	list := c.Registry.Departures(sent.departures)
	more := len(list) > departureBatch
	if more {
		now := c.Clock.Now()
		if now.Before(sent.nextDepartures) {
			return true
		}
		sent.nextDepartures = now.Add(departurePause)
		list = list[:departureBatch]
	}
	if len(list) > 0 {
		u.Departures = list
		sent.departures = list[len(list)-1].Number
	}
	return more
}
