package replica

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// confirmed returns the sending time of the newest messages that a quorum has
// acknowledged.
func (c *Core) confirmed(now time.Time) time.Time {
	elapsed, ok := c.confirmedElapsed(c.elapsed(now))
	if !ok {
		return c.term.started
	}
	return c.term.started.Add(time.Duration(elapsed))
}

// confirmedElapsed is confirmed in nanoseconds since the term began. The
// leader itself counts with own.
func (c *Core) confirmedElapsed(own uint64) (uint64, bool) {
	voters := c.Membership().Voters
	times := make([]uint64, 0, len(voters))
	for _, v := range voters {
		p := c.term.progress[v]
		switch {
		case v == c.self:
			times = append(times, own)
		case p.heard:
			times = append(times, p.elapsed)
		}
	}
	quorum := len(voters)/2 + 1
	if len(times) < quorum {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-quorum], true
}

// LeaseUntil returns the instant until which no other replica can lead, or
// zero when this replica does not lead.
func (c *Core) LeaseUntil(now time.Time) time.Time {
	if c.role != leader || !c.Membership().IsVoter(c.self) {
		return time.Time{}
	}
	elapsed, ok := c.confirmedElapsed(c.elapsed(now))
	if !ok {
		return time.Time{}
	}
	return c.term.started.Add(time.Duration(elapsed) + c.cfg.Lease())
}

// Read asks for a grant under the token. It is answered by Effects.Reads, or
// never when the replica stops leading.
func (c *Core) Read(now time.Time, token uint64) error {
	if c.role != leader {
		return c.notLeader()
	}
	grant := boragewick.ReadGrant{Token: token, Index: max(c.commit, c.term.opened)}
	if !c.cfg.NoLease && now.Before(c.LeaseUntil(now)) {
		c.effects.Reads = append(c.effects.Reads, grant)
		return nil
	}
	c.term.reads = append(c.term.reads, pendingRead{grant, c.elapsed(now)})
	c.grantReads()
	return nil
}

// grantReads answers the reads that a quorum has confirmed.
func (c *Core) grantReads() {
	for len(c.term.reads) > 0 {
		first := c.term.reads[0]
		elapsed, ok := c.confirmedElapsed(first.elapsed)
		if !ok || elapsed < first.elapsed {
			return
		}
		c.effects.Reads = append(c.effects.Reads, first.grant)
		c.term.reads = c.term.reads[1:]
	}
}

// notLeader returns ErrNotLeader with the leader's name.
func (c *Core) notLeader() error {
	if c.leader.Name == "" {
		return errors.Wrap(boragewick.ErrNotLeader, "leader not known")
	}
	return errors.Wrapf(boragewick.ErrNotLeader, "leader is %s", c.leader.Name)
}
