// Package replica holds the consensus state machine of one control replica. It
// has no goroutines, no clock and no input or output of its own.
package replica

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// role is the Raft role of a replica in its term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// electionMarginDivisor sets the minimum time that a follower waits after its vote
// block has ended before it starts an election: an eighth of the election timeout.
const electionMarginDivisor = 8

// resumeTimeouts is for how many election timeouts a restarted leader asks for votes without
// waiting for one. After a common loss of power the other replicas are up within seconds.
const resumeTimeouts = 10

// learnerTimeoutFactor multiplies the minimum election delay for a replica that
// is not a voter.
const learnerTimeoutFactor = 4

// Core is the state machine that handles messages, proposals and the passing of
// time on one replica. Every method but TakeEffects and the queries changes
// only the state; TakeEffects returns the effects to carry out. A Core is not
// safe for concurrent use.
type Core struct {
	self boragewick.Member
	cfg  boragewick.ReplicaSettings
	rng  *rand.Rand
	log  *entryLog

	hardState      boragewick.HardState
	hardStateDirty bool
	role           role
	leader         boragewick.Member
	commitIndex    uint64
	deliveredIndex uint64

	// voteBlockedUntil is the time until which no other candidate gets a vote.
	voteBlockedUntil time.Time
	electionDeadline time.Time
	// resumeUntil is until when this replica, which led its term before it was restarted or to
	// which leadership is handed over, asks for votes at each heartbeat; zero if it doesn't.
	resumeUntil      time.Time
	votes            map[boragewick.Member]bool
	campaignTerm     uint64
	incomingSnapshot *boragewick.SnapshotChunk
	receivedSnapshot *boragewick.SnapshotMeta

	leaderState *leaderState
	effects     boragewick.Effects
}

// New restores a replica from its stored log. The seed randomizes the election
// timeouts; the replicas of a group need different seeds.
func New(cfg boragewick.ReplicaSettings, s *boragewick.StoredLog, seed uint64, now time.Time) (*Core, error) {
	if s.Identity == "" || cfg.Name == "" {
		return nil, errors.Wrap(boragewick.ErrBadSettings, "a replica needs a name and an identity")
	}
	c := &Core{
		self:           boragewick.Member{Name: cfg.Name, Identity: s.Identity},
		cfg:            cfg.WithDefaults(),
		rng:            rand.New(rand.NewPCG(seed, seed)),
		log:            newEntryLog(s),
		hardState:      s.Hard,
		commitIndex:    s.Snapshot.Revision.Index,
		deliveredIndex: s.Snapshot.Revision.Index,
	}
	if s.Incoming != nil {
		c.incomingSnapshot = &boragewick.SnapshotChunk{Meta: s.Incoming.Meta, Offset: s.Incoming.Offset}
	}
	c.resetElectionTimer(now)
	c.restoreVoteBlock(now)
	return c, nil
}

// restoreVoteBlock blocks votes again, because the replica may have acknowledged
// a leader just before it was restarted. A replica that has never taken part in
// a term, or is the sole voter, needs no block and may start an election at once. So may the
// leader of its term, which has promised nothing to another one.
func (c *Core) restoreVoteBlock(now time.Time) {
	if c.hardState.Term == 0 || c.soleVoter() {
		c.electionDeadline = now
		return
	}
	c.blockVotes(now)
	if c.ledTerm(c.self) {
		c.electionDeadline = now
		c.resumeUntil = now.Add(resumeTimeouts * c.cfg.ElectionTimeout)
	}
}

// soleVoter reports whether this replica is a voter and no other one is a voter
// in any membership that the log still holds.
func (c *Core) soleVoter() bool {
	for _, p := range c.log.memberships {
		voters := p.members.Voters
		if len(voters) > 1 || len(voters) == 1 && voters[0] != c.self {
			return false
		}
	}
	return c.log.membership().members.IsVoter(c.self)
}

// Self returns this replica's own name and identity.
func (c *Core) Self() boragewick.Member { return c.self }

// Leading reports whether the replica leads its term.
func (c *Core) Leading() bool { return c.role == leader }

// Leader returns the leader of the term, or the zero Member if it is unknown.
func (c *Core) Leader() boragewick.Member { return c.leader }

// Term returns the highest term that the replica has seen.
func (c *Core) Term() uint64 { return c.hardState.Term }

// Commit returns the last index known to be committed.
func (c *Core) Commit() uint64 { return c.commitIndex }

// LastRevision returns the revision of the newest entry of the log, committed
// or not.
func (c *Core) LastRevision() boragewick.Revision { return c.log.last() }

// Membership returns the membership in force.
func (c *Core) Membership() boragewick.Membership { return c.log.membership().members }

