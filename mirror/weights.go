package mirror

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// maxNamings is the number of namings that are kept for each model.
const maxNamings = 32

// mergeWeights applies the versions of weights of an update and reports whether
// anything has changed. A version counts as named since the earliest time at which a
// replica learned of it, so that its age doesn't depend on when this router or the
// replica started. The caller holds mu.
func (m *Mirror) mergeWeights(u *boragewick.WatchUpdate) bool {
	now := m.Clock.Now()
	changed := false
	for _, n := range u.Namings {
		age := max(0, u.Now.Sub(n.At))
		changed = m.mergeNaming(n.NamedWeights, now.Add(-age), n.AgeUnknown) || changed
	}
	for model, version := range u.Weights {
		if m.naming(boragewick.NamedWeights{Model: model, Version: version}) >= 0 {
			continue
		}
		changed = m.mergeNaming(boragewick.NamedWeights{Model: model, Version: version}, now, false) || changed
	}
	return changed
}

// mergeNaming records that the version was named at the given time or earlier, or that its
// age is unknown unless it is known already, and reports whether this is new. The caller
// holds mu.
func (m *Mirror) mergeNaming(named boragewick.NamedWeights, at time.Time, ageUnknown bool) bool {
	i := m.naming(named)
	if i >= 0 && !at.Before(m.namings[i].At) && (ageUnknown || !m.namings[i].AgeUnknown) {
		return false
	}
	// The published slice and map are shared with views and must not be changed.
	m.namings = slices.Clone(m.namings)
	if i >= 0 {
		if at.Before(m.namings[i].At) {
			m.namings[i].At = at
		}
		m.namings[i].AgeUnknown = m.namings[i].AgeUnknown && ageUnknown
		return true
	}
	if !m.makeRoom(named) {
		return false
	}
	m.namings = append(m.namings, boragewick.WeightsNaming{NamedWeights: named, At: at, AgeUnknown: ageUnknown})
	if named.Version <= m.weights[named.Model] {
		return true
	}
	m.weights = maps.Clone(m.weights)
	if m.weights == nil {
		m.weights = map[string]uint64{}
	}
	m.weights[named.Model] = named.Version
	_ = level.Info(m.Logger).Log("msg", "weights named", "model", named.Model, "version", named.Version, "age_unknown", ageUnknown, "age_ms", m.Clock.Now().Sub(at).Milliseconds())
	return true
}

// naming returns the index of the version's naming, or a negative number; the caller holds
// mu.
func (m *Mirror) naming(named boragewick.NamedWeights) int {
	return slices.IndexFunc(m.namings, func(n boragewick.WeightsNaming) bool { return n.NamedWeights == named })
}

// makeRoom drops the model's naming with the lowest version if there are too many. It
// reports whether the named version is to be kept. The caller holds mu.
func (m *Mirror) makeRoom(named boragewick.NamedWeights) bool {
	kept, lowest := 0, -1
	for i, n := range m.namings {
		if n.Model != named.Model {
			continue
		}
		kept++
		if lowest < 0 || n.Version < m.namings[lowest].Version {
			lowest = i
		}
	}
	if kept < maxNamings {
		return true
	}
	if named.Version < m.namings[lowest].Version {
		return false
	}
	m.namings = slices.Delete(m.namings, lowest, lowest+1)
	return true
}
