// Package registry implements the replicated state machine that holds the
// published configuration, the named weights, the quarantine of prompt parts, the builds with
// which endpoints may serve and the departures of endpoints.
package registry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// maxNamings is the number of namings that are kept for each model.
	maxNamings = 32
	// maxHeard bounds the ages that are kept of versions that this replica doesn't know.
	maxHeard = 128
)

// minAgeCorrection is the smallest correction of an age. Ages from other replicas differ
// by the time that they take on their way.
const minAgeCorrection = 50 * time.Millisecond

const (
	// replayTime is how long after its start a replica takes versions that it applies for
	// ones that it reads again from its log.
	replayTime = 5 * time.Second
	// ageWait is how long the age of such a version stays unknown if no other process
	// knows it.
	ageWait = time.Second
	// maxClockChange is how far the clock and the time of day may drift apart between two
	// instants of the same boot. Beyond that the clock counts as another one.
	maxClockChange = 5 * time.Second
)

// Registry is a boragewick.StateMachine. The zero value is empty.
type Registry struct {
	// Clock defaults to boragewick.SystemClock. It must keep counting while the
	// instance is suspended.
	Clock boragewick.Clock
	// Boot identifies this instance and its boot, so that a replica that has restarted
	// recognises the times that it has put into the log; empty if unknown.
	Boot string

	// TimeOfDay defaults to boragewick.SystemClock.
	TimeOfDay boragewick.Clock

	// StartedAt is when this replica started, by Clock; zero if the ages of all versions
	// that it applies are known.
	StartedAt time.Time

	mu      sync.Mutex
	state   boragewick.RegistryState
	changed chan struct{}
	// departed are the runs of state.Departures.
	departed map[run]bool
	// namings are when this replica learned of the versions of weights. They are not
	// part of the replicated state.
	namings []boragewick.WeightsNaming
	// heard holds when others learned of versions that this replica doesn't know yet, as
	// after its restart.
	heard map[boragewick.NamedWeights]time.Time
	// unknownUntil is until when the ages of versions stay unknown.
	unknownUntil map[boragewick.NamedWeights]time.Time
}

var _ boragewick.StateMachine = (*Registry)(nil)

// Apply executes a command. A version has an effect only if it is higher than the one
// in force, and a change of a quarantine only if it differs from its state. Apply
// returns nil, or the error's text if the command cannot be decoded.
func (r *Registry) Apply(e boragewick.Entry) []byte {
	var c boragewick.RegistryCommand
	if err := boragewick.Decode(e.Command, &c); err != nil {
		return []byte(err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case c.Publish != nil && c.Publish.Version > r.state.Publication.Version:
		r.state.Publication = *c.Publish
	case c.Weights != nil && c.Weights.Version > r.state.Weights[c.Weights.Model]:
		// Copied, because callers of State may still be reading the old map.
		weights := maps.Clone(r.state.Weights)
		if weights == nil {
			weights = map[string]uint64{}
		}
		weights[c.Weights.Model] = c.Weights.Version
		r.state.Weights = weights
		at, known := r.proposedAt(c.NamedAt)
		r.applyNaming(*c.Weights, at, known)
	case c.Quarantine != nil:
		list, ok := applyQuarantine(r.state.Quarantined, *c.Quarantine)
		if !ok {
			return nil
		}
		r.state.Quarantined = list
	case c.Builds != nil:
		builds, ok := applyBuilds(r.state.Builds, c.Builds)
		if !ok {
			return nil
		}
		r.state.Builds = builds
	case c.Departure != nil:
		// Not counted as a change, as watchers receive the rest of the state with these.
		if r.applyDeparture(*c.Departure) {
			r.notifyWaiters()
		}
		return nil
	default:
		return nil
	}
	r.state.Changed++
	r.notifyWaiters()
	return nil
}

// Snapshot returns the whole state.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return boragewick.Encode(&r.state)
}

// Restore replaces the state by a snapshot.
func (r *Registry) Restore(snapshot []byte) error {
	var s boragewick.RegistryState
	if err := boragewick.Decode(snapshot, &s); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
	r.indexDepartures()
	for model, version := range s.Weights {
		r.applyNaming(boragewick.NamedWeights{Model: model, Version: version}, r.now(), false)
	}
	r.notifyWaiters()
	return nil
}

// State returns the state, which must not be changed, and a channel that is
// closed at the next change.
func (r *Registry) State() (boragewick.RegistryState, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.state, r.changed
}

// Namings returns since when the latest versions of weights have been named as far as
// this replica knows, by its clock, and its clock's current time.
func (r *Registry) Namings() (namings []boragewick.WeightsNaming, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.namings), r.now()
}

// Stamp returns the current time for a command that is proposed now.
func (r *Registry) Stamp() boragewick.BootInstant {
	return boragewick.BootInstant{Boot: r.Boot, At: r.now(), TimeOfDay: r.timeOfDay()}
}

// proposedAt returns when a command was proposed, or the current time and false if that was
// by another replica, before this instance has booted, or by a clock that has changed since.
// Instances that share a kernel have the same boot identifier, but each may have its own
// clock, which changes when the instance is started again.
func (r *Registry) proposedAt(stamp boragewick.BootInstant) (time.Time, bool) {
	now := r.now()
	if r.Boot == "" || stamp.Boot != r.Boot || stamp.At.After(now) {
		return now, false
	}
	if !stamp.TimeOfDay.IsZero() {
		change := r.timeOfDay().Sub(stamp.TimeOfDay) - now.Sub(stamp.At)
		if change.Abs() > maxClockChange {
			return now, false
		}
	}
	return stamp.At, true
}