// MembershipAt returns the membership that was in force at a committed index.
func (c *Core) MembershipAt(index uint64) boragewick.Membership { return c.log.membershipAt(index) }

// Tick advances the timers to now.
func (c *Core) Tick(now time.Time) {
	if c.role == leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionDeadline) {
		return
	}
	c.resetElectionTimer(now)
	if now.Before(c.resumeUntil) {
		c.electionDeadline = now.Add(c.cfg.Heartbeat)
	}
	if !c.electable() {
		return
	}
	c.leader = boragewick.Member{}
	c.campaign(now, preCandidate)
}

// electable reports whether this replica may be a candidate. A voter that a
// newer membership removes remains electable until that membership is known to
// be committed. A learner is electable because it can hold the newest log among
// the remaining members.
func (c *Core) electable() bool {
	if _, member := c.Membership().Find(c.self.Name); member {
		return true
	}
	for i, p := range c.log.memberships {
		replaced := i+1 < len(c.log.memberships) && c.log.memberships[i+1].index <= c.commitIndex
		if !replaced && p.members.IsVoter(c.self) {
			return true
		}
	}
	return false
}

// TakeEffects returns the pending effects and clears them. Once all of them are
// written and synced, Saved must be called before the next TakeEffects.
func (c *Core) TakeEffects(now time.Time) boragewick.Effects {
	if c.role == leader {
		c.flush(now)
	}
	e := c.effects
	c.effects = boragewick.Effects{}
	if c.hardStateDirty {
		h := c.hardState
		e.Hard = &h
		c.hardStateDirty = false
	}
	e.Entries = c.log.unsubmitted()
	c.log.submitted = c.log.last().Index
	if c.deliveredIndex < c.commitIndex {
		e.Committed = c.log.between(c.deliveredIndex, c.commitIndex)
		c.deliveredIndex = c.commitIndex
	}
	e.Install = c.takeReceivedSnapshot()
	return e
}

// takeReceivedSnapshot returns the completely received snapshot, unless the
// commit index has already reached it.
func (c *Core) takeReceivedSnapshot() *boragewick.SnapshotMeta {
	meta := c.receivedSnapshot
	c.receivedSnapshot = nil
	if meta != nil && meta.Revision.Index <= c.commitIndex {
		c.incomingSnapshot = nil
		return nil
	}
	return meta
}

// Saved records that everything returned by TakeEffects is synced.
func (c *Core) Saved() {
	c.log.synced = c.log.submitted
	if c.role == leader {
		c.advanceCommit()
	}
}

// Compact records that a snapshot of the state machine was stored, and drops the
// entries covered by the snapshot before it.
func (c *Core) Compact(meta boragewick.SnapshotMeta) {
	c.log.compact(meta)
	if c.role == leader {
		c.restartStaleTransfers()
	}
}

// Installed records that the received snapshot is stored and restored.
func (c *Core) Installed(meta boragewick.SnapshotMeta) {
	c.incomingSnapshot = nil
	if meta.Revision.Index <= c.commitIndex {
		return
	}
	c.log.install(meta)
	c.commitIndex = meta.Revision.Index
	c.deliveredIndex = meta.Revision.Index
	c.sendAfterSync(c.leader, boragewick.ReplicaMessage{Kind: boragewick.MessageAppendReply, Match: c.commitIndex})
}

// InstallFailed discards the received snapshot, which was damaged.
func (c *Core) InstallFailed() {
	c.incomingSnapshot = nil
}

// sendAfterSync queues a message that must not be sent before the writes are
// synced. It is sent in the current term unless it has one of its own.
func (c *Core) sendAfterSync(to boragewick.Member, m boragewick.ReplicaMessage) {
	if to.Name == "" {
		return
	}
	m.From, m.To = c.self, to
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	c.effects.Messages = append(c.effects.Messages, m)
}

// setHardState changes the term or the vote.
func (c *Core) setHardState(h boragewick.HardState) {
	if h != c.hardState {
		c.hardState = h
		c.hardStateDirty = true
	}
}

// blockVotes blocks votes for other candidates for one election timeout.
func (c *Core) blockVotes(now time.Time) {
	until := now.Add(c.cfg.ElectionTimeout)
	if until.After(c.voteBlockedUntil) {
		c.voteBlockedUntil = until
	}
}

// resetElectionTimer draws a random time for the next election.
func (c *Core) resetElectionTimer(now time.Time) {
	minDelay := c.cfg.ElectionTimeout + c.cfg.ElectionTimeout/electionMarginDivisor
	if !c.Membership().IsVoter(c.self) {
		minDelay *= learnerTimeoutFactor
	}
	jitter := c.rng.Int64N(int64(c.cfg.ElectionTimeout))
	c.electionDeadline = now.Add(minDelay + time.Duration(jitter))
}
