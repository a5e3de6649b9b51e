package replica

import "github.com/boragewick/boragewick"

// maxTerm keeps a damaged message from using up the terms.
const maxTerm = 1 << 62

// valid reports whether the message could have been sent by a correct replica
// to this one. Others are dropped.
func (c *Core) valid(m *boragewick.ReplicaMessage) bool {
	if m.To != c.self || m.From == c.self || m.Term == 0 || m.Term > maxTerm {
		return false
	}
	if m.Previous.Index > maxTerm || m.Previous.Term > m.Term || m.Elapsed > maxTerm {
		return false
	}
	switch m.Kind {
	case boragewick.MessageAppend:
		return consecutive(m)
	case boragewick.MessageSnapshot:
		return m.Snapshot != nil && m.Snapshot.Meta.Revision.Term <= m.Term
	case boragewick.MessageAppendReply:
		return c.role != leader || m.Match <= c.log.last().Index
	case boragewick.MessageSnapshotReply:
		return m.Snapshot != nil && m.Snapshot.Offset <= m.Snapshot.Meta.Size
	}
	return true
}

// consecutive reports whether the entries follow each other and Previous.
func consecutive(m *boragewick.ReplicaMessage) bool {
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
