package replica

import (
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// untilLeader runs the simulation until a host leads, and returns the host and the time that
// it took.
func (s *simulation) untilLeader(limit time.Duration) (*host, time.Duration) {
	start := s.now
	for s.now < start+limit {
		s.runFor(time.Millisecond, func() {})
		for _, h := range s.hosts {
			if h.core != nil && h.core.Leading() {
				return h, s.now - start
			}
		}
	}
	return nil, limit
}

// newSettledSimulation returns five replicas without random faults, half of the seeds with leases,
// and their leader, which all of them follow.
func newSettledSimulation(t *testing.T, seed uint64) (*simulation, *host) {
	t.Helper()
	s := newSimulation(t, seed, 5, 0, seed%2 == 0)
	s.noRandomFaults = true
	leader, _ := s.untilLeader(10 * testElection)
	s.propose(leader)
	s.runFor(2*testElection, func() {})
	return s, leader
}

// TestCommonRestart guards against a group that waits for an election timeout, as if a leader
// had been lost, when all replicas were stopped at once. It must have a leader within half of
// that time after a majority and the former leader are up.
func TestCommonRestart(t *testing.T) {
	tests := map[string]struct {
		gap  time.Duration // between the starts of two replicas
		lost int           // how many of the others stay away
	}{
		"at once":                    {0, 0},
		"one after the other":        {30 * time.Millisecond, 0},
		"a minority doesn't return":  {0, 2},
		"late, without the minority": {testElection, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			longest := time.Duration(0)
			for seed := uint64(1); seed <= 50; seed++ {
				s, before := newSettledSimulation(t, seed)
				term := before.core.Term()
				for _, h := range s.hosts {
					s.crash(h)
				}
				s.inFlight = nil
				s.runFor(testElection/4, func() {})
				lost := test.lost
				for _, h := range s.hosts {
					if h != before && lost > 0 {
						lost--
						continue
					}
					s.start(h)
					s.runFor(test.gap, func() {})
				}
				after, took := s.untilLeader(10 * testElection)
				if after != before || took > testElection/2 {
					t.Fatalf("seed %d: no leader for %s, or another one", seed, took)
				}
				if after.core.Term() != term+1 {
					t.Fatalf("seed %d: term went from %d to %d", seed, term, after.core.Term())
				}
				longest = max(longest, took)
			}
			t.Logf("without a leader for %s at most", longest)
		})
	}
}

// TestRestartWithoutLeader guards against an election before the promise to a leader ends that
// may still be alive: all others restart while it is cut off, or it stays away.
func TestRestartWithoutLeader(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		s := newSimulation(t, seed, 5, 0, false)
		s.noRandomFaults = true
		before, _ := s.untilLeader(10 * testElection)
		s.runFor(testElection, func() {})
		for _, h := range s.hosts {
			if h != before {
				s.isolate(before, h)
				s.crash(h)
				s.start(h)
			}
		}
		s.inFlight = nil
		s.runFor(testElection*9/10, func() {
			for _, h := range s.hosts {
				if h != before && h.core.Leading() {
					t.Fatalf("seed %d: %s leads while the promise to %s holds", seed, h.name, before.name)
				}
			}
		})
	}
}

// TestFormerLeaderGetsVotes guards against votes for a replica that another leader may rely on
// not to get them, and against a refusal to the leader of the term, which asks as it doesn't
// lead any more.
func TestFormerLeaderGetsVotes(t *testing.T) {
	tests := map[string]struct {
		leader  *boragewick.Member
		term    uint64 // of the last entry
		granted bool
	}{
		"led the term":                 {&memberB, 5, true},
		"another one led the term":     {&memberC, 5, false},
		"led an older term":            {&memberB, 4, false},
		"entry of an earlier version":  {nil, 5, false},
		"had another disk when it led": {&boragewick.Member{Name: "b", Identity: "9"}, 5, false},
		"this replica led the term":    {&memberA, 5, false},
	}
	for name, test := range tests {
		for _, kind := range []boragewick.MessageKind{boragewick.MessagePreVote, boragewick.MessageVote} {
			t.Run(name, func(t *testing.T) {
				c, now := newTestCore(t, 5, test.term)
				c.log.entries[1].Leader = test.leader
				c.blockVotes(now)
				c.Step(now, &boragewick.ReplicaMessage{
					Kind: kind, From: memberB, To: memberA, Term: 6, Previous: boragewick.Revision{Term: test.term, Index: 2},
				})
				e := c.TakeEffects(now)
				if granted := len(e.Messages) == 1 && !e.Messages[0].Reject; granted != test.granted {
					t.Errorf("kind %v: granted %t, want %t", kind, granted, test.granted)
				}
			})
		}
	}
}

// TestLeaderIsNeverDeposedByVotes guards against a leader that votes for another replica.
func TestLeaderIsNeverDeposedByVotes(t *testing.T) {
	c, now := newTestCore(t, 5, 5)
	c.log.entries[1].Leader = &memberB
	elect(c, now)
	c.Step(now, &boragewick.ReplicaMessage{
		Kind: boragewick.MessageVote, From: memberB, To: memberA, Term: 7, Previous: boragewick.Revision{Term: 9, Index: 9},
	})
	if !c.Leading() {
		t.Error("deposed")
	}
}
