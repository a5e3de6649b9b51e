package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// runFor advances the clock in steps of 1 ms. After each step it delivers all
// messages, except on cut links, and calls afterStep.
func (s *simulation) runFor(d time.Duration, afterStep func()) {
	for end := s.now + d; s.now < end; {
		s.advanceClock(time.Millisecond)
		for len(s.inFlight) > 0 {
			s.deliver()
		}
		afterStep()
	}
}

// isolate cuts the links between the host and the others in both directions.
func (s *simulation) isolate(h *host, others ...*host) {
	for _, other := range others {
		s.cutLinks[[2]string{h.name, other.name}] = true
		s.cutLinks[[2]string{other.name, h.name}] = true
	}
}

// startWithClockDrift starts three hosts, of which the first has a slow clock and
// the others have fast ones. The first one leads when it returns.
func startWithClockDrift(t *testing.T, seed uint64, noLease bool) *simulation {
	s := newSimulation(t, seed, 3, 0, noLease)
	s.noRandomFaults = true
	for i, h := range s.hosts {
		h.clockRate = 1 + boragewick.DefaultMaxClockDrift
		if i == 0 {
			h.clockRate = 1 - boragewick.DefaultMaxClockDrift
		}
	}
	s.runFor(testElection, func() {})
	if !s.hosts[0].core.Leading() {
		t.Fatal("the first host does not lead")
	}
	return s
}

// TestReadsOfOldLeader guards against stale reads: it isolates a leader and
// requests reads from it every millisecond while the others elect a new leader
// and commit.
func TestReadsOfOldLeader(t *testing.T) {
	tests := map[string]func(s *simulation, old, voter, rival *host){
		"leader isolated": func(s *simulation, old, voter, rival *host) {
			s.isolate(old, voter, rival)
		},
		"rival returns": func(s *simulation, old, voter, rival *host) {
			s.isolate(rival, old, voter)
			s.runFor(3*testElection+time.Duration(s.rng.IntN(100))*time.Millisecond, func() {})
			s.cutLinks = map[[2]string]bool{}
			s.isolate(old, rival, voter)
		},
		"voter restarts": func(s *simulation, old, voter, rival *host) {
			s.isolate(rival, old, voter)
			s.runFor(3*testElection+time.Duration(s.rng.IntN(100))*time.Millisecond, func() {})
			s.cutLinks = map[[2]string]bool{}
			s.isolate(old, rival, voter)
			s.crash(voter)
			s.start(voter)
			voter.clockRate = 1 + boragewick.DefaultMaxClockDrift
		},
	}
	for name, fault := range tests {
		for _, noLease := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, no lease %t", name, noLease), func(t *testing.T) {
				t.Parallel()
				reads := 0
				for seed := uint64(1); seed <= 60; seed++ {
					if *seedFlag != 0 && seed != *seedFlag {
						continue
					}
					s := startWithClockDrift(t, seed, noLease)
					fault(s, s.hosts[0], s.hosts[1], s.hosts[2])
					s.runFor(3*testElection, func() {
						s.readAll()
						if s.rng.IntN(10) == 0 {
							s.propose(s.hosts[2])
							s.propose(s.hosts[1])
						}
					})
					reads += s.counts["read"]
					if s.hosts[0].core.Leading() {
						t.Errorf("seed %d: still leads", seed)
					}
				}
				if reads == 0 {
					t.Error("no reads")
				}
			})
		}
	}
}

// TestIsolatedLeaderStepsDown checks that a leader without a quorum steps down
// and commits nothing in the meantime.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	s := startWithClockDrift(t, 1, false)
	old := s.hosts[0]
	s.isolate(old, s.hosts[1:]...)
	before := old.core.Commit()
	s.propose(old)
	s.runFor(2*testElection, func() {})
	if old.core.Leading() {
		t.Error("leads without a quorum")
	}
	if old.core.Commit() != before {
		t.Errorf("commit went from %d to %d", before, old.core.Commit())
	}
	if _, err := old.core.Propose(nil); boragewick.CodeOf(err) != "not_leader" {
		t.Errorf("propose: %v", err)
	}
}

// TestRejoinKeepsLeader checks that a replica that was isolated does not force
// the group into a new term when it reconnects.
func TestRejoinKeepsLeader(t *testing.T) {
	s := startWithClockDrift(t, 1, false)
	isolated := s.hosts[2]
	s.isolate(isolated, s.hosts[:2]...)
	s.runFor(20*testElection, func() {})
	term := s.hosts[0].core.Term()
	s.cutLinks = map[[2]string]bool{}
	s.runFor(5*testElection, func() {})
	if !s.hosts[0].core.Leading() || isolated.core.Term() != term {
		t.Errorf("term went from %d to %d", term, isolated.core.Term())
	}
}
