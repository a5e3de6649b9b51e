package state

import (
	"cmp"
	"slices"

	"github.com/boragewick/boragewick"
)

// keptUpdates is the number of updates that receivers can catch up with
// before they need a snapshot.
const keptUpdates = 4096

// updateLog holds the newest updates in order.
type updateLog struct {
	list []boragewick.Update
	// base is the index before the oldest update in list.
	base    uint64
	changed chan struct{}
}

func (l *updateLog) add(u boragewick.Update) {
	if len(l.list) >= 2*keptUpdates {
		cut := len(l.list) - keptUpdates
		l.base = l.list[cut-1].Revision.Index
		l.list = slices.Clone(l.list[cut:])
	}
	l.list = append(l.list, u)
	l.wake()
}

// reset forgets all updates up to the index.
func (l *updateLog) reset(index uint64) {
	l.list = nil
	l.base = index
	l.wake()
}

func (l *updateLog) wake() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

func (l *updateLog) wait() <-chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// Follow returns the updates after the revision, one snapshot when they are no
// longer kept, or none. The channel is closed when there is more.
func (m *Machine) Follow(after boragewick.Revision) ([]boragewick.Update, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after.Index < m.updates.base || after.Index == 0 {
		if m.configured.Index == 0 {
			return nil, m.updates.wait()
		}
		return []boragewick.Update{m.snapshotUpdate()}, m.updates.wait()
	}
	first, _ := slices.BinarySearchFunc(m.updates.list, after.Index+1, func(u boragewick.Update, index uint64) int {
		return cmp.Compare(u.Revision.Index, index)
	})
	return slices.Clone(m.updates.list[first:]), m.updates.wait()
}

func (m *Machine) snapshotUpdate() boragewick.Update {
	u := boragewick.Update{Snapshot: true, Revision: m.configured}
	for _, o := range m.catalogue.All() {
		u.Objects = append(u.Objects, *o)
	}
	for _, e := range m.endpoints {
		u.Endpoints = append(u.Endpoints, e)
	}
	slices.SortFunc(u.Endpoints, func(a, b boragewick.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return u
}
