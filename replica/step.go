package replica

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragewick/boragewick"
)

// Step takes in a message from another replica. A message for another identity
// under this replica's name, or one that no correct replica sends, is dropped.
func (c *Core) Step(now time.Time, m *boragewick.ReplicaMessage) {
	if !c.valid(m) {
		return
	}
	switch m.Kind {
	case boragewick.MessagePreVote:
		c.answerPreVote(now, m)
		return
	case boragewick.MessageVote:
		c.answerVote(now, m)
		return
	case boragewick.MessagePreVoteReply:
		if !m.Reject {
			c.countVote(now, m, preCandidate)
			return
		}
	}
	if m.Term > c.hard.Term {
		c.follow(now, m.Term, boragewick.Member{})
	}
	if m.Term < c.hard.Term {
		c.refuseOldLeader(m)
		return
	}
	c.stepTerm(now, m)
}

// stepTerm takes in a message of this replica's own term.
func (c *Core) stepTerm(now time.Time, m *boragewick.ReplicaMessage) {
	switch m.Kind {
	case boragewick.MessageVoteReply:
		c.countVote(now, m, candidate)
	case boragewick.MessageAppend:
		if c.hear(now, m.From) {
			c.takeEntries(m)
		}
	case boragewick.MessageSnapshot:
		if c.hear(now, m.From) {
			c.takeChunk(m)
		}
	case boragewick.MessageAppendReply, boragewick.MessageSnapshotReply:
		if c.role == leader {
			c.stepLeader(now, m)
		}
	}
}

// follow enters the term, or stays in it, without leading it.
func (c *Core) follow(now time.Time, term uint64, lead boragewick.Member) {
	if c.role == leader {
		c.promise(now)
		c.term = nil
	}
	if c.role != follower {
		c.resetElection(now)
	}
	c.role = follower
	c.leader = lead
	if term > c.hard.Term {
		c.setHard(boragewick.HardState{Term: term})
	}
}

// hear notes a message from the leader of this term. It reports false for a
// message that a replica which itself leads the term must not take.
func (c *Core) hear(now time.Time, from boragewick.Member) bool {
	if c.role == leader {
		return false
	}
	c.follow(now, c.hard.Term, from)
	c.promise(now)
	c.resetElection(now)
	return true
}

// refuseOldLeader tells a leader of an older term about the newer one.
func (c *Core) refuseOldLeader(m *boragewick.ReplicaMessage) {
	if m.Kind == boragewick.MessageAppend || m.Kind == boragewick.MessageSnapshot {
		c.reply(m.From, boragewick.ReplicaMessage{Kind: boragewick.MessageAppendReply, Reject: true})
	}
}

// takeEntries appends what follows an entry that the log holds.
func (c *Core) takeEntries(m *boragewick.ReplicaMessage) {
	answer := boragewick.ReplicaMessage{
		Kind:     boragewick.MessageAppendReply,
		Previous: m.Previous,
		Elapsed:  m.Elapsed,
	}
	switch {
	case m.Previous.Index < c.commit:
		c.log.merge(skipTo(m.Entries, c.commit))
		answer.Match = max(c.commit, m.Previous.Index+uint64(len(m.Entries)))
	case c.log.has(m.Previous):
		c.log.merge(m.Entries)
		answer.Match = m.Previous.Index + uint64(len(m.Entries))
	default:
		answer.Reject = true
		answer.Hint = c.log.hint(m.Previous)
	}
	if !answer.Reject {
		c.commit = max(c.commit, min(m.Commit, answer.Match))
	}
	c.reply(m.From, answer)
}

// skipTo drops the entries up to the index.
func skipTo(entries []boragewick.LogEntry, index uint64) []boragewick.LogEntry {
	for len(entries) > 0 && entries[0].Revision.Index <= index {
		entries = entries[1:]
	}
	return entries
}

// takeChunk adds a chunk that continues the snapshot in transfer.
func (c *Core) takeChunk(m *boragewick.ReplicaMessage) {
	chunk := m.Snapshot
	if chunk.Meta.Revision.Index <= c.commit {
		c.reply(m.From, boragewick.ReplicaMessage{
			Kind: boragewick.MessageAppendReply, Match: c.commit, Elapsed: m.Elapsed,
		})
		return
	}
	if c.incoming == nil || !c.incoming.Meta.Same(&chunk.Meta) {
		c.incoming = &boragewick.SnapshotChunk{Meta: chunk.Meta}
	}
	if c.fits(chunk) {
		c.incoming.Offset += uint64(len(chunk.Data))
		c.effects.Chunks = append(c.effects.Chunks, *chunk)
		if c.incoming.Offset == chunk.Meta.Size {
			meta := chunk.Meta
			c.installed = &meta
		}
	}
	c.reply(m.From, boragewick.ReplicaMessage{
		Kind:     boragewick.MessageSnapshotReply,
		Elapsed:  m.Elapsed,
		Snapshot: &boragewick.SnapshotChunk{Meta: chunk.Meta, Offset: c.incoming.Offset},
	})
}

// fits reports whether the chunk is whole and the one wanted next.
func (c *Core) fits(chunk *boragewick.SnapshotChunk) bool {
	if chunk.Offset != c.incoming.Offset || c.installed != nil {
		return false
	}
	if uint64(len(chunk.Data)) > chunk.Meta.Size-chunk.Offset {
		return false
	}
	return xxhash.Sum64(chunk.Data) == chunk.Sum
}
