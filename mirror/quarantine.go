package mirror

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// partQuarantine holds the prompt parts and requests in quarantine and the suspects. Its maps are
// replaced and not changed, as views share them.
type partQuarantine struct {
	// parts holds when this router learned of the quarantine of each part.
	parts map[uint64]time.Time
	// ends holds when each of these quarantines ends.
	ends map[uint64]time.Time
	// changed is that of the newest set of parts.
	changed uint64
	// reported are the suspects of each replica that has any, and suspects all of them.
	reported map[netip.AddrPort][]uint64
	suspects map[uint64]bool
}

// Quarantined reports whether requests with the part are to be refused. key is the
// part's boragewick.PartKey.
func (v *View) Quarantined(key uint64) bool {
	_, ok := v.quarantined[key]
	return ok
}

// QuarantinedAt returns when this router learned that the part is in quarantine; zero
// if it is not.
func (v *View) QuarantinedAt(key uint64) time.Time { return v.quarantined[key] }

// IsSuspect reports whether the part was in use at a crashed endpoint and not in any
// complete answer since.
func (v *View) IsSuspect(key uint64) bool { return v.suspects[key] }

// IsWatching implements boragewick.PartStatus.
func (m *Mirror) IsWatching() bool {
	v := m.View()
	return v != nil && (len(v.quarantined) > 0 || len(v.suspects) > 0)
}

// QuarantinedUntil implements boragewick.PartStatus.
func (m *Mirror) QuarantinedUntil(part uint64) (time.Time, bool) {
	v := m.View()
	if v == nil || !v.Quarantined(part) {
		return time.Time{}, false
	}
	return v.quarantineEnds[part], true
}

// IsSuspect implements boragewick.PartStatus.
func (m *Mirror) IsSuspect(part uint64) bool {
	v := m.View()
	return v != nil && v.IsSuspect(part)
}

// mergeQuarantined applies a set of parts in quarantine unless one from a newer state
// is held, and reports whether it changes anything; the caller holds mu.
func (m *Mirror) mergeQuarantined(set *boragewick.PartSet) bool {
	q := &m.quarantine
	if set.Changed < q.changed {
		return false
	}
	ended := m.mergeEnds(set)
	if set.Changed == q.changed {
		return ended
	}
	q.changed = set.Changed
	parts := map[uint64]time.Time{}
	changed := false
	for _, key := range set.Parts {
		learnedAt, known := q.parts[key]
		if !known {
			changed = true
			learnedAt = m.Clock.Now()
			_ = level.Info(m.Logger).Log("msg", "in quarantine", "key", fmt.Sprintf("%016x", key), "state", set.Changed)
		}
		parts[key] = learnedAt
	}
	for _, key := range slices.Sorted(maps.Keys(q.parts)) {
		if _, ok := parts[key]; !ok {
			changed = true
			_ = level.Info(m.Logger).Log("msg", "no longer in quarantine", "key", fmt.Sprintf("%016x", key), "state", set.Changed)
		}
	}
	q.parts = parts
	return changed || ended
}

// mergeEnds applies the ends of the quarantines in a set, and reports whether one that
// had passed is replaced; the caller holds mu. An end that is held stays, as a replica
// that has restarted counts from then.
func (m *Mirror) mergeEnds(set *boragewick.PartSet) bool {
	now := m.Clock.Now()
	ends := map[uint64]time.Time{}
	changed := false
	for i, key := range set.Parts {
		end := now.Add(boragewick.QuarantineTime)
		if i < len(set.Ends) {
			end = now.Add(set.Ends[i].Sub(set.Now))
		}
		held, ok := m.quarantine.ends[key]
		if ok && held.After(now) {
			end = held
		}
		changed = changed || ok && end != held
		ends[key] = end
	}
	m.quarantine.ends = ends
	return changed
}

// setSuspects replaces the suspects of a replica, and reports whether that changes
// those of all replicas.
func (q *partQuarantine) setSuspects(replica netip.AddrPort, parts []uint64) bool {
	if len(parts) == 0 {
		delete(q.reported, replica)
	} else {
		if q.reported == nil {
			q.reported = map[netip.AddrPort][]uint64{}
		}
		q.reported[replica] = parts
	}
	suspects := map[uint64]bool{}
	for _, list := range q.reported {
		for _, key := range list {
			suspects[key] = true
		}
	}
	changed := !maps.Equal(suspects, q.suspects)
	q.suspects = suspects
	return changed
}
