package core

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// reportOrigins records where a router's streams began.
func (c *Core) reportOrigins(_ context.Context, r boragewick.OriginReport) (boragewick.OriginAck, error) {
	if c.Replica == nil {
		return boragewick.OriginAck{}, errors.Wrap(boragewick.ErrUnknownService, "no disk")
	}
	now := c.Clock.Now()
	for build, keys := range r.Began {
		for _, key := range keys {
			c.origins.Put(boragewick.StreamOrigin{Key: key, Build: build}, now)
		}
	}
	return boragewick.OriginAck{Run: c.Incarnation}, nil
}

// findOrigin tells where a stream began, and the builds that endpoints of its pools may have.
func (c *Core) findOrigin(_ context.Context, q boragewick.OriginQuery) (boragewick.OriginReply, error) {
	if c.Replica == nil {
		return boragewick.OriginReply{}, errors.Wrap(boragewick.ErrUnknownService, "no disk")
	}
	// The status comes first, as the state may only be newer than it.
	status := c.Replica.Status()
	reply := boragewick.OriginReply{
		Build:   c.origins.Get(q.Key, c.Clock.Now()),
		Settled: status.Last > 0 && status.Applied == status.Last,
	}
	if slices.Contains(status.Voters, c.Self.String()) {
		reply.Voters = len(status.Voters)
	}
	state, _ := c.Registry.State()
	for _, pool := range q.Pools {
		reply.Builds = append(reply.Builds, state.Builds[pool]...)
	}
	return reply, nil
}
