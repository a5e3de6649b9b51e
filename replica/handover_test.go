package replica

import (
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// TestHandOver guards against a group that is without a leader for an election timeout when its
// leader is stopped as planned, and against a hand-over that leaves it without one for longer than
// a crash would.
func TestHandOver(t *testing.T) {
	const soon = testElection / 2
	tests := map[string]struct {
		// lost is the number of other voters that are down, and cut the number of those that the
		// leader doesn't reach as it hands over.
		lost, cut int
		// after is what happens to the former leader: it stops at once, or it goes on.
		goesOn bool
		within time.Duration
	}{
		"all are up":                    {0, 0, false, soon},
		"a minority is down":            {1, 0, false, soon},
		"its own vote is needed":        {2, 0, true, soon},
		"one other hears of it later":   {0, 1, false, 4 * testElection},
		"nobody hears of it":            {0, 4, false, 4 * testElection},
		"nobody hears of it, it's back": {0, 4, true, 4 * testElection},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 50; seed++ {
				s, before := newSettledSimulation(t, seed)
				term := before.core.Term()
				lost, cut := test.lost, test.cut
				for _, h := range s.hosts {
					switch {
					case h == before:
					case lost > 0:
						lost--
						s.crash(h)
					case cut > 0:
						cut--
						s.cutLinks[[2]string{before.name, h.name}] = true
					}
				}
				s.runFor(2*testElection/3, func() {})
				before.core.HandOver(before.clock(s))
				s.runEffects(before)
				if before.core.Leading() {
					t.Fatalf("seed %d: still leads", seed)
				}
				for len(s.inFlight) > 0 && test.cut > 0 {
					s.deliver()
				}
				s.cutLinks = map[[2]string]bool{}
				if !test.goesOn {
					s.crash(before)
				}
				after, took := s.untilLeader(test.within)
				if after == nil {
					t.Fatalf("seed %d: no leader for %s", seed, took)
				}
				if test.cut == 0 && (after == before || after.core.Term() != term+1) {
					t.Fatalf("seed %d: %s leads term %d after %d", seed, after.name, after.core.Term(), term)
				}
			}
		})
	}
}

// TestResignation guards against a vote that another leader may rely on not to be given: only the
// resignation of the leader of its term releases a replica from its promise.
func TestResignation(t *testing.T) {
	tests := map[string]struct {
		leader   boragewick.Member // of the term, as the log states it
		from     boragewick.Member
		term     uint64
		released bool
	}{
		"the leader of the term":    {memberB, memberB, 5, true},
		"another member":            {memberB, memberC, 5, false},
		"an older term":             {memberB, memberB, 4, false},
		"a term not heard of yet":   {memberB, memberC, 6, true},
		"this replica leads itself": {memberA, memberB, 6, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, now := newTestCore(t, 5, 5)
			c.log.entries[1].Leader = &test.leader
			c.blockVotes(now)
			if test.leader == memberA {
				elect(c, now)
			}
			c.Step(now, &boragewick.ReplicaMessage{Kind: boragewick.MessageResign, From: test.from, To: memberA, Term: test.term})
			c.TakeEffects(now)
			c.Step(now, &boragewick.ReplicaMessage{
				Kind: boragewick.MessagePreVote, From: memberC, To: memberA, Term: 9, Previous: boragewick.Revision{Term: 9, Index: 9},
			})
			e := c.TakeEffects(now)
			granted := false
			for _, m := range e.Messages {
				granted = granted || m.Kind == boragewick.MessagePreVoteReply && !m.Reject
			}
			if granted != test.released {
				t.Errorf("vote granted %t, want %t", granted, test.released)
			}
		})
	}
}
