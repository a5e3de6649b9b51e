package replica

import (
	"time"

	"github.com/boragewick/boragewick"
)

// HandOver makes a leader stop leading, release the others from what they promised to it, and ask
// the voter with the newest log to stand for election at once. It has no effect if the replica
// does not lead or has not heard from another voter within the election timeout. Users of the
// lease must have stopped before.
func (c *Core) HandOver(now time.Time) {
	if c.role != leader {
		return
	}
	successor, ok := c.successor(now)
	if !ok {
		return
	}
	voters := c.Membership().Voters
	c.becomeFollower(now, c.hardState.Term, boragewick.Member{})
	c.voteBlockedUntil = time.Time{}
	for _, v := range voters {
		switch v {
		case c.self:
		case successor:
			c.sendAfterSync(v, boragewick.ReplicaMessage{Kind: boragewick.MessageHandOver, Term: c.hardState.Term})
		default:
			c.sendAfterSync(v, boragewick.ReplicaMessage{Kind: boragewick.MessageResign, Term: c.hardState.Term})
		}
	}
}

// successor returns the voter with the newest log of those heard from within the election
// timeout, and of several the one heard from last. It returns false if there is none.
func (c *Core) successor(now time.Time) (boragewick.Member, bool) {
	var successor boragewick.Member
	var best *progress
	for _, v := range c.Membership().Voters {
		p := c.leaderState.progress[v]
		if v == c.self || p == nil || !p.replied || time.Duration(c.elapsed(now)-p.ackedElapsed) > c.cfg.ElectionTimeout {
			continue
		}
		if best == nil || p.match > best.match || p.match == best.match && p.ackedElapsed > best.ackedElapsed {
			successor, best = v, p
		}
	}
	return successor, best != nil
}

// handleResign ends what this replica has promised to the leader of its term, which doesn't lead
// any more and never will in this term. Promises to leaders of earlier terms had ended when it was
// elected. The successor asks for votes at once, and again at each heartbeat interval, as others
// may hear of the resignation later.
func (c *Core) handleResign(now time.Time, m *boragewick.ReplicaMessage) {
	if c.role == leader || !c.mayLead(m.From) {
		return
	}
	c.voteBlockedUntil = time.Time{}
	c.leader = boragewick.Member{}
	if m.Kind == boragewick.MessageHandOver {
		c.electionDeadline = now
		c.resumeUntil = now.Add(c.cfg.ElectionTimeout)
	}
}

// mayLead reports whether the member is the leader of this replica's term, as far as it knows.
func (c *Core) mayLead(m boragewick.Member) bool {
	if c.leader != (boragewick.Member{}) {
		return c.leader == m
	}
	stated, known := c.log.leaderOf(c.hardState.Term)
	return !known || stated == m
}
