package replica

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/boragewick/boragewick"
)

// FuzzStep decodes messages and passes them to a leader and to a follower, which
// must not panic and whose commit index must not decrease.
func FuzzStep(f *testing.F) {
	from := boragewick.Member{Name: "b", Identity: "2"}
	to := boragewick.Member{Name: "a", Identity: "1"}
	for kind := boragewick.MessagePreVote; kind <= boragewick.MessageSnapshotReply; kind++ {
		b, err := cbor.Marshal(&boragewick.ReplicaMessage{
			Kind: kind, From: from, To: to, Term: 3, Match: 2, Commit: 3,
			Previous: boragewick.Revision{Term: 1, Index: 2},
			Entries: []boragewick.LogEntry{{
				Revision: boragewick.Revision{Term: 3, Index: 3}, Kind: boragewick.EntryCommand, Command: []byte("x"),
			}},
			Snapshot: &boragewick.SnapshotChunk{
				Meta: boragewick.SnapshotMeta{Revision: boragewick.Revision{Term: 2, Index: 9}, Size: 4},
				Data: []byte("half"), Sum: 0x0ad7a3f2b2dfc4e1,
			},
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m boragewick.ReplicaMessage
		if err := cbor.Unmarshal(b, &m); err != nil {
			return
		}
		for _, leading := range []bool{false, true} {
			c, now := newFuzzCore(t, from, to, leading)
			before := c.Commit()
			for range 3 {
				now = now.Add(testElection)
				c.Step(now, &m)
				c.Tick(now)
				c.TakeEffects(now)
				c.Saved()
			}
			if c.Commit() < before {
				t.Errorf("commit went from %d to %d", before, c.Commit())
			}
		}
	})
}

// newFuzzCore returns a replica with three log entries in a group of two voters.
func newFuzzCore(t *testing.T, from, to boragewick.Member, leading bool) (*Core, time.Time) {
	members := boragewick.Membership{Voters: []boragewick.Member{to, from}}
	stored := boragewick.StoredLog{
		Identity: to.Identity,
		Hard:     boragewick.HardState{Term: 2},
		Entries: []boragewick.LogEntry{
			{Revision: boragewick.Revision{Index: 1}, Kind: boragewick.EntryMembership, Membership: &members},
			{Revision: boragewick.Revision{Term: 1, Index: 2}, Kind: boragewick.EntryTerm},
			{Revision: boragewick.Revision{Term: 2, Index: 3}, Kind: boragewick.EntryTerm},
		},
	}
	now := time.Unix(1, 0)
	cfg := boragewick.ReplicaSettings{Name: to.Name, Heartbeat: testHeartbeat, ElectionTimeout: testElection}
	c, err := New(cfg, &stored, 1, now)
	if err != nil {
		t.Fatal(err)
	}
	if leading {
		c.setHardState(boragewick.HardState{Term: 3, Vote: to})
		c.becomeLeader(now)
	}
	return c, now
}
