package placement

import (
	"maps"
	"strconv"
	"time"

	"github.com/boragewick/boragewick"
)

// weightsReportTTL is how long an agent's last report shows that the engine has not changed
// its weights since. Agents report at least once a second. Without their reports an order to
// load is given later, and a load takes most of a second.
const weightsReportTTL = 1500 * time.Millisecond

// engineWeights is what an engine's agent has last reported of its weights. It outlives the
// stream of the agent, and outages of the engine, to tell what an engine that has crashed did
// before.
type engineWeights struct {
	versions map[string]uint64
	// busy reports whether an order is in progress.
	busy bool
	// reportedAt is when the agent last reached the engine. incomplete is set while updates
	// have no versions, since the stream is a new one.
	reportedAt time.Time
	incomplete bool
}

// observe applies an update of the agent; nil if the agent is lost.
func (w *engineWeights) observe(u *boragewick.EngineUpdate, now time.Time) {
	if u == nil {
		w.incomplete = true
		return
	}
	if len(u.Weights) > 0 {
		w.versions, w.busy, w.incomplete = maps.Clone(u.Weights), u.Busy, false
	}
	if !u.Down && !w.incomplete {
		w.reportedAt = now
	}
}

// WeightsChange implements boragewick.Flight.
func (f *inFlightRequest) WeightsChange() boragewick.WeightsChange {
	f.placement.mu.Lock()
	defer f.placement.mu.Unlock()
	w := &f.endpoint.engineWeights
	sent, err := strconv.ParseUint(f.weights, 10, 64)
	version, ok := w.versions[f.model]
	switch {
	case err != nil || !ok:
		return boragewick.WeightsChangeUnknown
	case w.busy || version > sent:
		return boragewick.WeightsChanged
	case version < sent || f.placement.now().Sub(w.reportedAt) > weightsReportTTL:
		return boragewick.WeightsChangeUnknown
	default:
		return boragewick.WeightsUnchanged
	}
}
