package replica

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const maxVoters = 5

// Propose appends a command and returns its revision, or ErrNotLeader.
func (c *Core) Propose(command []byte) (boragewick.Revision, error) {
	if c.role != leader {
		return boragewick.Revision{}, c.notLeaderError()
	}
	return c.append(boragewick.LogEntry{Kind: boragewick.EntryCommand, Command: command}), nil
}

// Add appends a membership in which the member is a new learner.
func (c *Core) Add(member boragewick.Member) (boragewick.Revision, error) {
	return c.changeMembership(func(m *boragewick.Membership) error {
		if _, ok := m.Find(member.Name); ok {
			return errors.Wrapf(boragewick.ErrBadMembership, "%s is a member; remove it first", member.Name)
		}
		m.Learners = append(m.Learners, member)
		return nil
	})
}

// Promote appends a membership in which the learner is a voter. The learner must
// hold all committed entries and have replied within the election timeout.
func (c *Core) Promote(now time.Time, name string) (boragewick.Revision, error) {
	return c.changeMembership(func(m *boragewick.Membership) error {
		i := slices.IndexFunc(m.Learners, func(l boragewick.Member) bool { return l.Name == name })
		if i < 0 {
			return errors.Wrapf(boragewick.ErrBadMembership, "%s is not a learner", name)
		}
		if len(m.Voters) >= maxVoters {
			return errors.Wrapf(boragewick.ErrBadMembership, "there are %d voters already", maxVoters)
		}
		learner := m.Learners[i]
		p := c.leaderState.progress[learner]
		sinceReply := c.elapsed(now) - p.ackedElapsed
		if !p.replied || p.match < c.commitIndex || sinceReply > uint64(c.cfg.ElectionTimeout) {
			return errors.Wrapf(boragewick.ErrBadMembership, "%s has %d of %d entries", name, p.match, c.commitIndex)
		}
		m.Learners = slices.Delete(m.Learners, i, i+1)
		m.Voters = append(m.Voters, learner)
		return nil
	})
}

// Demote appends a membership in which the voter is a learner.
func (c *Core) Demote(name string) (boragewick.Revision, error) {
	return c.changeMembership(func(m *boragewick.Membership) error {
		i := slices.IndexFunc(m.Voters, func(v boragewick.Member) bool { return v.Name == name })
		if i < 0 {
			return errors.Wrapf(boragewick.ErrBadMembership, "%s is not a voter", name)
		}
		if len(m.Voters) == 1 {
			return errors.Wrapf(boragewick.ErrBadMembership, "%s is the last voter", name)
		}
		m.Learners = append(m.Learners, m.Voters[i])
		m.Voters = slices.Delete(m.Voters, i, i+1)
		return nil
	})
}

// Remove appends a membership without the member.
func (c *Core) Remove(name string) (boragewick.Revision, error) {
	return c.changeMembership(func(m *boragewick.Membership) error {
		member, ok := m.Find(name)
		if !ok {
			return errors.Wrapf(boragewick.ErrBadMembership, "%s is not a member", name)
		}
		same := func(other boragewick.Member) bool { return other == member }
		m.Voters = slices.DeleteFunc(m.Voters, same)
		m.Learners = slices.DeleteFunc(m.Learners, same)
		if len(m.Voters) == 0 {
			return errors.Wrapf(boragewick.ErrBadMembership, "%s is the last voter", name)
		}
		return nil
	})
}

// changeMembership appends the edited membership. At most one membership may be
// uncommitted, and none may be appended before the leader has committed an entry
// of its own term.
func (c *Core) changeMembership(edit func(*boragewick.Membership) error) (boragewick.Revision, error) {
	if c.role != leader || c.removedAsVoter() {
		return boragewick.Revision{}, c.notLeaderError()
	}
	current := c.log.membership()
	if current.index > c.commitIndex || c.commitIndex < c.leaderState.termEntryIndex {
		return boragewick.Revision{}, errors.Wrap(boragewick.ErrBadMembership, "another change is under way")
	}
	next := boragewick.Membership{
		Voters:   slices.Clone(current.members.Voters),
		Learners: slices.Clone(current.members.Learners),
	}
	if err := edit(&next); err != nil {
		return boragewick.Revision{}, err
	}
	r := c.append(boragewick.LogEntry{Kind: boragewick.EntryMembership, Membership: &next})
	c.updateProgress()
	return r, nil
}
