package replica

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragewick/boragewick"
)

// Step handles a message from another replica. A message addressed to another
// identity with this replica's name, or one that no correct replica sends, is
// dropped.
func (c *Core) Step(now time.Time, m *boragewick.ReplicaMessage) {
	if !c.valid(m) {
		return
	}
	switch m.Kind {
	case boragewick.MessagePreVote:
		c.handlePreVote(now, m)
		return
	case boragewick.MessageVote:
		c.handleVote(now, m)
		return
	case boragewick.MessagePreVoteReply:
		if !m.Reject {
			c.recordVote(now, m, preCandidate)
			return
		}
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(now, m.Term, boragewick.Member{})
	}
	if m.Term < c.hardState.Term {
		c.rejectStaleLeader(m)
		return
	}
	c.stepCurrentTerm(now, m)
}

// stepCurrentTerm handles a message of the current term.
func (c *Core) stepCurrentTerm(now time.Time, m *boragewick.ReplicaMessage) {
	switch m.Kind {
	case boragewick.MessageVoteReply:
		c.recordVote(now, m, candidate)
	case boragewick.MessageAppend:
		if c.acceptLeader(now, m.From) {
			c.handleAppend(m)
		}
	case boragewick.MessageSnapshot:
		if c.acceptLeader(now, m.From) {
			c.handleSnapshotChunk(m)
		}
	case boragewick.MessageAppendReply, boragewick.MessageSnapshotReply:
		if c.role == leader {
			c.handleFollowerReply(now, m)
		}
	case boragewick.MessageResign, boragewick.MessageHandOver:
		c.handleResign(now, m)
	}
}

// becomeFollower becomes a follower in the term, which is the current or a newer
// one.
func (c *Core) becomeFollower(now time.Time, term uint64, newLeader boragewick.Member) {
	if c.role == leader {
		c.blockVotes(now)
		c.leaderState = nil
	}
	if c.role != follower {
		c.resetElectionTimer(now)
	}
	c.role = follower
	c.leader = newLeader
	c.resumeUntil = time.Time{}
	if term > c.hardState.Term {
		c.setHardState(boragewick.HardState{Term: term})
	}
}

// acceptLeader follows the sender as the leader of this term. It returns false if
// this replica itself leads the term, and the message must be ignored.
func (c *Core) acceptLeader(now time.Time, from boragewick.Member) bool {
	if c.role == leader {
		return false
	}
	c.becomeFollower(now, c.hardState.Term, from)
	c.blockVotes(now)
	c.resetElectionTimer(now)
	return true
}

// rejectStaleLeader informs a leader of an older term of the current term.
func (c *Core) rejectStaleLeader(m *boragewick.ReplicaMessage) {
	if m.Kind == boragewick.MessageAppend || m.Kind == boragewick.MessageSnapshot {
		c.sendAfterSync(m.From, boragewick.ReplicaMessage{Kind: boragewick.MessageAppendReply, Reject: true})
	}
}

// handleAppend appends the entries of the message if the entry before them is in
// the log or precedes the commit index, and rejects the message with a hint
// otherwise. Entries up to the commit index are skipped.
func (c *Core) handleAppend(m *boragewick.ReplicaMessage) {
	reply := boragewick.ReplicaMessage{
		Kind:     boragewick.MessageAppendReply,
		Previous: m.Previous,
		Elapsed:  m.Elapsed,
	}
	switch {
	case m.Previous.Index < c.commitIndex:
		c.log.merge(skipThrough(m.Entries, c.commitIndex))
		reply.Match = max(c.commitIndex, m.Previous.Index+uint64(len(m.Entries)))
	case c.log.contains(m.Previous):
		c.log.merge(m.Entries)
		reply.Match = m.Previous.Index + uint64(len(m.Entries))
	default:
		reply.Reject = true
		reply.Hint = c.log.conflictHint(m.Previous)
	}
	if !reply.Reject {
		c.commitIndex = max(c.commitIndex, min(m.Commit, reply.Match))
	}
	c.sendAfterSync(m.From, reply)
}

// skipThrough drops the entries up to and including the index.
func skipThrough(entries []boragewick.LogEntry, index uint64) []boragewick.LogEntry {
	for len(entries) > 0 && entries[0].Revision.Index <= index {
		entries = entries[1:]
	}
	return entries
}

// handleSnapshotChunk adds the chunk if it continues the incoming snapshot, and
// replies with the offset that is needed next.
func (c *Core) handleSnapshotChunk(m *boragewick.ReplicaMessage) {
	chunk := m.Snapshot
	if chunk.Meta.Revision.Index <= c.commitIndex {
		c.sendAfterSync(m.From, boragewick.ReplicaMessage{
			Kind: boragewick.MessageAppendReply, Match: c.commitIndex, Elapsed: m.Elapsed,
		})
		return
	}
	if c.incomingSnapshot == nil || !c.incomingSnapshot.Meta.Same(&chunk.Meta) {
		c.incomingSnapshot = &boragewick.SnapshotChunk{Meta: chunk.Meta}
	}
	if c.isNextChunk(chunk) {
		c.incomingSnapshot.Offset += uint64(len(chunk.Data))
		c.effects.Chunks = append(c.effects.Chunks, *chunk)
		if c.incomingSnapshot.Offset == chunk.Meta.Size {
			meta := chunk.Meta
			c.receivedSnapshot = &meta
		}
	}
	c.sendAfterSync(m.From, boragewick.ReplicaMessage{
		Kind:     boragewick.MessageSnapshotReply,
		Elapsed:  m.Elapsed,
		Snapshot: &boragewick.SnapshotChunk{Meta: chunk.Meta, Offset: c.incomingSnapshot.Offset},
	})
}

// isNextChunk reports whether the chunk is undamaged and the next one needed.
func (c *Core) isNextChunk(chunk *boragewick.SnapshotChunk) bool {
	if chunk.Offset != c.incomingSnapshot.Offset || c.receivedSnapshot != nil {
		return false
	}
	if uint64(len(chunk.Data)) > chunk.Meta.Size-chunk.Offset {
		return false
	}
	return xxhash.Sum64(chunk.Data) == chunk.Sum
}
