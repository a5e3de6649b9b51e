package state

import (
	"cmp"
	"slices"

	"github.com/boragewick/boragewick"
)

// retainedUpdates is the number of newest updates that are retained when the log
// has grown to twice as many and is cut. Receivers that are further behind need a
// snapshot.
const retainedUpdates = 4096

// updateLog holds the newest updates in order.
type updateLog struct {
	list []boragewick.Update
	// base is the index of the newest update that has been dropped from list.
	base    uint64
	changed chan struct{}
}

func (l *updateLog) add(u boragewick.Update) {
	if len(l.list) >= 2*retainedUpdates {
		dropped := len(l.list) - retainedUpdates
		l.base = l.list[dropped-1].Revision.Index
		l.list = slices.Clone(l.list[dropped:])
	}
	l.list = append(l.list, u)
	l.notify()
}

// reset drops all updates up to the index.
func (l *updateLog) reset(index uint64) {
	l.list = nil
	l.base = index
	l.notify()
}

func (l *updateLog) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

func (l *updateLog) changedChan() <-chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// Follow returns the updates after the revision, a single snapshot if they are
// no longer retained, or none. The channel is closed when there are more updates.
func (m *Machine) Follow(after boragewick.Revision) ([]boragewick.Update, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after.Index < m.updates.base || after.Index == 0 {
		if m.updateRevision.Index == 0 {
			return nil, m.updates.changedChan()
		}
		return []boragewick.Update{m.snapshotUpdate()}, m.updates.changedChan()
	}
	first, _ := slices.BinarySearchFunc(m.updates.list, after.Index+1, func(u boragewick.Update, index uint64) int {
		return cmp.Compare(u.Revision.Index, index)
	})
	return slices.Clone(m.updates.list[first:]), m.updates.changedChan()
}

func (m *Machine) snapshotUpdate() boragewick.Update {
	u := boragewick.Update{Snapshot: true, Revision: m.updateRevision}
	for _, o := range m.catalogue.All() {
		u.Objects = append(u.Objects, *o)
	}
	for _, e := range m.endpoints {
		u.Endpoints = append(u.Endpoints, e)
	}
	slices.SortFunc(u.Endpoints, func(a, b boragewick.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return u
}
