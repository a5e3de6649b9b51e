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
	testHeartbeat = 20 * time.Millisecond
	testElection  = 100 * time.Millisecond
	testChunk     = 40
	maxInFlight   = 200
)

// host is one instance: what is durable on it and, while it runs, its core.
type host struct {
	name    string
	core    *Core
	disk    boragewick.StoredLog
	before  *boragewick.StoredLog
	boot    time.Time
	booted  time.Duration
	rate    float64
	state   []byte
	applied boragewick.Revision
	reads   map[uint64]uint64
}

// proposal is a command that a leader took.
type proposal struct {
	host     *host
	revision boragewick.Revision
}

// world runs hosts on one seeded schedule and checks what must always hold.
type world struct {
	t         testing.TB
	seed      uint64
	rng       *rand.Rand
	cfg       boragewick.ReplicaSettings
	now       time.Duration
	hosts     []*host
	lost      []boragewick.Member
	flight    []boragewick.ReplicaMessage
	cut       map[[2]string]bool
	calm      bool
	leaders   map[uint64]boragewick.Member
	committed []boragewick.LogEntry
	open      []proposal
	acked     uint64
	token     uint64
	counts    map[string]int
}

func newWorld(t testing.TB, seed uint64, voters, spares int, noLease bool) *world {
	w := &world{
		t: t, seed: seed,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		cut:     map[[2]string]bool{},
		leaders: map[uint64]boragewick.Member{},
		counts:  map[string]int{},
	}
	w.cfg = boragewick.ReplicaSettings{Heartbeat: testHeartbeat, ElectionTimeout: testElection, NoLease: noLease}
	var members boragewick.Membership
	for i := range voters + spares {
		h := &host{name: string(rune('a' + i))}
		w.initialise(h)
		w.hosts = append(w.hosts, h)
		if i < voters {
			members.Voters = append(members.Voters, boragewick.Member{Name: h.name, Identity: h.disk.Identity})
		}
	}
	w.hosts[0].disk.Entries = []boragewick.LogEntry{{
		Revision: boragewick.Revision{Index: 1}, Kind: boragewick.EntryMembership, Membership: &members,
	}}
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	test, _, _ := strings.Cut(w.t.Name(), "/")
	w.t.Fatalf("%s\nreplay: go test ./replica -run %s -seed=%d", fmt.Sprintf(format, args...), test, w.seed)
}

// initialise gives the host an empty disk with an identity of its own.
func (w *world) initialise(h *host) {
	h.disk = boragewick.StoredLog{Identity: boragewick.Identity(strconv.FormatUint(w.rng.Uint64(), 36))}
}

func (w *world) start(h *host) {
	drift := boragewick.DefaultMaxClockDrift
	h.rate = 1 + drift*float64(w.rng.IntN(3)-1)
	h.boot = time.Unix(w.rng.Int64N(1e9), 0)
	h.booted = w.now
	h.reads = map[uint64]uint64{}
	h.state = slices.Clone(h.disk.Data)
	h.applied = h.disk.Snapshot.Revision
	stored := h.disk
	stored.Entries = slices.Clone(stored.Entries)
	cfg := w.cfg
	cfg.Name = h.name
	core, err := New(cfg, &stored, w.rng.Uint64(), h.clock(w))
	if err != nil {
		w.fail("start %s: %v", h.name, err)
	}
	h.core = core
}

func (w *world) crash(h *host) {
	h.core = nil
}

// clock is the host's own clock, which errs within the bound.
func (h *host) clock(w *world) time.Time {
	return h.boot.Add(time.Duration(float64(w.now-h.booted) * h.rate))
}

// settle does what the host's core wants done, and may crash it in between.
func (w *world) settle(h *host) {
	for h.core != nil {
		e := h.core.Take(h.clock(w))
		if e.Empty() {
			break
		}
		w.perform(h, &e)
	}
	if h.core == nil || !h.core.Leading() {
		h.reads = map[uint64]uint64{}
		return
	}
	if known, ok := w.leaders[h.core.Term()]; ok && known != h.core.Self() {
		w.fail("term %d is led by %v and %v", h.core.Term(), known, h.core.Self())
	}
	w.leaders[h.core.Term()] = h.core.Self()
}

// crashes reports whether the host crashes at this point, and does it.
func (w *world) crashes(h *host) bool {
	if w.calm || w.rng.IntN(400) > 0 {
		return false
	}
	w.counts["crash between writes"]++
	w.crash(h)
	return true
}

