package replica

import (
	"time"

	"github.com/boragewick/boragewick"
)

// campaign asks all voters for their votes, or in a pre-vote whether they would
// vote.
func (c *Core) campaign(now time.Time, as role) {
	c.role = as
	c.votes = map[boragewick.Member]bool{c.self: true}
	c.campaignTerm = c.hardState.Term + 1
	kind := boragewick.MessagePreVote
	if as == candidate {
		if !c.resumeUntil.IsZero() {
			c.resumeUntil = time.Time{}
			c.resetElectionTimer(now)
		}
		kind = boragewick.MessageVote
		c.setHardState(boragewick.HardState{Term: c.campaignTerm, Vote: c.self})
	}
	if c.hasVoteQuorum() {
		c.advanceCampaign(now)
		return
	}
	for _, voter := range c.Membership().Voters {
		if voter != c.self {
			c.sendAfterSync(voter, boragewick.ReplicaMessage{Kind: kind, Term: c.campaignTerm, Previous: c.log.last()})
		}
	}
}

// advanceCampaign starts the election after a won pre-vote, or the leadership
// after a won election.
func (c *Core) advanceCampaign(now time.Time) {
	if c.role == preCandidate {
		c.campaign(now, candidate)
		return
	}
	c.becomeLeader(now)
}

// hasVoteQuorum reports whether a quorum has granted its votes.
func (c *Core) hasVoteQuorum() bool {
	voters := c.Membership().Voters
	granted := 0
	for _, v := range voters {
		if c.votes[v] {
			granted++
		}
	}
	return granted > len(voters)/2
}

// recordVote handles a reply to a pre-vote or an election.
func (c *Core) recordVote(now time.Time, m *boragewick.ReplicaMessage, as role) {
	if c.role != as || m.Term != c.campaignTerm || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteQuorum() {
		c.advanceCampaign(now)
	}
}

// votesBlocked reports whether a leader may still rely on this replica not to
// vote for another candidate.
func (c *Core) votesBlocked(now time.Time) bool {
	return c.role == leader || now.Before(c.voteBlockedUntil)
}

// mayVote reports whether no leader may still rely on this replica not to vote for the
// candidate. What was promised to the leader of the term ends when it asks for votes itself, as
// it doesn't lead any more then.
func (c *Core) mayVote(now time.Time, candidate boragewick.Member) bool {
	return !c.votesBlocked(now) || c.ledTerm(candidate)
}

// ledTerm reports whether the member is or was the leader of this replica's term, as far as its
// log states that.
func (c *Core) ledTerm(m boragewick.Member) bool {
	leader, known := c.log.leaderOf(c.hardState.Term)
	return known && leader == m
}

// handlePreVote replies whether this replica would vote for the candidate.
func (c *Core) handlePreVote(now time.Time, m *boragewick.ReplicaMessage) {
	reply := boragewick.ReplicaMessage{Kind: boragewick.MessagePreVoteReply, Term: m.Term}
	if m.Term <= c.hardState.Term || !c.mayVote(now, m.From) || c.log.newerThan(m.Previous) {
		reply.Reject = true
		reply.Term = c.hardState.Term
	}
	c.sendAfterSync(m.From, reply)
}

// handleVote votes for the candidate unless votes are blocked, or this replica has
// voted for another candidate in the term or has the newer log.
func (c *Core) handleVote(now time.Time, m *boragewick.ReplicaMessage) {
	if m.Term > c.hardState.Term {
		if !c.mayVote(now, m.From) {
			return
		}
		c.becomeFollower(now, m.Term, boragewick.Member{})
	}
	reply := boragewick.ReplicaMessage{Kind: boragewick.MessageVoteReply}
	reply.Reject = m.Term < c.hardState.Term || !c.canVoteFor(m)
	if !reply.Reject {
		c.setHardState(boragewick.HardState{Term: m.Term, Vote: m.From})
		c.resetElectionTimer(now)
	}
	c.sendAfterSync(m.From, reply)
}

// canVoteFor reports whether no other candidate has this replica's vote in the
// term and the candidate's log is at least as up to date as this replica's.
func (c *Core) canVoteFor(m *boragewick.ReplicaMessage) bool {
	free := c.hardState.Vote == boragewick.Member{} || c.hardState.Vote == m.From
	return free && !c.log.newerThan(m.Previous)
}
