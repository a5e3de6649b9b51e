package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// pace lets time pass in small steps without losing a message that is not cut.
func (w *world) pace(d time.Duration, each func()) {
	for end := w.now + d; w.now < end; {
		w.advance(time.Millisecond)
		for len(w.flight) > 0 {
			w.deliver()
		}
		each()
	}
}

// cutOff cuts the host off from the others, both ways.
func (w *world) cutOff(h *host, others ...*host) {
	for _, other := range others {
		w.cut[[2]string{h.name, other.name}] = true
		w.cut[[2]string{other.name, h.name}] = true
	}
}

// startWithClocks starts hosts with a slow clock at the first one and fast
// ones at the others, and returns the first one leading.
func startWithClocks(t *testing.T, seed uint64, noLease bool) *world {
	w := newWorld(t, seed, 3, 0, noLease)
	w.calm = true
	for i, h := range w.hosts {
		h.rate = 1 + boragewick.DefaultMaxClockDrift
		if i == 0 {
			h.rate = 1 - boragewick.DefaultMaxClockDrift
		}
	}
	w.pace(testElection, func() {})
	if !w.hosts[0].core.Leading() {
		t.Fatal("the first host does not lead")
	}
	return w
}

// TestReadsOfOldLeader isolates a leader and asks it for reads in every
// millisecond while the others elect a new one and commit.
func TestReadsOfOldLeader(t *testing.T) {
	tests := map[string]func(w *world, old, voter, rival *host){
		"leader isolated": func(w *world, old, voter, rival *host) {
			w.cutOff(old, voter, rival)
		},
		"rival returns": func(w *world, old, voter, rival *host) {
			w.cutOff(rival, old, voter)
			w.pace(3*testElection+time.Duration(w.rng.IntN(100))*time.Millisecond, func() {})
			w.cut = map[[2]string]bool{}
			w.cutOff(old, rival, voter)
		},
		"voter restarts": func(w *world, old, voter, rival *host) {
			w.cutOff(rival, old, voter)
			w.pace(3*testElection+time.Duration(w.rng.IntN(100))*time.Millisecond, func() {})
			w.cut = map[[2]string]bool{}
			w.cutOff(old, rival, voter)
			w.crash(voter)
			w.start(voter)
			voter.rate = 1 + boragewick.DefaultMaxClockDrift
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
					w := startWithClocks(t, seed, noLease)
					fault(w, w.hosts[0], w.hosts[1], w.hosts[2])
					w.pace(3*testElection, func() {
						w.readAll()
						if w.rng.IntN(10) == 0 {
							w.propose(w.hosts[2])
							w.propose(w.hosts[1])
						}
					})
					reads += w.counts["read"]
					if w.hosts[0].core.Leading() {
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

// TestIsolatedLeaderStepsDown checks that a leader without a quorum stops
// leading, and that it cannot commit in the meantime.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	w := startWithClocks(t, 1, false)
	old := w.hosts[0]
	w.cutOff(old, w.hosts[1:]...)
	before := old.core.Commit()
	w.propose(old)
	w.pace(2*testElection, func() {})
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

// TestReturnKeepsLeader checks that a replica that was cut off does
// not push the group into a new term when it comes back.
func TestReturnKeepsLeader(t *testing.T) {
	w := startWithClocks(t, 1, false)
	away := w.hosts[2]
	w.cutOff(away, w.hosts[:2]...)
	w.pace(20*testElection, func() {})
	term := w.hosts[0].core.Term()
	w.cut = map[[2]string]bool{}
	w.pace(5*testElection, func() {})
	if !w.hosts[0].core.Leading() || away.core.Term() != term {
		t.Errorf("term went from %d to %d", term, away.core.Term())
	}
}