func (w *world) perform(h *host, e *boragewick.Effects) {
	w.send(e.Early)
	if w.crashes(h) {
		return
	}
	h.save(e)
	if w.crashes(h) {
		return
	}
	h.core.Saved()
	w.fill(h, e.Messages)
	w.send(e.Messages)
	if w.crashes(h) {
		return
	}
	w.apply(h, e.Committed)
	if e.Install != nil {
		w.install(h, *e.Install)
	}
	for _, grant := range e.Reads {
		least, ok := h.reads[grant.Token]
		delete(h.reads, grant.Token)
		if ok && grant.Index < least {
			w.fail("%s answers a read at %d, but %d was acknowledged before it", h.name, grant.Index, least)
		}
		w.counts["read"]++
	}
}

// save is the one durable write of a round of effects.
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

func (w *world) send(messages []boragewick.ReplicaMessage) {
	w.flight = append(w.flight, messages...)
	if extra := len(w.flight) - maxInFlight; extra > 0 {
		w.flight = slices.Clone(w.flight[extra:])
	}
}

func (w *world) fill(h *host, messages []boragewick.ReplicaMessage) {
	for _, m := range messages {
		if m.Kind != boragewick.MessageSnapshot {
			continue
		}
		data := h.disk.Data
		if !m.Snapshot.Meta.Same(&h.disk.Snapshot) {
			if h.before == nil || !m.Snapshot.Meta.Same(&h.before.Snapshot) {
				w.fail("%s sends a snapshot that is not stored", h.name)
			}
			data = h.before.Data
		}
		data = data[m.Snapshot.Offset:]
		m.Snapshot.Data = data[:min(len(data), testChunk)]
		m.Snapshot.Sum = xxhash.Sum64(m.Snapshot.Data)
	}
}

// apply checks committed entries against what was committed anywhere.
func (w *world) apply(h *host, entries []boragewick.LogEntry) {
	for _, e := range entries {
		if e.Revision.Index != h.applied.Index+1 {
			w.fail("%s applies %d after %d", h.name, e.Revision.Index, h.applied.Index)
		}
		if int(e.Revision.Index) > len(w.committed) {
			w.committed = append(w.committed, e)
		}
		known := w.committed[e.Revision.Index-1]
		if known.Revision != e.Revision || string(known.Command) != string(e.Command) {
			w.fail("%s commits %v where %v was committed", h.name, e, known)
		}
		h.applied = e.Revision
		h.state = fold(h.state, e.Command)
		w.acknowledge(h, e.Revision)
	}
}

// fold adds a command to a state whose size stays bounded.
func fold(state, command []byte) []byte {
	sum := xxhash.Sum64(append(slices.Clone(state), command...))
	return fmt.Appendf(nil, "%0100d", sum)
}

// acknowledge answers the caller if this host took the command.
func (w *world) acknowledge(h *host, r boragewick.Revision) {
	w.open = slices.DeleteFunc(w.open, func(p proposal) bool {
		if p.host == h && p.revision == r {
			w.acked = max(w.acked, r.Index)
			w.counts["acknowledged"]++
			return true
		}
		return p.host == h && p.revision.Index <= r.Index
	})
}

func (w *world) install(h *host, meta boragewick.SnapshotMeta) {
	data := h.disk.Incoming.Data
	if uint64(len(data)) != meta.Size || xxhash.Sum64(data) != meta.Sum {
		w.fail("%s has a damaged snapshot of %d", h.name, meta.Revision.Index)
	}
	w.counts["snapshot installed"]++
	h.disk.Incoming = nil
	cover(&h.disk, meta, data)
	h.before = nil
	h.applied, h.state = meta.Revision, slices.Clone(data)
	h.core.Installed(meta)
}

// snapshot stores the host's state.
func (w *world) snapshot(h *host) {
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
	h.before = &before
	cover(&h.disk, meta, slices.Clone(h.state))
	h.core.Compact(meta)
}

// cover makes the snapshot the newest one and drops the entries that it
// covers or contradicts.
func cover(s *boragewick.StoredLog, meta boragewick.SnapshotMeta, data []byte) {
	var rest []boragewick.LogEntry
	for i, e := range s.Entries {
		if e.Revision == meta.Revision {
			rest = slices.Clone(s.Entries[i+1:])
		}
	}
	s.Snapshot, s.Data, s.Entries = meta, data, rest
}
