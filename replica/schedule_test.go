package replica

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

var (
	seedFlag      = flag.Uint64("seed", 0, "run only this seed")
	schedulesFlag = flag.Uint64("schedules", 2000, "number of schedules")
)

const (
	scheduleEvents     = 3000
	convergenceTimeout = 5 * time.Second
	shards             = 8
)

// TestSchedules runs groups on seeded schedules with loss, reordering,
// duplication, crashes after any write, partitions, snapshots, membership
// changes, lost disks and leaders that hand over.
func TestSchedules(t *testing.T) {
	if *seedFlag != 0 {
		s := runSchedule(t, *seedFlag)
		t.Logf("%v", s.counts)
		return
	}
	for shard := range uint64(shards) {
		t.Run(fmt.Sprintf("shard %d", shard), func(t *testing.T) {
			t.Parallel()
			total := map[string]int{}
			for seed := shard + 1; seed <= *schedulesFlag; seed += shards {
				for name, n := range runSchedule(t, seed).counts {
					total[name] += n
				}
			}
			t.Logf("%v", total)
		})
	}
}

func runSchedule(t testing.TB, seed uint64) *simulation {
	voters := []int{1, 3, 3, 5}[seed%4]
	s := newSimulation(t, seed, voters, 2, seed%8 >= 6)
	for range scheduleEvents {
		s.randomEvent()
	}
	s.requireConvergence()
	s.counts["term"] = len(s.leaders)
	return s
}

// randomEvent performs one randomly chosen operation or fault.
func (s *simulation) randomEvent() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	switch n := s.rng.IntN(1000); {
	case n < 450:
		for range s.rng.IntN(8) {
			s.deliver()
		}
	case n < 650:
		s.advanceClock(time.Duration(s.rng.IntN(12)) * time.Millisecond)
	case n < 750:
		s.propose(h)
	case n < 850:
		s.readAll()
	case n < 875:
		s.changeMembership(h)
	case n < 880:
		s.partition()
	case n < 890:
		s.cutLink(h)
	case n < 910:
		s.cutLinks = map[[2]string]bool{}
	case n < 917:
		s.isolateLeader()
	case n < 922:
		s.counts["crash"]++
		s.crash(h)
	case n < 925:
		s.loseDisk(h)
	case n < 970:
		s.startIfDown(h)
	case n < 975:
		s.handOver(h)
	default:
		s.snapshot(h)
	}
}

// handOver lets a leader hand over, and stops it at times.
func (s *simulation) handOver(h *host) {
	h = s.leadingHost(h)
	if h == nil {
		return
	}
	s.counts["hand-over"]++
	h.core.HandOver(h.clock(s))
	s.runEffects(h)
	if h.core != nil && s.rng.IntN(2) == 0 {
		s.crash(h)
	}
}

func (s *simulation) startIfDown(h *host) {
	if h.core == nil {
		s.start(h)
	}
}

// deliver delivers, drops or duplicates a message in flight.
func (s *simulation) deliver() {
	if len(s.inFlight) == 0 {
		return
	}
	i := s.rng.IntN(len(s.inFlight))
	if s.rng.IntN(4) > 0 {
		i = 0
	}
	m := s.inFlight[i]
	if s.noRandomFaults || s.rng.IntN(20) > 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if !s.noRandomFaults && s.rng.IntN(20) == 0 || s.cutLinks[[2]string{m.From.Name, m.To.Name}] {
		return
	}
	h := s.host(m.To.Name)
	if h.core == nil {
		return
	}
	h.core.Step(h.clock(s), &m)
	s.runEffects(h)
}

func (s *simulation) host(name string) *host {
	return s.hosts[name[0]-'a']
}

func (s *simulation) advanceClock(d time.Duration) {
	s.now += d
	for _, h := range s.hosts {
		if h.core != nil {
			h.core.Tick(h.clock(s))
			s.runEffects(h)
		}
	}
}

// propose proposes a command to a host that considers itself the leader.
func (s *simulation) propose(h *host) {
	h = s.leadingHost(h)
	if h == nil {
		return
	}
	s.token++
	r, err := h.core.Propose(fmt.Appendf(nil, "command %d", s.token))
	if err != nil {
		s.fail("propose: %v", err)
	}
	s.openProposals = append(s.openProposals, proposal{h, r})
	s.runEffects(h)
}

// leadingHost returns a host that considers itself the leader, preferably h, or
// nil.
func (s *simulation) leadingHost(h *host) *host {
	for _, h := range append([]*host{h}, s.hosts...) {
		if h.core != nil && h.core.Leading() {
			return h
		}
	}
	return nil
}

// readAll requests a read from every host that considers itself the leader.
func (s *simulation) readAll() {
	for _, h := range s.hosts {
		if h.core == nil || !h.core.Leading() {
			continue
		}
		s.token++
		h.minReadIndex[s.token] = s.ackedIndex
		if err := h.core.RequestRead(h.clock(s), s.token); err != nil {
			s.fail("read: %v", err)
		}
		s.runEffects(h)
	}
}

