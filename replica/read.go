package replica

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// lastQuorumAck returns the sending time of the newest messages that a quorum has
// acknowledged.
func (c *Core) lastQuorumAck(now time.Time) time.Time {
	elapsed, ok := c.lastQuorumAckElapsed(c.elapsed(now))
	if !ok {
		return c.leaderState.startedAt
	}
	return c.leaderState.startedAt.Add(time.Duration(elapsed))
}

// lastQuorumAckElapsed returns the time of lastQuorumAck in nanoseconds since the
// term began, and false if no quorum has replied yet. The leader counts itself
// as having acknowledged at own.
func (c *Core) lastQuorumAckElapsed(own uint64) (uint64, bool) {
	voters := c.Membership().Voters
	times := make([]uint64, 0, len(voters))
	for _, v := range voters {
		p := c.leaderState.progress[v]
		switch {
		case v == c.self:
			times = append(times, own)
		case p.replied:
			times = append(times, p.ackedElapsed)
		}
	}
	quorum := len(voters)/2 + 1
	if len(times) < quorum {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-quorum], true
}

// LeaseUntil returns the time until which no other replica can lead. It is zero
// when this replica does not lead, is not a voter or has no acknowledgements
// from a quorum yet.
func (c *Core) LeaseUntil(now time.Time) time.Time {
	if c.role != leader || !c.Membership().IsVoter(c.self) {
		return time.Time{}
	}
	elapsed, ok := c.lastQuorumAckElapsed(c.elapsed(now))
	if !ok {
		return time.Time{}
	}
	return c.leaderState.startedAt.Add(time.Duration(elapsed) + c.cfg.Lease())
}

// RequestRead requests a ReadGrant with the token. The grant is returned in
// Effects.Reads, or never if the replica stops leading.
func (c *Core) RequestRead(now time.Time, token uint64) error {
	if c.role != leader {
		return c.notLeaderError()
	}
	grant := boragewick.ReadGrant{Token: token, Index: max(c.commitIndex, c.leaderState.termEntryIndex)}
	if !c.cfg.NoLease && now.Before(c.LeaseUntil(now)) {
		c.effects.Reads = append(c.effects.Reads, grant)
		return nil
	}
	c.leaderState.pendingReads = append(c.leaderState.pendingReads, pendingRead{grant, c.elapsed(now)})
	c.grantConfirmedReads()
	return nil
}

// grantConfirmedReads grants the pending reads that a quorum has confirmed.
func (c *Core) grantConfirmedReads() {
	for len(c.leaderState.pendingReads) > 0 {
		first := c.leaderState.pendingReads[0]
		elapsed, ok := c.lastQuorumAckElapsed(first.elapsed)
		if !ok || elapsed < first.elapsed {
			return
		}
		c.effects.Reads = append(c.effects.Reads, first.grant)
		c.leaderState.pendingReads = c.leaderState.pendingReads[1:]
	}
}

// notLeaderError returns ErrNotLeader with the leader's name if it is known.
func (c *Core) notLeaderError() error {
	if c.leader.Name == "" {
		return errors.Wrap(boragewick.ErrNotLeader, "leader not known")
	}
	return errors.Wrapf(boragewick.ErrNotLeader, "leader is %s", c.leader.Name)
}