// applyNaming records a version from the log. Shortly after the start its age is unknown,
// unless this replica has proposed it or has been told. The caller holds mu.
func (r *Registry) applyNaming(named boragewick.NamedWeights, at time.Time, known bool) {
	now := r.now()
	_, told := r.heard[named]
	if !known && !told && !r.StartedAt.IsZero() && now.Before(r.StartedAt.Add(replayTime)) {
		r.recordUnknownAge(named, at)
		return
	}
	r.recordNaming(named, at)
}

// recordUnknownAge records a version that may have been named long before the given time,
// and reports whether anything has changed. The caller holds mu.
func (r *Registry) recordUnknownAge(named boragewick.NamedWeights, at time.Time) bool {
	known := slices.ContainsFunc(r.namings, func(n boragewick.WeightsNaming) bool { return n.NamedWeights == named })
	if changed := r.recordNaming(named, at); !changed || known {
		return changed
	}
	if r.unknownUntil == nil {
		r.unknownUntil = map[boragewick.NamedWeights]time.Time{}
	}
	r.unknownUntil[named] = r.now().Add(ageWait)
	r.markAge(named, true)
	return true
}

// SettleAges takes the ages for known that no process has told for some time.
func (r *Registry) SettleAges() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	changed := false
	for named, until := range r.unknownUntil {
		if !now.Before(until) {
			changed = r.confirmAge(named) || changed
		}
	}
	if changed {
		r.notifyWaiters()
	}
}

// confirmAge records that the age of a version is known, and reports whether it was not
// before. The caller holds mu.
func (r *Registry) confirmAge(named boragewick.NamedWeights) bool {
	if _, unknown := r.unknownUntil[named]; !unknown {
		return false
	}
	delete(r.unknownUntil, named)
	r.markAge(named, false)
	return true
}

// markAge records whether the age of a version is unknown; the caller holds mu.
func (r *Registry) markAge(named boragewick.NamedWeights, unknown bool) {
	for i := range r.namings {
		if r.namings[i].NamedWeights == named {
			r.namings[i].AgeUnknown = unknown
		}
	}
}

// MergeNamings takes the ages of versions from another replica, which has sent them at
// now by its clock. A version counts as named since the earliest time that a replica
// knows, as one that has restarted knows only when it read its log again.
func (r *Registry) MergeNamings(namings []boragewick.WeightsNaming, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, n := range namings {
		at := r.now().Add(-max(0, now.Sub(n.At)))
		if n.AgeUnknown {
			changed = r.recordUnknownAge(n.NamedWeights, at) || changed
			continue
		}
		changed = r.recordNaming(n.NamedWeights, at) || changed
		changed = r.confirmAge(n.NamedWeights) || changed
	}
	if changed {
		r.notifyWaiters()
	}
}

// MergeAges takes the ages of versions from a process that holds no log, which has sent
// them at now by its clock. Only those of named versions count.
func (r *Registry) MergeAges(namings []boragewick.WeightsNaming, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, n := range namings {
		at := r.now().Add(-max(0, now.Sub(n.At)))
		if n.Version <= r.state.Weights[n.Model] {
			changed = r.recordNaming(n.NamedWeights, at) || changed
			changed = !n.AgeUnknown && r.confirmAge(n.NamedWeights) || changed
			continue
		}
		if n.AgeUnknown {
			continue
		}
		if last, ok := r.heard[n.NamedWeights]; ok && last.Before(at) || !ok && len(r.heard) >= maxHeard {
			continue
		}
		if r.heard == nil {
			r.heard = map[boragewick.NamedWeights]time.Time{}
		}
		r.heard[n.NamedWeights] = at
	}
	if changed {
		r.notifyWaiters()
	}
}

// recordNaming records that the version was named at the given time or earlier, and
// drops the model's lowest version if there are too many. It reports whether anything has
// changed. The caller holds mu.
func (r *Registry) recordNaming(named boragewick.NamedWeights, at time.Time) bool {
	if heardAt, ok := r.heard[named]; ok && heardAt.Before(at) {
		at = heardAt
	}
	delete(r.heard, named)
	kept, lowest := 0, -1
	for i, n := range r.namings {
		if n.NamedWeights == named {
			if n.At.Sub(at) < minAgeCorrection {
				return false
			}
			r.namings[i].At = at
			return true
		}
		if n.Model != named.Model {
			continue
		}
		kept++
		if lowest < 0 || n.Version < r.namings[lowest].Version {
			lowest = i
		}
	}
	if kept >= maxNamings {
		if named.Version < r.namings[lowest].Version {
			return false
		}
		r.namings = slices.Delete(r.namings, lowest, lowest+1)
	}
	r.namings = append(r.namings, boragewick.WeightsNaming{NamedWeights: named, At: at})
	return true
}

func (r *Registry) now() time.Time {
	if r.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return r.Clock.Now()
}

// timeOfDay returns the time of day without its monotonic reading.
func (r *Registry) timeOfDay() time.Time {
	if r.TimeOfDay == nil {
		return boragewick.SystemClock.Now().Round(0)
	}
	return r.TimeOfDay.Now().Round(0)
}

// notifyWaiters closes the channel that State returned; the caller holds mu.
func (r *Registry) notifyWaiters() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
