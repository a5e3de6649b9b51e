package replica

import (
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

// leaderState is the state that a replica keeps only while it leads a term.
type leaderState struct {
	startedAt time.Time
	// termEntryIndex is the index of the EntryTerm that opened the term.
	termEntryIndex uint64
	heartbeatDue   time.Time
	progress       map[boragewick.Member]*progress
	// pendingReads wait for a quorum to confirm the leader.
	pendingReads []pendingRead
	// lastHeartbeat is the sending time of the last heartbeat to all members, in
	// nanoseconds since the term began.
	lastHeartbeat uint64
	heartbeatSent bool
}

// pendingRead is a read that waits until a quorum has acknowledged messages
// sent no earlier than elapsed.
type pendingRead struct {
	grant   boragewick.ReadGrant
	elapsed uint64
}

// becomeLeader starts leading the current term.
func (c *Core) becomeLeader(now time.Time) {
	c.role = leader
	c.leader = c.self
	c.leaderState = &leaderState{startedAt: now, progress: map[boragewick.Member]*progress{}}
	c.append(boragewick.LogEntry{Kind: boragewick.EntryTerm, Leader: &c.self})
	c.leaderState.termEntryIndex = c.log.last().Index
	c.updateProgress()
	c.broadcastHeartbeat(now)
}

// append appends one entry in the current term to the log.
func (c *Core) append(e boragewick.LogEntry) boragewick.Revision {
	e.Revision = boragewick.Revision{Term: c.hardState.Term, Index: c.log.last().Index + 1}
	c.log.add([]boragewick.LogEntry{e})
	return e.Revision
}

// updateProgress adds and removes progress entries so that there is one for
// each other member of the newest membership.
func (c *Core) updateProgress() {
	members := c.Membership()
	all := slices.Concat(members.Voters, members.Learners)
	for m := range c.leaderState.progress {
		if !slices.Contains(all, m) {
			delete(c.leaderState.progress, m)
		}
	}
	for _, m := range all {
		if m != c.self && c.leaderState.progress[m] == nil {
			c.leaderState.progress[m] = &progress{member: m, next: c.log.last().Index + 1, probing: true}
		}
	}
}

// peerProgress returns the progress of all other members in the order of the
// membership.
func (c *Core) peerProgress() []*progress {
	members := c.Membership()
	var list []*progress
	for _, m := range slices.Concat(members.Voters, members.Learners) {
		if p := c.leaderState.progress[m]; p != nil {
			list = append(list, p)
		}
	}
	return list
}

// elapsed returns the nanoseconds since this replica began to lead the term.
func (c *Core) elapsed(now time.Time) uint64 {
	return uint64(max(now.Sub(c.leaderState.startedAt), 0))
}

// tickLeader sends heartbeats when they are due. It steps down when no quorum
// has acknowledged a message sent within the last election timeout, or when this
// replica has been removed as a voter.
func (c *Core) tickLeader(now time.Time) {
	if now.Sub(c.leaderState.startedAt) > c.cfg.ElectionTimeout && now.Sub(c.lastQuorumAck(now)) > c.cfg.ElectionTimeout {
		c.becomeFollower(now, c.hardState.Term, boragewick.Member{})
		return
	}
	if c.removedAsVoter() {
		c.broadcastHeartbeat(now)
		c.becomeFollower(now, c.hardState.Term, boragewick.Member{})
		return
	}
	if !now.Before(c.leaderState.heartbeatDue) {
		c.broadcastHeartbeat(now)
	}
}

// removedAsVoter reports whether this leader can step down because the newest
// membership is committed, as is the first entry of its term, and does not
// include it as a voter.
func (c *Core) removedAsVoter() bool {
	p := c.log.membership()
	done := p.index <= c.commitIndex && c.leaderState.termEntryIndex <= c.commitIndex
	return done && !p.members.IsVoter(c.self)
}

// broadcastHeartbeat sends each other member a heartbeat, or the entries or the
// snapshot chunk that it lacks.
func (c *Core) broadcastHeartbeat(now time.Time) {
	c.leaderState.heartbeatDue = now.Add(c.cfg.Heartbeat)
	c.leaderState.lastHeartbeat = c.elapsed(now)
	c.leaderState.heartbeatSent = true
	for _, p := range c.peerProgress() {
		p.paused = false
		switch {
		case p.transfer != nil:
			c.sendChunk(now, p)
		case p.probing || p.next <= c.log.base.Index:
			c.sendEntries(now, p)
		default:
			c.sendHeartbeat(now, p)
		}
	}
}

// flush sends new entries, and a heartbeat if pending reads need one to be
// confirmed.
func (c *Core) flush(now time.Time) {
	if n := len(c.leaderState.pendingReads); n > 0 && c.leaderState.pendingReads[n-1].elapsed > c.leaderState.lastHeartbeat {
		c.broadcastHeartbeat(now)
	}
	for _, p := range c.peerProgress() {
		for p.canSend() && p.next <= c.log.last().Index {
			c.sendEntries(now, p)
		}
	}
}

// sendHeartbeat sends an append without entries. The member rejects it if it
// has not received the entries sent before.
func (c *Core) sendHeartbeat(now time.Time, p *progress) {
	previous, _ := c.log.revision(p.next - 1)
	c.sendEarly(now, p, boragewick.ReplicaMessage{Kind: boragewick.MessageAppend, Previous: previous})
}

// sendEntries sends the next entries, or a snapshot if the log no longer has
// them.
func (c *Core) sendEntries(now time.Time, p *progress) {
	previous, ok := c.log.revision(p.next - 1)
	if !ok {
		p.transfer = &boragewick.SnapshotChunk{Meta: c.log.snapshot}
		c.sendChunk(now, p)
		return
	}
	m := boragewick.ReplicaMessage{Kind: boragewick.MessageAppend, Previous: previous}
	if p.next <= c.log.last().Index {
		m.Entries = c.log.batchFrom(p.next)
	}
	c.sendEarly(now, p, m)
	p.recordSent(previous.Index + uint64(len(m.Entries)))
}

// sendChunk queues the next chunk of the snapshot. Its data is filled in from
// the storage before it is sent.
func (c *Core) sendChunk(now time.Time, p *progress) {
	chunk := *p.transfer
	m := boragewick.ReplicaMessage{Kind: boragewick.MessageSnapshot, Snapshot: &chunk}
	m.Elapsed = c.elapsed(now)
	c.sendAfterSync(p.member, m)
}

// sendEarly queues a message that need not wait for this replica's own writes.
func (c *Core) sendEarly(now time.Time, p *progress, m boragewick.ReplicaMessage) {
	m.From, m.To, m.Term = c.self, p.member, c.hardState.Term
	m.Commit = c.commitIndex
	m.Elapsed = c.elapsed(now)
	c.effects.Early = append(c.effects.Early, m)
}

// handleFollowerReply handles a member's reply to an append or a snapshot chunk.
func (c *Core) handleFollowerReply(now time.Time, m *boragewick.ReplicaMessage) {
	p := c.leaderState.progress[m.From]
	if p == nil {
		return
	}
	p.recordReply(m.Elapsed)
	switch {
	case m.Kind == boragewick.MessageSnapshotReply:
		c.handleSnapshotReply(now, p, m)
	case m.Reject:
		c.handleAppendRejected(p, m)
	default:
		c.handleAppendAccepted(p, m)
	}
	c.grantConfirmedReads()
}

// handleAppendAccepted records the entries that a member has synced.
func (c *Core) handleAppendAccepted(p *progress, m *boragewick.ReplicaMessage) {
	p.recordMatch(m.Match)
	if p.transfer != nil && p.match >= p.transfer.Meta.Revision.Index {
		p.transfer = nil
		p.startProbing(p.match + 1)
	}
	if p.probing && p.transfer == nil && p.match > 0 && p.match+1 == p.next {
		p.probing = false
	}
	c.advanceCommit()
}

// handleAppendRejected moves back to the newest entry that both logs may hold.
// Replies to outdated messages are ignored.
func (c *Core) handleAppendRejected(p *progress, m *boragewick.ReplicaMessage) {
	stale := m.Previous.Index <= p.match || p.transfer != nil
	if stale || p.probing && m.Previous.Index != p.next-1 {
		return
	}
	p.startProbing(min(c.log.conflictHint(m.Hint).Index, m.Previous.Index-1) + 1)
}

// handleSnapshotReply sends the chunk that the member requests next.
func (c *Core) handleSnapshotReply(now time.Time, p *progress, m *boragewick.ReplicaMessage) {
	if p.transfer == nil || !p.transfer.Meta.Same(&m.Snapshot.Meta) {
		return
	}
	if m.Snapshot.Offset == p.transfer.Offset {
		return
	}
	p.transfer.Offset = m.Snapshot.Offset
	if p.transfer.Offset < p.transfer.Meta.Size {
		c.sendChunk(now, p)
	}
}

// restartStaleTransfers restarts transfers of snapshots that are no longer
// stored, with the newest snapshot.
func (c *Core) restartStaleTransfers() {
	for _, p := range c.peerProgress() {
		if p.transfer == nil || p.transfer.Meta.Same(&c.log.snapshot) || p.transfer.Meta.Same(&c.log.previousSnapshot) {
			continue
		}
		p.transfer = &boragewick.SnapshotChunk{Meta: c.log.snapshot}
	}
}

// advanceCommit moves the commit index to the newest entry that a quorum has
// synced, if that entry is of the current term.
func (c *Core) advanceCommit() {
	members := c.Membership()
	synced := make([]uint64, 0, len(members.Voters))
	for _, v := range members.Voters {
		if v == c.self {
			synced = append(synced, c.log.synced)
		} else {
			synced = append(synced, c.leaderState.progress[v].match)
		}
	}
	slices.Sort(synced)
	index := synced[(len(synced)-1)/2]
	r, _ := c.log.revision(index)
	if index > c.commitIndex && r.Term == c.hardState.Term {
		c.commitIndex = index
		c.grantConfirmedReads()
	}
}
