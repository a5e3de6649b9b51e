package replica

import (
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

// leadership is what a replica knows only while it leads a term.
type leadership struct {
	started time.Time
	// opened is the index of the entry that opened the term.
	opened   uint64
	beatAt   time.Time
	progress map[boragewick.Member]*progress
	// reads wait for a quorum to confirm the leader.
	reads []pendingRead
	// beat is the sending time of the last heartbeat to all.
	beat   uint64
	beaten bool
}

// pendingRead is a read that needs acknowledgements of messages sent no
// earlier than elapsed.
type pendingRead struct {
	grant   boragewick.ReadGrant
	elapsed uint64
}

// lead begins to lead the term.
func (c *Core) lead(now time.Time) {
	c.role = leader
	c.leader = c.self
	c.term = &leadership{started: now, progress: map[boragewick.Member]*progress{}}
	c.append(boragewick.LogEntry{Kind: boragewick.EntryTerm})
	c.term.opened = c.log.last().Index
	c.track()
	c.beat(now)
}

// append puts one entry of this term at the end of the log.
func (c *Core) append(e boragewick.LogEntry) boragewick.Revision {
	e.Revision = boragewick.Revision{Term: c.hard.Term, Index: c.log.last().Index + 1}
	c.log.add([]boragewick.LogEntry{e})
	return e.Revision
}

// track keeps a progress for each other member of the newest membership.
func (c *Core) track() {
	members := c.Membership()
	all := slices.Concat(members.Voters, members.Learners)
	for m := range c.term.progress {
		if !slices.Contains(all, m) {
			delete(c.term.progress, m)
		}
	}
	for _, m := range all {
		if m != c.self && c.term.progress[m] == nil {
			c.term.progress[m] = &progress{member: m, next: c.log.last().Index + 1, probing: true}
		}
	}
}

// others returns the progress of all other members in the order of the
// membership.
func (c *Core) others() []*progress {
	members := c.Membership()
	var list []*progress
	for _, m := range slices.Concat(members.Voters, members.Learners) {
		if p := c.term.progress[m]; p != nil {
			list = append(list, p)
		}
	}
	return list
}

// elapsed returns the time in nanoseconds since the term began here.
func (c *Core) elapsed(now time.Time) uint64 {
	return uint64(max(now.Sub(c.term.started), 0))
}

// tickLeader sends heartbeats when they are due and stops leading without a
// quorum.
func (c *Core) tickLeader(now time.Time) {
	if now.Sub(c.term.started) > c.cfg.ElectionTimeout && now.Sub(c.confirmed(now)) > c.cfg.ElectionTimeout {
		c.follow(now, c.hard.Term, boragewick.Member{})
		return
	}
	if c.removed() {
		c.beat(now)
		c.follow(now, c.hard.Term, boragewick.Member{})
		return
	}
	if !now.Before(c.term.beatAt) {
		c.beat(now)
	}
}

// removed reports whether this leader's work is done because the committed
// membership does not let it vote.
func (c *Core) removed() bool {
	p := c.log.membership()
	done := p.index <= c.commit && c.term.opened <= c.commit
	return done && !p.members.IsVoter(c.self)
}

// beat sends a heartbeat, or what is missing, to all others.
func (c *Core) beat(now time.Time) {
	c.term.beatAt = now.Add(c.cfg.Heartbeat)
	c.term.beat = c.elapsed(now)
	c.term.beaten = true
	for _, p := range c.others() {
		p.paused = false
		switch {
		case p.sending != nil:
			c.sendChunk(now, p)
		case p.probing || p.next <= c.log.base.Index:
			c.sendEntries(now, p)
		default:
			c.sendEmpty(now, p)
		}
	}
}

// flush sends new entries and asks for the confirmations that reads wait for.
func (c *Core) flush(now time.Time) {
	if n := len(c.term.reads); n > 0 && c.term.reads[n-1].elapsed > c.term.beat {
		c.beat(now)
	}
	for _, p := range c.others() {
		for p.ready() && p.next <= c.log.last().Index {
			c.sendEntries(now, p)
		}
	}
}

// sendEmpty sends a heartbeat that also finds out about lost entries.
func (c *Core) sendEmpty(now time.Time, p *progress) {
	previous, _ := c.log.revision(p.next - 1)
	c.early(now, p, boragewick.ReplicaMessage{Kind: boragewick.MessageAppend, Previous: previous})
}

// sendEntries sends the next entries, or a snapshot if the log no longer has
// them.
func (c *Core) sendEntries(now time.Time, p *progress) {
	previous, ok := c.log.revision(p.next - 1)
	if !ok {
		p.sending = &boragewick.SnapshotChunk{Meta: c.log.snapshot}
		c.sendChunk(now, p)
		return
	}
	m := boragewick.ReplicaMessage{Kind: boragewick.MessageAppend, Previous: previous}
	if p.next <= c.log.last().Index {
		m.Entries = c.log.slice(p.next)
	}
	c.early(now, p, m)
	p.sent(previous.Index + uint64(len(m.Entries)))
}

// sendChunk sends the next chunk of the snapshot; its bytes are filled in
// from the storage.
func (c *Core) sendChunk(now time.Time, p *progress) {
	chunk := *p.sending
	m := boragewick.ReplicaMessage{Kind: boragewick.MessageSnapshot, Snapshot: &chunk}
	m.Elapsed = c.elapsed(now)
	c.reply(p.member, m)
}

// early queues a message that need not wait for this replica's own writes.
func (c *Core) early(now time.Time, p *progress, m boragewick.ReplicaMessage) {
	m.From, m.To, m.Term = c.self, p.member, c.hard.Term
	m.Commit = c.commit
	m.Elapsed = c.elapsed(now)
	c.effects.Early = append(c.effects.Early, m)
}

// stepLeader takes in a member's reply.
func (c *Core) stepLeader(now time.Time, m *boragewick.ReplicaMessage) {
	p := c.term.progress[m.From]
	if p == nil {
		return
	}
	p.acknowledge(m.Elapsed)
	switch {
	case m.Kind == boragewick.MessageSnapshotReply:
		c.continueChunks(now, p, m)
	case m.Reject:
		c.findMatch(p, m)
	default:
		c.accept(p, m)
	}
	c.grantReads()
}

// accept notes the entries that a member has synced.
func (c *Core) accept(p *progress, m *boragewick.ReplicaMessage) {
	p.accepted(m.Match)
	if p.sending != nil && p.match >= p.sending.Meta.Revision.Index {
		p.sending = nil
		p.probe(p.match + 1)
	}
	if p.probing && p.sending == nil && p.match > 0 && p.match+1 == p.next {
		p.probing = false
	}
	c.advance()
}

// findMatch goes back to the newest entry that both logs may hold.
func (c *Core) findMatch(p *progress, m *boragewick.ReplicaMessage) {
	stale := m.Previous.Index <= p.match || p.sending != nil
	if stale || p.probing && m.Previous.Index != p.next-1 {
		return
	}
	p.probe(min(c.log.hint(m.Hint).Index, m.Previous.Index-1) + 1)
}

// continueChunks sends the chunk that the member wants next.
func (c *Core) continueChunks(now time.Time, p *progress, m *boragewick.ReplicaMessage) {
	if p.sending == nil || !p.sending.Meta.Same(&m.Snapshot.Meta) {
		return
	}
	if m.Snapshot.Offset == p.sending.Offset {
		return
	}
	p.sending.Offset = m.Snapshot.Offset
	if p.sending.Offset < p.sending.Meta.Size {
		c.sendChunk(now, p)
	}
}

// dropOldTransfers starts transfers anew whose snapshot is no longer stored.
func (c *Core) dropOldTransfers() {
	for _, p := range c.others() {
		if p.sending == nil || p.sending.Meta.Same(&c.log.snapshot) || p.sending.Meta.Same(&c.log.previous) {
			continue
		}
		p.sending = &boragewick.SnapshotChunk{Meta: c.log.snapshot}
	}
}

// advance commits the entries of this term that a quorum has synced.
func (c *Core) advance() {
	members := c.Membership()
	synced := make([]uint64, 0, len(members.Voters))
	for _, v := range members.Voters {
		if v == c.self {
			synced = append(synced, c.log.synced)
		} else {
			synced = append(synced, c.term.progress[v].match)
		}
	}
	slices.Sort(synced)
	index := synced[(len(synced)-1)/2]
	r, _ := c.log.revision(index)
	if index > c.commit && r.Term == c.hard.Term {
		c.commit = index
		c.grantReads()
	}
}
