package replica

import (
	"time"

	"github.com/boragewick/boragewick"
)

// campaign asks all voters for their votes, or first whether they would vote.
func (c *Core) campaign(now time.Time, as role) {
	c.role = as
	c.votes = map[boragewick.Member]bool{c.self: true}
	c.electing = c.hard.Term + 1
	kind := boragewick.MessagePreVote
	if as == candidate {
		kind = boragewick.MessageVote
		c.setHard(boragewick.HardState{Term: c.electing, Vote: c.self})
	}
	if c.won() {
		c.promote(now)
		return
	}
	for _, voter := range c.Membership().Voters {
		if voter != c.self {
			c.reply(voter, boragewick.ReplicaMessage{Kind: kind, Term: c.electing, Previous: c.log.last()})
		}
	}
}

// promote goes on from a won pre-vote to the election or from it to leading.
func (c *Core) promote(now time.Time) {
	if c.role == preCandidate {
		c.campaign(now, candidate)
		return
	}
	c.lead(now)
}

// won reports whether a quorum has granted its votes.
func (c *Core) won() bool {
	voters := c.Membership().Voters
	granted := 0
	for _, v := range voters {
		if c.votes[v] {
			granted++
		}
	}
	return granted > len(voters)/2
}

// countVote takes in a reply to a campaign.
func (c *Core) countVote(now time.Time, m *boragewick.ReplicaMessage, as role) {
	if c.role != as || m.Term != c.electing || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.won() {
		c.promote(now)
	}
}

// bound reports whether a leader may still rely on this replica.
func (c *Core) bound(now time.Time) bool {
	return c.role == leader || now.Before(c.promised)
}

// answerPreVote tells whether this replica would vote for the candidate.
func (c *Core) answerPreVote(now time.Time, m *boragewick.ReplicaMessage) {
	answer := boragewick.ReplicaMessage{Kind: boragewick.MessagePreVoteReply, Term: m.Term}
	if m.Term <= c.hard.Term || c.bound(now) || c.log.newerThan(m.Previous) {
		answer.Reject = true
		answer.Term = c.hard.Term
	}
	c.reply(m.From, answer)
}

// answerVote votes for the candidate unless this replica is bound to a leader,
// has voted for another one or has a newer log.
func (c *Core) answerVote(now time.Time, m *boragewick.ReplicaMessage) {
	if m.Term > c.hard.Term {
		if c.bound(now) {
			return
		}
		c.follow(now, m.Term, boragewick.Member{})
	}
	answer := boragewick.ReplicaMessage{Kind: boragewick.MessageVoteReply}
	answer.Reject = m.Term < c.hard.Term || !c.mayVote(m)
	if !answer.Reject {
		c.setHard(boragewick.HardState{Term: m.Term, Vote: m.From})
		c.resetElection(now)
	}
	c.reply(m.From, answer)
}

// mayVote reports whether the vote of this term is free and the candidate's
// log at least as new as this replica's.
func (c *Core) mayVote(m *boragewick.ReplicaMessage) bool {
	free := c.hard.Vote == boragewick.Member{} || c.hard.Vote == m.From
	return free && !c.log.newerThan(m.Previous)
}
