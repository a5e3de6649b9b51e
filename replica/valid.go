package replica

import "github.com/boragewick/boragewick"

// maxCounter limits the terms, indexes and times in a message, so that a damaged
// message cannot exhaust the terms.
const maxCounter = 1 << 62

// valid reports whether a correct replica could have sent the message to this
// one. Other messages are dropped.
func (c *Core) valid(m *boragewick.ReplicaMessage) bool {
	if m.To != c.self || m.From == c.self || m.Term == 0 || m.Term > maxCounter {
		return false
	}
	if m.Previous.Index > maxCounter || m.Previous.Term > m.Term || m.Elapsed > maxCounter {
		return false
	}
	switch m.Kind {
	case boragewick.MessageAppend:
		return validEntries(m)
	case boragewick.MessageSnapshot:
		return m.Snapshot != nil && m.Snapshot.Meta.Revision.Term <= m.Term
	case boragewick.MessageAppendReply:
		return c.role != leader || m.Match <= c.log.last().Index
	case boragewick.MessageSnapshotReply:
		return m.Snapshot != nil && m.Snapshot.Offset <= m.Snapshot.Meta.Size
	}
	return true
}

// validEntries reports whether the entries directly follow Previous and each
// other, with terms that do not decrease or exceed the message's, and whether
// exactly the membership entries carry a membership.
func validEntries(m *boragewick.ReplicaMessage) bool {
	last := m.Previous
	for _, e := range m.Entries {
		next := e.Revision
		if next.Index != last.Index+1 || next.Term < last.Term || next.Term > m.Term {
			return false
		}
		if (e.Kind == boragewick.EntryMembership) != (e.Membership != nil) {
			return false
		}
		last = next
	}
	return true
}
