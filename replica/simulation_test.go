package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragewick/boragewick"
)

const (
	testHeartbeat   = 20 * time.Millisecond
	testElection    = 100 * time.Millisecond
	testChunk       = 40
	testMaxInFlight = 200
)

// host is one instance: its durable state and, while it runs, its core.
type host struct {
	name           string
	core           *Core
	disk           boragewick.StoredLog
	beforeSnapshot *boragewick.StoredLog
	clockStart     time.Time
	startedAt      time.Duration
	clockRate      float64
	state          []byte
	applied        boragewick.Revision
	minReadIndex   map[uint64]uint64
}

// proposal is a command that a leader has accepted.
type proposal struct {
	host     *host
	revision boragewick.Revision
}

// simulation runs hosts on one seeded schedule and checks the invariants.
type simulation struct {
	t              testing.TB
	seed           uint64
	rng            *rand.Rand
	cfg            boragewick.ReplicaSettings
	now            time.Duration
	hosts          []*host
	lostMembers    []boragewick.Member
	inFlight       []boragewick.ReplicaMessage
	cutLinks       map[[2]string]bool
	noRandomFaults bool
	leaders        map[uint64]boragewick.Member
	committed      []boragewick.LogEntry
	openProposals  []proposal
	ackedIndex     uint64
	token          uint64
	counts         map[string]int
}

func newSimulation(t testing.TB, seed uint64, voters, spares int, noLease bool) *simulation {
	s := &simulation{
		t: t, seed: seed,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		cutLinks: map[[2]string]bool{},
		leaders:  map[uint64]boragewick.Member{},
		counts:   map[string]int{},
	}
	s.cfg = boragewick.ReplicaSettings{Heartbeat: testHeartbeat, ElectionTimeout: testElection, NoLease: noLease}
	var members boragewick.Membership
	for i := range voters + spares {
		h := &host{name: string(rune('a' + i))}
		s.initDisk(h)
		s.hosts = append(s.hosts, h)
		if i < voters {
			members.Voters = append(members.Voters, boragewick.Member{Name: h.name, Identity: h.disk.Identity})
		}
	}
	s.hosts[0].disk.Entries = []boragewick.LogEntry{{
		Revision: boragewick.Revision{Index: 1}, Kind: boragewick.EntryMembership, Membership: &members,
	}}
	for _, h := range s.hosts {
		s.start(h)
	}
	return s
}

func (s *simulation) fail(format string, args ...any) {
	s.t.Helper()
	test, _, _ := strings.Cut(s.t.Name(), "/")
	s.t.Fatalf("%s\nreplay: go test ./replica -run %s -seed=%d", fmt.Sprintf(format, args...), test, s.seed)
}

// initDisk gives the host an empty disk with a new random identity.
func (s *simulation) initDisk(h *host) {
	h.disk = boragewick.StoredLog{Identity: boragewick.Identity(strconv.FormatUint(s.rng.Uint64(), 36))}
}

func (s *simulation) start(h *host) {
	drift := boragewick.DefaultMaxClockDrift
	h.clockRate = 1 + drift*float64(s.rng.IntN(3)-1)
	h.clockStart = time.Unix(s.rng.Int64N(1e9), 0)
	h.startedAt = s.now
	h.minReadIndex = map[uint64]uint64{}
	h.state = slices.Clone(h.disk.Data)
	h.applied = h.disk.Snapshot.Revision
	stored := h.disk
	stored.Entries = slices.Clone(stored.Entries)
	cfg := s.cfg
	cfg.Name = h.name
	core, err := New(cfg, &stored, s.rng.Uint64(), h.clock(s))
	if err != nil {
		s.fail("start %s: %v", h.name, err)
	}
	h.core = core
}

func (s *simulation) crash(h *host) {
	h.core = nil
}

// clock returns the time of the host's own clock, whose drift is within
// DefaultMaxClockDrift.
func (h *host) clock(s *simulation) time.Time {
	return h.clockStart.Add(time.Duration(float64(s.now-h.startedAt) * h.clockRate))
}

// runEffects carries out the effects of the host's core until there are none,
// and may crash the host in between.
func (s *simulation) runEffects(h *host) {
	for h.core != nil {
		e := h.core.TakeEffects(h.clock(s))
		if e.Empty() {
			break
		}
		s.performRound(h, &e)
	}
	if h.core == nil || !h.core.Leading() {
		h.minReadIndex = map[uint64]uint64{}
		return
	}
	if known, ok := s.leaders[h.core.Term()]; ok && known != h.core.Self() {
		s.fail("term %d is led by %v and %v", h.core.Term(), known, h.core.Self())
	}
	s.leaders[h.core.Term()] = h.core.Self()
}

// maybeCrash randomly crashes the host and reports whether it did.
func (s *simulation) maybeCrash(h *host) bool {
	if s.noRandomFaults || s.rng.IntN(400) > 0 {
		return false
	}
	s.counts["crash between writes"]++
	s.crash(h)
	return true
}

func (s *simulation) performRound(h *host, e *boragewick.Effects) {
	s.send(e.Early)
	if s.maybeCrash(h) {
		return
	}
	h.save(e)
	if s.maybeCrash(h) {
		return
	}
	h.core.Saved()
	s.fillSnapshots(h, e.Messages)
	s.send(e.Messages)
	if s.maybeCrash(h) {
		return
	}
	s.apply(h, e.Committed)
	if e.Install != nil {
		s.install(h, *e.Install)
	}
	for _, grant := range e.Reads {
		minIndex, ok := h.minReadIndex[grant.Token]
		delete(h.minReadIndex, grant.Token)
		if ok && grant.Index < minIndex {
			s.fail("%s answers a read at %d, but %d was acknowledged before it", h.name, grant.Index, minIndex)
		}
		s.counts["read"]++
	}
}