// changeMembership asks a leader to add, promote, demote or remove the host.
func (s *simulation) changeMembership(h *host) {
	l := s.leadingHost(h)
	if l == nil {
		return
	}
	var err error
	members := l.core.Membership()
	known, member := members.Find(h.name)
	switch {
	case !member:
		_, err = l.core.Add(boragewick.Member{Name: h.name, Identity: h.disk.Identity})
	case slices.ContainsFunc(members.Learners, func(m boragewick.Member) bool { return m.Name == h.name }):
		_, err = l.core.Promote(l.clock(s), h.name)
	case !slices.Contains(s.lostMembers, known) && len(members.Voters) > 3 && s.counts["membership change"]%2 == 0:
		if _, err = l.core.Demote(h.name); err == nil {
			s.counts["voter demoted"]++
		}
	case slices.Contains(s.lostMembers, known) || len(members.Voters) > 3:
		_, err = l.core.Remove(h.name)
	default:
		return
	}
	if err == nil {
		s.counts["membership change"]++
	}
	s.runEffects(l)
}

// partition cuts all links between two random sets of hosts, in both directions
// or in one only.
func (s *simulation) partition() {
	s.cutLinks = map[[2]string]bool{}
	side := s.rng.IntN(1 << len(s.hosts))
	oneWay := s.rng.IntN(2) == 0
	for i, a := range s.hosts {
		for j, b := range s.hosts {
			if side>>i&1 == 1 && side>>j&1 == 0 {
				s.cutLinks[[2]string{a.name, b.name}] = true
				s.cutLinks[[2]string{b.name, a.name}] = !oneWay
			}
		}
	}
}

// cutLink cuts the link between the host and a random one in both directions.
func (s *simulation) cutLink(h *host) {
	other := s.hosts[s.rng.IntN(len(s.hosts))]
	s.cutLinks[[2]string{h.name, other.name}] = true
	s.cutLinks[[2]string{other.name, h.name}] = true
}

// isolateLeader cuts all links of a leader; it still gets reads and proposals.
func (s *simulation) isolateLeader() {
	l := s.leadingHost(s.hosts[0])
	if l == nil {
		return
	}
	s.counts["leader isolated"]++
	for _, h := range s.hosts {
		s.cutLinks[[2]string{l.name, h.name}] = true
		s.cutLinks[[2]string{h.name, l.name}] = true
	}
}

// loseDisk replaces the host's disk by an empty one and restarts the host under
// its old name with a new identity. It does so only if the group is formed, no
// other lost disk is still a member, and a quorum is left.
func (s *simulation) loseDisk(h *host) {
	if len(s.committed) == 0 || s.hasLostMember() {
		return
	}
	for _, other := range s.hosts {
		for _, m := range s.storedMemberships(other) {
			if len(m.Voters) < 3 {
				return
			}
		}
	}
	s.counts["disk lost"]++
	s.crash(h)
	s.lostMembers = append(s.lostMembers, boragewick.Member{Name: h.name, Identity: h.disk.Identity})
	s.initDisk(h)
	h.beforeSnapshot = nil
	s.start(h)
}

// hasLostMember reports whether the newest committed membership still contains a
// member whose disk is lost.
func (s *simulation) hasLostMember() bool {
	return slices.ContainsFunc(s.lostMembers, func(m boragewick.Member) bool {
		known, ok := s.committedMembership().Find(m.Name)
		return ok && known == m
	})
}

// committedMembership returns the newest committed membership.
func (s *simulation) committedMembership() boragewick.Membership {
	for _, e := range slices.Backward(s.committed) {
		if e.Membership != nil {
			return *e.Membership
		}
	}
	return boragewick.Membership{}
}

// storedMemberships returns the memberships in the host's stored log.
func (s *simulation) storedMemberships(h *host) []boragewick.Membership {
	var list []boragewick.Membership
	if len(h.disk.Snapshot.Membership.Voters) > 0 {
		list = append(list, h.disk.Snapshot.Membership)
	}
	for _, e := range h.disk.Entries {
		if e.Membership != nil {
			list = append(list, *e.Membership)
		}
	}
	return list
}

// requireConvergence ends all faults. The group must then elect a leader, commit,
// and bring all its members to the same state, which must contain every
// acknowledged command.
func (s *simulation) requireConvergence() {
	s.noRandomFaults = true
	s.cutLinks = map[[2]string]bool{}
	for _, h := range s.hosts {
		s.startIfDown(h)
	}
	var last uint64
	for end := s.now + convergenceTimeout; s.now < end; {
		for len(s.inFlight) > 0 {
			s.deliver()
		}
		s.advanceClock(5 * time.Millisecond)
		l := s.leadingHost(s.hosts[0])
		if last == 0 && s.now > end-convergenceTimeout/2 && l != nil {
			s.propose(l)
			last = l.core.LastRevision().Index
		}
		if last > 0 && s.converged(last) {
			return
		}
	}
	for _, h := range s.hosts {
		s.t.Logf("%s: role %d term %d commit %d last %v members %v", h.name, h.core.role,
			h.core.Term(), h.core.Commit(), h.core.LastRevision(), h.core.Membership())
	}
	s.fail("no agreement on entry %d before the convergence timeout", last)
}

// converged reports whether all members have applied the entry. Members that have
// applied as much as the leader must have its state.
func (s *simulation) converged(index uint64) bool {
	l := s.leadingHost(s.hosts[0])
	if l == nil {
		return false
	}
	if l.applied.Index < s.ackedIndex {
		s.fail("leader has applied %d, but %d was acknowledged", l.applied.Index, s.ackedIndex)
	}
	members := l.core.Membership()
	for _, m := range slices.Concat(members.Voters, members.Learners) {
		h := s.host(m.Name)
		if h.disk.Identity != m.Identity {
			continue
		}
		if h.applied.Index < index {
			return false
		}
		if h.applied == l.applied && string(h.state) != string(l.state) {
			s.fail("%s and %s differ at %d", h.name, l.name, l.applied.Index)
		}
	}
	return true
}
