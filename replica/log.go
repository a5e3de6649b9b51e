package replica

import (
	"slices"

	"github.com/boragewick/boragewick"
)

// maxMessageBytes bounds the commands in one message, unless one command alone
// is larger.
const maxMessageBytes = 256 << 10

// entryOverhead is what an entry counts besides its command, in bytes.
const entryOverhead = 32

// entryLog is the part of the log that is held in memory. It reaches back to
// the snapshot before the newest one.
type entryLog struct {
	// base is the entry before entries[0].
	base        boragewick.Revision
	entries     []boragewick.LogEntry
	snapshot    boragewick.SnapshotMeta
	previous    boragewick.SnapshotMeta
	memberships []placedMembership
	// handed is the last index given to the storage, synced the last index
	// that the storage has synced.
	handed uint64
	synced uint64
}

// placedMembership is a membership and the index of its entry.
type placedMembership struct {
	index   uint64
	members boragewick.Membership
}

func newEntryLog(s *boragewick.StoredLog) *entryLog {
	l := &entryLog{base: s.Snapshot.Revision, snapshot: s.Snapshot, previous: s.Snapshot}
	l.memberships = []placedMembership{{s.Snapshot.Revision.Index, s.Snapshot.Membership}}
	l.add(s.Entries)
	l.handed = l.last().Index
	l.synced = l.handed
	return l
}

// last returns the revision of the newest entry.
func (l *entryLog) last() boragewick.Revision {
	if len(l.entries) == 0 {
		return l.base
	}
	return l.entries[len(l.entries)-1].Revision
}

// revision returns the entry's revision and whether it is still known.
func (l *entryLog) revision(index uint64) (boragewick.Revision, bool) {
	if index == l.base.Index {
		return l.base, true
	}
	if index < l.base.Index || index > l.last().Index {
		return boragewick.Revision{}, false
	}
	return l.entries[index-l.base.Index-1].Revision, true
}

// has reports whether the log holds exactly this entry.
func (l *entryLog) has(r boragewick.Revision) bool {
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

// slice returns entries from the index on, at most one message full.
func (l *entryLog) slice(from uint64) []boragewick.LogEntry {
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

// between returns the entries after one index up to and with another.
func (l *entryLog) between(after, upTo uint64) []boragewick.LogEntry {
	return slices.Clip(l.entries[after-l.base.Index : upTo-l.base.Index])
}

// add appends entries whose first one follows the log's last.
func (l *entryLog) add(entries []boragewick.LogEntry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.Kind == boragewick.EntryMembership && e.Membership != nil {
			l.memberships = append(l.memberships, placedMembership{e.Revision.Index, *e.Membership})
		}
	}
}

// merge adds the entries that the log does not hold yet and drops those that
// contradict them.
func (l *entryLog) merge(entries []boragewick.LogEntry) {
	for i, e := range entries {
		if e.Revision.Index <= l.base.Index || l.has(e.Revision) {
			continue
		}
		l.truncate(e.Revision.Index - 1)
		l.add(entries[i:])
		return
	}
}

// truncate drops all entries after the index.
func (l *entryLog) truncate(last uint64) {
	if last >= l.last().Index {
		return
	}
	l.entries = slices.Clip(l.entries[:last-l.base.Index])
	l.handed = min(l.handed, last)
	l.synced = min(l.synced, last)
	for l.memberships[len(l.memberships)-1].index > last {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// unsaved returns the entries that the storage does not have yet.
func (l *entryLog) unsaved() []boragewick.LogEntry {
	return l.between(l.handed, l.last().Index)
}

// compact notes a newer snapshot and drops what the one before it covers.
func (l *entryLog) compact(meta boragewick.SnapshotMeta) {
	l.previous, l.snapshot = l.snapshot, meta
	drop := l.previous.Revision.Index - l.base.Index
	l.entries = slices.Clone(l.entries[drop:])
	l.base = l.previous.Revision
	l.trimMemberships(l.base.Index)
}

// trimMemberships drops memberships that were replaced by the index.
func (l *entryLog) trimMemberships(index uint64) {
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
}

// install replaces what the snapshot covers. Entries after it stay if the log
// agrees with it.
func (l *entryLog) install(meta boragewick.SnapshotMeta) {
	index := meta.Revision.Index
	var rest []boragewick.LogEntry
	if l.has(meta.Revision) {
		rest = slices.Clone(l.between(index, l.last().Index))
	}
	l.base, l.entries = meta.Revision, nil
	l.snapshot, l.previous = meta, meta
	l.memberships = []placedMembership{{index, meta.Membership}}
	l.add(rest)
	l.handed = l.last().Index
	l.synced = l.handed
}

// membership returns the newest membership, committed or not.
func (l *entryLog) membership() placedMembership {
	return l.memberships[len(l.memberships)-1]
}

// membershipAt returns the membership in force at the index.
func (l *entryLog) membershipAt(index uint64) boragewick.Membership {
	found := l.memberships[0].members
	for _, p := range l.memberships {
		if p.index <= index {
			found = p.members
		}
	}
	return found
}

// hint returns the newest entry up to the given one whose term is not newer.
func (l *entryLog) hint(r boragewick.Revision) boragewick.Revision {
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
