package replica

import (
	"slices"

	"github.com/boragewick/boragewick"
)

// maxMessageBytes limits the size of the entries in one message. A message with
// a single entry may exceed it.
const maxMessageBytes = 256 << 10

// entryOverhead is the size in bytes that an entry counts in addition to its
// command.
const entryOverhead = 32

// entryLog is the part of the log that is held in memory. It starts after the
// snapshot that precedes the newest one.
type entryLog struct {
	// base is the revision of the entry before entries[0].
	base             boragewick.Revision
	entries          []boragewick.LogEntry
	snapshot         boragewick.SnapshotMeta
	previousSnapshot boragewick.SnapshotMeta
	memberships      []indexedMembership
	// submitted is the last index passed to the storage, synced the last index
	// that the storage has synced.
	submitted uint64
	synced    uint64
}

// indexedMembership is a membership and the index of its entry.
type indexedMembership struct {
	index   uint64
	members boragewick.Membership
}

func newEntryLog(s *boragewick.StoredLog) *entryLog {
	l := &entryLog{base: s.Snapshot.Revision, snapshot: s.Snapshot, previousSnapshot: s.Snapshot}
	l.memberships = []indexedMembership{{s.Snapshot.Revision.Index, s.Snapshot.Membership}}
	l.add(s.Entries)
	l.submitted = l.last().Index
	l.synced = l.submitted
	return l
}

// last returns the revision of the newest entry.
func (l *entryLog) last() boragewick.Revision {
	if len(l.entries) == 0 {
		return l.base
	}
	return l.entries[len(l.entries)-1].Revision
}

// revision returns the revision of the entry at the index, and false if the log
// does not hold it.
func (l *entryLog) revision(index uint64) (boragewick.Revision, bool) {
	if index == l.base.Index {
		return l.base, true
	}
	if index < l.base.Index || index > l.last().Index {
		return boragewick.Revision{}, false
	}
	return l.entries[index-l.base.Index-1].Revision, true
}

// contains reports whether the log holds exactly this entry.
func (l *entryLog) contains(r boragewick.Revision) bool {
	known, ok := l.revision(r.Index)
	return ok && known == r
}

// newerThan reports whether the log is more up to date than one that ends in r.
func (l *entryLog) newerThan(r boragewick.Revision) bool {
	last := l.last()
	if last.Term != r.Term {
		return last.Term > r.Term
	}
	return last.Index > r.Index
}

// leaderOf returns the leader of the term if the log ends in entries of it and states it.
func (l *entryLog) leaderOf(term uint64) (boragewick.Member, bool) {
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].Revision.Term == term; i-- {
		if e := &l.entries[i]; e.Kind == boragewick.EntryTerm && e.Leader != nil {
			return *e.Leader, true
		}
	}
	return boragewick.Member{}, false
}

// batchFrom returns the entries from the index on that fit into one message.
func (l *entryLog) batchFrom(from uint64) []boragewick.LogEntry {
	rest := l.entries[from-l.base.Index-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Command) + entryOverhead
		if size > maxMessageBytes && i > 0 {
			return rest[:i:i]
		}
	}
	return slices.Clip(rest)
}

// between returns the entries after one index up to and including another.
func (l *entryLog) between(after, upTo uint64) []boragewick.LogEntry {
	return slices.Clip(l.entries[after-l.base.Index : upTo-l.base.Index])
}

// add appends entries, the first of which must follow the last one of the log.
func (l *entryLog) add(entries []boragewick.LogEntry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.Kind == boragewick.EntryMembership && e.Membership != nil {
			l.memberships = append(l.memberships, indexedMembership{e.Revision.Index, *e.Membership})
		}
	}
}

// merge appends the entries that the log does not hold yet and drops existing
// entries that conflict with them.
func (l *entryLog) merge(entries []boragewick.LogEntry) {
	for i, e := range entries {
		if e.Revision.Index <= l.base.Index || l.contains(e.Revision) {
			continue
		}
		l.truncateAfter(e.Revision.Index - 1)
		l.add(entries[i:])
		return
	}
}

// truncateAfter drops all entries after the index.
func (l *entryLog) truncateAfter(last uint64) {
	if last >= l.last().Index {
		return
	}
	l.entries = slices.Clip(l.entries[:last-l.base.Index])
	l.submitted = min(l.submitted, last)
	l.synced = min(l.synced, last)
	for l.memberships[len(l.memberships)-1].index > last {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// unsubmitted returns the entries that were not passed to the storage yet.
func (l *entryLog) unsubmitted() []boragewick.LogEntry {
	return l.between(l.submitted, l.last().Index)
}

// compact records a newer snapshot and drops the entries covered by the snapshot
// before it.
func (l *entryLog) compact(meta boragewick.SnapshotMeta) {
	l.previousSnapshot, l.snapshot = l.snapshot, meta
	drop := l.previousSnapshot.Revision.Index - l.base.Index
	l.entries = slices.Clone(l.entries[drop:])
	l.base = l.previousSnapshot.Revision
	l.trimMemberships(l.base.Index)
}

// trimMemberships drops memberships that were replaced at or before the index.
func (l *entryLog) trimMemberships(index uint64) {
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
}

// install replaces the entries that the snapshot covers. Entries after it stay
// if the log holds the snapshot's last entry.
func (l *entryLog) install(meta boragewick.SnapshotMeta) {
	index := meta.Revision.Index
	var rest []boragewick.LogEntry
	if l.contains(meta.Revision) {
		rest = slices.Clone(l.between(index, l.last().Index))
	}
	l.base, l.entries = meta.Revision, nil
	l.snapshot, l.previousSnapshot = meta, meta
	l.memberships = []indexedMembership{{index, meta.Membership}}
	l.add(rest)
	l.submitted = l.last().Index
	l.synced = l.submitted
}

// membership returns the newest membership, committed or not.
func (l *entryLog) membership() indexedMembership {
	return l.memberships[len(l.memberships)-1]
}

// membershipAt returns the membership in force at the index, or the oldest one
// that the log holds.
func (l *entryLog) membershipAt(index uint64) boragewick.Membership {
	found := l.memberships[0].members
	for _, p := range l.memberships {
		if p.index <= index {
			found = p.members
		}
	}
	return found
}

// conflictHint returns the newest entry at or before r.Index whose term is not
// newer than r.Term.
func (l *entryLog) conflictHint(r boragewick.Revision) boragewick.Revision {
	index := min(r.Index, l.last().Index)
	for index > l.base.Index {
		known, _ := l.revision(index)
		if known.Term <= r.Term {
			return known
		}
		index--
	}
	return l.base
}
