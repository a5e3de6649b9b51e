package core

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

const (
	// heldTimeout is how long a replica waits for a router that knows the run of an endpoint that
	// deregisters. Together with what follows it ends before a process without a disk gives
	// up on this replica.
	heldTimeout = 120 * time.Millisecond
	// maxHeld bounds the registrations of one call.
	maxHeld = 1024
)

// awaitHeld waits until a router has told the run of an endpoint that has deregistered, and returns
// its registration. Routers may know runs of which the replicas have not heard since they
// started.
func (c *Core) awaitHeld(ctx context.Context, name string) (boragewick.Registration, bool) {
	if c.Routers() == 0 {
		return boragewick.Registration{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	for {
		_, changed := c.Directory.Changes(0)
		if r, ok := c.Directory.Find(name); ok {
			return r, r.Gone
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return boragewick.Registration{}, false
		}
	}
}

// learnHeld records the departures of endpoints that have deregistered, of which a router knows the
// runs.
func (c *Core) learnHeld(ctx context.Context, held boragewick.HeldEndpoints) (empty, error) {
	if c.Replica == nil {
		return empty{}, errors.Wrap(boragewick.ErrUnknownService, "no disk")
	}
	if len(held.Registrations) > maxHeld {
		return empty{}, errors.Wrapf(boragewick.ErrTooLarge, "%d registrations", len(held.Registrations))
	}
	var failed error
	for _, r := range held.Registrations {
		if !c.Directory.ResolveMissing(r) {
			continue
		}
		r.Gone = true
		err := c.confirmDeparture(ctx, r)
		_ = level.Info(c.Logger).Log("msg", "run of deregistered endpoint known", "endpoint", r.Name, "started", r.Started, "err", err)
		failed = errors.CombineErrors(failed, err)
	}
	return empty{}, failed
}

// addMissing adds the endpoints that have deregistered while they were unknown.
func (c *Core) addMissing(u *boragewick.WatchUpdate, sent *cursor) {
	list := c.Directory.Missing(sent.missing)
	if len(list) == 0 {
		return
	}
	u.Missing, sent.missing = list, list[len(list)-1].Number
	if u.Now.IsZero() {
		u.Now = c.Clock.Now()
	}
}