// save makes the single durable write of a round of effects.
func (h *host) save(e *boragewick.Effects) {
	if e.Hard != nil {
		h.disk.Hard = *e.Hard
	}
	if len(e.Entries) > 0 {
		keep := e.Entries[0].Revision.Index - h.disk.Snapshot.Revision.Index - 1
		h.disk.Entries = append(slices.Clone(h.disk.Entries[:keep]), e.Entries...)
	}
	for _, c := range e.Chunks {
		if c.Offset == 0 {
			h.disk.Incoming = &boragewick.SnapshotChunk{Meta: c.Meta}
		}
		in := *h.disk.Incoming
		in.Data = append(slices.Clone(in.Data), c.Data...)
		in.Offset = uint64(len(in.Data))
		h.disk.Incoming = &in
	}
}

func (s *simulation) send(messages []boragewick.ReplicaMessage) {
	s.inFlight = append(s.inFlight, messages...)
	if extra := len(s.inFlight) - testMaxInFlight; extra > 0 {
		s.inFlight = slices.Clone(s.inFlight[extra:])
	}
}

func (s *simulation) fillSnapshots(h *host, messages []boragewick.ReplicaMessage) {
	for _, m := range messages {
		if m.Kind != boragewick.MessageSnapshot {
			continue
		}
		data := h.disk.Data
		if !m.Snapshot.Meta.Same(&h.disk.Snapshot) {
			if h.beforeSnapshot == nil || !m.Snapshot.Meta.Same(&h.beforeSnapshot.Snapshot) {
				s.fail("%s sends a snapshot that is not stored", h.name)
			}
			data = h.beforeSnapshot.Data
		}
		data = data[m.Snapshot.Offset:]
		m.Snapshot.Data = data[:min(len(data), testChunk)]
		m.Snapshot.Sum = xxhash.Sum64(m.Snapshot.Data)
	}
}

// apply applies committed entries and checks them against those committed on any
// host.
func (s *simulation) apply(h *host, entries []boragewick.LogEntry) {
	for _, e := range entries {
		if e.Revision.Index != h.applied.Index+1 {
			s.fail("%s applies %d after %d", h.name, e.Revision.Index, h.applied.Index)
		}
		if int(e.Revision.Index) > len(s.committed) {
			s.committed = append(s.committed, e)
		}
		known := s.committed[e.Revision.Index-1]
		if known.Revision != e.Revision || string(known.Command) != string(e.Command) {
			s.fail("%s commits %v where %v was committed", h.name, e, known)
		}
		h.applied = e.Revision
		h.state = applyCommand(h.state, e.Command)
		s.acknowledge(h, e.Revision)
	}
}

// applyCommand returns the state after the command. The size of a state is bounded.
func applyCommand(state, command []byte) []byte {
	sum := xxhash.Sum64(append(slices.Clone(state), command...))
	return fmt.Appendf(nil, "%0100d", sum)
}

// acknowledge counts the command as acknowledged to its caller if it was
// proposed on this host.
func (s *simulation) acknowledge(h *host, r boragewick.Revision) {
	s.openProposals = slices.DeleteFunc(s.openProposals, func(p proposal) bool {
		if p.host == h && p.revision == r {
			s.ackedIndex = max(s.ackedIndex, r.Index)
			s.counts["acknowledged"]++
			return true
		}
		return p.host == h && p.revision.Index <= r.Index
	})
}

func (s *simulation) install(h *host, meta boragewick.SnapshotMeta) {
	data := h.disk.Incoming.Data
	if uint64(len(data)) != meta.Size || xxhash.Sum64(data) != meta.Sum {
		s.fail("%s has a damaged snapshot of %d", h.name, meta.Revision.Index)
	}
	s.counts["snapshot installed"]++
	h.disk.Incoming = nil
	storeSnapshot(&h.disk, meta, data)
	h.beforeSnapshot = nil
	h.applied, h.state = meta.Revision, slices.Clone(data)
	h.core.Installed(meta)
}

// snapshot stores a snapshot of the host's state and compacts its log.
func (s *simulation) snapshot(h *host) {
	if h.core == nil || h.applied.Index <= h.disk.Snapshot.Revision.Index {
		return
	}
	meta := boragewick.SnapshotMeta{
		Revision:   h.applied,
		Membership: h.core.MembershipAt(h.applied.Index),
		Size:       uint64(len(h.state)),
		Sum:        xxhash.Sum64(h.state),
	}
	before := h.disk
	h.beforeSnapshot = &before
	storeSnapshot(&h.disk, meta, slices.Clone(h.state))
	h.core.Compact(meta)
}

// storeSnapshot makes the snapshot the newest one and drops the entries that it
// covers or that conflict with it.
func storeSnapshot(s *boragewick.StoredLog, meta boragewick.SnapshotMeta, data []byte) {
	var rest []boragewick.LogEntry
	for i, e := range s.Entries {
		if e.Revision == meta.Revision {
			rest = slices.Clone(s.Entries[i+1:])
		}
	}
	s.Snapshot, s.Data, s.Entries = meta, data, rest
}
