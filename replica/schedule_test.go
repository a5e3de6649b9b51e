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
	scheduleEvents = 3000
	calmTime       = 5 * time.Second
	shards         = 8
)

// TestSchedules runs groups on seeded schedules with loss, reordering,
// duplication, crashes after any write, partitions, snapshots, membership
// changes and lost disks.
func TestSchedules(t *testing.T) {
	if *seedFlag != 0 {
		w := runSchedule(t, *seedFlag)
		t.Logf("%v", w.counts)
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

func runSchedule(t testing.TB, seed uint64) *world {
	voters := []int{1, 3, 3, 5}[seed%4]
	w := newWorld(t, seed, voters, 2, seed%8 >= 6)
	for range scheduleEvents {
		w.event()
	}
	w.settleDown()
	w.counts["term"] = len(w.leaders)
	return w
}

// event is one random thing that happens.
func (w *world) event() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	switch n := w.rng.IntN(1000); {
	case n < 450:
		for range w.rng.IntN(8) {
			w.deliver()
		}
	case n < 650:
		w.advance(time.Duration(w.rng.IntN(12)) * time.Millisecond)
	case n < 750:
		w.propose(h)
	case n < 850:
		w.readAll()
	case n < 875:
		w.change(h)
	case n < 880:
		w.partition()
	case n < 890:
		w.cutLink(h)
	case n < 910:
		w.cut = map[[2]string]bool{}
	case n < 917:
		w.isolateLeader()
	case n < 922:
		w.counts["crash"]++
		w.crash(h)
	case n < 925:
		w.wipe(h)
	case n < 975:
		w.restart(h)
	default:
		w.snapshot(h)
	}
}

func (w *world) restart(h *host) {
	if h.core == nil {
		w.start(h)
	}
}

// deliver hands over, loses or repeats a message in flight.
func (w *world) deliver() {
	if len(w.flight) == 0 {
		return
	}
	i := w.rng.IntN(len(w.flight))
	if w.rng.IntN(4) > 0 {
		i = 0
	}
	m := w.flight[i]
	if w.calm || w.rng.IntN(20) > 0 {
		w.flight = slices.Delete(w.flight, i, i+1)
	}
	if !w.calm && w.rng.IntN(20) == 0 || w.cut[[2]string{m.From.Name, m.To.Name}] {
		return
	}
	h := w.host(m.To.Name)
	if h.core == nil {
		return
	}
	h.core.Step(h.clock(w), &m)
	w.settle(h)
}

func (w *world) host(name string) *host {
	return w.hosts[name[0]-'a']
}

func (w *world) advance(d time.Duration) {
	w.now += d
	for _, h := range w.hosts {
		if h.core != nil {
			h.core.Tick(h.clock(w))
			w.settle(h)
		}
	}
}

// propose hands a command to a host that believes to lead.
func (w *world) propose(h *host) {
	h = w.leading(h)
	if h == nil {
		return
	}
	w.token++
	r, err := h.core.Propose(fmt.Appendf(nil, "command %d", w.token))
	if err != nil {
		w.fail("propose: %v", err)
	}
	w.open = append(w.open, proposal{h, r})
	w.settle(h)
}

// leading returns the host, or else another one, if it believes to lead.
func (w *world) leading(h *host) *host {
	for _, h := range append([]*host{h}, w.hosts...) {
		if h.core != nil && h.core.Leading() {
			return h
		}
	}
	return nil
}

// readAll asks every host that believes to lead.
func (w *world) readAll() {
	for _, h := range w.hosts {
		if h.core == nil || !h.core.Leading() {
			continue
		}
		w.token++
		h.reads[w.token] = w.acked
		if err := h.core.Read(h.clock(w), w.token); err != nil {
			w.fail("read: %v", err)
		}
		w.settle(h)
	}
}

// change asks a leader for a random membership change.
func (w *world) change(h *host) {
	l := w.leading(h)
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
		_, err = l.core.Promote(l.clock(w), h.name)
	case slices.Contains(w.lost, known) || len(members.Voters) > 3:
		_, err = l.core.Remove(h.name)
	default:
		return
	}
	if err == nil {
		w.counts["membership change"]++
	}
	w.settle(l)
}

