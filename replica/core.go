// Package replica holds the consensus state machine of one control replica. It
// has no goroutines, no clock and no input or output of its own.
package replica

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// role is what a replica currently does in its term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// jitterShare is the part of the election timeout that a follower waits at
// least beyond its promise to the last leader.
const jitterShare = 8

// learnerPatience is how many times longer a replica waits that does not vote.
const learnerPatience = 4

// Core decides what one replica does about messages, proposals and the passing
// of time. Every method but Take and the queries changes only the state; Take
// hands out what is to be done about it. A Core is used from one goroutine.
type Core struct {
	self boragewick.Member
	cfg  boragewick.ReplicaSettings
	rng  *rand.Rand
	log  *entryLog

	hard      boragewick.HardState
	hardDirty bool
	role      role
	leader    boragewick.Member
	commit    uint64
	handed    uint64

	// promised is the instant until which no other candidate gets a vote.
	promised  time.Time
	electAt   time.Time
	votes     map[boragewick.Member]bool
	electing  uint64
	incoming  *boragewick.SnapshotChunk
	installed *boragewick.SnapshotMeta

	term    *leadership
	effects boragewick.Effects
}

// New returns the replica as it was stored. The seed spreads the election
// timeouts; the replicas of a group need different ones.
func New(cfg boragewick.ReplicaSettings, s *boragewick.StoredLog, seed uint64, now time.Time) (*Core, error) {
	if s.Identity == "" || cfg.Name == "" {
		return nil, errors.Wrap(boragewick.ErrBadSettings, "a replica needs a name and an identity")
	}
	c := &Core{
		self:   boragewick.Member{Name: cfg.Name, Identity: s.Identity},
		cfg:    cfg.WithDefaults(),
		rng:    rand.New(rand.NewPCG(seed, seed)),
		log:    newEntryLog(s),
		hard:   s.Hard,
		commit: s.Snapshot.Revision.Index,
		handed: s.Snapshot.Revision.Index,
	}
	if s.Incoming != nil {
		c.incoming = &boragewick.SnapshotChunk{Meta: s.Incoming.Meta, Offset: s.Incoming.Offset}
	}
	c.resetElection(now)
	c.firstPromise(now)
	return c, nil
}

// firstPromise renews the promise that the replica may have made before it was
// restarted. A replica that never took part in a term made none.
func (c *Core) firstPromise(now time.Time) {
	if c.hard.Term == 0 || c.alone() {
		c.electAt = now
		return
	}
	c.promise(now)
}

// alone reports whether this replica has been the only voter in all that the
// log remembers.
func (c *Core) alone() bool {
	for _, p := range c.log.memberships {
		voters := p.members.Voters
		if len(voters) > 1 || len(voters) == 1 && voters[0] != c.self {
			return false
		}
	}
	return c.log.membership().members.IsVoter(c.self)
}

// Self returns the member that this replica is.
func (c *Core) Self() boragewick.Member { return c.self }

// Leading reports whether the replica leads its term.
func (c *Core) Leading() bool { return c.role == leader }

// Leader returns the leader of the term as far as it is known.
func (c *Core) Leader() boragewick.Member { return c.leader }

// Term returns the newest term that the replica has seen.
func (c *Core) Term() uint64 { return c.hard.Term }

// Commit returns the last index known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// Last returns the newest entry of the log, committed or not.
func (c *Core) Last() boragewick.Revision { return c.log.last() }

// Membership returns the membership in force.
func (c *Core) Membership() boragewick.Membership { return c.log.membership().members }

// MembershipAt returns the membership that was in force at a committed index.
func (c *Core) MembershipAt(index uint64) boragewick.Membership { return c.log.membershipAt(index) }

// Tick tells that time has passed.
func (c *Core) Tick(now time.Time) {
	if c.role == leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electAt) {
		return
	}
	c.resetElection(now)
	if !c.electable() {
		return
	}
	c.leader = boragewick.Member{}
	c.campaign(now, preCandidate)
}

// electable reports whether this replica may be a candidate. One that a
// membership leaves out still may while that is not known to be committed, and
// a learner may because it can hold the newest log of those that are left.
func (c *Core) electable() bool {
	if _, member := c.Membership().Find(c.self.Name); member {
		return true
	}
	for i, p := range c.log.memberships {
		replaced := i+1 < len(c.log.memberships) && c.log.memberships[i+1].index <= c.commit
		if !replaced && p.members.IsVoter(c.self) {
			return true
		}
	}
	return false
}

// Take returns what is to be done and forgets it. Once all of it is written
// and synced, Saved must be called before the next Take.
func (c *Core) Take(now time.Time) boragewick.Effects {
	if c.role == leader {
		c.flush(now)
	}
	e := c.effects
	c.effects = boragewick.Effects{}
	if c.hardDirty {
		h := c.hard
		e.Hard = &h
		c.hardDirty = false
	}
	e.Entries = c.log.unsaved()
	c.log.handed = c.log.last().Index
	if c.handed < c.commit {
		e.Committed = c.log.between(c.handed, c.commit)
		c.handed = c.commit
	}
	e.Install = c.takeInstall()
	return e
}

// takeInstall returns the snapshot that is complete, unless entries overtook it.
func (c *Core) takeInstall() *boragewick.SnapshotMeta {
	meta := c.installed
	c.installed = nil
	if meta != nil && meta.Revision.Index <= c.commit {
		c.incoming = nil
		return nil
	}
	return meta
}

// Saved tells that all that Take returned is synced.
func (c *Core) Saved() {
	c.log.synced = c.log.handed
	if c.role == leader {
		c.advance()
	}
}

// Compact tells that a snapshot of the state machine was stored.
func (c *Core) Compact(meta boragewick.SnapshotMeta) {
	c.log.compact(meta)
	if c.role == leader {
		c.dropOldTransfers()
	}
}

// Installed tells that the snapshot which was received is stored and restored.
func (c *Core) Installed(meta boragewick.SnapshotMeta) {
	c.incoming = nil
	if meta.Revision.Index <= c.commit {
		return
	}
	c.log.install(meta)
	c.commit = meta.Revision.Index
	c.handed = meta.Revision.Index
	c.reply(c.leader, boragewick.ReplicaMessage{Kind: boragewick.MessageAppendReply, Match: c.commit})
}

// InstallFailed tells that the received snapshot was damaged.
func (c *Core) InstallFailed() {
	c.incoming = nil
}

// reply queues a message of this term that must wait for the writes.
func (c *Core) reply(to boragewick.Member, m boragewick.ReplicaMessage) {
	if to.Name == "" {
		return
	}
	m.From, m.To = c.self, to
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	c.effects.Messages = append(c.effects.Messages, m)
}

// setHard changes the term or the vote.
func (c *Core) setHard(h boragewick.HardState) {
	if h != c.hard {
		c.hard = h
		c.hardDirty = true
	}
}

// promise renews the promise not to vote for another candidate.
func (c *Core) promise(now time.Time) {
	until := now.Add(c.cfg.ElectionTimeout)
	if until.After(c.promised) {
		c.promised = until
	}
}

// resetElection draws the instant of the next election.
func (c *Core) resetElection(now time.Time) {
	least := c.cfg.ElectionTimeout + c.cfg.ElectionTimeout/jitterShare
	if !c.Membership().IsVoter(c.self) {
		least *= learnerPatience
	}
	spread := c.rng.Int64N(int64(c.cfg.ElectionTimeout))
	c.electAt = now.Add(least + time.Duration(spread))
}
