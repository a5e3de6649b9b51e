package replica

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

var (
	memberA = boragewick.Member{Name: "a", Identity: "1"}
	memberB = boragewick.Member{Name: "b", Identity: "2"}
	memberC = boragewick.Member{Name: "c", Identity: "3"}
)

// newTestCore returns replica a of three, whose log holds entries of the given
// terms after the membership, and the time at which its votes are no longer
// blocked.
func newTestCore(t *testing.T, term uint64, terms ...uint64) (*Core, time.Time) {
	t.Helper()
	members := boragewick.Membership{Voters: []boragewick.Member{memberA, memberB, memberC}}
	stored := boragewick.StoredLog{
		Identity: memberA.Identity,
		Hard:     boragewick.HardState{Term: term},
		Entries: []boragewick.LogEntry{{
			Revision: boragewick.Revision{Index: 1}, Kind: boragewick.EntryMembership, Membership: &members,
		}},
	}
	for i, term := range terms {
		stored.Entries = append(stored.Entries, boragewick.LogEntry{
			Revision: boragewick.Revision{Term: term, Index: uint64(i) + 2}, Kind: boragewick.EntryTerm,
		})
	}
	now := time.Unix(1, 0)
	cfg := boragewick.ReplicaSettings{Name: "a", Heartbeat: testHeartbeat, ElectionTimeout: testElection}
	c, err := New(cfg, &stored, 1, now)
	if err != nil {
		t.Fatal(err)
	}
	return c, now.Add(testElection)
}

func TestVote(t *testing.T) {
	tests := map[string]struct {
		votesBlocked bool
		vote         boragewick.Member
		term         uint64
		previous     boragewick.Revision
		granted      bool
	}{
		"equal log":         {term: 6, previous: boragewick.Revision{Term: 4, Index: 3}, granted: true},
		"longer log":        {term: 6, previous: boragewick.Revision{Term: 4, Index: 9}, granted: true},
		"newer log":         {term: 6, previous: boragewick.Revision{Term: 5, Index: 1}, granted: true},
		"shorter log":       {term: 6, previous: boragewick.Revision{Term: 4, Index: 2}},
		"older, longer log": {term: 6, previous: boragewick.Revision{Term: 3, Index: 9}},
		"old term":          {term: 4, previous: boragewick.Revision{Term: 4, Index: 3}},
		"same vote again":   {term: 5, vote: memberB, previous: boragewick.Revision{Term: 4, Index: 3}, granted: true},
		"voted for another": {term: 5, vote: memberC, previous: boragewick.Revision{Term: 4, Index: 3}},
		"votes blocked":     {term: 6, votesBlocked: true, previous: boragewick.Revision{Term: 4, Index: 3}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, now := newTestCore(t, 5, 3, 4)
			c.hardState.Vote = tt.vote
			if tt.votesBlocked {
				c.blockVotes(now)
			}
			c.Step(now, &boragewick.ReplicaMessage{
				Kind: boragewick.MessageVote, From: memberB, To: memberA, Term: tt.term, Previous: tt.previous,
			})
			e := c.TakeEffects(now)
			granted := len(e.Messages) == 1 && !e.Messages[0].Reject
			if granted != tt.granted {
				t.Errorf("granted %t, want %t", granted, tt.granted)
			}
			if granted && c.hardState != (boragewick.HardState{Term: tt.term, Vote: memberB}) {
				t.Errorf("hard state %+v", c.hardState)
			}
		})
	}
}

// elect makes the replica leader of the next term.
func elect(c *Core, now time.Time) {
	c.campaign(now, candidate)
	c.Step(now, &boragewick.ReplicaMessage{
		Kind: boragewick.MessageVoteReply, From: memberB, To: memberA, Term: c.hardState.Term,
	})
	c.TakeEffects(now)
	c.Saved()
}

// ack delivers b's acknowledgement of all entries up to the index to the leader.
func ack(c *Core, now time.Time, index uint64) {
	c.Step(now, &boragewick.ReplicaMessage{
		Kind: boragewick.MessageAppendReply, From: memberB, To: memberA, Term: c.hardState.Term, Match: index,
	})
	c.TakeEffects(now)
	c.Saved()
}

func TestCommitsOnlyFromOwnTerm(t *testing.T) {
	c, now := newTestCore(t, 5, 3, 4)
	elect(c, now)
	ack(c, now, 3)
	if c.Commit() != 0 {
		t.Errorf("committed %d with entries of old terms alone", c.Commit())
	}
	ack(c, now, 4)
	if c.Commit() != 4 {
		t.Errorf("committed %d, want 4", c.Commit())
	}
}

func TestMembershipChanges(t *testing.T) {
	d := boragewick.Member{Name: "d", Identity: "4"}
	replacementB := boragewick.Member{Name: "b", Identity: "5"}
	tests := map[string]struct {
		setup   func(c *Core, now time.Time)
		change  func(c *Core, now time.Time) (boragewick.Revision, error)
		wantErr string
	}{
		"first": {
			change: func(c *Core, _ time.Time) (boragewick.Revision, error) { return c.Add(d) },
		},
		"second while the first is uncommitted": {
			setup:   func(c *Core, _ time.Time) { _, _ = c.Add(d) },
			change:  func(c *Core, _ time.Time) (boragewick.Revision, error) { return c.Remove("c") },
			wantErr: "another change is under way",
		},
		"new identity under an old name": {
			change:  func(c *Core, _ time.Time) (boragewick.Revision, error) { return c.Add(replacementB) },
			wantErr: "b is a member",
		},
		"learner that is behind": {
			setup: func(c *Core, now time.Time) {
				_, _ = c.Add(d)
				ack(c, now, c.LastRevision().Index)
			},
			change:  func(c *Core, now time.Time) (boragewick.Revision, error) { return c.Promote(now, "d") },
			wantErr: "d has 0 of",
		},
		"voter promoted": {
			change:  func(c *Core, now time.Time) (boragewick.Revision, error) { return c.Promote(now, "b") },
			wantErr: "b is not a learner",
		},
		"unknown removed": {
			change:  func(c *Core, _ time.Time) (boragewick.Revision, error) { return c.Remove("x") },
			wantErr: "x is not a member",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, now := newTestCore(t, 5, 3, 4)
			elect(c, now)
			if _, err := c.Add(d); !errors.Is(err, boragewick.ErrBadMembership) {
				t.Errorf("before the first commit of the term: %v", err)
			}
			ack(c, now, c.LastRevision().Index)
			if tt.setup != nil {
				tt.setup(c, now)
			}
			_, err := tt.change(c, now)
			if tt.wantErr == "" && err != nil {
				t.Fatal(err)
			}
			if tt.wantErr != "" && (!errors.Is(err, boragewick.ErrBadMembership) || !strings.Contains(err.Error(), tt.wantErr)) {
				t.Errorf("error %v, want %q", err, tt.wantErr)
			}
		})
	}
}

func TestNotLeaderNamesTheLeader(t *testing.T) {
	c, now := newTestCore(t, 5)
	c.Step(now, &boragewick.ReplicaMessage{Kind: boragewick.MessageAppend, From: memberB, To: memberA, Term: 6})
	_, err := c.Propose(nil)
	if !errors.Is(err, boragewick.ErrNotLeader) || !strings.Contains(err.Error(), "leader is b") {
		t.Errorf("propose: %v", err)
	}
	if err := c.RequestRead(now, 1); !errors.Is(err, boragewick.ErrNotLeader) {
		t.Errorf("read: %v", err)
	}
}