// partition cuts all links between two random sides, or one way only.
func (w *world) partition() {
	w.cut = map[[2]string]bool{}
	side := w.rng.IntN(1 << len(w.hosts))
	oneWay := w.rng.IntN(2) == 0
	for i, a := range w.hosts {
		for j, b := range w.hosts {
			if side>>i&1 == 1 && side>>j&1 == 0 {
				w.cut[[2]string{a.name, b.name}] = true
				w.cut[[2]string{b.name, a.name}] = !oneWay
			}
		}
	}
}

// cutLink cuts the host off from one other, both ways.
func (w *world) cutLink(h *host) {
	other := w.hosts[w.rng.IntN(len(w.hosts))]
	w.cut[[2]string{h.name, other.name}] = true
	w.cut[[2]string{other.name, h.name}] = true
}

// isolateLeader cuts a leader off; it is still asked to read and to propose.
func (w *world) isolateLeader() {
	l := w.leading(w.hosts[0])
	if l == nil {
		return
	}
	w.counts["leader isolated"]++
	for _, h := range w.hosts {
		w.cut[[2]string{l.name, h.name}] = true
		w.cut[[2]string{h.name, l.name}] = true
	}
}

// wipe loses a disk, if the group is formed, no other disk is lost and a quorum
// is left. The host comes back under its old name with another identity.
func (w *world) wipe(h *host) {
	if len(w.committed) == 0 || w.lostVoter() {
		return
	}
	for _, other := range w.hosts {
		for _, m := range w.memberships(other) {
			if len(m.Voters) < 3 {
				return
			}
		}
	}
	w.counts["disk lost"]++
	w.crash(h)
	w.lost = append(w.lost, boragewick.Member{Name: h.name, Identity: h.disk.Identity})
	w.initialise(h)
	h.before = nil
	w.start(h)
}

// lostVoter reports whether the group may still count on a disk that is lost.
func (w *world) lostVoter() bool {
	return slices.ContainsFunc(w.lost, func(m boragewick.Member) bool {
		known, ok := w.members().Find(m.Name)
		return ok && known == m
	})
}

// members returns the newest committed membership.
func (w *world) members() boragewick.Membership {
	for _, e := range slices.Backward(w.committed) {
		if e.Membership != nil {
			return *e.Membership
		}
	}
	return boragewick.Membership{}
}

// memberships returns those that the host's stored log holds.
func (w *world) memberships(h *host) []boragewick.Membership {
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

// settleDown ends all faults. The group must then elect a leader, commit, and
// bring all its members to the same state, with all that was acknowledged.
func (w *world) settleDown() {
	w.calm = true
	w.cut = map[[2]string]bool{}
	for _, h := range w.hosts {
		w.restart(h)
	}
	var last uint64
	for end := w.now + calmTime; w.now < end; {
		for len(w.flight) > 0 {
			w.deliver()
		}
		w.advance(5 * time.Millisecond)
		l := w.leading(w.hosts[0])
		if last == 0 && w.now > end-calmTime/2 && l != nil {
			w.propose(l)
			last = l.core.Last().Index
		}
		if last > 0 && w.agree(last) {
			return
		}
	}
	for _, h := range w.hosts {
		w.t.Logf("%s: role %d term %d commit %d last %v members %v", h.name, h.core.role,
			h.core.Term(), h.core.Commit(), h.core.Last(), h.core.Membership())
	}
	w.fail("no agreement on entry %d in calm time", last)
}

// agree reports whether all members have applied the entry and the same state.
func (w *world) agree(index uint64) bool {
	l := w.leading(w.hosts[0])
	if l == nil {
		return false
	}
	if l.applied.Index < w.acked {
		w.fail("leader has applied %d, but %d was acknowledged", l.applied.Index, w.acked)
	}
	members := l.core.Membership()
	for _, m := range slices.Concat(members.Voters, members.Learners) {
		h := w.host(m.Name)
		if h.disk.Identity != m.Identity {
			continue
		}
		if h.applied.Index < index {
			return false
		}
		if h.applied == l.applied && string(h.state) != string(l.state) {
			w.fail("%s and %s differ at %d", h.name, l.name, l.applied.Index)
		}
	}
	return true
}
