package placement

import (
	"maps"
	"strconv"
	"time"

	"github.com/boragewick/boragewick"
)

// weightsReportTTL is how long an agent's last report shows that the engine has not changed
// its weights since, unless the router stood still. Agents report at least once a second. Without
// their reports an order to load is given later, and a load takes most of a second.
const weightsReportTTL = 1500 * time.Millisecond

// engineStatus is what an engine's agent has last reported of its run and its weights. It outlives
// the stream of the agent, and outages of the engine, to tell what an engine that has crashed did
// before.
type engineStatus struct {
	// run is empty if it isn't known.
	run      boragewick.Incarnation
	versions map[string]uint64
	// busy reports whether an order is in progress.
	busy bool
	// reportedAt is when the agent last reached the engine. incomplete is set while updates
	// have no versions, since the stream is a new one.
	reportedAt time.Time
	incomplete bool
}

// observe applies an update of the agent; nil if the agent is lost.
func (e *engineStatus) observe(u *boragewick.EngineUpdate, now time.Time) {
	if u == nil {
		e.incomplete = true
		return
	}
	if len(u.Weights) > 0 {
		e.versions, e.busy, e.incomplete = maps.Clone(u.Weights), u.Busy, false
		e.run = ""
		if u.Started != 0 {
			e.run = boragewick.Incarnation(strconv.FormatInt(u.Started, 10))
		}
	}
	if !u.Down && !e.incomplete {
		e.reportedAt = now
	}
}

// isOtherRun reports whether the engine's agent reports another run of it than the registration
// from which its software is known. Heartbeats may arrive late.
func (s *endpointState) isOtherRun() bool {
	told := s.runs.newest.status.run
	return told != "" && told != s.Incarnation
}

// WeightsChange implements boragewick.Flight.
func (f *inFlightRequest) WeightsChange() boragewick.WeightsChange {
	f.placement.mu.Lock()
	defer f.placement.mu.Unlock()
	e := &f.run.status
	sent, err := strconv.ParseUint(f.weights, 10, 64)
	version, ok := e.versions[f.model]
	switch {
	case err != nil || !ok:
		return boragewick.WeightsChangeUnknown
	case e.busy || version > sent:
		return boragewick.WeightsChanged
	case version < sent || f.run.superseded || !f.placement.isSinceResume(e.reportedAt) || f.placement.now().Sub(e.reportedAt) > weightsReportTTL:
		return boragewick.WeightsChangeUnknown
	default:
		return boragewick.WeightsUnchanged
	}
}

// isSinceResume reports whether what was received at the instant was sent after the process last
// stood still.
func (p *Placement) isSinceResume(at time.Time) bool {
	return p.Pauses == nil || p.Pauses.IsSinceResume(at)
}

// WeightsReport implements boragewick.Flight.
func (f *inFlightRequest) WeightsReport() boragewick.WeightsReport {
	f.placement.mu.Lock()
	defer f.placement.mu.Unlock()
	e := &f.run.status
	return boragewick.WeightsReport{Version: e.versions[f.model], Busy: e.busy, At: e.reportedAt}
}
