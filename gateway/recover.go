package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

const (
	// newsWait is how long a decision on a run waits to hear of named weights after the process
	// stood still. Replicas send at least once a second.
	newsWait = 1500 * time.Millisecond
	// newsCheckInterval is the time between two looks at what has been heard.
	newsCheckInterval = 50 * time.Millisecond
)

// mayStartOn reports whether a run may start, also from a copy of its KV cache, on the
// version of the weights.
func (s *relay) mayStartOn(weights string) bool {
	_, least := s.leastWeights(lastStartFraction)
	version, err := strconv.ParseUint(weights, 10, 64)
	return least == 0 || err == nil && version >= least
}

// awaitNews waits, if nothing is known of the engine's weights, until the view is up to date, as it
// soon is after the process stood still. It returns early once canceled is closed.
func (s *relay) awaitNews(ctx context.Context, flight boragewick.Flight, canceled <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, newsWait)
	defer cancel()
	ticker := time.NewTicker(newsCheckInterval)
	defer ticker.Stop()
	for flight.WeightsChange() == boragewick.WeightsChangeUnknown && !s.ViewCurrent() {
		select {
		case <-ticker.C:
		case <-canceled:
			return
		case <-ctx.Done():
			return
		}
	}
}

// mayBeMixed reports whether the KV cache of the run at the candidate may hold parts of newer
// weights than it began with, which the next event of its stream would have told. If the engine's
// agent doesn't tell, only a view that is up to date shows that it doesn't.
func (s *relay) mayBeMixed(c *boragewick.Candidate, flight boragewick.Flight) bool {
	switch flight.WeightsChange() {
	case boragewick.WeightsUnchanged:
		return false
	case boragewick.WeightsChanged:
		return true
	default:
		return !s.ViewCurrent() || s.weightsAge(c) > 0
	}
}

// recover returns where a run whose stream broke continues from the backup copy
// of its KV cache, or nil if there is no backup, no event has arrived yet, the weights
// are too old or may have changed under the run, or the backup's endpoint takes no new work
// any more.
func (s *relay) recover(ctx context.Context, l *leg, cause error) *resumePoint {
	if s.backup == nil || s.events == 0 {
		return nil
	}
	s.awaitNews(ctx, l.flight, nil)
	to := s.backup
	if s.mayBeMixed(l.c, l.flight) {
		s.count("backups.mixed_weights")
		_ = level.Info(s.Logger).Log(append([]any{"msg", "run not recovered as its weights may have changed", "id", s.ID, "from", s.endpoint, "events", s.events, "err", cause}, s.weightsFields(l)...)...)
		return nil
	}
	if !s.mayStartOn(to.Weights) {
		_ = level.Info(s.Logger).Log("msg", "run not recovered on expired weights", "id", s.ID, "from", s.endpoint, "weights", to.Weights, "events", s.events, "err", cause)
		return nil
	}
	if !s.isSelectable(ctx, to, l.sel) {
		_ = level.Info(s.Logger).Log("msg", "run not recovered at unavailable endpoint", "id", s.ID, "from", s.endpoint, "to", to.Endpoint.Name, "events", s.events, "err", cause)
		return nil
	}
	s.backup = nil
	_ = level.Info(s.Logger).Log(append([]any{"msg", "run recovered", "id", s.ID, "from", s.endpoint, "to", to.Endpoint.Name, "events", s.events, "err", cause}, s.weightsFields(l)...)...)
	return &resumePoint{to: to, copyName: s.Mover.Backup(to.Endpoint.Agent, s.ID)}
}

// isSelectable reports whether the endpoint, in the same run, still takes new work.
func (s *relay) isSelectable(ctx context.Context, c *boragewick.Candidate, sel *boragewick.Selection) bool {
	only := *sel
	only.Avoid = func(name string) bool { return name != c.Endpoint.Name }
	candidates, err := s.Placer.Select(ctx, only)
	return err == nil && candidates[0].Endpoint.Incarnation == c.Endpoint.Incarnation
}
